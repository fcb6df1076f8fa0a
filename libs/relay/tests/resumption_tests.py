"""Resumable streams whose servers break off, judged by what clients and servers receive."""

from __future__ import annotations

import dataclasses

import eventlet
import pytest
from relay_doubles import (
    Relay,
    answer,
    event,
    parse,
    read_all,
    refuses,
    request,
    stream,
    wait_until,
)
from tarragonhall_relay._backend import BackendPool, Reachability

EVENTS = [event(number, f"word {number}") for number in range(1, 6)]


def sends_rest(_backend, received):
    """Send the events behind the one that the request names, to the end."""
    last_id = int(received.header("last-event-id") or 0)
    received.connection.sendall(stream(received, *EVENTS[last_id:]))


def breaks_after(*parts: bytes, crashes: bool = True):
    """Return a script that sends these parts of a stream and breaks off, once over all servers."""
    broken = []

    def script(backend, received):
        if broken:
            return sends_rest(backend, received)
        broken.append(backend.server_id)
        if crashes:
            backend.stop()
        received.connection.sendall(stream(received, *parts, end=False))
        return "close"

    return script


def start_servers(relay, script, count: int = 2):
    return [relay.backend(script) for _ in range(count)]


def last_event_ids(servers) -> list[str | None]:
    return [one.header("last-event-id") for server in servers for one in server.received]


@pytest.mark.parametrize(
    ("sent", "resumed_after"),
    [
        # In the middle of an event, which is dropped.
        ((EVENTS[0], EVENTS[1], b"id: 3\ndata: wo"), "2"),
        # After its last event, without the end of the response.
        (tuple(EVENTS), "5"),
        # Before its first event.
        ((), None),
        ((b"id: 1\n",), None),
    ],
)
def test_stream_of_a_crashed_server_goes_on_at_another(relay, sent, resumed_after):
    # The server ends in the middle of its stream. The caller lost its whole turn.
    servers = start_servers(relay, breaks_after(*sent))
    status, headers, body = relay.call("/play/", body=b"history", program="p", budget="99")
    assert (status, body) == (200, b"".join(EVENTS))
    assert headers["attempt"] == "a-1"
    assert sorted(len(one.received) for one in servers) == [1, 1]
    assert [one for one in last_event_ids(servers) if one] == (
        [resumed_after] * bool(resumed_after)
    )
    assert {one.body for server in servers for one in server.received} == {b"history"}
    wait_until(lambda: relay.turn_store.released == [("a-1", 5)])
    assert relay.state.metrics.counts["relay.resumed"] == 1


def test_head_and_proof_of_the_first_server_are_kept(relay):
    # A response with the proofs of two servers, or with that of the second one, cannot be checked.
    broken = []

    def script(backend, received):
        proof = b"signed: second" if broken else b"signed: first"
        sent = EVENTS[1:] if broken else EVENTS[:1]
        data = stream(received, *sent, end=bool(broken)).replace(b"signed: yes", proof)
        received.connection.sendall(data)
        if broken:
            return None
        broken.append(backend.server_id)
        backend.stop()
        return "close"

    start_servers(relay, script)
    raw = relay.raw(request("/play/"))
    assert raw.count(b"HTTP/1.1 200") == 1
    assert (raw.count(b"signed: first"), raw.count(b"second")) == (1, 0)
    assert parse(raw)[2] == b"".join(EVENTS)


def test_server_that_broke_the_stream_and_lives_is_asked_again(relay):
    # The route allows one server for a call. The server resets a connection and lives on, so that a
    # second one would run the call beside it.
    servers = start_servers(relay, breaks_after(*EVENTS[:2], crashes=False))
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert sorted(len(one.received) for one in servers) == [0, 2]


def is_health_check(received) -> bool:
    return received.head.startswith(b"GET /health ")


@pytest.mark.parametrize("is_health_answered", [False, True])
def test_server_that_breaks_off_every_call_and_is_not_healthy_is_left(relay, is_health_answered):
    # The program of a server is down: its machine accepts connections and closes them, or says that
    # it fails.
    down = []

    def script(backend, received):
        if not down:
            down.append(backend.server_id)
        if is_health_answered and is_health_check(received):
            received.connection.sendall(answer(received, status="503 Service Unavailable"))
            return None
        if backend.server_id in down:
            return "close"
        return sends_rest(backend, received)

    servers = start_servers(relay, script)
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    requests = [one for server in servers for one in server.received]
    assert [is_health_check(one) for one in requests].count(True) == 1
    assert len(requests) == 4


