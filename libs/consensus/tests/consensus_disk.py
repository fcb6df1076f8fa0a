"""An in-memory disk that can lose power between any two calls, fill up, or fail a sync."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonhall_model import StorageError


class PowerCut(BaseException):
    """Ends the process; not an `Exception`, so that no handler continues after it."""


@dataclass(slots=True)
class _File:
    disk: Disk
    data: bytearray = field(default_factory=bytearray)
    durable: int = 0
    sync_failed: bool = False

    def write(self, data: bytes) -> None:
        self.disk.count_call()
        if self.disk.free_bytes < len(data):
            # Like a file system, write as much as fits.
            self.data += data[: self.disk.free_bytes]
            self.disk.free_bytes = 0
            raise StorageError("disk full")
        self.disk.free_bytes -= len(data)
        # A power cut can happen in the middle of a write.
        self.data += data[: len(data) // 2]
        self.disk.count_call()
        self.data += data[len(data) // 2 :]

    def sync(self) -> None:
        self.disk.count_call()
        if self.disk.fail_syncs:
            self.disk.fail_syncs -= 1
            self.sync_failed = True
            raise StorageError("sync failed")
        # After a failed sync the system has dropped the pages, and later syncs report success.
        if not self.sync_failed:
            self.durable = len(self.data)

    def close(self) -> None:
        pass


class _DiskLock:
    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def close(self) -> None:
        self._disk.locked = False


class Disk:
    """Implements `Files`. `_pending` holds the name changes since the last folder sync."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.call_count = 0
        self.power_cut_at: int | None = None
        self.free_bytes = 1 << 40
        self.fail_syncs = 0
        self.locked = False
        self.file_by_name: dict[str, _File] = {}
        self.durable_names: dict[str, _File] = {}
        self._pending: list[tuple[str, _File | None]] = []

    def count_call(self) -> None:
        """Count one call; raise `PowerCut` when the count reaches `power_cut_at`."""
        self.call_count += 1
        if self.power_cut_at is not None and self.call_count >= self.power_cut_at:
            self.power_cut_at = None
            raise PowerCut

    def kill(self) -> None:
        """End the process; unsynced writes survive in the system's memory."""
        self.locked = False

    def cut_power(self) -> None:
        """Drop unsynced data, except for a random, possibly garbled, part of it."""
        self.locked = False
        # Each unsynced name change reaches the disk or not, independently.
        for name, file in self._pending:
            if self.rng.random() < 0.5:
                continue
            if file is None:
                self.durable_names.pop(name, None)
            else:
                self.durable_names[name] = file
        self._pending.clear()
        self.file_by_name = dict(self.durable_names)
        for file in self.file_by_name.values():
            retained_bytes = self.rng.randint(file.durable, len(file.data))
            if self.rng.random() < 0.5 or file.sync_failed:
                retained_bytes = file.durable
            del file.data[retained_bytes:]
            if retained_bytes > file.durable and self.rng.random() < 0.5:
                file.data[-1] ^= 0xFF
            file.durable = len(file.data)

    def wipe(self) -> None:
        """Delete all files."""
        self.locked = False
        self.file_by_name.clear()
        self.durable_names.clear()
        self._pending.clear()

    def make_folder(self, path: str) -> None:
        self.count_call()

    def names(self, folder: str) -> list[str]:
        return sorted(name.removeprefix(folder + "/") for name in self.file_by_name)

    def read(self, path: str) -> bytes:
        return bytes(self.file_by_name[path].data)

    def create(self, path: str) -> _File:
        self.count_call()
        file = self.file_by_name[path] = _File(self)
        self._pending.append((path, file))
        return file

    def rename(self, old: str, new: str) -> None:
        self.count_call()
        file = self.file_by_name[new] = self.file_by_name.pop(old)
        self._pending += [(new, file), (old, None)]

    def remove(self, path: str) -> None:
        self.count_call()
        del self.file_by_name[path]
        self._pending.append((path, None))

    def sync_folder(self, path: str) -> None:
        self.count_call()
        self.durable_names = dict(self.file_by_name)
        self._pending.clear()

    def lock(self, path: str) -> _DiskLock:
        if self.locked:
            raise StorageError("another process is using this data folder")
        self.locked = True
        return _DiskLock(self)
