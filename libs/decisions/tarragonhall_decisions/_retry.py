"""Retries: what proves that an attempt did not run, and whether to make another attempt.

Load pattern: a server fails or slows down and every call to it is retried. Without a budget,
retries multiply the load just when there is least capacity, and keep the system down after the
cause is gone. A retry without proof that the first attempt did not run can bill a customer twice.

An attempt that a sidecar rejected, or that ended `NOT_RUN`, is proven not to have run: the sidecar
stores a tombstone and can never run it. Any other attempt without an answer is `unknown`, and a
call that must not be repeated is then never retried.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from tarragonhall_model import (
    AttemptOutcome,
    Execution,
    Refusal,
    RefusalCode,
    Rejected,
    RejectReason,
)

from tarragonhall_decisions._deadlines import Deadline, bounded_retry_ms

# Retries earned by each success; bounds the extra load of retries to 10%.
RETRIES_PER_SUCCESS = 0.1
# Retries that an entry may make before its first success.
INITIAL_RETRIES = 10.0
# Maximum number of retries in the budget.
MAX_SAVED_RETRIES = 100.0
# Maximum number of servers that may run one call. 37 of 360 instances fail on a day, so two servers
# that fail together are an everyday event; three are not.
MAX_ATTEMPTS = 3
# Maximum attempts of one call, including those that servers reject.
MAX_REJECTED_ATTEMPTS = 8
# Bounds of the delay before a retry, in seconds. It starts far above a round trip between zones and
# doubles with each attempt; full jitter keeps calls that failed together from returning together.
INITIAL_BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0


class Proof(enum.Enum):
    """What is known about an attempt that gave no answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class LinkLost:
    """The link to the sidecar broke, or no reply came in time.

    An `Attach` for the attempt did not yield its outcome either.
    """


Failure = Rejected | AttemptOutcome | LinkLost

# Rejections caused by an outdated view, not by an overloaded server: trying the next server adds no
# load to a failing system, so it costs no retry budget.
_STALE_VIEW_REASONS = {
    RejectReason.DRAINING,
    RejectReason.INCARNATION,
    RejectReason.NOT_SERVED,
    RejectReason.TOMBSTONE,
}


@dataclass(slots=True, frozen=True)
class Retry:
    """Start another attempt after this time, on another server than the one that failed."""

    after_s: float


@dataclass(slots=True, frozen=True)
class Abandon:
    """Return this refusal to the caller now."""

    refusal: Refusal


@dataclass(slots=True)
class RetryBudget:
    """Retries earned by successes, for one target at one entry."""

    saved: float = INITIAL_RETRIES

    def on_success(self) -> None:
        """Earn a fraction of a retry."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_SUCCESS)

    def has_retry(self) -> bool:
        """Return whether the budget holds a retry."""
        return self.saved >= 1.0

    def take(self) -> bool:
        """Use one retry; return False if the budget holds none."""
        if not self.has_retry():
            return False
        self.saved -= 1.0
        return True


def proof_of(failure: Failure) -> Proof:
    """Return what a failure proves about the attempt."""
    match failure:
        case Rejected():
            return Proof.NOT_RUN
        case AttemptOutcome.NOT_RUN:
            return Proof.NOT_RUN
        case _:
            # A failed, crashed, cancelled or timed-out attempt may have had effects before it
            # ended.
            return Proof.UNKNOWN


def backoff_s(attempts: int, rng: random.Random) -> float:
    """Return the jittered delay after this many attempts (from 1)."""
    ceiling = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempts - 1))
    return rng.uniform(0.0, ceiling)


def after_failure(
    failure: Failure,
    *,
    repeatable: bool,
    attempts: int,
    possibly_run: int,
    deadline: Deadline,
    budget: RetryBudget,
    now: float,
    rng: random.Random,
) -> Retry | Abandon:
    """Decide what follows an attempt without an answer.

    `attempts` counts this and all earlier attempts, `possibly_run` those of them that may have run.
    Only the latter count towards `MAX_ATTEMPTS`: a server that restarts rejects calls meanwhile,
    and if those counted, a request that crashes servers would be abandoned before it is recognised
    as such.
    """
    proof = proof_of(failure)
    if proof is Proof.UNKNOWN and not repeatable:
        return Abandon(_unknown_refusal("the call may have run and must not be repeated"))
    pause_s = backoff_s(attempts, rng)
    stale_view = isinstance(failure, Rejected) and failure.reason in _STALE_VIEW_REASONS
    limit_reached = attempts >= MAX_REJECTED_ATTEMPTS or possibly_run >= MAX_ATTEMPTS
    if limit_reached or deadline.passed(now + pause_s) or not (stale_view or budget.take()):
        return Abandon(_last_refusal(proof, attempts))
    return Retry(0.0 if stale_view and attempts == 1 else pause_s)


def _last_refusal(proof: Proof, attempts: int) -> Refusal:
    if proof is Proof.UNKNOWN:
        return _unknown_refusal(f"the call failed on its backend server ({attempts} attempts)")
    return Refusal(
        RefusalCode.SERVER_FAILED,
        f"no backend server accepted the call ({attempts} attempts)",
        Execution.NOT_RUN,
        bounded_retry_ms(MAX_BACKOFF_S),
    )


def _unknown_refusal(message: str) -> Refusal:
    return Refusal(RefusalCode.SERVER_FAILED, message, Execution.UNKNOWN)
