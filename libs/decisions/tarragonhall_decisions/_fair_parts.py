"""The fair parts of organisations in the calls of a service, and who takes more than that.

Load pattern: one organisation asks for ten times its usual at all entries at once. Each entry sees
a few of its calls only, so entries tell each other their largest organisations.

The fair part is an organisation's weight (its rate, where it has one) over the weights of all that
have called here within `ACTIVE_S`.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Mapping

from tarragonhall_decisions._admission_level import MIN_CALLS

# Seconds for which an organisation counts as active after its last call: some pauses of a program.
ACTIVE_S = 5.0
# Active organisations of a service that are told apart.
MAX_ACTIVE = 1_024
# Calls of an organisation that never count as excess: a program runs a few calls at once.
SPARE_CALLS = 4
# Organisations that an entry tells the others for each service, so that the message stays small.
MAX_TOLD = 8


class FairParts:
    """The calls of one entry for one service by organisation; times are monotonic seconds."""

    __slots__ = ("_calls_by_org", "_seen_by_org", "_weight_by_org", "_weights")

    def __init__(self) -> None:
        self._calls_by_org: Counter[str] = Counter()
        self._seen_by_org: OrderedDict[str, float] = OrderedDict()
        self._weight_by_org: dict[str, float] = {}
        self._weights = 0.0

    def seen(self, org_id: str, weight: float, now: float) -> None:
        """Record that an organisation asks for calls; `weight` is its part relative to others."""
        self._weights += weight - self._weight_by_org.get(org_id, 0.0)
        self._weight_by_org[org_id] = weight
        self._seen_by_org[org_id] = now
        self._seen_by_org.move_to_end(org_id)
        while len(self._seen_by_org) > MAX_ACTIVE:
            self._forget_oldest()
        while now - next(iter(self._seen_by_org.values())) > ACTIVE_S:
            self._forget_oldest()

    def began(self, org_id: str) -> None:
        """Record that a call waits or runs."""
        self._calls_by_org[org_id] += 1

    def ended(self, org_id: str) -> None:
        """Record that a call neither waits nor runs any more."""
        self._calls_by_org[org_id] -= 1
        if self._calls_by_org[org_id] <= 0:
            del self._calls_by_org[org_id]

    def largest(self) -> list[tuple[str, int]]:
        """Return the organisations to tell the others, with their calls here."""
        if len(self._calls_by_org) <= MAX_TOLD:
            return list(self._calls_by_org.items())
        return self._calls_by_org.most_common(MAX_TOLD)

    def excess(self, org_id: str, elsewhere: Mapping[str, int], key: str, calls: int) -> float:
        """Return an organisation's calls at all entries as a multiple of its fair part.

        `elsewhere` holds the other entries' calls by `key`, and `calls` are those of all
        organisations at all entries.
        """
        weight = self._weight_by_org.get(org_id, 0.0)
        if calls < MIN_CALLS or weight <= 0.0 or len(self._weight_by_org) < 2:
            return 0.0
        beyond = self._calls_by_org[org_id] + elsewhere.get(key, 0) - SPARE_CALLS
        return max(0, beyond) * self._weights / (weight * calls)

    def _forget_oldest(self) -> None:
        org_id, _ = self._seen_by_org.popitem(last=False)
        self._weights -= self._weight_by_org.pop(org_id)
