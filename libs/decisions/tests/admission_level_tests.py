"""Starts of programs under crowds, hot organisations and lost news."""

from __future__ import annotations

import random

import pytest
from crowd_load import CALM, TARGET_S, TICK_S, URGENT, Crowd
from hypothesis import given, settings
from hypothesis import strategies as st
from tarragonhall_decisions import AdmissionLevel, ClassLoad, ServiceLoad

# Programs a second that use two thirds of the 40 slots.
USUAL = {("org-1", URGENT): 5.0, ("org-2", URGENT): 5.0, ("org-1", CALM): 2.5, ("org-2", CALM): 2.5}


def crowd_of(multiple: float, kind: int = CALM, begin: float = 4.0, end: float = 10.0):
    """Return a load in which one kind comes at a multiple of its usual for a while."""

    def rates(now: float):
        if not begin <= now < end:
            return USUAL
        return {key: per_s * (multiple if key[1] == kind else 1.0) for key, per_s in USUAL.items()}

    return rates


def urgent_share(crowd: Crowd) -> float:
    """Return the share of the urgent programs that ended in time, after the end of the load."""
    crowd.end()
    keys = [key for key in USUAL if key[1] == URGENT]
    return sum(crowd.in_time[key] for key in keys) / sum(crowd.offered[key] for key in keys)


@pytest.mark.parametrize("multiple", [2.0, 3.0, 4.0])
def test_crowd_of_the_least_urgent_leaves_the_urgent_served(multiple):
    """Load: the least urgent kind at 2, 3 and 4 times its usual for 6 s. In order of arrival, or
    with started programs first, the crowd fills the servers for the length of its runs.
    """
    calm = Crowd()
    calm.run(16.0, lambda _now: USUAL)
    crowded = Crowd()
    crowded.run(16.0, crowd_of(multiple))
    assert urgent_share(crowded) >= urgent_share(calm) - 0.05


def test_burst_of_the_most_urgent_after_a_crowd_finds_room():
    """Load: the least urgent kind at 3 times its usual for 6 s, then the most urgent at twice."""
    crowd = Crowd()
    least, most = crowd_of(3.0), crowd_of(2.0, URGENT, 10.0, 13.0)
    crowd.run(18.0, lambda now: least(now) if now < 10.0 else most(now))
    assert urgent_share(crowd) >= 0.9


def test_least_urgent_programs_that_start_still_end_in_time():
    """Load: the least urgent kind at 3 times its usual. If more start than fit, all are late."""
    crowd = Crowd()
    crowd.run(16.0, crowd_of(3.0))
    crowd.end()
    kinds = [key for key in USUAL if key[1] == CALM]
    started = sum(crowd.offered[key] - crowd.refused[key] for key in kinds)
    assert sum(crowd.in_time[key] for key in kinds) >= 0.5 * started


def test_organisation_at_ten_times_its_usual_takes_only_what_others_leave():
    """Load: one of eight organisations at ten times its usual for 8 s. Its calls would take turns
    with those of the others, and each of these would wait longer.
    """
    usual = {(f"org-{number}", CALM): 0.5 for number in range(8)}
    usual |= {(f"org-{number}", URGENT): 1.0 for number in range(8)}

    def hot(now: float):
        return {
            key: per_s * (10.0 if key[0] == "org-0" and 4.0 <= now < 12.0 else 1.0)
            for key, per_s in usual.items()
        }

    before, beside = Crowd(), Crowd()
    before.run(14.0, lambda _now: usual)
    beside.run(14.0, hot)
    others = [key[0] for key in usual if key[0] != "org-0"]
    wait_before = sum(before.mean_wait_s(org) for org in others) / len(others)
    wait_beside = sum(beside.mean_wait_s(org) for org in others) / len(others)
    # A tenth of the time that a turn takes.
    assert wait_beside <= wait_before + 0.03
    refused = {org: sum(beside.refused[org, kind] for kind in (URGENT, CALM)) for org in others}
    assert beside.refused["org-0", CALM] > max(refused.values())


