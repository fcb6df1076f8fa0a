"""Runs the file system calls of a data folder in a native thread, for which a green thread waits.

A disk that hangs in a call would stop every green thread of the process: its links, its HTTP
servers and its metrics.
"""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from tarragonhall_consensus import AppendFile, Files
from tarragonhall_wire import NativeThread

# Writes below this wait for the sync, which then costs one switch of threads instead of two.
MAX_PENDING_BYTES = 256 * 1024
# A call that returns within this time blocks the event loop, as it would without the thread. While
# other green threads run, the thread could wait long for the interpreter's lock, several times per
# call, and a busy process would commit far less often.
BLOCKING_SECONDS = 0.01
# For slower calls the event loop goes on, and stops for a moment at intervals. The thread gets the
# interpreter's lock then; a busy event loop could keep it from the thread for ever, since it gives
# the lock up only for times shorter than a thread takes to wake up.
CHECK_INTERVAL_SECONDS = 0.01
CHECK_SECONDS = 0.001


class DiskThread:
    """A native thread that runs the calls of one green thread, in order.

    Before `start` and after `stop` calls run in the calling thread.
    """

    __slots__ = ("_thread",)

    def __init__(self) -> None:
        self._thread: NativeThread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = NativeThread("disk")

    def stop(self) -> None:
        """End the thread after the calls made so far."""
        if self._thread is not None:
            self._thread.stop()
            self._thread = None

    def call(self, function: Callable, *arguments: object) -> object:
        """Call the function in the thread; if it takes long, other green threads go on."""
        if self._thread is None:
            return function(*arguments)
        call = self._thread.submit(function, *arguments)
        is_done = call.wait(BLOCKING_SECONDS)
        while not is_done:
            eventlet.sleep(CHECK_INTERVAL_SECONDS)
            is_done = call.wait(CHECK_SECONDS)
        return call.result()


class ThreadFiles:
    """A file system whose calls run in a `DiskThread`."""

    __slots__ = ("_files", "_thread")

    def __init__(self, files: Files, thread: DiskThread) -> None:
        self._files = files
        self._thread = thread

    def make_folder(self, path: str) -> None:
        """Create the folder and its parents if they are missing."""
        self._thread.call(self._files.make_folder, path)

    def names(self, folder: str) -> list[str]:
        """Return the names in the folder, sorted."""
        return self._thread.call(self._files.names, folder)

    def read(self, path: str) -> bytes:
        """Return the whole file."""
        return self._thread.call(self._files.read, path)

    def create(self, path: str) -> AppendFile:
        """Create an empty file for appending, replacing any file of that name."""
        return _ThreadFile(self._thread.call(self._files.create, path), self._thread)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file at `new`."""
        self._thread.call(self._files.rename, old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        self._thread.call(self._files.remove, path)

    def sync_folder(self, path: str) -> None:
        """Make all creations, renames and removals in the folder durable."""
        self._thread.call(self._files.sync_folder, path)

    def lock(self, path: str) -> object:
        """Lock the file against other processes until the returned object is closed."""
        return self._thread.call(self._files.lock, path)


class _ThreadFile:
    __slots__ = ("_file", "_pending", "_pending_bytes", "_thread")

    def __init__(self, file: AppendFile, thread: DiskThread) -> None:
        self._file = file
        self._thread = thread
        self._pending: list[bytes] = []
        self._pending_bytes = 0

    def write(self, data: bytes) -> None:
        self._pending.append(data)
        self._pending_bytes += len(data)
        if self._pending_bytes >= MAX_PENDING_BYTES:
            self._thread.call(self._write_pending)

    def sync(self) -> None:
        self._thread.call(self._write_and_sync)

    def close(self) -> None:
        # Unsynced bytes may be lost in any case.
        self._file.close()

    def _write_pending(self) -> None:
        pending, self._pending = self._pending, []
        self._pending_bytes = 0
        for data in pending:
            self._file.write(data)

    def _write_and_sync(self) -> None:
        self._write_pending()
        self._file.sync()
