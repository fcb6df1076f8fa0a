"""Streams and turns with misbehaving servers and stores, judged by what clients receive."""

from __future__ import annotations

import dataclasses

import eventlet
import pytest
from relay_doubles import (
    KEY,
    ROUTES,
    answers,
    event,
    parse,
    read_all,
    refuses,
    request,
    stream,
    wait_until,
)
from tarragonhall_model import (
    BudgetSpent,
    EngineProfile,
    RelayConfig,
    RelayOrganisation,
    Service,
    UnknownTurn,
    WeightedService,
)
from tarragonhall_relay._routes import RouteTable
from tarragonhall_relay._turn_store import TurnStoreError


def test_stream_is_relayed_by_event_and_stored_before_its_end_is_sent(relay):
    # The client continues the conversation as soon as it receives the end. If the end were sent
    # before the turn is stored, the next turn could be rejected as following an unknown turn.
    seen = []

    def streams_events(_backend, received):
        received.connection.sendall(stream(received, event(1, "good"), event(2, "day")))

    relay.backend(streams_events)
    relay.turn_store.history = b"before;"
    connection = relay.connect()
    relay.turn_store.on_persist = lambda: seen.append(connection.recv(65_536))
    connection.sendall(request("/talk/", body=b"hello"))
    rest = read_all(connection)
    status, _headers, body = parse(seen[0] + rest)
    assert (status, body) == (200, event(1, "good") + event(2, "day"))
    assert b"0\r\n\r\n" not in seen[0]
    assert relay.turn_store.persisted == [("a-1", b"hello", b"good\nday\n", 2, "i-0")]
    assert relay.backends[0].received[0].body == b"before;hello"


@pytest.mark.parametrize(
    "events",
    [
        (event(1), event(3)),
        (event(1), event(1)),
        (event(2), event(1)),
        (event(1), b"id: 2\ndata: cu"),
    ],
)
def test_stream_with_missing_repeated_or_truncated_event_is_incomplete(relay, events):
    # An event is missing, repeated, out of order or truncated, and the server ends the stream
    # normally.
    def streams_events(_backend, received):
        received.connection.sendall(stream(received, *events))

    relay.backend(streams_events)
    assert relay.call("/talk/", body=b"hello")[2] is None
    assert relay.turn_store.persisted == []


def test_broken_stream_is_incomplete_and_its_sent_tokens_count(relay):
    def crashes(_backend, received):
        received.connection.sendall(stream(received, event(1), event(2), end=False))
        return "close"

    relay.backend(crashes)
    assert relay.call("/talk/", body=b"hello", budget="100", most="9")[2] is None
    wait_until(lambda: relay.turn_store.released == [("a-1", 2)])


def test_response_of_a_turn_that_was_not_stored_is_incomplete(relay):
    relay.turn_store.fail_persist = True
    relay.backend(lambda _b, received: received.connection.sendall(stream(received, event(1))))
    assert relay.call("/talk/", body=b"hello")[2] is None


def test_exhausted_budget_unknown_turn_and_unreachable_stores_run_nothing(relay):
    backend = relay.backend(answers())
    relay.turn_store.reserve_result = BudgetSpent()
    assert relay.call("/talk/", budget="9", most="10")[0] == 402
    relay.turn_store.reserve_result = UnknownTurn()
    assert relay.call("/talk/", previous="x")[0] == 404
    relay.turn_store.reserve_result = TurnStoreError("no leader")
    status, headers, _body = relay.call("/talk/", previous="x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert backend.received == []


def test_turn_refused_by_every_server_releases_its_tokens(relay):
    relay.backend(refuses)
    assert relay.call("/talk/", budget="9", most="5")[0] == 503
    assert relay.turn_store.released == [("a-1", 0)]


def test_budget_holds_on_a_route_without_retention(relay):
    # The tokens of routes that retain no turns were not counted, so that a program that loops
    # there could use any number of them.
    backend = relay.backend(
        lambda _b, received: received.connection.sendall(stream(received, event(1), event(2)))
    )
    status, _headers, body = relay.call(
        "/tell/", body=b"all of it", program="p-1", previous="x", budget="100", most="9"
    )
    assert (status, body) == (200, event(1) + event(2))
    key = relay.turn_store.reserved[0]
    assert (key.program_id, key.token_budget, key.max_tokens) == ("p-1", 100, 9)
    assert key.previous_turn is None
    wait_until(lambda: relay.turn_store.released == [("a-1", 2)])
    assert relay.turn_store.persisted == []
    relay.turn_store.reserve_result = BudgetSpent(95)
    assert relay.call("/tell/", "a-2", program="p-1", budget="100", most="9")[0] == 402
    assert [one.body for one in backend.received] == [b"all of it"]


def test_exhausted_budget_is_rejected_on_both_sorts_of_routes(relay):
    # A program's turns on routes with and without retention draw on one budget.
    relay.backend(answers())
    relay.turn_store.reserve_result = BudgetSpent(95)
    assert relay.call("/talk/", program="p-1", budget="100", most="9")[0] == 402
    relay.turn_store.reserve_result = None
    reserved = len(relay.turn_store.reserved)
    assert relay.call("/tell/", "a-2", program="p-1", budget="100", most="9")[0] == 402
    assert len(relay.turn_store.reserved) == reserved


def test_call_without_retention_and_budget_asks_no_store(relay):
    relay.backend(lambda _b, received: received.connection.sendall(stream(received, event(1))))
    assert relay.call("/tell/", program="p-1", most="9")[0] == 200
    assert relay.turn_store.reserved == []


def test_tokens_count_by_the_service_that_ran_the_turn_although_it_was_dropped(relay):
    # A change of the document moves the route and drops the service while its stream runs. Each
    # event then counted as one token, and the program could use three times its budget.
    routes = tuple(
        dataclasses.replace(route, services=(WeightedService("desk", 1.0),)) for route in ROUTES
    )
    desk = Service("desk", engine=EngineProfile(6, 100_000, tokens_per_event=3))
    organisations = (RelayOrganisation("org-1", (KEY,)),)
    relay.state.table = RouteTable(RelayConfig(1, routes, (desk,), organisations=organisations))

    def drops_its_service(_backend, received):
        whole = stream(received, event(1), event(2))
        received.connection.sendall(whole[:-20])
        relay.state.table = RouteTable(RelayConfig(2, (), (), organisations=organisations))
        eventlet.sleep(0.05)
        received.connection.sendall(whole[-20:])

    relay.backend(drops_its_service)
    assert relay.call("/talk/", body=b"hello", budget="100", most="9")[2] == event(1) + event(2)
    assert relay.turn_store.persisted[-1][3] == 6
