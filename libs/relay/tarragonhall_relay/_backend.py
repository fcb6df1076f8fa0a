"""Connections to backend servers, reused from call to call, with one call at a time on each."""

from __future__ import annotations

import contextlib
import enum
import time
from collections.abc import Iterator

import eventlet
import h11
from eventlet.green import socket
from tarragonhall_model import BackendRecord, is_ip_address, is_port
from tarragonhall_wire import Metrics, Traffic, report_resets, wait_and_receive

from tarragonhall_relay._chunks import cut_chunks
from tarragonhall_relay._dialect import Headers
from tarragonhall_relay._errors import BackendError
from tarragonhall_relay._response_body import (
    STATUSES_WITHOUT_BODY,
    BodyEnd,
    Framing,
    ResponseBody,
)
from tarragonhall_relay._response_memory import ResponseLease
from tarragonhall_relay._sockets import is_open_and_idle, set_options

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Bodies up to this size are sent in one piece with their head, which copies them.
JOINED_BODY_BYTES = 16 * 1024
# Several round trips between availability zones. A server that has not accepted by then is down or
# unreachable, and there is still time to try another one.
CONNECT_TIMEOUT_S = 0.4
# Servers close idle connections after a timeout of their own, in whole seconds. Whether a call
# sent at that moment ran cannot be known, so connections are closed well before.
DEFAULT_KEEP_ALIVE_S = 1.5
KEEP_ALIVE_FRACTION = 0.7
MAX_KEEP_ALIVE_S = 10.0
MAX_IDLE_PER_SERVER = 12
REQUEST_KIND = "server.request"
RESPONSE_KIND = "server.answer"
# The highest status that HTTP defines a class for.
MAX_STATUS = 599
END_OF_HEAD = b"\r\n\r\n"
CHUNKED = (b"transfer-encoding", b"chunked")
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# Refused attempts that a connection remembers; with more it is not used again.
MAX_REFUSED_ATTEMPTS = 32
# Responses to other calls that are skipped before a connection counts as broken, and what they may
# take. A late copy is sent as a whole; one that takes longer keeps the call under way from its own.
MAX_EXTRA_RESPONSES = 3
MAX_SKIPPED_BYTES = 1024 * 1024
SKIP_TIMEOUT_S = 0.5
# Informational responses before the response to a call. Servers send one or two.
MAX_INFORMATIONAL_RESPONSES = 16
# What the body of a refusal may take: its head has said everything, and a new connection is cheaper
# than a longer body.
MAX_REFUSAL_BYTES = 64 * 1024
REFUSAL_TIMEOUT_S = 0.1


