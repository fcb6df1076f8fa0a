"""Programs that go on after their budget is spent."""

from __future__ import annotations

from tarragonhall_decisions import SpentPrograms
from tarragonhall_decisions._spent_programs import MOST_PROGRAMS

KEEP_S = 60.0


def spent(tokens: int = 950) -> SpentPrograms:
    made = SpentPrograms()
    made.note("shop", "p-1", tokens, KEEP_S, 0.0)
    return made


def test_a_turn_that_cannot_fit_is_refused_without_the_stores():
    # Guards against a program that loops and takes the tokens of its organisation's rate.
    made = spent()
    assert made.refuses("shop", "p-1", budget=1_000, most=100, now=1.0)
    assert not made.refuses("shop", "p-1", budget=1_000, most=50, now=1.0)


def test_other_programs_and_other_organisations_are_not_refused():
    # Guards against a wrong 402, which ends a program for good.
    made = spent()
    assert not made.refuses("shop", "p-2", budget=1_000, most=100, now=1.0)
    assert not made.refuses("school", "p-1", budget=1_000, most=100, now=1.0)


def test_what_was_heard_late_does_not_lower_what_is_known():
    made = spent(950)
    made.note("shop", "p-1", 700, KEEP_S, 1.0)
    assert made.refuses("shop", "p-1", budget=1_000, most=100, now=2.0)


def test_a_program_that_the_stores_forget_is_forgotten():
    made = spent()
    assert not made.refuses("shop", "p-1", budget=1_000, most=100, now=KEEP_S + 1)


def test_memory_is_bounded():
    made = spent()
    for number in range(MOST_PROGRAMS):
        made.note("shop", f"q-{number}", 10, KEEP_S, 0.0)
    assert not made.refuses("shop", "p-1", budget=1_000, most=100, now=1.0)
