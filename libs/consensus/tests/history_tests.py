"""Random failures of three and five members, checked against the guarantees of the log.

The cluster checks election safety, log matching and committed entries after every step. The
history of a register stored in the log is checked for linearizability.
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
    """A write of `value`, or a read that returned it; times are logical."""

    write: bool
    value: bytes
    begun: int
    ended: float = float("inf")


def is_linearizable(operations: list[Operation]) -> bool:
    """Return whether some sequential order of the operations is consistent with all results.

    Each write has a distinct value, so in such an order a write and the reads of its value form one
    contiguous block. Block X must precede block Y if any operation of X ended before any of Y
    began. An order exists unless two blocks must each precede the other: in a longer cycle of
    blocks, the one with the earliest end and its predecessor are such a pair. Writes that never
    ended may or may not have happened; without a read of their value they are ignored.
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


def test_the_checker_tells_valid_from_invalid_histories():
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
    """Records the history of one register in the log of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.operations: list[Operation] = []
        self._operation_by_token: dict[int, Operation] = {}
        self._time = 0
        self._seen_outputs = 0

    def write(self, member_id: str) -> None:
        value = b"w%d" % self._time
        operation = self._begin(Operation(True, value, 0))
        token = self.cluster.tokens + 1
        self._operation_by_token[token] = operation
        self.cluster.propose(value, member_id)
        self.observe()

    def read(self, member_id: str) -> None:
        operation = self._begin(Operation(False, NO_WRITE, 0))
        token = self.cluster.tokens + 1
        self._operation_by_token[token] = operation
        self.cluster.read(member_id)
        self.observe()

    def observe(self) -> None:
        """Record operations that ended since the last call; a read returns the state on confirm."""
        self._time += 1
        cluster = self.cluster
        for _member_id, output in cluster.outputs[self._seen_outputs :]:
            operation = self._operation_by_token.pop(getattr(output, "token", 0), None)
            if operation is None:
                continue
            outcome = cluster.outcome(output.token)
            if outcome == "done":
                operation.ended = self._time
                if not operation.write:
                    operation.value = cluster.value_by_token[output.token]
            elif not operation.write or outcome == "refused":
                self.operations.remove(operation)
        self._seen_outputs = len(cluster.outputs)

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
step_counts = st.integers(0, 50)


class Failures(RuleBasedStateMachine):
    """Injects faults into a cluster while callers write and read a register."""

    count = 3

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(self.count)
        self.register = Register(self.cluster)
        self.wiped: set[str] = set()
        self.run_calls(80)

    def run_calls(self, steps: int) -> None:
        """Advance the time; at random, call members that have the leader role."""
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
        """Return a member; the leader for the highest number, so that it often gets the fault."""
        leader = self.cluster.leader()
        if number == 4 and leader is not None:
            return leader
        return list(self.cluster.node_by_id)[number % self.count]

    @rule(steps=step_counts)
    def time_passes(self, steps):
        self.run_calls(steps)

    @rule(steps=step_counts)
    def all_recover(self, steps):
        self.cluster.restore_all()
        self.run_calls(60 + steps)

    @rule(sender=members, receiver=members, both=st.booleans(), steps=step_counts)
    def cut(self, sender, receiver, both, steps):
        self.cluster.cut(self.member(sender), self.member(receiver), both)
        self.run_calls(steps)

    @rule(number=members, steps=step_counts)
    def isolate(self, number, steps):
        self.cluster.isolate(self.member(number))
        self.run_calls(steps)

    @rule(number=members, steps=step_counts)
    def swap_the_isolated(self, number, steps):
        self.cluster.heal()
        self.cluster.isolate(self.member(number))
        self.run_calls(steps)

    @rule(loss=st.sampled_from([0, 0.2]), twice=st.sampled_from([0, 0.3]), jitter=st.floats(0, 0.3))
    def worsen(self, loss, twice, jitter):
        self.cluster.loss, self.cluster.duplicates, self.cluster.jitter = loss, twice, jitter

    @rule(number=members, steps=st.integers(1, 100), then=step_counts)
    def pause(self, number, steps, then):
        self.cluster.pause(self.member(number), steps * 0.05)
        self.run_calls(then)

    @rule(number=members, power=st.booleans(), steps=step_counts)
    def crash(self, number, power, steps):
        self.cluster.kill(self.member(number), power=power)
        self.run_calls(steps)

    @rule(number=members, power=st.booleans(), steps=step_counts)
    def crash_and_restart(self, number, power, steps):
        target = self.member(number)
        self.cluster.kill(target, power=power)
        self.cluster.start(target)
        self.run_calls(steps)

    @rule(number=members, calls=st.integers(1, 12), steps=step_counts)
    def crash_between_storage_steps(self, number, calls, steps):
        disk = self.cluster.node_by_id[self.member(number)].disk
        disk.power_cut_at = disk.call_count + calls
        self.run_calls(steps)

    @rule(number=members, steps=step_counts)
    def fail_a_sync(self, number, steps):
        self.cluster.node_by_id[self.member(number)].disk.fail_syncs = 1
        self.run_calls(steps)

    @precondition(lambda self: len(self.wiped) < (self.count - 1) // 2)
    @rule(number=members, steps=step_counts)
    def wipe(self, number, steps):
        target = self.member(number)
        self.wiped.add(target)
        self.cluster.wipe(target)
        self.run_calls(steps)

    @precondition(lambda self: self.wiped)
    @rule(steps=step_counts)
    def replace(self, steps):
        """Replace the wiped member; the replacement is complete once it is a committed voter."""
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
        self.run_calls(steps)

    def teardown(self):
        for node in self.cluster.node_by_id.values():
            node.disk.fail_syncs = 0
        self.cluster.restore_all()
        self.register.read(self.cluster.await_leader())
        self.cluster.run(1)
        self.register.observe()
        self.register.check()
        self.cluster.check_convergence()


class FailuresOfFive(Failures):
    count = 5


@pytest.mark.parametrize(("machine", "walks"), [(Failures, 12), (FailuresOfFive, 8)])
def test_guarantees_hold_under_random_failures(machine, walks):
    """Partitions, pauses, crashes, lost folders and a bad network, in any combination."""
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
