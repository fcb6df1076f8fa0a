"""What programs still need, learnt from the turns that arrive."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from tarragonhall_decisions import ProgramSlack

RUN_S = 0.3
PAUSE_S = 0.1
FIRST_LENGTH = 1_000
GROWTH = 500


def play(slack: ProgramSlack, kind: str, name: str, turns: int, now: float = 0.0) -> None:
    """Let a program of a number of turns arrive and end."""
    for turn in range(turns):
        length = FIRST_LENGTH + GROWTH * turn
        counted = slack.turn_of(kind, name, turn == 0, length)
        left_s = 2.0 * turns * (RUN_S + PAUSE_S) - turn * (RUN_S + PAUSE_S)
        slack.arrived(kind, name, counted, length, left_s, now)
        slack.ended(kind, name, RUN_S, now + RUN_S)
        now += RUN_S + PAUSE_S


def learnt(turns: int, programs: int = 40) -> ProgramSlack:
    """Return what is learnt from programs of the same length."""
    slack = ProgramSlack()
    for number in range(programs):
        play(slack, "talk", f"program-{number}", turns, float(number))
    return slack


def test_rest_shrinks_with_each_turn():
    slack = learnt(11)
    rests = [slack.rest_s("talk", "other", turn) for turn in range(11)]
    assert rests == sorted(rests, reverse=True)
    assert abs(rests[0] - (11 * RUN_S + 10 * PAUSE_S)) < 0.1
    assert abs(rests[10] - RUN_S) < 0.01


def test_turns_of_a_program_seen_elsewhere_follow_from_its_history():
    # Turns of one program arrive at several entries. By the turns seen here alone, a program close
    # to its end would look new.
    slack = learnt(11)
    assert slack.turn_of("talk", "unknown", False, FIRST_LENGTH + 7 * GROWTH) == 7


def test_turns_that_went_to_other_entries_do_not_look_like_long_pauses():
    # Each entry sees every second turn of a program. Two runs and the pause between them would
    # count as one pause, and every program would look late.
    slack = ProgramSlack()
    for number in range(200):
        for turn in range(0, 11, 1 if number % 2 else 2):
            now = number + turn * (RUN_S + PAUSE_S)
            length = FIRST_LENGTH + GROWTH * turn
            counted = slack.turn_of("talk", f"program-{number}", turn == 0, length)
            slack.arrived("talk", f"program-{number}", counted, length, 8.8, now)
            slack.ended("talk", f"program-{number}", RUN_S, now + RUN_S)
    assert abs(slack._kind_by_name["talk"].growth.value - GROWTH) < 30
    assert abs(slack._kind_by_name["talk"].pause_s.value - PAUSE_S) < 0.03


def test_short_program_is_not_late_by_the_length_of_others():
    # Callers give a program time by what it has to do. By the mean length of its kind, every short
    # program would look late from its first turn on.
    slack = learnt(11)
    time_s = 2.0 * 2 * (RUN_S + PAUSE_S)
    assert slack.slack_s("talk", "short", 0, time_s) > 0.0
    slack.arrived("talk", "short", 0, FIRST_LENGTH, time_s, 99.0)
    slack.ended("talk", "short", RUN_S, 99.0 + RUN_S)
    assert slack.slack_s("talk", "short", 1, time_s - RUN_S - PAUSE_S) > 0.0


def test_time_that_a_turn_may_take_follows_from_the_programs_time():
    # Load: engines stretch every answer. Whether callers can bear it depends on their time.
    assert abs(learnt(11).allowed_s("talk") - (2.0 * 11 * 0.4 - 10 * PAUSE_S) / 11) < 0.02
    assert ProgramSlack().allowed_s("talk") is None


def test_programs_that_are_still_young_do_not_make_their_kind_look_short():
    # After a restart an entry sees first turns only, since no program has come further.
    slack = ProgramSlack()
    for number in range(100):
        slack.arrived("talk", f"program-{number}", 0, FIRST_LENGTH, 8.8, number / 50)
        slack.ended("talk", f"program-{number}", RUN_S, number / 50 + RUN_S)
    assert slack.slack_s("talk", "other", 3, 0.1) is None
    assert not slack.is_endless("talk", 12)


def test_nothing_is_assumed_before_programs_were_seen():
    # After a restart an entry knows no kinds. Assumed rests would put calls into wrong tiers.
    slack = ProgramSlack()
    play(slack, "talk", "program", 4)
    assert slack.slack_s("talk", "program", 0, 5.0) is None
    assert not slack.is_endless("talk", 60)


def test_program_beyond_the_usual_turns_is_endless():
    # Programs in a loop always have calls waiting, and their rest looks short by itself.
    slack = learnt(4)
    assert not slack.is_endless("talk", 8)
    assert slack.is_endless("talk", 20)


def test_memory_is_bounded():
    # Callers choose program ids.
    slack = ProgramSlack()
    for number in range(5_000):
        slack.arrived("talk", f"program-{number}", 0, 10, 5.0, float(number))
    assert len(slack._program_by_id) <= 2_048


@settings(max_examples=60, deadline=None)
@given(
    lengths=st.lists(st.integers(1, 30), min_size=10, max_size=60),
    left_s=st.floats(0.0, 60.0),
    more_s=st.floats(0.0, 60.0),
    turn=st.integers(0, 80),
)
def test_slack_grows_with_the_time_left(lengths, left_s, more_s, turn):
    """A rest is positive, and a program with more time never has less to spare."""
    slack = ProgramSlack()
    rng = random.Random(3)
    for number, turns in enumerate(lengths):
        play(slack, "talk", f"program-{number}", turns, 3.0 * number + rng.uniform(0.0, 9.0))
    play(slack, "talk", "last", 1, 99.0)
    turn = min(turn, slack.turn_of("talk", "other", False, FIRST_LENGTH + GROWTH * turn))
    assert slack.rest_s("talk", "other", turn) >= 0.0
    less, more = (slack.slack_s("talk", "other", turn, one) for one in (left_s, left_s + more_s))
    assert less <= more
