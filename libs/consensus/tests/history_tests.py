"""Random failures over three and five members, against the promises of the log.

The cluster checks election safety, log matching and committed entries after every step. The
history of a register kept in the log is checked for linearizability.
"""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from consensus_cluster import Cluster
from hypothesis import settings
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

    Writes that never ended may have happened or not. Depth-first, remembering failed places.
    """
    failed = set()

    def fits(left: frozenset[int], value: bytes) -> bool:
        if all(operations[number].ended == float("inf") for number in left):
            return True
        if (left, value) in failed:
            return False
        first_end = min(operations[number].ended for number in left)
        for number in sorted(left):
            operation = operations[number]
            if operation.begun > first_end:
                continue
            if not operation.write and operation.value != value:
                continue
            if fits(left - {number}, operation.value):
                return True
        failed.add((left, value))
        return False

    return fits(frozenset(range(len(operations))), NO_WRITE)


def test_the_checker_tells_good_histories_from_bad():
    write = Operation(True, b"1", 0, 5)
    assert is_linearizable([write, Operation(False, NO_WRITE, 1, 2), Operation(False, b"1", 3, 4)])
    assert not is_linearizable([write, Operation(False, NO_WRITE, 6, 7)])
    assert not is_linearizable(
        [write, Operation(False, b"1", 1, 2), Operation(False, NO_WRITE, 3, 4)]
    )
    assert is_linearizable([Operation(True, b"2", 0), Operation(False, b"2", 8, 9)])


class Register:
    """Keeps the history of one register in the log of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.operations: list[Operation] = []
        self._waiting: dict[int, Operation] = {}
        self._time = 0
        self._seen = 0

    def write(self, member_id: str) -> None:
        value = b"w%d" % len(self.operations)
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


class Failures(RuleBasedStateMachine):
    """Does to a cluster what the world does."""

    count = 3

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(self.count)
        self.register = Register(self.cluster)
        self.wiped: set[str] = set()
        self.cluster.run(4)

    def member(self, number: int) -> str:
        return list(self.cluster.node_by_id)[number % self.count]

    @rule(steps=st.integers(1, 60))
    def time_passes(self, steps):
        for _ in range(steps):
            self.cluster.run(0.05)
            self.register.observe()

    @rule(number=st.integers(0, 4), reads=st.booleans())
    def call(self, number, reads):
        # Leaders get most calls, and so do members that only believe that they lead.
        believers = [
            member_id
            for member_id, node in self.cluster.node_by_id.items()
            if node.replica is not None and node.replica.status().role == "leader"
        ]
        target = believers[number % len(believers)] if believers else self.member(number)
        if self.cluster.node_by_id[target].paused_until > self.cluster.now:
            return
        (self.register.read if reads else self.register.write)(target)

    @rule(sender=st.integers(0, 4), receiver=st.integers(0, 4), both=st.booleans())
    def cut(self, sender, receiver, both):
        self.cluster.cut(self.member(sender), self.member(receiver), both)

    @rule(number=st.integers(0, 4))
    def isolate(self, number):
        self.cluster.isolate(self.member(number))

    @rule(loss=st.sampled_from([0, 0.2]), twice=st.sampled_from([0, 0.3]), jitter=st.floats(0, 0.5))
    def worsen(self, loss, twice, jitter):
        self.cluster.loss, self.cluster.duplicates, self.cluster.jitter = loss, twice, jitter

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(number=st.integers(0, 4), seconds=st.floats(0.1, 5))
    def pause(self, number, seconds):
        self.cluster.pause(self.member(number), seconds)

    @rule(number=st.integers(0, 4), power=st.booleans())
    def crash(self, number, power):
        self.cluster.kill(self.member(number), power=power)

    @rule(number=st.integers(0, 4), steps=st.integers(1, 12))
    def crash_between_storage_steps(self, number, steps):
        disk = self.cluster.node_by_id[self.member(number)].disk
        disk.cut_at = disk.steps + steps

    @rule(number=st.integers(0, 4))
    def fail_a_sync(self, number):
        self.cluster.node_by_id[self.member(number)].disk.fail_syncs = 1

    @rule(number=st.integers(0, 4))
    def restart(self, number):
        node = self.cluster.node_by_id[self.member(number)]
        if node.replica is None:
            node.disk.cut_at = None
            self.cluster.start(node.member.member_id)

    @precondition(lambda self: len(self.wiped) < (self.count - 1) // 2)
    @rule(number=st.integers(0, 4))
    def wipe(self, number):
        self.wiped.add(self.member(number))
        self.cluster.wipe(self.member(number))

    @precondition(lambda self: self.wiped)
    @rule()
    def replace(self):
        cluster = self.cluster
        leader = cluster.leader()
        if leader is None:
            return
        lost = sorted(self.wiped)[0]
        status = cluster.node_by_id[leader].replica.status()
        replica = cluster.node_by_id[lost].replica
        for member in status.members:
            if replica is not None and member.identity == replica.status().identity:
                if member.voting and cluster.node_by_id[leader].replica._core.membership.index <= (
                    status.commit_index
                ):
                    self.wiped.discard(lost)
                return
        cluster.replace(lost)

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


@pytest.mark.parametrize("machine", [Failures, FailuresOfFive])
def test_promises_hold_under_random_failures(machine):
    """Cuts, pauses, crashes, lost folders and a bad network come in any order and together."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=25, stateful_step_count=30, deadline=None, derandomize=True, database=None
        ),
    )
