"""The flow of one call, from its tokens to its journalled end, as a generator without I/O.

The order of the commits is what keeps the promises. `OpenCall` comes before the queue, so that a
resend finds the call wherever it is. `StartAttempt` comes before the dispatch, so that whoever
takes over knows which server may have run it. `CloseCall` comes before the caller hears the end, so
that no later answer can contradict it.
"""

from __future__ import annotations

from collections.abc import Generator

from tarragonhall_model import (
    AbandonCall,
    Accepted,
    AttemptEnded,
    AttemptId,
    AttemptOutcome,
    AttemptRecorded,
    CallAbandoned,
    CallClosed,
    CallOpened,
    CallRunning,
    CloseCall,
    DisproveAttempt,
    Execution,
    OpenCall,
    QueryCall,
    Refusal,
    RefusalCode,
    Rejected,
    RejectReason,
    ReportCrash,
    StartAttempt,
    fingerprint,
)

from tarragonhall_entry._effects import (
    Acknowledge,
    AskControl,
    Assigned,
    AwaitEnd,
    Call,
    CheckKey,
    Commit,
    Effect,
    EntryInView,
    FindServer,
    FreePlace,
    LinkLost,
    Note,
    NotSent,
    Pause,
    Reattach,
    Restart,
    SendDispatch,
    TakeRetry,
    TakeToken,
    Unavailable,
    WaitTurn,
)
from tarragonhall_entry._messages import make_dispatch

# An early call usually waits for the commit of the call before it, a few milliseconds away.
EARLY_PAUSE_SECONDS = 0.02
# A call still early after this was sent out of order, not behind its predecessor.
EARLY_PAUSES = 100
# Another entry holds the call: it needs a few commits to have it dispatched or gone.
HELD_PAUSE_SECONDS = 0.05
# A link that is lost without its process comes back within two reconnects.
REATTACH_TRIES = 4
REATTACH_PAUSE_SECONDS = 0.25
UNAVAILABLE_RETRY_MS = 1_000

Flow = Generator[Effect, object, CallClosed]


def call_flow(call: Call) -> Flow:
    """Run one call; return what the caller is told."""
    opened = yield from _open(call)
    while True:
        match opened:
            case CallClosed():
                return opened
            case CallRunning():
                opened = yield from _join(call, opened)
            case CallOpened():
                opened = yield from _attempt(call, opened)
            case Refusal():
                yield Note("call.refused", {"code": opened.code.value})
                return CallClosed(refusal=opened)
            case _:
                raise TypeError(f"unexpected result {type(opened).__name__}")


def _open(call: Call) -> Generator[Effect, object, object]:
    refusal = yield TakeToken()
    if refusal is not None:
        return (yield from _refuse_unopened(call, refusal))
    command = OpenCall(call.program_id, call.org_id, call.spec, call.entry_id)
    result = None
    for _ in range(EARLY_PAUSES):
        result = yield Commit(command)
        if not _is_early(result):
            break
        if not (yield Pause(EARLY_PAUSE_SECONDS)):
            break
    match result:
        case Unavailable(reason=reason):
            return unavailable(reason)
        case CallOpened():
            yield Note("call.opened", {"seq": call.spec.seq, "target": call.spec.target})
    return result


def _is_early(result: object) -> bool:
    return (
        isinstance(result, Refusal)
        and result.code is RefusalCode.CONFLICT
        and result.retry_after_ms is not None
    )


def _refuse_unopened(call: Call, refusal: Refusal) -> Generator[Effect, object, object]:
    """Refuse a call that this entry did not open, unless the journal already knows it.

    It may be a resend of a call that ran through another entry. To refuse it with `not_run`
    would be untrue, and a caller who believes it would have the work done a second time.
    """
    known = yield AskControl(QueryCall(call.program_id, call.spec.seq, call.org_id))
    match known:
        case CallClosed() | CallRunning():
            return known
        case Unavailable():
            return Refusal(refusal.code, refusal.message, Execution.UNKNOWN, refusal.retry_after_ms)
        case _:
            return refusal


def unavailable(reason: str) -> Refusal:
    """Return the refusal for a commit whose outcome is unknown."""
    return Refusal(
        RefusalCode.UNAVAILABLE,
        f"the journal did not answer ({reason}); send the same seq again",
        Execution.UNKNOWN,
        UNAVAILABLE_RETRY_MS,
    )


