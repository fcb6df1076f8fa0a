"""Assigns waiting calls to servers, using the algorithms of `decisions`. No I/O.

Each target has its own fair queue; all share one router. Call `step` after every change that frees
a slot or changes a queue; `_slot_queue` passes its results to the waiting green threads.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonhall_decisions import (
    Deadline,
    Dropped,
    FairQueue,
    Quarantine,
    QueuedCall,
    RetryBudget,
    Router,
    RoutingRequest,
    RunTimes,
    subset,
)
from tarragonhall_model import (
    CallKind,
    LoadReport,
    Refusal,
    RefusalCode,
    ServerRecord,
    View,
    fingerprint,
)

from tarragonhall_entry._effects import AcquireSlot, Call, SlotAssigned

# A restarted server is back in the view within about 2 seconds, so waiting for it is better for the
# caller than a refusal.
MAX_NO_SERVER_WAIT_SECONDS = 4.0
# Share of its timeout that a call may wait for a server. If it were refused just before its
# deadline, it would end before the journal confirms that nobody will start it, and its caller would
# get `unknown` for a call that never ran.
MAX_NO_SERVER_WAIT_SHARE = 0.5
NO_SERVER_RETRY_MS = 2_000
# The call at the head may need a server without a free slot while calls behind it need another one.
LOOK_AHEAD = 4
CHARACTERS_PER_TOKEN = 4


@dataclass(slots=True)
class ScheduledCall:
    """A call that waits for a slot, or holds one."""

    call: Call
    request: AcquireSlot
    queued: QueuedCall
    fingerprint: str
    queued_at: float
    server: ServerRecord | None = None
    assigned_at: float = 0.0
    routing_request: RoutingRequest | None = None


@dataclass(slots=True, frozen=True)
class WaitOutcome:
    """The result of a call's wait for a slot."""

    scheduled: ScheduledCall
    result: SlotAssigned | Refusal


