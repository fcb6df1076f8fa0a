"""Which of the relayed calls that wait for a slot at a service's servers goes next.

Load patterns and what happens without this queue:
- More programs start than the servers can run. If every call simply waits its turn, all programs
  run and all finish late. Calls of programs that have started therefore go first, and a program
  that would have to wait long is refused before it has cost anything; those that do start finish in
  time. In a model of programs of four turns at twice the capacity, half of all finish in time,
  which is all that fits; with a FIFO queue one in a hundred does.
- Calls of several priorities share the servers. Servers that admit in order of arrival know no
  priorities, so this queue orders the calls.
- One organisation sends many times its share. Within a tier, organisations take turns
  (`FairQueue`).
- Programs that never end always have calls waiting. If every slot went to them first, no other
  program would start, so one slot in `FIRST_CALLS_EVERY` goes to the first call of a program.
- Urgent calls always wait (`UrgentTier`). If every slot went to them, no other call would be
  answered, so one slot in `OTHER_TIERS_EVERY` goes to the other tiers in turn.

A call whose wait is known to exceed its `max_wait_s` is refused at once, with the time after which
there should be room. These times are spread, because callers refused together would otherwise retry
together.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonhall_model import Execution, Refusal, RefusalCode

from tarragonhall_decisions._deadlines import bounded_retry_ms
from tarragonhall_decisions._fair_queue import Dropped, FairQueue, QueuedCall
from tarragonhall_decisions._in_service import InService
from tarragonhall_decisions._tiers import Tier, UrgentTier

# One slot in this many goes to a first call: programs of ten calls and more keep seven slots of
# eight, and new programs get one at least every few run times.
FIRST_CALLS_EVERY = 8
# One slot in this many goes to a tier that is not the first. Each waiting tier gets such a slot in
# turn, so that its calls wait for at most this many slots times the number of tiers.
OTHER_TIERS_EVERY = 8
# Minimum retry time of a refusal, in seconds; a few calls end within it.
MIN_RETRY_S = 0.1
# Retry times are spread over this share of the wait, so that refused callers do not return
# together.
RETRY_SPREAD = 1.0


@dataclass(slots=True)
class ServiceQueue:
    """The calls of one entry that wait for slots at one service, by tier.

    The caller runs `expire` before `take`, and for each call taken `requeue`, or `on_slot_assigned`
    and then once `on_end` or `requeue`. Calls of a `Tier` go before
    those of an `UrgentTier`: they came before the operators' priorities differed.

    `least_drain_per_s` is the rate at which this entry's share of the servers ends calls, for an
    entry with few running calls of its own; 0 if it is not known.
    """

    rng: random.Random
    least_drain_per_s: float = 0.0
    _in_service: InService = field(default_factory=InService)
    _queue_by_tier: dict[Tier | UrgentTier, FairQueue] = field(default_factory=dict)
    _tier_by_id: dict[str, Tier | UrgentTier] = field(default_factory=dict)
    _since_first_call: int = 0
    _since_other_tier: int = 0
    _slots: int = 0
    _last_slot_by_tier: dict[UrgentTier, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queue_by_tier.values())

    def reject_early(self, call: QueuedCall, tier: Tier | UrgentTier, now: float) -> Refusal | None:
        """Return the refusal of a call that would wait longer than its `max_wait_s`, else None.

        Called before anything is spent on the call: under overload most calls end here, and the
        stores would otherwise open and end a turn for each.
        """
        wait_s = self._wait_s(tier, call.org_id, now)
        if wait_s > call.max_wait_s:
            return self._refusal(wait_s)
        return None

    def offer(self, call: QueuedCall, tier: Tier | UrgentTier, now: float) -> list[Dropped]:
        """Add a call; return the calls refused as a result, which may include the call itself."""
        self._tier_by_id[call.call_id] = tier
        return [self._dropped(one, now) for one in self._queue(tier).offer(call, now)]

    def take(self, now: float) -> QueuedCall | None:
        """Remove and return the next call to run."""
        waiting = [tier for tier, queue in self._queue_by_tier.items() if len(queue)]
        if not waiting:
            return None
        first = min(waiting, key=_order)
        match first:
            case UrgentTier():
                chosen = self._urgent_choice(first, waiting)
            case Tier():
                if self._since_first_call >= FIRST_CALLS_EVERY - 1:
                    waiting = [tier for tier in waiting if tier.begins] or waiting
                chosen = min(waiting, key=_order)
        return self._queue_by_tier[chosen].take(now)

    def on_slot_assigned(self, call: QueuedCall) -> None:
        """Record that a taken call got a slot.

        Only these count towards `FIRST_CALLS_EVERY`. Otherwise, calls taken and requeued while no
        server has room would use up the turn of a first call at each attempt.
        """
        tier = self._tier_by_id[call.call_id]
        if tier.begins:
            self._since_first_call = 0
        else:
            self._since_first_call += 1
        if isinstance(tier, UrgentTier):
            self._count_slot(tier)

    def tier_of(self, call: QueuedCall) -> Tier | UrgentTier:
        """Return the tier of a call that waits or runs."""
        return self._tier_by_id[call.call_id]

    def requeue(self, call: QueuedCall) -> None:
        """Requeue a call that was taken but not run, at its old position."""
        self._queue(self._tier_by_id[call.call_id]).requeue(call)

    def remove(self, call: QueuedCall) -> None:
        """Remove a waiting call whose caller disconnected."""
        tier = self._tier_by_id.pop(call.call_id, None)
        if tier is not None:
            self._queue(tier).remove(call.call_id, call.org_id)

    def on_end(self, call: QueuedCall) -> None:
        """Record that a taken call has left its server."""
        tier = self._tier_by_id.pop(call.call_id, None)
        if tier is not None:
            self._queue(tier).on_end(call, call.cost)

    def expire(self, now: float) -> list[Dropped]:
        """Refuse the waiting calls that can no longer be answered in time."""
        dropped = []
        for queue in self._queue_by_tier.values():
            dropped.extend(self._dropped(one, now) for one in queue.expire(now))
        return dropped

    def _urgent_choice(self, first: UrgentTier, waiting: list[UrgentTier]) -> UrgentTier:
        """Return the first tier, or in its turn the other one that has had no slot for longest."""
        if self._since_other_tier < OTHER_TIERS_EVERY - 1 or len(waiting) == 1:
            return first
        others = [tier for tier in waiting if tier != first and isinstance(tier, UrgentTier)]
        return min(others, key=lambda tier: (self._last_slot_by_tier.get(tier, 0), _order(tier)))

    def _count_slot(self, tier: UrgentTier) -> None:
        self._slots += 1
        self._last_slot_by_tier[tier] = self._slots
        waiting = [_order(other) for other, queue in self._queue_by_tier.items() if len(queue)]
        if any(other < _order(tier) for other in waiting):
            self._since_other_tier = 0
        elif any(other > _order(tier) for other in waiting):
            self._since_other_tier += 1

    def _drain_per_s(self, now: float) -> float:
        return max(self._in_service.drain_per_s(now), self.least_drain_per_s)

    def _wait_s(self, tier: Tier | UrgentTier, org_id: str, now: float) -> float:
        """Return how long a new call would wait at the current drain rate; 0 if unknown."""
        drain = self._drain_per_s(now)
        if drain <= 0.0:
            return 0.0
        cost_ahead = sum(
            queue.queued_cost
            for other, queue in self._queue_by_tier.items()
            if _order(other) < _order(tier)
        )
        return cost_ahead / drain + self._queue(tier).expected_wait_s(org_id, now)

    def _dropped(self, dropped: Dropped, now: float) -> Dropped:
        """Replace the refusal by one whose retry time accounts for the calls of all tiers."""
        call = dropped.call
        tier = self._tier_by_id.pop(call.call_id)
        return Dropped(call, self._refusal(self._wait_s(tier, call.org_id, now)))

    def _refusal(self, wait_s: float) -> Refusal:
        spread = self.rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        return Refusal(
            RefusalCode.OVERLOADED,
            "no slot will be free for the call in time",
            Execution.NOT_RUN,
            bounded_retry_ms(max(MIN_RETRY_S, wait_s) * spread),
        )

    def _queue(self, tier: Tier | UrgentTier) -> FairQueue:
        queue = self._queue_by_tier.get(tier)
        if queue is None:
            queue = FairQueue(in_service=self._in_service)
            self._queue_by_tier[tier] = queue
        return queue


def _order(tier: Tier | UrgentTier) -> tuple[int, ...]:
    match tier:
        case Tier():
            return (0, tier.begins, tier.urgency)
        case UrgentTier():
            return (1, tier.urgency, tier.prospect, tier.begins)
