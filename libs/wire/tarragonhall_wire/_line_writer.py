"""Writes log lines without blocking on their reader, and keeps those that the output refuses.

Log output goes to a pipe or to a file. If the reader of a pipe stops, the pipe is full after 64 kB
and the next write would block the whole process and all its callers. A file may be on the disk
whose failure is to be logged. So lines are buffered in a bounded queue and leave it only once they
are written. A file counts as ready for writing even while its disk hangs, so a native thread writes
to it.
"""

from __future__ import annotations

import collections
import stat
import time
from collections.abc import Callable
from dataclasses import dataclass

from eventlet import hubs, patcher

from tarragonhall_wire._metrics import Metrics
from tarragonhall_wire._native_thread import NativeCall, NativeThread

# The patched modules would wait in the event loop, for ever if the reader is gone.
os = patcher.original("os")
select = patcher.original("select")
_native_sleep = patcher.original("time").sleep

# A pipe that is ready for writing accepts this much without blocking (PIPE_BUF in POSIX).
PIPE_CHUNK_BYTES = 4096
FILE_CHUNK_BYTES = 64 * 1024
QUEUE_BYTES = 256 * 1024
# Seconds from a line to its write; while nothing is logged, nothing runs.
FLUSH_SECONDS = 0.05
# A refused write is tried again after this time, which doubles up to a bound: a disk with room
# again should be used within a second.
FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.8
# Output that takes no line for this long is reported; a reader may be slow for a moment.
UNREAD_SECONDS = 1.0
# The event loop waits this long for a write to a file, and for a moment at each later flush: then
# the native thread gets the interpreter's lock.
BLOCKING_SECONDS = 0.01
CHECK_SECONDS = 0.001
# At its end, a process waits this long for the output.
CLOSE_SECONDS = 0.3
CLOSE_POLL_SECONDS = 0.01

NOT_READ = "nobody reads it"
HANGS = "a write to it hangs"

LOST_LINES = "log.lost_lines"
SUPPRESSED_LINES = "log.suppressed_lines"
REFUSED_WRITES = "log.refused_writes"
UNWRITABLE = "log.unwritable"


@dataclass(slots=True)
class Blockage:
    """Why the output takes no lines, and since when (monotonic).

    `refused` tells an error of a write from output that only keeps the writer waiting.
    """

    reason: str
    since: float
    refused: bool

    def seconds(self) -> float:
        """Return for how long the output has taken no lines."""
        return time.monotonic() - self.since

    def is_reported(self) -> bool:
        """Return whether operators should know."""
        return self.refused or self.seconds() >= UNREAD_SECONDS


