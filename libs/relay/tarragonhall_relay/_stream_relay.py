"""The events of one call's response, from one server or from several in turn.

The client gets the head and proof of the first server, and each event once and in order, whichever
server sent it.
"""

from __future__ import annotations

from collections.abc import Callable

from tarragonhall_relay._attempt import OpenStream
from tarragonhall_relay._client import ClientConnection
from tarragonhall_relay._events import EventError, EventReader, StreamEvent
from tarragonhall_relay._report import CallReport
from tarragonhall_relay._response_body import Framing
from tarragonhall_relay._response_memory import ResponseLease
from tarragonhall_relay._silence import SilenceWatch

# Comments and parts of an event between two events. Far more than any event has.
MAX_BYTES_WITHOUT_EVENT = 1024 * 1024
# Text of the events of one call that is kept for its turn.
MAX_OUTPUT_BYTES = 16 * 1024 * 1024


class StreamRelay:
    """Forwards events as they arrive; `output` is the data of all of them, if it is kept."""

    __slots__ = (
        "_bytes_since_event",
        "_client",
        "_lease",
        "_monotonic",
        "_output",
        "_reader",
        "_report",
        "runs",
    )

    def __init__(
        self,
        client: ClientConnection,
        report: CallReport,
        monotonic: Callable[[], float],
        lease: ResponseLease,
    ) -> None:
        self._client = client
        # Holds what is kept, until the call releases it.
        self._lease = lease
        self._monotonic = monotonic
        self._bytes_since_event = 0
        self._report = report
        self._reader = EventReader()
        # One buffer: as objects, the data of small events would take many times their size.
        self._output = bytearray()
        # Servers whose stream has begun.
        self.runs = 0

    def expect_after(self, last_id: int) -> None:
        """Expect the first event to follow the one with this id, which the client has."""
        self._reader = EventReader(last_id)

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event that the client has; None before the first."""
        return self._reader.last_id

    @property
    def is_resumable(self) -> bool:
        """Return whether another server can be asked for the rest."""
        return self._reader.is_resumable

    @property
    def output(self) -> bytes:
        """Return the data of the events."""
        return bytes(self._output)

    def forward(
        self,
        stream: OpenStream,
        watch: SilenceWatch | None,
        keeps_output: bool,
        on_first_event: Callable[[], None],
    ) -> None:
        """Forward the events of one server until the end of its response.

        Raises `BackendError` or `EventError` if the response has no proper end, and
        `NoMemoryError` if this entry has no memory for it.
        """
        self.runs += 1
        self._reader.drop_unfinished()
        if not self._client.response_started:
            self._report.step("head_ms")
            self._client.begin(stream.status, stream.headers)
        read = stream.connection.read
        count_before = self._reader.count
        is_first = True
        event_at = self._monotonic()
        self._bytes_since_event = 0
        while True:
            data = read() if watch is None else watch.read(read, self._monotonic() - event_at)
            if data is None:
                break
            count = self._reader.count
            events = self._reader.feed(data)
            if self._reader.count > count:
                event_at = self._monotonic()
                self._bytes_since_event = 0
            else:
                self._count_bytes_without_event(len(data))
            if events and is_first:
                is_first = False
                on_first_event()
            self._forward_events(events, keeps_output)
            self._lease.hold(len(self._output) + self._reader.unfinished_bytes)
            self._reader.check()
        if not self._reader.is_complete():
            raise EventError("the stream ended in the middle of an event")
        has_events = self._reader.count > count_before
        if not has_events and stream.connection.response_body.framing is Framing.CONNECTION:
            # An empty body is also what is left of a stream whose server crashed after the head.
            raise EventError("the connection was closed before the first event")

    def _forward_events(self, events: list[StreamEvent], keeps_output: bool) -> None:
        if not events:
            return
        if not self._report.events:
            self._report.step("first_ms")
        self._client.send(b"".join(event.raw for event in events))
        self._report.events += len(events)
        if keeps_output:
            for event in events:
                self._output += event.data + b"\n"
            if len(self._output) > MAX_OUTPUT_BYTES:
                raise EventError(f"the text of the stream is over {MAX_OUTPUT_BYTES} bytes")

    def _count_bytes_without_event(self, size: int) -> None:
        self._bytes_since_event += size
        if self._bytes_since_event > MAX_BYTES_WITHOUT_EVENT:
            raise EventError(f"no event within {MAX_BYTES_WITHOUT_EVENT} bytes")
