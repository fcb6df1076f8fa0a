"""A WebSocket on a green socket: the protocol logic of the `websockets` library with our own I/O.

The library's blocking connections read in a separate thread and pass each message on through
locks. Under eventlet, these cause green thread switches that took a third of the time that a
process spent on a link. Here the thread that receives a message reads the socket itself.
"""

from __future__ import annotations

import collections
import contextlib
import os
import struct

import eventlet
from eventlet.green import socket
from tarragonhall_decisions import PEER_BYTES
from tarragonhall_model import LinkClosedError, LinkError
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState
from websockets.frames import Opcode, apply_mask
from websockets.http11 import Request, Response
from websockets.protocol import OPEN, Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from tarragonhall_wire._event_loop import wait_and_receive
from tarragonhall_wire._inbound import InboundClient

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024
# First byte of a whole binary message in one frame, which is all that links send; the bit in the
# second byte for a masked payload; and the length codes there for a length of 2 or 8 bytes.
WHOLE_BINARY = 0x82
MASKED = 0x80
LENGTH_IN_2, LENGTH_IN_8 = 126, 127
# An unresponsive peer accepts no more bytes; closing must not wait for it for long.
CLOSE_SECONDS = 0.5


class UnauthenticatedPeer:
    """A peer whose handshake is under way: what it may still send, and its part of the room.

    Anybody may connect, so a peer must not make this process hold messages before its proof.
    """

    __slots__ = ("_bytes_left", "_client")

    def __init__(self, client: InboundClient) -> None:
        self._client = client
        self._bytes_left = PEER_BYTES

    def receive(self, connection) -> bytes:
        """Return the next bytes; raise `LinkError` if the peer has sent too many."""
        if self._bytes_left <= 0:
            raise LinkError(f"sent over {PEER_BYTES} bytes before it was authenticated")
        with self._client.waiting():
            data = wait_and_receive(connection, self._bytes_left)
        if self._bytes_left == PEER_BYTES:
            self._client.receive()
        self._bytes_left -= len(data)
        self._client.move(len(data))
        self._client.hold(PEER_BYTES - self._bytes_left)
        return data


class WebSocket:
    """One open connection. One green thread may read; any may send.

    `unauthenticated` is the peer until its proof; None for one that was dialled, or has given it.
    """

    __slots__ = (
        "_connection",
        "_is_plain",
        "_masks",
        "_messages",
        "_partial",
        "_protocol",
        "_write_lock",
        "unauthenticated",
    )

    def __init__(self, connection, protocol: Protocol) -> None:
        self.unauthenticated: UnauthenticatedPeer | None = None
        # Clients mask what they send, and servers accept nothing else.
        self._masks = isinstance(protocol, ClientProtocol)
        # Whether whole binary messages are cut here, where no byte is left to the library; the
        # start of one that has not arrived whole is kept.
        self._is_plain = False
        self._partial = b""
        self._connection = connection
        self._protocol = protocol
        self._messages: collections.deque[bytes] = collections.deque()
        # Interleaved frames of two threads would corrupt the connection.
        self._write_lock = eventlet.semaphore.Semaphore(1)

    def send(self, *messages: bytes) -> None:
        """Send messages in one write; raise `LinkClosedError` if the connection is closed."""
        try:
            if self._protocol.state is not OPEN:
                raise LinkClosedError("the connection is not open")
            self._flush(b"".join([self._frame(message) for message in messages]))
        except (InvalidState, OSError, EOFError) as error:
            raise LinkClosedError(f"cannot send: {error}") from error

    def recv(self) -> bytes:
        """Return the next message; raise `LinkClosedError` if the connection is closed."""
        while not self._messages:
            self._receive(self._read_bytes())
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
        self._is_plain = not self._protocol.reader.buffer

    def open_as_server(self) -> None:
        """Wait for the client's opening handshake and respond to it."""
        request = self._wait_for(Request)
        self._protocol.send_response(self._protocol.accept(request))
        self._flush()
        if self._protocol.handshake_exc is not None:
            raise LinkError(str(self._protocol.handshake_exc))
        self._is_plain = not self._protocol.reader.buffer

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
        # Replies of the protocol are sent with the next message. Waiting here for the writing
        # thread would deadlock both ends once both write more than the socket buffers hold.
        self._protocol.receive_data(self._read_bytes())
        return self._protocol.events_received()

    def _read_bytes(self) -> bytes:
        try:
            if self.unauthenticated is not None:
                data = self.unauthenticated.receive(self._connection)
            else:
                data = wait_and_receive(self._connection, READ_BYTES)
        except (OSError, EOFError) as error:
            raise LinkClosedError(str(error) or "the socket was closed") from error
        if not data:
            raise LinkClosedError("the peer closed the connection")
        return data

    def _receive(self, data: bytes) -> None:
        """Queue the messages in received bytes.

        Whole binary messages are cut here, which takes a fifth of the library's time. The first
        frame of any other kind, and all after it, is left to the library and its checks.
        """
        if self._is_plain:
            data = self._partial + data if self._partial else data
            data = data[self._cut_messages(data) :]
            if not data or self._is_plain:
                self._partial = data
                return
            self._partial = b""
        self._protocol.receive_data(data)
        for event in self._protocol.events_received():
            self._handle_event(event)

    def _cut_messages(self, data: bytes) -> int:
        """Queue whole messages and return where they end; clear `_is_plain` at another frame."""
        start, size = 0, len(data)
        while size - start >= 2:
            length = data[start + 1]
            if data[start] != WHOLE_BINARY or bool(length & MASKED) is self._masks:
                self._is_plain = False
                return start
            length &= ~MASKED
            payload = start + 2
            if length == LENGTH_IN_2:
                payload += 2
                length = int.from_bytes(data[start + 2 : payload], "big")
            elif length == LENGTH_IN_8:
                payload += 8
                length = int.from_bytes(data[start + 2 : payload], "big")
            if payload > size:
                return start
            if length > MAX_MESSAGE_BYTES:
                self._is_plain = False
                return start
            if not self._masks:
                payload += 4
            end = payload + length
            if end > size:
                return start
            message = data[payload:end]
            if not self._masks:
                message = apply_mask(message, data[payload - 4 : payload])
            self._messages.append(message)
            start = end
        return start

    def _frame(self, message: bytes) -> bytes:
        """Return a binary message as one frame."""
        length = len(message)
        bit = MASKED if self._masks else 0
        if length < LENGTH_IN_2:
            head = bytes((WHOLE_BINARY, bit | length))
        elif length < 1 << 16:
            head = struct.pack("!BBH", WHOLE_BINARY, bit | LENGTH_IN_2, length)
        else:
            head = struct.pack("!BBQ", WHOLE_BINARY, bit | LENGTH_IN_8, length)
        if not self._masks:
            return head + message
        mask = os.urandom(4)
        return head + mask + apply_mask(message, mask)

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

    def _flush(self, message_data: bytes = b"") -> None:
        with self._write_lock:
            data = b"".join([*self._protocol.data_to_send(), message_data])
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


def accept(connection, client: InboundClient) -> WebSocket:
    """Open a WebSocket on an accepted TCP connection; the peer is not authenticated yet."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    websocket = WebSocket(connection, ServerProtocol(max_size=MAX_MESSAGE_BYTES))
    websocket.unauthenticated = UnauthenticatedPeer(client)
    return _open(websocket, websocket.open_as_server)


def _open(websocket: WebSocket, handshake) -> WebSocket:
    try:
        handshake()
    except BaseException:
        websocket.close()
        raise
    return websocket
