"""Durable storage of one member: hard state, log and snapshot in one data folder.

Changes are collected in a batch that `sync` writes as one frame with one sync. No message that
depends on them may leave the member before `sync` has returned.
"""

from __future__ import annotations

import contextlib
import random
import sys

import cbor2
from tarragonhall_model import StorageError, StorageUnavailableError, encode

from tarragonhall_consensus._files import AppendFile, Files
from tarragonhall_consensus._frames import frame
from tarragonhall_consensus._log import Log
from tarragonhall_consensus._messages import Entry, SnapshotMeta
from tarragonhall_consensus._segments import (
    FORMAT_VERSION,
    SEGMENT_SUFFIX,
    HardState,
    Segment,
    SegmentReader,
    SegmentStart,
    entry_item,
    put_entry,
    reset_item,
    segment_name,
    sequence_of,
    state_item,
)
from tarragonhall_consensus._snapshots import TEMPORARY_SUFFIX, SnapshotStore

LOCK_NAME = "lock"
# Written before the log is read: reading hundreds of megabytes at every attempt to open a folder on
# a full disk would stall the process.
PROBE_NAME = "probe"
PROBE_BYTES = 4096
# 48 bits make two equal identities among the few folders of a deployment's lifetime practically
# impossible. Identities of folders and groups are short because every heartbeat carries three: of
# the group, the sender and the receiver.
IDENTITY_BITS = 48


def generate_identity(rng: random.Random) -> str:
    """Return a new identity for a data folder or a group: `IDENTITY_BITS` as 12 hex digits."""
    return f"{rng.getrandbits(IDENTITY_BITS):012x}"


def open_storage(
    files: Files, folder: str, member_id: str, rng: random.Random, segment_bytes: int
) -> Storage:
    """Open the data folder, or create it with a new identity."""
    files.make_folder(folder)
    lock = files.lock(f"{folder}/{LOCK_NAME}")
    storage = Storage(files, folder, lock, segment_bytes)
    try:
        storage._recover(member_id, rng)
    except BaseException:
        storage.close()
        raise
    return storage


