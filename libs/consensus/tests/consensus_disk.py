"""A disk in memory that can lose power between any two calls, fill up, or fail to sync."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonhall_model import StorageError


class PowerCut(BaseException):
    """The process ends here; not an `Exception`, so that nothing can go on after it."""


@dataclass(slots=True)
class _File:
    disk: Disk
    data: bytearray = field(default_factory=bytearray)
    durable: int = 0
    poisoned: bool = False

    def write(self, data: bytes) -> None:
        self.disk.step()
        if self.disk.room < len(data):
            # As a file system does, take what fits.
            self.data += data[: self.disk.room]
            self.disk.room = 0
            raise StorageError("disk full")
        self.disk.room -= len(data)
        # A power cut can fall between two parts of one write.
        self.data += data[: len(data) // 2]
        self.disk.step()
        self.data += data[len(data) // 2 :]

    def sync(self) -> None:
        self.disk.step()
        if self.disk.fail_syncs:
            self.disk.fail_syncs -= 1
            self.poisoned = True
            raise StorageError("sync failed")
        # After a failed sync the system has dropped the pages: later ones report success.
        if not self.poisoned:
            self.durable = len(self.data)

    def close(self) -> None:
        pass


class _Held:
    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def close(self) -> None:
        self._disk.locked = False


class Disk:
    """Implements `Files`. Changes of names since the last folder sync are in `_pending`."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.steps = 0
        self.cut_at: int | None = None
        self.room = 1 << 40
        self.fail_syncs = 0
        self.locked = False
        self.file_by_name: dict[str, _File] = {}
        self.durable_names: dict[str, _File] = {}
        self._pending: list[tuple[str, _File | None]] = []

    def step(self) -> None:
        """Count one call; the power goes when the count reaches `cut_at`."""
        self.steps += 1
        if self.cut_at is not None and self.steps >= self.cut_at:
            self.cut_at = None
            raise PowerCut

    def kill(self) -> None:
        """End the process; the system still holds what was written."""
        self.locked = False

    def cut_power(self) -> None:
        """Lose what was not synced, but for some torn or garbled part of it."""
        self.locked = False
        # Changes of names not synced reach the disk or not, each by itself.
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
            kept = self.rng.randint(file.durable, len(file.data))
            if self.rng.random() < 0.5 or file.poisoned:
                kept = file.durable
            del file.data[kept:]
            if kept > file.durable and self.rng.random() < 0.5:
                file.data[-1] ^= 0xFF
            file.durable = len(file.data)

    def wipe(self) -> None:
        """Lose everything."""
        self.locked = False
        self.file_by_name.clear()
        self.durable_names.clear()
        self._pending.clear()

    def make_folder(self, path: str) -> None:
        self.step()

    def names(self, folder: str) -> list[str]:
        return sorted(name.removeprefix(folder + "/") for name in self.file_by_name)

    def read(self, path: str) -> bytes:
        return bytes(self.file_by_name[path].data)

    def create(self, path: str) -> _File:
        self.step()
        file = self.file_by_name[path] = _File(self)
        self._pending.append((path, file))
        return file

    def rename(self, old: str, new: str) -> None:
        self.step()
        file = self.file_by_name[new] = self.file_by_name.pop(old)
        self._pending += [(new, file), (old, None)]

    def remove(self, path: str) -> None:
        self.step()
        del self.file_by_name[path]
        self._pending.append((path, None))

    def sync_folder(self, path: str) -> None:
        self.step()
        self.durable_names = dict(self.file_by_name)
        self._pending.clear()

    def lock(self, path: str) -> _Held:
        if self.locked:
            raise StorageError("another process is using this data folder")
        self.locked = True
        return _Held(self)
