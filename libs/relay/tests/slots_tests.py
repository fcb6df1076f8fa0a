"""Calls that wait for slots: each slot is released, however its call ends."""

from __future__ import annotations

import eventlet
from relay_doubles import answer, answers, event, full_until, request, stream, wait_until
from tarragonhall_model import Route

# A server with six slots is sent a quarter more calls, rounded up; others wait at the entry.
MAX_SENT = 8


class SlowBackend:
    """Script that holds each request until `respond` is called."""

    def __init__(self) -> None:
        self.held = []

    def __call__(self, _backend, received):
        self.held.append(received)

    def respond(self, count: int | None = None) -> None:
        """Respond to the first `count` held requests, or to all."""
        answered, self.held = self.held[:count], self.held[count:] if count is not None else []
        for received in answered:
            received.connection.sendall(answer(received))


def start_calls(relay, count: int, path: str = "/buy/"):
    """Start concurrent calls."""
    return [eventlet.spawn(relay.call, path, attempt=f"a-{n}") for n in range(count)]


def test_calls_beyond_a_servers_capacity_wait_and_are_served(relay):
    # Twenty calls arrive at once for a server with six slots. In the server's own queue the entry
    # could neither reorder them nor remove those whose client has disconnected.
    slow = SlowBackend()
    backend = relay.backend(slow)
    calls = start_calls(relay, 20)
    wait_until(
        lambda: len(backend.received) == MAX_SENT and relay.state.slots.waiting() == 20 - MAX_SENT
    )
    # A call counts as in flight from its grant on and may not have reached the server yet.
    while relay.state.slots.waiting() or relay.state.chooser.own_load():
        slow.respond()
        eventlet.sleep(0.01)
    assert [one.wait()[0] for one in calls] == [200] * 20
    assert relay.state.chooser.own_load() == {}


def test_client_that_disconnects_leaves_no_slot_taken(relay):
    # Clients disconnect while their calls wait, one of them just as it gets a slot. A slot that is
    # not released is lost for as long as the entry runs.
    slow = SlowBackend()
    backend = relay.backend(slow)
    calls = start_calls(relay, MAX_SENT)
    wait_until(lambda: len(backend.received) == MAX_SENT)
    disconnecting = [relay.connect() for _ in range(5)]
    for number, connection in enumerate(disconnecting):
        connection.sendall(request("/buy/", f"left-{number}"))
    wait_until(lambda: relay.state.slots.waiting() == 5)
    slow.respond(1)
    for connection in disconnecting:
        connection.close()
    wait_until(lambda: relay.state.slots.waiting() == 0)
    slow.respond()
    assert [one.wait()[0] for one in calls] == [200] * MAX_SENT
    wait_until(lambda: relay.state.chooser.own_load() == {})
    backend.script = answers()
    assert relay.call("/buy/", attempt="next")[0] == 200


def test_call_that_times_out_while_waiting_is_reported_as_not_run(relay):
    # No call on the server ends. A waiting call has not left the entry, so its client can be told
    # that it did not run, in time to send it elsewhere.
    backend = relay.backend(lambda _backend, _received: None)
    running = start_calls(relay, MAX_SENT)
    wait_until(lambda: len(backend.received) == MAX_SENT)
    status, headers, _body = relay.call("/buy/", attempt="late", deadline="600")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert len(backend.received) == MAX_SENT
    for one in running:
        one.kill()


def test_full_server_is_not_retried_at_once(relay):
    # A server refuses calls for half a second. Retried every few milliseconds, the server and this
    # entry would spend their time on refusals.
    backend = relay.backend(full_until(relay, relay.context.monotonic() + 0.5))
    assert relay.call("/buy/")[0] == 200
    assert len(backend.received) <= 6


def test_stream_holds_its_slot_until_its_end(relay):
    # A stream occupies its slot until its last event. If the slot were released at the first event,
    # the next call would go to an engine that cannot start it.
    held = []

    def begins_stream(_backend, received):
        held.append(received)
        received.connection.sendall(stream(received, event(1), end=False))

    relay.backend(begins_stream)
    answered = eventlet.spawn(relay.call, "/talk/")
    wait_until(lambda: held)
    assert relay.state.chooser.own_load() == {"i-0": 1}
    held[0].connection.sendall(b"0\r\n\r\n")
    assert answered.wait()[0] == 200
    wait_until(lambda: relay.state.chooser.own_load() == {})


def test_new_program_is_rejected_at_once_while_running_ones_wait(relay):
    # The engine is full and turns of running programs wait. An admitted new program would wait at
    # each of its turns, and delay the others.
    table = relay.state.table
    for route in list(table.config.routes):
        if route.name == "talk":
            assert isinstance(route, Route)
            object.__setattr__(route, "objective_ms", 200)
    slow = SlowBackend()
    backend = relay.backend(slow)
    running = [
        eventlet.spawn(relay.call, "/talk/", attempt=f"u-{n}", program=f"p-{n}", previous="t-0")
        for n in range(MAX_SENT + 3)
    ]
    wait_until(lambda: len(backend.received) == MAX_SENT and relay.state.slots.waiting() == 3)
    eventlet.sleep(0.5)
    started = relay.context.monotonic()
    refused = [relay.call("/talk/", attempt=f"n-{n}", program=f"q-{n}") for n in range(5)]
    assert [status for status, _headers, _body in refused].count(503) >= 4
    assert relay.context.monotonic() - started < 1.0
    assert len(backend.received) == MAX_SENT
    for one in running:
        one.kill()
