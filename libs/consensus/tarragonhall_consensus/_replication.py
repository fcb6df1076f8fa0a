"""How the leader brings its log to each peer: batches, a bound on what is out, and snapshots."""

from __future__ import annotations

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
    """Sends entries, heartbeats and snapshots, and keeps the progress of every peer."""

    __slots__ = ("_core", "_progress_by_id", "_round_begun", "_rounds")

    def __init__(self, core: Core, rounds: Rounds) -> None:
        self._core = core
        self._rounds = rounds
        self._round_begun = False
        self._progress_by_id: dict[str, Progress] = {}
        self._fit_to_membership()

    def match_index(self, peer: str) -> int:
        """Return up to which index the peer is known to hold this log."""
        progress = self._progress_by_id.get(peer)
        return progress.match_index if progress else 0

    def acked_round(self, peer: str) -> int:
        """Return the latest round that the peer has answered."""
        progress = self._progress_by_id.get(peer)
        return progress.acked_round if progress else 0

    def contact_at(self, peer: str) -> float:
        """Return when the latest message that the peer has answered was sent."""
        progress = self._progress_by_id.get(peer)
        return progress.contact_at if progress else NEVER

    def caught_up_identity(self, peer: str) -> str | None:
        """Return the identity of a learner that has caught up and answers, else None.

        A member that voted before it had caught up would count in the majority while nothing can
        commit with it. Losing one more member then would stop every change for as long as the
        catch-up takes.
        """
        progress = self._progress_by_id.get(peer)
        if progress is None or not progress.is_caught_up:
            return None
        if self._core.now - progress.contact_at > self._core.limits.election_seconds:
            return None
        return progress.identity

    def peer_status(self) -> dict[str, PeerStatus]:
        """Return what operators see of each peer."""
        status_by_id = {}
        for peer, progress in self._progress_by_id.items():
            silent = None if progress.contact_at == NEVER else self._core.now - progress.contact_at
            status = PeerStatus(progress.match_index, silent, progress.other_identity)
            status_by_id[peer] = status
        return status_by_id

    def on_other_identity(self, peer: str, message: OtherIdentity) -> None:
        """Note, for operators, that a peer has lost its data folder."""
        progress = self._progress_by_id.get(peer)
        if progress is not None and message.envelope.to_identity == self._core.identity:
            progress.other_identity = message.envelope.from_identity

    def on_append_reply(self, peer: str, reply: AppendReply) -> None:
        """Take in what the peer has synced, or where its log parts from this one."""
        progress = self._progress_of(peer, reply.envelope.from_identity)
        if progress is None:
            return
        self._note_contact(progress, reply.round)
        if not reply.accepted:
            self._step_back(progress, reply)
            return
        # An answer can only name what was sent; more would mean that the logs differ.
        if reply.index > self._core.storage.log.last_index:
            return
        progress.accept(reply.index)
        # It holds all that the log held when this message left: it is a round trip behind.
        end = self._rounds.last_index(reply.round)
        progress.is_caught_up = end is not None and progress.match_index >= end
        if progress.mode is Mode.PROBE:
            progress.mode = Mode.REPLICATE
            progress.next_index = progress.match_index + 1

    def on_snapshot_reply(self, peer: str, reply: SnapshotReply) -> None:
        """Go on with the next chunk, or with entries once the snapshot is stored."""
        progress = self._progress_of(peer, reply.envelope.from_identity)
        if progress is None:
            return
        self._note_contact(progress, reply.round)
        transfer = progress.transfer
        if transfer is None or reply.index != transfer.meta.index:
            return
        if reply.done:
            progress.accept(reply.index)
            progress.probe_from(reply.index + 1)
            return
        progress.is_waiting = False
        transfer.offset = min(reply.offset, transfer.meta.size)

    def send_all(self, wanted_round: int) -> None:
        """Send every peer what is due; a read that waits makes a heartbeat due at once."""
        self._round_begun = False
        self._fit_to_membership()
        for peer, progress in self._progress_by_id.items():
            self._give_up_lost(progress)
            self._begin_or_end_transfer(progress)
            match progress.mode:
                case Mode.SNAPSHOT:
                    self._send_chunk(peer, progress)
                case Mode.PROBE:
                    self._send_probe(peer, progress)
                case Mode.REPLICATE:
                    self._send_entries(peer, progress)
            if self._owes_heartbeat(progress, wanted_round):
                self._send_heartbeat(peer, progress)

    def _fit_to_membership(self) -> None:
        """Begin with members that are new here and forget those that are gone."""
        core = self._core
        members = core.membership.member_by_id
        for peer in list(self._progress_by_id):
            if peer not in members:
                del self._progress_by_id[peer]
        for peer, member in members.items():
            if peer == core.member_id:
                continue
            progress = self._progress_by_id.get(peer)
            if progress is not None and member.identity in (progress.listed, progress.identity):
                progress.listed = member.identity
                continue
            self._progress_by_id[peer] = self._new_progress(member.identity, member.identity)

    def _new_progress(self, identity: str, listed: str) -> Progress:
        return Progress(identity, listed, self._core.storage.log.last_index + 1)

    def _progress_of(self, peer: str, identity: str) -> Progress | None:
        """Return the progress of the peer if it answers under the identity that is known.

        Under another identity it has lost its folder: what the old one had synced is gone, and
        counting it would commit entries that too few members hold. A learner that has no vote
        yet may begin anew under its new identity.
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

    def _note_contact(self, progress: Progress, number: int) -> None:
        progress.other_identity = ""
        progress.acked_round = max(progress.acked_round, number)
        sent_at = self._rounds.sent_at(number)
        if sent_at is not None:
            progress.contact_at = max(progress.contact_at, sent_at)

    def _step_back(self, progress: Progress, reply: AppendReply) -> None:
        # A late refusal of a message before the match is known to be out of date.
        if reply.previous_index <= progress.match_index or progress.mode is Mode.SNAPSHOT:
            return
        progress.probe_from(min(reply.index, reply.previous_index - 1) + 1)

    def _give_up_lost(self, progress: Progress) -> None:
        """Take what was not answered in time for lost, and look where the logs meet again."""
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

    def _begin_or_end_transfer(self, progress: Progress) -> None:
        """Send a snapshot to a peer that needs one, for as long as it answers.

        A peer that is down would keep the bytes of the whole state in this member's memory.
        """
        core = self._core
        silent = core.now - progress.contact_at
        if progress.mode is Mode.SNAPSHOT:
            if silent > core.limits.transfer_seconds:
                progress.probe_from(progress.match_index + 1)
            return
        if self._has_entries_for(progress):
            return
        if silent > core.limits.election_seconds:
            # Heartbeats alone, until it answers one that left lately.
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
            self._round(),
            meta.index,
            meta.term,
            meta.members,
            transfer.offset,
            meta.size,
            meta.crc,
            data,
        )
        self._wait(progress)
        self._send(peer, progress, chunk)

    def _send_probe(self, peer: str, progress: Progress) -> None:
        if progress.is_waiting or not self._has_entries_for(progress):
            return
        self._wait(progress)
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
                self._wait(progress)

    def _owes_heartbeat(self, progress: Progress, wanted_round: int) -> bool:
        core = self._core
        if progress.sent_round < wanted_round:
            return True
        if core.now - progress.sent_at >= core.limits.heartbeat_seconds:
            return True
        # Others learn of a commit with the next entries, or a moment later: a message for each
        # commit to each member would be half of all messages under load.
        knows = progress.sent_commit >= min(core.commit_index, progress.match_index)
        if knows or progress.mode is not Mode.REPLICATE:
            return False
        return core.now - progress.sent_at >= core.limits.commit_notice_seconds

    def _send_heartbeat(self, peer: str, progress: Progress) -> None:
        # Where the logs are known to meet, a heartbeat is never refused for entries on their way.
        previous = progress.match_index
        if progress.mode is Mode.PROBE:
            previous = progress.next_index - 1
        if self._core.storage.log.term_at(previous) is None:
            previous = self._core.storage.log.base_index
        self._send_append(peer, progress, previous, 0)

    def _send_append(self, peer: str, progress: Progress, previous: int, max_bytes: int) -> int:
        """Send the entries after `previous`, none where `max_bytes` is 0; return how many."""
        core = self._core
        log = core.storage.log
        entries = log.slice(previous + 1, max_bytes) if max_bytes else []
        request = AppendRequest(
            self._envelope(progress),
            self._round(),
            previous,
            log.term_at(previous),
            core.commit_index,
            pack_entries(entries),
        )
        progress.sent_commit = min(core.commit_index, previous + len(entries))
        self._send(peer, progress, request)
        return len(entries)

    def _send(self, peer: str, progress: Progress, message: AppendRequest | SnapshotChunk) -> None:
        progress.sent_at = self._core.now
        progress.sent_round = self._rounds.current
        self._core.send(peer, message)

    def _wait(self, progress: Progress) -> None:
        progress.is_waiting = True
        progress.waiting_since = self._core.now

    def _envelope(self, progress: Progress) -> Envelope:
        return self._core.envelope(progress.identity)

    def _round(self) -> int:
        """Return this step's round, begun with the first message that it sends."""
        if not self._round_begun:
            self._rounds.begin(self._core.now, self._core.storage.log.last_index)
            self._round_begun = True
        return self._rounds.current
