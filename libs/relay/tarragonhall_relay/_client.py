"""One client connection: reads strict HTTP/1.1 requests and writes responses.

The bytes are parsed by `h11`, which does no input or output of its own. So the position of every
byte is known: what follows a request is never taken for part of it, and a client that closes its
connection is noticed while its response is pending.
"""

from __future__ import annotations

import contextlib
import json
from dataclasses import dataclass

import eventlet
import greenlet
import h11
from eventlet import hubs
from eventlet.green import socket
from tarragonhall_model import ClientLimits

from tarragonhall_relay._client_writer import ClientWriter, WaitingBytes
from tarragonhall_relay._dialect import Headers
from tarragonhall_relay._errors import BadRequestError, ClientDisconnectedError
from tarragonhall_relay._routes import host_of
from tarragonhall_relay._sockets import is_open_and_idle, set_reset_on_close

READ_BYTES = 64 * 1024
# A body arrives at once or within a few round trips; a client that pauses for longer has stopped.
BODY_READ_TIMEOUT_S = 5.0
# After the last response, input is read and discarded for this long. Closing with unread bytes
# resets the connection, and the client could lose a response that is still in transit.
LINGER_S = 0.5
TRANSFER_ENCODING = b"transfer-encoding"
# Bytes that a request line and a header line have in addition to their parts: separators, the
# HTTP version and the line end.
REQUEST_LINE_OVERHEAD = len("  HTTP/1.1\r\n")
HEADER_LINE_OVERHEAD = len(": \r\n")
# Headers that concern a single connection or frame a body; they are not forwarded.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)


