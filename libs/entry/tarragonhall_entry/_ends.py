"""What is done when a program has ended: its calls are stopped and its memory released."""

from __future__ import annotations

import eventlet
from tarragonhall_model import (
    CallRunning,
    LinkError,
    ProgramInfo,
    ProgramStatus,
    QueryCall,
    Refusal,
    RefusalCode,
    ReleaseProgram,
)
from tarragonhall_wire import ControlClient, ProcessContext, UnavailableError

from tarragonhall_entry._dispatcher import Dispatcher
from tarragonhall_entry._scheduler import Scheduler
from tarragonhall_entry._turns import Turns

QUESTION_SECONDS = 2.0


class ProgramEnds:
    """Carries the end of a program to where it matters, behind the caller's back.

    All of it only hurries what happens anyway: sidecars ask the journal which programs still live.
    """

    __slots__ = ("_context", "_control", "_dispatcher", "_scheduler", "_turns")

    def __init__(
        self,
        context: ProcessContext,
        control: ControlClient,
        scheduler: Scheduler,
        turns: Turns,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._control = control
        self._scheduler = scheduler
        self._turns = turns
        self._dispatcher = dispatcher

    def on_ended(self, info: ProgramInfo) -> None:
        """Refuse what waits here, stop what runs anywhere, release what engines hold."""
        refusal = Refusal(RefusalCode.PROGRAM_ENDED, "the program has ended")
        self._turns.refuse(refusal, info.program_id)
        if info.status is not ProgramStatus.FINISHED:
            eventlet.spawn_n(self._stop_running, info)
        eventlet.spawn_n(self._release, info.program_id)

    def _stop_running(self, info: ProgramInfo) -> None:
        for seq in (info.next_seq, info.next_seq - 1):
            try:
                state = self._control.ask(
                    QueryCall(info.program_id, seq, info.org_id), QUESTION_SECONDS
                )
            except UnavailableError:
                return
            if isinstance(state, CallRunning) and state.attempt is not None:
                self._dispatcher.cancel(state.attempt)

    def _release(self, program_id: str) -> None:
        for address in self._scheduler.holders(program_id):
            try:
                self._context.hub.link_to(address).send(ReleaseProgram(program_id))
            except LinkError:
                self._context.metrics.count("entry.send_failed")
