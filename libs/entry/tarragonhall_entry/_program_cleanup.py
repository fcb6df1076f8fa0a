"""Cleanup after the end of a program: stop its calls and release its memory on the engines."""

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
from tarragonhall_entry._slot_queue import SlotQueue

QUERY_TIMEOUT_SECONDS = 2.0


class ProgramCleanup:
    """Stops a program's calls and releases its prefixes, in the background.

    It may fail without harm: sidecars poll the journal for programs that have ended.
    """

    __slots__ = ("_context", "_control", "_dispatcher", "_scheduler", "_slot_queue")

    def __init__(
        self,
        context: ProcessContext,
        control: ControlClient,
        scheduler: Scheduler,
        slot_queue: SlotQueue,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._control = control
        self._scheduler = scheduler
        self._slot_queue = slot_queue
        self._dispatcher = dispatcher

    def on_program_ended(self, info: ProgramInfo) -> None:
        """Refuse the program's queued calls, stop its running ones and release its prefixes."""
        refusal = Refusal(RefusalCode.PROGRAM_ENDED, "the program has ended")
        self._slot_queue.refuse(refusal, info.program_id)
        if info.status is not ProgramStatus.FINISHED:
            eventlet.spawn_n(self._stop_running, info)
        eventlet.spawn_n(self._release, info.program_id)

    def _stop_running(self, info: ProgramInfo) -> None:
        for seq in (info.next_seq, info.next_seq - 1):
            try:
                state = self._control.request(
                    QueryCall(info.program_id, seq, info.org_id), QUERY_TIMEOUT_SECONDS
                )
            except UnavailableError:
                return
            if isinstance(state, CallRunning) and state.attempt is not None:
                self._dispatcher.cancel(state.attempt)

    def _release(self, program_id: str) -> None:
        for address in self._scheduler.forget_program(program_id):
            try:
                self._context.hub.link_to(address).send(ReleaseProgram(program_id))
            except LinkError:
                self._context.metrics.count("entry.send_failed")