def test_server_that_breaks_off_twice_and_is_healthy_ends_the_stream(relay):
    # A server resets some of its streams and lives on. The route allows no second server, and the
    # caller must be able to send its call again: servers that live were not crashed by it.
    def script(_backend, received):
        if is_health_check(received):
            received.connection.sendall(answer(received))
            return None
        return "close"

    servers = start_servers(relay, script)
    for number in range(2):
        assert relay.call("/play/", attempt=f"a-{number}")[0] == 502
    requests = [one for server in servers for one in server.received]
    assert len([one for one in requests if not is_health_check(one)]) == 4
    for one in servers:
        one.script = sends_rest
    assert relay.call("/play/", attempt="a-9")[2] == b"".join(EVENTS)


def test_route_that_allows_two_servers_moves_from_a_living_one(relay):
    # Both servers are alive. The first connection must be closed before the second one is asked, or
    # both would work on the call.
    closed_first = []

    def script(backend, received):
        if len(servers[0].received) + len(servers[1].received) == 1:
            received.connection.sendall(stream(received, EVENTS[0], event(3), end=False))
            eventlet.sleep(0.3)
            return None
        first = next(one for one in servers if one is not backend)
        wait_until(lambda: first.received and first.closed, 0.5)
        closed_first.append(True)
        return sends_rest(backend, received)

    servers = start_servers(relay, script)

    def watch_close(backend):
        # The double notices the close only when it reads.
        received = backend.received[0]
        assert received.connection.recv(1) == b""
        backend.closed += 1

    def first_script(backend, received):
        result = script(backend, received)
        if len(backend.received) == 1 and not closed_first:
            watch_close(backend)
        return result

    for one in servers:
        one.script = first_script
    assert relay.call("/pair/")[2] == b"".join(EVENTS)
    assert sorted(len(one.received) for one in servers) == [1, 1]
    assert closed_first == [True]


def test_silent_server_that_is_gone_is_left(relay):
    # A machine loses its power in the middle of a stream: no connection breaks for seconds, and the
    # caller gives up before that.
    def script(backend, received):
        if received.header("last-event-id") is None:
            received.connection.sendall(stream(received, *EVENTS[:2], end=False))
            backend.stop()
            eventlet.sleep(2)
            return None
        return sends_rest(backend, received)

    servers = start_servers(relay, script)
    started = relay.context.monotonic()
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert relay.context.monotonic() - started < 1.0
    assert sorted(len(one.received) for one in servers) == [1, 1]


def test_silent_server_whose_connections_get_no_answer_is_left(relay, monkeypatch):
    # A machine loses its power or its link: nothing refuses a connection. One check without an
    # answer proves nothing, since the entry's own link may be full for a moment.
    checks = []

    def check(record):
        checks.append(record.server_id)
        return Reachability.NO_ANSWER

    def script(_backend, received):
        if received.header("last-event-id") is None:
            received.connection.sendall(stream(received, *EVENTS[:2], end=False))
            eventlet.sleep(2)
            return None
        return sends_rest(_backend, received)

    monkeypatch.setattr(BackendPool, "check", lambda _pool, record: check(record))
    servers = start_servers(relay, script)
    started = relay.context.monotonic()
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert relay.context.monotonic() - started < 1.0
    assert sorted(len(one.received) for one in servers) == [1, 1]
    assert len(checks) == 2


def test_silent_server_that_is_reachable_keeps_its_stream(relay):
    # The server is slow for a moment, and the route allows no second one.
    def script(_backend, received):
        received.connection.sendall(stream(received, *EVENTS[:2], end=False))
        eventlet.sleep(0.6)
        received.connection.sendall(stream(received, *EVENTS[2:]).partition(b"\r\n\r\n")[2])

    servers = start_servers(relay, script)
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert sorted(len(one.received) for one in servers) == [0, 1]


def test_silent_server_before_the_first_event_is_left_once_it_is_gone(relay):
    # The server takes the call and loses its power before it responds.
    def script(backend, received):
        if len(called) == 0:
            called.append(backend.server_id)
            backend.stop()
            eventlet.sleep(2)
            return None
        return sends_rest(backend, received)

    called = []
    start_servers(relay, script)
    started = relay.context.monotonic()
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert relay.context.monotonic() - started < 1.5


