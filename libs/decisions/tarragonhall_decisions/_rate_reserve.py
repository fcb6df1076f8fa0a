"""Calls that an entry may admit without a token while the owner of their bucket is unreachable.

Load pattern: the leader of control dies, or the entry that owns an organisation's bucket. No tokens
are granted for one to three seconds. Every call of the organisation waits or is refused although it
is far within its rate, and programs fail.

Operators allow a rate to be exceeded slightly over a window: by a share of it plus a number of
calls. While no owner answers, entries use a part of that, divided among them. What all of them
admit together stays within the allowed excess, even if one of them is not known to the others yet.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from tarragonhall_model import Rate

# Share of the allowed excess that entries may admit without an owner. The remaining third is for
# calls that got their tokens late and then run together.
SAFE_SHARE = 0.67
# Number of entries that may have started without this one knowing yet.
UNKNOWN_ENTRIES = 1


@dataclass(slots=True, frozen=True)
class RateSlack:
    """The allowed excess over a rate in any window: a share of it plus a number of calls."""

    window_s: float = 5.0
    share: float = 0.0
    calls: float = 0.0


class RateReserve:
    """The calls that one entry admitted without tokens. Times are monotonic seconds."""

    __slots__ = ("_admitted_at_by_org", "_slack", "entries")

    def __init__(self, slack: RateSlack) -> None:
        self._slack = slack
        self.entries = 1
        self._admitted_at_by_org: dict[str, deque[float]] = {}

    def take(self, org_id: str, rate: Rate, now: float) -> bool:
        """Return whether a call may be admitted without a token, and count it if so."""
        admitted_at = self._admitted_at_by_org.setdefault(org_id, deque())
        while admitted_at and now - admitted_at[0] > self._slack.window_s:
            admitted_at.popleft()
        if len(admitted_at) >= self.allowed(rate):
            return False
        admitted_at.append(now)
        return True

    def allowed(self, rate: Rate) -> int:
        """Return how many calls of an organisation this entry may admit this way in any window."""
        regular = rate.per_second * self._slack.window_s + rate.burst
        extra = regular * self._slack.share + self._slack.calls
        return int(SAFE_SHARE * extra / (self.entries + UNKNOWN_ENTRIES))