def test_step_of_load_settles_within_two_seconds_and_does_not_swing():
    """Load: the least urgent kind at 4 times its usual from one moment on, without an end. A level
    that follows waits too fast would admit and refuse everybody in turn.
    """
    crowd = Crowd()
    crowd.run(20.0, crowd_of(4.0, begin=4.0, end=99.0))
    settled = crowd.levels[round(8.0 / TICK_S) :]
    jumps = sum(
        1 for before, after in zip(settled, settled[20:], strict=False) if abs(after - before) > 0.7
    )
    assert jumps <= 0.05 * len(settled)


def test_entry_without_news_goes_on_by_its_own_calls():
    """Failure: one of four entries hears nothing of the others for the length of a crowd."""
    crowd = Crowd()
    crowd.entries[0].is_cut_off = True
    crowd.run(16.0, crowd_of(3.0))
    assert urgent_share(crowd) >= 0.9


def test_single_entry_decides_alone():
    """Failure: all other entries are gone, so that there are no news at all."""
    crowd = Crowd(entries=1)
    crowd.run(16.0, crowd_of(3.0))
    assert urgent_share(crowd) >= 0.9


def test_lost_news_change_little():
    """Failure: all load messages are lost for two seconds in the middle of a crowd."""
    crowd = Crowd()
    load = crowd_of(3.0)
    crowd.run(6.0, load)
    for entry in crowd.entries:
        entry.is_cut_off = True
    crowd.run(2.0, load)
    for entry in crowd.entries:
        entry.is_cut_off = False
    crowd.run(8.0, load)
    assert urgent_share(crowd) >= 0.9


def test_third_of_the_entries_gone_in_a_crowd():
    """Failure: two of six entries stop at once; their calls must not count for ever."""
    crowd = Crowd(entries=6)
    load = crowd_of(3.0)
    crowd.run(6.0, load)
    for entry in crowd.entries[:2]:
        entry.gone = True
    crowd.run(10.0, load)
    assert urgent_share(crowd) >= 0.9


def level_at(height: float) -> AdmissionLevel:
    """Return a level at some height, for two classes and many slots."""
    level = AdmissionLevel(random.Random(5))
    load = ServiceLoad(
        1_000, {one: ClassLoad(TARGET_S, TARGET_S, running=10) for one in (URGENT, CALM)}
    )
    level.step(load, [URGENT, CALM], 0.3, 0.0)
    level.level = height
    return level


def refused_share(level: AdmissionLevel, urgency: int, excess: float, waited: bool) -> float:
    hits = [level.refuse_start(urgency, excess, waited) is not None for _ in range(1_000)]
    return sum(hits) / len(hits)


def test_programs_that_come_back_are_admitted_before_those_that_come_first():
    """Load: starts were refused, and their callers return among newer ones."""
    level = level_at(1.0)
    first = refused_share(level, CALM, 0.0, False)
    assert 0.6 < first < 0.8
    assert refused_share(level, CALM, 0.0, True) < first - 0.1


def test_excess_is_refused_before_any_class_and_the_most_urgent_never_without_it():
    """Load: one organisation far beyond its fair part, beside usual callers of both classes."""
    level = level_at(0.3)
    assert refused_share(level, URGENT, 5.0, False) == 1.0
    assert refused_share(level, CALM, 1.0, False) == 0.0
    level = level_at(9.0)
    assert refused_share(level, CALM, 1.0, False) == 1.0
    assert refused_share(level, URGENT, 1.0, False) == 0.0


def test_stretched_answers_raise_the_level_and_a_crowd_does_not_become_the_usual():
    """Load: engines accept all calls of a crowd and stretch answers to three times their usual."""
    level = AdmissionLevel(random.Random(5))

    def play(first_step: int, steps: int, mean_s: float) -> None:
        for step in range(first_step, first_step + steps):
            load = ServiceLoad(1_000)
            for urgency in (URGENT, CALM):
                load.class_by_urgency[urgency] = ClassLoad(
                    0.0, TARGET_S, 0, round(100 * mean_s), ended=100, taken_s=100 * mean_s
                )
            level.step(load, [URGENT, CALM], 0.3, 0.1 * step)

    play(0, 50, 0.3)
    assert level.level == 0.0
    play(50, 20, 0.9)
    assert refused_share(level, CALM, 0.0, False) == 1.0
    play(70, 80, 0.9)
    assert refused_share(level, CALM, 0.0, False) == 1.0
    play(150, 30, 0.3)
    assert level.level == 0.0