def test_resumption_that_is_refused_as_full_waits_for_another_server(relay):
    # The rest of the stream is refused by every server at first, as they are full.
    crashing = breaks_after(*EVENTS[:2])
    refused = []

    def script(backend, received):
        if received.header("last-event-id") is None:
            return crashing(backend, received)
        if len(refused) < 3:
            refused.append(backend.server_id)
            return refuses(backend, received)
        return sends_rest(backend, received)

    start_servers(relay, script, 3)
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert len(refused) == 3


def test_server_that_is_asked_again_and_full_is_waited_for(relay):
    # The server that broke the stream lives and is full, and the route allows no second one.
    breaking = breaks_after(*EVENTS[:2], crashes=False)
    refused = []

    def script(backend, received):
        if received.header("last-event-id") is None:
            return breaking(backend, received)
        if not refused:
            refused.append(backend.server_id)
            return refuses(backend, received)
        return sends_rest(backend, received)

    servers = start_servers(relay, script)
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert sorted(len(one.received) for one in servers) == [0, 3]


def test_server_that_is_asked_again_and_leaves_is_left(relay):
    # The server that broke the stream leaves and takes no calls any more, which it refuses as full.
    breaking = breaks_after(*EVENTS[:2], crashes=False)

    def script(backend, received):
        if received.header("last-event-id") is None:
            return breaking(backend, received)
        if not leaving:
            leaving.append(backend.server_id)
            records = [
                dataclasses.replace(one.record(), draining=one is backend) for one in servers
            ]
            relay.state.chooser.set_servers(records, relay.context.monotonic())
            return refuses(backend, received)
        return sends_rest(backend, received)

    leaving = []
    servers = start_servers(relay, script)
    assert relay.call("/play/")[2] == b"".join(EVENTS)
    assert sorted(len(one.received) for one in servers) == [1, 2]


@pytest.mark.parametrize("rest", [(EVENTS[3],), (EVENTS[1], EVENTS[2]), (event(9),)])
def test_rest_that_does_not_follow_is_not_forwarded(relay, rest):
    # A server sends the rest from another event than asked, so that one is missing or comes twice.
    def script(backend, received):
        if received.header("last-event-id") is None:
            return breaking(backend, received)
        received.connection.sendall(stream(received, *rest))
        return None

    breaking = breaks_after(*EVENTS[:2])
    start_servers(relay, script, 4)
    raw = relay.raw(request("/play/"))
    assert parse(raw)[2] is None
    assert raw.count(b"id: 2") == 1
    assert not any(f"id: {number}\n".encode() in raw for number in (3, 4, 9))


@pytest.mark.parametrize("status", ["200 OK", "500 Internal Server Error"])
def test_rest_without_proof_or_success_is_not_forwarded(relay, status):
    # The second server fails, or is no server of the service.
    def script(backend, received):
        if received.header("last-event-id") is None:
            return breaking(backend, received)
        data = answer(received, b"none", status)
        received.connection.sendall(data.replace(b"signed: yes", b"x: y"))
        return None

    breaking = breaks_after(*EVENTS[:2])
    start_servers(relay, script, 4)
    raw = relay.raw(request("/play/"))
    assert parse(raw)[2] is None
    assert b"none" not in raw


def test_request_that_crashes_its_servers_is_not_resumed_without_end(relay):
    # Each server that runs the request crashes.
    def crashes(backend, received):
        backend.stop()
        received.connection.sendall(stream(received, EVENTS[0], end=False))
        return "close"

    servers = start_servers(relay, crashes, 6)
    assert relay.call("/play/")[2] is None
    assert sum(len(one.received) for one in servers) <= 3


def test_resumption_of_the_caller_goes_on_behind_its_last_event(relay):
    # The caller lost its connection to another entry and asks for the rest. The server breaks off
    # as well.
    def script(backend, received):
        if not breaking_done:
            breaking_done.append(backend)
            backend.stop()
            received.connection.sendall(stream(received, EVENTS[2], end=False))
            return "close"
        return sends_rest(backend, received)

    breaking_done = []
    servers = start_servers(relay, script)
    headers = {"last-event-id": "2", "program": "p", "budget": "99"}
    assert relay.call("/play/", **headers)[2] == b"".join(EVENTS[2:])
    assert sorted(last_event_ids(servers)) == ["2", "3"]
    wait_until(lambda: relay.turn_store.released == [("a-1", 3)])


