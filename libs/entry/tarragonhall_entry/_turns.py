"""The eventlet shell of the scheduler: green threads that wait for a place on a server."""

from __future__ import annotations

import eventlet
from eventlet.event import Event
from tarragonhall_model import LoadReport, Refusal, RefusalCode, ServerRecord
from tarragonhall_wire import ProcessContext

from tarragonhall_entry._access import Access
from tarragonhall_entry._effects import Assigned, Call, WaitTurn
from tarragonhall_entry._scheduler import Scheduler, Waiting

# A key withdrawn while a call waits must end the wait within seconds; looking costs one lookup.
SWEEP_SECONDS = 0.25


class Turns:
    """Lets calls wait for their turn."""

    __slots__ = ("_access", "_context", "_event_by_seq", "_scheduler", "_stopped")

    def __init__(self, context: ProcessContext, scheduler: Scheduler, access: Access) -> None:
        self._context = context
        self._scheduler = scheduler
        self._access = access
        self._event_by_seq: dict[int, Event] = {}
        self._stopped = False
        context.hub.handle(LoadReport, self._on_report)
        eventlet.spawn_n(self._sweep_loop)

    def wait(self, call: Call, wish: WaitTurn) -> Assigned | Refusal:
        """Wait for a place on a server, at most until the call's deadline."""
        waiting = self._scheduler.add(call, wish)
        if isinstance(waiting, Refusal):
            return waiting
        event = Event()
        self._event_by_seq[waiting.seq] = event
        started = self._context.monotonic()
        self._context.timeline.add("call.queued", call.program_id, seq=call.spec.seq)
        self.pump()
        with eventlet.Timeout(max(0.0, call.deadline - started), False):
            event.wait()
        if not event.ready():
            self._wake(waiting, self._late(call))
        waited_ms = (self._context.monotonic() - started) * 1000
        self._context.metrics.timing("entry.queue", waited_ms)
        return event.wait()

    def free(self, server: ServerRecord) -> None:
        """Give a place back."""
        self._scheduler.free(server)
        self.pump()

    def refuse(self, refusal: Refusal, program_id: str | None = None) -> None:
        """Refuse the calls that wait, of one program or all."""
        for waiting in list(self._scheduler.waiting):
            if program_id is None or waiting.call.program_id == program_id:
                self._wake(waiting, refusal)

    def pump(self) -> None:
        """Give the free places to waiting calls."""
        for waiting, assigned in self._scheduler.assign(self._context.rng):
            self._wake(waiting, assigned)

    def stop(self) -> None:
        """End the sweep."""
        self._stopped = True

    def _late(self, call: Call) -> Refusal:
        if not self._scheduler.serves(call.spec.kind, call.spec.target):
            return Refusal(RefusalCode.NO_SERVER, f"no server for {call.spec.target!r}")
        return Refusal(RefusalCode.DEADLINE, "no server was free within the timeout")

    def _wake(self, waiting: Waiting, result: Assigned | Refusal) -> None:
        self._scheduler.remove(waiting)
        self._event_by_seq.pop(waiting.seq).send(result)

    def _sweep_loop(self) -> None:
        while not self._stopped:
            eventlet.sleep(SWEEP_SECONDS)
            self._sweep()

    def _sweep(self) -> None:
        now = self._context.monotonic()
        wall_ms = self._context.wall_ms()
        for waiting in list(self._scheduler.waiting):
            refusal = self._access.check(waiting.call.key_hash, now, wall_ms)
            if refusal is not None:
                self._wake(waiting, refusal)
        self._context.metrics.gauge("entry.waiting", len(self._scheduler.waiting))
        self.pump()

    def _on_report(self, _link: object, report: LoadReport) -> None:
        self._scheduler.report(report)
        self.pump()
