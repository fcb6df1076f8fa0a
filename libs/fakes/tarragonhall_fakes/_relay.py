"""A TCP relay between two processes that can drop data without a reset, in one direction or both.

It imitates a firewall or address translator that lost the state of a connection: both ends consider
it open, and nothing they send arrives. New connections through the relay work.
"""

from __future__ import annotations

import contextlib

import eventlet
from eventlet.green import socket

CHUNK_BYTES = 65_536


class Relay:
    """Listens on `address` and forwards each connection to `target`."""

    __slots__ = ("_connections", "_listener", "_drop_new", "address", "target")

    def __init__(self, target: str, port: int = 0) -> None:
        """Listen on a loopback port; 0 means any free one."""
        self.target = target
        self._listener = eventlet.listen(("127.0.0.1", port), reuse_port=False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections: list[_Connection] = []
        self._drop_new = False
        eventlet.spawn_n(self._accept_loop)

    def silence(self, forth: bool = True, back: bool = True, new: bool = False) -> None:
        """Drop the data of the open connections; with `new`, also that of later connections."""
        for connection in self._connections:
            connection.drop_to_target = connection.drop_to_target or forth
            connection.drop_to_client = connection.drop_to_client or back
        self._drop_new = new

    def heal(self) -> None:
        """Forward again on every connection; dropped data stays lost."""
        self._drop_new = False
        for connection in self._connections:
            connection.drop_to_target = connection.drop_to_client = False

    def reset(self) -> None:
        """Close every open connection."""
        for connection in self._connections:
            connection.close()
        self._connections.clear()

    def stop(self) -> None:
        """Close the listener and every connection."""
        _close(self._listener)
        self.reset()

    def _accept_loop(self) -> None:
        while True:
            try:
                client, _peer = self._listener.accept()
            except OSError:
                return
            eventlet.spawn_n(self._start, client)

    def _start(self, client) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            upstream = socket.create_connection((host, int(port)))
        except OSError:
            client.close()
            return
        connection = _Connection(client, upstream, self._drop_new)
        self._connections.append(connection)
        eventlet.spawn_n(connection.forward_to_target)
        eventlet.spawn_n(connection.forward_to_client)


class _Connection:
    __slots__ = ("_upstream", "_client", "drop_to_client", "drop_to_target")

    def __init__(self, client, upstream, drop: bool) -> None:
        self._client = client
        self._upstream = upstream
        self.drop_to_target = drop
        self.drop_to_client = drop

    def forward_to_target(self) -> None:
        self._forward(self._client, self._upstream, lambda: self.drop_to_target)

    def forward_to_client(self) -> None:
        self._forward(self._upstream, self._client, lambda: self.drop_to_client)

    def close(self) -> None:
        for end in (self._client, self._upstream):
            _close(end)

    def _forward(self, source, sink, should_drop) -> None:
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
                if data and should_drop():
                    continue
                if not data:
                    break
                sink.sendall(data)
            except (OSError, EOFError):
                # eventlet raises EOFError for a socket that another green thread closed.
                break
        # While data is dropped, the end of the connection is hidden from the other side too.
        if not should_drop():
            self.close()


def _close(end: socket.socket) -> None:
    """Close a socket once the green thread that waits for it has seen its end.

    It would wait on for the number of the descriptor, whatever that is used for next.
    """
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)
    eventlet.sleep(0)
    end.close()
