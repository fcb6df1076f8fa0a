"""A small HTTP server whose connections can misbehave, which library servers do not allow."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

import eventlet

BACKLOG = 1_024
# Enough to test what reached the server, without growing under load.
RECEIVED_KEPT = 1_000
CRASH_EXIT_CODE = 70


class CrashedError(Exception):
    """The fake has crashed while it served this request."""


@dataclass(slots=True)
class Received:
    """One request as it reached the server."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as a JSON object."""
        return json.loads(self.body or b"{}")


@dataclass(slots=True)
class FakeServer:
    """Accepts connections and gives each request to `respond(exchange)`, until it crashes.

    `exits` is set where the fake is a process of its own: a crash then ends the process. Otherwise
    a crash closes the listener and every connection, so that the address refuses connections.
    """

    respond: Callable[[Exchange], None]
    address: str
    exits: bool = False
    received: list[Received] = field(default_factory=list)
    crashed: bool = False
    _listener: object = None
    _connections: set = field(default_factory=set)

    def start(self) -> None:
        """Listen on `address`; port 0 takes a free one, which `address` then names."""
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)), backlog=BACKLOG, reuse_port=False)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.crashed = False
        eventlet.spawn_n(self._accept_loop, self._listener)

    def crash(self) -> None:
        """End as a killed process does: no answers, no goodbyes, connections refused."""
        if self.exits:
            os._exit(CRASH_EXIT_CODE)
        self.crashed = True
        # Shut down before close: a green thread blocked in `accept` keeps a closed listener alive.
        for connection in [self._listener, *self._connections]:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
            finally:
                connection.close()
        self._connections.clear()

    stop = crash

    def _accept_loop(self, listener) -> None:
        while not self.crashed:
            try:
                connection, peer = listener.accept()
            except OSError:
                return
            eventlet.spawn_n(self._serve, connection, peer)

    def _serve(self, connection, peer) -> None:
        self._connections.add(connection)
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            Exchange(connection, peer, self)
        except (OSError, CrashedError, ValueError):
            return
        finally:
            self._connections.discard(connection)
            connection.close()


class Exchange(BaseHTTPRequestHandler):
    """One connection; `request_seen` holds the request at hand."""

    protocol_version = "HTTP/1.1"

    def handle_any(self) -> None:
        """Read the body and hand the request over."""
        length = int(self.headers.get("Content-Length") or 0)
        headers = {name.lower(): value for name, value in self.headers.items()}
        self.request_seen = Received(self.command, self.path, headers, self.rfile.read(length))
        self.server.received.append(self.request_seen)
        del self.server.received[:-RECEIVED_KEPT]
        self.server.respond(self)

    do_GET = do_POST = do_PUT = do_DELETE = handle_any  # noqa: N815 - names set by the library

    def reply(self, value: object, status: int = 200, headers: dict | None = None) -> None:
        """Send a whole JSON response."""
        self.reply_bytes(json.dumps(value).encode(), status, headers)

    def reply_bytes(
        self, body: bytes, status: int = 200, headers: dict | None = None, missing: int = 0
    ) -> None:
        """Send a response whose stated length is larger by `missing` than what is sent."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body) + missing))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)
        if missing:
            self.close_connection = True

    def start_events(self) -> None:
        """Begin a response of server-sent events that ends with the connection."""
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.end_headers()
        self.close_connection = True

    def event(self, kind: str, value: dict) -> None:
        """Send one event."""
        self.wfile.write(f"event: {kind}\ndata: {json.dumps(value)}\n\n".encode())

    def hang(self) -> None:
        """Keep the connection open and never say anything more on it."""
        while not self.server.crashed:
            eventlet.sleep(0.2)
        raise CrashedError

    def crash(self) -> None:
        """Crash the whole server."""
        self.server.crash()
        raise CrashedError

    def log_message(self, *_args) -> None:
        """Log nothing."""


def serve_process(server: FakeServer) -> None:
    """Serve in a process of its own until it is ended."""
    server.exits = True
    server.start()
    print(f"listening on {server.address}", flush=True)
    eventlet.event.Event().wait()
