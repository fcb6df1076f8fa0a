"""Stand-ins for replicas, which say what they ran.

Those of the service `models` are engines: a prompt is read at the pace of the sheet, one after the
other, without the parts that the replica has read before. Those of other services work on each
request for a fixed time.
"""

from __future__ import annotations

import contextlib
import hashlib
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

from deployment import CONTROL_PORT, ZONES, Deployment, call_json

HEARTBEAT_SECONDS = 1.2
KEEP_ALIVE_SECONDS = 5
# Of the sheet of `lsslca-route`: prompt tokens read in a millisecond, requests at once.
PREFILL_TOKENS_PER_MS = 32.4
ENGINE_CAPACITY = 96
PLAIN_CAPACITY = 6
MODELS = "models"
EVENTS = (b"The", b"drop", b"run", b"starts", b"here.")
EVENT_SECONDS = 0.007
# Of a faulty replica: events without an id, until the caller closes.
ENDLESS_EVENT = b"data: " + b"z" * 50_000 + b"\n\n"
ENDLESS_BYTES_PER_SECOND = 5_000_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Run:
    """One request that a replica has run."""

    attempt: str
    tenant: str
    size: int
    digest: str
    at: float = field(default_factory=time.monotonic)


class Replica:
    """One replica; `is_endless` makes its streams end only when the caller closes."""

    def __init__(
        self, deployment: Deployment, service: str, number: int, work_s: float = 0.05
    ) -> None:
        self._deployment = deployment
        self._service = service
        self._work_s = work_s
        self._capacity = ENGINE_CAPACITY if service == MODELS else PLAIN_CAPACITY
        self._held_parts: set[str] = set()
        self._prefill = threading.Lock()
        self._slots = threading.BoundedSemaphore(self._capacity)
        self.is_endless = False
        # How long the replica takes for one event.
        self.event_s = EVENT_SECONDS
        self.replica_id = f"i-{service}-{number}"
        self._zone = ZONES[number % len(ZONES)]
        self._born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.running = 0
        self._is_down = False
        self._connections: set[socket.socket] = set()
        self._listener = socket.socket()
        last = 101 + number + (50 if service == MODELS else 0)
        self._listener.bind((f"{deployment.net}.{last}", 0))
        self._listener.listen(512)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._register, daemon=True).start()

    def crash(self) -> None:
        """End for good: reset all connections, refuse new ones, and say nothing."""
        self._is_down = True
        # Wakes the thread that waits in `accept`.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                # Its own thread closes it.
                connection.shutdown(socket.SHUT_RD)

    def _register(self) -> None:
        sequence, member = 0, 0
        while not (self._deployment.stopping or self._is_down):
            sequence += 1
            body = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "capacity": self._capacity,
                "state": "ready",
                "warmupLeftMs": 0,
                "seq": sequence,
                "born": self._born,
            }
            address = f"{self._deployment.edge_ips[member]}:{CONTROL_PORT}"
            path = f"/api/replicas/{self.replica_id}"
            try:
                status, _body = call_json("PUT", address, path, body, 1.0)
            except OSError:
                status = 0
            if not 200 <= status < 300:
                member = (member + 1) % len(self._deployment.edge_ips)
                time.sleep(0.1)
                continue
            time.sleep(HEARTBEAT_SECONDS)

    def _accept(self) -> None:
        while not (self._deployment.stopping or self._is_down):
            try:
                connection, _address = self._listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with contextlib.suppress(OSError), connection:
                reader = connection.makefile("rb")
                while self._serve_request(connection, reader):
                    continue
                reader.close()
        finally:
            self._connections.discard(connection)

    def _serve_request(self, connection: socket.socket, reader) -> bool:
        request_line = reader.readline().split()
        if len(request_line) != 3:
            return False
        headers: dict[str, str] = {}
        while (line := reader.readline().strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", 0)))
        path = request_line[1].decode("latin-1")
        attempt = headers.get("x-tarragonhall-attempt-id", "")
        head = f"X-Tarragonhall-Attempt-Id: {attempt}\r\n"
        head += f"Keep-Alive: timeout={KEEP_ALIVE_SECONDS}\r\n"
        if path == "/healthz":
            head += f"X-Tarragonhall-Instance-Id: {self.replica_id}\r\n"
            return _answer(connection, "200 OK", head, b"")
        if headers.get("x-tarragonhall-expect-instance", self.replica_id) != self.replica_id:
            head += "X-Tarragonhall-Not-Executed: 1\r\n"
            return _answer(connection, "421 Misdirected Request", head, b"")
        if not self._slots.acquire(blocking=False):
            head += "X-Tarragonhall-Not-Executed: 1\r\n"
            return _answer(connection, "503 Service Unavailable", head, b"")
        try:
            self.running += 1
            return self._run(connection, path, headers, head, body)
        finally:
            self.running -= 1
            self._slots.release()

    def _run(
        self, connection: socket.socket, path: str, headers: dict[str, str], head: str, body: bytes
    ) -> bool:
        if self._service == MODELS:
            self._read_prompt(headers)
        attempt = headers.get("x-tarragonhall-attempt-id", "")
        tenant = headers.get("x-tarragonhall-tenant", "")
        self.runs.append(Run(attempt, tenant, len(body), hashlib.sha256(body).hexdigest()))
        head += f"X-Tarragonhall-Server-Seal: {self.replica_id}.{len(self.runs)}\r\n"
        if self._service != MODELS:
            time.sleep(self._work_s)
            return _answer(connection, "200 OK", head, b"done " + attempt.encode("latin-1"))
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + head.encode("latin-1"))
        if self.is_endless:
            self._send_endless(connection)
        for number, data in enumerate(EVENTS, start=1):
            time.sleep(self.event_s)
            if self._is_down:
                return False
            _send_chunk(connection, b"id: %d\ndata: %b\n\n" % (number, data))
        connection.sendall(b"0\r\n\r\n")
        return True

    def _read_prompt(self, headers: dict[str, str]) -> None:
        """Read the parts of a prompt that this replica does not hold."""
        parts = headers.get("x-tarragonhall-prompt-prefix", "")
        tokens = 0
        for part in parts.split(",") if parts else ():
            name, _, size = part.partition(":")
            if tokens or name not in self._held_parts:
                tokens += int(size)
            self._held_parts.add(name)
        with self._prefill:
            time.sleep(tokens / PREFILL_TOKENS_PER_MS / 1000)

    def _send_endless(self, connection: socket.socket) -> None:
        pause_s = len(ENDLESS_EVENT) / ENDLESS_BYTES_PER_SECOND
        while not self._deployment.stopping:
            _send_chunk(connection, ENDLESS_EVENT)
            time.sleep(pause_s)


def _answer(connection: socket.socket, status: str, head: str, body: bytes) -> bool:
    head = f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode("latin-1") + body)
    return True


def _send_chunk(connection: socket.socket, data: bytes) -> None:
    connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
