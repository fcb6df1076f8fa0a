"""One member of the group: dispatches events to its parts, syncs once, then returns outputs."""

from __future__ import annotations

import random
import zlib

from tarragonhall_model import CodecError

from tarragonhall_consensus._bootstrap import Bootstrap
from tarragonhall_consensus._core import Core
from tarragonhall_consensus._election import Election
from tarragonhall_consensus._files import Files, disk_files
from tarragonhall_consensus._follower import Follower
from tarragonhall_consensus._interface import (
    ChangeMember,
    ConfirmRead,
    Event,
    MessageRejected,
    Output,
    ProposalLost,
    ProposeData,
    ReadLost,
    Received,
    Role,
    StateMachine,
    Status,
    TakeSnapshot,
    Tick,
)
from tarragonhall_consensus._leadership import Leadership
from tarragonhall_consensus._limits import Limits
from tarragonhall_consensus._log import entry_bytes
from tarragonhall_consensus._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    Envelope,
    FoundingQuery,
    FoundingReply,
    Member,
    Message,
    OtherIdentity,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotReply,
    VoteReply,
    VoteRequest,
    check_message,
    unpack_entries,
)
from tarragonhall_consensus._storage import open_storage


def open_replica(
    folder: str,
    member_id: str,
    address: str,
    bootstrap: list[Member],
    machine: StateMachine,
    rng: random.Random,
    now: float,
    limits: Limits | None = None,
    files: Files | None = None,
    started_at: float | None = None,
    initial_state: bytes | None = None,
) -> Replica:
    """Open the data folder and return the member in its stored state.

    `bootstrap` lists the initial members, this one included, with empty identities; it is used only
    if the folder is new. With an empty list the member waits to be added to a group.
    `started_at` is the start time of this process on the clock of `now`, after which no earlier
    process used the folder; it defaults to `now`. `rng` must differ at every start: the identity of
    a new folder is drawn from it. `initial_state` is a snapshot of the machine before its first
    entry, for a machine that an earlier replica of this process has changed.
    Raises `StorageError` if the folder cannot be used, `StorageUnavailableError` if it may be
    usable later; the machine is unchanged then.
    """
    limits = limits or Limits()
    storage = open_storage(files or disk_files(), folder, member_id, rng, limits.segment_bytes)
    try:
        if storage.snapshot is not None:
            machine.restore(storage.snapshot_data)
            storage.snapshot_data = b""
        elif initial_state is not None:
            machine.restore(initial_state)
        core = Core(storage, machine, rng, limits, now, now if started_at is None else started_at)
        return Replica(core, bootstrap, address)
    except BaseException:
        # An open folder stays locked, and this process could not open it again either.
        storage.close()
        raise


def stored_group(folder: str, member_id: str, rng: random.Random) -> str:
    """Return the group that a data folder belongs to, empty if it belongs to none yet.

    Opens the folder and releases it; raises `StorageError` as `open_replica` does.
    """
    storage = open_storage(disk_files(), folder, member_id, rng, Limits().segment_bytes)
    try:
        return storage.state.group
    finally:
        storage.close()


