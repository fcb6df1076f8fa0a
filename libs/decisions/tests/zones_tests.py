"""Zones that operators evacuate: nothing is sent there, and what returns is taken for cold."""

from __future__ import annotations

import random

from tarragonhall_decisions import BackendChooser, CallNeed, ColdServers
from tarragonhall_model import BackendRecord, EntryRecord

ZONES = ("tx-austin", "tx-waco", "tx-temple")
MODELS = CallNeed("models")


def servers(count: int = 6) -> list[BackendRecord]:
    return [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[n % 3], 96, 1, 1)
        for n in range(count)
    ]


def chooser(cold: ColdServers | None = None) -> BackendChooser:
    made = BackendChooser("tx-waco", random.Random(1), cold)
    made.set_servers(servers(), 0.0)
    return made


def zones_of(made: BackendChooser, calls: int = 60, now: float = 0.0) -> set[str]:
    chosen = set()
    for _ in range(calls):
        record = made.choose(MODELS, now)
        made.started(record.server_id, now)
        chosen.add(record.availability_zone)
    return chosen


def test_no_call_goes_to_an_evacuated_zone_even_the_own_one():
    made = chooser()
    made.set_evacuated(["tx-waco"], 0.0)
    assert zones_of(made) == {"tx-austin", "tx-temple"}
    made.set_evacuated(["tx-waco", "tx-temple"], 0.0)
    assert zones_of(made) == {"tx-austin"}


def test_a_server_that_registers_during_the_evacuation_gets_no_call():
    """A release goes on in the zone; its new servers are not known to the order."""
    made = chooser()
    made.set_evacuated(["tx-waco"], 0.0)
    fresh = BackendRecord("i-new", "models", "10.0.1.1:80", "tx-waco", 96, 2, 1)
    made.set_servers([*servers(), fresh], 0.0)
    assert zones_of(made) == {"tx-austin", "tx-temple"}


def test_a_service_whose_zones_are_all_evacuated_is_known_to_have_no_server():
    """Held until its deadline passes, a call would be refused too late for its caller."""
    made = chooser()
    made.set_evacuated(list(ZONES), 0.0)
    assert made.choose(MODELS, 0.0) is None
    assert made.is_evacuated("models")
    made.set_evacuated(["tx-waco"], 0.0)
    assert not made.is_evacuated("models")
    assert not made.is_evacuated("unknown")


def test_a_returned_zone_is_filled_by_the_bound_for_cold_servers():
    """Its servers turned cold shortly before and have not said so yet: a rush would break them."""
    cold = ColdServers("e-1")
    cold.set_limits({"models": 30})
    cold.on_view([EntryRecord("e-1", "1", "a", "tx-waco")], -5.0)
    cold.confirm(0.0)
    made = chooser(cold)
    made.set_evacuated(["tx-waco"], -10.0)
    made.set_evacuated([], 0.0)
    sent = 0
    while True:
        need = CallNeed("models", avoid=frozenset({"i-0", "i-2", "i-3", "i-5", "i-4"}))
        record = made.choose(need, 0.1)
        if record is None:
            break
        made.started(record.server_id, 0.1)
        sent += 1
    assert 0 < sent <= 30
