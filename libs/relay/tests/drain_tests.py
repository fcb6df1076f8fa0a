"""Requests that arrive or run late in a planned stop: none may end without an answer."""

from __future__ import annotations

import eventlet
import pytest
from relay_doubles import answer, answers, event, parse, read_all, request, wait_until
from tarragonhall_relay import _role

WINDOW_SECONDS = 0.3
GRACE_SECONDS = 1.5
WORK_SECONDS = 3.0


@pytest.fixture
def drain(relay, monkeypatch):
    """Return a function that begins a drain which ends after `GRACE_SECONDS`, then stops."""
    monkeypatch.setattr(_role, "BALANCER_REMOVAL_SECONDS", WINDOW_SECONDS)

    def begin():
        def stop():
            relay.role.drain(GRACE_SECONDS)
            relay.role.stop()

        return eventlet.spawn(stop)

    return begin


def works(seconds=WORK_SECONDS):
    def script(_backend, received):
        eventlet.sleep(seconds)
        received.connection.sendall(answer(received))

    return script


def send_slowly(relay, data, after_s):
    """Send a request whose last byte follows `after_s` later; return the response."""
    connection = relay.connect()
    connection.sendall(data[:-1])
    eventlet.sleep(after_s)
    connection.sendall(data[-1:])
    return parse(read_all(connection))


@pytest.mark.parametrize("path", ["/look/", "/buy/", "/talk/"])
def test_a_request_whose_body_ends_late_in_the_grace_is_refused(relay, drain, path):
    # It was passed on and cut at the end of the grace, though it may run once only.
    backend = relay.backend(works())
    data = request(path, body=b"order")
    sending = eventlet.spawn(send_slowly, relay, data, 2 * WINDOW_SECONDS)
    eventlet.sleep(0.05)
    drain()
    status, headers, _body = sending.wait()
    assert status == 503
    assert float(headers["retry-after"]) >= 0
    assert headers["connection"] == "close"
    assert backend.received == []


def test_a_request_that_ends_before_the_grace_is_served_late_in_it(relay, drain):
    # Its deadline is before the end of the grace, so it cannot be cut.
    relay.backend(answers())
    data = request("/buy/", body=b"order", deadline="400")
    sending = eventlet.spawn(send_slowly, relay, data, 2 * WINDOW_SECONDS)
    eventlet.sleep(0.05)
    drain()
    assert sending.wait()[0] == 200


@pytest.mark.parametrize("path", ["/look/", "/buy/", "/talk/"])
def test_a_call_that_runs_at_the_end_of_the_grace_gets_an_answer(relay, drain, path):
    # Its connection was closed without a word; nothing is known of the call, and 504 says so.
    backend = relay.backend(works())
    call = eventlet.spawn(relay.call, path, body=b"order")
    wait_until(lambda: backend.received)
    drain()
    assert call.wait()[0] == 504


def test_a_call_that_waits_at_the_end_of_the_grace_is_said_not_to_have_run(relay, drain):
    # It waited for a free server; a client may send it again at once only if it knows that.
    backend = relay.backend(answers())
    relay.state.chooser.refused(backend.server_id, relay.context.monotonic() + 60)
    call = eventlet.spawn(relay.call, "/buy/", body=b"order", deadline="60000")
    eventlet.sleep(0.05)
    drain()
    status, headers, _body = call.wait()
    assert status == 503
    assert "retry-after" in headers
    assert backend.received == []


def test_a_stream_at_the_end_of_the_grace_does_not_look_complete(relay, drain):
    # Only the end of the connection can tell that the rest is missing.
    def streams(_backend, received):
        head = f"HTTP/1.1 200 OK\r\nattempt: {received.header('attempt')}\r\nsigned: yes\r\n"
        received.connection.sendall(head.encode() + b"transfer-encoding: chunked\r\n\r\n")
        first = event(1)
        received.connection.sendall(b"%x\r\n%b\r\n" % (len(first), first))
        eventlet.sleep(WORK_SECONDS)

    relay.backend(streams)
    call = eventlet.spawn(relay.call, "/tell/", body=b"turn")
    eventlet.sleep(0.1)
    drain()
    assert call.wait()[::2] == (200, None)


def test_a_drain_that_ends_calls_leaves_nothing_running(relay, drain):
    # A call that was ended must give back its slot and room like any other.
    backend = relay.backend(works())
    calls = [eventlet.spawn(relay.call, "/buy/", f"a-{n}", body=b"%d" % n) for n in range(4)]
    wait_until(lambda: backend.received)
    drain().wait()
    assert {call.wait()[0] for call in calls} <= {503, 504}
    assert relay.state.calls_in_flight == 0
    assert relay.state.response_memory.shared_bytes == 0
