"""Calls that wait for a place at a service's servers, and the green threads behind them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event
from tarragonhall_decisions import (
    BackendChooser,
    CallNeed,
    Dropped,
    PlaceQueue,
    QueuedCall,
    Tier,
)
from tarragonhall_model import BackendRecord, Refusal

# The call at the head may be kept from the one server that has room, as it has been there.
LOOK_AHEAD = 4
# Windows open with time, and calls run out of it; between two ends of calls somebody must look.
POLL_S = 0.02


@dataclass(slots=True, frozen=True)
class Place:
    """A place at a server, held by a call from `started_at` (monotonic seconds)."""

    server: BackendRecord
    started_at: float
    queued: QueuedCall


@dataclass(slots=True)
class _Waiter:
    need: CallNeed
    event: Event = field(default_factory=Event)
    result: Place | Refusal | None = None

    def end(self, result: Place | Refusal) -> None:
        self.result = result
        self.event.send()


class Places:
    """The queues of all services at one entry."""

    __slots__ = ("_chooser", "_monotonic", "_polling", "_queue_by_service", "_rng", "_waiter_by_id")

    def __init__(
        self, chooser: BackendChooser, rng: random.Random, monotonic: Callable[[], float]
    ) -> None:
        self._chooser = chooser
        self._rng = rng
        self._monotonic = monotonic
        self._polling: set[str] = set()
        self._queue_by_service: dict[str, PlaceQueue] = {}
        self._waiter_by_id: dict[str, _Waiter] = {}

    def waiting(self) -> int:
        """Return how many calls wait."""
        return len(self._waiter_by_id)

    def turn_away(self, service: str, call: QueuedCall, tier: Tier) -> Refusal | None:
        """Return the refusal of a call that is not to begin now, before anything is spent on it."""
        return self._queue(service).turn_away(call, tier, self._monotonic())

    def take(self, call: QueuedCall, tier: Tier, need: CallNeed) -> Place | Refusal:
        """Wait for a place; return it, or the refusal where there is none in time.

        Whoever gets a place gives it back with `end`, or with `again` where the server was full.
        """
        queue = self._queue(need.service)
        waiter = _Waiter(need)
        self._waiter_by_id[call.call_id] = waiter
        self._refuse(queue.offer(call, tier, self._monotonic()))
        return self._wait(call, waiter)

    def again(self, place: Place, need: CallNeed) -> Place | Refusal:
        """Wait for another place after the server of this one did not run the call."""
        self._leave(place)
        waiter = _Waiter(need)
        self._waiter_by_id[place.queued.call_id] = waiter
        self._queue(need.service).give_back(place.queued)
        return self._wait(place.queued, waiter)

    def end(self, place: Place) -> None:
        """Give a place back: the call has left its server, however it ended."""
        self._leave(place)
        service = place.server.service
        self._queue(service).on_end(place.queued)
        self._pump(service)

    def began(self, place: Place) -> None:
        """Note that the server of a place has begun to answer the call."""
        self._chooser.silent.answered(
            place.server.server_id, place.queued.call_id, self._monotonic()
        )

    def _leave(self, place: Place) -> None:
        self._chooser.silent.left(place.server.server_id, place.queued.call_id, self._monotonic())
        self._chooser.ended(place.server.server_id, place.started_at)

    def _wait(self, call: QueuedCall, waiter: _Waiter) -> Place | Refusal:
        service = waiter.need.service
        try:
            if waiter.result is None:
                self._pump(service)
            if waiter.result is None:
                self._keep_looking(service)
                waiter.event.wait()
        except BaseException:
            # The caller has gone or its time is over; it may have got its place just then.
            self._give_up(call, waiter)
            raise
        return waiter.result

    def _give_up(self, call: QueuedCall, waiter: _Waiter) -> None:
        self._waiter_by_id.pop(call.call_id, None)
        if isinstance(waiter.result, Place):
            self.end(waiter.result)
            return
        self._queue(waiter.need.service).remove(call)

    def _pump(self, service: str) -> None:
        """Refuse the calls whose time is over, and give the places that are free to the others."""
        queue = self._queue(service)
        now = self._monotonic()
        self._refuse(queue.expire(now))
        passed_over: list[QueuedCall] = []
        while len(passed_over) < LOOK_AHEAD:
            call = queue.take(now)
            if call is None:
                break
            need = self._waiter_by_id[call.call_id].need
            server = self._chooser.choose(need, now)
            if server is not None:
                self._grant(call, server, queue, now)
                continue
            passed_over.append(call)
            if not need.avoid:
                # What has no room for a call that may go anywhere has none for the others.
                break
        for call in passed_over:
            queue.give_back(call)

    def _grant(
        self, call: QueuedCall, server: BackendRecord, queue: PlaceQueue, now: float
    ) -> None:
        self._chooser.silent.sent(server, call.call_id, now)
        self._chooser.started(server.server_id, now)
        queue.placed(call)
        self._waiter_by_id.pop(call.call_id).end(Place(server, now, call))

    def _refuse(self, dropped: list[Dropped]) -> None:
        for one in dropped:
            self._waiter_by_id.pop(one.call.call_id).end(one.refusal)

    def _keep_looking(self, service: str) -> None:
        if service not in self._polling:
            self._polling.add(service)
            eventlet.spawn_n(self._poll_loop, service)

    def _poll_loop(self, service: str) -> None:
        try:
            while len(self._queue(service)):
                eventlet.sleep(POLL_S)
                self._pump(service)
        finally:
            self._polling.discard(service)

    def _queue(self, service: str) -> PlaceQueue:
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = PlaceQueue(self._rng)
            self._queue_by_service[service] = queue
        return queue
