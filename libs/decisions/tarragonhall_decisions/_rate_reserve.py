"""Calls that an entry may admit without a token while the owner of their bucket is not heard.

Load pattern: the leader of control dies, or the entry that owns an organisation's bucket. For one
to three seconds no tokens are granted. Every call of the organisation waits or is refused
meanwhile, although it is far inside its rate, and programs fail for nothing.

Operators allow a rate to be exceeded a little over a window: by a share of it and by some calls on
top. Entries spend a part of that, shared out among them, while no owner answers. What all of them
admit together stays below what is allowed, whatever they do not know of each other.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from tarragonhall_model import Rate

# Share of the tolerated excess that entries may admit without an owner.
SAFE_SHARE = 0.67
# Entries that may have started unknown to this one.
UNKNOWN_ENTRIES = 1


@dataclass(slots=True, frozen=True)
class RateSlack:
    """By how much a rate may be exceeded over any window: a share of it, and calls on top."""

    window_s: float = 5.0
    share: float = 0.0
    calls: float = 0.0


class RateReserve:
    """What one entry has admitted without tokens. Times are monotonic seconds."""

    __slots__ = ("_slack", "_taken_by_org", "entries")

    def __init__(self, slack: RateSlack) -> None:
        self._slack = slack
        self.entries = 1
        self._taken_by_org: dict[str, deque[float]] = {}

    def take(self, org_id: str, rate: Rate, now: float) -> bool:
        """Return whether a call may be admitted without a token, and count it if so."""
        taken = self._taken_by_org.setdefault(org_id, deque())
        while taken and now - taken[0] > self._slack.window_s:
            taken.popleft()
        if len(taken) >= self.allowed(rate):
            return False
        taken.append(now)
        return True

    def allowed(self, rate: Rate) -> int:
        """Return how many calls of an organisation this entry may admit so in any window."""
        regular = rate.per_second * self._slack.window_s + rate.burst
        extra = regular * self._slack.share + self._slack.calls
        return int(SAFE_SHARE * extra / (self.entries + UNKNOWN_ENTRIES))
