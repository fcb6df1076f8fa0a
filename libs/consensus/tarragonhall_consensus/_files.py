"""The few file system calls that storage needs, so that tests can put a failure between any two."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol

from tarragonhall_model import StorageError


class AppendFile(Protocol):
    """A new file that is only ever appended to."""

    def write(self, data: bytes) -> None:
        """Append all the bytes; they last only once `sync` has returned."""

    def sync(self) -> None:
        """Make every byte written so far last."""

    def close(self) -> None:
        """Release the file without syncing it."""


class Files(Protocol):
    """A file system. Every method raises `StorageError` when the call fails."""

    def make_folder(self, path: str) -> None:
        """Make the folder and its parents where they are missing."""

    def names(self, folder: str) -> list[str]:
        """Return the names in the folder, sorted."""

    def read(self, path: str) -> bytes:
        """Return the whole file."""

    def create(self, path: str) -> AppendFile:
        """Create an empty file for appending; an older file of the name is replaced."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what had it; lasts once the folder is synced."""

    def remove(self, path: str) -> None:
        """Remove a file; lasts once the folder is synced."""

    def sync_folder(self, path: str) -> None:
        """Make created, renamed and removed names in the folder last."""

    def lock(self, path: str) -> object:
        """Lock the file against every other process until the returned object is closed."""


def disk_files() -> Files:
    """Return the operating system's file system."""
    return _DiskFiles()


class _DiskFile:
    __slots__ = ("_descriptor", "_path")

    def __init__(self, path: str) -> None:
        self._path = path
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)

    def write(self, data: bytes) -> None:
        rest = memoryview(data)
        with _reported(self._path, "write"):
            while rest:
                rest = rest[os.write(self._descriptor, rest) :]

    def sync(self) -> None:
        with _reported(self._path, "sync"):
            os.fdatasync(self._descriptor)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class _Lock:
    __slots__ = ("_descriptor",)

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class _DiskFiles:
    __slots__ = ()

    def make_folder(self, path: str) -> None:
        with _reported(path, "make folder"):
            missing = _missing_folders(path)
            os.makedirs(path, mode=0o700, exist_ok=True)
        # A new folder lasts only once the folder that names it is synced.
        for folder in missing:
            self.sync_folder(os.path.dirname(folder) or ".")

    def names(self, folder: str) -> list[str]:
        with _reported(folder, "list"):
            return sorted(os.listdir(folder))

    def read(self, path: str) -> bytes:
        with _reported(path, "read"):
            return Path(path).read_bytes()

    def create(self, path: str) -> AppendFile:
        with _reported(path, "create"):
            return _DiskFile(path)

    def rename(self, old: str, new: str) -> None:
        with _reported(new, "rename"):
            os.rename(old, new)

    def remove(self, path: str) -> None:
        with _reported(path, "remove"):
            os.unlink(path)

    def sync_folder(self, path: str) -> None:
        with _reported(path, "sync"):
            descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def lock(self, path: str) -> object:
        with _reported(path, "open"):
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise StorageError(f"{path}: another process is using this data folder") from error
        return _Lock(descriptor)


def _missing_folders(path: str) -> list[str]:
    missing = []
    while path and not os.path.isdir(path):
        missing.append(path)
        path = os.path.dirname(path)
    return missing


@contextlib.contextmanager
def _reported(path: str, action: str) -> Iterator[None]:
    """Turn the system's error into one that says what to do."""
    try:
        yield
    except OSError as error:
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            raise StorageError(f"{path}: disk full ({action}); free space and restart") from error
        raise StorageError(f"{path}: {action} failed: {error.strerror}") from error
