"""The follower's handling of entries, heartbeats and snapshots from the leader."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from tarragonhall_model import StorageError

from tarragonhall_consensus._core import Core
from tarragonhall_consensus._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotReply,
)


@dataclass(slots=True)
class _Incoming:
    index: int
    crc: int
    data: bytearray = field(default_factory=bytearray)


class Follower:
    """Answers the messages of the term's leader."""

    __slots__ = ("_core", "_incoming")

    def __init__(self, core: Core) -> None:
        self._core = core
        self._incoming: _Incoming | None = None

    def on_append(self, peer: str, request: AppendRequest, entries: list[Entry]) -> None:
        """Store the entries if they continue this log; the reply leaves after the sync."""
        core = self._core
        if request.envelope.term < core.term:
            self._reject(peer, request, core.commit_index)
            return
        self._accept_leader(peer, request.envelope.term)
        common_index = self._last_matching_index(request)
        if common_index is None:
            self._reject(peer, request, self._conflict_index(request.previous_index))
            return
        index = request.previous_index
        for entry in entries:
            index += 1
            if index <= common_index or core.storage.log.term_at(index) == entry.term:
                continue
            self._check_not_committed(index)
            core.put(index, entry)
        matching = max(index, common_index)
        core.commit_index = max(core.commit_index, min(request.commit_index, matching))
        envelope = core.envelope(request.envelope.from_identity)
        reply = AppendReply(envelope, request.round, True, request.previous_index, matching)
        core.send(peer, reply)

    def on_chunk(self, peer: str, chunk: SnapshotChunk) -> None:
        """Collect a part of a snapshot; install the snapshot once it is complete."""
        core = self._core
        if chunk.envelope.term < core.term:
            self._reply_to_chunk(peer, chunk, 0, False)
            return
        self._accept_leader(peer, chunk.envelope.term)
        if chunk.index <= core.commit_index:
            self._incoming = None
            self._reply_to_chunk(peer, chunk, chunk.size, True)
            return
        incoming = self._incoming
        if incoming is None or incoming.index != chunk.index or incoming.crc != chunk.crc:
            incoming = self._incoming = _Incoming(chunk.index, chunk.crc)
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
        if len(incoming.data) < chunk.size:
            self._reply_to_chunk(peer, chunk, len(incoming.data), False)
            return
        self._incoming = None
        done = self._install(chunk, bytes(incoming.data))
        self._reply_to_chunk(peer, chunk, chunk.size if done else 0, done)

    def _accept_leader(self, peer: str, term: int) -> None:
        self._core.become_follower(term, peer)
        self._core.record_leader_contact()

    def _last_matching_index(self, request: AppendRequest) -> int | None:
        """Return the index up to which the logs agree before the entries, None on a mismatch."""
        log = self._core.storage.log
        # Entries covered by the snapshot are committed, so every leader has them.
        if request.previous_index < log.base_index:
            return log.base_index
        if log.term_at(request.previous_index) != request.previous_term:
            return None
        return request.previous_index

    def _conflict_index(self, previous_index: int) -> int:
        """Return the last index at which the logs may agree, skipping whole terms."""
        core = self._core
        log = core.storage.log
        if previous_index > log.last_index:
            return log.last_index
        return max(log.first_of_term(previous_index) - 1, core.commit_index)

    def _reject(self, peer: str, request: AppendRequest, index: int) -> None:
        envelope = self._core.envelope(request.envelope.from_identity)
        reply = AppendReply(envelope, request.round, False, request.previous_index, index)
        self._core.send(peer, reply)

    def _check_not_committed(self, index: int) -> None:
        """Raise rather than drop a committed entry: some data folder has lost synced data."""
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
        self._core.install_snapshot(meta, data)
        return True

    def _reply_to_chunk(self, peer: str, chunk: SnapshotChunk, offset: int, done: bool) -> None:
        envelope = self._core.envelope(chunk.envelope.from_identity)
        reply = SnapshotReply(envelope, chunk.round, chunk.index, offset, done)
        self._core.send(peer, reply)
