"""A few members in one process, with a network, clocks and disks that do what a test wants."""

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
    """A machine that keeps every entry and tells how many there were."""

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
    """One member: its disk lasts, its replica comes and goes."""

    member: Member
    disk: Disk
    founders: list[Member]
    replica: object = None
    machine: Journal = field(default_factory=Journal)
    inbox: list = field(default_factory=list)
    paused_until: float = 0.0
    failure: StorageError | None = None


class Cluster:
    """Runs the members step by step and checks the log's promises after each step."""

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
        self.entry_by_place: dict[tuple[int, int], tuple] = {}
        self.committed: dict[int, object] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.data_by_token: dict[int, bytes] = {}
        self.value_by_token: dict[int, bytes] = {}
        founders = [Member(f"m{number}", "", f"a{number}") for number in range(count)]
        self.node_by_id = {f.member_id: self._node(f, founders) for f in founders}
        for member_id in self.node_by_id:
            self.start(member_id)

    def _node(self, member: Member, founders: list[Member]) -> Node:
        return Node(member, Disk(self.rng), founders)

    def add_node(self, member_id: str) -> Node:
        """Start a member that waits to be added."""
        node = self.node_by_id[member_id] = self._node(Member(member_id, "", "a"), [])
        self.start(member_id)
        return node

    def start(self, member_id: str, loading_s: float = 0.0) -> None:
        """Start or restart a member on its disk; its process began `loading_s` ago."""
        node = self.node_by_id[member_id]
        node.machine = Journal()
        node.failure = None
        rng = random.Random(self.rng.random())
        try:
            node.replica = open_replica(
                "data", member_id, node.member.address, node.founders, node.machine, rng,
                self.now, self.limits, node.disk, self.now - loading_s,
            )  # fmt: skip
        except PowerCut:
            node.disk.cut_power()
        except StorageError as error:
            self._fail(node, error)

    def kill(self, member_id: str, power: bool = False, wipe: bool = False) -> None:
        """End a member's process; with `power` lose what was not synced, with `wipe` all."""
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
        """Lose a member's data folder and start it on a new one."""
        self.kill(member_id, wipe=True)
        self.start(member_id)

    def pause(self, member_id: str, seconds: float) -> None:
        """Let a member's process do nothing for a while; its clock goes on."""
        self.node_by_id[member_id].paused_until = self.now + seconds

    def cut(self, sources: str | list[str], targets: str | list[str], both: bool = False) -> None:
        """Drop what the sources send to the targets."""
        sources = [sources] if isinstance(sources, str) else sources
        targets = [targets] if isinstance(targets, str) else targets
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def isolate(self, member_id: str) -> None:
        """Drop all that the member sends and is sent."""
        self.cut(member_id, [other for other in self.node_by_id if other != member_id], both=True)

    def heal(self) -> None:
        """Let the network deliver everything again."""
        self.cuts.clear()
        self.is_dropped = lambda target, message: False
        self.loss = self.duplicates = self.jitter = 0.0

    def give(self, member_id: str, *events: object) -> list:
        """Hand events to a member in one step and return its outputs."""
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
            self._fail(node, error)
            return []
        self._handle(member_id, outputs)
        self._check(member_id)
        return outputs

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP_SECONDS, 6)
            self.deliver()
            for member_id, node in self.node_by_id.items():
                if node.paused_until > self.now:
                    continue
                inbox, node.inbox = node.inbox, []
                self.give(member_id, *inbox, Tick())
            self.check_leases()

    def check_leases(self) -> None:
        """Check that no two members may act as leader at one time, paused ones included."""
        holders = [
            member_id
            for member_id, node in self.node_by_id.items()
            if node.replica is not None and node.replica.is_leader(self.now)
        ]
        assert len(holders) <= 1, f"{holders} hold the lease together"

    def deliver(self) -> None:
        """Hand over messages, and those sent in answer, until only late ones are left."""
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
                    self.give(target, Received(source, message))

    def run_until(self, condition, seconds: float = 20.0) -> None:
        """Let time pass until the condition holds; fail where it never does."""
        end = self.now + seconds
        while not condition():
            assert self.now < end, "waited in vain"
            self.run(STEP_SECONDS)

    def leader(self) -> str | None:
        """Return the member that may act as leader right now."""
        for member_id, node in self.node_by_id.items():
            paused = node.paused_until > self.now
            if node.replica is not None and not paused and node.replica.is_leader(self.now):
                return member_id
        return None

    def await_leader(self, without: str = "") -> str:
        """Let time pass until there is a leader other than `without`."""
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
        self.give(member_id or self.await_leader(), ProposeData(self.tokens, data))
        return self.tokens

    def commit(self, data: bytes) -> None:
        """Propose until the data is committed."""
        token = self.propose(data)
        self.run_until(lambda: self.ended(token))
        assert self.ended(token) == "done"

    def change(self, **change) -> int:
        """Ask the leader for a member change; return the token."""
        self.tokens += 1
        self.give(self.await_leader(), ChangeMember(self.tokens, **change))
        return self.tokens

    def replace(self, member_id: str) -> int:
        """Ask the leader to replace a member that has lost its folder."""
        return self.change(member=Member(member_id, "", "a"), replace=True)

    def read(self, member_id: str) -> int:
        """Ask a member to confirm a read; return the token."""
        self.tokens += 1
        self.give(member_id, ConfirmRead(self.tokens))
        return self.tokens

    def ended(self, token: int) -> str:
        """Return how a proposal or read ended, empty where it has not."""
        for _, output in self.outputs:
            if isinstance(output, SendTo) or getattr(output, "token", None) != token:
                continue
            if isinstance(output, ProposalDone | ReadConfirmed):
                return "done"
            refused = isinstance(output, ProposalLost) and output.not_logged
            return "refused" if refused else "lost"
        return ""

    def mend(self) -> None:
        """Mend the network and start every member again."""
        self.heal()
        for member_id, node in self.node_by_id.items():
            node.paused_until = 0.0
            node.disk.cut_at = None
            if node.replica is None:
                self.start(member_id)

    def settle(self) -> None:
        """Mend everything, and check that the members agree and nothing acknowledged is lost."""
        self.mend()
        self.commit(b"last %d" % self.tokens)
        self.run_until(self._agree)
        entries = self.node_by_id[self.leader()].machine.entries
        for data in self.acknowledged.values():
            count = entries.count(data)
            assert count == 1, f"{data!r} was acknowledged and is there {count} times"

    def _agree(self) -> bool:
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

    def _fail(self, node: Node, error: StorageError) -> None:
        """Note a failure that the disk was told to have; any other is a fault of the log."""
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
        """Check election safety, log matching and that committed entries stay."""
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
            place = (log.term_at(index - 1), entry)
            known = self.entry_by_place.setdefault((index, entry.term), place)
            assert known == place, f"logs differ at {index} in term {entry.term}"
        for index in range(max(log.base_index, core.commit_index - 3) + 1, core.commit_index + 1):
            known = self.committed.setdefault(index, log.entry(index))
            assert known == log.entry(index), f"the committed entry {index} was replaced"


def carries_entries(message):
    """Return whether a message brings a peer entries."""
    return bool(getattr(message, "entries", ())) or isinstance(message, SnapshotChunk)
