"""Fair queue of one target: which organisation is served next, and which of its programs.

Load pattern: one organisation sends many times what the servers can handle, or a few programs run
for very long among many short ones. A single FIFO queue makes everyone wait behind the busiest
caller, and short programs behind each long one.

Across organisations: weighted start-time fair queueing. A call is charged its expected tokens when
it is taken, and the difference to its real use when it ends, so that an organisation gains nothing
by stating a small `max_tokens`. An organisation that was idle starts at the current virtual time:
it is served next, but gets no credit for the idle time.

Within an organisation: least attained service first, because the length of a program is unknown and
only its total latency counts. A call's rank is its program's attained tokens less
`AGEING_TOKENS_PER_S` for each second that it waited. A long program therefore waits behind newer
ones for a bounded time: at most `ATTAINED_CAP / AGEING_TOKENS_PER_S` seconds of later arrivals.
Where the time that a program has to spare is known, it counts as a later arrival, up to
`MAX_SLACK_S`.

Overload: the queue is bounded per organisation and in total. When it is full, the organisation
furthest over its share loses a call, first from a program that has not started. A call that cannot
meet its deadline at the current drain rate is refused at once, with the time after which the queue
will have room.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from tarragonhall_model import Execution, Refusal, RefusalCode

from tarragonhall_decisions._deadlines import (
    REPLY_MARGIN_MS,
    Deadline,
    bounded_retry_ms,
    can_meet,
    deadline_refusal,
)
from tarragonhall_decisions._in_service import InService
from tarragonhall_decisions._organisation_order import OrganisationOrder

# Tokens by which a call's rank improves for each second of waiting: about what one stream generates
# in ten seconds at 42 ms a token, so one second of waiting outweighs a long answer.
AGEING_TOKENS_PER_S = 240.0
# Attained tokens beyond this do not worsen a program's rank. It bounds the extra wait of the
# longest program to ten seconds.
ATTAINED_CAP = 2_400.0
# Time to spare beyond this does not worsen a program's rank; it bounds the extra wait as above.
MAX_SLACK_S = 10.0
# The expected run time makes no call expire in this first share of its time; `latest_start` says
# why.
MIN_WAIT_SHARE = 0.5
# Avoids a division by zero for a weight of 0.
MIN_WEIGHT = 1e-6


@dataclass(slots=True)
class QueuedCall:
    """A call that waits for a server.

    `cost` is its expected tokens (1 for a service call), `attained` the tokens that its program has
    already used, `started` whether the program had an earlier call. `max_wait_s` limits its wait in
    addition to the deadline. `slack_s` is the time that its program has to spare; a program that
    comes back after a refusal has its earlier wait taken off, which may make it negative.
    """

    call_id: str
    org_id: str
    program_id: str
    cost: float
    deadline: Deadline
    run_s: float = 0.0
    attained: float = 0.0
    started: bool = False
    max_wait_s: float = float("inf")
    slack_s: float = 0.0
    arrived: float = 0.0
    dequeued_at: float = 0.0

    def rank(self) -> float:
        """Return the order within the organisation, lower first; it does not change over time."""
        latest = self.arrived + max(-MAX_SLACK_S, min(self.slack_s, MAX_SLACK_S))
        return min(self.attained, ATTAINED_CAP) + AGEING_TOKENS_PER_S * latest

    def latest_start(self) -> float:
        """Return the time after which it is too late to start.

        The expected run time counts for at most half of the call's time. Otherwise run times learnt
        from longer calls would refuse every call with a short timeout, and no new run times would
        be learnt. `max_wait_s` may end the wait sooner.

        Up to that limit, the whole expected run time must be left: under overload every call waits
        until just then, and when half of the run time sufficed, 34 of 317 answers came too late.
        """
        time_left = self.deadline.at - self.arrived
        needed = min(self.run_s, MIN_WAIT_SHARE * time_left)
        by_deadline = self.deadline.at - needed - REPLY_MARGIN_MS / 1000
        return min(by_deadline, self.arrived + self.max_wait_s)


@dataclass(slots=True, frozen=True)
class Dropped:
    """A call that the queue refused; it did not run and no longer waits."""

    call: QueuedCall
    refusal: Refusal


@dataclass(slots=True)
class _Organisation:
    """`finish` is the virtual time up to which its taken calls have used its share."""

    weight: float = 1.0
    finish: float = 0.0
    queued_cost: float = 0.0
    heap: list[tuple[float, int, QueuedCall]] = field(default_factory=list)
    waiting: dict[str, QueuedCall] = field(default_factory=dict)

    def lead(self, virtual: float) -> float:
        """Return how far it would be ahead of its share after all its calls are served."""
        return max(0.0, self.finish - virtual) + self.queued_cost / self.weight


@dataclass(slots=True)
class FairQueue:
    """The calls that wait for one target at one entry.

    The caller runs `expire` before `take`, and `on_end` (or `requeue`) once for each call taken.
    """

    per_organisation: int = 1_000
    total: int = 10_000
    in_service: InService = field(default_factory=InService)
    _virtual: float = 0.0
    _order: int = 0
    _size: int = 0
    _queued_cost: float = 0.0
    _by_org: dict[str, _Organisation] = field(default_factory=dict)
    _backlogged: set[str] = field(default_factory=set)
    _organisation_order: OrganisationOrder = field(default_factory=OrganisationOrder)
    _latest_starts: list[tuple[float, int, QueuedCall]] = field(default_factory=list)

    def __len__(self) -> int:
        return self._size

    @property
    def queued_cost(self) -> float:
        """Return the cost of all waiting calls."""
        return self._queued_cost

    def set_weight(self, org_id: str, weight: float) -> None:
        """Set an organisation's share relative to the others."""
        self._organisation(org_id).weight = max(weight, MIN_WEIGHT)

    def offer(self, call: QueuedCall, now: float) -> list[Dropped]:
        """Add a call; return the calls refused as a result, which may include the call itself."""
        call.arrived = now
        wait_s = self._wait_of(call, now)
        if wait_s > 0 and not can_meet(call.deadline, wait_s, call.run_s, now):
            time_left = call.deadline.at - now - call.run_s
            return [Dropped(call, deadline_refusal(wait_s - max(0.0, time_left)))]
        self._add(call)
        org = self._by_org[call.org_id]
        if len(org.waiting) > self.per_organisation:
            return [self._drop_from(org, now)]
        if self._size > self.total:
            furthest = max(self._backlogged, key=lambda i: self._by_org[i].lead(self._virtual))
            return [self._drop_from(self._by_org[furthest], now)]
        return []

    def take(self, now: float) -> QueuedCall | None:
        """Remove and return the next call to run."""
        if not self._backlogged:
            return None
        chosen = self._organisation_order.first(self._virtual)
        org = self._by_org[chosen]
        call = self._pop(org)
        self._virtual = self._start_tag(org)
        org.finish = self._virtual + call.cost / org.weight
        self._update_order(chosen)
        call.dequeued_at = now
        self.in_service.add(call)
        return call

    def requeue(self, call: QueuedCall) -> None:
        """Requeue a call that was taken but not run, at its old position and without its charge."""
        if not self.in_service.remove(call.call_id):
            return
        org = self._organisation(call.org_id)
        org.finish -= call.cost / org.weight
        self._add(call)

    def remove(self, call_id: str, org_id: str) -> QueuedCall | None:
        """Remove a waiting call whose caller disconnected or whose key was withdrawn."""
        org = self._organisation(org_id)
        call = org.waiting.get(call_id)
        if call is not None:
            self._discard(org, call)
        return call

    def on_end(self, call: QueuedCall, actual_cost: float) -> None:
        """Correct the charge of a finished call to its actual cost."""
        if not self.in_service.remove(call.call_id):
            return
        org = self._organisation(call.org_id)
        org.finish += (actual_cost - call.cost) / org.weight
        self._update_order(call.org_id)

    def expire(self, now: float) -> list[Dropped]:
        """Refuse the waiting calls that can no longer be answered in time."""
        dropped = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            _, _, call = heapq.heappop(self._latest_starts)
            org = self._organisation(call.org_id)
            if org.waiting.get(call.call_id) is not call:
                continue
            self._discard(org, call)
            dropped.append(Dropped(call, deadline_refusal(self._wait_of(call, now))))
        return dropped

    def expected_wait_s(self, org_id: str, now: float) -> float:
        """Return how long a new call of the organisation would wait at the current drain rate."""
        if not self._size:
            return 0.0
        drain = self.in_service.drain_per_s(now)
        if drain <= 0:
            return 0.0
        org = self._organisation(org_id)
        active = sum(self._by_org[i].weight for i in self._backlogged | {org_id})
        by_share = org.lead(self._virtual) * active / drain
        return min(by_share, self._queued_cost / drain)

    def _wait_of(self, call: QueuedCall, now: float) -> float:
        """Return the expected wait of one call.

        For a program that has started, only the calls ranked before its own count. For a new
        program, all calls of its organisation count: under overload, new programs are refused
        rather than delay those that have started.
        """
        org_wait_s = self.expected_wait_s(call.org_id, now)
        if not call.started or org_wait_s <= 0:
            return org_wait_s
        org = self._organisation(call.org_id)
        rank = call.rank()
        ahead = sum(other.cost for other in org.waiting.values() if other.rank() < rank)
        return org_wait_s * (ahead / org.queued_cost) if org.queued_cost else org_wait_s

    def _start_tag(self, org: _Organisation) -> float:
        return max(self._virtual, org.finish)

    def _update_order(self, org_id: str) -> None:
        if org_id in self._backlogged:
            self._organisation_order.update(org_id, self._by_org[org_id].finish)

    def _drop_from(self, org: _Organisation, now: float) -> Dropped:
        victim = max(org.waiting.values(), key=lambda c: (not c.started, c.rank()))
        self._discard(org, victim)
        wait_s = self.expected_wait_s(victim.org_id, now)
        return Dropped(
            victim,
            Refusal(
                RefusalCode.OVERLOADED,
                "the organisation has too many calls waiting",
                Execution.NOT_RUN,
                bounded_retry_ms(wait_s),
            ),
        )

    def _add(self, call: QueuedCall) -> None:
        org = self._organisation(call.org_id)
        self._order += 1
        heapq.heappush(org.heap, (call.rank(), self._order, call))
        heapq.heappush(self._latest_starts, (call.latest_start(), self._order, call))
        org.waiting[call.call_id] = call
        org.queued_cost += call.cost
        self._queued_cost += call.cost
        self._size += 1
        self._backlogged.add(call.org_id)
        self._update_order(call.org_id)

    def _pop(self, org: _Organisation) -> QueuedCall:
        while True:
            _, _, call = heapq.heappop(org.heap)
            # Removed and expired calls stay in the heap until they reach its top.
            if org.waiting.get(call.call_id) is call:
                break
        self._discard(org, call)
        return call

    def _discard(self, org: _Organisation, call: QueuedCall) -> None:
        del org.waiting[call.call_id]
        org.queued_cost -= call.cost
        self._queued_cost -= call.cost
        self._size -= 1
        if not org.waiting:
            # Reset to exact zero: rounding errors of the sums must not look like a backlog.
            org.queued_cost = 0.0
            org.heap.clear()
            self._backlogged.discard(call.org_id)
            self._organisation_order.discard(call.org_id)
        if not self._size:
            self._queued_cost = 0.0
            self._latest_starts.clear()

    def _organisation(self, org_id: str) -> _Organisation:
        return self._by_org.setdefault(org_id, _Organisation())
