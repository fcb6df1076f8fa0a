"""Unresponsive servers and zones, which accept calls and do not answer, seen by many entries."""

from __future__ import annotations

import random

from tarragonhall_decisions import BackendChooser, CallRequirements, UnresponsiveServers
from tarragonhall_decisions._unresponsive_servers import (
    INITIAL_ANSWER_S,
    LOST_CALL_VALID_S,
    UNRESPONSIVE_MS,
)
from tarragonhall_model import BackendRecord, LoadElsewhere, ServerSigns

ZONES = ("tx-austin", "tx-waco", "tx-temple")
LATE_S = 4 * INITIAL_ANSWER_S + 0.1


def servers(count: int = 6) -> list[BackendRecord]:
    return [
        BackendRecord(f"i-{n}", "models", f"a:{n}", ZONES[n % 3], 96, 1, 1) for n in range(count)
    ]


def unresponsive_servers(count: int = 6) -> UnresponsiveServers:
    tracker = UnresponsiveServers()
    tracker.set_servers(servers(count))
    return tracker


def test_an_overdue_call_counts_and_for_a_while_after_its_caller_left():
    """A hung engine accepts a stream; once its caller has left, the next would go there too."""
    tracker = unresponsive_servers()
    tracker.sent(servers()[0], "a", 0.0)
    assert tracker.costs(0.5) == {}
    assert tracker.costs(LATE_S) == {"i-0": UNRESPONSIVE_MS}
    tracker.on_left("i-0", "a", 2.0)
    assert tracker.costs(2.1) == {"i-0": UNRESPONSIVE_MS}
    assert tracker.costs(2.1 + LOST_CALL_VALID_S) == {}


def test_a_call_that_left_in_time_does_not_count():
    tracker = unresponsive_servers()
    tracker.sent(servers()[0], "a", 0.0)
    tracker.on_left("i-0", "a", 0.3)
    assert tracker.costs(LATE_S) == {}


def test_a_server_that_answers_other_calls_is_not_unresponsive():
    """One answer in forty is lost on the network; every server would be avoided for it."""
    tracker = unresponsive_servers()
    tracker.sent(servers()[0], "lost", 0.0)
    for n in range(6):
        tracker.sent(servers()[0], f"a-{n}", LATE_S)
        tracker.answered("i-0", f"a-{n}", LATE_S + 0.1)
    assert tracker.costs(LATE_S + 0.2) == {}


def test_a_burst_that_makes_calls_wait_does_not_move_them_to_other_engines():
    """Five of an engine's calls wait long in a burst while it answers twenty a second. Calls that
    moved elsewhere would be read again there, which delays all of them.
    """
    tracker = unresponsive_servers(9)
    tracker.set_other_counts({"i-0": 5, "i-3": 7, "i-1": 2}, {"i-0": 20, "i-3": 18, "i-1": 9})
    assert tracker.costs(0.0) == {}
    tracker.set_other_counts({"i-0": 5}, {"i-0": 3})
    assert set(tracker.costs(0.0)) == {"i-0"}


def test_overdue_calls_of_other_entries_count_here():
    """Guards against 25 entries that each lose a stream to a hung engine before detecting it."""
    chooser = BackendChooser("tx-austin", random.Random(1))
    chooser.set_servers(servers(), 0.0)
    chooser.answered("i-0", CallRequirements("models"))
    signs = ServerSigns(silent_by_server={"i-0": 3}, answered_by_server={"i-3": 5})
    chooser.on_load_elsewhere(LoadElsewhere(24, {}, signs), 0.0)
    chosen = set()
    for _ in range(40):
        record = chooser.choose(CallRequirements("models"), 0.1)
        chooser.started(record.server_id, 0.1)
        chosen.add(record.server_id)
    assert "i-0" not in chosen


def test_a_zone_without_power_is_avoided_after_its_first_unresponsive_servers():
    """Its other servers have had no recent calls; each would lose a call before it is detected."""
    tracker = unresponsive_servers(9)
    tracker.set_other_counts({"i-1": 2, "i-4": 3}, {"i-0": 4, "i-2": 3})
    costs = tracker.costs(0.0)
    assert {"i-1", "i-4", "i-7"} <= set(costs)
    assert costs["i-7"] >= UNRESPONSIVE_MS
    assert not {"i-0", "i-2", "i-3"} & set(costs)


def test_one_hung_server_does_not_count_against_its_zone():
    tracker = unresponsive_servers(9)
    tracker.set_other_counts({"i-1": 5}, {"i-4": 2})
    assert set(tracker.costs(0.0)) == {"i-1"}


def test_a_service_that_is_slow_everywhere_has_no_unresponsive_servers():
    """In an overload every answer takes a second; only calls that take much longer are overdue."""
    tracker = unresponsive_servers()
    for n in range(200):
        tracker.sent(servers()[n % 6], f"a-{n}", float(n))
        tracker.answered(f"i-{n % 6}", f"a-{n}", n + 1.0)
    tracker.sent(servers()[0], "b", 300.0)
    assert tracker.costs(302.0) == {}


def test_old_reports_do_not_count():
    """Collectors may stop sending; a recovered server must not be avoided for good."""
    chooser = BackendChooser("tx-austin", random.Random(1))
    chooser.set_servers(servers(1), 0.0)
    signs = ServerSigns(silent_by_server={"i-0": 3})
    chooser.on_load_elsewhere(LoadElsewhere(24, {}, signs), 0.0)
    chooser.choose(CallRequirements("models"), 0.1)
    assert chooser.unresponsive.costs(0.1)
    chooser.choose(CallRequirements("models"), 5.0)
    assert not chooser.unresponsive.costs(5.0)
