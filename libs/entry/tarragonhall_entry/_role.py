"""The entry role as the daemon drives it: start, readiness, drain, stop."""

from __future__ import annotations

import eventlet
import structlog
from eventlet.greenthread import GreenThread
from tarragonhall_decisions import DrainPhase, EntryDrain
from tarragonhall_model import NodeLoad, Refusal, RefusalCode, View
from tarragonhall_rates import Rates
from tarragonhall_wire import ControlClient, HttpServer, ProcessContext, Role

from tarragonhall_entry._access import Access
from tarragonhall_entry._api import CallersApi, on_error
from tarragonhall_entry._dispatcher import Dispatcher
from tarragonhall_entry._ends import ProgramEnds
from tarragonhall_entry._following import EntryFollower
from tarragonhall_entry._runner import CallRunner
from tarragonhall_entry._scheduler import Scheduler
from tarragonhall_entry._settings import EntrySettings
from tarragonhall_entry._turns import Turns

log = structlog.get_logger(__name__)

LEAVE_SECONDS = 2.0
# Of the drain's time, what is kept back to hand back the calls that still wait for a place.
HAND_BACK_SECONDS = 1.0
DRAIN_RETRY_MS = 100
DRAIN_STEP_SECONDS = 0.02
# The view without this entry is pushed within a round trip. Without it the buckets cannot be handed
# over, and their next owners wait until this one's lease is over.
VIEW_SECONDS = 0.5


class EntryRole:
    """One entry: callers on HTTP in front, control members and sidecars on links behind."""

    __slots__ = (
        "_context",
        "_control",
        "_draining",
        "_follower",
        "_http",
        "_rates",
        "_runner",
        "_scheduler",
        "_settings",
        "_turns",
    )

    def __init__(
        self, settings: EntrySettings, context: ProcessContext, control: ControlClient
    ) -> None:
        self._settings = settings
        self._context = context
        self._control = control
        self._draining = False
        self._rates = Rates(context)
        scheduler = Scheduler(
            context.instance,
            context.availability_zone,
            context.rng,
            settings.queue_per_organisation,
        )
        self._scheduler = scheduler
        self._follower = EntryFollower(context, self._rates, scheduler)
        access = Access(self._follower)
        self._turns = Turns(context, scheduler, access, self._follower)
        self._follower.turns = self._turns
        dispatcher = Dispatcher(context, self._follower)
        self._runner = CallRunner(
            context,
            control,
            self._follower,
            access,
            self._rates,
            scheduler,
            self._turns,
            dispatcher,
        )
        api = CallersApi(context, control, self._follower, access, self._runner)
        api.is_ready = self.ready
        api.on_ended = ProgramEnds(context, control, scheduler, self._turns, dispatcher).on_ended
        self._http = HttpServer(settings.listen, on_error)
        api.add_routes(self._http)

    def start(self) -> None:
        """Follow the settings and serve callers."""
        self._control.follow(
            self._context.entry_record,
            self._follower,
            self._load,
            settled_owners=self._rates.settled_owners,
        )
        self._http.start()
        log.info("entry.started", listen=self._settings.listen)

    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return not self._draining and self._follower.is_fresh(self._context.monotonic())

    def drain(self, timeout_s: float) -> bool:
        """Fail `readyz`, give the balancer time, finish every request, leave the view."""
        self._draining = True
        now = self._context.monotonic()
        grace_s = min(self._settings.drain_grace_ms / 1000, timeout_s / 2)
        steps = EntryDrain(grace_s, force_after_s=max(0.0, timeout_s - HAND_BACK_SECONDS))
        steps.begin(now)
        self._http.drain()
        log.info("entry.draining", calls=len(self._runner.running_by_name))
        while steps.step(self._calls_at_hand(), self._context.monotonic()) is DrainPhase.NOT_READY:
            eventlet.sleep(DRAIN_STEP_SECONDS)
        # Callers in the accept backlog believe that they are served, so they are.
        stopping = eventlet.spawn(self._http.stop, max(0.0, now + timeout_s - self._now()))
        while steps.step(self._calls_at_hand(stopping), self._now()) is DrainPhase.CLOSED:
            eventlet.sleep(DRAIN_STEP_SECONDS)
        forced = steps.phase is DrainPhase.FORCED
        if forced:
            self._hand_back()
        ended = stopping.wait() and not forced
        self._leave()
        log.info("entry.drained", forced=not ended)
        return ended

    def stop(self) -> None:
        """Release everything at once; after a drain there is nothing left."""
        if self._draining:
            return
        self._draining = True
        self._rates.stop()
        self._turns.stop()
        self._http.stop(0)

    def _now(self) -> float:
        return self._context.monotonic()

    def _calls_at_hand(self, stopping: GreenThread | None = None) -> int:
        # Callers may have gone, but an answer that nobody waits for is journalled all the same.
        open_server = stopping is None or not stopping.dead
        return len(self._runner.running_by_name) + open_server

    def _load(self) -> NodeLoad:
        return NodeLoad(self._scheduler.waits(self._now()))

    def _leave(self) -> None:
        """Leave the view and hand the rate buckets to their owners in the view without us."""
        self._control.leave(self._context.entry_record(), LEAVE_SECONDS)
        deadline = self._now() + VIEW_SECONDS
        while self._is_in(self._follower.view) and self._now() < deadline:
            eventlet.sleep(DRAIN_STEP_SECONDS)
        view = self._follower.view
        if not self._is_in(view):
            self._rates.leave(view)
        self._turns.stop()

    def _is_in(self, view: View) -> bool:
        return any(entry.entry_id == self._context.instance for entry in view.entries)

    def _hand_back(self) -> None:
        message = "this entry is shutting down; send the call again, to another"
        self._turns.refuse(
            Refusal(RefusalCode.SHUTTING_DOWN, message, retry_after_ms=DRAIN_RETRY_MS)
        )


def start_entry(settings: EntrySettings, context: ProcessContext, control: ControlClient) -> Role:
    """Serve callers until drained."""
    role = EntryRole(settings, context, control)
    role.start()
    return role
