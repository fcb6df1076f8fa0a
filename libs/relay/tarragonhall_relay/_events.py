"""Parser of a backend server's stream of server-sent events, which checks their order.

A server may stop in the middle of an event, skip one or send one twice. If its bytes were forwarded
as they arrive, a client could take such a stream for complete. So only complete events are
forwarded, and a stream whose event ids are not consecutive is aborted.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import TarragonhallError

# Far above the size of real events; an event that never ends must not fill the memory.
MAX_EVENT_BYTES = 1024 * 1024


class EventError(TarragonhallError):
    """The stream is not a sequence of complete events in order."""


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """The bytes of one event (`raw`, with its blank line) and its data."""

    raw: bytes
    data: bytes


class EventReader:
    """Splits the bytes of a stream into events and checks their order.

    `last_id` is the id of the last event; None before the first one. The first event must follow
    it if it is given. `count` is the number of events with data; comments have none. `is_resumable`
    says whether a server can be asked for the rest of the stream, which takes an id for each event.
    """

    __slots__ = ("_buffer", "_error", "count", "is_resumable", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._buffer = b""
        self._error: EventError | None = None
        self.last_id = last_id
        self.is_resumable = True
        self.count = 0

    @property
    def unfinished_bytes(self) -> int:
        """Return the bytes that are kept of an event that is not complete yet."""
        return len(self._buffer)

    def drop_unfinished(self) -> None:
        """Drop the part of an event that a server did not finish, and what was wrong with it."""
        self._buffer = b""
        self._error = None

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are now complete, up to the first one that is out of order.

        `check` raises the error of that one, once the events before it are forwarded: they count as
        received, and no server sends them again.
        """
        self._buffer += data
        events = []
        try:
            while end := _end_of_event(self._buffer):
                raw, self._buffer = self._buffer[:end], self._buffer[end:]
                events.append(self._read(raw))
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise EventError("an event is longer than the limit")
        except EventError as error:
            self._error = error
        return events

    def check(self) -> None:
        """Raise `EventError` if an event was out of order."""
        if self._error is not None:
            raise self._error

    def is_complete(self) -> bool:
        """Return whether no part of an unfinished event is left."""
        return not self._buffer.strip(b"\r\n")

    def _read(self, raw: bytes) -> StreamEvent:
        lines = []
        event_id = None
        for line in raw.splitlines():
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                lines.append(value)
            if name == b"id":
                event_id = value
        self._check_order(event_id)
        if lines:
            self.count += 1
        return StreamEvent(raw, b"\n".join(lines))

    def _check_order(self, event_id: bytes | None) -> None:
        if event_id is None:
            self.is_resumable = False
            return
        if not event_id.isdigit():
            raise EventError(f"the event id {event_id!r} is not a number")
        number = int(event_id)
        if self.last_id is not None and number != self.last_id + 1:
            raise EventError(f"event {number} follows event {self.last_id}")
        self.last_id = number


def _end_of_event(buffer: bytes) -> int:
    """Return the offset behind the first event's blank line; 0 while it is incomplete."""
    lf_end = buffer.find(b"\n\n")
    crlf_end = buffer.find(b"\r\n\r\n")
    if lf_end < 0 and crlf_end < 0:
        return 0
    if crlf_end < 0 or 0 <= lf_end < crlf_end:
        return lf_end + 2
    return crlf_end + 4
