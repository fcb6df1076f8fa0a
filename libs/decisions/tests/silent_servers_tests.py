"""Servers and zones that take calls and answer none, as many entries see them."""

from __future__ import annotations

import random

from tarragonhall_decisions import BackendChooser, CallNeed, SilentServers
from tarragonhall_decisions._silent_servers import LOST_S, PRIOR_ANSWER_S, SILENT_MS
from tarragonhall_model import BackendRecord, LoadElsewhere, ServerSigns

ZONES = ("tx-austin", "tx-waco", "tx-temple")
LATE_S = 4 * PRIOR_ANSWER_S + 0.1


def servers(count: int = 6) -> list[BackendRecord]:
    return [
        BackendRecord(f"i-{n}", "models", f"a:{n}", ZONES[n % 3], 96, 1, 1) for n in range(count)
    ]


def silent_servers(count: int = 6) -> SilentServers:
    made = SilentServers()
    made.set_servers(servers(count))
    return made


def test_a_call_counts_once_it_is_late_and_for_a_while_after_its_caller_left():
    """A hung engine takes a stream; its caller leaves after seconds and the next would follow."""
    made = silent_servers()
    made.sent(servers()[0], "a", 0.0)
    assert made.costs(0.5) == {}
    assert made.costs(LATE_S) == {"i-0": SILENT_MS}
    made.left("i-0", "a", 2.0)
    assert made.costs(2.1) == {"i-0": SILENT_MS}
    assert made.costs(2.1 + LOST_S) == {}


def test_a_call_that_left_in_time_says_nothing():
    made = silent_servers()
    made.sent(servers()[0], "a", 0.0)
    made.left("i-0", "a", 0.3)
    assert made.costs(LATE_S) == {}


def test_a_server_that_answers_others_has_merely_lost_an_answer():
    """One answer in forty is lost on its way: shunned for it, every server would be."""
    made = silent_servers()
    made.sent(servers()[0], "lost", 0.0)
    for n in range(6):
        made.sent(servers()[0], f"a-{n}", LATE_S)
        made.answered("i-0", f"a-{n}", LATE_S + 0.1)
    assert made.costs(LATE_S + 0.2) == {}


def test_a_burst_that_makes_calls_wait_does_not_drive_them_from_their_engines():
    """Five of an engine's calls wait long in a burst while it answers twenty a second; calls that
    leave it are read again elsewhere, and everybody is later for it.
    """
    made = silent_servers(9)
    made.on_elsewhere({"i-0": 5, "i-3": 7, "i-1": 2}, {"i-0": 20, "i-3": 18, "i-1": 9})
    assert made.costs(0.0) == {}
    made.on_elsewhere({"i-0": 5}, {"i-0": 3})
    assert set(made.costs(0.0)) == {"i-0"}


def test_what_other_entries_lost_is_not_lost_again_here():
    """Twenty-five entries each lose a stream to one hung engine before each knows for itself."""
    made = BackendChooser("tx-austin", random.Random(1))
    made.set_servers(servers(), 0.0)
    made.answered("i-0", CallNeed("models"))
    signs = ServerSigns(silent_by_server={"i-0": 3}, answered_by_server={"i-3": 5})
    made.on_load_elsewhere(LoadElsewhere(24, {}, signs), 0.0)
    chosen = set()
    for _ in range(40):
        record = made.choose(CallNeed("models"), 0.1)
        made.started(record.server_id, 0.1)
        chosen.add(record.server_id)
    assert "i-0" not in chosen


def test_a_zone_without_power_is_left_after_its_first_silent_servers():
    """Its other servers have not been tried lately; each would cost a call to find out."""
    made = silent_servers(9)
    made.on_elsewhere({"i-1": 2, "i-4": 3}, {"i-0": 4, "i-2": 3})
    costs = made.costs(0.0)
    assert {"i-1", "i-4", "i-7"} <= set(costs)
    assert costs["i-7"] >= SILENT_MS
    assert not {"i-0", "i-2", "i-3"} & set(costs)


def test_one_hung_server_says_nothing_of_its_zone():
    made = silent_servers(9)
    made.on_elsewhere({"i-1": 5}, {"i-4": 2})
    assert set(made.costs(0.0)) == {"i-1"}


def test_a_service_that_is_slow_everywhere_has_no_silent_servers():
    """In an overload every answer takes a second; what is late is what is later than that."""
    made = silent_servers()
    for n in range(200):
        made.sent(servers()[n % 6], f"a-{n}", float(n))
        made.answered(f"i-{n % 6}", f"a-{n}", n + 1.0)
    made.sent(servers()[0], "b", 300.0)
    assert made.costs(302.0) == {}


def test_what_was_told_long_ago_counts_no_more():
    """Collectors fall silent themselves; a server that is well would stay shunned for good."""
    made = BackendChooser("tx-austin", random.Random(1))
    made.set_servers(servers(1), 0.0)
    signs = ServerSigns(silent_by_server={"i-0": 3})
    made.on_load_elsewhere(LoadElsewhere(24, {}, signs), 0.0)
    made.choose(CallNeed("models"), 0.1)
    assert made.silent.costs(0.1)
    made.choose(CallNeed("models"), 5.0)
    assert not made.silent.costs(5.0)
