"""Streams and turns while servers and stores misbehave, judged by what callers see."""

from __future__ import annotations

import pytest
from relay_stand_ins import answers, event, parse, read_all, refuses, request, stream, until
from tarragonhall_model import (
    BudgetSpent,
    UnknownTurn,
)
from tarragonhall_relay._turn_store import TurnStoreError


def test_a_stream_is_passed_on_event_by_event_and_kept_before_it_ends(relay):
    # The caller continues the conversation as soon as it has seen the end. Were the end to go out
    # before the turn is kept, the next turn would be told that there is no such turn.
    seen = []

    def talks(_backend, arrived):
        arrived.connection.sendall(stream(arrived, event(1, "good"), event(2, "day")))

    relay.backend(talks)
    relay.turns.history = b"before;"
    connection = relay.connect()
    relay.turns.on_persist = lambda: seen.append(connection.recv(65_536))
    connection.sendall(request("/talk/", body=b"hello"))
    rest = read_all(connection)
    status, _headers, body = parse(seen[0] + rest)
    assert (status, body) == (200, event(1, "good") + event(2, "day"))
    assert b"0\r\n\r\n" not in seen[0]
    assert relay.turns.persisted == [("a-1", b"hello", b"good\nday\n", 2, "i-0")]
    assert relay.backends[0].arrived[0].body == b"before;hello"


@pytest.mark.parametrize(
    "events",
    [
        (event(1), event(3)),
        (event(1), event(1)),
        (event(2), event(1)),
        (event(1), b"id: 2\ndata: cu"),
    ],
)
def test_a_stream_with_a_gap_or_a_cut_event_does_not_look_complete(relay, events):
    # A piece is missing, comes twice or is cut, and the server ends the stream as if all was well.
    def skips(_backend, arrived):
        arrived.connection.sendall(stream(arrived, *events))

    relay.backend(skips)
    assert relay.call("/talk/", body=b"hello")[2] is None
    assert relay.turns.persisted == []


def test_a_stream_that_breaks_off_does_not_look_complete_and_counts_what_went_out(relay):
    def crashes(_backend, arrived):
        arrived.connection.sendall(stream(arrived, event(1), event(2), end=False))
        return "close"

    relay.backend(crashes)
    assert relay.call("/talk/", body=b"hello", budget="100", most="9")[2] is None
    until(lambda: relay.turns.released == [("a-1", 2)])


def test_a_turn_that_could_not_be_kept_does_not_look_complete(relay):
    relay.turns.fail_persist = True
    relay.backend(lambda _b, arrived: arrived.connection.sendall(stream(arrived, event(1))))
    assert relay.call("/talk/", body=b"hello")[2] is None


def test_a_spent_budget_an_unknown_turn_and_silent_stores_run_nothing(relay):
    backend = relay.backend(answers())
    relay.turns.answer = BudgetSpent()
    assert relay.call("/talk/", budget="9", most="10")[0] == 402
    relay.turns.answer = UnknownTurn()
    assert relay.call("/talk/", previous="x")[0] == 404
    relay.turns.answer = TurnStoreError("no leader")
    status, headers, _body = relay.call("/talk/", previous="x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert backend.arrived == []


def test_a_turn_that_every_server_refused_frees_its_tokens(relay):
    relay.backend(refuses)
    assert relay.call("/talk/", budget="9", most="5")[0] == 503
    assert relay.turns.released == [("a-1", 0)]
