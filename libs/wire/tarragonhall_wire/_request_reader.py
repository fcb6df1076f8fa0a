"""Reads HTTP/1.1 requests from one connection: heads by `h11`, bodies by our own decoder.

The position of every byte is known, so what follows a request is never taken for part of it. All
that is read counts against the room of all clients, and no client keeps the event loop for longer
than a few milliseconds.
"""

from __future__ import annotations

import contextlib
import re
from dataclasses import dataclass

import eventlet
import h11
from eventlet.green import socket
from tarragonhall_model import TarragonhallError

from tarragonhall_wire._body_decoder import BodyDecoder, BodyError, ChunkedDecoder, LengthDecoder
from tarragonhall_wire._inbound import InboundClient, NoRoomError

READ_BYTES = 64 * 1024
# Reads of one client before all others get their turn.
READS_PER_TURN = 4
# Lines of a head. Each takes some microseconds to parse, and a head of thousands keeps all others
# waiting.
MAX_HEADER_LINES = 256
# A body arrives at once or within a few round trips; a client that pauses for longer has stopped.
BODY_PAUSE_SECONDS = 5.0
# What a whole body may take: this long, and as long again as its bytes take at the slowest pace.
BODY_SECONDS = 30.0
BODY_PACE_BYTES = 16 * 1024
# For a request that finds no room. That of a stalled one is free again within this time.
NO_ROOM_RETRY_SECONDS = 1.0
NO_ROOM_CODE = "overloaded"
# What is read and discarded after the last response. Closing with unread bytes resets the
# connection, and the client could lose a response that is still in transit. Beyond so many
# connections at once, it is worth less than their descriptors.
LINGER_SECONDS = 0.5
LINGER_BYTES = 1024 * 1024
LINGER_CONNECTIONS = 64
# The empty line behind a head, as `h11` looks for it, and its length but for the last byte.
HEAD_END = re.compile(rb"\n\r?\n")
MAX_HEAD_END_BYTES = 2
TRANSFER_ENCODING = b"transfer-encoding"
# Bytes that a request line and a header line have in addition to their parts: separators, the
# HTTP version and the line end.
REQUEST_LINE_OVERHEAD = len("  HTTP/1.1\r\n")
HEADER_LINE_OVERHEAD = len(": \r\n")