class Reachability(enum.Enum):
    """How a server reacts to a new connection. One that refuses it has ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class BackendConnection:
    """One connection to one backend server.

    A server may send a response once more, late. The copy bears the id of its attempt, so a
    connection never carries an attempt of `refused_attempts` again: a copy of the refusal could not
    be told from the response to the second send. `is_trusted` is false once nothing is known about
    the next response on the connection.
    """

    __slots__ = (
        "_connection",
        "_cuts_chunks",
        "_http",
        "_is_closed",
        "_request",
        "_rest",
        "_traffic",
        "_zone",
        "is_trusted",
        "refused_attempts",
        "response_body",
        "reused",
        "server_id",
        "usable_until",
    )

    def __init__(self, connection, record: BackendRecord, traffic: Traffic) -> None:
        self._connection = connection
        self._traffic = traffic
        self._zone = record.availability_zone
        self._http = _new_http()
        self._request: h11.Request | None = None
        # Received bytes that `h11` has not got, and whether whole chunks are cut from them.
        self._rest = b""
        self._cuts_chunks = False
        # Whether the server has closed the connection, which is not the case if it was reset.
        self._is_closed = False
        self.response_body = ResponseBody()
        self.server_id = record.server_id
        self.refused_attempts: set[str] = set()
        self.is_trusted = True
        self.reused = False
        self.usable_until = 0.0

    def send(self, method: str, target: bytes, headers: Headers, body: tuple[bytes, ...]) -> None:
        """Send a call with the parts of its body.

        Raises `BackendError` if the connection fails or the head is invalid.
        """
        framing: Headers = []
        size = sum(map(len, body))
        if size or method in ("POST", "PUT", "PATCH"):
            framing = [(b"content-length", str(size).encode())]
        try:
            self._request = h11.Request(method=method, target=target, headers=headers + framing)
        except h11.LocalProtocolError as error:
            raise BackendError(f"the call cannot be sent: {error}", sent=False) from error
        self.response_body = ResponseBody()
        head = self._http.send(self._request)
        for part in body:
            if part:
                self._http.send(h11.Data(data=part))
        self._http.send(h11.EndOfMessage())
        self._traffic.count(REQUEST_KIND, len(head) + size, self._zone)
        try:
            if size <= JOINED_BODY_BYTES:
                self._connection.sendall(b"".join((head, *body)))
            else:
                self._connection.sendall(head)
                for part in body:
                    # A view, since what is left to send of a part would be copied.
                    self._connection.sendall(memoryview(part))
        except OSError as error:
            raise BackendError(f"cannot send: {error}", sent=True) from error

    def read_head(self) -> h11.Response:
        """Return the head of the next response; raise `BackendError` if none comes."""
        informational = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    # `h11` takes any three digits from 200 up.
                    raise BackendError(f"{event.status_code} is no HTTP status", sent=True)
                self._cuts_chunks = self._is_at_first_chunk(event)
                self.response_body.begin(self._request.method, event)
                return event
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational <= MAX_INFORMATIONAL_RESPONSES:
                    continue
                raise BackendError(
                    f"over {MAX_INFORMATIONAL_RESPONSES} informational responses", sent=True
                )
            raise BackendError("closed without a response", sent=True)

    def read(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raise `BackendError` if it is cut."""
        data = self._next_chunks()
        if data:
            self.response_body.size += len(data)
            return data
        event = self._next_event()
        if isinstance(event, h11.Data):
            self.response_body.size += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            is_stated = self.response_body.framing is not Framing.CONNECTION
            self.response_body.end = BodyEnd.STATED if is_stated else BodyEnd.CLOSED
            return None
        self.response_body.end = BodyEnd.CLOSED
        raise BackendError("closed in the middle of its response", sent=True)

    def read_all(self, limit: int, lease: ResponseLease) -> bytes:
        """Return the whole body; raise `BackendError` if it is longer than `limit` bytes.

        `lease` takes its memory.
        """
        parts = []
        for data in self._parts(limit):
            lease.grow(len(data))
            parts.append(data)
        return b"".join(parts)

    def discard(self, limit: int, timeout_s: float) -> None:
        """Read the body without keeping it; raise `BackendError` if it has no end within limits."""
        error = BackendError(f"the response did not end within {timeout_s} s", sent=True)
        with eventlet.Timeout(timeout_s, error):
            for _data in self._parts(limit):
                continue

    def skip_response(self) -> None:
        """Discard a response that belongs to another call and prepare to read the next one.

        A server may send a response twice or late, where the next one is expected. The current call
        is still in flight, and its own response follows.
        """
        self.discard(MAX_SKIPPED_BYTES, SKIP_TIMEOUT_S)
        trailing, closed = self._http.trailing_data
        self._http = _new_http()
        # The server has the call with its body. Only the method matters for reading a response.
        unframed = [(n, v) for n, v in self._request.headers if n not in FRAMING_HEADERS]
        request = self._request
        self._http.send(h11.Request(method=request.method, target=request.target, headers=unframed))
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)
        if closed:
            self._http.receive_data(b"")

    def is_reusable(self) -> bool:
        """Return whether another call may be sent after the response was read to its end."""
        if not self.is_trusted or len(self.refused_attempts) >= MAX_REFUSED_ATTEMPTS:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return True

    def is_open_and_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return is_open_and_idle(self._connection)

    def close(self) -> None:
        """Close the connection; a server cancels a call that it is still running."""
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        self._connection.close()

    def _parts(self, limit: int) -> Iterator[bytes]:
        """Return the parts of the body; raise `BackendError` if it is longer than `limit` bytes."""
        if self.response_body.stated_size > limit:
            size = self.response_body.stated_size
            raise BackendError(f"the response of {size} bytes is over {limit} bytes", sent=True)
        while True:
            data = self.read()
            if data is None:
                return
            yield data
            if self.response_body.size > limit:
                raise BackendError(f"the response is over {limit} bytes", sent=True)

    def _is_at_first_chunk(self, head: h11.Response) -> bool:
        """Return whether the body starts with a chunk of which `h11` has not got a byte."""
        if self._request.method == b"HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
            return False
        return CHUNKED in head.headers and not self._http.trailing_data[0]

    def _next_chunks(self) -> bytes:
        """Return the data of the whole chunks that arrive next, nothing if `h11` is to go on.

        A stream's events arrive in whole chunks, hundreds a second. What does not start with a
        whole one (the last chunk, a part of one, anything invalid) goes to `h11` and its checks,
        and so does all that follows.
        """
        if not self._cuts_chunks:
            return b""
        try:
            received = self._rest or self._receive()
        except (OSError, EOFError) as error:
            raise self._connection_error(error) from error
        data, self._rest = cut_chunks(received)
        if not data:
            self._cuts_chunks = False
            if not received:
                self._http.receive_data(b"")
        return data

    def _next_event(self) -> object:
        try:
            while True:
                if self._rest:
                    rest, self._rest = self._rest, b""
                    self._http.receive_data(rest)
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                received = self._receive()
                if self._http.their_state is h11.SEND_RESPONSE:
                    head, end, self._rest = received.partition(END_OF_HEAD)
                    received = head + end
                self._http.receive_data(received)
                if self._http.their_state is h11.SEND_RESPONSE and self._rest:
                    event = self._http.next_event()
                    if event is not h11.NEED_DATA:
                        return event
        except (OSError, EOFError) as error:
            raise self._connection_error(error) from error
        except h11.RemoteProtocolError as error:
            self.response_body.end = BodyEnd.CLOSED if self._is_closed else BodyEnd.INVALID
            raise BackendError(f"sent an invalid response: {error}", sent=True) from error

    def _connection_error(self, error: OSError | EOFError) -> BackendError:
        is_reset = isinstance(error, ConnectionResetError)
        self.response_body.end = BodyEnd.RESET if is_reset else BodyEnd.LOST
        return BackendError(f"the connection failed: {error}", sent=True)

    def _receive(self) -> bytes:
        # What a server sends next comes after a pause: the head of its response, an event.
        received = wait_and_receive(self._connection, READ_BYTES)
        self._is_closed = not received
        self._traffic.count(RESPONSE_KIND, len(received), self._zone)
        return received


