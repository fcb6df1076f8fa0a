"""Calls that wait for places: each place is given back, whatever becomes of the call."""

from __future__ import annotations

import eventlet
from relay_stand_ins import answer, answers, event, full_until, request, stream, until
from tarragonhall_model import Route

# A server of six places is sent a quarter more, rounded up; what comes beyond that waits.
SENT = 8


class Slow:
    """Answers each call when the test lets it."""

    def __init__(self) -> None:
        self.held = []

    def __call__(self, _backend, arrived):
        self.held.append(arrived)

    def let_go(self, count: int | None = None) -> None:
        """Answer the first calls, or all."""
        going, self.held = self.held[:count], self.held[count:] if count is not None else []
        for arrived in going:
            arrived.connection.sendall(answer(arrived))


def crowd(relay, count: int, path: str = "/buy/"):
    """Start calls that run at the same time."""
    return [eventlet.spawn(relay.call, path, attempt=f"a-{n}") for n in range(count)]


def test_what_a_server_cannot_start_soon_waits_and_is_served(relay):
    # Twenty calls come at once for a server of six places. In its own queue nobody could let
    # another call go first, or take one out whose caller has left.
    slow = Slow()
    backend = relay.backend(slow)
    calls = crowd(relay, 20)
    until(lambda: len(backend.arrived) == SENT and relay.state.slots.waiting() == 20 - SENT)
    # Calls under way count from their grant on: one may still be on its way to the server.
    while relay.state.slots.waiting() or relay.state.chooser.own_load():
        slow.let_go()
        eventlet.sleep(0.01)
    assert [one.wait()[0] for one in calls] == [200] * 20
    assert relay.state.chooser.own_load() == {}


def test_a_caller_who_leaves_takes_no_place(relay):
    # Callers give up while their calls wait, and one just as its place comes free. A place that
    # nobody gives back is lost for as long as the entry runs.
    slow = Slow()
    backend = relay.backend(slow)
    calls = crowd(relay, SENT)
    until(lambda: len(backend.arrived) == SENT)
    leaving = [relay.connect() for _ in range(5)]
    for number, connection in enumerate(leaving):
        connection.sendall(request("/buy/", f"left-{number}"))
    until(lambda: relay.state.slots.waiting() == 5)
    slow.let_go(1)
    for connection in leaving:
        connection.close()
    until(lambda: relay.state.slots.waiting() == 0)
    slow.let_go()
    assert [one.wait()[0] for one in calls] == [200] * SENT
    until(lambda: relay.state.chooser.own_load() == {})
    backend.script = answers()
    assert relay.call("/buy/", attempt="next")[0] == 200


def test_calls_whose_time_is_over_while_they_wait_were_not_run(relay):
    # All places hang. A call that waits has not left the entry: its caller may be told so, in time
    # to send it elsewhere.
    backend = relay.backend(lambda _backend, _arrived: None)
    running = crowd(relay, SENT)
    until(lambda: len(backend.arrived) == SENT)
    status, headers, _body = relay.call("/buy/", attempt="late", deadline="600")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert len(backend.arrived) == SENT
    for one in running:
        one.kill()


def test_a_full_server_is_asked_again_only_when_there_may_be_room(relay):
    # A server refuses for half a second. Asked again every few milliseconds, it and this entry
    # spend their time on refusals.
    backend = relay.backend(full_until(relay, relay.context.monotonic() + 0.5))
    assert relay.call("/buy/")[0] == 200
    assert len(backend.arrived) <= 6


def test_a_stream_holds_its_place_until_its_end(relay):
    # The place of a stream is taken until its last event. Given back at the first, the next call
    # would be sent to an engine that cannot start it.
    held = []

    def begin(_backend, arrived):
        held.append(arrived)
        arrived.connection.sendall(stream(arrived, event(1), end=False))

    relay.backend(begin)
    going = eventlet.spawn(relay.call, "/talk/")
    until(lambda: held)
    assert relay.state.chooser.own_load() == {"i-0": 1}
    held[0].connection.sendall(b"0\r\n\r\n")
    assert going.wait()[0] == 200
    until(lambda: relay.state.chooser.own_load() == {})


def test_a_new_program_is_refused_at_once_while_those_under_way_wait(relay):
    # The engine is full and turns of programs under way wait. Let in, the new program would wait at
    # each of its turns, and so would the others.
    table = relay.state.table
    for route in list(table.config.routes):
        if route.name == "talk":
            assert isinstance(route, Route)
            object.__setattr__(route, "objective_ms", 200)
    slow = Slow()
    backend = relay.backend(slow)
    under_way = [
        eventlet.spawn(relay.call, "/talk/", attempt=f"u-{n}", program=f"p-{n}", previous="t-0")
        for n in range(SENT + 3)
    ]
    until(lambda: len(backend.arrived) == SENT and relay.state.slots.waiting() == 3)
    eventlet.sleep(0.5)
    started = relay.context.monotonic()
    refused = [relay.call("/talk/", attempt=f"n-{n}", program=f"q-{n}") for n in range(5)]
    assert [status for status, _headers, _body in refused].count(503) >= 4
    assert relay.context.monotonic() - started < 1.0
    assert len(backend.arrived) == SENT
    for one in under_way:
        one.kill()
