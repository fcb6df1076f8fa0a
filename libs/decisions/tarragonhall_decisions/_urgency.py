"""In which order engines serve waiting calls, by the operators' priorities.

Load pattern: a burst of one kind of call fills the engines' step time, and another kind with a
higher priority waits behind it. Engines that accept an urgency process the prompts of more urgent
calls first, and preempt the least urgent when memory runs out.

An organisation's priority outranks that of the route. Priorities start at 0 for the highest; those
from `RANKS` on count as the lowest. The scale of engines goes from 0 (first) to 9, and calls
without an urgency count as 5. Ours start at 1, so that the two kinds that deployments use lie on
both sides of 5.
"""

from __future__ import annotations

from collections.abc import Iterable

# Number of ranks of each priority: three by three give the nine urgencies from 1 to 9.
RANKS = 3
MOST_URGENT = 1


def urgency_of(organisation_priority: int, route_priority: int) -> int:
    """Return the urgency of a call, from 1 (first) to 9."""
    organisation_rank = min(max(0, organisation_priority), RANKS - 1)
    route_rank = min(max(0, route_priority), RANKS - 1)
    return MOST_URGENT + organisation_rank * RANKS + route_rank


def kind_of(urgency: int) -> int:
    """Return the rank of the route in an urgency, from 0 (first)."""
    return (urgency - MOST_URGENT) % RANKS


def admission_order(urgencies: Iterable[int]) -> list[int]:
    """Return urgencies in the order in which programs may start, the last to be refused first.

    Programs of a less urgent kind are refused before those of a more urgent one, whatever their
    organisation: the kinds of a service must not be served less often than less urgent ones.
    """
    return sorted(urgencies, key=lambda one: (kind_of(one), one))