def _attempt(call: Call, opened: CallOpened) -> Generator[Effect, object, object]:
    """Make one attempt after another until the call is closed, held elsewhere or given up."""
    excluded: set[str] = set()
    attempts = opened.attempts
    unproven: tuple[AttemptId, Refusal] | None = None
    while True:
        prefix_tokens = sum(len(turn.prompt) + len(turn.answer) for turn in opened.history)
        turn = yield WaitTurn(opened.prefix_server, prefix_tokens, frozenset(excluded))
        if not isinstance(turn, Assigned):
            if unproven is not None:
                return (yield from _close(call, unproven[0], refusal=unproven[1]))
            return (yield from _abandon(call, turn))
        server = turn.server
        attempts += 1
        attempt = AttemptId(
            call.program_id, call.spec.seq, attempts, server.server_id, server.incarnation
        )
        try:
            outcome = yield from _run_attempt(call, opened, attempt, server)
        finally:
            yield FreePlace(server)
        match outcome:
            case TryAgain(disproved=disproved, refusal=refusal):
                excluded.add(server.server_id)
                if not disproved:
                    unproven = (attempt, refusal)
                if not (yield TakeRetry()):
                    if unproven is not None:
                        return (yield from _close(call, unproven[0], refusal=unproven[1]))
                    return (yield from _abandon(call, refusal))
                yield Restart()
            case _:
                return outcome


class TryAgain:
    """An attempt failed in a way that allows another; `refusal` is said where none is made."""

    __slots__ = ("disproved", "refusal")
    __match_args__ = ("disproved", "refusal")

    def __init__(self, disproved: bool, refusal: Refusal) -> None:
        self.disproved = disproved
        self.refusal = refusal


def _run_attempt(
    call: Call, opened: CallOpened, attempt: AttemptId, server: object
) -> Generator[Effect, object, object]:
    result = yield Commit(StartAttempt(attempt, call.org_id, call.entry_id))
    match result:
        case Unavailable(reason=reason):
            return unavailable(reason)
        case AttemptRecorded():
            pass
        case _:
            return result
    # The key may have been withdrawn while the call waited or while this commit was under way.
    refusal = yield CheckKey()
    if refusal is not None:
        return (yield from _give_up_unsent(call, attempt, refusal))
    yield Note("attempt.started", {"attempt": attempt.key, "server": server.server_id})
    reply = yield SendDispatch(server, make_dispatch(call, opened, attempt))
    match reply:
        case Accepted():
            return (yield from _follow_attempt(call, attempt))
        case Rejected(reason=reason):
            return (yield from _disprove(attempt, reason.value))
        case NotSent():
            return (yield from _disprove(attempt, "no link to the server"))
        case _:
            return (yield from _ask_server(call, attempt))


def _give_up_unsent(
    call: Call, attempt: AttemptId, refusal: Refusal
) -> Generator[Effect, object, object]:
    """Give up a call whose attempt was recorded but never left this process."""
    result = yield Commit(DisproveAttempt(attempt))
    match result:
        case CallOpened():
            return (yield from _abandon(call, refusal))
        case Unavailable(reason=reason):
            return unavailable(reason)
        case _:
            return result


def _disprove(attempt: AttemptId, reason: str) -> Generator[Effect, object, object]:
    yield Note("attempt.disproved", {"attempt": attempt.key, "reason": reason})
    result = yield Commit(DisproveAttempt(attempt))
    match result:
        case CallOpened():
            refusal = Refusal(
                RefusalCode.NO_SERVER, f"no server took the call ({reason})", retry_after_ms=500
            )
            return TryAgain(True, refusal)
        case Unavailable(reason=why):
            return unavailable(why)
        case _:
            return result


def _follow_attempt(call: Call, attempt: AttemptId) -> Generator[Effect, object, object]:
    """Wait for the end of an attempt that a sidecar has accepted."""
    ended = yield AwaitEnd(attempt)
    match ended:
        case AttemptEnded():
            return (yield from _settle(call, ended))
        case LinkLost():
            return (yield from _ask_server(call, attempt))
        case _:
            refusal = Refusal(
                RefusalCode.DEADLINE,
                "the call did not end within its timeout; a late answer can still be fetched",
                Execution.UNKNOWN,
            )
            return (yield from _close(call, attempt, refusal=refusal))


