"""The entry role as the daemon drives it: start, readiness, drain, stop."""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_model import EntryRecord, LinkError, Refusal, RefusalCode, View
from tarragonhall_state import Follower
from tarragonhall_wire import ControlClient, HttpServer, ProcessContext, Role

from tarragonhall_entry._access import Access
from tarragonhall_entry._api import CallersApi, on_error
from tarragonhall_entry._dispatcher import Dispatcher
from tarragonhall_entry._runner import CallRunner
from tarragonhall_entry._scheduler import Scheduler
from tarragonhall_entry._settings import EntrySettings
from tarragonhall_entry._turns import Turns

log = structlog.get_logger(__name__)

LEAVE_SECONDS = 2.0
# Of the drain's time, what is kept back to hand back the calls that still wait for a place.
HAND_BACK_SECONDS = 1.0
DRAIN_RETRY_MS = 100


class EntryFollower(Follower):
    """The follower of this entry; it tells the scheduler of every new view."""

    __slots__ = ("on_view",)

    def __init__(self) -> None:
        super().__init__()
        self.on_view = lambda _view: None

    def apply_view(self, view: View) -> bool:
        """Take a view of a later epoch."""
        if not super().apply_view(view):
            return False
        self.on_view(view)
        return True


class EntryRole:
    """One entry: callers on HTTP in front, control members and sidecars on links behind."""

    __slots__ = (
        "_context",
        "_control",
        "_draining",
        "_follower",
        "_http",
        "_runner",
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
        self._follower = EntryFollower()
        access = Access(self._follower)
        scheduler = Scheduler(settings.queue_per_organisation)
        self._turns = Turns(context, scheduler, access)
        dispatcher = Dispatcher(context, self._follower)
        self._runner = CallRunner(context, control, self._follower, access, self._turns, dispatcher)
        api = CallersApi(context, control, self._follower, access, self._runner)
        api.is_ready = self.ready

        def on_ended(program_id: str) -> None:
            refusal = Refusal(RefusalCode.CANCELLED, "the program has ended")
            self._turns.refuse(refusal, program_id)
            dispatcher.cancel(program_id)

        def on_view(view: View) -> None:
            scheduler.apply_view(view)
            self._keep_links(view)
            self._turns.pump()

        api.on_ended = on_ended
        self._follower.on_view = on_view
        self._http = HttpServer(settings.listen, on_error)
        api.add_routes(self._http)

    def start(self) -> None:
        """Follow the settings and serve callers."""
        self._control.follow(self._announcement, self._follower)
        self._http.start()
        log.info("entry.started", listen=self._settings.listen)

    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return not self._draining and self._follower.is_fresh(self._context.monotonic())

    def drain(self, timeout_s: float) -> bool:
        """Fail `readyz`, give the balancer time, finish every request, leave the view."""
        started = self._context.monotonic()
        self._draining = True
        self._http.drain()
        log.info("entry.draining", calls=len(self._runner.running_by_name))
        eventlet.sleep(min(self._settings.drain_grace_ms / 1000, timeout_s / 2))
        timer = eventlet.spawn_after(
            self._left(started, timeout_s) - HAND_BACK_SECONDS, self._hand_back
        )
        ended = self._http.stop(self._left(started, timeout_s))
        ended = self._wait_for_calls(started, timeout_s) and ended
        timer.cancel()
        self._control.leave(self._announcement(), LEAVE_SECONDS)
        self._turns.stop()
        log.info("entry.drained", forced=not ended)
        return ended

    def stop(self) -> None:
        """Release everything at once; after a drain there is nothing left."""
        if self._draining:
            return
        self._draining = True
        self._turns.stop()
        self._http.stop(0)

    def _left(self, started: float, timeout_s: float) -> float:
        return max(0.0, started + timeout_s - self._context.monotonic())

    def _wait_for_calls(self, started: float, timeout_s: float) -> bool:
        # Callers may have gone, but an answer that nobody waits for is journalled all the same.
        while self._runner.running_by_name and self._left(started, timeout_s):
            eventlet.sleep(0.01)
        return not self._runner.running_by_name

    def _hand_back(self) -> None:
        message = "this entry is shutting down; send the call again, to another"
        self._turns.refuse(
            Refusal(RefusalCode.SHUTTING_DOWN, message, retry_after_ms=DRAIN_RETRY_MS)
        )

    def _announcement(self) -> EntryRecord:
        context = self._context
        return EntryRecord(
            context.instance,
            context.incarnation,
            context.link_address,
            context.availability_zone,
        )

    def _keep_links(self, view: View) -> None:
        """Dial servers as they appear, so that the first call need not wait for a handshake."""
        for server in view.servers:
            eventlet.spawn_n(self._dial, server.address)

    def _dial(self, address: str) -> None:
        try:
            self._context.hub.link_to(address)
        except LinkError:
            return


def start_entry(settings: EntrySettings, context: ProcessContext, control: ControlClient) -> Role:
    """Serve callers until drained."""
    role = EntryRole(settings, context, control)
    role.start()
    return role