@dataclass(slots=True)
class ClientRequest:
    """One request, read to its end."""

    method: str
    target: bytes
    host: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class ClientConnection:
    """Reads one request after the other and writes their responses."""

    __slots__ = (
        "_connection",
        "_cuts_chunks",
        "_http",
        "_is_chunk_reader",
        "_is_shut_down",
        "_limits",
        "_listener",
        "_pending_throw",
        "_writer",
        "closing",
        "request_pending",
        "response_started",
    )

    def __init__(self, connection, limits: ClientLimits, waiting: WaitingBytes) -> None:
        self._connection = connection
        self._writer = ClientWriter(connection, waiting)
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._listener = None
        self._pending_throw = None
        self._is_shut_down = False
        # Whether parts of the current response are written as chunks, which `h11` would do alike.
        self._cuts_chunks = False
        self._is_chunk_reader = False
        # Whether the head of the current response was sent, and whether it is the last response.
        self.response_started = False
        self.closing = False
        # Whether a request, or a part of one, has arrived and has no response yet.
        self.request_pending = False

    def next_request(self, limits: ClientLimits) -> ClientRequest | None:
        """Return the next request, or None at the end of the connection.

        Raises `BadRequestError` for an invalid request.
        """
        self._limits = limits
        self.response_started = False
        self.request_pending = False
        try:
            head = self._read_head()
            if head is None:
                return None
            _check_size(head, limits.max_header_bytes)
            _check_framing(head)
            if self._http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self._write(self._http.send(interim))
            body = self._read_body(head)
            self._is_chunk_reader = head.http_version == b"1.1" and head.method != b"HEAD"
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from error
        host = next((value for name, value in head.headers if name == b"host"), b"")
        headers = _forwardable_headers(list(head.headers))
        return ClientRequest(head.method.decode(), head.target, host_of(host), headers, body)

    def watch_for_close(self) -> None:
        """Raise `ClientDisconnectedError` in this green thread as soon as the client closes."""
        green_thread = greenlet.getcurrent()
        hub = hubs.get_hub()

        def on_readable(_fileno: int) -> None:
            if self._listener is None:
                # The hub collected this event in the same round, before the listener was removed.
                # The call has ended, and its green thread may be at the next call.
                return
            self._stop_listening()
            if self._is_closed():
                self._pending_throw = hub.schedule_call_global(
                    0, green_thread.throw, ClientDisconnectedError("left")
                )

        def on_error(*_error: object) -> None:
            self._stop_listening()

        fileno = self._connection.fileno()
        self._listener = hub.add(hub.READ, fileno, on_readable, on_error, lambda: None)

    def stop_watching(self) -> None:
        """Stop raising an error in this green thread when the client closes."""
        self._stop_listening()
        if self._pending_throw is not None:
            self._pending_throw.cancel()
            self._pending_throw = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response, and wait until the client has taken it."""
        if _has_no_body(status):
            body = b""
            framing: Headers = []
        else:
            framing = [(b"content-length", str(len(body)).encode())]
        response = h11.Response(
            status_code=status, headers=headers + framing + self._connection_headers()
        )
        data = self._http.send(response)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.response_started = True
        self._write(data)
        self._writer.flush()

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of a response whose length is not known yet."""
        framing: Headers = [(b"transfer-encoding", b"chunked")]
        # Clients of HTTP/1.0 get no chunks, and nobody gets a body without asking for one.
        self._cuts_chunks = self._is_chunk_reader
        if not self._is_chunk_reader:
            # Nothing but the end of the connection ends this body, so only `finish` may close it.
            set_reset_on_close(self._connection, True)
        response = h11.Response(
            status_code=status, headers=headers + framing + self._connection_headers()
        )
        self.response_started = True
        self._write(self._http.send(response))

    def send(self, data: bytes) -> None:
        """Write a part of the response body."""
        if not data:
            return
        if self._cuts_chunks:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))
            return
        self._write(self._http.send(h11.Data(data=data)))

    def finish(self) -> None:
        """End the response, and wait until the client has taken it.

        It looks complete to the client only from now on.
        """
        self._write(self._http.send(h11.EndOfMessage()))
        self._writer.flush()
        if not self._is_chunk_reader:
            set_reset_on_close(self._connection, False)

    def next_cycle(self) -> bool:
        """Prepare for the next request; return whether the connection stays open."""
        if self.closing or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def close_if_idle(self) -> None:
        """Shut the connection down unless a request is running or has begun to arrive.

        A request that arrives at the same moment is dropped unread, so that it certainly does not
        run.
        """
        if not self.request_pending and is_open_and_idle(self._connection):
            self._is_shut_down = True
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)

    def close(self, linger: bool) -> None:
        """Close; with `linger` read on for a moment, so that the last response arrives."""
        self.stop_watching()
        self._writer.stop()
        with contextlib.suppress(OSError):
            if linger:
                self._connection.shutdown(socket.SHUT_WR)
                with eventlet.Timeout(LINGER_S, False):
                    while self._connection.recv(READ_BYTES):
                        continue
        self._connection.close()

    def abort(self) -> None:
        """Close at once, so that an unfinished response does not look complete."""
        self.stop_watching()
        self._writer.stop()
        self._connection.close()

    def _connection_headers(self) -> Headers:
        if self.closing:
            return [(b"connection", b"close")]
        return []

    def _read_head(self) -> h11.Request | None:
        """Return the head of the next request, or None at the end of the connection.

        The idle timeout applies until the first bytes arrive; then the whole head must arrive
        within the header timeout.
        """
        wait_s = self._limits.idle_timeout_ms / 1000
        first = True
        deadline: eventlet.Timeout | None = None
        try:
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.Request):
                    self.request_pending = True
                    return event
                if event is not h11.NEED_DATA:
                    return None
                if first and not self._http.trailing_data[0]:
                    data = self._receive(wait_s)
                    if not data:
                        return None
                    self._http.receive_data(data)
                    self.request_pending = True
                else:
                    data = self._receive(self._limits.header_timeout_ms / 1000)
                    if data is None:
                        raise BadRequestError(408, "the head of the request did not arrive in time")
                    self._http.receive_data(data)
                if first:
                    first = False
                    seconds = self._limits.header_timeout_ms / 1000
                    timeout_error = BadRequestError(
                        408, "the head of the request did not arrive in time"
                    )
                    deadline = eventlet.Timeout(seconds, timeout_error)
        finally:
            if deadline is not None:
                deadline.cancel()

    def _read_body(self, head: h11.Request) -> bytes:
        length = next((int(v) for n, v in head.headers if n == b"content-length"), 0)
        if length > self._limits.max_body_bytes:
            raise BadRequestError(413, f"the body is over {self._limits.max_body_bytes} bytes")
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > self._limits.max_body_bytes:
                    message = f"the body is over {self._limits.max_body_bytes} bytes"
                    raise BadRequestError(413, message)
                continue
            if event is not h11.NEED_DATA:
                raise ClientDisconnectedError("closed the connection in the middle of a request")
            data = self._receive(BODY_READ_TIMEOUT_S)
            if data is None:
                raise BadRequestError(408, "the body of the request did not arrive in time")
            self._http.receive_data(data)

    def _receive(self, timeout_s: float) -> bytes | None:
        """Return the next bytes, empty at the end of the connection, None on timeout."""
        with eventlet.Timeout(timeout_s, False):
            try:
                data = self._connection.recv(READ_BYTES)
            except OSError as error:
                raise ClientDisconnectedError(str(error)) from error
            # Bytes that arrived before the shutdown can still be read, but no longer answered.
            return b"" if self._is_shut_down else data
        return None

    def _write(self, data: bytes | None) -> None:
        if data:
            self._writer.write(data)

    def _is_closed(self) -> bool:
        try:
            return not self._connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _stop_listening(self) -> None:
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None


def error_body(error: str, message: str) -> bytes:
    """Return the JSON body of an error response by the relay itself."""
    value = {"error": error, "message": message}
    return json.dumps(value, separators=(",", ":")).encode()


def _check_size(head: h11.Request, limit: int) -> None:
    """Reject a head over the limit, in bytes; `h11` checks only heads that arrive in parts."""
    size = len(head.method) + len(head.target) + REQUEST_LINE_OVERHEAD
    size += sum(len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in head.headers)
    if size > limit:
        raise BadRequestError(431, f"the head of the request is over {limit} bytes")


def _check_framing(head: h11.Request) -> None:
    """Reject a request that another parser could frame differently.

    Given both a length and chunks, two parsers may disagree on where the request ends, and the
    bytes in between would run as a request that nobody sent (request smuggling).
    """
    names = [name for name, _value in head.headers]
    encodings = [value.strip().lower() for name, value in head.headers if name == TRANSFER_ENCODING]
    if encodings and (b"content-length" in names or encodings != [b"chunked"]):
        raise BadRequestError(400, "the request has conflicting or unsupported body framing")
    if not head.target.startswith(b"/"):
        raise BadRequestError(400, "the request target is not a path")


def _forwardable_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones and those named by `connection`."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    kept = []
    for name, value in headers:
        if name in HOP_HEADERS or name in named:
            continue
        kept.append((name, value))
    return kept


def _has_no_body(status: int) -> bool:
    return status in (204, 304)
