"""The flow of one attempt: record it, dispatch it, and await its end or prove that it never ran."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from tarragonhall_decisions import Failure
from tarragonhall_decisions import LinkLost as LinkLostFailure
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
    NotSent,
    Pause,
    Reattach,
    RecordEvent,
    SendDispatch,
)
from tarragonhall_entry._messages import make_dispatch, with_unknown_execution

# A lost link to a live process is up again after one or two reconnects.
MAX_REATTACH_TRIES = 4
REATTACH_PAUSE_SECONDS = 0.25
DEADLINE_MESSAGE = "the call did not end within its timeout; a late answer can still be fetched"

Steps = Generator[Effect, object, object]


@dataclass(slots=True, frozen=True)
class Failed:
    """The attempt gave no answer. With `proven_not_run` it did not run and never will."""

    failure: Failure
    proven_not_run: bool
    detail: str


@dataclass(slots=True, frozen=True)
class Abandoned:
    """The attempt did not run, and no other is to be made."""

    refusal: Refusal


def start_attempt(
    call: Call, opened: CallOpened, attempt: AttemptId, server: ServerRecord
) -> Steps:
    """Record an attempt and make it.

    Return `Failed`, `Abandoned`, or the state of the call in the journal: `CallClosed`,
    `CallRunning`, `Refusal` or `Unavailable`.
    """
    result = yield Commit(StartAttempt(attempt, call.org_id, call.entry_id))
    match result:
        case AttemptRecorded():
            return (yield from run_attempt(call, opened, attempt, server))
        case Refusal():
            return Abandoned(result)
        case _:
            return result


def run_attempt(call: Call, opened: CallOpened, attempt: AttemptId, server: ServerRecord) -> Steps:
    """Make an attempt that is already recorded; returns the same results as `start_attempt`."""
    # The key may have been withdrawn while the call was queued or this commit was in flight.
    refusal = yield CheckKey()
    if refusal is not None:
        disproof = yield from _disprove(call, attempt, AttemptOutcome.NOT_RUN, refusal.message)
        return Abandoned(refusal) if isinstance(disproof, Failed) else disproof
    yield RecordEvent("attempt.started", {"attempt": attempt.key, "server": server.server_id})
    reply = yield SendDispatch(server, make_dispatch(call, opened, attempt))
    match reply:
        case Accepted():
            return (yield from _follow(call, attempt))
        case Rejected(reason=reason):
            # An attempt is dispatched only once, so any rejection proves that it never ran.
            return (yield from _disprove(call, attempt, reply, reason.value))
        case NotSent():
            return (yield from _disprove(call, attempt, AttemptOutcome.NOT_RUN, "not sent"))
        case _:
            return (yield from _recover_attempt(call, attempt))


def follow_running(call: Call, running: CallRunning) -> Steps:
    """Follow an attempt that was dispatched earlier.

    Returns the same results as `start_attempt`, or None where another entry may be following it.
    """
    attempt = running.attempt
    reply = yield Reattach(attempt)
    match reply:
        case Accepted():
            return (yield from _follow(call, attempt))
        case Rejected(reason=reason) if reason is not RejectReason.INCARNATION:
            return (yield from _disprove(call, attempt, reply, "the server never started it"))
    if (yield from _may_be_followed(call, running)):
        return None
    return (yield from _recover_attempt(call, attempt))


def _may_be_followed(call: Call, running: CallRunning) -> Steps:
    """Return whether another entry that holds the call may be awaiting the end of its attempt."""
    if running.entry_id == call.entry_id or not (yield EntryInView(running.entry_id)):
        return False
    # An attempt on a server incarnation that is gone cannot be followed, but its entry gets time to
    # commit that it was lost.
    return call.may_wait_for_holder or (yield FindServer(running.attempt)) is not None


def _follow(call: Call, attempt: AttemptId) -> Steps:
    """Await and handle the end of an attempt that a sidecar has accepted."""
    ended = yield AwaitEnd(attempt)
    match ended:
        case AttemptEnded():
            return (yield from _handle_end(call, ended))
        case LinkLost():
            return (yield from _recover_attempt(call, attempt))
        case _:
            return (
                yield from _close_unknown(call, attempt, RefusalCode.DEADLINE, DEADLINE_MESSAGE)
            )


def _handle_end(call: Call, ended: AttemptEnded) -> Steps:
    attempt = ended.attempt
    yield RecordEvent("attempt.ended", {"attempt": attempt.key, "outcome": ended.outcome.value})
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
            result = yield from _handle_crash(call, attempt, ended.detail)
        case _:
            result = yield from _record_failure(call, attempt, ended.outcome, ended.detail)
    if isinstance(result, CallClosed | Failed):
        yield Acknowledge(attempt)
    return result


def _handle_crash(call: Call, attempt: AttemptId, detail: str) -> Steps:
    """Handle a crash of the server: close the call where its request is quarantined.

    The entry does not report the crash. Only the sidecar knows all requests that ran at the time;
    a request reported alone from here could be blamed for a crash that another one caused.
    """
    refusal = yield CheckQuarantine()
    if refusal is None:
        return (yield from _record_failure(call, attempt, AttemptOutcome.CRASHED, detail))
    return (yield from _close(call, CloseCall(attempt, refusal=with_unknown_execution(refusal))))


def _record_failure(call: Call, attempt: AttemptId, failure: Failure, detail: str) -> Steps:
    """Record that an attempt ran at least partly, or may have."""
    call.unproven_attempt = attempt
    yield RecordEvent("attempt.failed", {"attempt": attempt.key, "detail": detail})
    return Failed(failure, False, detail)


def _disprove(call: Call, attempt: AttemptId, failure: Failure, detail: str) -> Steps:
    """Commit that an attempt never ran and never will."""
    yield RecordEvent("attempt.disproved", {"attempt": attempt.key, "reason": detail})
    result = yield Commit(DisproveAttempt(attempt))
    match result:
        case CallOpened():
            return Failed(failure, True, detail)
        case CallRunning(attempt=earlier) if earlier == call.unproven_attempt:
            return Failed(failure, True, detail)
        case _:
            return result


def _recover_attempt(call: Call, attempt: AttemptId) -> Steps:
    """Reattach to an attempt whose link was lost, or find out whether it ran."""
    for _ in range(MAX_REATTACH_TRIES):
        reply = yield Reattach(attempt)
        match reply:
            case Accepted():
                return (yield from _follow(call, attempt))
            case Rejected(reason=RejectReason.INCARNATION):
                # Another incarnation of the sidecar has no record of this attempt, which proves
                # nothing.
                break
            case Rejected():
                return (yield from _disprove(call, attempt, reply, "the server never started it"))
        if not (yield Pause(REATTACH_PAUSE_SECONDS)):
            break
        if (yield FindServer(attempt)) is None:
            break
    detail = "the server was lost while the call ran"
    return (yield from _record_failure(call, attempt, LinkLostFailure(), detail))


def _close_unknown(call: Call, attempt: AttemptId, code: RefusalCode, detail: str) -> Steps:
    command = CloseCall(attempt, refusal=with_unknown_execution(Refusal(code, detail)))
    return (yield from _close(call, command))


def _close(call: Call, command: CloseCall) -> Steps:
    """Commit the end of a call that ran, or may have."""
    result = yield Commit(command)
    if isinstance(result, Refusal):
        # The program is no longer in the journal, but the call may have run.
        return with_unknown_execution(result)
    if isinstance(result, CallClosed):
        outcome = "answer" if result.answer is not None else result.refusal.code.value
        yield RecordEvent("call.closed", {"seq": call.spec.seq, "outcome": outcome})
    return result
