"""Snapshot files: written to a temporary file, synced and renamed; only the newest is retained."""

from __future__ import annotations

import zlib

from tarragonhall_model import CodecError, StorageError, decode, encode

from tarragonhall_consensus._files import Files
from tarragonhall_consensus._frames import frame, scan
from tarragonhall_consensus._messages import SnapshotMeta

SNAPSHOT_SUFFIX = ".snapshot"
TEMPORARY_SUFFIX = ".tmp"
# Payload of one data frame; each frame has a checksum of its own, which locates damage.
SNAPSHOT_FRAME_BYTES = 256 * 1024


class SnapshotStore:
    """Saves and loads the newest snapshot of one data folder.

    Frame 1 of a snapshot file holds the metadata, the frames from 2 on hold the data.
    """

    __slots__ = ("_files", "_folder")

    def __init__(self, files: Files, folder: str) -> None:
        self._files = files
        self._folder = folder

    def save(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store a snapshot; a crash leaves either the old one or the complete new one."""
        path = self._path(meta.index)
        file = self._files.create(path + TEMPORARY_SUFFIX)
        try:
            file.write(frame(1, encode(meta)))
            for number, start in enumerate(range(0, len(data), SNAPSHOT_FRAME_BYTES), 2):
                file.write(frame(number, data[start : start + SNAPSHOT_FRAME_BYTES]))
            file.sync()
        finally:
            file.close()
        self._files.rename(path + TEMPORARY_SUFFIX, path)
        self._files.sync_folder(self._folder)
        for name in self._names()[:-1]:
            self._files.remove(f"{self._folder}/{name}")

    def load(self) -> tuple[SnapshotMeta, bytes] | None:
        """Return the newest snapshot, None if there is none."""
        names = self._names()
        if not names:
            return None
        path = f"{self._folder}/{names[-1]}"
        found = scan(self._files.read(path), 1)
        # The file was synced before it got its name, so a bad frame (`bad_at` is its offset) means
        # corruption, not a torn end. An older snapshot, which a crash between rename and removal
        # leaves, is no substitute: the log may lack the entries between the two.
        if found.bad_at is not None or not found.payloads:
            raise StorageError(f"{path}: corrupt; the member must be replaced")
        try:
            meta = decode(found.payloads[0])
        except CodecError as error:
            raise StorageError(f"{path}: cannot decode the metadata: {error}") from error
        data = b"".join(found.payloads[1:])
        if len(data) != meta.size or zlib.crc32(data) != meta.crc:
            raise StorageError(f"{path}: corrupt; the member must be replaced")
        return meta, data

    def _names(self) -> list[str]:
        """Return the file names, oldest first: `Files.names` sorts, and `_path` pads the index."""
        return [name for name in self._files.names(self._folder) if name.endswith(SNAPSHOT_SUFFIX)]

    def _path(self, index: int) -> str:
        return f"{self._folder}/{index:020d}{SNAPSHOT_SUFFIX}"
