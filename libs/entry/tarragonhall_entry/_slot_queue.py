"""The eventlet side of the scheduler: green threads that wait for a slot on a server."""

from __future__ import annotations

import eventlet
from eventlet.event import Event
from tarragonhall_decisions import deadline_refusal
from tarragonhall_model import LoadReport, Refusal
from tarragonhall_state import Follower
from tarragonhall_wire import ProcessContext, repeat

from tarragonhall_entry._authentication import Authenticator
from tarragonhall_entry._effects import AcquireSlot, Call, ReleaseSlot, SlotAssigned
from tarragonhall_entry._scheduler import Scheduler, WaitOutcome, no_server

# A key withdrawn while a call waits must end the wait within seconds; a check costs one lookup.
SWEEP_SECONDS = 0.25


class SlotQueue:
    """Blocks calls until the scheduler assigns them a slot or refuses them."""

    __slots__ = (
        "_authenticator",
        "_context",
        "_event_by_id",
        "_follower",
        "_scheduler",
        "_stopped",
    )

    def __init__(
        self,
        context: ProcessContext,
        scheduler: Scheduler,
        authenticator: Authenticator,
        follower: Follower,
    ) -> None:
        self._context = context
        self._scheduler = scheduler
        self._authenticator = authenticator
        self._follower = follower
        self._event_by_id: dict[str, Event] = {}
        self._stopped = False
        context.hub.handle(LoadReport, self._on_report)
        context.hub.on_link_closed(lambda link: scheduler.on_link_down(link.peer.address))
        eventlet.spawn_n(repeat, self._sweep_next, lambda: not self._stopped)

    def acquire(self, call: Call, request: AcquireSlot) -> SlotAssigned | Refusal:
        """Wait for a slot on a server, at most until the call's deadline."""
        started = self._context.monotonic()
        event = self._offer(call, request)
        if not event.ready():
            self._context.timeline.add("call.queued", call.program_id, seq=call.spec.seq)
        with eventlet.Timeout(max(0.0, call.deadline - started), False):
            event.wait()
        if not event.ready():
            self._scheduler.remove(call)
            self._wake(call, deadline_refusal(0.0))
        waited_ms = (self._context.monotonic() - started) * 1000
        self._context.metrics.timing("entry.queue_ms", waited_ms)
        return event.wait()

    def try_acquire(self, call: Call, started: bool) -> SlotAssigned | Refusal | None:
        """Take a slot without waiting.

        Return it, None where no slot is free, or a `Refusal` where the queue refuses the call.
        """
        event = self._offer(call, AcquireSlot(started, None, 0, 0, frozenset()))
        if event.ready():
            return event.wait()
        self._scheduler.remove(call)
        del self._event_by_id[call.call_id]
        return None

    def release(self, call: Call, effect: ReleaseSlot) -> None:
        """Release a slot and assign the free ones."""
        if effect.used:
            now = self._context.monotonic()
            self._scheduler.release(call, effect.answered, effect.tokens, now)
        else:
            self._scheduler.release_unused(call)
        self.assign_free_slots()

    def refuse(self, refusal: Refusal, program_id: str | None = None) -> None:
        """Refuse the waiting calls of one program, or all of them."""
        for waiting in self._scheduler.waiting():
            if program_id is None or waiting.call.program_id == program_id:
                self._refuse(waiting.call, refusal)

    def assign_free_slots(self) -> None:
        """Assign free slots to waiting calls."""
        self._resolve(self._scheduler.step(self._context.monotonic()))

    def stop(self) -> None:
        """Stop the sweep."""
        self._stopped = True

    def _offer(self, call: Call, request: AcquireSlot) -> Event:
        event = Event()
        self._event_by_id[call.call_id] = event
        # The organisation may have been removed since the key was checked; the next check refuses
        # the call.
        organisation = self._follower.organisation_by_id.get(call.org_id)
        weight = organisation.weight if organisation is not None else 1.0
        self._resolve(self._scheduler.offer(call, request, weight, self._context.monotonic()))
        self.assign_free_slots()
        return event

    def _resolve(self, outcomes: list[WaitOutcome]) -> None:
        for outcome in outcomes:
            self._wake(outcome.scheduled.call, outcome.result)

    def _refuse(self, call: Call, refusal: Refusal) -> None:
        self._scheduler.remove(call)
        self._wake(call, refusal)

    def _wake(self, call: Call, result: SlotAssigned | Refusal) -> None:
        event = self._event_by_id.pop(call.call_id, None)
        if event is not None:
            event.send(result)

    def _sweep_next(self) -> None:
        eventlet.sleep(SWEEP_SECONDS)
        self._sweep()

    def _sweep(self) -> None:
        now = self._context.monotonic()
        wall_ms = self._context.wall_ms()
        waiting = self._scheduler.waiting()
        for one in waiting:
            refusal = self._authenticator.check(one.call.key_hash, now, wall_ms)
            if refusal is not None:
                self._refuse(one.call, refusal)
        for one in self._scheduler.unserved(now):
            self._refuse(one.call, no_server(one.call.spec.target))
        if waiting:
            self._context.metrics.gauge("entry.waiting", len(waiting))
            self.assign_free_slots()

    def _on_report(self, _link: object, report: LoadReport) -> None:
        self._scheduler.on_load_report(report)
        self.assign_free_slots()
