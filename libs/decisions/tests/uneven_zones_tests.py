"""Zones and entries that differ: waves at opposite phases, shares by cores, turns at any entry."""

from __future__ import annotations

import random

import pytest
from tarragonhall_decisions import BackendChooser, CallRequirements, LoadDigest, PromptPart
from tarragonhall_decisions._zone_exit import ZoneExit
from tarragonhall_model import BackendRecord, EntryRecord, LoadDetail, ZoneLoad

SUBJECT = PromptPart("subject", 2_560)
SERVERS = [
    BackendRecord(f"i-{zone}{n}", "models", f"10.0.0.{n}:80", f"zona-{zone}", 24, 1, 1)
    for zone in "ab"
    for n in range(6)
]


def make_chooser(zone: str = "zona-a", seed: int = 1, cores: float = 0.0) -> BackendChooser:
    chooser = BackendChooser(zone, random.Random(seed))
    chooser.uneven.paces.set_services({"models"})
    chooser.uneven.cores = cores
    chooser.set_servers(SERVERS, 0.0)
    return chooser


def loaded(calls_by_zone: dict[str, int]) -> dict[str, int]:
    return {one.server_id: calls_by_zone[one.availability_zone] for one in SERVERS}


def share_that_leaves(chooser: BackendChooser, start: float, end: float, load) -> float:
    """Return the share of the calls of `zona-a` that leave, 50 a second under `load(now)`."""
    left = []
    for step in range(int((end - start) * 50)):
        now = start + step / 50
        chooser.on_entry_load("e-2", loaded(load(now)), now)
        needs = CallRequirements("models", (SUBJECT, PromptPart(f"own-{now}", 500)), size=5_000)
        left.append(chooser.choose(needs, now).availability_zone != "zona-a")
    return sum(left) / len(left)


def test_two_zones_at_opposite_phases():
    # At the top of its wave a zone sends calls to the other one, and keeps them at the bottom.
    chooser = make_chooser()
    high = {"zona-a": 29, "zona-b": 4}
    low = {"zona-a": 4, "zona-b": 29}
    for wave in (0.0, 6.0):
        share_that_leaves(chooser, wave, wave + 1.0, lambda _now: high)
        assert share_that_leaves(chooser, wave + 1.0, wave + 3.0, lambda _now: high) > 0.5
        share_that_leaves(chooser, wave + 3.0, wave + 4.0, lambda _now: low)
        assert share_that_leaves(chooser, wave + 4.0, wave + 6.0, lambda _now: low) < 0.05


def test_a_queue_of_a_moment_does_not_make_calls_leave():
    chooser = make_chooser()
    share = share_that_leaves(
        chooser,
        0.0,
        2.0,
        lambda now: {"zona-a": 28 if 1.0 < now < 1.2 else 4, "zona-b": 4},
    )
    assert share < 0.05


def test_calls_leave_at_once_if_no_server_of_their_zone_accepts_them():
    assert ZoneExit().leaves(None, 200.0, 0.0)


def test_calls_stay_where_the_way_costs_more_than_the_wait():
    chooser = make_chooser()
    high = {"zona-a": 24, "zona-b": 4}
    chooser.way = type(chooser.way)(base_ms=400.0, ms_per_kb=0.0, max_ms=400.0)
    assert share_that_leaves(chooser, 0.0, 2.0, lambda _now: high) == 0.0


def test_a_program_stays_with_its_history_in_another_zone():
    # If it returned with each wave, its history would be read again in both zones.
    chooser = make_chooser()
    parts = (SUBJECT, PromptPart("talk", 3_000), PromptPart("new", 200))
    needs = CallRequirements("models", parts, last_server="i-b2", size=1_000)
    chooser.on_entry_load("e-2", loaded({"zona-a": 4, "zona-b": 6}), 0.0)
    assert all(chooser.choose(needs, 0.0).server_id == "i-b2" for _ in range(20))


def test_entries_of_three_sizes_take_slots_by_their_cores():
    # An equal share leaves slots free that small entries cannot use.
    cores = {"e-0": 0.3, "e-1": 0.7, "e-2": 1.0}
    for name, own in cores.items():
        chooser = make_chooser(cores=own)
        for other, its in cores.items():
            if other != name:
                detail = LoadDetail(capacity_by_zone={"zona-a": its})
                chooser.on_entry_load(other, {}, 0.0, detail=detail)
        assert chooser.uneven.entry_share() == pytest.approx(own / 2.0)


