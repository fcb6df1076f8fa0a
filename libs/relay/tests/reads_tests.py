"""From which stores previous turns are read, and in which order."""

from __future__ import annotations

import random
from types import SimpleNamespace

import eventlet
import pytest
from tarragonhall_model import RequestTimeoutError, TurnContent, TurnReserved, TurnsRead
from tarragonhall_relay._turn_histories import TurnHistories
from tarragonhall_relay._turn_store import TurnKey, TurnStoreClient, TurnStoreError
from tarragonhall_wire import make_metrics

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


def make_client(stores: ScriptedStores, histories=None) -> TurnStoreClient:
    context = SimpleNamespace(
        hub=stores,
        rng=random.Random(1),
        monotonic=lambda: 0.0,
        metrics=make_metrics(None, 0, "entry-1"),
    )
    return TurnStoreClient(context, lambda: STORES, histories)


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
    assert texts(client._read_history("org", ["t-1"], 4, 1.0)) == b"org."
    assert texts(client._read_history("other", ["t-1"], 12, 1.0)) == b"secretanswer"


def texts(turn_by_key) -> bytes:
    return b"".join(one.input + one.output for one in turn_by_key.values())


KEY = TurnKey("a-1", "org", "p", "t-1", None, 1, 60_000)


def reserved(*chain: str, size: int) -> TurnReserved:
    return TurnReserved(list(chain), "i-1", size)


def test_calls_that_continue_one_long_turn_hold_it_once():
    # Each call held a copy of the whole history: 250 calls with a body of 9 bytes took 500 MB.
    client = make_client(ScriptedStores({"near:1"}))
    long_turn = TurnContent("t-1", b"x" * 100_000, b"")
    client._cache_turn("org", long_turn)
    turns = [client._open_turn(KEY, reserved("t-1", size=100_000), 1.0) for _ in range(250)]
    assert all(turn.history[0] is long_turn.input for turn in turns)
    assert client._histories.held_bytes == 100_000
    for turn in turns:
        client.close(turn)
    assert client._histories.held_bytes == 0


def test_calls_that_continue_many_long_turns_are_refused_beyond_the_room():
    # Calls that wait for a server filled the memory with their histories.
    histories = TurnHistories(limit=250_000)
    client = make_client(ScriptedStores({"near:1"}), histories)
    open_turns = []
    for number in range(4):
        client._cache_turn("org", TurnContent(f"t-{number}", b"x" * 100_000, b""))
    for number in range(2):
        open_turns.append(client._open_turn(KEY, reserved(f"t-{number}", size=100_000), 1.0))
    with pytest.raises(TurnStoreError):
        client._open_turn(KEY, reserved("t-2", size=100_000), 1.0)
    client._open_turn(KEY, reserved("t-0", size=100_000), 1.0)
    client.close(open_turns[1])
    client._open_turn(KEY, reserved("t-3", size=100_000), 1.0)


def test_a_history_that_is_not_read_yet_is_refused_by_its_size():
    # What the stores send would fill the memory before anything could be counted.
    stores = ScriptedStores({"near:1"})
    client = make_client(stores, TurnHistories(limit=250_000))
    client._cache_turn("org", TurnContent("t-1", b"x" * 100_000, b""))
    held = client._open_turn(KEY, reserved("t-1", size=100_000), 1.0)
    with pytest.raises(TurnStoreError):
        client._open_turn(KEY, reserved("t-9", size=200_000), 1.0)
    assert stores.requested == []
    client.close(held)
    # Alone, a history of any size is read, and served.
    assert client._open_turn(KEY, reserved("t-9", size=900_000), 1.0).history == (b"org", b".")


def test_calls_that_need_the_same_turn_read_it_once():
    # Each of them asked the stores for the long turn at the same moment.
    class SlowStores(ScriptedStores):
        def link_to(self, address: str):
            eventlet.sleep(0.05)
            return super().link_to(address)

    stores = SlowStores({"near:1"})
    client = make_client(stores)
    reading = [
        eventlet.spawn(client._open_turn, KEY, reserved("t-1", size=4), 1.0) for _ in range(20)
    ]
    assert {turn.wait().history for turn in reading} == {(b"org", b".")}
    assert stores.requested == ["near:1"]
