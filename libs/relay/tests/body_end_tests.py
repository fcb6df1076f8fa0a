"""How responses end, and what callers get of those that are truncated."""

from __future__ import annotations

import contextlib
import struct

import eventlet
import pytest
from eventlet.green import socket
from relay_doubles import WAIT_SECONDS, answer, event, request, stream
from structlog.testing import capture_logs
from tarragonhall_wire import report_resets

SIGNED = "HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\n\r\n"


def unframed(received, *parts: bytes) -> bytes:
    """Return a signed response with neither a length nor chunks."""
    return SIGNED.format(attempt=received.header("attempt")).encode() + b"".join(parts)


def reset(connection) -> None:
    """Reset a connection, as a server does that crashes with unread input."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def sends(make, *parts: bytes, resets: bool = False):
    """Return a script that sends one response, then closes or resets the connection."""

    def script(_backend, received):
        received.connection.sendall(make(received, *parts))
        if not resets:
            return "close"
        reset(received.connection)
        return None

    return script


def log_line(logs, name: str) -> tuple:
    (line,) = [one for one in logs if one["event"] == name]
    return line["framing"], line["body_bytes"], line["body_end"]


@pytest.mark.parametrize(
    ("script", "logged"),
    [
        (sends(lambda one: answer(one, b"done")), ("length", 4, "stated")),
        (sends(lambda one: unframed(one, b"done")), ("connection", 4, "closed")),
        (sends(lambda one: unframed(one, b"do"), resets=True), ("connection", 2, "reset")),
        (sends(lambda one: answer(one, b"done")[:-1]), ("length", 3, "closed")),
        (sends(lambda one: answer(one, b"done")[:-1], resets=True), ("length", 3, "reset")),
        (sends(lambda one: stream(one, b"one")), ("chunks", 3, "stated")),
        (sends(lambda one: stream(one, b"one") + b"x"), ("chunks", 3, "stated")),
        (sends(lambda one: stream(one, b"one", end=False) + b"x\r\n"), ("chunks", 3, "invalid")),
        (sends(lambda one: b"HTTP/1.1 200 OK\r\n"), ("none", 0, "closed")),
    ],
)
def test_log_tells_how_a_response_ended(relay, script, logged):
    # Failure: the log line of a truncated response is that of a complete one.
    relay.backend(script)
    with capture_logs() as logs:
        relay.call("/buy/")
    assert log_line(logs, "call.end") == logged


def test_metrics_tell_how_responses_ended(relay):
    # Failure: nobody sees that a service has begun to send responses without a stated end.
    relay.backend(sends(unframed, event(1)))
    relay.call("/talk/")
    relay.backends[0].script = sends(lambda one: stream(one, event(1), end=False))
    relay.call("/talk/", attempt="a-2")
    text = relay.state.metrics.exposition.text()
    assert 'relay_whole_responses_total{framing="connection",end="closed"} 1' in text
    assert 'relay_broken_responses_total{framing="chunks",end="closed"} 1' in text


@pytest.mark.parametrize("events", [(), (event(1),), (event(1), event(2))])
def test_stream_that_is_reset_never_looks_complete(relay, events):
    # Failure: a server crashes in the middle of a stream without length or chunks, and the caller
    # gets the events before the crash as a complete response.
    relay.backend(sends(unframed, *events, resets=True))
    _status, _headers, body = relay.call("/talk/", program="p", budget="99")
    assert body is None
    assert relay.turn_store.persisted == []


def test_resumable_stream_that_is_reset_goes_on_at_another_server(relay):
    # Failure: a resumable stream without length or chunks is taken for complete at a reset, and
    # nobody asks another server for the rest.
    seen = []

    def script(_backend, received):
        seen.append(received.header("last-event-id"))
        if len(seen) == 1:
            return sends(unframed, event(1), resets=True)(_backend, received)
        return sends(unframed, event(2), event(3))(_backend, received)

    relay.backend(script)
    relay.backend(script)
    assert relay.call("/pair/")[::2] == (200, event(1) + event(2) + event(3))
    assert seen == [None, "1"]


def test_body_that_is_reset_never_looks_complete(relay):
    # Failure: a server crashes in the middle of a body without length or chunks, and the caller
    # gets the part before the crash as a complete response.
    relay.backend(sends(unframed, b"half of", resets=True))
    status, _headers, body = relay.call("/buy/")
    assert status == 502
    assert b"half of" not in body


@pytest.mark.parametrize("is_whole", [True, False])
def test_truncated_stream_to_a_client_without_chunks_is_reset(relay, is_whole):
    # Failure: a client of HTTP/1.0 gets a truncated stream, and the connection is closed as after a
    # complete one.
    relay.backend(sends(lambda one: stream(one, event(1), end=is_whole)))
    connection = relay.connect()
    report_resets(connection)
    connection.sendall(request("/talk/").replace(b"HTTP/1.1", b"HTTP/1.0"))
    received = b""
    with eventlet.Timeout(WAIT_SECONDS), contextlib.suppress(ConnectionResetError):
        while part := connection.recv(65_536):
            received += part
        assert is_whole, "the connection was closed as after a complete response"
        assert received.endswith(event(1))
        return
    assert not is_whole, "the connection was reset after a complete response"


@pytest.mark.parametrize("path", ["/talk/", "/buy/"])
@pytest.mark.parametrize("make", [unframed, answer])
def test_whole_response_arrives_however_it_is_framed(relay, make, path):
    # Failure: the responses of servers that send neither a length nor chunks count as broken.
    relay.backend(sends(make, event(1) + event(2)))
    assert relay.call(path)[::2] == (200, event(1) + event(2))


def test_stream_that_ends_inside_an_event_never_looks_complete(relay):
    # Failure: a stream whose connection is closed inside an event passes for a complete one.
    relay.backend(sends(unframed, event(1), b"id: 2\ndata: wo"))
    assert relay.call("/talk/")[2] is None
    assert relay.turn_store.persisted == []


def test_closed_stream_without_an_event_never_looks_complete(relay):
    # Failure: a server closes the connection after the head of a stream that has neither a length
    # nor chunks, and the caller gets a complete response without an event.
    relay.backend(sends(unframed))
    assert relay.call("/talk/")[2] is None
    assert relay.turn_store.persisted == []


def test_empty_stream_whose_end_is_stated_arrives(relay):
    # Failure: a response that its server has ended properly counts as broken for having no events.
    relay.backend(sends(stream))
    assert relay.call("/talk/")[::2] == (200, b"")


@pytest.mark.parametrize(
    "head_of", [unframed, lambda one: answer(one, b"full")[:-1]], ids=["connection", "length"]
)
def test_refusal_counts_although_its_body_is_truncated(relay, head_of):
    # Failure: a server that is full refuses a call and resets the connection; the caller is told
    # that the call may have run, and it is not sent to another server.
    def refuse(received):
        head = head_of(received).replace(b"200 OK", b"503 Service Unavailable")
        return head.replace(b"signed: yes", b"not-run: 1")

    scripts = [sends(refuse, resets=True), sends(answer)]
    for _ in range(2):
        relay.backend(lambda backend, received: scripts.pop(0)(backend, received))
    assert relay.call("/buy/")[::2] == (200, b"done")
    assert scripts == []


def test_empty_rest_of_a_stream_is_not_taken_for_its_end(relay):
    # Failure: a server is asked for the rest of a stream and closes the connection after the head,
    # and the caller gets the part before as a complete response.
    def script(_backend, received):
        if received.header("last-event-id") is None:
            return sends(lambda one: stream(one, event(1), end=False))(_backend, received)
        return sends(unframed)(_backend, received)

    relay.backend(script)
    relay.backend(script)
    assert relay.call("/pair/")[2] is None