class Storage:
    """The data folder of one member. After a failed write, syncs, snapshots and compactions fail.

    `snapshot_data` is the snapshot found at recovery, until the replica has restored it;
    `load_snapshot` reads the current one.
    """

    __slots__ = (
        "_batch",
        "_failed",
        "_file",
        "_files",
        "_folder",
        "_lock",
        "_next_sequence",
        "_segment_bytes",
        "_segments",
        "_snapshots",
        "_written_bytes",
        "identity",
        "log",
        "member_id",
        "snapshot",
        "snapshot_data",
        "state",
        "syncs",
    )

    def __init__(self, files: Files, folder: str, lock: object, segment_bytes: int) -> None:
        self._files = files
        self._folder = folder
        self._lock = lock
        self._segment_bytes = segment_bytes
        self._snapshots = SnapshotStore(files, folder)
        self._batch: list[list] = []
        self._failed = False
        self._file: AppendFile | None = None
        self._written_bytes = 0
        self._segments: list[Segment] = []
        self._next_sequence = 1
        self.syncs = 0
        self.log = Log()
        self.state = HardState()
        self.snapshot: SnapshotMeta | None = None
        self.snapshot_data = b""

    def save_state(self, term: int, vote: str, group: str) -> None:
        """Set term, vote and group; stored by the next sync."""
        self.state = HardState(term, vote, group)
        self._batch.append(state_item(self.state))

    def append(self, entry: Entry) -> int:
        """Append an entry, stored by the next sync, and return its index."""
        index = self.log.last_index + 1
        self.put(index, entry)
        return index

    def put(self, index: int, entry: Entry) -> None:
        """Write an entry at `index` and drop the existing entries from there on.

        The change is stored by the next sync.
        """
        put_entry(self.log, index, entry)
        self._segments[-1].include_index(index)
        self._batch.append(entry_item(index, entry))

    def sync(self) -> None:
        """Write and sync the batch; does nothing if it is empty."""
        self._check()
        if not self._batch:
            return
        data = frame(self._next_sequence, cbor2.dumps(self._batch))
        self._batch = []
        # After a failed sync the system may drop the pages and report success the next time, and
        # the missing bytes would go unnoticed. So a failed sync is never retried.
        self._failed = True
        self._file.write(data)
        self._file.sync()
        self._failed = False
        self.syncs += 1
        self._next_sequence += 1
        self._written_bytes += len(data)
        if self._written_bytes >= self._segment_bytes:
            self._start_segment()

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store a snapshot. If the log does not contain its last entry, reset the log to it."""
        self.sync()
        self._failed = True
        self._snapshots.save(meta, data)
        self._failed = False
        self.snapshot = meta
        self._align_log_with_snapshot()
        self.sync()

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, and remove the segments that hold only such entries."""
        self._check()
        self.log.compact(min(index, self.log.last_index))
        for _ in range(self._removable_segments(index)):
            self._failed = True
            self._files.remove(self._segments.pop(0).path)
            # Removals may reach the disk in any order. If an earlier segment outlived a later one,
            # the next start would report a missing segment.
            self._files.sync_folder(self._folder)
            self._failed = False

    def load_snapshot(self) -> bytes:
        """Read the data of the newest snapshot from disk."""
        found = self._snapshots.load()
        if found is None:
            raise StorageError(f"{self._folder}: the snapshot is missing; replace the member")
        return found[1]

    def close(self) -> None:
        """Release the folder; unsynced changes are lost."""
        self._failed = True
        # An error of the close tells nothing new, and the folder must be free to be opened again.
        with contextlib.suppress(StorageUnavailableError):
            if self._file is not None:
                self._file.close()
        self._lock.close()

    def _removable_segments(self, index: int) -> int:
        """Return how many of the first segments are not needed to read the log after `index`.

        Reading can begin at a segment only if neither it nor a later one holds an entry at or
        before its `base_index`. One does after a leader replaced entries: `SegmentReader` would
        reject that entry, and the member could not start again.
        """
        lowest_index = sys.maxsize
        for number in range(len(self._segments) - 1, 0, -1):
            segment = self._segments[number]
            lowest_index = min(lowest_index, segment.lowest_index)
            if segment.base_index <= index and lowest_index > segment.base_index:
                return number
        return 0

    def _check(self) -> None:
        if self._failed:
            raise StorageError(f"{self._folder}: storage has failed or was closed; restart")

    def _recover(self, member_id: str, rng: random.Random) -> None:
        self._remove_temporary_files()
        self._check_writable()
        self.member_id = member_id
        found = self._snapshots.load()
        reader = SegmentReader()
        names = [n for n in self._files.names(self._folder) if n.endswith(SEGMENT_SUFFIX)]
        for name in names:
            path = f"{self._folder}/{name}"
            last = name == names[-1]
            reader.read(path, sequence_of(name), self._files.read(path), last)
        replay = reader.result()
        if replay is None:
            if found is not None:
                raise StorageError(f"{self._folder}: has a snapshot but no log; replace the member")
            self.identity = generate_identity(rng)
            self._start_segment()
            return
        if replay.start.member_id != member_id:
            raise StorageError(
                f"{self._folder}: belongs to member {replay.start.member_id}, not {member_id}"
            )
        self.identity = replay.start.identity
        self.log = replay.log
        self.state = replay.state
        self._segments = replay.segments
        self._next_sequence = replay.next_sequence
        self._rewrite_segment(replay.segments[-1].path, replay.last_segment_data)
        if found is not None:
            self.snapshot, self.snapshot_data = found
            self._align_log_with_snapshot()
            self.sync()
        elif self.log.base_index > 0:
            raise StorageError(f"{self._folder}: the snapshot is missing; replace the member")

    def _align_log_with_snapshot(self) -> None:
        meta = self.snapshot
        if self.log.base_index > meta.index:
            raise StorageError(
                f"{self._folder}: entries after {meta.index} are missing; replace the member"
            )
        if self.log.term_at(meta.index) == meta.term:
            return
        self.log.reset(meta.index, meta.term)
        self._batch.append(reset_item(meta.index, meta.term))

    def _rewrite_segment(self, path: str, valid_data: bytes) -> None:
        """Rewrite the last segment without an incomplete last frame, and append to the copy.

        The bytes read may not be on disk: the process may have died before its sync, or the sync
        may have failed. The next power cut could lose them after this member has acted on them. A
        copy that is synced before use cannot be lost.
        """
        self._file = self._create(path, valid_data)
        self._written_bytes = len(valid_data)

    def _start_segment(self) -> None:
        """Start a new segment. The previous one is fully synced."""
        state = self.state
        base_index, base_term = self.log.last_index, self.log.last_term
        start = SegmentStart(
            FORMAT_VERSION, self.member_id, self.identity, base_index, base_term, state
        )
        path = f"{self._folder}/{segment_name(self._next_sequence)}"
        data = frame(self._next_sequence, encode(start))
        if self._file is not None:
            self._file.close()
        self._failed = True
        self._file = self._create(path, data)
        self._failed = False
        self._segments.append(Segment(path, self._next_sequence, base_index))
        self._next_sequence += 1
        self._written_bytes = len(data)

    def _create(self, path: str, data: bytes) -> AppendFile:
        """Create a synced file that gets its final name only when complete."""
        file = self._files.create(path + TEMPORARY_SUFFIX)
        try:
            file.write(data)
            file.sync()
            self._files.rename(path + TEMPORARY_SUFFIX, path)
            self._files.sync_folder(self._folder)
        except BaseException:
            file.close()
            raise
        return file

    def _check_writable(self) -> None:
        path = f"{self._folder}/{PROBE_NAME}{TEMPORARY_SUFFIX}"
        file = self._files.create(path)
        try:
            file.write(bytes(PROBE_BYTES))
            file.sync()
        finally:
            file.close()
        self._files.remove(path)

    def _remove_temporary_files(self) -> None:
        for name in self._files.names(self._folder):
            if name.endswith(TEMPORARY_SUFFIX):
                self._files.remove(f"{self._folder}/{name}")
