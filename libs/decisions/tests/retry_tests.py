"""Retries: how often a call may run, and how much load retries add."""

from __future__ import annotations

import random

import pytest
from tarragonhall_decisions import (
    Abandon,
    Deadline,
    LinkLost,
    Retry,
    RetryBudget,
    after_failure,
)
from tarragonhall_model import AttemptOutcome, Execution, Rejected, RejectReason

POSSIBLY_RUN = [
    AttemptOutcome.FAILED,
    AttemptOutcome.CRASHED,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.TIMED_OUT,
    LinkLost(),
]
PROVEN = [AttemptOutcome.NOT_RUN, *(Rejected(reason) for reason in RejectReason)]


def decide(
    failure,
    budget: RetryBudget,
    repeatable: bool = False,
    attempts: int = 1,
    possibly_run: int | None = None,
    left=30.0,
):
    """Decide at time zero; by default each attempt may have run."""
    return after_failure(
        failure,
        repeatable=repeatable,
        attempts=attempts,
        possibly_run=attempts if possibly_run is None else possibly_run,
        deadline=Deadline(left),
        budget=budget,
        now=0.0,
        rng=random.Random(1),
    )


@pytest.mark.parametrize("failure", POSSIBLY_RUN, ids=str)
def test_unproven_call_is_not_repeated(failure):
    """A billing call's answer is lost and it is unknown whether it ran. A second attempt could bill
    the customer twice, so the caller is told that the outcome is unknown.
    """
    decision = decide(failure, RetryBudget())
    assert isinstance(decision, Abandon)
    assert decision.refusal.execution is Execution.UNKNOWN


@pytest.mark.parametrize("failure", PROVEN, ids=str)
def test_call_that_did_not_run_goes_elsewhere(failure):
    """A server rejected the call before it started; it is retried without the caller's help."""
    assert isinstance(decide(failure, RetryBudget()), Retry)


def test_retries_stay_a_share_of_the_successes():
    """Every call to a failing server fails at first. If all were retried, the load would double
    just when there is least capacity, and callers would be refused long after the cause is gone.
    """
    budget = RetryBudget()
    retried = 0
    for number in range(1_000):
        if number % 2:
            budget.on_success()
        elif isinstance(decide(AttemptOutcome.FAILED, budget, repeatable=True), Retry):
            retried += 1
    assert retried <= 10 + 0.1 * 500


def test_no_retry_that_would_end_after_the_deadline():
    """The caller is about to time out; another attempt's answer would be useless."""
    decision = decide(AttemptOutcome.NOT_RUN, RetryBudget(), left=0.04)
    assert isinstance(decision, Abandon)
    assert decision.refusal.execution is Execution.NOT_RUN


def test_attempts_are_bounded():
    """Every server fails the call; its caller must not wait for ever."""
    decision = decide(AttemptOutcome.FAILED, RetryBudget(), repeatable=True, attempts=3)
    assert isinstance(decision, Abandon)


def test_rejections_do_not_count_as_crashes():
    """A request crashes its server, and the server rejects it three times while it restarts. If
    rejections counted, the request would be abandoned at its second crash, before it is recognised
    as one that crashes servers, and its caller would not be told to stop sending it.
    """
    decision = decide(
        AttemptOutcome.CRASHED, RetryBudget(), repeatable=True, attempts=5, possibly_run=2
    )
    assert isinstance(decision, Retry)


def test_attempts_that_did_not_run_are_bounded_as_well():
    """Every server rejects the call; its caller must not wait for ever."""
    decision = decide(AttemptOutcome.NOT_RUN, RetryBudget(), attempts=8, possibly_run=0)
    assert isinstance(decision, Abandon)
    assert decision.refusal.execution is Execution.NOT_RUN
