"""The file system calls that storage needs, so that tests can inject a failure between any two."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol

from tarragonhall_model import StorageUnavailableError

_DISK_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})


class AppendFile(Protocol):
    """A new, append-only file."""

    def write(self, data: bytes) -> None:
        """Append all the bytes; they are durable only after `sync` has returned."""

    def sync(self) -> None:
        """Make every byte written so far durable."""

    def close(self) -> None:
        """Close the file without syncing it."""


class Files(Protocol):
    """A file system.

    Every method raises `StorageUnavailableError` when the system refuses the call. A refusal says
    nothing of what the folder holds, and any of them may end: a disk may come back, an operator may
    give a permission, another process may release the folder.
    """

    def make_folder(self, path: str) -> None:
        """Create the folder and its parents if they are missing."""

    def names(self, folder: str) -> list[str]:
        """Return the names in the folder, sorted."""

    def read(self, path: str) -> bytes:
        """Return the whole file."""

    def create(self, path: str) -> AppendFile:
        """Create an empty file for appending, replacing any file of that name."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file at `new`; durable once the folder is synced."""

    def remove(self, path: str) -> None:
        """Remove a file; durable once the folder is synced."""

    def sync_folder(self, path: str) -> None:
        """Make all creations, renames and removals in the folder durable."""

    def lock(self, path: str) -> object:
        """Lock the file against other processes until the returned object is closed."""


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
        with _storage_errors(self._path, "write"):
            while rest:
                rest = rest[os.write(self._descriptor, rest) :]

    def sync(self) -> None:
        with _storage_errors(self._path, "sync"):
            os.fdatasync(self._descriptor)

    def close(self) -> None:
        # Linux releases the descriptor even if closing it reports an error.
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            with _storage_errors(self._path, "close"):
                os.close(descriptor)


class _Lock:
    __slots__ = ("_descriptor",)

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def close(self) -> None:
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            with contextlib.suppress(OSError):
                os.close(descriptor)


class _DiskFiles:
    __slots__ = ()

    def make_folder(self, path: str) -> None:
        with _storage_errors(path, "make folder"):
            missing = _missing_folders(path)
            os.makedirs(path, mode=0o700, exist_ok=True)
        # A new folder is durable only once its parent folder is synced.
        for folder in missing:
            self.sync_folder(os.path.dirname(folder) or ".")

    def names(self, folder: str) -> list[str]:
        with _storage_errors(folder, "list"):
            return sorted(os.listdir(folder))

    def read(self, path: str) -> bytes:
        with _storage_errors(path, "read"):
            return Path(path).read_bytes()

    def create(self, path: str) -> AppendFile:
        with _storage_errors(path, "create"):
            return _DiskFile(path)

    def rename(self, old: str, new: str) -> None:
        with _storage_errors(new, "rename"):
            os.rename(old, new)

    def remove(self, path: str) -> None:
        with _storage_errors(path, "remove"):
            os.unlink(path)

    def sync_folder(self, path: str) -> None:
        with _storage_errors(path, "sync"):
            descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def lock(self, path: str) -> object:
        with _storage_errors(path, "open"):
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            with _storage_errors(path, "lock"):
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except StorageUnavailableError:
            os.close(descriptor)
            raise
        return _Lock(descriptor)


def _missing_folders(path: str) -> list[str]:
    missing = []
    while path and not os.path.isdir(path):
        missing.append(path)
        path = os.path.dirname(path)
    return missing


@contextlib.contextmanager
def _storage_errors(path: str, action: str) -> Iterator[None]:
    """Convert an `OSError` into a `StorageUnavailableError` that says what to do."""
    try:
        yield
    except BlockingIOError as error:
        message = f"{path}: another process is using this data folder"
        raise StorageUnavailableError(message) from error
    except OSError as error:
        if error.errno in _DISK_FULL:
            raise StorageUnavailableError(f"{path}: disk full ({action}); free space") from error
        message = f"{path}: {action} failed: {error.strerror}"
        raise StorageUnavailableError(message) from error
