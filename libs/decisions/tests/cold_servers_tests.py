"""Limits for servers that have just started, over all entries together."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st
from tarragonhall_decisions import BackendChooser, CallRequirements, ColdServers
from tarragonhall_decisions._cold_servers import ASSUMED_COLD_S, VIEW_VALID_S
from tarragonhall_model import BackendRecord, EntryRecord

LIMIT = 32
COLD = BackendRecord("i-1", "models", "a:1", "tx-waco", 96, 1, 1, warmup_ms=60_000)


def entries(count: int) -> list[EntryRecord]:
    zones = ("tx-austin", "tx-waco", "tx-temple")
    return [EntryRecord(f"e-{n}", "1", f"a:{n}", zones[n % 3]) for n in range(count)]


def cold_servers(entry: EntryRecord, view: list[EntryRecord], at: float = 0.0) -> ColdServers:
    cold = ColdServers(entry.entry_id)
    cold.set_limits({"models": LIMIT})
    cold.on_view(view, at)
    cold.confirm(at)
    cold.on_announcement(COLD, at)
    return cold


def send_all(cold: ColdServers, now: float, limit: int = 100) -> int:
    """Send as many calls as the entry may at one moment."""
    sent = 0
    while sent < limit and cold.has_room(COLD, now):
        cold.started(COLD.server_id, now)
        sent += 1
    return sent


def test_all_entries_together_keep_to_the_limit():
    """Guards against a burst in which every entry chooses a fresh server because it is idle."""
    for count in (1, 2, 5, 25, 360):
        view = entries(count)
        all_cold = [cold_servers(entry, view) for entry in view]
        later = VIEW_VALID_S + 0.1
        for cold in all_cold:
            cold.confirm(later)
        sent = sum(send_all(cold, later) for cold in all_cold)
        assert LIMIT // 3 <= sent <= LIMIT, count


def test_a_sent_call_counts_for_a_second():
    view = entries(1)
    cold = cold_servers(view[0], view, -10.0)
    cold.confirm(0.0)
    first = send_all(cold, 0.0)
    assert first and not cold.has_room(COLD, 0.99)
    cold.confirm(1.1)
    assert cold.has_room(COLD, 1.1)


def test_an_entry_cut_off_from_control_sends_cold_servers_nothing():
    """Other entries may have its share meanwhile without its knowledge."""
    view = entries(2)
    cold = cold_servers(view[0], view, -10.0)
    cold.confirm(0.0)
    assert cold.has_room(COLD, VIEW_VALID_S - 0.01)
    assert not cold.has_room(COLD, VIEW_VALID_S + 0.01)


def test_entries_of_the_servers_own_zone_are_its_first_senders():
    """Calls stay in their zone; a sender in another zone would send its share across zones."""
    view = entries(30)
    senders = [one for one in view if cold_servers(one, view, -10.0).is_sender(COLD)]
    assert senders and all(one.availability_zone == "tx-waco" for one in senders)


def test_servers_that_are_warm_or_have_no_limit_are_not_limited():
    view = entries(3)
    cold = cold_servers(view[0], view, -10.0)
    warm = replace(COLD, server_id="i-2", warmup_ms=0)
    plain = replace(COLD, server_id="i-3", service="desk")
    for record in (warm, plain):
        cold.on_announcement(record, 0.0)
        for _ in range(3 * LIMIT):
            assert cold.has_room(record, 99.0)
            cold.started(record.server_id, 99.0)


def test_a_server_is_warm_once_its_warmup_is_over():
    """Entries are notified of changes alone: a server once cold would be avoided for good."""
    view = entries(1)
    cold = cold_servers(view[0], view)
    brief = replace(COLD, warmup_ms=3_000, sequence=2)
    cold.on_announcement(brief, 0.0)
    assert cold.is_cold(brief, 2.9)
    assert not cold.is_cold(brief, 3.1)
    # The same announcement through another control member, later, changes nothing.
    cold.on_announcement(brief, 2.5)
    assert not cold.is_cold(brief, 3.1)


def test_an_unreachable_server_counts_as_cold_when_it_returns():
    """It lost power and returns before its announcement; being idle, it would get every call."""
    view = entries(1)
    cold = cold_servers(view[0], view, -10.0)
    warm = replace(COLD, warmup_ms=0, sequence=2)
    cold.on_announcement(warm, 0.0)
    cold.assume_cold("i-1", 1.0)
    assert cold.is_cold(warm, 1.0 + ASSUMED_COLD_S - 0.1)
    cold.on_announcement(replace(warm, sequence=3), 1.2)
    assert not cold.is_cold(warm, 1.3)


def test_a_limit_too_small_for_all_entries_goes_to_a_few():
    """With shares below one call a second, the server would never be used."""
    view = entries(20)
    all_cold = [cold_servers(entry, view, -10.0) for entry in view]
    for cold in all_cold:
        cold.set_limits({"models": 2})
        cold.confirm(0.0)
    assert 1 <= sum(send_all(cold, 0.0) for cold in all_cold) <= 2


@dataclass(slots=True)
class _Entry:
    """One entry as the property test drives it: its knowledge and its state."""

    record: EntryRecord
    cold: ColdServers
    frozen: bool = False
    cut: bool = False
    sent_at: list[float] = field(default_factory=list)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "freeze", "wake", "stop", "start", "calm"]),
        st.integers(0, 11),
        st.floats(0.05, 1.2),
    ),
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(steps=STEPS, seed=st.integers(0, 1_000))
def test_no_second_exceeds_the_limit_whatever_happens_to_entries(steps, seed):
    """Entries stop, freeze, restart and are cut off while each sends all that it may."""
    rng = random.Random(seed)
    records = {one.entry_id: one for one in entries(12)}
    view = list(records.values())
    running = {name: _Entry(one, cold_servers(one, view, -10.0)) for name, one in records.items()}
    unreachable_since: dict[str, float] = {}
    sent: list[float] = []
    now = 0.0
    for action, number, pause_s in steps:
        name = f"e-{number}"
        one = running.get(name)
        if action == "start" and one is None:
            # It has no view yet; its stopped incarnation is still in the view.
            running[name] = _Entry(records[name], ColdServers(name))
            running[name].cold.set_limits({"models": LIMIT})
            running[name].cold.on_announcement(COLD, now)
            unreachable_since.pop(name, None)
        elif one is not None:
            if action == "stop":
                del running[name]
                unreachable_since[name] = now
            one.cut = {"cut": True, "heal": False}.get(action, one.cut)
            one.frozen = {"freeze": True, "wake": False}.get(action, one.frozen)
        end = now + pause_s
        while now < end:
            now += 0.1
            for each in running.values():
                if each.cut or each.frozen:
                    unreachable_since.setdefault(each.record.entry_id, now)
                else:
                    unreachable_since.pop(each.record.entry_id, None)
            # Control removes unreachable entries and notifies all that it reaches; nothing else is
            # shared.
            view = [
                one
                for entry_id, one in records.items()
                if now - unreachable_since.get(entry_id, now) <= 1.5
            ]
            for each in running.values():
                if each.cut or each.frozen:
                    continue
                if rng.random() < 0.7:
                    each.cold.on_view(view, now)
                    each.cold.confirm(now - 0.05)
            for each in running.values():
                if not each.frozen:
                    sent.extend([now] * send_all(each.cold, now))
    for at in sent:
        assert sum(1 for other in sent if at <= other < at + 1.0) <= LIMIT


def test_a_burst_beyond_the_limit_of_cold_servers_goes_to_the_others():
    """All engines of one zone return cold in the middle of a burst."""
    view = entries(3)
    cold = ColdServers("e-1")
    cold.set_limits({"models": LIMIT})
    cold.on_view(view, -10.0)
    cold.confirm(0.0)
    chooser = BackendChooser("tx-waco", random.Random(1), cold)
    others = [BackendRecord(f"w-{n}", "models", f"b:{n}", "tx-temple", 96, 1, 1) for n in range(2)]
    chooser.set_servers([COLD, *others], 0.0)
    for _ in range(120):
        record = chooser.choose(CallRequirements("models"), 0.5)
        assert record is not None
        chooser.started(record.server_id, 0.5)
    load = chooser.own_load()
    assert 0 < load["i-1"] <= LIMIT
    assert load["w-0"] + load["w-1"] == 120 - load["i-1"]
