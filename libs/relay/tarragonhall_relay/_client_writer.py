"""Writes to clients, which may read slowly or not at all.

Bytes that a client does not take at once wait, and a green thread writes them as the client reads.
A stream that gets ahead of its client by more than the limit pauses, and so does the reading from
its server. Over the limit for all clients, the slowest ones are ended.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable

import eventlet
import structlog
from eventlet import hubs
from eventlet.event import Event
from eventlet.green import socket
from tarragonhall_decisions import ReaderLimits, SlowReader, readers_to_end
from tarragonhall_wire import Metrics

from tarragonhall_relay._errors import ClientDisconnectedError

log = structlog.get_logger(__name__)

# Bytes handed to the socket at once, so that progress is seen while a large response is read.
WRITE_BYTES = 64 * 1024


class _StalledError(Exception):
    """A client has accepted no bytes for its timeout."""


class WaitingBytes:
    """What waits for the clients of one entry."""

    __slots__ = ("_metrics", "_monotonic", "_writer_by_id", "limits", "total")

    def __init__(
        self, limits: ReaderLimits, metrics: Metrics, monotonic: Callable[[], float]
    ) -> None:
        self.limits = limits
        self._metrics = metrics
        self._monotonic = monotonic
        self._writer_by_id: dict[int, ClientWriter] = {}
        self.total = 0

    def now(self) -> float:
        """Return the current time in monotonic seconds."""
        return self._monotonic()

    def add(self, writer: ClientWriter, size: int) -> None:
        """Count bytes that wait for a client; end the slowest clients if they are too many."""
        self._writer_by_id[id(writer)] = writer
        self.total += size
        if self.total > self.limits.total_bytes:
            self._end_slowest()

    def remove(self, writer: ClientWriter, size: int, is_empty: bool) -> None:
        """Count bytes that a client has taken, or that were dropped."""
        self.total -= size
        if is_empty:
            self._writer_by_id.pop(id(writer), None)

    def report(self) -> None:
        """Set the gauges of what is held and for how many clients."""
        self._metrics.gauge("relay.held_bytes", self.total)
        self._metrics.gauge("relay.slow_readers", len(self._writer_by_id))

    def ended(self, reason: str, reader: SlowReader) -> None:
        """Report a client that was ended."""
        self._metrics.count("relay.readers_ended", labels=(("reason", reason),))
        log.warning(
            "client.ended",
            reason=reason,
            waiting_bytes=reader.waiting_bytes,
            read_bytes=reader.moved_bytes,
            for_s=round(reader.for_s, 2),
        )

    def _end_slowest(self) -> None:
        now = self.now()
        readers = [one.as_reader(now) for one in self._writer_by_id.values()]
        for reader in readers_to_end(readers, self.limits):
            self._writer_by_id[reader.reader_id].end("over_bound")


class ClientWriter:
    """Writes to one client in order."""

    __slots__ = (
        "_changed",
        "_connection",
        "_error",
        "_moved",
        "_parts",
        "_pump",
        "_since",
        "_size",
        "_waiting",
    )

    def __init__(self, connection, waiting: WaitingBytes) -> None:
        self._connection = connection
        self._waiting = waiting
        self._parts: deque[bytes | memoryview] = deque()
        # Bytes that wait, those that the client took since the first had to wait, and that time.
        self._size = 0
        self._moved = 0
        self._since = 0.0
        # The green thread that writes what waits.
        self._pump = None
        # Why nothing can be written any more. An error object would keep the frames that raised it.
        self._error = ""
        self._changed: Event | None = None

    def write(self, data: bytes) -> None:
        """Write bytes; wait while the client is further behind than the limit.

        Raises `ClientDisconnectedError` if the client is gone or was ended.
        """
        self._raise_error()
        if not self._parts:
            # A view, since what is left of a large response would be copied.
            data = memoryview(data)[self._send_now(data) :]
        if not data:
            return
        self._enqueue(data)
        while self._size > self._waiting.limits.read_ahead_bytes:
            self._wait_for_change()

    def flush(self) -> None:
        """Wait until the client's connection has taken all bytes."""
        while self._parts:
            self._wait_for_change()
        self._raise_error()

    def end(self, reason: str) -> None:
        """End a client that reads too slowly, and drop what waits for it."""
        if self._error:
            return
        self._waiting.ended(reason, self.as_reader(self._waiting.now()))
        self._fail(f"reads its response too slowly ({reason})")

    def stop(self) -> None:
        """Drop what waits; the connection is being closed."""
        self._fail("the connection was closed")

    def as_reader(self, now: float) -> SlowReader:
        """Return what waits for the client, and its pace."""
        return SlowReader(id(self), self._size, self._moved, now - self._since)

    def _send_now(self, data: bytes) -> int:
        """Return how many bytes the connection took at once."""
        try:
            return self._connection.fd.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ClientDisconnectedError(str(error)) from error

    def _enqueue(self, data: bytes) -> None:
        if not self._parts:
            self._since = self._waiting.now()
            self._moved = 0
        self._parts.append(data)
        self._size += len(data)
        self._waiting.add(self, len(data))
        self._raise_error()
        if self._pump is None:
            self._pump = eventlet.spawn_n(self._write_parts)

    def _write_parts(self) -> None:
        """Write what waits as the client reads it."""
        try:
            while self._parts:
                part = self._parts[0]
                self._write_part(part)
                if self._error:
                    return
                self._parts.popleft()
                self._size_taken(len(part))
        except _StalledError:
            self.end("stalled")
        except OSError as error:
            self._fail(str(error) or type(error).__name__)
        finally:
            self._pump = None

    def _write_part(self, part: bytes | memoryview) -> None:
        rest = memoryview(part)
        while rest:
            with eventlet.Timeout(self._waiting.limits.stalled_s, _StalledError()):
                sent = self._connection.send(rest[:WRITE_BYTES])
            rest = rest[sent:]
            self._moved += sent

    def _size_taken(self, size: int) -> None:
        self._size -= size
        self._waiting.remove(self, size, is_empty=not self._parts)
        self._notify()

    def _fail(self, error: str) -> None:
        """Drop what waits and raise the error in the call that writes."""
        if self._error:
            return
        self._error = error
        self._parts.clear()
        size, self._size = self._size, 0
        self._waiting.remove(self, size, is_empty=True)
        if self._pump is not None:
            # Closing the connection does not wake the green thread that writes.
            hubs.get_hub().schedule_call_global(0, self._kill_pump)
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)
        self._notify()

    def _kill_pump(self) -> None:
        if self._pump is not None:
            self._pump.throw()

    def _wait_for_change(self) -> None:
        if self._changed is None:
            self._changed = Event()
        self._changed.wait()
        self._raise_error()

    def _notify(self) -> None:
        changed, self._changed = self._changed, None
        if changed is not None:
            changed.send()

    def _raise_error(self) -> None:
        if self._error:
            raise ClientDisconnectedError(self._error)
