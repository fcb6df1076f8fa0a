"""Which of the passed-on calls that wait for a place at a service's servers goes next.

Load patterns and what happens without an answer to them:
- More programs begin than the servers can run. If each turn waits its time, all programs run and
  all are late. A program that has begun goes first, and one that would have to wait for long is
  refused before it has cost anything: those that do begin end in time. In a model of programs of
  four turns that ask twice what runs, half of all end in time, which is all that fits; in one line
  for all it is one in a hundred.
- Several ranks of calls share the servers. Servers that admit in order of arrival know no ranks,
  so the order is made here.
- One organisation sends many times its share. Inside a tier organisations take turns (`FairQueue`).
- Programs that never end are always under way. Were every place theirs first, no other program
  would begin, so one place in `FIRST_CALLS_EVERY` goes to a first call.

A call is refused at once where its wait is known to be longer than it has patience, with the time
at which there should be room. Those times are spread, as callers refused together would else come
back together.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonhall_model import Execution, Refusal, RefusalCode

from tarragonhall_decisions._deadlines import bounded_retry_ms
from tarragonhall_decisions._fair_queue import Dropped, FairQueue, QueuedCall
from tarragonhall_decisions._in_service import InService

# One place in so many goes to a call that begins a program.
FIRST_CALLS_EVERY = 8
# Shortest time, in seconds, after which a refused caller is told to come back.
LEAST_RETRY_S = 0.1
# Callers are told to come back spread over this share of their wait.
RETRY_SPREAD = 1.0


@dataclass(slots=True, frozen=True, order=True)
class Tier:
    """Calls of a lower tier go first.

    `begins` says that nothing of the program has been done yet; `urgency` is the operators' rank.
    """

    begins: bool
    urgency: int


@dataclass(slots=True)
class PlaceQueue:
    """The calls of one entry that wait for places at one service, by tier.

    The shell calls `expire` before `take`, and for each call taken `give_back`, or `placed` and
    then once `on_end` or `give_back`.
    """

    rng: random.Random
    _in_service: InService = field(default_factory=InService)
    _queue_by_tier: dict[Tier, FairQueue] = field(default_factory=dict)
    _tier_by_id: dict[str, Tier] = field(default_factory=dict)
    _since_first_call: int = 0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queue_by_tier.values())

    def turn_away(self, call: QueuedCall, tier: Tier, now: float) -> Refusal | None:
        """Return the refusal of a call that is not to begin now.

        Asked before anything was spent on the call: in an overload most calls end here, and the
        stores would otherwise open and end a turn for each.
        """
        wait_s = self._wait_s(tier, call.org_id, now)
        if wait_s > call.patience_s:
            return self._refusal(wait_s)
        return None

    def offer(self, call: QueuedCall, tier: Tier, now: float) -> list[Dropped]:
        """Add a call; return those that are refused for it, which may include the call itself."""
        self._tier_by_id[call.call_id] = tier
        return [self._dropped(one, now) for one in self._queue(tier).offer(call, now)]

    def take(self, now: float) -> QueuedCall | None:
        """Remove and return the call to run next."""
        waiting = [tier for tier, queue in self._queue_by_tier.items() if len(queue)]
        if not waiting:
            return None
        if self._since_first_call >= FIRST_CALLS_EVERY - 1:
            waiting = [tier for tier in waiting if tier.begins] or waiting
        return self._queue_by_tier[min(waiting)].take(now)

    def placed(self, call: QueuedCall) -> None:
        """Note that a call that was taken got a place.

        Only these count. A call that is taken and given back, since no server has room, would else
        use up the turn of a first call at each look.
        """
        if self._tier_by_id[call.call_id].begins:
            self._since_first_call = 0
        else:
            self._since_first_call += 1

    def give_back(self, call: QueuedCall) -> None:
        """Put back a call that was taken but not run; its place in the order is kept."""
        self._queue(self._tier_by_id[call.call_id]).give_back(call)

    def remove(self, call: QueuedCall) -> None:
        """Take out a waiting call whose caller has gone."""
        tier = self._tier_by_id.pop(call.call_id, None)
        if tier is not None:
            self._queue(tier).remove(call.call_id, call.org_id)

    def on_end(self, call: QueuedCall) -> None:
        """Note that a call that was taken has left its server."""
        tier = self._tier_by_id.pop(call.call_id, None)
        if tier is not None:
            self._queue(tier).on_end(call, call.cost)

    def expire(self, now: float) -> list[Dropped]:
        """Refuse the waiting calls that can no longer be answered in time."""
        dropped = []
        for queue in self._queue_by_tier.values():
            dropped.extend(self._dropped(one, now) for one in queue.expire(now))
        return dropped

    def _wait_s(self, tier: Tier, org_id: str, now: float) -> float:
        """Return how long a new call would wait at the present drain rate; 0 if that is unknown."""
        drain = self._in_service.drain_per_s(now)
        if drain <= 0.0:
            return 0.0
        before = sum(
            queue.queued_cost for other, queue in self._queue_by_tier.items() if other < tier
        )
        return before / drain + self._queue(tier).expected_wait_s(org_id, now)

    def _dropped(self, dropped: Dropped, now: float) -> Dropped:
        """Return the refusal with a time that knows of the calls of all tiers."""
        call = dropped.call
        tier = self._tier_by_id.pop(call.call_id)
        return Dropped(call, self._refusal(self._wait_s(tier, call.org_id, now)))

    def _refusal(self, wait_s: float) -> Refusal:
        spread = self.rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        return Refusal(
            RefusalCode.OVERLOADED,
            "there will be no place for the call in time",
            Execution.NOT_RUN,
            bounded_retry_ms(max(LEAST_RETRY_S, wait_s) * spread),
        )

    def _queue(self, tier: Tier) -> FairQueue:
        queue = self._queue_by_tier.get(tier)
        if queue is None:
            queue = FairQueue(in_service=self._in_service)
            self._queue_by_tier[tier] = queue
        return queue