class BackendPool:
    """The idle connections of one entry; the one used last is reused first."""

    __slots__ = ("_idle_by_server", "_metrics", "_traffic")

    def __init__(self, traffic: Traffic, metrics: Metrics) -> None:
        self._traffic = traffic
        self._metrics = metrics
        self._idle_by_server: dict[str, list[BackendConnection]] = {}

    def acquire(self, record: BackendRecord, attempt_id: str) -> BackendConnection:
        """Return an idle connection to a server that never refused this attempt, or a new one.

        Raises `BackendError` with `sent` false if it cannot be opened.
        """
        idle = self._idle_by_server.get(record.server_id, [])
        for index in range(len(idle) - 1, -1, -1):
            if attempt_id in idle[index].refused_attempts:
                self._metrics.count("relay.connections_passed_over")
                continue
            connection = idle.pop(index)
            if time.monotonic() < connection.usable_until and connection.is_open_and_idle():
                connection.reused = True
                return connection
            connection.close()
        return self.open(record)

    def release(self, connection: BackendConnection, keep_alive_s: float | None) -> None:
        """Make a connection available for reuse, or close it if it cannot be reused."""
        idle = self._idle_by_server.setdefault(connection.server_id, [])
        if len(idle) >= MAX_IDLE_PER_SERVER or not connection.is_reusable():
            connection.close()
            return
        keep_s = (
            DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s * KEEP_ALIVE_FRACTION
        )
        connection.usable_until = time.monotonic() + min(keep_s, MAX_KEEP_ALIVE_S)
        idle.append(connection)

    def check(self, record: BackendRecord) -> Reachability:
        """Try a new connection to a server; it is kept as an idle one."""
        try:
            connection = self.open(record)
        except BackendError as error:
            self.close_idle(record.server_id)
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Reachability.REFUSED
            return Reachability.NO_ANSWER
        idle = self._idle_by_server.setdefault(record.server_id, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
        else:
            connection.usable_until = time.monotonic() + DEFAULT_KEEP_ALIVE_S
            idle.append(connection)
        return Reachability.ACCEPTED

    def has_idle(self, server_id: str) -> bool:
        """Return whether a connection to a server is idle and may be reused."""
        idle = self._idle_by_server.get(server_id)
        return bool(idle) and time.monotonic() < idle[-1].usable_until

    def idle(self) -> int:
        """Return how many connections are idle."""
        return sum(len(idle) for idle in self._idle_by_server.values())

    def close_expired(self) -> None:
        """Close the connections whose idle time is over."""
        now = time.monotonic()
        for server_id, idle in list(self._idle_by_server.items()):
            usable = [connection for connection in idle if now < connection.usable_until]
            for connection in idle:
                if connection not in usable:
                    connection.close()
            if usable:
                self._idle_by_server[server_id] = usable
            else:
                del self._idle_by_server[server_id]

    def close_idle(self, server_id: str) -> None:
        """Close the idle connections to a server that is gone or unreachable."""
        for connection in self._idle_by_server.pop(server_id, []):
            connection.close()

    def open(self, record: BackendRecord) -> BackendConnection:
        """Return a new connection; raise `BackendError`, with `sent` false, if there is none."""
        host, _, port = record.address.rpartition(":")
        if not (is_ip_address(host) and is_port(port)):
            # A name would be looked up by the whole process, and some names raise anything.
            raise BackendError(f"{record.address!r} is no IP address and port", sent=False)
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            set_options(connection)
            report_resets(connection)
            with eventlet.Timeout(CONNECT_TIMEOUT_S, TimeoutError("timed out")):
                connection.connect((host, int(port)))
        except (OSError, ValueError) as error:
            connection.close()
            raise BackendError(f"cannot connect: {error}", sent=False) from error
        except BaseException:
            connection.close()
            raise
        self._metrics.count("relay.channels_opened")
        return BackendConnection(connection, record, self._traffic)


def _new_http() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
