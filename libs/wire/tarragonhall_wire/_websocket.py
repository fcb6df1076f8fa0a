"""A WebSocket on a green socket: the protocol logic of the `websockets` library with our own I/O.

The library's blocking connections read in a separate thread and pass each message on through
locks. Under eventlet, these cause green thread switches that took a third of the time that a
process spent on a link. Here the thread that receives a message reads the socket itself.
"""

from __future__ import annotations

import collections
import contextlib

import eventlet
from eventlet.green import socket
from tarragonhall_model import LinkClosedError, LinkError
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState
from websockets.frames import Opcode
from websockets.http11 import Request, Response
from websockets.protocol import OPEN, Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024
# An unresponsive peer accepts no more bytes; closing must not wait for it for long.
CLOSE_SECONDS = 0.5


class WebSocket:
    """One open connection. One green thread may read; any may send."""

    __slots__ = ("_connection", "_messages", "_protocol", "_write_lock")

    def __init__(self, connection, protocol: Protocol) -> None:
        self._connection = connection
        self._protocol = protocol
        self._messages: collections.deque[bytes] = collections.deque()
        # Interleaved frames of two threads would corrupt the connection.
        self._write_lock = eventlet.semaphore.Semaphore(1)

    def send(self, *messages: bytes) -> None:
        """Send messages in one write; raise `LinkClosedError` if the connection is closed."""
        try:
            for message in messages:
                self._protocol.send_binary(message)
            self._flush()
        except (InvalidState, OSError, EOFError) as error:
            raise LinkClosedError(f"cannot send: {error}") from error

    def recv(self) -> bytes:
        """Return the next message; raise `LinkClosedError` if the connection is closed."""
        while not self._messages:
            for event in self._read():
                self._handle_event(event)
        return self._messages.popleft()

    def close(self) -> None:
        """Send a close frame if possible, and close the connection."""
        with eventlet.Timeout(CLOSE_SECONDS, False), contextlib.suppress(OSError, EOFError):
            if self._protocol.state is OPEN:
                self._protocol.send_close(1000)
            self._flush()
        # Shut down first, so that a reading thread gets an end of file instead of a closed socket.
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        eventlet.sleep(0)
        self._connection.close()

    def open_as_client(self) -> None:
        """Send the opening handshake and wait for the server's response."""
        self._protocol.send_request(self._protocol.connect())
        self._flush()
        self._wait_for(Response)

    def open_as_server(self) -> None:
        """Wait for the client's opening handshake and respond to it."""
        request = self._wait_for(Request)
        self._protocol.send_response(self._protocol.accept(request))
        self._flush()
        if self._protocol.handshake_exc is not None:
            raise LinkError(str(self._protocol.handshake_exc))

    def _wait_for(self, kind: type) -> object:
        """Return the first event, the peer's opening handshake, and process those after it."""
        found = None
        while found is None:
            for event in self._read():
                if found is None and isinstance(event, kind):
                    found = event
                    continue
                self._handle_event(event)
            if self._protocol.handshake_exc is not None:
                raise LinkError(str(self._protocol.handshake_exc))
        return found

    def _read(self) -> list[object]:
        """Read from the socket once and return the resulting events."""
        try:
            data = self._connection.recv(READ_BYTES)
        except (OSError, EOFError) as error:
            raise LinkClosedError(str(error) or "the socket was closed") from error
        if not data:
            raise LinkClosedError("the peer closed the connection")
        # Replies of the protocol are sent with the next message. Waiting here for the writing
        # thread would deadlock both ends once both write more than the socket buffers hold.
        self._protocol.receive_data(data)
        return self._protocol.events_received()

    def _handle_event(self, event: object) -> None:
        match event.opcode:
            case Opcode.BINARY if event.fin:
                self._messages.append(bytes(event.data))
            case Opcode.PING | Opcode.PONG:
                return
            case Opcode.CLOSE:
                raise LinkClosedError("the peer closed the connection")
            case other:
                raise LinkError(f"unexpected frame {other.name}")

    def _flush(self) -> None:
        with self._write_lock:
            data = b"".join(self._protocol.data_to_send())
            if data:
                self._connection.sendall(data)


def connect(address: tuple[str, int], timeout_s: float) -> WebSocket:
    """Open a WebSocket to a listening process; the TCP connection may take `timeout_s`."""
    connection = socket.create_connection(address, timeout_s)
    connection.settimeout(None)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    uri = parse_uri(f"ws://{address[0]}:{address[1]}/")
    websocket = WebSocket(connection, ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES))
    return _open(websocket, websocket.open_as_client)


def accept(connection) -> WebSocket:
    """Open a WebSocket on an accepted TCP connection."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    websocket = WebSocket(connection, ServerProtocol(max_size=MAX_MESSAGE_BYTES))
    return _open(websocket, websocket.open_as_server)


def _open(websocket: WebSocket, handshake) -> WebSocket:
    try:
        handshake()
    except BaseException:
        websocket.close()
        raise
    return websocket
