"""Clients whose requests take the room or the time of others, or never come to their end."""

from __future__ import annotations

import contextlib
import tracemalloc
from types import SimpleNamespace

import eventlet
import pytest
from eventlet.green import socket
from relay_doubles import answer, answers, parse, read_all, request, wait_until
from tarragonhall_decisions import ClientRoomLimits, ReaderLimits
from tarragonhall_model import BackendRecord, ClientLimits, RelayOrganisation
from tarragonhall_relay._backend import BackendConnection
from tarragonhall_relay._client_writer import ClientWriter, WaitingBytes
from tarragonhall_wire import Traffic, make_metrics

MB = 1024 * 1024
BODY = bytes(range(256)) * (MB // 256)


@contextlib.contextmanager
def traced():
    """Trace memory in the block; the result's `peak` is set at its end."""
    result = SimpleNamespace(peak=0)
    tracemalloc.start()
    try:
        yield result
        result.peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def announced(key: str = "key-1", size: int = MB) -> bytes:
    """Return the head of a request with a body of `size` bytes."""
    head = request("/buy/", key=key)
    return head.replace(b"content-length: 0", b"content-length: %d" % size)


def limit_room(relay, **limits) -> None:
    relay.context.inbound.room.limits = ClientRoomLimits(**limits)


def send(relay, data: bytes):
    """Send bytes on a new connection, which stays open."""
    connection = relay.connect()
    connection.sendall(data)
    return connection


def test_refused_request_names_its_time_to_return_and_never_runs(relay):
    # The room is full of requests that run. A further large one is refused at once.
    gate = eventlet.event.Event()

    def waits(_backend, received):
        gate.wait()
        received.connection.sendall(answer(received))

    limit_room(relay, total_bytes=2 * MB)
    backend = relay.backend(waits)
    first = send(relay, announced() + BODY)
    wait_until(lambda: len(backend.received) == 1)
    status, headers, body = parse(read_all(send(relay, announced() + BODY[:1_000])))
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert b"overloaded" in body
    gate.send(None)
    assert parse(read_all(first))[0] == 200
    assert len(backend.received) == 1


def test_running_calls_of_one_organisation_leave_connections_for_others(relay):
    # Calls that wait for their servers are not evicted: those of one key took every connection.
    other = RelayOrganisation("org-2", ("key-2",))
    relay.state.table.organisation_by_key["key-2"] = other
    limit_room(relay, connections=10)
    crowd = [send(relay, request("/buy/", key="key-1")) for _ in range(10)]
    refused = [parse(read_all(one)) for one in crowd[5:]]
    assert [status for status, _headers, _body in refused] == [503] * 5
    assert all(float(headers["retry-after"]) > 0 for _status, headers, _body in refused)
    backend = relay.backend(answers())
    assert relay.call("/book/", attempt="ordinary", key="key-2")[0] == 200
    assert [parse(read_all(one))[0] for one in crowd[:5]] == [200] * 5
    assert len(backend.received) == 6


def test_small_call_is_served_while_large_ones_fill_the_room(relay):
    # A crowd of large bodies left no room for the ordinary calls of all others.
    limit_room(relay, total_bytes=4 * MB)
    relay.backend(answers())
    crowd = [send(relay, announced() + BODY[:-10]) for _ in range(16)]
    wait_until(lambda: relay.context.inbound.room.held_bytes > 2 * MB)
    assert relay.call("/buy/", body=b"x" * 10_000)[0] == 200
    for connection in crowd:
        connection.close()


def test_body_inside_the_limits_is_served_in_tiny_chunks(relay):
    # Each chunk was held as an object of its own: 4 MB in chunks of a byte took 600 MB.
    relay.configure(limits=ClientLimits(max_body_bytes=MB))
    backend = relay.backend(answers())
    # Large enough for what tests before this one still allocate not to matter.
    body = BODY[: MB // 4]
    head = request("/buy/").replace(b"content-length: 0", b"transfer-encoding: chunked")
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    with traced() as memory:
        status = parse(relay.raw(head + chunks))[0]
    assert status == 200
    assert backend.received[0].body == body
    # The test itself holds all that it sends, twice.
    assert memory.peak < 2 * len(chunks) + 8 * len(body)


def test_calls_that_ended_hold_nothing(relay):
    # What a client held counted after its call, until its connection was closed.
    relay.backend(answers())
    connection = relay.connect()
    for number in range(3):
        connection.sendall(request("/buy/", f"a-{number}", BODY[:100_000], close=False))
        data = b""
        while not data.endswith(b"done"):
            data += connection.recv(65_536)
    room = relay.context.inbound.room
    wait_until(lambda: room.held_bytes < 50_000)
    assert room.connections == 1
    connection.close()
    wait_until(lambda: (room.connections, room.held_bytes) == (0, 0))


def test_crowd_is_told_to_operators_and_counted(relay):
    # Nobody could tell a crowd from an entry that is slow for another reason.
    limit_room(relay, connections=5)
    silent = [relay.connect() for _ in range(10)]
    wait_until(lambda: relay.state.metrics.counts["inbound.evicted"] == 5)
    problems = relay.context.hub.problems.texts()
    assert any("5 evicted" in problem and problem.startswith("clients: ") for problem in problems)
    text = relay.state.metrics.exposition.text()
    assert 'tarragonhall_inbound_evicted_total{phase="idle"} 5' in text
    assert "tarragonhall_inbound_connections 5" in text
    for connection in silent:
        connection.close()


def test_connections_on_which_nothing_comes_are_evicted_for_others(relay):
    # Clients that say nothing took all descriptors of an entry.
    limit_room(relay, connections=20)
    relay.backend(answers())
    silent = [relay.connect() for _ in range(60)]
    assert relay.call("/buy/")[0] == 200
    assert relay.context.inbound.room.connections <= 20
    assert relay.state.metrics.counts["inbound.evicted"] >= 40
    for connection in silent:
        connection.close()


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (announced("no-such-key"), 401),
        (announced().replace(b"/buy/", b"/nowhere/"), 404),
        (announced(size=100 * MB), 413),
    ],
    ids=["key", "route", "length"],
)
def test_request_that_cannot_run_is_answered_before_its_body(relay, head, status):
    # A body was read whole, and held, before its key or its route was looked at.
    backend = relay.backend(answers())
    connection = send(relay, head + b"x" * 1_000)
    found, headers, _body = parse(read_all(connection))
    assert (found, headers["connection"]) == (status, "close")
    assert backend.received == []


