"""From which stores previous turns are read, and in which order."""

from __future__ import annotations

import random
from types import SimpleNamespace

from tarragonhall_model import RequestTimeoutError, TurnContent, TurnsRead
from tarragonhall_relay._turn_store import TurnStoreClient

STORES = ["near:1", "far:1", "standby:1"]


class ScriptedStores:
    """Stores that hold turns, hold none, or do not reply."""

    def __init__(self, holding: set[str], unresponsive: frozenset[str] = frozenset()) -> None:
        self.holding = holding
        self.unresponsive = unresponsive
        self.requested: list[str] = []

    def link_to(self, address: str):
        def request(message, _timeout_s) -> TurnsRead:
            self.requested.append(address)
            if address in self.unresponsive:
                raise RequestTimeoutError("no reply")
            held = message.turn_ids if address in self.holding else []
            text = message.org_id.encode()
            return TurnsRead([TurnContent(one, text, b".") for one in held])

        return SimpleNamespace(request=request)


def make_client(stores: ScriptedStores) -> TurnStoreClient:
    context = SimpleNamespace(hub=stores, rng=random.Random(1), monotonic=lambda: 0.0)
    return TurnStoreClient(context, lambda: STORES)


def test_store_that_does_not_reply_is_tried_last_afterwards():
    # The nearest store has lost power, and its connection stays open but idle. Each turn whose
    # history is not cached would wait for it before the next store is tried.
    stores = ScriptedStores({"near:1", "far:1"}, frozenset({"near:1"}))
    client = make_client(stores)
    assert [one.turn_id for one in client._fetch("org", ["t-1"], 1.0)] == ["t-1"]
    stores.requested.clear()
    client._fetch("org", ["t-2"], 1.0)
    assert stores.requested == ["far:1"]


def test_standby_store_is_not_tried_first_again():
    stores = ScriptedStores({"far:1"})
    client = make_client(stores)
    client._fetch("org", ["t-1"], 1.0)
    stores.requested.clear()
    client._fetch("org", ["t-2"], 1.0)
    assert stores.requested == ["far:1"]


def test_store_that_has_recovered_is_used_again():
    # The store was restarted and has caught up; the other one has lost its turns.
    stores = ScriptedStores({"far:1"})
    client = make_client(stores)
    client._fetch("org", ["t-1"], 1.0)
    stores.holding = {"near:1"}
    assert [one.turn_id for one in client._fetch("org", ["t-2"], 1.0)] == ["t-2"]


def test_a_cached_turn_of_another_organisation_is_never_its_history():
    # Two organisations used one id. The entry of the second one gave its text to the first one's
    # next prompt.
    stores = ScriptedStores({"near:1"})
    client = make_client(stores)
    client._cache_turn("other", TurnContent("t-1", b"secret", b"answer"))
    assert client._read_history("org", ["t-1"], 1.0) == b"org."
    assert client._read_history("other", ["t-1"], 1.0) == b"secretanswer"