@dataclass(slots=True)
class Scheduler:
    """The waiting calls of this entry and the servers that it uses."""

    entry_id: str
    availability_zone: str
    rng: random.Random
    queue_per_organisation: int
    router: Router = field(init=False)
    run_times: RunTimes = field(default_factory=RunTimes)
    quarantine: Quarantine = field(default_factory=Quarantine)
    _servers: list[ServerRecord] = field(default_factory=list)
    _programs_by_server: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _queue_by_target: dict[str, FairQueue] = field(default_factory=dict)
    _budget_by_target: dict[str, RetryBudget] = field(default_factory=dict)
    _waiting_by_id: dict[str, ScheduledCall] = field(default_factory=dict)
    _assigned_by_id: dict[str, ScheduledCall] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.router = Router(self.availability_zone, self.rng)

    def apply_view(self, view: View) -> None:
        """Apply this entry's subset of the servers of a view."""
        entry_ids = [entry.entry_id for entry in view.entries]
        self._servers = subset(self.entry_id, entry_ids, view.servers)
        self.router.on_view(self._servers)
        ids = {server.server_id for server in self._servers}
        self._programs_by_server = {
            server_id: programs
            for server_id, programs in self._programs_by_server.items()
            if server_id in ids
        }

    def servers(self) -> list[ServerRecord]:
        """Return the servers that this entry uses."""
        return list(self._servers)

    def forget_program(self, program_id: str) -> list[str]:
        """Forget an ended program; return the addresses of servers that may hold its prefix."""
        last = self.router.forget_program(program_id)
        return [
            server.address
            for server in self._servers
            if server.server_id == last
            or program_id in self._programs_by_server.get(server.server_id, ())
        ]

    def on_load_report(self, report: LoadReport) -> None:
        """Handle a load report, which also shows that the link to its server is up."""
        self.router.on_link(report.server_id, True)
        self.router.on_load_report(report)
        self._programs_by_server[report.server_id] = report.held_programs

    def on_link_down(self, address: str) -> None:
        """Mark the servers at an address as not linked."""
        for server in self._servers:
            if server.address == address:
                self.router.on_link(server.server_id, False)

    def waiting(self) -> list[ScheduledCall]:
        """Return the waiting calls."""
        return list(self._waiting_by_id.values())

    def longest_waits(self, now: float) -> dict[str, float]:
        """Return how long the oldest waiting call of each model has waited, in seconds."""
        longest: dict[str, float] = {}
        for waiting in self._waiting_by_id.values():
            spec = waiting.call.spec
            if spec.kind is CallKind.MODEL:
                longest[spec.target] = max(longest.get(spec.target, 0.0), now - waiting.queued_at)
        return longest

    def retry_budget(self, target: str) -> RetryBudget:
        """Return the retry budget of a target."""
        return self._budget_by_target.setdefault(target, RetryBudget())

    def offer(
        self, call: Call, request: AcquireSlot, weight: float, now: float
    ) -> list[WaitOutcome]:
        """Queue a call; return the calls that the queue drops for it, possibly this one."""
        waiting = self._schedule(call, request, now)
        queue = self._queue(call.spec.target)
        queue.set_weight(call.org_id, weight)
        self._waiting_by_id[waiting.queued.call_id] = waiting
        return [self._dropped(dropped) for dropped in queue.offer(waiting.queued, now)]

    def remove(self, call: Call) -> ScheduledCall | None:
        """Remove a waiting call from its queue; return it, or None where it did not wait."""
        waiting = self._waiting_by_id.pop(call.call_id, None)
        if waiting is not None:
            self._queue(call.spec.target).remove(call.call_id, call.org_id)
        return waiting

    def step(self, now: float) -> list[WaitOutcome]:
        """Assign free slots to waiting calls, and refuse the calls that have expired."""
        outcomes = []
        for target, queue in self._queue_by_target.items():
            if not len(queue):
                continue
            outcomes.extend(self._dropped(dropped) for dropped in queue.expire(now))
            outcomes.extend(self._assign_slots(target, queue, now))
        return outcomes

    def unserved(self, now: float) -> list[ScheduledCall]:
        """Return the calls that waited too long for a target that no server serves."""
        return [
            waiting
            for waiting in self._waiting_by_id.values()
            if now - waiting.queued_at > _max_wait_without_server(waiting.queued)
            and not self.router.serves(waiting.call.spec.target)
        ]

    def release_unused(self, call: Call) -> None:
        """Release a slot to which nothing was sent, without updating any statistics."""
        assigned = self._assigned_by_id.pop(call.call_id, None)
        if assigned is None:
            return
        self.router.on_slot_unused(assigned.server.server_id, call.call_id)
        self.quarantine.on_end(assigned.fingerprint, assigned.server.server_id, False)
        self._queue(call.spec.target).on_end(assigned.queued, 0.0)

    def release(self, call: Call, answered: bool, tokens: int, now: float) -> None:
        """Release the slot of a call and record how the call went."""
        assigned = self._assigned_by_id.pop(call.call_id, None)
        if assigned is None:
            return
        units = float(max(1, tokens))
        server_id = assigned.server.server_id
        self.router.on_end(server_id, call.call_id, units, answered, now)
        self.quarantine.on_end(assigned.fingerprint, server_id, answered)
        cost = units if answered else 0.0
        self._queue(call.spec.target).on_end(assigned.queued, cost)
        if answered:
            self.run_times.on_end(call.spec.target, now - assigned.assigned_at, tokens)
            self.retry_budget(call.spec.target).on_success()

    def _assign_slots(self, target: str, queue: FairQueue, now: float) -> list[WaitOutcome]:
        assigned: list[WaitOutcome] = []
        skipped: list[QueuedCall] = []
        limit = LOOK_AHEAD if self.router.has_room(target) else 1
        while len(skipped) < limit:
            queued = queue.take(now)
            if queued is None:
                break
            waiting = self._waiting_by_id[queued.call_id]
            routing_request = self._routing_request(waiting, now)
            choice = self.router.choose(routing_request, now)
            if choice is None:
                skipped.append(queued)
                continue
            assigned.append(self._assign(waiting, routing_request, choice.server, now))
        for queued in skipped:
            queue.requeue(queued)
        return assigned

    def _assign(
        self,
        waiting: ScheduledCall,
        routing_request: RoutingRequest,
        server: ServerRecord,
        now: float,
    ) -> WaitOutcome:
        call_id = waiting.queued.call_id
        del self._waiting_by_id[call_id]
        waiting.server = server
        waiting.routing_request = routing_request
        waiting.assigned_at = now
        self._assigned_by_id[call_id] = waiting
        self.router.on_start(server.server_id, call_id, routing_request, now)
        self.quarantine.on_start(waiting.fingerprint, server.server_id)
        return WaitOutcome(waiting, SlotAssigned(server))

    def _schedule(self, call: Call, request: AcquireSlot, now: float) -> ScheduledCall:
        spec = call.spec
        cost = 1.0
        if spec.kind is CallKind.MODEL:
            cost = max(1.0, self.run_times.expected_tokens(spec.target, spec.max_tokens))
        queued = QueuedCall(
            call_id=call.call_id,
            org_id=call.org_id,
            program_id=call.program_id,
            cost=cost,
            deadline=Deadline(call.deadline),
            run_s=self.run_times.expected_s(spec.target),
            attained=request.attained_tokens,
            started=request.started,
        )
        request_fingerprint = fingerprint(call.org_id, spec.target, spec.body)
        return ScheduledCall(call, request, queued, request_fingerprint, now)

    def _routing_request(self, waiting: ScheduledCall, now: float) -> RoutingRequest:
        call, request = waiting.call, waiting.request
        # Servers on which the call failed are avoided only while the target has another one.
        others = {s.server_id for s in self._servers if call.spec.target in s.serves}
        avoid = request.excluded if others - request.excluded else frozenset()
        return RoutingRequest(
            target=call.spec.target,
            program_id=call.program_id,
            prompt_tokens=request.history_tokens,
            units=waiting.queued.cost,
            started=request.started,
            prefix_server=request.prefix_server,
            avoid=avoid | self.quarantine.servers_to_avoid(waiting.fingerprint, now),
        )

    def _dropped(self, dropped: Dropped) -> WaitOutcome:
        waiting = self._waiting_by_id.pop(dropped.call.call_id)
        return WaitOutcome(waiting, dropped.refusal)

    def _queue(self, target: str) -> FairQueue:
        queue = self._queue_by_target.get(target)
        if queue is None:
            queue = FairQueue(per_organisation=self.queue_per_organisation)
            self._queue_by_target[target] = queue
        return queue


def _max_wait_without_server(queued: QueuedCall) -> float:
    timeout_s = queued.deadline.at - queued.arrived
    return min(MAX_NO_SERVER_WAIT_SECONDS, MAX_NO_SERVER_WAIT_SHARE * timeout_s)


def no_server(target: str) -> Refusal:
    """Return the refusal of a call whose target no server serves."""
    return Refusal(
        RefusalCode.NO_SERVER, f"no server for {target!r}", retry_after_ms=NO_SERVER_RETRY_MS
    )


def tokens_in(text: str) -> int:
    """Return an estimate of the number of tokens in a text."""
    return len(text) // CHARACTERS_PER_TOKEN + 1
