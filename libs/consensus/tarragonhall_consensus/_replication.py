"""Replication of the leader's log to each peer: batches, a limit in flight, and snapshots."""

from __future__ import annotations

from collections.abc import Callable

from tarragonhall_consensus._core import NEVER, Core
from tarragonhall_consensus._interface import PeerStatus
from tarragonhall_consensus._messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    OtherIdentity,
    SnapshotChunk,
    SnapshotReply,
    pack_entries,
)
from tarragonhall_consensus._progress import Mode, Progress, Transfer
from tarragonhall_consensus._reads import Rounds


class Replication:
    """Sends entries, heartbeats and snapshots, and tracks the progress of every peer."""

    __slots__ = ("_core", "_progress_by_id", "_round_started", "_rounds")

    def __init__(self, core: Core, rounds: Rounds) -> None:
        self._core = core
        self._rounds = rounds
        self._round_started = False
        self._progress_by_id: dict[str, Progress] = {}
        self._update_peers()

    def match_index(self, peer: str, identity: str) -> int:
        """Return the index up to which the log of the peer's identity is known to match."""
        progress = self._progress_by_id.get(peer)
        return progress.match_index if progress and progress.identity == identity else 0

    def lost_identities(self) -> set[str]:
        """Return the listed identities whose peers have reported that the folder is lost."""
        return {
            progress.listed_identity
            for progress in self._progress_by_id.values()
            if progress.listed_identity and progress.lost_identity == progress.listed_identity
        }

    def acked_round(self, peer: str) -> int:
        """Return the latest round that the peer has answered."""
        progress = self._progress_by_id.get(peer)
        return progress.acked_round if progress else 0

    def contact_at(self, peer: str) -> float:
        """Return the send time of the latest message that the peer has answered."""
        progress = self._progress_by_id.get(peer)
        return progress.contact_at if progress else NEVER

    def caught_up_identity(self, peer: str) -> str | None:
        """Return the identity of a learner that has caught up and is reachable, else None.

        A member that voted before it had caught up would raise the majority without acknowledging
        new entries. The loss of one more member would then block every change until it has.
        """
        progress = self._progress_by_id.get(peer)
        if progress is None or not progress.is_caught_up:
            return None
        if self._core.now - progress.contact_at > self._core.limits.election_seconds:
            return None
        return progress.identity

    def peer_status(self, silent_since: Callable[[str], float]) -> dict[str, PeerStatus]:
        """Return the status of each peer for operators; `silent_since` is asked for each."""
        status_by_id = {}
        for peer, progress in self._progress_by_id.items():
            since_contact = (
                None if progress.contact_at == NEVER else self._core.now - progress.contact_at
            )
            silent_s = self._core.now - silent_since(peer)
            status = PeerStatus(
                progress.match_index, since_contact, progress.other_identity, silent_s
            )
            status_by_id[peer] = status
        return status_by_id

    def on_other_identity(self, peer: str, message: OtherIdentity) -> None:
        """Record, for operators, that a peer has lost its data folder."""
        progress = self._progress_by_id.get(peer)
        if progress is None or message.envelope.to_identity != self._core.identity:
            return
        if not progress.listed_identity:
            # Nobody counts on a learner's copy; it starts over as it would after a first reply.
            self._progress_by_id[peer] = self._new_progress(message.envelope.from_identity, "")
            return
        progress.other_identity = message.envelope.from_identity
        progress.lost_identity = message.lost_identity

    def on_append_reply(self, peer: str, reply: AppendReply) -> None:
        """Update the peer's progress from its reply to entries or a heartbeat."""
        progress = self._progress_of(peer, reply.envelope.from_identity)
        if progress is None:
            return
        self._record_contact(progress, reply.round)
        if not reply.accepted:
            self._probe_earlier(progress, reply)
            return
        # A reply cannot acknowledge more than was sent; a higher index means that the logs differ.
        if reply.index > self._core.storage.log.last_index:
            return
        progress.record_match(reply.index)
        # Caught up: it has every entry that was in the log when this message was sent, so it is at
        # most a round trip behind.
        end = self._rounds.last_index(reply.round)
        progress.is_caught_up = end is not None and progress.match_index >= end
        if progress.mode is Mode.PROBE:
            progress.mode = Mode.REPLICATE
            progress.next_index = progress.match_index + 1

    def on_snapshot_reply(self, peer: str, reply: SnapshotReply) -> None:
        """Continue with the next chunk, or with entries once the snapshot is stored."""
        progress = self._progress_of(peer, reply.envelope.from_identity)
        if progress is None:
            return
        self._record_contact(progress, reply.round)
        transfer = progress.transfer
        if transfer is None or reply.index != transfer.meta.index:
            return
        if reply.done:
            progress.record_match(reply.index)
            progress.probe_from(reply.index + 1)
            return
        progress.is_waiting = False
        transfer.offset = min(reply.offset, transfer.meta.size)

    def send_all(self, required_round: int) -> None:
        """Send every peer what is due; a waiting read makes a heartbeat due at once."""
        self._round_started = False
        self._update_peers()
        for peer, progress in self._progress_by_id.items():
            self._expire_unacknowledged(progress)
            self._update_transfer(progress)
            match progress.mode:
                case Mode.SNAPSHOT:
                    self._send_chunk(peer, progress)
                case Mode.PROBE:
                    self._send_probe(peer, progress)
                case Mode.REPLICATE:
                    self._send_entries(peer, progress)
            if self._is_heartbeat_due(progress, required_round):
                self._send_heartbeat(peer, progress)

    def _update_peers(self) -> None:
        """Add the progress of new members and drop that of removed ones."""
        core = self._core
        members = core.membership.member_by_id
        for peer in list(self._progress_by_id):
            if peer not in members:
                del self._progress_by_id[peer]
        for peer, member in members.items():
            if peer == core.member_id:
                continue
            progress = self._progress_by_id.get(peer)
            if progress is not None and member.identity in (
                progress.listed_identity,
                progress.identity,
            ):
                progress.listed_identity = member.identity
                continue
            self._progress_by_id[peer] = self._new_progress(member.identity, member.identity)

    def _new_progress(self, identity: str, listed_identity: str) -> Progress:
        return Progress(identity, listed_identity, self._core.storage.log.last_index + 1)

    def _progress_of(self, peer: str, identity: str) -> Progress | None:
        """Return the progress of the peer if it replies under the known identity, else None.

        Under another identity the peer has lost its folder with all that it had synced; counting it
        would commit entries that too few members have. A learner without a listed identity starts
        over under the new one.
        """
        core = self._core
        member = core.membership.member_by_id.get(peer)
        progress = self._progress_by_id.get(peer)
        if member is None or progress is None:
            return None
        if progress.identity == identity:
            return progress
        if member.identity:
            return None
        progress = self._new_progress(identity, member.identity)
        self._progress_by_id[peer] = progress
        return progress

    def _record_contact(self, progress: Progress, round_number: int) -> None:
        progress.other_identity = ""
        progress.acked_round = max(progress.acked_round, round_number)
        sent_at = self._rounds.sent_at(round_number)
        if sent_at is not None:
            progress.contact_at = max(progress.contact_at, sent_at)

    def _probe_earlier(self, progress: Progress, reply: AppendReply) -> None:
        # A rejection at or before the matching index is out of date.
        if reply.previous_index <= progress.match_index or progress.mode is Mode.SNAPSHOT:
            return
        progress.probe_from(min(reply.index, reply.previous_index - 1) + 1)

    def _expire_unacknowledged(self, progress: Progress) -> None:
        """Treat messages without a timely reply as lost and probe for the matching index again."""
        core = self._core
        if not progress.is_waiting:
            return
        if core.now - progress.waiting_since < core.limits.retry_seconds:
            return
        progress.is_waiting = False
        if progress.mode is Mode.REPLICATE:
            progress.probe_from(progress.match_index + 1)

    def _has_entries_for(self, progress: Progress) -> bool:
        return self._core.storage.log.term_at(progress.next_index - 1) is not None

    def _update_transfer(self, progress: Progress) -> None:
        """Start a snapshot transfer to a peer that needs one; abandon it if the peer is gone.

        Otherwise the snapshot for a peer that is down would stay in this member's memory.
        """
        core = self._core
        since_contact = core.now - progress.contact_at
        if progress.mode is Mode.SNAPSHOT:
            if since_contact > core.limits.transfer_timeout_seconds:
                progress.probe_from(progress.match_index + 1)
            return
        if self._has_entries_for(progress):
            return
        if since_contact > core.limits.election_seconds:
            # Send only heartbeats until the peer has answered a recent one.
            progress.probe_from(progress.match_index + 1)
            return
        data = core.storage.load_snapshot()
        progress.start_transfer(Transfer(core.storage.snapshot, data))

    def _send_chunk(self, peer: str, progress: Progress) -> None:
        if progress.is_waiting:
            return
        transfer = progress.transfer
        meta = transfer.meta
        data = transfer.data[transfer.offset : transfer.offset + self._core.limits.message_bytes]
        chunk = SnapshotChunk(
            self._envelope(progress),
            self._current_round(),
            meta.index,
            meta.term,
            meta.members,
            transfer.offset,
            meta.size,
            meta.crc,
            data,
        )
        self._mark_waiting(progress)
        self._send(peer, progress, chunk)

    def _send_probe(self, peer: str, progress: Progress) -> None:
        if progress.is_waiting or not self._has_entries_for(progress):
            return
        self._mark_waiting(progress)
        self._send_append(peer, progress, progress.next_index - 1, self._core.limits.message_bytes)

    def _send_entries(self, peer: str, progress: Progress) -> None:
        core = self._core
        while progress.next_index <= core.storage.log.last_index:
            if len(progress.in_flight) >= core.limits.in_flight_messages:
                return
            previous = progress.next_index - 1
            count = self._send_append(peer, progress, previous, core.limits.message_bytes)
            progress.next_index += count
            progress.in_flight.append(progress.next_index - 1)
            if not progress.is_waiting:
                self._mark_waiting(progress)

    def _is_heartbeat_due(self, progress: Progress, required_round: int) -> bool:
        core = self._core
        if progress.sent_round < required_round:
            return True
        if core.now - progress.sent_at >= core.limits.heartbeat_seconds:
            return True
        # Followers learn of a commit with the next entries, or after a short delay: a message for
        # each commit to each member would be half of all messages under load.
        is_notified = progress.sent_commit_index >= min(core.commit_index, progress.match_index)
        if is_notified or progress.mode is not Mode.REPLICATE:
            return False
        return core.now - progress.sent_at >= core.limits.commit_notice_seconds

    def _send_heartbeat(self, peer: str, progress: Progress) -> None:
        # At the matching index a heartbeat is never rejected because entries are still in flight.
        previous = progress.match_index
        if progress.mode is Mode.PROBE:
            previous = progress.next_index - 1
        if self._core.storage.log.term_at(previous) is None:
            previous = self._core.storage.log.base_index
        self._send_append(peer, progress, previous, 0)

    def _send_append(self, peer: str, progress: Progress, previous: int, max_bytes: int) -> int:
        """Send the entries after `previous`, none if `max_bytes` is 0; return how many."""
        core = self._core
        log = core.storage.log
        entries = log.slice(previous + 1, max_bytes) if max_bytes else []
        request = AppendRequest(
            self._envelope(progress),
            self._current_round(),
            previous,
            log.term_at(previous),
            core.commit_index,
            pack_entries(entries),
        )
        progress.sent_commit_index = min(core.commit_index, previous + len(entries))
        self._send(peer, progress, request)
        return len(entries)

    def _send(self, peer: str, progress: Progress, message: AppendRequest | SnapshotChunk) -> None:
        progress.sent_at = self._core.now
        progress.sent_round = self._rounds.current
        self._core.send(peer, message)

    def _mark_waiting(self, progress: Progress) -> None:
        progress.is_waiting = True
        progress.waiting_since = self._core.now

    def _envelope(self, progress: Progress) -> Envelope:
        return self._core.envelope(progress.identity)

    def _current_round(self) -> int:
        """Return this step's round, which starts with the first message that the step sends."""
        if not self._round_started:
            self._rounds.start(self._core.now, self._core.storage.log.last_index)
            self._round_started = True
        return self._rounds.current
