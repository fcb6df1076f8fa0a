"""Random failures over three and five members, against the promises of the log.

The cluster checks election safety, log matching and committed entries after every step. The
history of a register kept in the log is checked for linearizability.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass

import pytest
from consensus_cluster import Cluster
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

NO_WRITE = b""


@dataclass(slots=True)
class Operation:
    """A write of `value`, or a read that returned it; times count the cluster's steps."""

    write: bool
    value: bytes
    begun: int
    ended: float = float("inf")


def is_linearizable(operations: list[Operation]) -> bool:
    """Return whether some order of the operations explains what each returned.

    Each write has a value of its own, so in such an order a write and the reads of its value stand
    together as one block. Block X must stand before block Y if anything of X ended before anything
    of Y began. An order exists unless two blocks must each stand before the other: in a longer ring
    of blocks, the one with the earliest end and the one before it are such a pair. Writes that
    never ended may have happened or not; unread, they explain nothing and are left out.
    """
    block_by_value = {NO_WRITE: [Operation(True, NO_WRITE, -1, -1)]}
    for operation in operations:
        if operation.write:
            block_by_value[operation.value] = [operation]
    for operation in operations:
        if operation.write:
            continue
        block = block_by_value.get(operation.value)
        if block is None or operation.ended < block[0].begun:
            return False
        block.append(operation)
    first_end = {value: min(op.ended for op in block) for value, block in block_by_value.items()}
    last_begin = {value: max(op.begun for op in block) for value, block in block_by_value.items()}
    for one, other in itertools.combinations(block_by_value, 2):
        if first_end[one] < last_begin[other] and first_end[other] < last_begin[one]:
            return False
    return True


def test_the_checker_tells_good_histories_from_bad():
    write = Operation(True, b"1", 0, 5)
    assert is_linearizable([write, Operation(False, NO_WRITE, 1, 2), Operation(False, b"1", 3, 4)])
    assert not is_linearizable([write, Operation(False, NO_WRITE, 6, 7)])
    assert not is_linearizable(
        [write, Operation(False, b"1", 1, 2), Operation(False, NO_WRITE, 3, 4)]
    )
    assert is_linearizable([Operation(True, b"2", 0), Operation(False, b"2", 8, 9)])


def _explains(order: tuple[Operation, ...]) -> bool:
    value = NO_WRITE
    for position, operation in enumerate(order):
        if any(later.ended < operation.begun for later in order[position + 1 :]):
            return False
        if operation.write:
            value = operation.value
        elif operation.value != value:
            return False
    return True


@st.composite
def _histories(draw):
    history = []
    for number in range(draw(st.integers(1, 5))):
        write = draw(st.booleans())
        value = b"%d" % number if write else draw(st.sampled_from([NO_WRITE, b"0", b"1", b"2"]))
        begun = draw(st.integers(0, 8))
        ended = begun + draw(st.integers(1, 5))
        lost = write and draw(st.booleans())
        history.append(Operation(write, value, begun, float("inf") if lost else ended))
    return history


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(_histories())
def test_the_checker_agrees_with_a_search_through_all_orders(history):
    ended = [operation for operation in history if operation.ended < float("inf")]
    lost = [operation for operation in history if operation.ended == float("inf")]
    explained = any(
        _explains(order)
        for count in range(len(lost) + 1)
        for happened in itertools.combinations(lost, count)
        for order in itertools.permutations([*ended, *happened])
    )
    assert is_linearizable(history) == explained


