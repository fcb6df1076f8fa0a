"""Deadlines: whether a call can still finish in time, and how much time each step gets.

Load pattern: a queue longer than its callers' timeouts. Without this check, servers spend their
time on answers that no caller waits for any more, and goodput falls just when the load is highest.
A call whose expected wait and run time exceed the time left is refused before it costs anything;
`retry_after_ms` says when the queue will have room for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import Execution, Refusal, RefusalCode

# Time reserved for returning the answer and one commit: two hops between availability zones
# (0.5 ms each), one sync to disk (a few ms), and the delay of a busy event loop.
REPLY_MARGIN_MS = 50
# Weight of a new run time in the moving average: it follows a change within about eight calls, and
# one outlier moves it by an eighth only. TCP uses the same weight for its round-trip estimate.
SMOOTHING = 0.125
# Bounds of the `retry_after_ms` of a refusal.
MIN_RETRY_AFTER_MS = 20
MAX_RETRY_AFTER_MS = 60_000


@dataclass(slots=True, frozen=True)
class Deadline:
    """The instant (monotonic seconds) at which the caller times out."""

    at: float

    def left_ms(self, now: float) -> int:
        """Return the time left, never below zero."""
        return max(0, int((self.at - now) * 1000))

    def dispatch_ms(self, now: float) -> int:
        """Return the time a sidecar may use: the time left less `REPLY_MARGIN_MS`."""
        return max(0, self.left_ms(now) - REPLY_MARGIN_MS)

    def passed(self, now: float) -> bool:
        """Return whether it is too late for an answer to reach the caller."""
        return self.dispatch_ms(now) == 0


def can_meet(deadline: Deadline, wait_s: float, run_s: float, now: float) -> bool:
    """Return whether a call that waits and runs for these times is answered before its deadline."""
    return now + wait_s + run_s + REPLY_MARGIN_MS / 1000 <= deadline.at


def bounded_retry_ms(seconds: float) -> int:
    """Return `retry_after_ms`, within its bounds, for something expected after this time."""
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, seconds * 1000)))


def deadline_refusal(retry_after_s: float) -> Refusal:
    """Return the refusal of a call that did not run and could not finish in time."""
    return Refusal(
        RefusalCode.DEADLINE,
        "the call could not be answered before its deadline",
        Execution.NOT_RUN,
        bounded_retry_ms(retry_after_s),
    )


@dataclass(slots=True)
class RunTimes:
    """Smoothed run times and generated tokens of answered calls, by target.

    A target without an answered call is expected to run for `initial_s` and to generate the
    call's `max_tokens`.
    """

    initial_s: float = 0.2
    seconds_by_target: dict[str, float] | None = None
    tokens_by_target: dict[str, float] | None = None

    def on_end(self, target: str, run_s: float, tokens: int) -> None:
        """Update the estimates from an answered call."""
        if self.seconds_by_target is None or self.tokens_by_target is None:
            self.seconds_by_target, self.tokens_by_target = {}, {}
        old_s = self.seconds_by_target.get(target, run_s)
        self.seconds_by_target[target] = old_s + SMOOTHING * (run_s - old_s)
        old_tokens = self.tokens_by_target.get(target, float(tokens))
        self.tokens_by_target[target] = old_tokens + SMOOTHING * (tokens - old_tokens)

    def expected_s(self, target: str) -> float:
        """Return how long a call to the target is expected to run."""
        return (self.seconds_by_target or {}).get(target, self.initial_s)

    def expected_tokens(self, target: str, max_tokens: int) -> float:
        """Return how many tokens a call is expected to generate, at most `max_tokens`."""
        return min(max_tokens, (self.tokens_by_target or {}).get(target, max_tokens))
