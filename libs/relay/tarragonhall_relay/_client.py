"""One client connection: reads strict HTTP/1.1 requests and writes responses.

A client that closes its connection is noticed while its response is pending.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

import greenlet
import h11
from eventlet import hubs
from eventlet.green import socket
from tarragonhall_model import ClientLimits
from tarragonhall_wire import InboundClient, ReadLimits, RequestError, RequestReader, linger

from tarragonhall_relay._client_writer import ClientWriter, WaitingBytes
from tarragonhall_relay._dialect import Headers
from tarragonhall_relay._errors import ClientDisconnectedError
from tarragonhall_relay._routes import host_of
from tarragonhall_relay._sockets import is_open_and_idle, set_reset_on_close

# Bodies up to this size are written in one piece with their head, which copies them.
JOINED_BODY_BYTES = 16 * 1024
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
    """One request; its body is empty until it has been read."""

    method: str
    target: bytes
    host: str
    headers: Headers
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class ClientConnection:
    """Reads one request after the other and writes their responses."""

    __slots__ = (
        "_connection",
        "_cuts_chunks",
        "_inbound",
        "_is_chunk_reader",
        "_listener",
        "_pending_throw",
        "_reader",
        "_writer",
        "closing",
        "response_started",
    )

    def __init__(self, connection, inbound: InboundClient, waiting: WaitingBytes) -> None:
        self._connection = connection
        self._inbound = inbound
        self._reader = RequestReader(connection, inbound)
        self._writer = ClientWriter(connection, waiting)
        self._listener = None
        self._pending_throw = None
        # Whether parts of the current response are written as chunks, which `h11` would do alike.
        self._cuts_chunks = False
        self._is_chunk_reader = False
        # Whether the head of the current response was sent, and whether it is the last response.
        self.response_started = False
        self.closing = False

    @property
    def _http(self) -> h11.Connection:
        return self._reader.http

    def next_request(
        self, limits: ClientLimits, screen: Callable[[ClientRequest], str]
    ) -> ClientRequest | None:
        """Return the next request, or None at the end of the connection.

        `screen` is asked about a request whose body is still to be read. It returns the group whose
        room the request shares, or raises `RequestError` if its head alone shows that it cannot
        run. Raises `RequestError` for any other request that cannot be served, too.
        """
        self.response_started = False
        head = self._reader.read_head(_read_limits(limits))
        if head is None:
            return None
        self._is_chunk_reader = head.http_version == b"1.1" and head.method != b"HEAD"
        host = next((value for name, value in head.headers if name == b"host"), b"")
        headers = _forwardable_headers(list(head.headers))
        request = ClientRequest(head.method.decode(), head.target, host_of(host), headers)
        if not self._reader.begin_body(head, limits.max_body_bytes):
            self._inbound.join(screen(request))
            if self._http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self._write(self._http.send(interim))
        request.body = self._reader.read_body()
        return request

    def join(self, group: str) -> None:
        """Share the room with the other requests of a group, an organisation, from now on.

        Raises `NoRoomError` if those that run take too much.
        """
        self._inbound.join(group)

    def end_request(self) -> None:
        """Note that the current request has its response, and that nothing of it is held."""
        self._reader.end_request()

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
        if self._reader.method == b"HEAD":
            # Told by its length only.
            body = b""
        response = h11.Response(
            status_code=status, headers=headers + framing + self._connection_headers()
        )
        head = self._http.send(response)
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self.response_started = True
        if len(body) <= JOINED_BODY_BYTES:
            self._write(head + body)
        else:
            # What waits for a slow reader is the body itself, not a copy.
            self._write(head)
            self._write(body)
        self._writer.flush()

    def refuse(self, error: RequestError) -> None:
        """Drop what was read of a request, and write its response."""
        self._reader.drop()
        headers: Headers = [(b"content-type", b"application/json")]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:.3f}".encode()))
        self.respond(error.status, headers, error_body(error.code, str(error)))

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

    def stays_open(self) -> bool:
        """Return whether another request may follow on the connection."""
        return not self.closing and self._http.our_state is h11.DONE

    def close_if_idle(self) -> None:
        """Shut the connection down unless a request is running or has begun to arrive.

        A request that arrives at the same moment is dropped unread, so that it certainly does not
        run.
        """
        if not self._reader.has_begun and is_open_and_idle(self._connection):
            self._reader.shut_down()

    def close(self, lingers: bool) -> None:
        """Close; with `lingers` read on for a moment, so that the last response arrives."""
        self.stop_watching()
        self._writer.stop()
        if lingers:
            linger(self._connection, self._inbound)
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


def _read_limits(limits: ClientLimits) -> ReadLimits:
    return ReadLimits(
        limits.max_header_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


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
