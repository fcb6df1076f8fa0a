"""What clients send that is no proper request, and connections around a graceful stop."""

from __future__ import annotations

import contextlib

import eventlet
import eventlet.green.socket
import pytest
from eventlet import hubs
from relay_stand_ins import answer, answers, parse, read_all, request, until
from tarragonhall_model import ClientLimits
from tarragonhall_relay._client import ClientConnection


@pytest.mark.parametrize(
    "data",
    [
        b"POST /buy/ HTTP/1.1\r\nhost: shop\r\nattempt: a\r\nkey: key-1\r\ncontent-length: 4\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /look/ HTTP/1.1\r\nhost: shop\r\n\r\n",
        b"POST /buy/ HTTP/1.1\r\nhost: shop\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde",
        b"POST /buy/ HTTP/1.1\r\nhost: shop\r\nhost: other\r\ncontent-length: 0\r\n\r\n",
        b"POST /buy/ HTTP/1.1\r\nhost: shop\r\ncontent-length: -4\r\n\r\n",
        b"POST /buy/ HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"POST /buy/ HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"POST /buy/ HTTP/1.1\r\nhost : shop\r\ncontent-length: 0\r\n\r\n",
        b"POST /buy/ HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
        b"POST http://shop/buy/ HTTP/1.1\r\nhost: shop\r\ncontent-length: 0\r\n\r\n",
        b"no request at all\r\n\r\n",
    ],
)
def test_what_could_be_framed_in_two_ways_reaches_no_server(relay, data):
    # Two readers of the same bytes disagree where a request ends. What one takes for a body the
    # other takes for a request, which nobody sent and which runs under somebody's key.
    backend = relay.backend(answers())
    status, headers, _body = parse(relay.raw(data))
    assert status in (400, 501)
    assert headers["connection"] == "close"
    assert backend.arrived == []


def test_a_request_inside_a_body_stays_a_body(relay):
    inner = request("/look/", attempt="inner", method="GET")
    backend = relay.backend(answers())
    assert relay.call("/buy/", body=inner)[0] == 200
    assert [one.body for one in backend.arrived] == [inner]


def test_a_body_in_chunks_arrives_whole(relay):
    backend = relay.backend(answers())
    head = request("/buy/").replace(b"content-length: 0", b"transfer-encoding: chunked")
    assert parse(relay.raw(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))[0] == 200
    assert backend.arrived[0].body == b"abcde"


def test_oversized_heads_and_bodies_are_refused_before_they_are_read(relay):
    relay.configure(limits=ClientLimits(max_header_bytes=1_000, max_body_bytes=10))
    backend = relay.backend(answers())
    assert relay.call("/buy/", body=b"x" * 11)[0] == 413
    assert parse(relay.raw(request("/buy/", long="y" * 2_000)))[0] == 431
    head = request("/buy/").replace(b"content-length: 0", b"transfer-encoding: chunked")
    assert parse(relay.raw(head + b"b\r\nabcdefghijk\r\n0\r\n\r\n"))[0] == 413
    assert backend.arrived == []


def test_a_head_that_does_not_come_to_its_end_is_refused(relay):
    relay.configure(limits=ClientLimits(header_timeout_ms=100))
    assert parse(relay.raw(b"POST /buy/ HTTP/1.1\r\nhost: sh"))[0] == 408


def test_an_idle_connection_is_closed_in_its_time(relay):
    relay.configure(limits=ClientLimits(idle_timeout_ms=100))
    assert relay.raw(b"") == b""


def test_calls_on_one_connection_are_answered_in_order(relay):
    relay.backend(lambda _b, arrived: arrived.connection.sendall(answer(arrived, arrived.body)))
    first = request("/buy/", "a-1", b"one", close=False)
    data = relay.raw(first + request("/buy/", "a-2", b"two"))
    assert data.index(b"one") < data.index(b"two")


def test_a_stop_finishes_what_is_at_hand_and_says_that_it_closes(relay):
    # The platform stops the process while a call runs. Cut off, the caller would not know whether
    # its booking was made.
    def slowly(_backend, arrived):
        eventlet.sleep(0.4)
        arrived.connection.sendall(answer(arrived))

    relay.backend(slowly)
    connection = relay.connect()
    connection.sendall(request("/buy/", close=False))
    until(lambda: relay.state.calls_in_flight == 1)
    draining = eventlet.spawn(relay.role.drain, 1.0)
    eventlet.sleep(0.05)
    assert not relay.role.ready()
    status, headers, body = parse(read_all(connection))
    assert (status, body, headers["connection"]) == (200, b"done", "close")
    assert draining.wait()


def test_a_stopping_relay_still_serves_who_comes_before_the_balancer_knows(relay):
    relay.backend(answers())
    eventlet.spawn(relay.role.drain, 2.0)
    eventlet.sleep(0.05)
    assert relay.call("/buy/")[0] == 200


def test_no_request_is_taken_and_then_dropped_at_the_end_of_a_stop(relay):
    # Everything at hand is finished and the process says goodbye to control. A client uses its open
    # connection in that moment; taken and dropped, its booking would be cut off midway.
    def slowly(_backend, arrived):
        eventlet.sleep(0.6)
        arrived.connection.sendall(answer(arrived))

    backend = relay.backend(slowly)
    connection = relay.connect()
    connection.sendall(request("/buy/", close=False))
    until(lambda: backend.arrived)
    other = relay.connect()
    other.sendall(request("/buy/", "a-0", close=False))
    assert b"done" in other.recv(65_536)
    stopping = eventlet.spawn(lambda: relay.role.drain(2.0) and relay.role.stop())
    eventlet.sleep(1.1)
    reads = len(backend.arrived)
    with contextlib.suppress(OSError):
        other.sendall(request("/buy/", "a-2", close=False))
    data = read_all(other)
    stopping.wait()
    if len(backend.arrived) > reads:
        assert parse(data)[2] == b"done"


def test_a_stop_ends_although_clients_keep_their_connections_open(relay):
    relay.backend(answers())
    connection = relay.connect()
    connection.sendall(request("/buy/", close=False))
    assert b"done" in connection.recv(65_536)
    started = relay.context.monotonic()
    assert relay.role.drain(4.0)
    assert relay.context.monotonic() - started < 3.5
    assert read_all(connection) == b""


def test_a_client_that_leaves_as_its_call_ends_interrupts_nothing_else(relay):
    # The answer and the client's end arrive in the same round of the loop. Told of the end after
    # the call is over, the thread would be interrupted in the middle of the next call, or be gone.
    client = ClientConnection(eventlet.green.socket.socket(), ClientLimits())
    added = []

    class RecordingHub:
        READ = "read"

        def add(self, _kind, _fileno, on_readable, *_rest):
            added.append(on_readable)
            return object()

        def remove(self, _listener):
            return

        def schedule_call_global(self, *_call):
            raise AssertionError("interrupted after its end")

    real, hubs.get_hub = hubs.get_hub, RecordingHub
    try:
        client.watch_for_close()
        client.stop_watching()
        added[0](0)
    finally:
        hubs.get_hub = real