def test_events_that_the_caller_has_are_not_sent_again(relay):
    # A server ignores the event id of the caller and begins anew.
    def begins_anew(_backend, received):
        received.connection.sendall(stream(received, *EVENTS))

    relay.backend(begins_anew)
    raw = relay.raw(request("/play/", **{"last-event-id": "2"}))
    assert parse(raw)[2] is None
    assert b"word" not in raw


def test_caller_that_leaves_during_a_resumption_is_sent_to_no_server(relay):
    # The caller leaves while its stream waits for a server.
    crashing = breaks_after(*EVENTS[:2])

    def script(backend, received):
        if received.header("last-event-id") is None:
            return crashing(backend, received)
        return refuses(backend, received)

    servers = start_servers(relay, script)
    connection = relay.connect()
    connection.sendall(request("/play/"))
    wait_until(lambda: sum(len(one.received) for one in servers) > 1)
    connection.close()
    wait_until(lambda: relay.state.calls_in_flight == 0)
    sent = sum(len(one.received) for one in servers)
    eventlet.sleep(0.3)
    assert sum(len(one.received) for one in servers) == sent
    assert relay.state.chooser.own_load() == {}


def test_entry_that_drains_during_a_resumption_finishes_the_stream(relay):
    # The entry is stopped after the first server crashed and before the second one responds.
    crashing = breaks_after(*EVENTS[:2])

    def script(backend, received):
        if received.header("last-event-id") is None:
            return crashing(backend, received)
        eventlet.sleep(0.3)
        return sends_rest(backend, received)

    servers = start_servers(relay, script)
    connection = relay.connect()
    connection.sendall(request("/play/"))
    wait_until(lambda: sum(len(one.received) for one in servers) > 1)
    draining = eventlet.spawn(relay.role.drain, 1.5)
    assert parse(read_all(connection))[2] == b"".join(EVENTS)
    assert draining.wait()


def test_caller_of_an_entry_that_ends_during_a_resumption_goes_on_at_another(relay):
    # The entry ends after the first server crashed and before the second one responds. What it sent
    # must look incomplete, and the caller asks another entry for the rest.
    crashing = breaks_after(*EVENTS[:2])

    def script(backend, received):
        if received.header("last-event-id") is None:
            return crashing(backend, received)
        if received.header("attempt") == "a-1":
            return eventlet.sleep(0.3)
        return sends_rest(backend, received)

    servers = start_servers(relay, script)
    other = Relay()
    other.state.chooser.set_servers([one.record() for one in servers], 0.0)
    connection = relay.connect()
    connection.sendall(request("/play/"))
    wait_until(lambda: sum(len(one.received) for one in servers) > 1)
    relay.role.stop()
    raw = read_all(connection)
    assert parse(raw)[2] is None
    assert (raw.count(b"id: 2"), raw.count(b"id: 3")) == (1, 0)
    rest = other.call("/play/", attempt="a-2", **{"last-event-id": "2"})[2]
    other.stop()
    assert rest == b"".join(EVENTS[2:])


def test_stream_of_a_route_that_is_not_resumable_ends(relay):
    # The switch is off: the stream breaks off, and no other server or connection is used.
    servers = start_servers(relay, breaks_after(*EVENTS[:2]))
    assert relay.call("/tell/", **{"last-event-id": "0"})[2] is None
    assert sum(len(one.received) for one in servers) == 1
    assert sum(one.connections for one in servers) == 1
    assert last_event_ids(servers) == ["0"]
    assert relay.state.metrics.counts["relay.resumed"] == 0


def test_silent_server_of_a_route_that_is_not_resumable_is_not_checked(relay):
    # The switch is off: the silence of a server is no reason for another connection.
    def script(_backend, received):
        received.connection.sendall(stream(received, *EVENTS[:2], end=False))
        eventlet.sleep(0.6)
        received.connection.sendall(stream(received, *EVENTS[2:]).partition(b"\r\n\r\n")[2])

    server = relay.backend(script)
    assert relay.call("/tell/")[2] == b"".join(EVENTS)
    assert server.connections == 1
