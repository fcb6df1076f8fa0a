"""The calls that servers run for the queues of one entry, and how fast their slots come free."""

from __future__ import annotations

from typing import Protocol

# Keeps a call without a run time or an age from making the drain rate infinite.
MIN_RUN_S = 1e-3


class RunningCall(Protocol):
    """What is required of a running call: its cost, expected run time and start time.

    The cost is in expected tokens, 1 for a service call.
    """

    call_id: str
    cost: float
    run_s: float
    dequeued_at: float


class InService:
    """The running calls of one queue, or of several that share the servers."""

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, RunningCall] = {}

    def add(self, call: RunningCall) -> None:
        """Record a call that was given a slot."""
        self._by_id[call.call_id] = call

    def remove(self, call_id: str) -> bool:
        """Record that a call has released its slot; return whether it held one."""
        return self._by_id.pop(call_id, None) is not None

    def drain_per_s(self, now: float) -> float:
        """Return the drain rate: the total cost of the calls expected to end per second.

        It is zero while nothing runs. If a call takes longer than expected, its age is used instead
        of its expected run time, so the rate falls while servers hang. It falls at once when the
        calls of a lost server are removed.
        """
        return sum(
            call.cost / max(call.run_s, now - call.dequeued_at, MIN_RUN_S)
            for call in self._by_id.values()
        )
