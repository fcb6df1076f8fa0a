"""The flow of one attempt: recorded, dispatched, followed to its end, or proved not to have run."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from tarragonhall_decisions import Failure
from tarragonhall_decisions import LinkLost as LinkLostForGood
from tarragonhall_model import (
    Accepted,
    AttemptEnded,
    AttemptId,
    AttemptOutcome,
    AttemptRecorded,
    CallClosed,
    CallOpened,
    CallRunning,
    CloseCall,
    DisproveAttempt,
    Refusal,
    RefusalCode,
    Rejected,
    RejectReason,
    ServerRecord,
    StartAttempt,
)

from tarragonhall_entry._effects import (
    Acknowledge,
    AwaitEnd,
    Call,
    CheckKey,
    CheckQuarantine,
    Commit,
    Effect,
    EntryInView,
    FindServer,
    LinkLost,
    Note,
    NotSent,
    Pause,
    Reattach,
    SendDispatch,
)
from tarragonhall_entry._messages import make_dispatch, unknown

# A link that is lost without its process comes back within a reconnect or two.
REATTACH_TRIES = 4
REATTACH_PAUSE_SECONDS = 0.25
DEADLINE_MESSAGE = "the call did not end within its timeout; a late answer can still be fetched"

Steps = Generator[Effect, object, object]


@dataclass(slots=True, frozen=True)
class Failed:
    """The attempt gave no answer. `proven` says that it did not run and never will."""

    failure: Failure
    proven: bool
    detail: str


@dataclass(slots=True, frozen=True)
class GivenUp:
    """This attempt did not run, and no other is to be made."""

    refusal: Refusal


def start_attempt(
    call: Call, opened: CallOpened, attempt: AttemptId, server: ServerRecord
) -> Steps:
    """Record an attempt and make it.

    Return `Failed`, `GivenUp`, or what the journal says became of the call: `CallClosed`,
    `CallRunning`, `Refusal` or `Unavailable`.
    """
    result = yield Commit(StartAttempt(attempt, call.org_id, call.entry_id))
    match result:
        case AttemptRecorded():
            return (yield from run_attempt(call, opened, attempt, server))
        case Refusal():
            return GivenUp(result)
        case _:
            return result


def run_attempt(call: Call, opened: CallOpened, attempt: AttemptId, server: ServerRecord) -> Steps:
    """Make an attempt that is recorded; return as `start_attempt` does."""
    # The key may have been withdrawn while the call waited or while this commit was under way.
    refusal = yield CheckKey()
    if refusal is not None:
        unsent = yield from _disprove(call, attempt, AttemptOutcome.NOT_RUN, refusal.message)
        return GivenUp(refusal) if isinstance(unsent, Failed) else unsent
    yield Note("attempt.started", {"attempt": attempt.key, "server": server.server_id})
    reply = yield SendDispatch(server, make_dispatch(call, opened, attempt))
    match reply:
        case Accepted():
            return (yield from _follow(call, attempt))
        case Rejected(reason=reason):
            # This was the one dispatch of the attempt, so any rejection proves that it never ran.
            return (yield from _disprove(call, attempt, reply, reason.value))
        case NotSent():
            return (yield from _disprove(call, attempt, AttemptOutcome.NOT_RUN, "no link"))
        case _:
            return (yield from _ask_server(call, attempt))


def follow_running(call: Call, running: CallRunning) -> Steps:
    """Follow an attempt that was dispatched before; None where its entry is alive to do so."""
    attempt = running.attempt
    reply = yield Reattach(attempt)
    match reply:
        case Accepted():
            return (yield from _follow(call, attempt))
        case Rejected(reason=reason) if reason is not RejectReason.INCARNATION:
            return (yield from _disprove(call, attempt, reply, "the server never started it"))
    if (yield from _may_be_followed(call, running)):
        return None
    return (yield from _ask_server(call, attempt))


def _may_be_followed(call: Call, running: CallRunning) -> Steps:
    """Return whether the entry that holds the call may be waiting for the end of its attempt."""
    if running.entry_id == call.entry_id or not (yield EntryInView(running.entry_id)):
        return False
    # Nobody can follow an attempt whose server's life is over; its entry gets time to say so.
    return call.is_patient or (yield FindServer(running.attempt)) is not None


def _follow(call: Call, attempt: AttemptId) -> Steps:
    """Wait for the end of an attempt that a sidecar has accepted."""
    ended = yield AwaitEnd(attempt)
    match ended:
        case AttemptEnded():
            return (yield from _settle(call, ended))
        case LinkLost():
            return (yield from _ask_server(call, attempt))
        case _:
            return (
                yield from _close_unknown(call, attempt, RefusalCode.DEADLINE, DEADLINE_MESSAGE)
            )


def _settle(call: Call, ended: AttemptEnded) -> Steps:
    attempt = ended.attempt
    yield Note("attempt.ended", {"attempt": attempt.key, "outcome": ended.outcome.value})
    match ended.outcome:
        case AttemptOutcome.ANSWERED:
            result = yield from _close(call, CloseCall(attempt, answer=ended.answer))
        case AttemptOutcome.NOT_RUN:
            result = yield from _disprove(call, attempt, ended.outcome, ended.detail)
        case AttemptOutcome.CANCELLED:
            detail = "the call was cancelled"
            result = yield from _close_unknown(call, attempt, RefusalCode.CANCELLED, detail)
        case AttemptOutcome.TIMED_OUT:
            detail = ended.detail or "the server did not answer in time"
            result = yield from _close_unknown(call, attempt, RefusalCode.DEADLINE, detail)
        case AttemptOutcome.CRASHED:
            result = yield from _crashed(call, attempt, ended.detail)
        case _:
            result = yield from _failed(call, attempt, ended.outcome, ended.detail)
    if isinstance(result, CallClosed | Failed):
        yield Acknowledge(attempt)
    return result


def _crashed(call: Call, attempt: AttemptId, detail: str) -> Steps:
    """Decide after a crash. The sidecar has charged it to all requests that ran together: only it
    knows them, and one reported alone from here would be blamed for the deed of another.
    """
    refusal = yield CheckQuarantine()
    if refusal is None:
        return (yield from _failed(call, attempt, AttemptOutcome.CRASHED, detail))
    return (yield from _close(call, CloseCall(attempt, refusal=unknown(refusal))))


def _failed(call: Call, attempt: AttemptId, failure: Failure, detail: str) -> Steps:
    """Note that an attempt ran at least partly, or may have."""
    call.unproven = attempt
    yield Note("attempt.failed", {"attempt": attempt.key, "detail": detail})
    return Failed(failure, False, detail)


def _disprove(call: Call, attempt: AttemptId, failure: Failure, detail: str) -> Steps:
    """Record the proof that an attempt never ran and never will."""
    yield Note("attempt.disproved", {"attempt": attempt.key, "reason": detail})
    result = yield Commit(DisproveAttempt(attempt))
    match result:
        case CallOpened():
            return Failed(failure, True, detail)
        case CallRunning(attempt=earlier) if earlier == call.unproven:
            return Failed(failure, True, detail)
        case _:
            return result


def _ask_server(call: Call, attempt: AttemptId) -> Steps:
    """Find out what became of an attempt after its link was lost."""
    for _ in range(REATTACH_TRIES):
        reply = yield Reattach(attempt)
        match reply:
            case Accepted():
                return (yield from _follow(call, attempt))
            case Rejected(reason=RejectReason.INCARNATION):
                # Another life of the sidecar knows nothing of this attempt and proves nothing.
                break
            case Rejected():
                return (yield from _disprove(call, attempt, reply, "the server never started it"))
        if not (yield Pause(REATTACH_PAUSE_SECONDS)):
            break
        if (yield FindServer(attempt)) is None:
            break
    detail = "the server was lost while the call ran"
    return (yield from _failed(call, attempt, LinkLostForGood(), detail))


def _close_unknown(call: Call, attempt: AttemptId, code: RefusalCode, detail: str) -> Steps:
    command = CloseCall(attempt, refusal=unknown(Refusal(code, detail)))
    return (yield from _close(call, command))


def _close(call: Call, command: CloseCall) -> Steps:
    """Commit the end of a call that ran, or may have."""
    result = yield Commit(command)
    if isinstance(result, Refusal):
        # The program is gone from the journal; that does not mean that the call did not run.
        return unknown(result)
    if isinstance(result, CallClosed):
        outcome = "answer" if result.answer is not None else result.refusal.code.value
        yield Note("call.closed", {"seq": call.spec.seq, "outcome": outcome})
    return result
