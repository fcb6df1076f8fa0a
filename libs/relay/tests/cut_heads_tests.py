"""Servers and clients that close the connection at any byte of a response or a request."""

from __future__ import annotations

import pytest
from relay_doubles import answer, answers, event, request, stream


def whole_response(received) -> bytes:
    if received.head.startswith(b"POST /talk/"):
        return stream(received, event(1), event(2))
    return answer(received, b"done", extra="colour: red\r\n")


@pytest.mark.parametrize("path", ["/look/", "/buy/", "/talk/"])
@pytest.mark.parametrize("hint", [b"", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"])
def test_response_cut_at_any_byte_never_looks_whole(relay, path, hint):
    # A server stopped in the middle of its head, and the client got a short body framed as whole.
    sizes = iter(range(10_000))
    sent = []

    def cut(_backend, received):
        whole = hint + whole_response(received)
        size = next(sizes)
        sent.append((size, len(whole)))
        received.connection.sendall(whole[:size])
        return "close"

    relay.backend(cut)
    method = "GET" if path == "/look/" else "POST"
    number = 0
    while not sent or sent[-1][0] < sent[-1][1] - 1:
        number += 1
        status, _, body = relay.call(path, f"a-{number}", method=method)
        is_whole = status == 200 and body is not None
        assert not is_whole, sent[-1]


def test_request_cut_at_any_byte_is_not_run(relay):
    # A client closed in the middle of its request, and a server ran what had arrived of it.
    backend = relay.backend(answers())
    whole = request("/buy/", body=b"one order", colour="red")
    for size in range(len(whole)):
        connection = relay.connect()
        connection.sendall(whole[:size])
        connection.close()
    assert relay.call("/buy/", "a-2")[0] == 200
    assert [one.header("attempt") for one in backend.received] == ["a-2"]
