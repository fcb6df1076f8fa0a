"""Which waiting organisation comes next, in time logarithmic in their number.

Load pattern: a thousand organisations wait. Going through all of them for each call that is taken
would cost the entry more than the call itself.

An organisation whose `finish` lies at or before the virtual time starts at the virtual time; all
such are equal and come by name. The others come by `finish`, then by name. Virtual time only grows,
so an organisation goes from the second heap to the first once, unless its `finish` changes.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping

# Outdated entries are left in the heaps until there are this many times more than organisations
# wait. Without a bound a heap would grow with every call that ends while others are served.
SLACK_FACTOR = 4
SLACK_ENTRIES = 64


class OrganisationOrder:
    """The waiting organisations by start tag. `note` must follow each change of a `finish`."""

    __slots__ = ("_due", "_finish_by_org", "_later")

    def __init__(self) -> None:
        self._finish_by_org: dict[str, float] = {}
        self._due: list[str] = []
        self._later: list[tuple[float, str]] = []

    def note(self, org_id: str, finish: float) -> None:
        """Put in a waiting organisation, or move it after a change."""
        if self._finish_by_org.get(org_id) == finish:
            return
        self._finish_by_org[org_id] = finish
        heapq.heappush(self._later, (finish, org_id))
        if len(self._later) + len(self._due) > self._bound():
            self._rebuild()

    def discard(self, org_id: str) -> None:
        """Take out an organisation that waits no more."""
        self._finish_by_org.pop(org_id, None)

    def first(self, virtual: float) -> str:
        """Return the organisation to serve next; one must be waiting."""
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

    def _bound(self) -> int:
        return SLACK_FACTOR * len(self._finish_by_org) + SLACK_ENTRIES

    def _rebuild(self) -> None:
        self._due.clear()
        self._later = [(finish, org_id) for org_id, finish in self._finish_by_org.items()]
        heapq.heapify(self._later)


def _is_due(finish_by_org: Mapping[str, float], org_id: str, virtual: float) -> bool:
    finish = finish_by_org.get(org_id)
    return finish is not None and finish <= virtual
