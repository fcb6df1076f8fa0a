"""Engines that differ in speed: shares by pace, noise, a server that turns slow, lagging news."""

from __future__ import annotations

import random

import pytest
from tarragonhall_decisions import BackendChooser, CallRequirements, PromptPart, ServerPaces
from tarragonhall_decisions._server_pace import MAX_TOLD
from tarragonhall_decisions._uneven_choice import UnevenChoice
from tarragonhall_model import LoadDetail
from uneven_load import BASE_MS, GAP_MS, UnevenLoad

SPEEDS = (0.6, 1.0, 1.6) * 4
# Calls a second that the engines of `SPEEDS` can read together.
CAPACITY_PER_S = sum(SPEEDS) * 40


def shares(load: UnevenLoad, result) -> dict[float, float]:
    """Return the share of the calls by speed."""
    by_speed = dict.fromkeys(SPEEDS, 0)
    for server_id, calls in result.calls.items():
        by_speed[load.engines[server_id].speed] += calls
    return {speed: calls / result.calls.total() for speed, calls in by_speed.items()}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("used", [0.4, 0.6, 0.75, 0.9])
def test_three_speeds_under_random_arrivals(used, seed):
    # With equal shares the slow engines build queues while the fast ones idle.
    today = UnevenLoad(SPEEDS, seed=seed, uneven=False).run(used * CAPACITY_PER_S, 12)
    load = UnevenLoad(SPEEDS, seed=seed)
    result = load.run(used * CAPACITY_PER_S, 12)
    assert result.quantile_ms(0.99, 2) < 0.75 * today.quantile_ms(0.99, 2)
    assert result.quantile_ms(0.5, 2) <= 1.01 * today.quantile_ms(0.5, 2)
    by_speed = shares(load, result)
    assert by_speed[1.6] > by_speed[1.0] > by_speed[0.6]


def test_a_draw_among_few_does_better_than_the_lowest_cost(monkeypatch):
    # Entries whose news are equally old all take the server with the lowest cost, and crowd it.
    ours = UnevenLoad(SPEEDS, entries=12).run(0.75 * CAPACITY_PER_S, 12)
    monkeypatch.setattr(
        UnevenChoice,
        "draw",
        lambda self, offers, *_rest: min(offers, key=lambda offer: offer.cost_ms).record,
    )
    lowest = UnevenLoad(SPEEDS, entries=12).run(0.75 * CAPACITY_PER_S, 12)
    assert ours.quantile_ms(0.99, 2) < 0.8 * lowest.quantile_ms(0.99, 2)


def test_the_pace_of_engines_is_learnt_by_all_entries():
    load = UnevenLoad(SPEEDS)
    result = load.run(0.4 * CAPACITY_PER_S, 10)
    for chooser in load.choosers:
        for server_id, engine in load.engines.items():
            if result.calls[server_id] < 40:
                continue
            assert 0.7 < chooser.uneven.paces.pace(server_id) / engine.speed < 1.35


def test_a_new_entry_knows_the_pace_of_all_servers_with_its_first_news():
    load = UnevenLoad(SPEEDS)
    load.run(0.4 * CAPACITY_PER_S, 10)
    new = BackendChooser("zona-a", random.Random(9))
    load.prepare(new)
    for n, chooser in enumerate(load.choosers):
        detail = LoadDetail()
        chooser.uneven.paces.report_load(detail, 10.0)
        new.on_entry_load(f"e-{n}", {}, 10.0, detail=detail)
    assert new.uneven.paces.pace("i-0") < 0.85 < 1.2 < new.uneven.paces.pace("i-2")


def probe(load: UnevenLoad, server_id: str, paces: list[tuple[float, float]]):
    """Return `speed_at` of the load, which also records the pace believed at each call."""
    usual = load.speed_at

    def speed_at(engine, now):
        paces.append((now, load.choosers[0].uneven.paces.pace(server_id)))
        return usual(engine, now)

    return speed_at


def test_a_moment_of_noise_does_not_make_a_slow_server():
    # An engine is 2.5 times slower for 0.6 s. If all entries left it, the others would be crowded.
    load = UnevenLoad((1.0,) * 9)
    load.speed_at = lambda engine, now: (
        0.4 if engine.record.server_id == "i-0" and 5.0 < now < 5.6 else 1.0
    )
    paces: list[tuple[float, float]] = []
    load.speed_at = probe(load, "i-0", paces)
    load.run(0.5 * 9 * 40, 12)
    assert min(pace for at, pace in paces if 5.0 < at < 9.0) > 0.6
    assert min(pace for at, pace in paces if at > 9.0) > 0.8


def test_a_server_that_turns_five_times_slower_loses_its_calls_and_gets_them_back():
    load = UnevenLoad((1.0,) * 9)
    calls_at: list[tuple[float, str]] = []

    def speed_at(engine, now):
        calls_at.append((now, engine.record.server_id))
        return 0.2 if engine.record.server_id == "i-0" and 5.0 < now < 10.0 else 1.0

    load.speed_at = speed_at
    load.run(0.5 * 9 * 40, 24)

    def share(start, end):
        servers = [server_id for at, server_id in calls_at if start <= at < end]
        return servers.count("i-0") / len(servers) * 9

    assert share(2.0, 5.0) > 0.6
    assert share(6.5, 10.0) < 0.3
    # It holds fewer prompts than the others by then, so it does not get a full share at once.
    assert share(16.0, 24.0) > max(0.3, 2 * share(6.5, 10.0))
    assert load.choosers[0].uneven.paces.pace("i-0") > 0.9