class Replica:
    """One member. Not thread-safe; a single loop calls it."""

    __slots__ = (
        "_address",
        "_bootstrap",
        "_bytes_since_snapshot",
        "_core",
        "_election",
        "_follower",
        "_snapshot_delay",
        "_snapshot_wanted",
    )

    def __init__(self, core: Core, bootstrap: list[Member], address: str) -> None:
        self._core = core
        self._election = Election(core)
        self._follower = Follower(core)
        self._bootstrap = Bootstrap(core, bootstrap)
        self._address = address
        self._snapshot_wanted = False
        self._snapshot_delay = 1 + core.limits.snapshot_jitter * core.rng.random()
        self._bytes_since_snapshot = 0

    def step(self, events: list[Event], now: float) -> list[Output]:
        """Handle a batch of events and return the outputs, after at most one sync.

        Raises `StorageError` if the data folder fails. The replica must then be closed: no output
        of the step has left it, and every later step raises again. After a
        `StorageUnavailableError` the folder can be opened again.
        """
        core = self._core
        core.now = max(now, core.now)
        core.outputs = []
        self._check_majority()
        for event in events:
            self._handle(event)
        self._tick()
        # No output may depend on data that is not synced.
        core.storage.sync()
        self._advance()
        self._take_snapshot_if_due()
        core.report_role()
        return core.outputs

    def status(self) -> Status:
        """Return the status of this member for operators."""
        core = self._core
        is_candidate = core.role is Role.CANDIDATE
        return Status(
            member_id=core.member_id,
            role=core.role.value,
            term=core.term,
            leader=core.leader,
            commit_index=core.commit_index,
            last_index=core.storage.log.last_index,
            applied_index=core.applied_index,
            members=list(core.membership.members),
            identity=core.identity,
            address=self._address,
            peer_by_id=core.leadership.peer_status() if core.leadership else {},
            leaderless_seconds=0.0 if core.leadership else core.now - core.leader_contact_at,
            leading_seconds=core.leadership.duration_seconds() if core.leadership else 0.0,
            granted_by=self._election.granted_by() if is_candidate else (),
            refused_by=self._election.refused_by() if is_candidate else (),
        )

    def members(self) -> tuple[Member, ...]:
        """Return the members, without the rest of the status: asked for with each message."""
        return self._core.membership.members

    def address_of(self, member_id: str) -> str | None:
        """Return the link address of a member, None if it is none."""
        member = self._core.membership.member_by_id.get(member_id)
        return member.address if member is not None else None

    def leader(self) -> str | None:
        """Return the id of the leader, None if it is unknown."""
        return self._core.leader

    def term(self) -> int:
        """Return the current term."""
        return self._core.term

    def is_leader(self, now: float) -> bool:
        """Return whether this member is the leader and its lease is valid at `now`."""
        leadership = self._core.leadership
        return leadership is not None and leadership.holds_lease(now)

    def close(self) -> None:
        """Release the data folder."""
        self._core.storage.close()

    def _check_majority(self) -> None:
        core = self._core
        if core.leadership is not None and not core.leadership.has_majority():
            core.become_follower(core.term, None)

    def _handle(self, event: Event) -> None:
        leadership = self._core.leadership
        match event:
            case Tick():
                pass
            case Received(peer, message):
                self._receive(peer, message)
            case TakeSnapshot():
                self._snapshot_wanted = True
            case ProposeData(token) | ChangeMember(token) if leadership is None:
                lost = ProposalLost(token, self._core.leader, not_logged=True, reason="no leader")
                self._core.outputs.append(lost)
            case ConfirmRead(token) if leadership is None:
                self._core.outputs.append(ReadLost(token, self._core.leader))
            case ProposeData():
                leadership.propose(event)
            case ConfirmRead():
                leadership.queue_read(event)
            case ChangeMember():
                leadership.change_member(event)

    def _receive(self, peer: str, message: object) -> None:
        core = self._core
        match message:
            case FoundingQuery():
                self._bootstrap.on_query(peer, message)
                return
            case FoundingReply():
                self._bootstrap.on_reply(peer, message)
                return
        if not isinstance(message, Message) or not core.is_from_this_group(message.envelope):
            return
        try:
            check_message(message)
            entries = unpack_entries(message.entries) if isinstance(message, AppendRequest) else []
        except CodecError as error:
            # A member that cannot read an entry waits for its upgrade or for a sound one: without
            # the entry its state would differ from that of the others.
            core.outputs.append(MessageRejected(peer, str(error)))
            return
        self._receive_from_group(peer, message, entries)

    def _receive_from_group(self, peer: str, message: Message, entries: list[Entry]) -> None:
        core = self._core
        envelope = message.envelope
        if not core.is_for_this_identity(envelope):
            self._report_other_identity(peer, message)
            return
        match message:
            case VoteRequest():
                core.join_group(envelope.group)
                self._election.on_request(peer, message)
            case AppendRequest():
                core.join_group(envelope.group)
                self._follower.on_append(peer, message, entries)
            case SnapshotChunk():
                core.join_group(envelope.group)
                self._follower.on_chunk(peer, message)
            case VoteReply():
                if self._election.on_reply(peer, message):
                    self._become_leader()
            case OtherIdentity():
                self._receive_other_identity(peer, message)
            case AppendReply() | SnapshotReply():
                self._receive_leader_reply(peer, message)

    def _receive_other_identity(self, peer: str, message: OtherIdentity) -> None:
        if self._core.leadership is not None:
            self._core.leadership.on_other_identity(peer, message)
        elif self._election.on_other_identity(peer, message):
            self._become_leader()

    def _report_other_identity(self, peer: str, message: Message) -> None:
        """Report to a leader or candidate that this member has lost its folder."""
        if isinstance(message, AppendRequest | SnapshotChunk | VoteRequest):
            envelope = Envelope(
                message.envelope.group,
                self._core.identity,
                message.envelope.from_identity,
                self._core.term,
            )
            self._core.send(peer, OtherIdentity(envelope, message.envelope.to_identity))

    def _receive_leader_reply(self, peer: str, reply: AppendReply | SnapshotReply) -> None:
        core = self._core
        # A removed member must not depose the leader with a higher term.
        if not core.membership.is_member(peer, reply.envelope.from_identity):
            return
        if reply.envelope.term > core.term:
            core.become_follower(reply.envelope.term, None)
            return
        if core.leadership is None or reply.envelope.term < core.term:
            return
        match reply:
            case AppendReply():
                core.leadership.on_append_reply(peer, reply)
            case SnapshotReply():
                core.leadership.on_snapshot_reply(peer, reply)

    def _tick(self) -> None:
        core = self._core
        self._bootstrap.tick()
        if self._election.tick():
            self._become_leader()
        if core.leadership is not None:
            core.leadership.update_members()

    def _become_leader(self) -> None:
        core = self._core
        election = self._election
        core.become_leader(Leadership(core, election.silent_since(), election.lost()))

    def _advance(self) -> None:
        """Commit, apply and answer callers. The entries of this step are synced by now."""
        core = self._core
        leadership = core.leadership
        if leadership is not None:
            leadership.advance_commit()
        self._apply()
        if leadership is None:
            return
        leadership.finish_step()
        if leadership.is_removed():
            core.become_follower(core.term, None)

    def _apply(self) -> None:
        core = self._core
        while core.applied_index < core.commit_index:
            index = core.applied_index + 1
            entry = core.storage.log.entry(index)
            result = None
            if entry.kind is EntryKind.DATA:
                result = core.machine.apply(index, entry.data)
            core.applied_index = index
            self._bytes_since_snapshot += entry_bytes(entry)
            if core.leadership is not None:
                core.leadership.report_applied(index, result)

    def _take_snapshot_if_due(self) -> None:
        core = self._core
        limits = core.limits
        index = core.applied_index
        last = core.storage.snapshot
        last_index = last.index if last else 0
        if index == last_index or not (self._snapshot_wanted or self._is_snapshot_due(last)):
            return
        term = core.storage.log.term_at(index)
        data = core.machine.snapshot()
        members = core.membership.members_at(index)
        meta = SnapshotMeta(index, term, core.group, members, len(data), zlib.crc32(data))
        core.storage.save_snapshot(meta, data)
        core.storage.compact(
            core.storage.log.compaction_index(index, limits.trailing_entries, limits.trailing_bytes)
        )
        self._snapshot_wanted = False
        self._bytes_since_snapshot = 0

    def _is_snapshot_due(self, last: SnapshotMeta | None) -> bool:
        core = self._core
        size = self._bytes_since_snapshot / self._snapshot_delay
        if last is not None and size < last.size:
            return False
        entries = (core.applied_index - (last.index if last else 0)) / self._snapshot_delay
        return size >= core.limits.snapshot_bytes or entries >= core.limits.snapshot_entries
