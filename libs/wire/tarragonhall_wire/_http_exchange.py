"""Requests and responses on one connection of the HTTP server."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from email.utils import formatdate
from http import HTTPStatus
from urllib.parse import unquote

import eventlet
import h11
from eventlet.green import socket
from tarragonhall_model import (
    Finding,
    InputError,
    measure_parsed_size,
    parse_json,
    parsed_size_bound,
)

from tarragonhall_wire._inbound import InboundClient, NoRoomError
from tarragonhall_wire._request_reader import (
    ClientGoneError,
    ReadLimits,
    RequestError,
    RequestReader,
    linger,
    no_room,
)

MAX_HEADER_BYTES = 16 * 1024
HEADER_TIMEOUT_SECONDS = 10.0
# Idle connections are closed after this time, because each occupies a green thread.
IDLE_SECONDS = 75.0
# A client that takes no bytes of its response for so long has stopped reading.
WRITE_SECONDS = 10.0
WRITE_BYTES = 64 * 1024
# Bodies up to this size are written in one piece with their head, which copies them.
JOINED_BODY_BYTES = 16 * 1024
# Bodies up to this size are parsed whatever they hold.
UNMEASURED_BODY_BYTES = 64 * 1024
# A handler holds a body as it came and, for a while, what it has taken from it.
HELD_BODIES = 2

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class HttpRequest:
    """One request; `path_params` holds the parameters that the route matched in the path."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    path_params: dict[str, str] = field(default_factory=dict)
    client: InboundClient | None = None

    def join(self, group: str) -> None:
        """Share the room with other requests of a group, an organisation, from now on.

        Raises `RequestError` if those that run take too much.
        """
        if self.client is None:
            return
        try:
            self.client.join(group)
        except NoRoomError as error:
            raise no_room(error) from error

    def bearer(self) -> str | None:
        """Return the bearer credential, or None."""
        scheme, _, credential = self.headers.get("authorization", "").partition(" ")
        return credential.strip() if scheme.lower() == "bearer" and credential.strip() else None

    def json(self) -> dict:
        """Return the body as a JSON object; raise `InputError` if it is anything else."""
        if not self.body:
            return {}
        value = parse_json(self.body)
        if not isinstance(value, dict):
            raise InputError([Finding("", "expected a JSON object")])
        return value


@dataclass(slots=True)
class HttpResponse:
    """One response: a JSON value, plain text, or an iterator of server-sent events."""

    status: int
    value: object = None
    events: Iterator[bytes] | None = None
    text: str | None = None
    headers: dict[str, str] = field(default_factory=dict)


def sse_event(kind: str, value: object) -> bytes:
    """Encode one server-sent event."""
    return f"event: {kind}\ndata: {json.dumps(value, separators=(',', ':'))}\n\n".encode()


