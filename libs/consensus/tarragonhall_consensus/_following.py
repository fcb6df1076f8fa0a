"""What a member does with what the leader sends: entries, heartbeats and snapshots."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from tarragonhall_model import CodecError, StorageError

from tarragonhall_consensus._core import Core
from tarragonhall_consensus._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotReply,
    unpack_entries,
)


@dataclass(slots=True)
class _Incoming:
    index: int
    crc: int
    data: bytearray = field(default_factory=bytearray)


class Following:
    """Answers the leader of the term."""

    __slots__ = ("_core", "_incoming")

    def __init__(self, core: Core) -> None:
        self._core = core
        self._incoming: _Incoming | None = None

    def on_append(self, peer: str, request: AppendRequest) -> None:
        """Take in entries where they fit; the answer leaves after the sync."""
        core = self._core
        if request.envelope.term < core.term:
            self._refuse(peer, request, core.commit_index)
            return
        self._accept_leader(peer, request.envelope.term)
        meeting = self._where_logs_meet(request)
        if meeting is None:
            self._refuse(peer, request, self._hint(request.previous_index))
            return
        index = request.previous_index
        for entry in self._entries_of(request):
            index += 1
            if index <= meeting or core.storage.log.term_at(index) == entry.term:
                continue
            self._guard_committed(index)
            core.put(index, entry)
        matching = max(index, meeting)
        core.commit_index = max(core.commit_index, min(request.commit_index, matching))
        envelope = core.envelope(request.envelope.from_identity)
        reply = AppendReply(envelope, request.round, True, request.previous_index, matching)
        core.send(peer, reply)

    def on_chunk(self, peer: str, chunk: SnapshotChunk) -> None:
        """Take in the next part of a snapshot, and the whole once it is there."""
        core = self._core
        if chunk.envelope.term < core.term:
            self._answer_chunk(peer, chunk, 0, False)
            return
        self._accept_leader(peer, chunk.envelope.term)
        if chunk.index <= core.commit_index:
            self._incoming = None
            self._answer_chunk(peer, chunk, chunk.size, True)
            return
        incoming = self._incoming
        if incoming is None or incoming.index != chunk.index or incoming.crc != chunk.crc:
            incoming = self._incoming = _Incoming(chunk.index, chunk.crc)
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
        if len(incoming.data) < chunk.size:
            self._answer_chunk(peer, chunk, len(incoming.data), False)
            return
        self._incoming = None
        done = self._install(chunk, bytes(incoming.data))
        self._answer_chunk(peer, chunk, chunk.size if done else 0, done)

    def _entries_of(self, request: AppendRequest) -> list[Entry]:
        """Return the entries; stop where one is of a kind that this program does not know.

        Passing over it would leave this member with another state than the rest.
        """
        try:
            return unpack_entries(request.entries)
        except CodecError as error:
            raise StorageError(f"{error}; the leader is newer, upgrade this member") from error

    def _accept_leader(self, peer: str, term: int) -> None:
        self._core.follow(term, peer)
        self._core.hear_leader()

    def _where_logs_meet(self, request: AppendRequest) -> int | None:
        """Return up to which index the logs are known to agree before the entries; None if not."""
        log = self._core.storage.log
        # What the snapshot covers is committed, and every leader holds it.
        if request.previous_index < log.base_index:
            return log.base_index
        if log.term_at(request.previous_index) != request.previous_term:
            return None
        return request.previous_index

    def _hint(self, previous_index: int) -> int:
        """Return the last index at which the logs may agree, skipping a whole term at a time."""
        core = self._core
        log = core.storage.log
        if previous_index > log.last_index:
            return log.last_index
        return max(log.first_of_term(previous_index) - 1, core.commit_index)

    def _refuse(self, peer: str, request: AppendRequest, index: int) -> None:
        envelope = self._core.envelope(request.envelope.from_identity)
        reply = AppendReply(envelope, request.round, False, request.previous_index, index)
        self._core.send(peer, reply)

    def _guard_committed(self, index: int) -> None:
        """Stop rather than drop an entry that was committed: some file has lost synced data."""
        if index <= self._core.commit_index:
            raise StorageError(
                f"the leader's log differs at {index}, which is committed here; "
                "a member's data folder has lost data: compare the members before any restart"
            )

    def _install(self, chunk: SnapshotChunk, data: bytes) -> bool:
        if zlib.crc32(data) != chunk.crc:
            return False
        meta = SnapshotMeta(
            chunk.index, chunk.last_term, self._core.group, chunk.members, chunk.size, chunk.crc
        )
        self._core.install(meta, data)
        return True

    def _answer_chunk(self, peer: str, chunk: SnapshotChunk, offset: int, done: bool) -> None:
        envelope = self._core.envelope(chunk.envelope.from_identity)
        reply = SnapshotReply(envelope, chunk.round, chunk.index, offset, done)
        self._core.send(peer, reply)
