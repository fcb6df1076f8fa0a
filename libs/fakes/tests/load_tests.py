"""Tests of the load tool's arithmetic, on which every measured figure depends."""

from __future__ import annotations

from tarragonhall_fakes import make_workload
from tarragonhall_fakes._load_caller import CallLog, ProgramResult, SentCall
from tarragonhall_fakes._load_results import (
    max_min_shares,
    summarize,
    worst_served,
    wrongful_refusals,
)
from tarragonhall_fakes._load_workload import ProgramPlan, Step, Workload


def test_same_seed_gives_the_same_programs():
    """Runs are comparable only if their callers send the same programs."""
    first = make_workload("agency", 5, 20.0, 2.0)
    assert first == make_workload("agency", 5, 20.0, 2.0)
    assert first != make_workload("agency", 6, 20.0, 2.0)
    starts = [plan.at for plan in first.programs]
    assert starts == sorted(starts)


def test_hot_factor_changes_one_organisation_only():
    """The other organisations send the same with and without a hot organisation."""
    calm = make_workload("association", 1, 30.0, 3.0)
    hot = make_workload("association", 1, 30.0, 3.0, hot_factor=10.0)

    def starts(workload: Workload, org: str) -> list[float]:
        return [plan.at for plan in workload.programs if plan.org == org]

    assert len(starts(hot, "association-1")) > 5 * len(starts(calm, "association-1"))
    assert starts(hot, "association-3") == starts(calm, "association-3")


def test_fair_share_is_the_demand_or_an_even_part():
    """A small demand is met in full; the rest is divided evenly."""
    due = max_min_shares({"small": 10.0, "mid": 100.0, "large": 1_000.0}, 150.0)
    assert due == {"small": 10.0, "mid": 70.0, "large": 70.0}


def plan(org: str, tokens: int) -> ProgramPlan:
    """Return a program with one model call."""
    return ProgramPlan(f"{org}-p", org, 0.0, [Step("model", "m", 10, tokens)])


def test_worst_served_is_found():
    """One organisation gets a tenth of its demand in time, while another gets all of it."""
    workload = Workload("w", 1.0, ["a", "b"])
    results = [
        ProgramResult(plan("a", 100), tokens_at=[(0.5, 100)], finished_at=1.0),
        ProgramResult(plan("b", 100), tokens_at=[(0.5, 10), (2.0, 90)]),
    ]
    org, share = worst_served(workload, results)
    assert org == "b"
    assert abs(share - 10 / 55) < 1e-9


def test_refusal_inside_the_rate_is_wrongful():
    """Only the refusal of the organisation within its rate counts, not those far above it."""
    calm = [SentCall("calm", 0.0), SentCall("calm", 1.0), SentCall("calm", 2.0, "overloaded")]
    hot = [SentCall("hot", n / 100, "rate_exceeded" if n > 20 else "") for n in range(200)]
    mistake = [SentCall("calm", 3.0, "bad_input")]
    assert wrongful_refusals(CallLog([*calm, *hot, *mistake]), 1.0, 5.0) == 1


def test_latency_counts_from_the_intended_start():
    """The delay of a program that could not start in time counts as latency."""
    late = ProgramResult(ProgramPlan("p", "a", 2.0, []), finished_at=5.0)
    result = summarize("w", Workload("w", 1.0, ["a"]), [late], CallLog(), (1.0, 1.0))
    assert 2_990 <= result.p50_ms <= 3_010
