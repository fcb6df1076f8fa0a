"""Writes log lines without blocking on their reader.

Log output goes to a pipe. If its reader stops, the pipe is full after 64 kB and the next write
would block the whole process and all its callers. So lines are buffered in a bounded queue and
written only while the pipe has room.
"""

from __future__ import annotations

import collections

from eventlet import hubs, patcher

from tarragonhall_wire._metrics import Metrics

# The patched modules would wait in the event loop, for ever if the reader is gone.
os = patcher.original("os")
select = patcher.original("select")

# A pipe that is ready for writing accepts this much without blocking (PIPE_BUF in POSIX).
CHUNK_BYTES = 4096
QUEUE_BYTES = 256 * 1024
# Seconds from a line to its write; while nothing is logged, nothing runs.
FLUSH_SECONDS = 0.05

LOST_LINES = "log.lost_lines"
REFUSED_WRITES = "log.refused_writes"
UNWRITABLE = "log.unwritable"


class LineWriter:
    """A bounded queue of lines for one file descriptor."""

    __slots__ = (
        "_descriptor",
        "_flush_scheduled",
        "_lines",
        "_metrics",
        "_size",
        "_started",
        "_unwritable",
        "dropped",
    )

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._metrics = Metrics()
        self._unwritable = ""
        self._started = False
        self._flush_scheduled = False
        self.dropped = 0

    def start(self) -> None:
        """Write lines in the event loop from now on."""
        self._started = True
        self._schedule_flush()

    def measure(self, metrics: Metrics) -> None:
        """Count lost lines and refused writes in `metrics` from now on, those so far included."""
        for name in (LOST_LINES, REFUSED_WRITES):
            metrics.count(name, self._metrics.counts[name])
        metrics.gauge(UNWRITABLE, int(bool(self._unwritable)))
        self._metrics = metrics

    def problem(self) -> str:
        """Return why lines cannot be written at present, empty if they can."""
        return self._unwritable

    def write(self, line: bytes) -> None:
        """Queue a line; drop and count it if the queue is full."""
        if self._size + len(line) > QUEUE_BYTES:
            self._lose(1)
            self._set_unwritable(self._unwritable or "nobody reads it")
            return
        self._lines.append(line)
        self._size += len(line)
        self._schedule_flush()

    def flush(self) -> None:
        """Write as much as the pipe accepts without blocking."""
        while self._lines and self._has_room():
            chunk = self._next_chunk()
            try:
                os.write(self._descriptor, chunk)
            except OSError as error:
                self._lose(chunk.count(b"\n") + len(self._lines))
                self._lines.clear()
                self._size = 0
                self._metrics.count(REFUSED_WRITES)
                self._set_unwritable(f"writes are refused: {error.strerror}")
                return
            self._set_unwritable("")

    def _lose(self, lines: int) -> None:
        self.dropped += lines
        self._metrics.count(LOST_LINES, lines)

    def _set_unwritable(self, reason: str) -> None:
        if bool(reason) != bool(self._unwritable):
            self._metrics.gauge(UNWRITABLE, int(bool(reason)))
        self._unwritable = reason

    def _next_chunk(self) -> bytes:
        """Return whole lines up to the chunk size, or part of a longer line."""
        parts = []
        room = CHUNK_BYTES
        while self._lines and len(self._lines[0]) <= room:
            line = self._lines.popleft()
            room -= len(line)
            parts.append(line)
        if not parts:
            line = self._lines.popleft()
            parts.append(line[:CHUNK_BYTES])
            self._lines.appendleft(line[CHUNK_BYTES:])
        chunk = b"".join(parts)
        self._size -= len(chunk)
        return chunk

    def _has_room(self) -> bool:
        return bool(select.select([], [self._descriptor], [], 0)[1])

    def _schedule_flush(self) -> None:
        """Have queued lines written a little later, so that those of one moment share a write."""
        if not self._started or self._flush_scheduled or not self._lines:
            return
        self._flush_scheduled = True
        hubs.get_hub().schedule_call_global(FLUSH_SECONDS, self._flush_and_reschedule)

    def _flush_and_reschedule(self) -> None:
        # Called by the event loop itself; nothing here waits.
        self._flush_scheduled = False
        self.flush()
        self._schedule_flush()