class LineWriter:
    """A bounded queue of lines for one file descriptor.

    `dropped` counts the lines lost since it was last reset. `on_writable` is called once the queue
    is empty after lines were lost or the output took none, with the blockage if there was one.
    """

    __slots__ = (
        "_blockage",
        "_call",
        "_descriptor",
        "_flush_scheduled",
        "_is_file",
        "_is_reported",
        "_lines",
        "_metrics",
        "_retry_s",
        "_size",
        "_started",
        "_thread",
        "dropped",
        "on_writable",
    )

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._is_file = stat.S_ISREG(os.fstat(descriptor).st_mode)
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._metrics = Metrics()
        self._blockage: Blockage | None = None
        self._is_reported = False
        self._retry_s = FIRST_RETRY_SECONDS
        self._started = False
        self._flush_scheduled = False
        # For files only. Without `start`, it is made at the first write.
        self._thread: NativeThread | None = None
        # The write that is under way, of the first lines of the queue.
        self._call: NativeCall | None = None
        if self._is_file and _ends_within_a_line(descriptor):
            self._lines.append(b"\n")
            self._size = 1
        self.dropped = 0
        self.on_writable: Callable[[Blockage | None], None] = lambda _blockage: None

    def start(self) -> None:
        """Write lines in the event loop from now on."""
        self._started = True
        if self._is_file:
            self._thread = NativeThread("log")
        self._schedule_flush()

    def measure(self, metrics: Metrics) -> None:
        """Count lost lines and refused writes in `metrics` from now on, those so far included."""
        for name in (LOST_LINES, SUPPRESSED_LINES, REFUSED_WRITES):
            metrics.count(name, self._metrics.counts[name])
        self._metrics = metrics
        metrics.gauge(UNWRITABLE, int(self._is_reported))
        self._report_writable()

    def count_suppressed(self) -> None:
        """Count a line that the budget did not admit."""
        self._metrics.count(SUPPRESSED_LINES)

    def call_later(self, seconds: float, callback: Callable[[], None]) -> bool:
        """Have the event loop call back; return False if lines are not written in it yet."""
        if self._started:
            hubs.get_hub().schedule_call_global(seconds, callback)
        return self._started

    def problem(self) -> str:
        """Return why lines cannot be written at present, empty if they can."""
        blockage = self._blockage
        if blockage is None or not blockage.is_reported():
            return ""
        return f"{blockage.reason}, for {blockage.seconds():.1f} s"

    def write(self, line: bytes, share: float = 1.0) -> bool:
        """Queue a line if that leaves the queue filled to `share` at most; else count it as lost.

        Return whether it is queued.
        """
        if self._size + len(line) > QUEUE_BYTES * share:
            self.dropped += 1
            self._metrics.count(LOST_LINES)
            return False
        self._lines.append(line)
        self._size += len(line)
        self._schedule_flush()
        return True

    def flush(self) -> None:
        """Write as much as the output accepts without blocking."""
        while self._lines:
            wait_s = CHECK_SECONDS
            if self._call is None:
                if not self._has_room():
                    self._block(NOT_READ, refused=False)
                    return
                self._call = self._start_write()
                wait_s = BLOCKING_SECONDS
            if not self._call.wait(wait_s):
                self._block(HANGS, refused=False)
                return
            if not self._finish_write():
                return
        self._unblock()

    def close(self) -> None:
        """Write what is queued, for `CLOSE_SECONDS` at most."""
        deadline = time.monotonic() + CLOSE_SECONDS
        self.flush()
        while self._lines and time.monotonic() < deadline:
            _native_sleep(CLOSE_POLL_SECONDS)
            self.flush()

    def _start_write(self) -> NativeCall:
        """Write the first lines of the queue, to a file in the native thread."""
        if not self._is_file:
            call = NativeCall(os.write, (self._descriptor, self._next_chunk(PIPE_CHUNK_BYTES)))
            call.run()
            return call
        if self._thread is None:
            self._thread = NativeThread("log")
        chunk = self._next_chunk(FILE_CHUNK_BYTES)
        return self._thread.submit(os.write, self._descriptor, chunk)

    def _finish_write(self) -> bool:
        """Take the outcome of a write that has ended; return whether another one may follow."""
        call, self._call = self._call, None
        try:
            written = call.result()
        except BlockingIOError:
            self._block(NOT_READ, refused=False)
            return False
        except OSError as error:
            # It may be a disk that has room again later, so the lines are kept.
            self._metrics.count(REFUSED_WRITES)
            self._block(f"writes are refused: {error.strerror}", refused=True)
            return False
        self._remove(written)
        return True

    def _next_chunk(self, size: int) -> bytes:
        """Return whole lines up to a size in bytes, or part of a longer line."""
        parts = []
        room = size
        for line in self._lines:
            if len(line) > room:
                break
            parts.append(line)
            room -= len(line)
        return b"".join(parts) or self._lines[0][:size]

    def _remove(self, count: int) -> None:
        """Remove written bytes from the queue; the rest of a line stays its first part."""
        self._size -= count
        while count:
            line = self._lines.popleft()
            if len(line) > count:
                self._lines.appendleft(line[count:])
                return
            count -= len(line)

    def _block(self, reason: str, refused: bool) -> None:
        since = time.monotonic() if self._blockage is None else self._blockage.since
        self._blockage = Blockage(reason, since, refused)
        self._report_writable()

    def _unblock(self) -> None:
        blockage, self._blockage = self._blockage, None
        self._retry_s = FIRST_RETRY_SECONDS
        if blockage is not None:
            self._report_writable()
        if blockage is not None or self.dropped:
            self.on_writable(blockage)

    def _report_writable(self) -> None:
        blockage = self._blockage
        is_reported = blockage is not None and blockage.is_reported()
        if is_reported != self._is_reported:
            self._is_reported = is_reported
            self._metrics.gauge(UNWRITABLE, int(is_reported))

    def _has_room(self) -> bool:
        return self._is_file or bool(select.select([], [self._descriptor], [], 0)[1])

    def _schedule_flush(self) -> None:
        """Have queued lines written a little later, so that those of one moment share a write."""
        if not self._started or self._flush_scheduled or not self._lines:
            return
        wait_s = FLUSH_SECONDS
        if self._blockage is not None and self._blockage.refused:
            wait_s = self._retry_s
            self._retry_s = min(self._retry_s * 2, MAX_RETRY_SECONDS)
        self._flush_scheduled = self.call_later(wait_s, self._flush_and_reschedule)

    def _flush_and_reschedule(self) -> None:
        # Called by the event loop itself; nothing here waits.
        self._flush_scheduled = False
        self.flush()
        self._schedule_flush()


def _ends_within_a_line(descriptor: int) -> bool:
    """Return whether a file ends in half a line, of a process that was killed within its write.

    The descriptor cannot be read itself. A file that cannot be opened is taken for a whole one.
    """
    try:
        if os.fstat(descriptor).st_size == 0:
            return False
        reader = os.open(f"/proc/self/fd/{descriptor}", os.O_RDONLY)
        try:
            return os.pread(reader, 1, os.fstat(reader).st_size - 1) != b"\n"
        finally:
            os.close(reader)
    except OSError:
        return False
