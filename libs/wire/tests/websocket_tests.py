"""Frames on links: what is cut here equals what the library reads, and the rest is left to it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_model import LinkClosedError, LinkError
from tarragonhall_wire._websocket import MAX_MESSAGE_BYTES, WebSocket
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.protocol import OPEN
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

MESSAGES = st.lists(
    st.binary(max_size=200) | st.integers(120, 70_000).map(lambda size: b"m" * size), max_size=5
)


class ScriptedConnection:
    """A socket that returns given parts and records what is sent."""

    def __init__(self, parts=()) -> None:
        self.parts = list(parts)
        self.sent = b""

    def _read_trampoline(self):
        """Wait for input, which is always there."""

    def recv(self, _size):
        return self.parts.pop(0) if self.parts else b""

    def sendall(self, data):
        self.sent += data


def open_socket(is_client: bool, parts=()) -> WebSocket:
    """Return a WebSocket after its handshake."""
    uri = parse_uri("ws://127.0.0.1:1/")
    protocol = ClientProtocol(uri) if is_client else ServerProtocol()
    protocol.state = OPEN
    # The library starts to parse frames once its handshake has ended.
    protocol.parser = protocol.parse()
    next(protocol.parser)
    websocket = WebSocket(ScriptedConnection(parts), protocol)
    websocket._is_plain = True
    return websocket


def received(websocket: WebSocket) -> list[bytes]:
    """Return the messages until the connection ends."""
    found = []
    with pytest.raises(LinkClosedError):
        while True:
            found.append(websocket.recv())
    return found


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Cut data at some places; no part is empty."""
    ends = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in zip(ends, ends[1:], strict=False)]


@given(MESSAGES, st.booleans(), st.lists(st.integers(0, 100_000), max_size=6))
def test_messages_arrive_whole_wherever_the_bytes_are_cut(messages, from_client, places):
    # Failure: the end of a message that arrives in two reads is taken for the start of another.
    sender = open_socket(from_client)
    sender.send(*messages)
    parts = cut(sender._connection.sent, places)
    assert received(open_socket(not from_client, parts)) == messages


@given(MESSAGES, st.booleans())
def test_the_library_reads_what_is_sent(messages, from_client):
    # Failure: during a rolling upgrade, a process of the last build cannot read the frames.
    sender = open_socket(from_client)
    sender.send(*messages)
    reader = open_socket(not from_client, [sender._connection.sent])
    reader._is_plain = False
    assert received(reader) == messages


@given(MESSAGES, MESSAGES, st.booleans(), st.lists(st.integers(0, 100_000), max_size=6))
def test_messages_around_another_frame_arrive_in_order(before, after, from_client, places):
    # Failure: a ping of the library between messages drops or reorders them.
    mask = from_client
    frames = [Frame(Opcode.BINARY, one) for one in before]
    frames += [Frame(Opcode.PING, b"p")] + [Frame(Opcode.BINARY, one) for one in after]
    data = b"".join(frame.serialize(mask=mask) for frame in frames)
    parts = cut(data, places)
    assert received(open_socket(not from_client, parts)) == before + after


@pytest.mark.parametrize(
    "data",
    [
        Frame(Opcode.BINARY, b"masked though a server must not").serialize(mask=True),
        b"\xc2\x01x",
        b"\x82\x7f" + (MAX_MESSAGE_BYTES + 1).to_bytes(8, "big"),
        Frame(Opcode.CLOSE, b"").serialize(mask=False),
        Frame(Opcode.TEXT, b"text").serialize(mask=False),
    ],
    ids=["masked", "reserved bit", "too long", "close", "text"],
)
def test_frames_that_break_the_protocol_end_the_link(data):
    # Failure: a peer that sends anything else than whole binary messages is read in another way
    # than the library would.
    with pytest.raises(LinkError):
        open_socket(True, [data]).recv()


def test_nothing_is_sent_on_a_connection_that_is_not_open():
    # Failure: a message is written after the close frame and counts as sent.
    websocket = open_socket(True)
    websocket._protocol.send_close(1000)
    with pytest.raises(LinkClosedError):
        websocket.send(b"late")
    assert websocket._connection.sent == b""
