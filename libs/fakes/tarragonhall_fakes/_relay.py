"""A TCP relay between two processes that can swallow packets without a reset, in one direction.

It stands for a firewall or address translator that has forgotten a connection: both ends still
believe in it, and nothing they send arrives. New connections through the relay work again.
"""

from __future__ import annotations

import contextlib

import eventlet
from eventlet.green import socket

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to `target`; `address` is where to connect."""

    __slots__ = ("_connections", "_listener", "_swallow_new", "address", "target")

    def __init__(self, target: str) -> None:
        self.target = target
        self._listener = eventlet.listen(("127.0.0.1", 0), reuse_port=False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections: list[_Connection] = []
        self._swallow_new = False
        eventlet.spawn_n(self._accept_loop)

    def silence(self, forth: bool = True, back: bool = True, new: bool = False) -> None:
        """Swallow what the open connections carry; with `new`, also on later connections."""
        for connection in self._connections:
            connection.swallow_forth = connection.swallow_forth or forth
            connection.swallow_back = connection.swallow_back or back
        self._swallow_new = new

    def heal(self) -> None:
        """Forward again on every connection; what was swallowed stays lost."""
        self._swallow_new = False
        for connection in self._connections:
            connection.swallow_forth = connection.swallow_back = False

    def reset(self) -> None:
        """Close every open connection."""
        for connection in self._connections:
            connection.close()
        self._connections.clear()

    def stop(self) -> None:
        """Close the listener and every connection."""
        self._listener.close()
        self.reset()

    def _accept_loop(self) -> None:
        while True:
            try:
                near, _peer = self._listener.accept()
            except OSError:
                return
            eventlet.spawn_n(self._start, near)

    def _start(self, near) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            far = socket.create_connection((host, int(port)))
        except OSError:
            near.close()
            return
        connection = _Connection(near, far, self._swallow_new)
        self._connections.append(connection)
        eventlet.spawn_n(connection.pump_forth)
        eventlet.spawn_n(connection.pump_back)


class _Connection:
    __slots__ = ("_far", "_near", "swallow_back", "swallow_forth")

    def __init__(self, near, far, swallow: bool) -> None:
        self._near = near
        self._far = far
        self.swallow_forth = swallow
        self.swallow_back = swallow

    def pump_forth(self) -> None:
        self._pump(self._near, self._far, lambda: self.swallow_forth)

    def pump_back(self) -> None:
        self._pump(self._far, self._near, lambda: self.swallow_back)

    def close(self) -> None:
        for end in (self._near, self._far):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()

    def _pump(self, source, sink, swallows) -> None:
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
                if data and swallows():
                    continue
                if not data:
                    break
                sink.sendall(data)
            except (OSError, EOFError):
                # eventlet reports a socket that another green thread closed as the end of file.
                break
        # A silent connection hides even its end.
        if not swallows():
            self.close()
