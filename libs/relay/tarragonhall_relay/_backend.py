"""Connections to backend servers: one call at a time on each, kept open between calls."""

from __future__ import annotations

import contextlib
import time

import eventlet
import h11
from eventlet.green import socket
from tarragonhall_model import BackendRecord
from tarragonhall_wire import Traffic

from tarragonhall_relay._dialect import Headers
from tarragonhall_relay._errors import BackendError
from tarragonhall_relay._sockets import is_quiet, set_options

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Several round trips between availability zones; a server that does not accept by then is down or
# cut off, and another one can still be tried in time.
CONNECT_S = 0.4
# Servers close idle connections after a time of their own, in whole seconds. A call sent at that
# moment is lost without a word whether it ran, so connections are given up well before.
DEFAULT_KEEP_S = 1.5
KEEP_SHARE = 0.7
MOST_KEEP_S = 10.0
IDLE_PER_SERVER = 12
REQUEST_KIND = "server.request"
ANSWER_KIND = "server.answer"
# A server that sends one answer too many sends one; more than this and the connection is worthless.
MAX_EXTRA_ANSWERS = 3


class BackendConnection:
    """One connection to one backend server."""

    __slots__ = (
        "_connection",
        "_http",
        "_request",
        "_traffic",
        "_zone",
        "server_id",
        "used",
        "usable_until",
    )

    def __init__(self, connection, record: BackendRecord, traffic: Traffic) -> None:
        self._connection = connection
        self._traffic = traffic
        self._zone = record.availability_zone
        self._http = _new_http()
        self._request: h11.Request | None = None
        self.server_id = record.server_id
        self.used = False
        self.usable_until = 0.0

    def send(self, method: str, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a call; raise `BackendError`."""
        framing: Headers = []
        if body or method in ("POST", "PUT", "PATCH"):
            framing = [(b"content-length", str(len(body)).encode())]
        self._request = h11.Request(method=method, target=target, headers=headers + framing)
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage()) or b""
        self._traffic.count(REQUEST_KIND, len(data), self._zone)
        try:
            self._connection.sendall(data)
        except OSError as error:
            raise BackendError(f"cannot send: {error}", sent=True) from error

    def read_head(self) -> h11.Response:
        """Return the head of the next answer; raise `BackendError`."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            raise BackendError("closed without an answer", sent=True)

    def read(self) -> bytes | None:
        """Return the next bytes of the answer's body, None at its end; raise `BackendError`."""
        event = self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BackendError("closed in the middle of its answer", sent=True)

    def read_all(self, limit: int) -> bytes:
        """Return the whole body; raise `BackendError` where it is longer than `limit`."""
        parts = []
        size = 0
        while True:
            data = self.read()
            if data is None:
                return b"".join(parts)
            parts.append(data)
            size += len(data)
            if size > limit:
                raise BackendError(f"the answer is over {limit} bytes", sent=True)

    def skip_answer(self, limit: int) -> None:
        """Drop an answer that belongs to another call and make ready to read the next one.

        A server may send an answer twice or late, where the next one is expected. The call at hand
        is under way all the same, and its own answer follows.
        """
        self.read_all(limit)
        trailing, closed = self._http.trailing_data
        self._http = _new_http()
        self._http.send(self._request)
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)
        if closed:
            self._http.receive_data(b"")

    def is_reusable(self) -> bool:
        """Return whether another call may be sent after the answer was read to its end."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return True

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing unasked for has arrived."""
        return is_quiet(self._connection)

    def close(self) -> None:
        """Close the connection; a server drops the call that it still works on."""
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        self._connection.close()

    def _next_event(self) -> object:
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                received = self._connection.recv(READ_BYTES)
                self._traffic.count(ANSWER_KIND, len(received), self._zone)
                self._http.receive_data(received)
        except OSError as error:
            raise BackendError(f"broke off: {error}", sent=True) from error
        except h11.RemoteProtocolError as error:
            raise BackendError(f"sent what is no answer: {error}", sent=True) from error


class BackendPool:
    """The idle connections of one entry, newest first."""

    __slots__ = ("_idle_by_server", "_traffic")

    def __init__(self, traffic: Traffic) -> None:
        self._traffic = traffic
        self._idle_by_server: dict[str, list[BackendConnection]] = {}

    def take(self, record: BackendRecord) -> BackendConnection:
        """Return a connection to a server, a new one where no idle one is sound.

        Raises `BackendError` with `sent` false where it cannot be opened.
        """
        idle = self._idle_by_server.get(record.server_id, [])
        while idle:
            found = idle.pop()
            if time.monotonic() < found.usable_until and found.is_quiet():
                found.used = True
                return found
            found.close()
        return self._open(record)

    def put(self, connection: BackendConnection, keep_alive_s: float | None) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        idle = self._idle_by_server.setdefault(connection.server_id, [])
        if len(idle) >= IDLE_PER_SERVER or not connection.is_reusable():
            connection.close()
            return
        keep_s = DEFAULT_KEEP_S if keep_alive_s is None else keep_alive_s * KEEP_SHARE
        connection.usable_until = time.monotonic() + min(keep_s, MOST_KEEP_S)
        idle.append(connection)

    def sweep(self) -> None:
        """Close what was idle for too long."""
        now = time.monotonic()
        for server_id, idle in list(self._idle_by_server.items()):
            kept = [one for one in idle if now < one.usable_until]
            for one in idle:
                if one not in kept:
                    one.close()
            if kept:
                self._idle_by_server[server_id] = kept
            else:
                del self._idle_by_server[server_id]

    def drop(self, server_id: str) -> None:
        """Close the idle connections to a server that is gone or silent."""
        for one in self._idle_by_server.pop(server_id, []):
            one.close()

    def _open(self, record: BackendRecord) -> BackendConnection:
        host, _, port = record.address.rpartition(":")
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            set_options(connection)
            with eventlet.Timeout(CONNECT_S, TimeoutError("no connection in time")):
                connection.connect((host, int(port)))
        except (OSError, ValueError) as error:
            connection.close()
            raise BackendError(f"cannot connect: {error}", sent=False) from error
        except BaseException:
            connection.close()
            raise
        return BackendConnection(connection, record, self._traffic)


def _new_http() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
