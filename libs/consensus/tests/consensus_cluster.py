"""A cluster of members in one process, with a simulated network, clocks and disks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from consensus_disk import Disk, PowerCut
from tarragonhall_consensus import (
    ChangeMember,
    ConfirmRead,
    Limits,
    Member,
    ProposalDone,
    ProposalLost,
    ProposeData,
    ReadConfirmed,
    Received,
    SendTo,
    Tick,
    open_replica,
)
from tarragonhall_consensus._messages import SnapshotChunk
from tarragonhall_model import StorageError, decode, encode

STEP_SECONDS = 0.05
ONE_WAY_SECONDS = 0.002
SMALL = Limits(
    segment_bytes=600, snapshot_entries=25, trailing_entries=5, message_bytes=300,
    in_flight_messages=3,
)  # fmt: skip


class Journal:
    """A state machine that stores every entry and returns their number."""

    def __init__(self) -> None:
        self.entries: list[bytes] = []

    def apply(self, index: int, data: bytes) -> int:
        self.entries.append(data)
        return len(self.entries)

    def snapshot(self) -> bytes:
        return b"\n".join(self.entries)

    def restore(self, data: bytes) -> None:
        self.entries = data.split(b"\n") if data else []


@dataclass(slots=True)
class Node:
    """One member: its disk persists, its replica is restarted."""

    member: Member
    disk: Disk
    bootstrap: list[Member]
    replica: object = None
    machine: Journal = field(default_factory=Journal)
    inbox: list = field(default_factory=list)
    paused_until: float = 0.0
    failure: StorageError | None = None


class Cluster:
    """Runs the members step by step and checks the invariants of the log after each step."""

    def __init__(self, count: int, seed: int = 0, limits: Limits = SMALL) -> None:
        self.rng = random.Random(seed)
        self.limits = limits
        self.now = 0.0
        self.loss = 0.0
        self.duplicates = 0.0
        self.jitter = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.is_dropped = lambda target, message: False
        self.in_flight: list = []
        self.outputs: list = []
        self.sent: list = []
        self.tokens = 0
        self.leader_by_term: dict[int, str] = {}
        self.entry_by_index_and_term: dict[tuple[int, int], tuple] = {}
        self.committed: dict[int, object] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.data_by_token: dict[int, bytes] = {}
        self.value_by_token: dict[int, bytes] = {}
        bootstrap = [Member(f"m{number}", "", f"a{number}") for number in range(count)]
        self.node_by_id = {m.member_id: self._node(m, bootstrap) for m in bootstrap}
        for member_id in self.node_by_id:
            self.start(member_id)

    def _node(self, member: Member, bootstrap: list[Member]) -> Node:
        return Node(member, Disk(self.rng), bootstrap)

    def add_node(self, member_id: str) -> Node:
        """Start a member that waits to be added."""
        node = self.node_by_id[member_id] = self._node(Member(member_id, "", "a"), [])
        self.start(member_id)
        return node

    def start(self, member_id: str, loading_s: float = 0.0) -> None:
        """Start or restart a member on its disk; its process started `loading_s` ago."""
        node = self.node_by_id[member_id]
        node.machine = Journal()
        node.failure = None
        rng = random.Random(self.rng.random())
        try:
            node.replica = open_replica(
                "data", member_id, node.member.address, node.bootstrap, node.machine, rng,
                self.now, self.limits, node.disk, self.now - loading_s,
            )  # fmt: skip
        except PowerCut:
            node.disk.cut_power()
        except StorageError as error:
            self._record_failure(node, error)

    def kill(self, member_id: str, power: bool = False, wipe: bool = False) -> None:
        """End a member's process; `power` also drops unsynced data, `wipe` all data."""
        node = self.node_by_id[member_id]
        node.replica = None
        node.inbox.clear()
        if wipe:
            node.disk.wipe()
        elif power:
            node.disk.cut_power()
        else:
            node.disk.kill()

    def wipe(self, member_id: str) -> None:
        """Delete a member's data folder and start the member on a new one."""
        self.kill(member_id, wipe=True)
        self.start(member_id)

    def pause(self, member_id: str, seconds: float) -> None:
        """Pause a member's process for some seconds; its clock continues."""
        self.node_by_id[member_id].paused_until = self.now + seconds

    def cut(self, sources: str | list[str], targets: str | list[str], both: bool = False) -> None:
        """Drop messages from the sources to the targets."""
        sources = [sources] if isinstance(sources, str) else sources
        targets = [targets] if isinstance(targets, str) else targets
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def isolate(self, member_id: str) -> None:
        """Drop all messages to and from the member."""
        self.cut(member_id, [other for other in self.node_by_id if other != member_id], both=True)

    def heal(self) -> None:
        """Remove all network faults."""
        self.cuts.clear()
        self.is_dropped = lambda target, message: False
        self.loss = self.duplicates = self.jitter = 0.0

    def step(self, member_id: str, *events: object) -> list:
        """Run one step of a member with the events and return its outputs."""
        node = self.node_by_id[member_id]
        if node.replica is None:
            return []
        try:
            outputs = node.replica.step(list(events), self.now)
        except PowerCut:
            self.kill(member_id, power=True)
            return []
        except StorageError as error:
            node.replica.close()
            self.kill(member_id)
            self._record_failure(node, error)
            return []
        self._handle(member_id, outputs)
        self._check(member_id)
        return outputs

    def run(self, seconds: float) -> None:
        """Advance the time, with a step of every member each `STEP_SECONDS`."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP_SECONDS, 6)
            self.deliver()
            for member_id, node in self.node_by_id.items():
                if node.paused_until > self.now:
                    continue
                inbox, node.inbox = node.inbox, []
                self.step(member_id, *inbox, Tick())
            self.check_leases()

    def check_leases(self) -> None:
        """Check that at most one member, paused ones included, holds a lease."""
        holders = [
            member_id
            for member_id, node in self.node_by_id.items()
            if node.replica is not None and node.replica.is_leader(self.now)
        ]
        assert len(holders) <= 1, f"{holders} hold a lease at the same time"

    def deliver(self) -> None:
        """Deliver due messages, and the replies to them, until only later ones are left."""
        while True:
            due = [item for item in self.in_flight if item[0] <= self.now]
            if not due:
                return
            self.in_flight = [item for item in self.in_flight if item[0] > self.now]
            due.sort(key=lambda item: item[:2])
            for _, _, source, target, message in due:
                node = self.node_by_id.get(target)
                if node is None or node.replica is None or (source, target) in self.cuts:
                    continue
                if node.paused_until > self.now:
                    node.inbox.append(Received(source, message))
                else:
                    self.step(target, Received(source, message))

    def run_until(self, condition, seconds: float = 20.0) -> None:
        """Advance the time until the condition holds; fail if it does not in `seconds`."""
        end = self.now + seconds
        while not condition():
            assert self.now < end, "the condition did not hold in time"
            self.run(STEP_SECONDS)

    def leader(self) -> str | None:
        """Return the running member that is leader with a valid lease, None if there is none."""
        for member_id, node in self.node_by_id.items():
            paused = node.paused_until > self.now
            if node.replica is not None and not paused and node.replica.is_leader(self.now):
                return member_id
        return None

    def await_leader(self, without: str = "") -> str:
        """Advance the time until there is a leader other than `without`; return it."""
        self.run_until(lambda: self.leader() not in (None, without))
        return self.leader()

    def followers(self) -> list[str]:
        """Return all members but the leader."""
        leader = self.leader()
        return [member_id for member_id in self.node_by_id if member_id != leader]

    def propose(self, data: bytes, member_id: str | None = None) -> int:
        """Propose data at the leader, or at the member; return the token."""
        self.tokens += 1
        self.data_by_token[self.tokens] = data
        self.step(member_id or self.await_leader(), ProposeData(self.tokens, data))
        return self.tokens

    def commit(self, data: bytes) -> None:
        """Propose until the data is committed."""
        token = self.propose(data)
        self.run_until(lambda: self.outcome(token))
        assert self.outcome(token) == "done"

    def change(self, **change) -> int:
        """Ask the leader for a member change; return the token."""
        self.tokens += 1
        self.step(self.await_leader(), ChangeMember(self.tokens, **change))
        return self.tokens

    def replace(self, member_id: str) -> int:
        """Ask the leader to replace a member that has lost its folder."""
        return self.change(member=Member(member_id, "", "a"), replace=True)

    def read(self, member_id: str) -> int:
        """Ask a member to confirm a read; return the token."""
        self.tokens += 1
        self.step(member_id, ConfirmRead(self.tokens))
        return self.tokens

    def outcome(self, token: int) -> str:
        """Return "done", "refused" or "lost" for a proposal or read, empty while it is pending."""
        for _, output in self.outputs:
            if isinstance(output, SendTo) or getattr(output, "token", None) != token:
                continue
            if isinstance(output, ProposalDone | ReadConfirmed):
                return "done"
            refused = isinstance(output, ProposalLost) and output.not_logged
            return "refused" if refused else "lost"
        return ""

    def restore_all(self) -> None:
        """Remove all faults and start every stopped member."""
        self.heal()
        for member_id, node in self.node_by_id.items():
            node.paused_until = 0.0
            node.disk.power_cut_at = None
            if node.replica is None:
                self.start(member_id)

    def check_convergence(self) -> None:
        """Remove all faults; check that the members agree and have all acknowledged entries."""
        self.restore_all()
        self.commit(b"last %d" % self.tokens)
        self.run_until(self._members_agree)
        entries = self.node_by_id[self.leader()].machine.entries
        for data in self.acknowledged.values():
            count = entries.count(data)
            assert count == 1, f"{data!r} was acknowledged and is present {count} times"

    def _members_agree(self) -> bool:
        leader = self.leader()
        if leader is None:
            return False
        replica = self.node_by_id[leader].replica
        expected = self.node_by_id[leader].machine.entries
        for member in replica.status().members:
            node = self.node_by_id[member.member_id]
            if node.replica is None or node.replica.status().identity != member.identity:
                continue
            if node.machine.entries != expected:
                return False
        return True

    def _record_failure(self, node: Node, error: StorageError) -> None:
        """Record an injected disk failure; raise any other error."""
        if str(error) not in ("sync failed", "disk full"):
            raise error
        node.failure = error

    def _handle(self, member_id: str, outputs: list) -> None:
        for output in outputs:
            if not isinstance(output, SendTo):
                self.outputs.append((member_id, output))
            if isinstance(output, ReadConfirmed):
                entries = self.node_by_id[member_id].machine.entries
                self.value_by_token[output.token] = entries[-1] if entries else b""
            if isinstance(output, SendTo):
                self._send(member_id, output.peer, output.message)
            if isinstance(output, ProposalDone) and output.token in self.data_by_token:
                self.acknowledged[output.token] = self.data_by_token[output.token]

    def _send(self, source: str, target: str, message: object) -> None:
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            if (source, target) in self.cuts or self.is_dropped(target, message):
                continue
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.random() * self.jitter
            item = (self.now + delay, len(self.sent), source, target, decode(encode(message)))
            self.in_flight.append(item)
            self.sent.append((source, target, message))

    def _check(self, member_id: str) -> None:
        """Check election safety, log matching and the persistence of committed entries."""
        node = self.node_by_id[member_id]
        if node.replica is None:
            return
        core = node.replica._core
        if core.leadership is not None:
            first = self.leader_by_term.setdefault(core.term, core.identity)
            assert first == core.identity, f"two leaders in term {core.term}"
        log = core.storage.log
        for index in range(max(log.base_index + 1, log.last_index - 3), log.last_index + 1):
            entry = log.entry(index)
            preceding = (log.term_at(index - 1), entry)
            known = self.entry_by_index_and_term.setdefault((index, entry.term), preceding)
            assert known == preceding, f"logs differ at {index} in term {entry.term}"
        for index in range(max(log.base_index, core.commit_index - 3) + 1, core.commit_index + 1):
            known = self.committed.setdefault(index, log.entry(index))
            assert known == log.entry(index), f"the committed entry {index} was replaced"


def carries_entries(message):
    """Return whether a message carries entries or a part of a snapshot."""
    return bool(getattr(message, "entries", ())) or isinstance(message, SnapshotChunk)
