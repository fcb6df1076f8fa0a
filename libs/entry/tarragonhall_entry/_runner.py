"""The eventlet shell of the calls: runs each flow in a green thread and does what it asks."""

from __future__ import annotations

import dataclasses

import eventlet
import structlog
from tarragonhall_model import CallClosed, CallSpec, Execution, Refusal, RefusalCode
from tarragonhall_state import Follower
from tarragonhall_wire import ControlClient, ProcessContext, UnavailableError

from tarragonhall_entry._access import Access
from tarragonhall_entry._dispatcher import Dispatcher
from tarragonhall_entry._effects import (
    Acknowledge,
    AskControl,
    AwaitEnd,
    Call,
    CheckKey,
    Commit,
    EntryInView,
    FindServer,
    FreePlace,
    Note,
    Pause,
    Reattach,
    Restart,
    SendDispatch,
    TakeRetry,
    TakeToken,
    Unavailable,
    WaitTurn,
)
from tarragonhall_entry._flow import call_flow
from tarragonhall_entry._rates import LocalRates, rate_refusal
from tarragonhall_entry._running import RunningCall
from tarragonhall_entry._turns import Turns

log = structlog.get_logger(__name__)

# An election takes about a second; a commit that is still unknown after several is given up.
COMMIT_SECONDS = 6.0
QUESTION_SECONDS = 1.0


class CallRunner:
    """All calls under way in this entry."""

    __slots__ = (
        "_access",
        "_context",
        "_control",
        "_dispatcher",
        "_follower",
        "_rates",
        "_turns",
        "running_by_name",
    )

    def __init__(
        self,
        context: ProcessContext,
        control: ControlClient,
        follower: Follower,
        access: Access,
        turns: Turns,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._control = control
        self._follower = follower
        self._access = access
        self._rates = LocalRates()
        self._turns = turns
        self._dispatcher = dispatcher
        self.running_by_name: dict[tuple[str, int], RunningCall] = {}

    def start(self, call: Call) -> RunningCall:
        """Run a call in a green thread of its own, or join it where it already runs here."""
        running = self.running_by_name.get(call.name)
        if running is not None and is_resend(running.call, call):
            return running
        running = RunningCall(call)
        self.running_by_name.setdefault(call.name, running)
        eventlet.spawn_n(self._run, running)
        return running

    def _run(self, running: RunningCall) -> None:
        call = running.call
        started = self._context.monotonic()
        try:
            closed = self._drive(running)
        except Exception:  # noqa: BLE001 - the caller must not wait for its timeout
            log.exception("call.failed", program_id=call.program_id, seq=call.spec.seq)
            refusal = Refusal(RefusalCode.UNAVAILABLE, "internal error", Execution.UNKNOWN)
            closed = CallClosed(refusal=refusal)
        self._dispatcher.forget_call(running)
        if self.running_by_name.get(call.name) is running:
            del self.running_by_name[call.name]
        elapsed_ms = (self._context.monotonic() - started) * 1000
        self._context.metrics.timing("entry.call", elapsed_ms)
        outcome = "answered" if closed.answer is not None else closed.refusal.code.value
        self._context.metrics.count(f"entry.call.{outcome}")
        running.close(closed)

    def _drive(self, running: RunningCall) -> CallClosed:
        flow = call_flow(running.call)
        result = None
        while True:
            try:
                effect = flow.send(result)
            except StopIteration as stop:
                return stop.value
            result = self._perform(running, effect)

    def _perform(self, running: RunningCall, effect: object) -> object:
        call = running.call
        match effect:
            case Commit(body=body):
                return self._commit(body)
            case AskControl(question=question):
                return self._ask(question)
            case TakeToken():
                return self._take_token(call)
            case CheckKey():
                return self._check_key(call)
            case WaitTurn():
                return self._turns.wait(call, effect)
            case FreePlace(server=server):
                return self._turns.free(server)
            case SendDispatch(server=server, message=message):
                return self._dispatcher.dispatch(running, server, message)
            case AwaitEnd(attempt=attempt):
                return self._dispatcher.await_end(running, attempt)
            case Reattach(attempt=attempt):
                return self._dispatcher.reattach(running, attempt)
            case Acknowledge(attempt=attempt):
                return self._dispatcher.acknowledge(attempt)
            case Pause(seconds=seconds):
                return self._pause(call, seconds)
            case FindServer(attempt=attempt):
                return self._dispatcher.find_server(attempt)
            case EntryInView(entry_id=entry_id):
                return any(e.entry_id == entry_id for e in self._follower.view.entries)
            case TakeRetry():
                return True
            case Restart():
                return running.reset()
            case Note(kind=kind, fields=fields):
                return self._context.timeline.add(kind, call.program_id, **fields)
        raise TypeError(f"unknown effect {type(effect).__name__}")

    def _commit(self, body: object) -> object:
        started = self._context.monotonic()
        try:
            return self._control.propose(body, COMMIT_SECONDS)
        except UnavailableError as error:
            self._context.metrics.count("entry.commit_unavailable")
            return Unavailable(str(error))
        finally:
            elapsed_ms = (self._context.monotonic() - started) * 1000
            self._context.metrics.timing("entry.commit", elapsed_ms)

    def _ask(self, question: object) -> object:
        try:
            return self._control.ask(question, QUESTION_SECONDS)
        except UnavailableError as error:
            return Unavailable(str(error))

    def _take_token(self, call: Call) -> Refusal | None:
        while True:
            organisation = self._follower.organisation_by_id[call.org_id]
            now = self._context.monotonic()
            pause = self._rates.take(organisation, now)
            if pause == 0:
                return None
            if now + pause >= call.deadline:
                return rate_refusal(pause)
            eventlet.sleep(pause)

    def _check_key(self, call: Call) -> Refusal | None:
        now = self._context.monotonic()
        return self._access.check(call.key_hash, now, self._context.wall_ms())

    def _pause(self, call: Call, seconds: float) -> bool:
        left = call.deadline - self._context.monotonic()
        if left <= 0:
            return False
        eventlet.sleep(min(left, seconds))
        return left > seconds


def is_resend(first: Call, second: Call) -> bool:
    """Return whether two requests ask for the same call; they may differ in how they wait."""
    if first.org_id != second.org_id:
        return False
    return _essence(first.spec) == _essence(second.spec)


def _essence(spec: CallSpec) -> CallSpec:
    return dataclasses.replace(spec, timeout_ms=0, stream=False)
