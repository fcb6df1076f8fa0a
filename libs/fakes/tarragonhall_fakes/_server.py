"""A small HTTP server that can hang, truncate or crash, which library servers do not allow."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

import eventlet

BACKLOG = 1_024
# Bounds the memory under load.
MAX_RECEIVED = 1_000
CRASH_EXIT_CODE = 70
# Within this time the event loop has told all threads that their connections have ended.
STOP_SECONDS = 0.01


class CrashedError(Exception):
    """The fake crashed while it served this request."""


@dataclass(slots=True)
class ReceivedRequest:
    """One request that reached the server."""

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

    With `exit_on_crash`, set where the fake is a process of its own, a crash ends the process.
    Otherwise it closes the listener and every connection, so that connections are refused.
    """

    respond: Callable[[Exchange], None]
    address: str
    exit_on_crash: bool = False
    received: list[ReceivedRequest] = field(default_factory=list)
    crashed: bool = False
    _listener: object = None
    _connections: set = field(default_factory=set)

    def start(self) -> None:
        """Listen on `address`; port 0 takes a free port and updates `address`."""
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)), backlog=BACKLOG, reuse_port=False)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.crashed = False
        eventlet.spawn_n(self._accept_loop, self._listener)

    def crash(self) -> None:
        """End like a killed process: no responses, no shutdown notice, connections refused."""
        if self.exit_on_crash:
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

    def stop(self) -> None:
        """Crash, once the threads that wait for connections have ended.

        A closed descriptor that is still waited for would fail the next one of the same number.
        """
        self.crashed = True
        for connection in [self._listener, *self._connections]:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        eventlet.sleep(STOP_SECONDS)
        self.crash()

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
    """One connection; `current_request` is the request being served."""

    protocol_version = "HTTP/1.1"

    def handle_request(self) -> None:
        """Read the body, record the request and pass it to the server's `respond`."""
        length = int(self.headers.get("Content-Length") or 0)
        headers = {name.lower(): value for name, value in self.headers.items()}
        self.current_request = ReceivedRequest(
            self.command, self.path, headers, self.rfile.read(length)
        )
        self.server.received.append(self.current_request)
        del self.server.received[:-MAX_RECEIVED]
        self.server.respond(self)

    do_GET = do_POST = do_PUT = do_DELETE = handle_request  # noqa: N815 - names set by the library

    def reply(self, value: object, status: int = 200, headers: dict | None = None) -> None:
        """Send a whole JSON response."""
        self.reply_bytes(json.dumps(value).encode(), status, headers)

    def reply_bytes(
        self, body: bytes, status: int = 200, headers: dict | None = None, missing: int = 0
    ) -> None:
        """Send a response whose Content-Length exceeds the body sent by `missing` bytes."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body) + missing))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)
        if missing:
            self.close_connection = True

    def reply_unframed(self, body: bytes, headers: dict | None = None) -> None:
        """Send a response with neither a length nor chunks; closing the connection ends it."""
        self.send_response(200)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)
        self.close_connection = True

    def reset(self) -> None:
        """Reset the connection at its close, as at a crash with unread input."""
        option = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.connection.close()
        raise CrashedError

    def start_event_stream(self) -> None:
        """Start a response of server-sent events; closing the connection ends it."""
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.end_headers()
        self.close_connection = True

    def send_event(self, kind: str, value: dict) -> None:
        """Send one server-sent event."""
        self.wfile.write(f"event: {kind}\ndata: {json.dumps(value)}\n\n".encode())

    def hang(self) -> None:
        """Keep the connection open and send nothing more on it."""
        while not self.server.crashed:
            eventlet.sleep(0.2)
        raise CrashedError

    def crash(self) -> None:
        """Crash the whole server."""
        self.server.crash()
        raise CrashedError

    def log_message(self, *_args) -> None:
        """Disable the library's access log."""


def serve_process(server: FakeServer) -> None:
    """Run the server in this process until it is killed."""
    server.exit_on_crash = True
    server.start()
    print(f"listening on {server.address}", flush=True)
    eventlet.event.Event().wait()
