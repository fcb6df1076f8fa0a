"""Which waiting organisation is served next, in time logarithmic in their number.

Load pattern: a thousand organisations wait. Scanning all of them for each call taken would cost the
entry more than the call itself.

An organisation whose `finish` is at or before the virtual time starts at the virtual time; all of
these are equal and are ordered by name. The others are ordered by `finish`, then by name. Virtual
time only grows, so an organisation moves from the `_later` heap to the `_due` heap once, unless its
`finish` changes.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping

# The heaps are rebuilt when they hold more than `STALE_FACTOR` elements per waiting organisation,
# plus `STALE_ELEMENTS`. Without a bound, a heap of outdated elements would grow with every finished
# call.
STALE_FACTOR = 4
STALE_ELEMENTS = 64


class OrganisationOrder:
    """The waiting organisations by start tag. Call `update` after each change of a `finish`."""

    __slots__ = ("_due", "_finish_by_org", "_later")

    def __init__(self) -> None:
        self._finish_by_org: dict[str, float] = {}
        self._due: list[str] = []
        self._later: list[tuple[float, str]] = []

    def update(self, org_id: str, finish: float) -> None:
        """Add a waiting organisation, or move it after a change of its `finish`."""
        if self._finish_by_org.get(org_id) == finish:
            return
        self._finish_by_org[org_id] = finish
        heapq.heappush(self._later, (finish, org_id))
        if len(self._later) + len(self._due) > self._max_elements():
            self._rebuild()

    def discard(self, org_id: str) -> None:
        """Remove an organisation that no longer waits."""
        self._finish_by_org.pop(org_id, None)

    def first(self, virtual: float) -> str:
        """Return the organisation to serve next; at least one must be waiting."""
        while self._later and self._later[0][0] <= virtual:
            finish, org_id = heapq.heappop(self._later)
            if self._finish_by_org.get(org_id) == finish:
                heapq.heappush(self._due, org_id)
        while self._due:
            if _is_due(self._finish_by_org, self._due[0], virtual):
                return self._due[0]
            heapq.heappop(self._due)
        while self._finish_by_org.get(self._later[0][1]) != self._later[0][0]:
            heapq.heappop(self._later)
        return self._later[0][1]

    def _max_elements(self) -> int:
        return STALE_FACTOR * len(self._finish_by_org) + STALE_ELEMENTS

    def _rebuild(self) -> None:
        self._due.clear()
        self._later = [(finish, org_id) for org_id, finish in self._finish_by_org.items()]
        heapq.heapify(self._later)


def _is_due(finish_by_org: Mapping[str, float], org_id: str, virtual: float) -> bool:
    finish = finish_by_org.get(org_id)
    return finish is not None and finish <= virtual