def _settle(call: Call, ended: AttemptEnded) -> Generator[Effect, object, object]:
    attempt = ended.attempt
    yield Note("attempt.ended", {"attempt": attempt.key, "outcome": ended.outcome.value})
    match ended.outcome:
        case AttemptOutcome.ANSWERED:
            closed = yield from _close(call, attempt, answer=ended.answer)
        case AttemptOutcome.NOT_RUN:
            closed = yield from _disprove(attempt, ended.detail or "not run")
        case AttemptOutcome.CANCELLED:
            refusal = Refusal(RefusalCode.CANCELLED, "the call was cancelled", Execution.UNKNOWN)
            closed = yield from _close(call, attempt, refusal=refusal)
        case AttemptOutcome.TIMED_OUT:
            refusal = Refusal(
                RefusalCode.DEADLINE, "the server did not answer in time", Execution.UNKNOWN
            )
            closed = yield from _close(call, attempt, refusal=refusal)
        case AttemptOutcome.CRASHED:
            yield from _report_crash(call, attempt)
            closed = yield from _failed(call, attempt, "the server crashed")
        case _:
            closed = yield from _failed(call, attempt, ended.detail or "the server failed")
    if isinstance(closed, CallClosed | TryAgain):
        yield Acknowledge(attempt)
    return closed


def _report_crash(call: Call, attempt: AttemptId) -> Generator[Effect, object, None]:
    mark = fingerprint(call.org_id, call.spec.target, call.spec.body)
    yield Commit(ReportCrash(attempt.server_id, attempt.incarnation, [mark], [attempt]))


def _failed(call: Call, attempt: AttemptId, detail: str) -> Generator[Effect, object, object]:
    """Decide after an attempt that ran at least partly, or may have."""
    refusal = Refusal(RefusalCode.SERVER_FAILED, detail, Execution.UNKNOWN)
    if call.spec.repeatable:
        return TryAgain(False, refusal)
    return (yield from _close(call, attempt, refusal=refusal))


def _ask_server(call: Call, attempt: AttemptId) -> Generator[Effect, object, object]:
    """Find out what became of an attempt after its link was lost."""
    for _ in range(REATTACH_TRIES):
        reply = yield Reattach(attempt)
        match reply:
            case Accepted():
                return (yield from _follow_attempt(call, attempt))
            case Rejected(reason=RejectReason.INCARNATION):
                # Another life of the sidecar knows nothing of this attempt and proves nothing.
                break
            case Rejected():
                return (yield from _disprove(attempt, "the server never started it"))
        if not (yield Pause(REATTACH_PAUSE_SECONDS)):
            break
        if (yield FindServer(attempt)) is None:
            break
    return (yield from _failed(call, attempt, "the server was lost while the call ran"))


def _close(call: Call, attempt: AttemptId, answer=None, refusal=None):
    """Commit the end of a call; the caller must not hear of it before."""
    result = yield Commit(CloseCall(attempt, answer, refusal))
    match result:
        case CallClosed():
            kind = "call.answered" if result.answer is not None else "call.refused"
            yield Note(kind, {"seq": call.spec.seq, "attempt": attempt.key})
        case Unavailable(reason=reason):
            return unavailable(reason)
    return result


def _abandon(call: Call, refusal: Refusal) -> Generator[Effect, object, object]:
    """Give an open call up; only the journal's word makes `not_run` true."""
    command = AbandonCall(call.program_id, call.spec.seq, call.org_id, call.entry_id)
    result = yield Commit(command)
    match result:
        case CallAbandoned():
            return refusal
        case Unavailable():
            return Refusal(refusal.code, refusal.message, Execution.UNKNOWN, refusal.retry_after_ms)
        case _:
            return result


def _join(call: Call, running: CallRunning) -> Generator[Effect, object, object]:
    """Join a call that another entry opened."""
    if running.attempt is None:
        return (yield from _wait_for_holder(call, running))
    attempt = running.attempt
    reply = yield Reattach(attempt)
    match reply:
        case Accepted():
            return (yield from _follow_attempt(call, attempt))
        case Rejected(reason=reason) if reason is not RejectReason.INCARNATION:
            result = yield from _disprove(attempt, "the server never started it")
            return (yield from _reopen(call)) if isinstance(result, TryAgain) else result
    if (yield EntryInView(running.entry_id)) and running.entry_id != call.entry_id:
        return (yield from _wait_for_holder(call, running))
    result = yield from _ask_server(call, attempt)
    return (yield from _reopen(call)) if isinstance(result, TryAgain) else result


def _wait_for_holder(call: Call, running: CallRunning) -> Generator[Effect, object, object]:
    """Give the entry that holds a call time to get on with it, then look again."""
    if not (yield Pause(HELD_PAUSE_SECONDS)):
        return Refusal(
            RefusalCode.DEADLINE,
            f"the call is still held by {running.entry_id}",
            Execution.UNKNOWN,
            UNAVAILABLE_RETRY_MS,
        )
    return (yield from _reopen(call))


def _reopen(call: Call) -> Generator[Effect, object, object]:
    result = yield Commit(OpenCall(call.program_id, call.org_id, call.spec, call.entry_id))
    if isinstance(result, Unavailable):
        return unavailable(result.reason)
    return result
