"""Which stores are asked for the turns before, and in which order."""

from __future__ import annotations

import random
from types import SimpleNamespace

from tarragonhall_model import RequestTimeoutError, TurnContent, TurnsRead
from tarragonhall_relay._turn_store import TurnStoreClient

STORES = ["near:1", "far:1", "standby:1"]


class Stores:
    """Stores that hold turns, hold none, or answer nothing."""

    def __init__(self, holding: set[str], silent: frozenset[str] = frozenset()) -> None:
        self.holding = holding
        self.silent = silent
        self.asked: list[str] = []

    def link_to(self, address: str):
        def request(message, _timeout_s) -> TurnsRead:
            self.asked.append(address)
            if address in self.silent:
                raise RequestTimeoutError("no reply")
            held = message.turn_ids if address in self.holding else []
            return TurnsRead([TurnContent(one, b"in", b"out") for one in held])

        return SimpleNamespace(request=request)


def turns(stores: Stores) -> TurnStoreClient:
    context = SimpleNamespace(hub=stores, rng=random.Random(1), monotonic=lambda: 0.0)
    return TurnStoreClient(context, lambda: STORES)


def test_a_store_that_does_not_answer_is_asked_last_from_then_on():
    # The nearest store has lost its power and its connection stays open without a word. Each turn
    # that is continued elsewhere would wait for it before it asks the next one.
    stores = Stores({"near:1", "far:1"}, frozenset({"near:1"}))
    made = turns(stores)
    assert [one.turn_id for one in made._fetch(["t-1"], 1.0)] == ["t-1"]
    stores.asked.clear()
    made._fetch(["t-2"], 1.0)
    assert stores.asked == ["far:1"]


def test_a_store_that_only_stands_by_costs_no_round_trip_each_time():
    stores = Stores({"far:1"})
    made = turns(stores)
    made._fetch(["t-1"], 1.0)
    stores.asked.clear()
    made._fetch(["t-2"], 1.0)
    assert stores.asked == ["far:1"]


def test_a_store_that_holds_turns_again_is_asked_again():
    # It was restarted and has caught up; the others are gone.
    stores = Stores({"far:1"})
    made = turns(stores)
    made._fetch(["t-1"], 1.0)
    stores.holding = {"near:1"}
    assert [one.turn_id for one in made._fetch(["t-2"], 1.0)] == ["t-2"]