def test_request_that_waits_for_100_continue_is_told_at_once_that_it_cannot_run(relay):
    # A client that asks before it sends its body was told to go on, and then refused.
    relay.backend(answers())
    head = announced("no-such-key").replace(
        b"content-length", b"expect: 100-continue\r\ncontent-length"
    )
    assert read_all(send(relay, head)).startswith(b"HTTP/1.1 401")


def test_pipelined_requests_give_others_their_turn(relay):
    # A client sent hundreds of requests at once, each of which was refused without any wait. Every
    # other caller waited until all had been refused.
    relay.backend(answers())
    turns = []

    def others():
        while True:
            turns.append(None)
            eventlet.sleep(0)

    data = request("/nowhere/", method="GET", close=False) * 300
    connection = relay.connect()
    thread = eventlet.spawn(others)
    received = eventlet.spawn(read_all, connection)
    connection.sendall(data)
    connection.shutdown(socket.SHUT_WR)
    del turns[:]
    assert received.wait().count(b"HTTP/1.1 404") == 300
    thread.kill()
    assert len(turns) >= 300


def test_client_that_sends_on_after_its_refusal_is_cut_off(relay):
    # After a refusal, what the client went on sending was read for as long as it came fast.
    relay.backend(answers())
    connection = send(relay, announced(size=100 * MB))
    sent = 0
    with contextlib.suppress(OSError), eventlet.Timeout(20):
        while sent < 64 * MB:
            connection.sendall(b"x" * 65_536)
            sent += 65_536
            eventlet.sleep(0)
    assert sent < 64 * MB


class Sink:
    """A connection that takes all bytes and keeps none."""

    def __init__(self) -> None:
        self.sizes = []

    def sendall(self, data) -> None:
        self.sizes.append(len(data))


def test_large_body_is_sent_to_its_server_without_a_copy():
    # A body was copied to be sent with its head, so that each call took its size twice.
    record = BackendRecord("i-1", "desk", "127.0.0.1:1", "zona-a", 6, 1, 1)
    sink = Sink()
    connection = BackendConnection(sink, record, Traffic())
    body = BODY * 4
    with traced() as memory:
        connection.send("POST", b"/buy/", [(b"host", b"shop")], (body,))
    assert sum(sink.sizes) > len(body)
    assert memory.peak < len(body) / 4


def test_large_response_waits_for_its_reader_without_a_copy():
    # A response that its client reads slowly was held twice: by its call, and by what waits.
    left, right = socket.socketpair()
    waiting = WaitingBytes(
        ReaderLimits(read_ahead_bytes=64 * MB),
        make_metrics(None, 0, "entry-1"),
        eventlet.hubs.get_hub().clock,
    )
    writer = ClientWriter(left, waiting)
    body = BODY * 4
    with traced() as memory:
        writer.write(body)
    assert memory.peak < len(body) / 4
    writer.stop()
    left.close()
    right.close()


def test_head_request_without_a_route_gets_its_refusal(relay):
    # A refusal with a body was no valid response to a HEAD request: the connection was closed.
    data = relay.raw(request("/nowhere/", method="HEAD"))
    assert data.startswith(b"HTTP/1.1 404")
    assert data.endswith(b"\r\n\r\n")
