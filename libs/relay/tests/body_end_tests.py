"""How responses end, and what callers get of those that are truncated."""

from __future__ import annotations

import contextlib
import fcntl
import struct
import termios

import eventlet
import pytest
from eventlet.green import socket
from hypothesis import example, given, settings
from hypothesis import strategies as st
from relay_doubles import (
    WAIT_SECONDS,
    Relay,
    answer,
    event,
    read_all,
    request,
    stream,
    wait_until,
)
from structlog.testing import capture_logs
from tarragonhall_wire import report_resets

SIGNED = "HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\n\r\n"


def unframed(received, *parts: bytes) -> bytes:
    """Return a signed response with neither a length nor chunks."""
    return SIGNED.format(attempt=received.header("attempt")).encode() + b"".join(parts)


def bytes_on_the_way(connection) -> int:
    """Return how many sent bytes the peer's kernel has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4)))[0]


def reset(connection) -> None:
    """Reset a connection, as a server does that crashes, once all that was sent has arrived."""
    wait_until(lambda: not bytes_on_the_way(connection))
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


@pytest.mark.parametrize("parts", [(), (b": ping\n\n",), (b"retry: 100\n\n", b"\n")])
def test_closed_stream_without_an_event_never_looks_complete(relay, parts):
    # Failure: a server closes the connection after the head of a stream that has neither a length
    # nor chunks, and the caller gets a complete response without an event.
    relay.backend(sends(unframed, *parts))
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


EVENTS = [event(number, "word " * number) for number in range(1, 5)]
BODY = b"".join(EVENTS)
EVENT_ENDS = {len(b"".join(EVENTS[:count])) for count in range(1, len(EVENTS) + 1)}
FRAMINGS = {
    "connection": lambda received: unframed(received, BODY),
    "length": lambda received: answer(received, BODY),
    "chunks": lambda received: stream(received, *EVENTS),
}


def may_look_complete(framing: str, missing: int, resets: bool, path: str) -> bool:
    """Return whether nothing that arrives tells a response from a whole one.

    `missing` is how many bytes of it are not sent before the connection is closed or reset.
    """
    if framing != "connection":
        return not missing
    is_between_events = len(BODY) - missing in EVENT_ENDS
    return not resets and (path == "/buy/" or is_between_events)


@settings(max_examples=80, deadline=None)
@given(
    st.sampled_from(sorted(FRAMINGS)),
    st.integers(0, len(BODY)),
    st.booleans(),
    st.sampled_from(["/talk/", "/buy/"]),
    st.integers(1, 200),
)
@example("connection", len(BODY), False, "/talk/", 200)
@example("connection", len(BODY), True, "/talk/", 200)
@example("connection", 0, True, "/buy/", 200)
@example("connection", len(BODY) - len(EVENTS[0]), True, "/talk/", 200)
def test_response_looks_complete_only_if_its_end_was_seen(framing, missing, resets, path, size):
    # Failure: some way to frame, cut and end a response makes a truncated one look complete, or a
    # complete one look truncated.
    def script(_backend, received):
        data = FRAMINGS[framing](received)
        data = data[: len(data) - missing]
        for start in range(0, len(data), size):
            received.connection.sendall(data[start : start + size])
        return sends(lambda _received: b"", resets=resets)(_backend, received)

    relay = Relay()
    try:
        relay.backend(script)
        status, _headers, body = relay.call(path)
        sent = BODY[: len(BODY) - missing]
        is_complete = status == 200 and body is not None
        assert is_complete == may_look_complete(framing, missing, resets, path)
        assert not is_complete or body == sent
        assert bool(relay.turn_store.persisted) == (is_complete and path == "/talk/")
    finally:
        relay.stop()


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize(
    "start",
    [b"content-length: 10\r\n\r\nfive.", b"transfer-encoding: chunked\r\n\r\n5\r\nfive.\r\n"],
)
def test_truncated_request_reaches_no_server(relay, start, resets):
    # Failure: a client breaks off in the middle of its request, and the part before runs as a whole
    # request.
    backend = relay.backend(sends(answer))
    connection = relay.connect()
    connection.sendall(request("/buy/").partition(b"content-length")[0] + start)
    eventlet.sleep(0.02)
    if resets:
        reset(connection)
    else:
        connection.shutdown(socket.SHUT_WR)
        assert b" 200 " not in read_all(connection)
    eventlet.sleep(0.02)
    assert backend.received == []
