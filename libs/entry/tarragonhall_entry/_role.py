"""The lifecycle of the entry role: start, readiness, drain and stop."""

from __future__ import annotations

import eventlet
import structlog
from eventlet.greenthread import GreenThread
from tarragonhall_decisions import DrainPhase, EntryDrain
from tarragonhall_model import Execution, NodeLoad, Refusal, RefusalCode, View
from tarragonhall_rates import Rates
from tarragonhall_wire import ControlClient, HttpServer, ProcessContext, Role

from tarragonhall_entry._api import CallersApi, on_error
from tarragonhall_entry._authentication import Authenticator
from tarragonhall_entry._dispatcher import Dispatcher
from tarragonhall_entry._follower import EntryFollower
from tarragonhall_entry._program_cleanup import ProgramCleanup
from tarragonhall_entry._runner import CallRunner
from tarragonhall_entry._scheduler import Scheduler
from tarragonhall_entry._settings import EntrySettings
from tarragonhall_entry._slot_queue import SlotQueue

log = structlog.get_logger(__name__)

LEAVE_TIMEOUT_SECONDS = 2.0
# Reserved at the end of a drain for refusing the calls that still wait for a slot.
DRAIN_REJECT_SECONDS = 1.0
DRAIN_RETRY_MS = 100
DRAIN_STEP_SECONDS = 0.02
# Control pushes the view that no longer lists this entry within a round trip. Until it arrives, the
# token buckets cannot be handed over; after this timeout they are not, and their next owners must
# wait until this entry's lease expires.
VIEW_TIMEOUT_SECONDS = 0.5


class EntryRole:
    """An entry: serves callers over HTTP, and links to control members and sidecars."""

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
        "_slot_queue",
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
        authenticator = Authenticator(self._follower)
        self._slot_queue = SlotQueue(context, scheduler, authenticator, self._follower)
        self._follower.slot_queue = self._slot_queue
        dispatcher = Dispatcher(context, self._follower)
        self._runner = CallRunner(
            context,
            control,
            self._follower,
            authenticator,
            self._rates,
            scheduler,
            self._slot_queue,
            dispatcher,
        )
        api = CallersApi(context, control, self._follower, authenticator, self._runner)
        api.is_ready = self.ready
        api.on_program_ended = ProgramCleanup(
            context, control, scheduler, self._slot_queue, dispatcher
        ).on_program_ended
        self._http = HttpServer(settings.listen, on_error, context.inbound, Execution.UNKNOWN.value)
        api.add_routes(self._http)

    def start(self) -> None:
        """Start following control and serving callers."""
        self._control.follow(
            self._context.entry_record,
            self._follower,
            self._load,
            settled_owners=self._rates.settled_owners,
        )
        self._http.start()
        log.info("entry.started", listen=self._settings.listen)

    def ready(self) -> bool:
        """Return whether this entry may be sent requests."""
        return not self._draining and self._follower.is_fresh(self._context.monotonic())

    def drain(self, timeout_s: float) -> bool:
        """Fail `readyz`, give the load balancer time, finish every request and leave the view.

        Return whether all requests finished before `timeout_s`.
        """
        self._draining = True
        now = self._context.monotonic()
        grace_s = min(self._settings.drain_grace_ms / 1000, timeout_s / 2)
        steps = EntryDrain(grace_s, force_after_s=max(0.0, timeout_s - DRAIN_REJECT_SECONDS))
        steps.begin(now)
        self._http.drain()
        log.info("entry.draining", calls=len(self._runner.running_by_key))
        while steps.step(self._open_calls(), self._context.monotonic()) is DrainPhase.NOT_READY:
            eventlet.sleep(DRAIN_STEP_SECONDS)
        # Connections in the accept backlog look established to their callers, so they are served.
        stopping = eventlet.spawn(self._http.stop, max(0.0, now + timeout_s - self._now()))
        while steps.step(self._open_calls(stopping), self._now()) is DrainPhase.CLOSED:
            eventlet.sleep(DRAIN_STEP_SECONDS)
        forced = steps.phase is DrainPhase.FORCED
        if forced:
            self._reject_waiting()
        ended = stopping.wait() and not forced
        self._leave()
        log.info("entry.drained", forced=not ended)
        return ended

    def stop(self) -> None:
        """Stop at once, without draining; does nothing after a drain."""
        if self._draining:
            return
        self._draining = True
        self._rates.stop()
        self._slot_queue.stop()
        self._http.stop(0)

    def _now(self) -> float:
        return self._context.monotonic()

    def _open_calls(self, stopping: GreenThread | None = None) -> int:
        # Calls whose callers have disconnected count too: their answers are still recorded.
        open_server = stopping is None or not stopping.dead
        return len(self._runner.running_by_key) + open_server

    def _load(self) -> NodeLoad:
        return NodeLoad(self._scheduler.longest_waits(self._now()))

    def _leave(self) -> None:
        """Leave the view and hand the token buckets over to their owners in the next view."""
        self._control.leave(self._context.entry_record(), LEAVE_TIMEOUT_SECONDS)
        deadline = self._now() + VIEW_TIMEOUT_SECONDS
        while self._is_listed(self._follower.view) and self._now() < deadline:
            eventlet.sleep(DRAIN_STEP_SECONDS)
        view = self._follower.view
        if not self._is_listed(view):
            self._rates.leave(view)
        self._slot_queue.stop()

    def _is_listed(self, view: View) -> bool:
        return any(entry.entry_id == self._context.instance for entry in view.entries)

    def _reject_waiting(self) -> None:
        message = "this entry is shutting down; retry at another entry"
        self._slot_queue.refuse(
            Refusal(RefusalCode.SHUTTING_DOWN, message, retry_after_ms=DRAIN_RETRY_MS)
        )


def start_entry(settings: EntrySettings, context: ProcessContext, control: ControlClient) -> Role:
    """Start an entry that serves callers until it is drained or stopped."""
    role = EntryRole(settings, context, control)
    role.start()
    return role
