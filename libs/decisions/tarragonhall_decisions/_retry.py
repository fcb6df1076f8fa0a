"""Retries: what proves that an attempt did not run, and whether a further attempt is made.

Load pattern: a server fails or slows down and every call to it is tried again. Without a budget the
retries multiply the load just when there is least capacity, and keep the system down after the
cause has gone. Without the proof rule a district is billed twice.

An attempt that a sidecar rejected, or that ended `NOT_RUN`, is proved not to have run: the sidecar
keeps a tombstone and can never run it. Everything else that is not an answer is `unknown`, and a
call that must not be repeated is then never tried again.
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

# Retries earned by each success.
SHARE_OF_SUCCESSES = 0.1
# Retries that an entry may make before it has had successes.
RESERVE = 10.0
# Retries saved up at most.
MAX_SAVED = 100.0
# Servers that may run one call.
MAX_ATTEMPTS = 3
# Servers that may reject one call.
MAX_REJECTED_ATTEMPTS = 8
# Bounds of the pause before another try, in seconds; doubled with each, with full jitter.
FIRST_BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0


class Proof(enum.Enum):
    """What is known of an attempt that gave no answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class LinkLost:
    """The link to the sidecar broke, or nothing came back in time, and `Attach` did not help."""


Failure = Rejected | AttemptOutcome | LinkLost

# These rejections say that the view was old, not that the server is overloaded: trying the next
# server adds no load to a system in trouble, so they cost no retry budget.
_FREE_REASONS = {
    RejectReason.DRAINING,
    RejectReason.INCARNATION,
    RejectReason.NOT_SERVED,
    RejectReason.TOMBSTONE,
}


@dataclass(slots=True, frozen=True)
class TryAgain:
    """Start a further attempt after this time, on another server than the one that failed."""

    after_s: float


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Answer the caller with this refusal now."""

    refusal: Refusal


@dataclass(slots=True)
class RetryBudget:
    """Retries saved up from successes, for one target at one entry."""

    saved: float = RESERVE

    def on_success(self) -> None:
        """Save a share of a retry."""
        self.saved = min(MAX_SAVED, self.saved + SHARE_OF_SUCCESSES)

    def has_one(self) -> bool:
        """Return whether a retry is saved."""
        return self.saved >= 1.0

    def take(self) -> bool:
        """Spend one retry, if one is saved."""
        if not self.has_one():
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
            # A failed, crashed, cancelled or timed out attempt may have acted before it ended.
            return Proof.UNKNOWN


def backoff_s(attempts: int, rng: random.Random) -> float:
    """Return the jittered time to wait after so many attempts (from 1)."""
    ceiling = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts - 1))
    return rng.uniform(0.0, ceiling)


def after_failure(
    failure: Failure,
    *,
    repeatable: bool,
    attempts: int,
    unproven: int,
    deadline: Deadline,
    budget: RetryBudget,
    now: float,
    rng: random.Random,
) -> TryAgain | GiveUp:
    """Decide what follows an attempt without an answer.

    `attempts` counts it and those before, `unproven` those of them that may have run. Only these
    fall under `MAX_ATTEMPTS`: a server that is started again turns calls away meanwhile, and
    counted with them, a request that crashes servers was given up before it was known as such.
    """
    proof = proof_of(failure)
    if proof is Proof.UNKNOWN and not repeatable:
        return GiveUp(_unknown("the call may have run and must not be repeated"))
    pause_s = backoff_s(attempts, rng)
    free = isinstance(failure, Rejected) and failure.reason in _FREE_REASONS
    enough = attempts >= MAX_REJECTED_ATTEMPTS or unproven >= MAX_ATTEMPTS
    if enough or deadline.passed(now + pause_s) or not (free or budget.take()):
        return GiveUp(_give_up(proof, attempts))
    return TryAgain(0.0 if free and attempts == 1 else pause_s)


def _give_up(proof: Proof, attempts: int) -> Refusal:
    if proof is Proof.UNKNOWN:
        return _unknown(f"the call failed on its backend server ({attempts} attempts)")
    return Refusal(
        RefusalCode.SERVER_FAILED,
        f"no backend server took the call ({attempts} attempts)",
        Execution.NOT_RUN,
        bounded_retry_ms(MAX_BACKOFF_S),
    )


def _unknown(message: str) -> Refusal:
    return Refusal(RefusalCode.SERVER_FAILED, message, Execution.UNKNOWN)
