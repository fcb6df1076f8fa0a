"""Programs that continue after their budget is exhausted."""

from __future__ import annotations

from tarragonhall_decisions import ExhaustedPrograms
from tarragonhall_decisions._exhausted_programs import MAX_PROGRAMS

KEEP_S = 60.0


def exhausted_programs(tokens: int = 950) -> ExhaustedPrograms:
    programs = ExhaustedPrograms()
    programs.record_usage("shop", "p-1", tokens, KEEP_S, 0.0)
    return programs


def test_a_turn_that_cannot_fit_is_refused_without_the_stores():
    # Guards against a looping program that uses up the tokens of its organisation's rate.
    programs = exhausted_programs()
    assert programs.exceeds_budget("shop", "p-1", budget=1_000, max_tokens=100, now=1.0)
    assert not programs.exceeds_budget("shop", "p-1", budget=1_000, max_tokens=50, now=1.0)


def test_other_programs_and_other_organisations_are_not_refused():
    # Guards against a wrong 402, which ends a program permanently.
    programs = exhausted_programs()
    assert not programs.exceeds_budget("shop", "p-2", budget=1_000, max_tokens=100, now=1.0)
    assert not programs.exceeds_budget("school", "p-1", budget=1_000, max_tokens=100, now=1.0)


def test_late_report_does_not_lower_the_known_usage():
    programs = exhausted_programs(950)
    programs.record_usage("shop", "p-1", 700, KEEP_S, 1.0)
    assert programs.exceeds_budget("shop", "p-1", budget=1_000, max_tokens=100, now=2.0)


def test_a_program_that_the_stores_forget_is_forgotten():
    programs = exhausted_programs()
    assert not programs.exceeds_budget("shop", "p-1", budget=1_000, max_tokens=100, now=KEEP_S + 1)


def test_memory_is_bounded():
    programs = exhausted_programs()
    for number in range(MAX_PROGRAMS):
        programs.record_usage("shop", f"q-{number}", 10, KEEP_S, 0.0)
    assert not programs.exceeds_budget("shop", "p-1", budget=1_000, max_tokens=100, now=1.0)