class HttpExchange:
    """Reads one request after the other from a connection and writes their responses."""

    __slots__ = ("_client", "_closes", "_connection", "_head", "_reader")

    def __init__(self, connection, client: InboundClient) -> None:
        self._connection = connection
        self._client = client
        self._reader = RequestReader(connection, client)
        self._head: h11.Request | None = None
        # Whether the connection must be closed behind the next response.
        self._closes = False

    def read_head(self) -> HttpRequest | None:
        """Return the next request without its body, or None at the end of the connection."""
        limits = ReadLimits(MAX_HEADER_BYTES, HEADER_TIMEOUT_SECONDS, IDLE_SECONDS)
        head = self._head = self._reader.read_head(limits)
        if head is None:
            return None
        path, _, query = head.target.decode("latin-1").partition("?")
        headers: dict[str, str] = {}
        for name_bytes, value_bytes in head.headers:
            name, value = name_bytes.decode("latin-1"), value_bytes.decode("latin-1")
            headers[name] = f"{headers[name]},{value}" if name in headers else value
        path = unquote(path, encoding="latin-1")
        method = head.method.decode("latin-1")
        return HttpRequest(method, path, query, headers, b"", client=self._client)

    def begin_body(self, max_bytes: int) -> bool:
        """Begin to read the body, which may have `max_bytes`; return whether it is there."""
        return self._reader.begin_body(self._head, max_bytes)

    def read_body(self) -> bytes:
        """Return the body; raise `RequestError` if it cannot be read, or would take too much."""
        if self._reader.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._reader.http.send(interim))
        body = self._reader.read_body()
        if len(body) > UNMEASURED_BODY_BYTES:
            self._check_parsed_size(body)
            self._hold(len(body) * HELD_BODIES)
        return body

    def skip_body(self, max_bytes: int) -> None:
        """Skip the body of a request that is refused whatever it is."""
        if self.begin_body(max_bytes):
            self._reader.read_body()
        else:
            self.drop()

    def drop(self) -> None:
        """Drop what was read of a request; its response is the last one."""
        self._reader.drop()
        self._closes = True

    def respond(self, response: HttpResponse, is_draining: bool) -> bool:
        """Write a response; return whether the connection stays open."""
        headers: Headers = [
            (name.lower().encode(), value.encode("latin-1"))
            for name, value in response.headers.items()
        ]
        headers.append((b"date", formatdate(usegmt=True).encode()))
        if self._closes or is_draining:
            headers.append((b"connection", b"close"))
        if response.events is None:
            self._write_whole(response, headers)
        else:
            self._write_events(response, headers)
        http = self._reader.http
        if self._closes or is_draining or http.our_state is not h11.DONE:
            return False
        self._reader.end_request()
        return True

    def close_if_idle(self) -> None:
        """Shut the connection down unless a request is running or has begun to arrive."""
        if not self._reader.has_begun:
            self._reader.shut_down()

    def close(self, lingers: bool) -> None:
        """Close; with `lingers` read on for a moment, so that the last response arrives."""
        if lingers:
            linger(self._connection, self._client)
        self._connection.close()

    def _check_parsed_size(self, body: bytes) -> None:
        """Reject a JSON body that would take too many times its text while it is parsed."""
        limit = self._client.parsed_bytes
        size = parsed_size_bound(body)
        if size > limit:
            for size in measure_parsed_size(body):  # noqa: B007 - the last one is the size
                eventlet.sleep(0)
        if size > limit:
            raise RequestError(413, f"the body would take {size} bytes parsed, over {limit}")

    def _hold(self, size: int) -> None:
        try:
            self._client.hold(size)
        except NoRoomError as error:
            raise no_room(error) from error

    def _write_whole(self, response: HttpResponse, headers: Headers) -> None:
        if response.text is not None:
            body = response.text.encode()
            headers.append((b"content-type", b"text/plain; version=0.0.4; charset=utf-8"))
        else:
            body = json.dumps(response.value, separators=(",", ":")).encode()
            headers.append((b"content-type", b"application/json"))
        # Only what is written is held for a client that does not read it.
        response.value = response.text = None
        headers.append((b"content-length", str(len(body)).encode()))
        head = self._begin(response.status, headers)
        if self._reader.method == b"HEAD":
            body = b""
        else:
            self._reader.http.send(h11.Data(data=body))
        self._reader.http.send(h11.EndOfMessage())
        if len(body) <= JOINED_BODY_BYTES:
            self._write(head + body)
        else:
            self._write(head)
            self._write(body)

    def _write_events(self, response: HttpResponse, headers: Headers) -> None:
        headers += [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]
        events = response.events
        try:
            self._write(self._begin(response.status, headers))
            for event in events:
                self._write(self._reader.http.send(h11.Data(data=event)))
            self._write(self._reader.http.send(h11.EndOfMessage()))
        finally:
            events.close()

    def _begin(self, status: int, headers: Headers) -> bytes:
        reason = HTTPStatus(status).phrase.encode()
        http = self._reader.http
        return http.send(h11.Response(status_code=status, headers=headers, reason=reason))

    def _write(self, data: bytes | None) -> None:
        """Write all bytes; a client that does not take them may be evicted."""
        if not data:
            return
        rest = memoryview(data)
        rest = rest[self._send_now(rest) :]
        if not rest:
            return
        self._client.write()
        self._client.hold(len(data))
        while rest:
            stalled = ClientGoneError("does not read its response")
            with eventlet.Timeout(WRITE_SECONDS, stalled), self._client.waiting():
                sent = self._connection.send(rest[:WRITE_BYTES])
            self._client.move(sent)
            rest = rest[sent:]
        self._client.run()

    def _send_now(self, data: memoryview) -> int:
        """Return how many bytes the connection took at once."""
        try:
            return self._connection.fd.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0