def test_news_that_is_lost_leaves_the_own_samples():
    # The link to the collector is cut for the whole run: each entry goes by what it saw itself.
    load = UnevenLoad(SPEEDS, entries=2)
    load.run(0.4 * CAPACITY_PER_S, 10, lost_news=lambda _now: True)
    for chooser in load.choosers:
        paces = [chooser.uneven.paces.pace(server_id) for server_id in load.engines]
        assert min(paces) < 0.8 < 1.25 < max(paces)


def test_own_samples_are_not_counted_twice():
    # A collector takes out what the entry told; what comes back is about the others only.
    paces = ServerPaces()
    paces.set_services({"models"})
    for n in range(10):
        paces.on_gap("models", "i-0", 1, 4 * GAP_MS, 0.01 * n)
    before = paces.pace("i-0")
    paces.report_load(LoadDetail(), 0.1)
    paces.set_others(LoadDetail())
    assert paces.pace("i-0") == pytest.approx(before, rel=0.05)


def test_a_server_without_calls_is_tried_again():
    # Its pace fades to the mean, or a server that has recovered would never be seen again.
    paces = ServerPaces()
    paces.set_services({"models"})
    for n in range(20):
        paces.on_first_event("models", "i-0", 0, 1, 10 * BASE_MS, 0.05 * n)
    assert paces.pace("i-0") < 0.5
    paces.report_load(LoadDetail(), 30.0)
    assert paces.pace("i-0") > 0.8


def test_nothing_is_learnt_or_told_for_even_services():
    load = UnevenLoad((0.6, 1.0, 1.6), uneven=False)
    load.run(50, 5)
    for chooser in load.choosers:
        detail = LoadDetail()
        chooser.uneven.paces.report_load(detail, 5.0)
        assert detail == LoadDetail()
        assert chooser.uneven.paces.pace("i-0") == 1.0


def test_a_change_is_reported_once():
    paces = ServerPaces()
    paces.set_services({"models"})
    for n in range(20):
        paces.on_gap("models", "i-0", 1, 6 * GAP_MS, 0.05 * n)
    assert [server_id for server_id, _, _ in paces.changes(1.0)] == ["i-0"]
    assert paces.changes(1.1) == []


def test_a_server_that_failed_is_avoided_while_others_work():
    # A draw at random must not reach a server that broke the last connection.
    load = UnevenLoad((1.0,) * 4, entries=1)
    chooser = load.choosers[0]
    chooser.failed("i-0", 1.0)
    chosen = [chooser.choose(CallRequirements("models"), 1.05).server_id for _ in range(200)]
    assert "i-0" not in chosen


def test_a_server_is_left_alone_only_while_there_are_others():
    # The only server may have recovered.
    load = UnevenLoad((1.0,), entries=1)
    load.choosers[0].failed("i-0", 1.0)
    assert load.choosers[0].choose(CallRequirements("models"), 1.05).server_id == "i-0"


def test_an_entry_with_few_calls_uses_open_connections():
    # A few calls a second spread over all servers would open a connection for nearly each.
    load = UnevenLoad((1.0,) * 8, entries=1)
    chooser = load.choosers[0]
    chooser.uneven.has_channel = {"i-1", "i-2"}.__contains__
    chosen = [chooser.choose(CallRequirements("models"), 0.0).server_id for _ in range(400)]
    assert sum(one in ("i-1", "i-2") for one in chosen) > 1.4 * 400 * 2 / 8
    assert len(set(chosen)) == 8


def test_what_an_entry_tells_is_bounded():
    # With thousands of servers, news of all of them would cost more than the calls.
    paces = ServerPaces()
    paces.set_services({"models"})
    for n in range(1_000):
        paces.on_gap("models", f"i-{n}", 1, GAP_MS, 0.0)
    detail = LoadDetail()
    paces.report_load(detail, 0.1)
    assert len(detail.pace_sum_by_server) == len(detail.pace_weight_by_server) == MAX_TOLD


def test_programs_short_of_time_get_the_fast_engines():
    # With the same choice for all, a program with seconds to spare takes a fast engine's slot.
    load = UnevenLoad(SPEEDS)
    load.run(0.5 * CAPACITY_PER_S, 8)
    chooser = load.choosers[0]

    def fast_share(slack_ms: float) -> float:
        needs = CallRequirements("models", (PromptPart("new", 500),), slack_ms=slack_ms)
        chosen = [chooser.choose(needs, 8.0).server_id for _ in range(600)]
        return sum(load.engines[one].speed > 1 for one in chosen) / 600

    assert fast_share(100.0) > 1.15 * fast_share(2_000.0)