class RequestError(TarragonhallError):
    """A request that cannot be served; `status` and `code` are for its response, the last one."""

    def __init__(
        self,
        status: int,
        message: str,
        code: str = "bad_input",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s


class ClientGoneError(TarragonhallError):
    """The client has closed its connection, or was evicted without a response."""


class TruncatedRequestError(ClientGoneError):
    """The client has closed its end of the connection in the middle of a request."""


@dataclass(slots=True, frozen=True)
class ReadLimits:
    """Bounds on what a client may send, in bytes, and on how long it may take, in seconds."""

    max_header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RequestReader:
    """Reads one request after the other.

    `http` is the protocol state of the current request, by which its response is written, and
    `method` its method, empty as long as it is not known. `has_begun` says whether a part of a
    request has arrived that has no response yet.
    """

    __slots__ = (
        "_client",
        "_connection",
        "_decoder",
        "_is_shut_down",
        "_reads",
        "_rest",
        "has_begun",
        "http",
        "method",
    )

    def __init__(self, connection, client: InboundClient) -> None:
        self._connection = connection
        self._client = client
        self._decoder: BodyDecoder | None = None
        # Bytes that were received and belong to no request yet.
        self._rest = b""
        self._reads = 0
        self._is_shut_down = False
        self.has_begun = False
        self.method = b""
        self.http = h11.Connection(h11.SERVER)

    def read_head(self, limits: ReadLimits) -> h11.Request | None:
        """Return the head of the next request, or None at the end of the connection.

        The idle timeout applies until the first bytes arrive; then the whole head must arrive
        within the header timeout. Raises `RequestError` and `ClientGoneError`.
        """
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self.method = b""
        try:
            head = self._read_head(limits)
            if head is None:
                return None
            self.method = head.method
            _check_size(head, limits.max_header_bytes)
            _check_framing(head)
        except h11.RemoteProtocolError as error:
            raise RequestError(error.error_status_hint, str(error)) from error
        except NoRoomError as error:
            raise self._refusal(error) from error
        self._rest = self.http.trailing_data[0]
        return head

    def begin_body(self, head: h11.Request, max_bytes: int) -> bool:
        """Decode what has arrived of the body with its head; return whether that is all of it.

        Raises `RequestError`, also for a body that is announced as longer than `max_bytes`.
        """
        try:
            decoder = self._decoder = _decoder_of(head, max_bytes)
            rest, self._rest = self._rest, b""
            if rest:
                decoder.feed(rest)
                decoder.decode()
        except BodyError as error:
            raise RequestError(error.status, str(error)) from error
        return decoder.is_done

    def read_body(self) -> bytes:
        """Return the body of the request; raise `RequestError` and `ClientGoneError`."""
        decoder = self._decoder
        try:
            self._hold(decoder)
            if not decoder.is_done:
                self._read_rest_of_body(decoder)
            body, self._rest = decoder.take()
            self._decoder = None
            self._client.hold(len(body) + len(self._rest))
            self._client.arrive()
        except BodyError as error:
            raise RequestError(error.status, str(error)) from error
        except NoRoomError as error:
            raise self._refusal(error) from error
        return body

    def drop(self) -> None:
        """Drop what was read of a request that is refused."""
        self._decoder, self._rest = None, b""
        with contextlib.suppress(NoRoomError):
            self._client.hold(0)

    def shut_down(self) -> None:
        """Shut the connection down; a request that arrives at this moment is dropped unread."""
        self._is_shut_down = True
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)

    def end_request(self) -> None:
        """Note that the response of the request has been written; drop what it held."""
        self.has_begun = bool(self._rest)
        try:
            self._client.rest()
            self._client.hold(len(self._rest))
        except NoRoomError as error:
            raise ClientGoneError(str(error)) from error

    def _read_head(self, limits: ReadLimits) -> h11.Request | None:
        if self._rest:
            # One request after the other is there already; all others get their turn between.
            eventlet.sleep(0)
            data, self._rest = self._rest, b""
        else:
            data = self._receive(limits.idle_timeout_s)
            if not data:
                return None
        self.has_begun = True
        self._client.receive()
        late = RequestError(408, "the head of the request did not arrive in time")
        with eventlet.Timeout(limits.header_timeout_s, late):
            size, lines = 0, _HeadLines()
            while True:
                size += len(data)
                lines.add(data)
                self.http.receive_data(data)
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    return event
                if event is not h11.NEED_DATA:
                    return None
                self._client.hold(size)
                data = self._receive(limits.header_timeout_s)
                if data is None:
                    raise late

    def _read_rest_of_body(self, decoder: BodyDecoder) -> None:
        started_at, received = self._client.now(), 0
        while not decoder.is_done:
            if not decoder.needs_input:
                eventlet.sleep(0)
                decoder.decode()
                continue
            data = self._receive(BODY_PAUSE_SECONDS)
            if data == b"":
                raise TruncatedRequestError("closed the connection in the middle of a request")
            elapsed_s = self._client.now() - started_at
            if data is None or elapsed_s > BODY_SECONDS + received / BODY_PACE_BYTES:
                raise RequestError(408, "the body of the request did not arrive in time")
            received += len(data)
            self._client.move(len(data))
            decoder.feed(data)
            decoder.decode()
            self._hold(decoder)

    def _hold(self, decoder: BodyDecoder) -> None:
        """Count a body: as it was announced, or as far as it has come."""
        size = max(decoder.size, decoder.announced)
        if size > self._client.large_bytes:
            # It would find no room however often it came again.
            raise RequestError(413, f"the body is over {self._client.large_bytes} bytes")
        self._client.hold(size)

    def _receive(self, timeout_s: float) -> bytes | None:
        """Return the next bytes, empty at the end of the connection, None on timeout."""
        self._reads += 1
        if self._reads % READS_PER_TURN == 0:
            eventlet.sleep(0)
        with eventlet.Timeout(timeout_s, False):
            try:
                with self._client.waiting():
                    data = self._connection.recv(READ_BYTES)
            except (OSError, EOFError) as error:
                # eventlet raises EOFError for a connection that another green thread closed.
                raise ClientGoneError(str(error)) from error
            # Bytes that arrived before the shutdown can still be read, but no longer answered.
            return b"" if self._is_shut_down else data
        return None

    def _refusal(self, error: NoRoomError) -> RequestError | ClientGoneError:
        """Return what a client gets that finds no room: nothing if it has sent nothing."""
        if not self.has_begun:
            return ClientGoneError(str(error))
        return no_room(error)


