"""The flow of one call, from the rate limit to its recorded end, as a generator without I/O.

The guarantees depend on the order of the commits:
- `OpenCall` precedes the queue, so that a resend to any entry finds the call.
- `StartAttempt` precedes the dispatch, so that an entry that takes over knows which server may have
  run the call.
- `CloseCall` precedes the response, so that no later answer can contradict it.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace

from tarragonhall_decisions import Retry
from tarragonhall_model import (
    AbandonCall,
    CallAbandoned,
    CallClosed,
    CallKind,
    CallOpened,
    CallRunning,
    CloseCall,
    Execution,
    OpenCall,
    QueryCall,
    Refusal,
    RefusalCode,
)

from tarragonhall_entry._attempt_flow import (
    Abandoned,
    Failed,
    follow_running,
    run_attempt,
    start_attempt,
)
from tarragonhall_entry._effects import (
    AcquireSlot,
    AwaitPredecessor,
    Call,
    Commit,
    DecideRetry,
    Effect,
    Pause,
    QueryControl,
    RecordEvent,
    ReleaseSlot,
    ResetStream,
    SlotAssigned,
    TakeToken,
    TryAcquireSlot,
    Unavailable,
)
from tarragonhall_entry._messages import (
    next_attempt,
    slot_request,
    unavailable_refusal,
    with_unknown_execution,
)

# The entry that holds a call needs a few commits to dispatch or to abandon it.
HOLDER_PAUSE_SECONDS = 0.1
HOLDER_RETRY_MS = 1_000

Flow = Generator[Effect, object, CallClosed]
Steps = Generator[Effect, object, object]


def call_flow(call: Call) -> Flow:
    """Run one call; return the result to send to the caller."""
    state = yield from _admit(call)
    while True:
        match state:
            case CallClosed():
                return state
            case CallRunning():
                state = yield from _join(call, state)
            case CallOpened():
                state = yield from _attempt(call, state)
            case Unavailable(reason=reason):
                return CallClosed(refusal=unavailable_refusal(reason))
            case Refusal():
                yield RecordEvent("call.refused", {"seq": call.spec.seq, "code": state.code.value})
                return CallClosed(refusal=state)
            case _:
                raise TypeError(f"unexpected state {type(state).__name__}")


def _admit(call: Call) -> Steps:
    refusal = yield TakeToken()
    if refusal is not None:
        return (yield from _refuse_unopened(call, refusal))
    slot = (yield TryAcquireSlot(call.spec.seq > 1)) if _needs_no_prefix(call) else None
    if isinstance(slot, Refusal):
        return (yield from _refuse_unopened(call, slot))
    result = yield from _open(call, slot)
    tries = 0
    while _is_early(result):
        tries += 1
        if not (yield AwaitPredecessor(tries)):
            return result
        result = yield from _open(call, None)
    return result


def _needs_no_prefix(call: Call) -> bool:
    """Return whether the choice of a server needs no prefix location from the journal."""
    return call.spec.kind is CallKind.SERVICE or call.spec.seq == 1


def _open(call: Call, slot: SlotAssigned | None) -> Steps:
    """Open the call; with a slot, its first attempt is recorded in the same commit."""
    command = _open_command(call)
    if slot is not None:
        command = replace(command, first_attempt=next_attempt(call, 1, slot.server))
    result = yield Commit(command)
    if isinstance(result, CallOpened):
        yield RecordEvent("call.opened", {"seq": call.spec.seq, "target": call.spec.target})
        if result.started:
            call.slot = slot
            return result
    if slot is not None:
        yield ReleaseSlot(used=False)
    return result


def _is_early(result: object) -> bool:
    return (
        isinstance(result, Refusal)
        and result.code is RefusalCode.CONFLICT
        and result.retry_after_ms is not None
    )


def _refuse_unopened(call: Call, refusal: Refusal) -> Steps:
    """Refuse a call that this entry did not open, unless the journal has it as running or closed.

    It may be a resend of a call that ran through another entry. If it were refused with `not_run`,
    the caller would repeat the work.
    """
    recorded = yield QueryControl(QueryCall(call.program_id, call.spec.seq, call.org_id))
    match recorded:
        case CallClosed() | CallRunning():
            return (yield from _reopen(call))
        case Unavailable():
            return with_unknown_execution(refusal)
        case _:
            return refusal


def _attempt(call: Call, opened: CallOpened) -> Steps:
    """Make attempts until the call is closed, held by another entry or abandoned."""
    excluded: set[str] = set()
    attempts = opened.attempts
    tries = 0
    possibly_run = 0
    while True:
        tries += 1
        if call.slot is not None:
            assigned, call.slot = call.slot, None
            attempt = next_attempt(call, attempts, assigned.server)
            outcome = yield from run_attempt(call, opened, attempt, assigned.server)
        else:
            assigned = yield AcquireSlot(*slot_request(call, opened), frozenset(excluded))
            if not isinstance(assigned, SlotAssigned):
                return (yield from _abandon(call, assigned))
            attempts += 1
            attempt = next_attempt(call, attempts, assigned.server)
            outcome = yield from start_attempt(call, opened, attempt, assigned.server)
        yield _release_slot(outcome)
        match outcome:
            case Abandoned(refusal=refusal):
                return (yield from _abandon(call, refusal))
            case Failed(failure=failure, proven_not_run=proven_not_run):
                excluded.add(assigned.server.server_id)
                possibly_run += not proven_not_run
            case _:
                return outcome
        decision = yield DecideRetry(failure, tries, possibly_run)
        if not isinstance(decision, Retry):
            return (yield from _abandon(call, _with_detail(decision.refusal, outcome)))
        yield ResetStream()
        if decision.after_s:
            yield Pause(decision.after_s)


def _release_slot(outcome: object) -> ReleaseSlot:
    if isinstance(outcome, CallClosed) and outcome.answer is not None:
        return ReleaseSlot(True, outcome.answer.usage.generated)
    return ReleaseSlot()


def _with_detail(refusal: Refusal, failed: Failed) -> Refusal:
    return replace(refusal, message=f"{refusal.message}: {failed.detail}")


def _abandon(call: Call, refusal: Refusal) -> Steps:
    """End an open call without an answer.

    Only `CallAbandoned` from the journal confirms that the call did not run and will not.
    """
    if call.unproven_attempt is not None:
        result = yield Commit(
            CloseCall(call.unproven_attempt, refusal=with_unknown_execution(refusal))
        )
    else:
        command = AbandonCall(call.program_id, call.spec.seq, call.org_id, call.entry_id)
        result = yield Commit(command)
    match result:
        case CallAbandoned():
            return refusal
        case Unavailable():
            return with_unknown_execution(refusal)
        case _:
            return result


def _join(call: Call, running: CallRunning) -> Steps:
    """Join a call that another entry opened, or that this entry opened in an earlier flow."""
    if running.attempt is None:
        return (yield from _wait_for_holder(call, running))
    outcome = yield from follow_running(call, running)
    match outcome:
        case None:
            return (yield from _wait_for_holder(call, running))
        case Failed(proven_not_run=True):
            return (yield from _reopen(call))
        case Failed():
            decision = yield DecideRetry(outcome.failure, 1, 1)
            if not isinstance(decision, Retry):
                return (yield from _abandon(call, _with_detail(decision.refusal, outcome)))
            yield ResetStream()
            return (yield from _reopen(call))
        case Abandoned(refusal=refusal):
            return (yield from _abandon(call, refusal))
    return outcome


def _wait_for_holder(call: Call, running: CallRunning) -> Steps:
    """Pause for the entry that holds a call, then query its state again by reopening it.

    The holder may have abandoned the call while control did not reply, so the call is taken over
    after `MAX_HOLDER_WAITS` pauses. If the holder is still active, the journal lets only one of the
    two entries start an attempt.
    """
    call.holder_waits += 1
    if not (yield Pause(HOLDER_PAUSE_SECONDS)):
        return Refusal(
            RefusalCode.DEADLINE,
            f"the call is still held by {running.entry_id}",
            Execution.UNKNOWN,
            HOLDER_RETRY_MS,
        )
    return (yield from _reopen(call))


def _reopen(call: Call) -> Steps:
    return (yield Commit(_open_command(call)))


def _open_command(call: Call) -> OpenCall:
    return OpenCall(
        call.program_id,
        call.org_id,
        call.spec,
        call.entry_id,
        lost_attempt=call.unproven_attempt,
        take_over=not call.may_wait_for_holder,
    )
