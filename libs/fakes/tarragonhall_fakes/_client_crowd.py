"""A crowd of HTTP clients that do not keep to the protocol or its limits.

Each client sends the parts that it is given as fast as they are taken, reads nothing, and then
keeps its connection open. One whose connection is closed begins again until its rounds are over.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable, Iterable, Iterator

import eventlet
from eventlet.green import socket

# A crowd that has sent nothing for this long has sent all, or waits for the process.
SETTLED_SECONDS = 1.0
CONNECT_SECONDS = 5.0
RECONNECT_SECONDS = 0.02
POLL_SECONDS = 0.05
PART_BYTES = 64 * 1024
# What the kernel takes of a response that a client does not read.
RECEIVE_BUFFER_BYTES = 4 * 1024

Parts = Callable[[], Iterable[bytes]]


class ClientCrowd:
    """Clients of one address; `parts` returns what one of them sends on a connection."""

    __slots__ = ("_address", "_clients", "_connections", "_parts", "_rounds", "_sent", "_threads")

    def __init__(self, address: str, clients: int, parts: Parts, rounds: int = 2) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._clients = clients
        self._parts = parts
        self._rounds = rounds
        self._sent = 0
        self._connections: set = set()
        self._threads: list = []

    def run(self, patience_s: float) -> None:
        """Start all clients, and return once none of them sends any more."""
        self._threads = [eventlet.spawn(self._play) for _ in range(self._clients)]
        deadline = time.monotonic() + patience_s
        sent, changed_at = -1, time.monotonic()
        while time.monotonic() < deadline:
            if sent != self._sent:
                sent, changed_at = self._sent, time.monotonic()
            if time.monotonic() - changed_at > SETTLED_SECONDS:
                return
            eventlet.sleep(POLL_SECONDS)

    def stop(self) -> None:
        """Close all connections."""
        # Killed before their connections are closed: no thread may wait for a closed descriptor.
        for thread in self._threads:
            thread.kill()
        for connection in list(self._connections):
            connection.close()

    def _play(self) -> None:
        for _ in range(self._rounds):
            connection = self._connect()
            if connection is None:
                continue
            try:
                for part in self._parts():
                    connection.sendall(part)
                    self._sent += len(part)
                    eventlet.sleep(0)
                # Stays open and reads nothing, until the other end closes.
                return
            except OSError:
                self._connections.discard(connection)
                connection.close()
            eventlet.sleep(RECONNECT_SECONDS)

    def _connect(self):
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(CONNECT_SECONDS)
        try:
            connection.connect(self._address)
        except OSError:
            connection.close()
            return None
        connection.settimeout(None)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections.add(connection)
        self._sent += 1
        return connection


def silent() -> Iterator[bytes]:
    """Return the parts of a client that sends nothing."""
    return iter(())


def stopped_body(head: bytes, size: int, missing: int) -> Iterator[bytes]:
    """Return a request that announces `size` bytes and stops `missing` bytes before its end."""
    yield head + f"content-length: {size}\r\n\r\n".encode()
    yield from _pieces(b"x", size - missing)


def stopped_chunks(head: bytes, size: int, chunk_bytes: int) -> Iterator[bytes]:
    """Return a request of `size` bytes in chunks that lacks only the last, empty one."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    yield head + b"transfer-encoding: chunked\r\n\r\n"
    yield from _pieces(chunk, size // chunk_bytes * len(chunk))


def whole_chunks(head: bytes, body: bytes, chunk_bytes: int) -> Iterator[bytes]:
    """Return a whole request whose body comes in chunks of one size."""
    yield head + b"transfer-encoding: chunked\r\n\r\n"
    for start in range(0, len(body), PART_BYTES):
        part = body[start : start + PART_BYTES]
        chunks = (part[at : at + chunk_bytes] for at in range(0, len(part), chunk_bytes))
        yield b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in chunks)
    yield b"0\r\n\r\n"


def endless(start: bytes, unit: bytes, size: int) -> Iterator[bytes]:
    """Return `size` bytes of `unit` after `start`, which they never bring to an end."""
    yield start
    yield from _pieces(unit, size)


def _pieces(unit: bytes, size: int) -> Iterator[bytes]:
    """Return repetitions of `unit`, `size` bytes in all, in parts of about `PART_BYTES`."""
    part = unit * max(1, PART_BYTES // len(unit))
    for _ in range(size // len(part)):
        yield part
    rest = size % len(part)
    if rest:
        yield part[:rest]


def lists_in_json(size: int) -> bytes:
    """Return a JSON object of about `size` bytes that takes far more memory once it is parsed."""
    count = max(1, size // len("[],") - 4)
    return b'{"a":[' + b",".join(itertools.repeat(b"[]", count)) + b"]}"
