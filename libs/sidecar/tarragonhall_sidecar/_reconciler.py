"""Keeps the engine free of runs and programs that are gone."""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_model import Living, QueryLiving
from tarragonhall_wire import ControlClient, ProcessContext, UnavailableError

from tarragonhall_sidecar._backend import Backend, BackendError
from tarragonhall_sidecar._execution import Execution
from tarragonhall_sidecar._reconcile import Releases

log = structlog.get_logger(__name__)

# The message of a program's end frees its memory at once; the rounds are for messages that were
# lost. Each costs the node and the engine two short connections.
RECONCILE_SECONDS = 4.0
ASK_SECONDS = 5.0


class Reconciler:
    """Compares what the engine holds with what lives, again and again."""

    __slots__ = ("_backend", "_context", "_control", "_execution", "_releases", "stopped")

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
        self._releases = Releases()
        self.stopped = False

    def held(self) -> list[str]:
        """Return the programs of the last listing, most recently used first."""
        return self._releases.held

    def program_ended(self, program_id: str) -> None:
        """Release a program that has ended, now and until the listing shows it gone."""
        self._releases.program_ended(program_id)
        eventlet.spawn_n(self._release_quietly, program_id)

    def run(self) -> None:
        """Reconcile until stopped."""
        while not self.stopped:
            eventlet.sleep(RECONCILE_SECONDS)
            if not self._execution.up:
                continue
            try:
                self._reconcile()
            except (BackendError, UnavailableError) as error:
                self._context.metrics.count("sidecar.reconcile_failed")
                log.debug("sidecar.reconcile_failed", error=str(error))

    def _reconcile(self) -> None:
        self._stop_strays()
        self._release_gone()

    def _stop_strays(self) -> None:
        """Stop what the engine runs for no one.

        A sidecar that was killed leaves its runs behind, and a cancel can be lost. No one would
        take the answers, and the slots that they fill would be missing from those that this life
        counts on. What is under way here is read after the listing: a run that began since is not
        in the listing.
        """
        for key in self._backend.running():
            if key in self._execution.under_way():
                continue
            self._context.metrics.count("sidecar.stray_run")
            self._backend.cancel(key)

    def _release_gone(self) -> None:
        listing = self._backend.listing()
        self._releases.listed(listing, self._context.monotonic())
        asked = self._releases.to_ask(self._context.monotonic())
        if asked:
            reply = self._control.ask(QueryLiving(asked), ASK_SECONDS)
            if isinstance(reply, Living):
                self._releases.answered(asked, reply.program_ids, self._context.monotonic())
        busy = self._execution.programs()
        for program_id in self._releases.to_free(busy, self._context.monotonic()):
            # Its program may have sent a call since the round began.
            if program_id in self._execution.programs():
                continue
            self._context.metrics.count("sidecar.release")
            self._backend.release(program_id)

    def _release_quietly(self, program_id: str) -> None:
        if program_id in self._execution.programs():
            return
        try:
            self._backend.release(program_id)
        except BackendError:
            # The listing still shows it, so the next round asks again.
            self._context.metrics.count("sidecar.release_failed")
