"""Queues of calls that wait for a slot at a service's servers, one green thread for each call."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

import eventlet
from eventlet.event import Event
from tarragonhall_decisions import (
    BackendChooser,
    CallRequirements,
    Dropped,
    QueuedCall,
    ServiceQueue,
    Tier,
    UrgentTier,
)
from tarragonhall_model import BackendRecord, Refusal
from tarragonhall_wire import repeat

# The call at the head may have to avoid the only server with a free slot, since it was unreachable
# or failed. Up to this many such calls are skipped, so that they do not block those behind them.
MAX_SKIPPED_CALLS = 4
# Capacity windows open and deadlines pass also while no call ends, so the queues are polled.
QUEUE_POLL_S = 0.02


@dataclass(slots=True, frozen=True)
class Slot:
    """A slot at a server, held by a call from `started_at` (monotonic seconds)."""

    server: BackendRecord
    started_at: float
    queued: QueuedCall


@dataclass(slots=True)
class _Waiter:
    requirements: CallRequirements
    event: Event = field(default_factory=Event)
    lacked_memory: bool = False
    result: Slot | Refusal | None = None

    def resolve(self, result: Slot | Refusal) -> None:
        self.result = result
        self.event.send()


class SlotAllocator:
    """Allocates slots to the waiting calls of one entry, with a queue for each service."""

    __slots__ = (
        "_chooser",
        "_monotonic",
        "_polling",
        "_queue_by_service",
        "_rng",
        "_waiter_by_id",
        "yields",
    )

    def __init__(
        self, chooser: BackendChooser, rng: random.Random, monotonic: Callable[[], float]
    ) -> None:
        self._chooser = chooser
        self._rng = rng
        self._monotonic = monotonic
        self._polling: set[str] = set()
        self._queue_by_service: dict[str, ServiceQueue] = {}
        self._waiter_by_id: dict[str, _Waiter] = {}
        # Returns whether a call leaves this entry's share to more urgent ones at other entries.
        self.yields: Callable[[str, QueuedCall, Tier | UrgentTier], bool] | None = None

    def waiting(self) -> int:
        """Return how many calls are waiting."""
        return len(self._waiter_by_id)

    def set_least_drain(self, service: str, per_s: float) -> None:
        """Set the rate at which this entry's share of a service's servers ends calls."""
        self._queue(service).least_drain_per_s = per_s

    def reject_early(
        self, service: str, call: QueuedCall, tier: Tier | UrgentTier
    ) -> Refusal | None:
        """Return the refusal of a call that must not start now, before resources are used on it."""
        return self._queue(service).reject_early(call, tier, self._monotonic())

    def acquire(
        self, call: QueuedCall, tier: Tier | UrgentTier, requirements: CallRequirements
    ) -> Slot | Refusal:
        """Wait for a slot; return it, or the refusal if none comes in time.

        The caller must pass the slot to `release`, or to `reacquire` to try another server.
        """
        queue = self._queue(requirements.service)
        waiter = _Waiter(requirements)
        self._waiter_by_id[call.call_id] = waiter
        self._reject(queue.offer(call, tier, self._monotonic()))
        return self._wait(call, waiter)

    def reacquire(self, slot: Slot, requirements: CallRequirements) -> Slot | Refusal:
        """Exchange the slot for another one after its server did not run the call or failed."""
        self._leave_server(slot)
        waiter = _Waiter(requirements)
        self._waiter_by_id[slot.queued.call_id] = waiter
        self._queue(requirements.service).requeue(slot.queued)
        return self._wait(slot.queued, waiter)

    def release(self, slot: Slot) -> None:
        """Release a slot after its call has left the server, however it ended."""
        self._leave_server(slot)
        service = slot.server.service
        self._queue(service).on_end(slot.queued)
        self._dispatch(service)

    def note_response(self, slot: Slot) -> None:
        """Record that the server of a slot has begun to respond."""
        self._chooser.unresponsive.answered(
            slot.server.server_id, slot.queued.call_id, self._monotonic()
        )

    def _leave_server(self, slot: Slot) -> None:
        self._chooser.unresponsive.on_left(
            slot.server.server_id, slot.queued.call_id, self._monotonic()
        )
        self._chooser.ended(slot.server.server_id, slot.started_at)
        self._chooser.memory.ended(slot.queued.call_id)
        self._chooser.preferred.ended(slot.queued.call_id)

    def _wait(self, call: QueuedCall, waiter: _Waiter) -> Slot | Refusal:
        service = waiter.requirements.service
        try:
            if waiter.result is None:
                self._dispatch(service)
            if waiter.result is None:
                self._start_polling(service)
                waiter.event.wait()
        except BaseException:
            # The caller has gone or its deadline has passed; it may have got a slot just then.
            self._cancel(call, waiter)
            raise
        return waiter.result

    def _cancel(self, call: QueuedCall, waiter: _Waiter) -> None:
        self._waiter_by_id.pop(call.call_id, None)
        if isinstance(waiter.result, Slot):
            self.release(waiter.result)
            return
        self._queue(waiter.requirements.service).remove(call)

    def _dispatch(self, service: str) -> None:
        """Reject calls that have waited too long and give free slots to the others."""
        queue = self._queue(service)
        now = self._monotonic()
        self._reject(queue.expire(now))
        skipped: list[QueuedCall] = []
        while len(skipped) < MAX_SKIPPED_CALLS:
            call = queue.take(now)
            if call is None:
                break
            waiter = self._waiter_by_id[call.call_id]
            requirements = self._requirements(service, call, queue)
            server = self._chooser.choose(requirements, now)
            if server is not None:
                self._grant(call, server, queue, now)
                continue
            skipped.append(call)
            self._note_lacked_memory(waiter)
            if not requirements.avoid:
                # A call that avoids no server found no free slot, so those behind it would find
                # none either, unless this call is bound to home regions.
                break
        for call in skipped:
            queue.requeue(call)

    def _requirements(
        self, service: str, call: QueuedCall, queue: ServiceQueue
    ) -> CallRequirements:
        requirements = self._waiter_by_id[call.call_id].requirements
        if self.yields is None or not self.yields(service, call, queue.tier_of(call)):
            return requirements
        return replace(requirements, yields=True)

    def _note_lacked_memory(self, waiter: _Waiter) -> None:
        """Count a call that waits for memory, once, however often it is tried."""
        memory = self._chooser.memory
        if memory.lacked_room and not waiter.lacked_memory:
            waiter.lacked_memory = True
            memory.without_room += 1

    def _grant(
        self, call: QueuedCall, server: BackendRecord, queue: ServiceQueue, now: float
    ) -> None:
        self._chooser.unresponsive.sent(server, call.call_id, now)
        self._chooser.started(server.server_id, now)
        queue.on_slot_assigned(call)
        waiter = self._waiter_by_id.pop(call.call_id)
        self._chooser.memory.started(call.call_id, server, waiter.requirements)
        self._chooser.preferred.started(call.call_id, waiter.requirements)
        waiter.resolve(Slot(server, now, call))

    def _reject(self, dropped: list[Dropped]) -> None:
        for dropped_call in dropped:
            self._waiter_by_id.pop(dropped_call.call.call_id).resolve(dropped_call.refusal)

    def _start_polling(self, service: str) -> None:
        if service not in self._polling:
            self._polling.add(service)
            eventlet.spawn_n(self._poll_loop, service)

    def _poll_loop(self, service: str) -> None:
        repeat(partial(self._poll, service), lambda: len(self._queue(service)) > 0)
        self._polling.discard(service)

    def _poll(self, service: str) -> None:
        eventlet.sleep(QUEUE_POLL_S)
        self._dispatch(service)

    def _queue(self, service: str) -> ServiceQueue:
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = ServiceQueue(self._rng)
            self._queue_by_service[service] = queue
        return queue