def test_entries_that_tell_no_capacity_count_as_equal():
    # They run an earlier version, or the news of their capacity was lost.
    chooser = make_chooser(cores=0.3)
    chooser.on_entry_load("e-1", {}, 0.0)
    chooser.on_entry_load("e-2", {}, 0.0)
    assert chooser.uneven.entry_share() == pytest.approx(1 / 3)


def turn(number: int, program: str) -> CallRequirements:
    """Return a turn whose caller sends the whole history, as a part that grows with each turn."""
    history = PromptPart(program, 900 * (number + 1))
    return CallRequirements("models", (SUBJECT, history), history_key=program)


def test_a_turn_at_another_entry_finds_the_engine_that_holds_its_history():
    # Each turn arrives at another entry. Without a common home each engine reads the history again.
    entries = [make_chooser(seed=seed) for seed in range(6)]
    found = 0
    for n in range(60):
        last = ""
        for number in range(4):
            chooser = entries[(n + number) % 6]
            server_id = chooser.choose(turn(number, f"p-{n}"), 0.0).server_id
            chooser.answered(server_id, turn(number, f"p-{n}"))
            found += server_id == last
            last = server_id
    assert found > 0.8 * 60 * 3


def test_a_slow_server_is_nobodys_home():
    # A server that hangs or crawls must not keep its programs.
    chooser = make_chooser()
    home = chooser.uneven.home_id(turn(1, "p-1"), chooser.known)
    for n in range(40):
        chooser.uneven.paces.on_gap("models", home, 1, 300.0, 0.02 * n)
    other = chooser.uneven.home_id(turn(1, "p-1"), chooser.known)
    assert other not in (None, home)
    chosen = [chooser.choose(turn(1, "p-1"), 0.8).server_id for _ in range(20)]
    assert home not in chosen


def test_an_entry_that_knows_the_history_does_not_look_for_it_at_the_home():
    chooser = make_chooser()
    home = chooser.uneven.home_id(turn(0, "p-1"), chooser.known)
    holder = next(one for one in SERVERS if one.server_id != home).server_id
    chooser.answered(holder, turn(0, "p-1"))
    chosen = {chooser.choose(turn(1, "p-1"), 0.0).server_id for _ in range(20)}
    assert chosen == {holder}


def test_a_frozen_collector_at_the_top_of_the_wave_does_not_hide_the_pace():
    # Its zone's second collector goes on sending the sums; without them, entries of other zones
    # would send their calls to servers that have just turned slow.
    records = [EntryRecord(f"e-{n}", "life", f"e-{n}:1", f"zona-{'ab'[n % 2]}") for n in range(20)]
    digest_by_id = {one.entry_id: LoadDigest(one) for one in records}
    for digest in digest_by_id.values():
        digest.on_view(records)
    collectors = [one for one in records if digest_by_id[one.entry_id].is_collector()]
    frozen = next(one for one in collectors if one.availability_zone == "zona-a")
    slow = LoadDetail(pace_sum_by_server={"i-a0": 10.0}, pace_weight_by_server={"i-a0": 40.0})
    chooser = make_chooser("zona-b")
    for now in (0.0, 0.6, 1.2):
        for one in records:
            if one.availability_zone != "zona-a":
                continue
            for sent in digest_by_id[one.entry_id].announce({}, detail=slow):
                digest_by_id[sent.address[:-2]].on_entry_load(sent.message, now)
        for one in collectors:
            if one is frozen or one.availability_zone != "zona-a":
                continue
            for sent in digest_by_id[one.entry_id].digests({}, now, detail=slow):
                if isinstance(sent.message, ZoneLoad):
                    digest_by_id[sent.address[:-2]].on_zone_load(sent.message, now)
        for one in collectors:
            if one.availability_zone == "zona-b":
                chooser.on_load_elsewhere(digest_by_id[one.entry_id].elsewhere({}, now), now)
                if chooser.uneven.paces.pace("i-a0") < 0.5:
                    return
    pytest.fail("the pace of the slow server did not arrive")


def test_a_shared_part_elsewhere_is_no_reason_to_leave_the_zone():
    # Servers of another zone hold the subject; if first calls went there, so would their programs.
    chooser = make_chooser()
    for n in range(4):
        chooser.answered(f"i-b{n}", CallRequirements("models", (SUBJECT,)))
    needs = CallRequirements("models", (SUBJECT, PromptPart("own", 500)), size=5_000)
    chosen = {chooser.choose(needs, 0.0).availability_zone for _ in range(40)}
    assert chosen == {"zona-a"}