class _HeadLines:
    """Counts the lines of a head as it arrives, without what follows it."""

    __slots__ = ("_count", "_last")

    def __init__(self) -> None:
        self._count = 0
        # The last bytes, since the empty line may be split.
        self._last = b""

    def add(self, data: bytes) -> None:
        """Count the lines in the next bytes; raise `RequestError` if there are too many."""
        joined = self._last + data
        end = HEAD_END.search(joined)
        part = joined[len(self._last) : end.start()] if end else data
        self._count += part.count(b"\n")
        if self._count > MAX_HEADER_LINES:
            raise RequestError(431, f"the head of the request has over {MAX_HEADER_LINES} lines")
        self._last = joined[-MAX_HEAD_END_BYTES:]


def no_room(error: NoRoomError) -> RequestError:
    """Return what a client gets whose request finds no room; it never runs."""
    return RequestError(503, str(error), NO_ROOM_CODE, NO_ROOM_RETRY_SECONDS)


def linger(connection, client: InboundClient) -> None:
    """Read on for a moment after the last response, so that it arrives."""
    with client.lingering() as others, contextlib.suppress(OSError, EOFError):
        if others >= LINGER_CONNECTIONS:
            return
        connection.shutdown(socket.SHUT_WR)
        left = LINGER_BYTES
        with eventlet.Timeout(LINGER_SECONDS, False):
            while left > 0 and (data := connection.recv(READ_BYTES)):
                left -= len(data)
                # A client that sends as fast as it is read must not keep all others waiting.
                eventlet.sleep(0)


def _check_size(head: h11.Request, limit: int) -> None:
    """Reject a head over the limit, in bytes; `h11` checks only heads that arrive in parts."""
    size = len(head.method) + len(head.target) + REQUEST_LINE_OVERHEAD
    size += sum(len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in head.headers)
    if size > limit:
        raise RequestError(431, f"the head of the request is over {limit} bytes")


def _check_framing(head: h11.Request) -> None:
    """Reject a request that another parser could frame differently.

    Given both a length and chunks, two parsers may disagree on where the request ends, and the
    bytes in between would run as a request that nobody sent (request smuggling).
    """
    names = [name for name, _value in head.headers]
    encodings = [value.strip().lower() for name, value in head.headers if name == TRANSFER_ENCODING]
    if encodings and (b"content-length" in names or encodings != [b"chunked"]):
        raise RequestError(400, "the request has conflicting or unsupported body framing")
    if not head.target.startswith(b"/"):
        raise RequestError(400, "the request target is not a path")


def _decoder_of(head: h11.Request, max_body_bytes: int) -> BodyDecoder:
    if any(name == TRANSFER_ENCODING for name, _value in head.headers):
        return ChunkedDecoder(max_body_bytes)
    length = next((int(value) for name, value in head.headers if name == b"content-length"), 0)
    return LengthDecoder(length, max_body_bytes)
