"""Zones that operators evacuate get no calls, and their servers count as cold when they return."""

from __future__ import annotations

import random

from tarragonhall_decisions import BackendChooser, CallRequirements, ColdServers
from tarragonhall_model import BackendRecord, EntryRecord

ZONES = ("tx-austin", "tx-waco", "tx-temple")
MODELS = CallRequirements("models")


def servers(count: int = 6) -> list[BackendRecord]:
    return [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[n % 3], 96, 1, 1)
        for n in range(count)
    ]


def make_chooser(cold: ColdServers | None = None) -> BackendChooser:
    chooser = BackendChooser("tx-waco", random.Random(1), cold)
    chooser.set_servers(servers(), 0.0)
    return chooser


def zones_of(chooser: BackendChooser, calls: int = 60, now: float = 0.0) -> set[str]:
    chosen = set()
    for _ in range(calls):
        record = chooser.choose(MODELS, now)
        chooser.started(record.server_id, now)
        chosen.add(record.availability_zone)
    return chosen


def test_no_call_goes_to_an_evacuated_zone_even_the_own_one():
    chooser = make_chooser()
    chooser.set_evacuated(["tx-waco"], 0.0)
    assert zones_of(chooser) == {"tx-austin", "tx-temple"}
    chooser.set_evacuated(["tx-waco", "tx-temple"], 0.0)
    assert zones_of(chooser) == {"tx-austin"}


def test_a_server_that_registers_during_the_evacuation_gets_no_call():
    """A release goes on in the zone; its new servers were not known when the zone was evacuated."""
    chooser = make_chooser()
    chooser.set_evacuated(["tx-waco"], 0.0)
    fresh = BackendRecord("i-new", "models", "10.0.1.1:80", "tx-waco", 96, 2, 1)
    chooser.set_servers([*servers(), fresh], 0.0)
    assert zones_of(chooser) == {"tx-austin", "tx-temple"}


def test_a_service_whose_zones_are_all_evacuated_has_no_server():
    """If the call waited until its deadline, its caller would be refused too late."""
    chooser = make_chooser()
    chooser.set_evacuated(list(ZONES), 0.0)
    assert chooser.choose(MODELS, 0.0) is None
    assert chooser.is_evacuated("models")
    chooser.set_evacuated(["tx-waco"], 0.0)
    assert not chooser.is_evacuated("models")
    assert not chooser.is_evacuated("unknown")


def test_a_returned_zone_is_filled_within_the_limit_for_cold_servers():
    """Its servers have just restarted, not announced it yet, and would crash under a burst."""
    cold = ColdServers("e-1")
    cold.set_limits({"models": 30})
    cold.on_view([EntryRecord("e-1", "1", "a", "tx-waco")], -5.0)
    cold.confirm(0.0)
    chooser = make_chooser(cold)
    chooser.set_evacuated(["tx-waco"], -10.0)
    chooser.set_evacuated([], 0.0)
    sent = 0
    while True:
        requirements = CallRequirements(
            "models", avoid=frozenset({"i-0", "i-2", "i-3", "i-5", "i-4"})
        )
        record = chooser.choose(requirements, 0.1)
        if record is None:
            break
        chooser.started(record.server_id, 0.1)
        sent += 1
    assert 0 < sent <= 30
