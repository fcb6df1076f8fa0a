"""Servers whose responses never end: each path that reads from a server must give up by itself."""

from __future__ import annotations

import tracemalloc

import eventlet
import pytest
from relay_doubles import answer, answers, event, parse, request, stream, wait_until
from tarragonhall_relay import _attempt, _response_memory, _stream_relay
from tarragonhall_relay._response_memory import ResponseMemory

# Far below the routes' timeout of 3 s: the relay gives up by itself.
SOON_SECONDS = 1.5
# Longer than a slow machine takes to read what the bounds allow while its memory is traced.
PATIENCE_SECONDS = 60
SIGNED = "HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\n"
REFUSED = "HTTP/1.1 503 Full\r\nattempt: {attempt}\r\nnot-run: 1\r\n"
CROSSED = "HTTP/1.1 200 OK\r\nattempt: older\r\nsigned: yes\r\n"
CHUNKED = "transfer-encoding: chunked\r\n\r\n"
FLOOD = 0.0
DRIP = 0.02
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"


class Endless:
    """Script that sends a head and then the same bytes until the relay closes the connection."""

    def __init__(
        self, head: str, repeated: bytes, pause_s: float = FLOOD, seconds: float = 5.0
    ) -> None:
        self.head = head
        self.repeated = repeated
        self.pause_s = pause_s
        self.seconds = seconds
        self.sent = 0
        self.closed = 0

    def __call__(self, _backend, received):
        attempt = received.header("attempt")
        data = self.head.format(attempt=attempt).encode()
        repeated = (
            self.repeated if self.pause_s else self.repeated * (1 + 8_000 // len(self.repeated))
        )
        try:
            received.connection.sendall(data)
            with eventlet.Timeout(self.seconds, False):
                while True:
                    received.connection.sendall(repeated)
                    self.sent += len(repeated)
                    eventlet.sleep(self.pause_s)
        finally:
            self.closed += 1


def timed_call(relay, path, **options):
    started = relay.context.monotonic()
    result = relay.call(path, **options)
    return (*result, relay.context.monotonic() - started)


INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
UNFINISHED = [
    pytest.param("", INTERIM, FLOOD, id="informational responses"),
    pytest.param("", INTERIM, DRIP, id="informational responses, slowly"),
    pytest.param("HTTP/1.1 200 OK\r\n", b"a: b\r\n", FLOOD, id="header lines"),
    pytest.param("HTTP/1.1 200 OK\r\na: ", b"x", FLOOD, id="one header line"),
    pytest.param("", b"x", FLOOD, id="a status line"),
    pytest.param(SIGNED + CHUNKED, b"400;a=", FLOOD, id="a chunk extension"),
    pytest.param(SIGNED + CHUNKED + "0\r\n", b"a: b\r\n", FLOOD, id="trailers"),
    pytest.param(SIGNED + "content-length: 99999999999\r\n\r\n", b"x", DRIP, id="a huge length"),
    pytest.param(SIGNED + CHUNKED, CHUNK * 64, FLOOD, id="chunks"),
    pytest.param(CROSSED + CHUNKED, CHUNK, FLOOD, id="a response to another call"),
    pytest.param(CROSSED + CHUNKED, CHUNK, DRIP, id="a response to another call, slowly"),
    pytest.param(CROSSED + "content-length: 99999999999\r\n\r\n", b"x", DRIP, id="of huge length"),
]


@pytest.mark.parametrize(("head", "repeated", "pause_s"), UNFINISHED)
def test_a_response_without_an_end_ends_its_call_soon(relay, head, repeated, pause_s):
    # The call would be held until its route's timeout. It may have run, and the client is told so.
    endless = Endless(head, repeated, pause_s)
    backend = relay.backend(endless)
    status, _headers, _body, took_s = timed_call(relay, "/buy/")
    assert (status, len(backend.received)) == (502, 1)
    assert took_s < SOON_SECONDS
    wait_until(lambda: endless.closed == 1)


@pytest.mark.parametrize(("head", "repeated", "pause_s"), UNFINISHED)
def test_a_call_that_may_be_repeated_goes_to_another_server(relay, head, repeated, pause_s):
    # A sound server is there, and the call timed out at the one without an end.
    endless = Endless(head, repeated, pause_s)
    first = relay.backend(endless)
    second = relay.backend(answers(body=b"sound"))
    for number in range(3):
        status, _headers, body, took_s = timed_call(
            relay, "/look/", attempt=f"a-{number}", method="GET"
        )
        assert (status, body) == (200, b"sound")
        assert took_s < SOON_SECONDS
    assert len(first.received) + len(second.received) >= 3


@pytest.mark.parametrize("pause_s", [FLOOD, DRIP])
@pytest.mark.parametrize("framing", [CHUNKED, "content-length: 99999999999\r\n\r\n", "\r\n"])
def test_a_refusal_whose_body_never_ends_is_still_a_refusal(relay, framing, pause_s):
    # The head says that the call did not run. It was held for its body until the timeout, and then
    # reported as a call that may have run.
    repeated = CHUNK if framing == CHUNKED else b"x"
    endless = Endless(REFUSED + framing, repeated, pause_s)
    relay.backend(endless)
    relay.backend(answers(body=b"sound"))
    for number in range(3):
        status, _headers, body, took_s = timed_call(relay, "/buy/", attempt=f"a-{number}")
        assert (status, body) == (200, b"sound")
        assert took_s < SOON_SECONDS


def test_calls_of_other_servers_go_on_beside_endless_responses(relay):
    # A green thread that always finds bytes must let the others run.
    for _ in range(3):
        relay.backend(Endless("", INTERIM, FLOOD))
    relay.backend(answers(body=b"sound"))
    calls = [
        eventlet.spawn(relay.call, "/look/", attempt=f"a-{n}", method="GET") for n in range(12)
    ]
    slowest_s = 0.0
    for _ in range(20):
        started = relay.context.monotonic()
        eventlet.sleep(0.01)
        slowest_s = max(slowest_s, relay.context.monotonic() - started)
    assert slowest_s < 0.3
    for call in calls:
        assert call.wait()[0] in (200, 502)


def test_memory_for_endless_bodies_of_many_servers_is_bounded(relay, monkeypatch):
    # Sixteen calls at once would hold up to the limit of one each, more than an entry has in all.
    monkeypatch.setattr(_response_memory, "MAX_SHARED_BYTES", 4 * 1024 * 1024)
    monkeypatch.setattr(_attempt, "MAX_RESPONSE_BYTES", 3 * 1024 * 1024)
    # The bound in bytes must end the calls, not their timeout, on a slow machine too.
    relay.configure(timeout_ms=PATIENCE_SECONDS * 1_000)
    deadline = str(PATIENCE_SECONDS * 1_000)
    for _ in range(4):
        relay.backend(Endless(SIGNED + CHUNKED, CHUNK * 64, FLOOD))
    tracemalloc.start()
    try:
        data = [request("/buy/", attempt=f"a-{n}", deadline=deadline) for n in range(16)]
        calls = [eventlet.spawn(relay.raw, one, PATIENCE_SECONDS) for one in data]
        statuses = {parse(call.wait())[0] for call in calls}
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert statuses == {502}
    assert peak_bytes < 24 * 1024 * 1024
    assert relay.state.response_memory.shared_bytes == 0


STREAMED = [
    pytest.param(b"data: " + b"x" * 1000 + b"\n\n", id="large events"),
    pytest.param(b"data: " + b"x" * 20 + b"\n\n", id="small events"),
    pytest.param(b"data: " + b"x" * 1000, id="one event"),
]


def read_and_discard(relay, data: bytes) -> int:
    """Send a request; return the number of bytes of its response."""
    connection = relay.connect()
    size = 0
    with connection, eventlet.Timeout(PATIENCE_SECONDS):
        connection.sendall(data)
        while received := connection.recv(65_536):
            size += len(received)
    return size


@pytest.mark.parametrize("events", STREAMED)
def test_memory_for_endless_streams_of_many_servers_is_bounded(relay, monkeypatch, events):
    # Each call kept the text of its turn up to a limit of its own; nine of them ended the entry.
    monkeypatch.setattr(_response_memory, "MAX_SHARED_BYTES", 1024 * 1024)
    relay.configure(timeout_ms=PATIENCE_SECONDS * 1_000)
    deadline = str(PATIENCE_SECONDS * 1_000)
    part = events * (1 + 8_000 // len(events))
    chunk = b"%x\r\n%b\r\n" % (len(part), part)
    for _ in range(4):
        relay.backend(Endless(SIGNED + CHUNKED, chunk, FLOOD, PATIENCE_SECONDS))
    tracemalloc.start()
    try:
        data = [request("/talk/", attempt=f"a-{n}", deadline=deadline) for n in range(12)]
        for call in [eventlet.spawn(read_and_discard, relay, one) for one in data]:
            call.wait()
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 12 * 1024 * 1024
    assert relay.state.response_memory.shared_bytes == 0


def test_large_responses_are_whole_again_once_there_is_room():
    # Memory that a response does not give back would be missing for as long as the entry runs.
    memory = ResponseMemory()
    first = memory.lease()
    first.grow(_response_memory.MAX_SHARED_BYTES + _response_memory.OWN_BYTES)
    with pytest.raises(_attempt.BackendError):
        memory.lease().grow(_response_memory.OWN_BYTES + 1)
    memory.lease().grow(_response_memory.OWN_BYTES)
    first.release()
    second = memory.lease()
    second.grow(_response_memory.OWN_BYTES + 1)
    second.release()
    assert memory.shared_bytes == 0


def test_memory_for_responses_follows_the_machine():
    # The parts of an entry's memory were more than its machine has: a part of fixed size, and
    # others that follow the machine. One response of the largest size must always find room.
    mb = 1024 * 1024
    assert _response_memory.response_memory_for(150).limit == int(18.75 * mb)
    assert _response_memory.response_memory_for(64).limit == _attempt.MAX_RESPONSE_BYTES
    assert _response_memory.response_memory_for(64_000).limit == 32 * mb
    assert _response_memory.response_memory_for(0).limit == 32 * mb


def test_a_large_response_is_relayed_whole(relay):
    # It is larger than what each response may take of its own.
    body = b"x" * (4 * 1024 * 1024)
    relay.backend(answers(body=body))
    assert relay.call("/buy/")[2] == body
    assert relay.state.response_memory.shared_bytes == 0


COMMENT = b"7\r\n: ping\n\r\n"
BLANK = b"9\r\n: ping\n\n\r\n"
EVENT_PART = b"a\r\ndata: xxx\n\r\n"


@pytest.mark.parametrize("repeated", [COMMENT, BLANK, EVENT_PART])
@pytest.mark.parametrize("before", ["", "first"])
def test_a_stream_of_no_events_ends_soon(relay, monkeypatch, repeated, before):
    # Comments keep a connection alive, and parts of an event promise one. Neither is an event, and
    # no client waits for ever.
    monkeypatch.setattr(_stream_relay, "MAX_BYTES_WITHOUT_EVENT", 64 * 1024)
    head = SIGNED + CHUNKED
    if before:
        first = event(1).decode()
        head += f"{len(first):x}\r\n{first}\r\n"
    endless = Endless(head, repeated, FLOOD)
    relay.backend(endless)
    status, _headers, body, took_s = timed_call(relay, "/tell/")
    assert (status, body) == (200, None)
    assert took_s < SOON_SECONDS
    wait_until(lambda: endless.closed == 1)


@pytest.mark.parametrize("before", ["", "first"])
def test_a_resumable_stream_of_comments_counts_as_silent(relay, before):
    # Each comment started the wait for the next event anew, and the stream stayed at a server that
    # would never send it, though another one could.
    head = SIGNED + CHUNKED
    if before:
        first = event(1).decode()
        head += f"{len(first):x}\r\n{first}\r\n"
    endless = Endless(head, COMMENT, DRIP)
    called = []

    def first_endless_then_sound(backend, received):
        called.append(backend.server_id)
        if len(called) == 1:
            endless(backend, received)
            return
        rest = [event(2)] if before else [event(1), event(2)]
        received.connection.sendall(stream(received, *rest))

    relay.backend(first_endless_then_sound)
    relay.backend(first_endless_then_sound)
    status, _headers, body, took_s = timed_call(relay, "/pair/")
    assert (status, body.replace(b": ping\n", b"")) == (200, event(1) + event(2))
    assert took_s < SOON_SECONDS
    assert len(set(called)) == 2


def test_a_stream_that_is_kept_and_never_ends_does_not_fill_the_memory(relay, monkeypatch):
    # Its events are kept as the text of the turn until the stream has ended.
    monkeypatch.setattr(_stream_relay, "MAX_OUTPUT_BYTES", 100_000)

    def events_without_end(_backend, received):
        head = SIGNED.format(attempt=received.header("attempt")) + CHUNKED
        received.connection.sendall(head.encode())
        for number in range(1, 100_000):
            part = event(number, "x" * 1_000)
            received.connection.sendall(f"{len(part):x}\r\n".encode() + part + b"\r\n")

    relay.backend(events_without_end)
    status, _headers, body, took_s = timed_call(relay, "/talk/", program="p-1")
    assert (status, body) == (200, None)
    assert took_s < SOON_SECONDS
    assert relay.turn_store.persisted == []


def test_bytes_without_end_on_an_idle_connection_reach_no_call(relay):
    # They would fill buffers for as long as the connection is kept, and be read as a response.
    def goes_on(backend, received):
        received.connection.sendall(answer(received, received.body))
        if len(backend.received) == 1:
            with eventlet.Timeout(2.0, False):
                while True:
                    received.connection.sendall(b"HTTP/1.1 200 OK\r\n" * 512)
                    eventlet.sleep(0)

    relay.backend(goes_on)
    for number in range(3):
        body = f"call {number}".encode()
        assert relay.call("/buy/", attempt=f"a-{number}", body=body)[::2] == (200, body)


@pytest.mark.parametrize("pause_s", [FLOOD, DRIP])
def test_a_health_check_without_an_end_fails(relay, pause_s):
    # The check would read informational responses for as long as the server sends them.
    backend = relay.backend(Endless("", INTERIM, pause_s))
    started = relay.context.monotonic()
    relay.state.server_checks.is_healthy(backend.record(), "/health")
    assert relay.context.monotonic() - started < 0.5