def test_few_slow_calls_do_not_raise_the_level():
    """Failure: a server hangs, and the few calls of a quiet service that end were those on it."""
    level = AdmissionLevel(random.Random(5))
    for step in range(40):
        taken_s = 1.2 if step < 20 else 12.0
        load = ServiceLoad(1_000, {URGENT: ClassLoad(0.3, TARGET_S, ended=4, taken_s=taken_s)})
        level.step(load, [URGENT, CALM], 0.3, 0.1 * step)
    assert level.level == 0.0


def test_retry_times_are_spread_and_within_the_time_that_the_level_falls():
    """Load: many starts refused at the same moment. Told one time, they would return together."""
    level = level_at(1.0)
    refused = [level.refuse_start(CALM, 5.0, False) for _ in range(200)]
    times = [one.retry_s for one in refused if one is not None]
    assert max(times) - min(times) > 0.5
    assert max(times) < 4.0


def test_entry_that_was_frozen_does_not_jump():
    """Failure: an entry freezes for ten seconds in a crowd, and goes on with its last news."""
    level = level_at(0.0)
    means = [(0.1 * step, TARGET_S) for step in range(1, 15)]
    for now, mean_s in [*means, (11.4, 4.0 * TARGET_S)]:
        one = ClassLoad(TARGET_S, TARGET_S, running=1, ended=10, taken_s=10 * mean_s)
        level.step(ServiceLoad(1_000, {URGENT: one}), [URGENT, CALM], 0.3, now)
    assert 0.0 < level.level <= 0.6


def test_room_of_a_recent_urgent_peak_stays_free():
    """Load: the most urgent kind used 30 of 40 slots, and the least urgent comes before it does so
    again. Its programs would hold the slots for the length of their runs.
    """
    level = AdmissionLevel(random.Random(5))
    peak = ServiceLoad(40, {URGENT: ClassLoad(TARGET_S, TARGET_S, running=30)})
    level.step(peak, [URGENT, CALM], 0.3, 0.0)
    later = ServiceLoad(
        40,
        {
            URGENT: ClassLoad(TARGET_S, TARGET_S, running=2),
            CALM: ClassLoad(TARGET_S, TARGET_S, running=25),
        },
    )
    level.step(later, [URGENT, CALM], 0.3, 1.0)
    assert level.refuse_start(CALM, 0.0, False).reason == "reserve"
    assert level.refuse_start(URGENT, 0.0, False) is None
    level.step(later, [URGENT, CALM], 0.3, 40.0)
    assert level.refuse_start(CALM, 0.0, False) is None


NEWS = st.lists(
    st.tuples(
        st.integers(0, 60),
        st.integers(0, 60),
        st.integers(0, 60),
        st.floats(0.0, 3.0),
        st.floats(0, 9),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(news=NEWS, waited=st.booleans())
def test_any_news_leave_the_level_in_its_range_and_the_most_urgent_admitted(news, waited):
    """Failure: news are late, lost or contradict each other. A level out of its range would refuse
    for minutes, and a refusal without a time would bring callers back at once.
    """
    level = AdmissionLevel(random.Random(5))
    now = 0.0
    for waiting, running, ended, mean_s, gap_s in news:
        now += gap_s
        one = ClassLoad(0.0, TARGET_S, waiting, running, ended, ended * mean_s)
        level.step(ServiceLoad(40, {URGENT: one, CALM: one}), [URGENT, CALM], 0.3, now)
        assert 0.0 <= level.level <= 1.3
        assert level.refuse_start(URGENT, 0.0, waited) is None
        refused = level.refuse_start(CALM, 3.0, waited)
        assert refused is None or 0.3 <= refused.retry_s <= 60.0


def test_where_only_organisations_differ_the_less_urgent_are_refused():
    """Load: a crowd of an organisation of low priority on the only kind of programs."""
    level = AdmissionLevel(random.Random(5))
    load = ServiceLoad(1_000, {one: ClassLoad(0.0, TARGET_S) for one in (1, 4)})
    level.step(load, [1, 4], 0.3, 0.0)
    level.level = 9.0
    assert refused_share(level, 4, 0.0, False) == 1.0
    assert refused_share(level, 1, 0.0, False) == 0.0
