"""Chunked bodies: what is cut and written here equals what `h11` reads and writes."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay_doubles import Relay, event, request
from tarragonhall_model import BackendRecord
from tarragonhall_relay._backend import BackendConnection
from tarragonhall_relay._errors import BackendError
from tarragonhall_wire import Traffic

HEAD = b"HTTP/1.1 200 OK\r\nattempt: a-1\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = st.binary(min_size=1, max_size=40).map(lambda data: b"%x\r\n%b\r\n" % (len(data), data))
# What a chunk may be instead: with an extension, padded, cut, with a wrong length or line end.
ODD = st.sampled_from(
    [
        b"3;name=value\r\nabc\r\n",
        b"003\r\nabc\r\n",
        b"3 \r\nabc\r\n",
        b"3\r\nab",
        b"2\r\nabc\r\n",
        b"4\r\nabc\r\n",
        b"3\nabc\n",
        b"3\r\nabcXY",
        b"-3\r\nabc\r\n",
        b"0x3\r\nabc\r\n",
        b"\r\n",
        b"ffffffffffffffffffffff\r\nabc",
        b"0\r\n\r\n",
        b"0\r\nname: value\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ]
)
BODIES = st.lists(WHOLE | WHOLE | ODD, max_size=8).map(b"".join)


class ScriptedConnection:
    """A socket that returns given parts, then the end of the connection."""

    def __init__(self, parts) -> None:
        self.parts = list(parts)

    def _read_trampoline(self):
        """Wait for input, which is always there."""

    def recv(self, _size):
        return self.parts.pop(0) if self.parts else b""

    def sendall(self, _data):
        return None


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Cut data at some places; no part is empty."""
    ends = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in zip(ends, ends[1:], strict=False)]


def read_here(parts: list[bytes], method: str = "POST") -> tuple[bytes, str, bool]:
    """Return the body, how it ended, and whether the connection may be used again."""
    record = BackendRecord("i-1", "desk", "127.0.0.1:1", "zona-a", 6, 1, 1)
    connection = BackendConnection(ScriptedConnection(parts), record, Traffic())
    connection.send(method, b"/", [(b"host", b"shop")], b"")
    body = b""
    try:
        connection.read_head()
        while (data := connection.read()) is not None:
            body += data
    except BackendError:
        return body, "broken", False
    return body, "whole", connection.is_reusable()


def read_by_library(parts: list[bytes], method: str = "POST") -> tuple[bytes, str, bool]:
    """Return the same as `h11` alone reads it."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=64 * 1024)
    http.send(h11.Request(method=method, target=b"/", headers=[(b"host", b"shop")]))
    http.send(h11.EndOfMessage())
    parts = list(parts)
    body = b""
    try:
        while True:
            found = http.next_event()
            if found is h11.NEED_DATA:
                http.receive_data(parts.pop(0) if parts else b"")
            elif isinstance(found, h11.Data):
                body += bytes(found.data)
            elif isinstance(found, h11.EndOfMessage):
                is_done = http.their_state is h11.DONE and http.our_state is h11.DONE
                return body, "whole", is_done and not http.trailing_data[0]
            elif isinstance(found, h11.ConnectionClosed):
                return body, "broken", False
    except h11.RemoteProtocolError:
        return body, "broken", False


@given(BODIES, st.booleans(), st.lists(st.integers(0, 1_000), max_size=8))
def test_a_chunked_body_is_read_as_the_library_reads_it(body, is_ended, places):
    # Failure: a server's chunk that is malformed, cut or followed by another response is taken for
    # part of a stream, or the end of a stream is missed.
    parts = cut(HEAD + body + (b"0\r\n\r\n" if is_ended else b""), places)
    mine, library = read_here(parts), read_by_library(parts)
    assert mine[1:] == library[1:]
    # Of a body that breaks, the library gives out a part of a chunk with its end still missing;
    # both give out nothing but a start of the same bytes.
    assert mine[0] == library[0] or (
        mine[1] == "broken" and (mine[0].startswith(library[0]) or library[0].startswith(mine[0]))
    )


@pytest.mark.parametrize("method", ["HEAD", "GET"])
@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified", b"200 OK"])
def test_a_response_without_a_body_has_none(method, status):
    # Failure: the bytes after a head that promises chunks, but has none, are waited for.
    parts = [HEAD.replace(b"200 OK", status), b"0\r\n\r\n"]
    assert read_here(parts, method)[:2] == read_by_library(parts, method)[:2]


def stream_to(version: str, method: str = "POST") -> bytes:
    """Return all bytes that a client of an HTTP version gets for a stream of three events."""
    relay = Relay()

    def script(_backend, arrived):
        head = f"HTTP/1.1 200 OK\r\nattempt: {arrived.header('attempt')}\r\nsigned: yes\r\n"
        arrived.connection.sendall(head.encode() + b"transfer-encoding: chunked\r\n\r\n")
        if method == "HEAD":
            return
        for number in (1, 2, 3):
            one = event(number)
            arrived.connection.sendall(b"%x\r\n%b\r\n" % (len(one), one))
        arrived.connection.sendall(b"0\r\n\r\n")

    relay.backend(script)
    data = request("/talk/1", method=method).replace(b"HTTP/1.1", version.encode())
    received = relay.raw(data)
    relay.stop()
    return received


def test_a_client_of_http_1_1_gets_chunks_that_the_library_reads():
    received = stream_to("HTTP/1.1")
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="POST", target=b"/", headers=[(b"host", b"shop")]))
    http.send(h11.EndOfMessage())
    http.receive_data(received)
    body = b""
    while not isinstance(found := http.next_event(), h11.EndOfMessage):
        body += bytes(found.data) if isinstance(found, h11.Data) else b""
    assert body == event(1) + event(2) + event(3)


def test_a_client_of_http_1_0_gets_no_chunks():
    # Failure: an old client takes the lengths of chunks for data.
    assert stream_to("HTTP/1.0").endswith(b"\r\n\r\n" + event(1) + event(2) + event(3))