class Register:
    """Keeps the history of one register in the log of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.operations: list[Operation] = []
        self._waiting: dict[int, Operation] = {}
        self._time = 0
        self._seen = 0

    def write(self, member_id: str) -> None:
        value = b"w%d" % self._time
        operation = self._begin(Operation(True, value, 0))
        token = self.cluster.tokens + 1
        self._waiting[token] = operation
        self.cluster.propose(value, member_id)
        self.observe()

    def read(self, member_id: str) -> None:
        operation = self._begin(Operation(False, NO_WRITE, 0))
        token = self.cluster.tokens + 1
        self._waiting[token] = operation
        self.cluster.read(member_id)
        self.observe()

    def observe(self) -> None:
        """Note what has ended since the last call. Reads take the state right when confirmed."""
        self._time += 1
        cluster = self.cluster
        for _member_id, output in cluster.outputs[self._seen :]:
            operation = self._waiting.pop(getattr(output, "token", 0), None)
            if operation is None:
                continue
            outcome = cluster.ended(output.token)
            if outcome == "done":
                operation.ended = self._time
                if not operation.write:
                    operation.value = cluster.value_by_token[output.token]
            elif not operation.write or outcome == "refused":
                self.operations.remove(operation)
        self._seen = len(cluster.outputs)

    def check(self) -> None:
        done = [op for op in self.operations if op.write or op.ended < float("inf")]
        assert is_linearizable(done), done

    def _begin(self, operation: Operation) -> Operation:
        self._time += 1
        operation.begun = self._time
        self.operations.append(operation)
        return operation


members = st.integers(0, 4)
# In steps of 0.05 s; an election takes 20 to 40.
a_while = st.integers(0, 50)


class Failures(RuleBasedStateMachine):
    """Does to a cluster what the world does, while callers write and read a register."""

    count = 3

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(self.count)
        self.register = Register(self.cluster)
        self.wiped: set[str] = set()
        self.work(80)

    def work(self, steps: int) -> None:
        """Let time pass; now and then somebody calls a member that believes that it leads."""
        cluster = self.cluster
        for _ in range(steps):
            cluster.run(0.05)
            self.register.observe()
            for member_id, node in cluster.node_by_id.items():
                believes = node.replica is not None and node.replica.status().role == "leader"
                if not believes or node.paused_until > cluster.now or cluster.rng.random() < 0.7:
                    continue
                call = self.register.read if cluster.rng.random() < 0.5 else self.register.write
                call(member_id)

    def member(self, number: int) -> str:
        """Return a member; the leader for the highest number, so that it is struck often."""
        leader = self.cluster.leader()
        if number == 4 and leader is not None:
            return leader
        return list(self.cluster.node_by_id)[number % self.count]

    @rule(steps=a_while)
    def time_passes(self, steps):
        self.work(steps)

    @rule(steps=a_while)
    def all_recover(self, steps):
        self.cluster.mend()
        self.work(60 + steps)

    @rule(sender=members, receiver=members, both=st.booleans(), steps=a_while)
    def cut(self, sender, receiver, both, steps):
        self.cluster.cut(self.member(sender), self.member(receiver), both)
        self.work(steps)

    @rule(number=members, steps=a_while)
    def isolate(self, number, steps):
        self.cluster.isolate(self.member(number))
        self.work(steps)

    @rule(number=members, steps=a_while)
    def swap_the_isolated(self, number, steps):
        self.cluster.heal()
        self.cluster.isolate(self.member(number))
        self.work(steps)

    @rule(loss=st.sampled_from([0, 0.2]), twice=st.sampled_from([0, 0.3]), jitter=st.floats(0, 0.3))
    def worsen(self, loss, twice, jitter):
        self.cluster.loss, self.cluster.duplicates, self.cluster.jitter = loss, twice, jitter

    @rule(number=members, steps=st.integers(1, 100), then=a_while)
    def pause(self, number, steps, then):
        self.cluster.pause(self.member(number), steps * 0.05)
        self.work(then)

    @rule(number=members, power=st.booleans(), steps=a_while)
    def crash(self, number, power, steps):
        self.cluster.kill(self.member(number), power=power)
        self.work(steps)

    @rule(number=members, power=st.booleans(), steps=a_while)
    def crash_and_restart(self, number, power, steps):
        target = self.member(number)
        self.cluster.kill(target, power=power)
        self.cluster.start(target)
        self.work(steps)

    @rule(number=members, calls=st.integers(1, 12), steps=a_while)
    def crash_between_storage_steps(self, number, calls, steps):
        disk = self.cluster.node_by_id[self.member(number)].disk
        disk.cut_at = disk.steps + calls
        self.work(steps)

    @rule(number=members, steps=a_while)
    def fail_a_sync(self, number, steps):
        self.cluster.node_by_id[self.member(number)].disk.fail_syncs = 1
        self.work(steps)

    @precondition(lambda self: len(self.wiped) < (self.count - 1) // 2)
    @rule(number=members, steps=a_while)
    def wipe(self, number, steps):
        target = self.member(number)
        self.wiped.add(target)
        self.cluster.wipe(target)
        self.work(steps)

    @precondition(lambda self: self.wiped)
    @rule(steps=a_while)
    def replace(self, steps):
        """Replace the emptied member; it counts as whole once the group has it as a voter."""
        cluster = self.cluster
        leader = cluster.leader()
        if leader is None:
            return
        lost = sorted(self.wiped)[0]
        core = cluster.node_by_id[leader].replica._core
        node = cluster.node_by_id[lost]
        identity = node.replica.status().identity if node.replica is not None else ""
        if not core.membership.is_voter(lost, identity):
            cluster.replace(lost)
        elif core.membership.index <= core.commit_index:
            self.wiped.discard(lost)
        self.work(steps)

    def teardown(self):
        for node in self.cluster.node_by_id.values():
            node.disk.fail_syncs = 0
        self.cluster.mend()
        self.register.read(self.cluster.await_leader())
        self.cluster.run(1)
        self.register.observe()
        self.register.check()
        self.cluster.settle()


class FailuresOfFive(Failures):
    count = 5


@pytest.mark.parametrize(("machine", "walks"), [(Failures, 12), (FailuresOfFive, 8)])
def test_promises_hold_under_random_failures(machine, walks):
    """Cuts, pauses, crashes, lost folders and a bad network come in any order and together."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=walks,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            phases=[Phase.explicit, Phase.generate, Phase.shrink],
        ),
    )
