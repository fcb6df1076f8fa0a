"""Removes orphaned runs and the memory of ended programs from the engine."""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_model import Living, QueryLiving
from tarragonhall_wire import ControlClient, ProcessContext, UnavailableError, repeat

from tarragonhall_sidecar._backend import Backend, BackendError
from tarragonhall_sidecar._execution import Execution
from tarragonhall_sidecar._reconcile import ReleaseTracker

log = structlog.get_logger(__name__)

# The notification of a program's end frees its memory at once; a round only repairs lost messages,
# and costs the node and the engine two short connections.
RECONCILE_INTERVAL_SECONDS = 4.0
QUERY_TIMEOUT_SECONDS = 5.0


class Reconciler:
    """Periodically compares the engine's runs and memory with the live attempts and programs."""

    __slots__ = ("_backend", "_context", "_control", "_execution", "_tracker", "stopped")

    def __init__(
        self,
        backend: Backend,
        control: ControlClient,
        context: ProcessContext,
        execution: Execution,
    ) -> None:
        self._backend = backend
        self._control = control
        self._context = context
        self._execution = execution
        self._tracker = ReleaseTracker()
        self.stopped = False

    def held(self) -> list[str]:
        """Return the programs of the last listing, most recently used first."""
        return self._tracker.held

    def program_ended(self, program_id: str) -> None:
        """Release an ended program now, and again until the listing no longer shows it."""
        self._tracker.program_ended(program_id)
        eventlet.spawn_n(self._try_release, program_id)

    def run(self) -> None:
        """Reconcile until stopped."""
        repeat(self._reconcile_next, lambda: not self.stopped)

    def _reconcile_next(self) -> None:
        eventlet.sleep(RECONCILE_INTERVAL_SECONDS)
        if not self._execution.up:
            return
        try:
            self._reconcile()
        except (BackendError, UnavailableError) as error:
            self._context.metrics.count("sidecar.reconcile_failed")
            log.debug("sidecar.reconcile_failed", error=str(error))

    def _reconcile(self) -> None:
        self._cancel_orphaned_runs()
        self._release_ended()

    def _cancel_orphaned_runs(self) -> None:
        """Cancel the engine's runs that belong to no attempt in flight here.

        A killed sidecar leaves its runs behind, and a cancel can be lost. Nothing would read the
        answers, and the runs would occupy slots that this incarnation counts as free. The attempts
        in flight are read after the listing, so that a run in the listing is never mistaken for an
        orphan because it started in between.
        """
        for key in self._backend.running():
            if key in self._execution.in_flight_keys():
                continue
            self._context.metrics.count("sidecar.stray_run")
            self._backend.cancel(key)

    def _release_ended(self) -> None:
        listing = self._backend.listing()
        self._tracker.update_listing(listing, self._context.monotonic())
        queried = self._tracker.programs_to_query(self._context.monotonic())
        if queried:
            reply = self._control.request(QueryLiving(queried), QUERY_TIMEOUT_SECONDS)
            if isinstance(reply, Living):
                self._tracker.update_living(queried, reply.program_ids, self._context.monotonic())
        busy = self._execution.active_programs()
        for program_id in self._tracker.programs_to_release(busy, self._context.monotonic()):
            # The program may have sent a call since the round began.
            if program_id in self._execution.active_programs():
                continue
            self._context.metrics.count("sidecar.release")
            self._backend.release(program_id)

    def _try_release(self, program_id: str) -> None:
        if program_id in self._execution.active_programs():
            return
        try:
            self._backend.release(program_id)
        except BackendError:
            # The listing still shows the program, so the next round retries.
            self._context.metrics.count("sidecar.release_failed")
