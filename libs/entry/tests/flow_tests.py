from __future__ import annotations

from tarragonhall_decisions import Abandon, Retry
from tarragonhall_entry._effects import (
    Acknowledge,
    AcquireSlot,
    AwaitEnd,
    AwaitPredecessor,
    Call,
    CheckKey,
    CheckQuarantine,
    Commit,
    DecideRetry,
    EntryInView,
    FindServer,
    LinkLost,
    NotSent,
    Pause,
    QueryControl,
    Reattach,
    RecordEvent,
    ReleaseSlot,
    ResetStream,
    SendDispatch,
    SlotAssigned,
    TakeToken,
    TryAcquireSlot,
    Unavailable,
)
from tarragonhall_entry._flow import call_flow
from tarragonhall_model import (
    AbandonCall,
    Accepted,
    Answer,
    AttemptEnded,
    AttemptId,
    AttemptOutcome,
    AttemptRecorded,
    CallAbandoned,
    CallClosed,
    CallKind,
    CallOpened,
    CallRunning,
    CallSpec,
    CloseCall,
    DisproveAttempt,
    Execution,
    OpenCall,
    Refusal,
    RefusalCode,
    Rejected,
    RejectReason,
    ServerKind,
    ServerRecord,
    StartAttempt,
)

ANSWER = Answer("done")
EFFECTS_WITHOUT_RESULT = (ReleaseSlot, RecordEvent, Acknowledge, ResetStream)
RETRY = Retry(0.0)
ABANDON_UNKNOWN = Abandon(Refusal(RefusalCode.SERVER_FAILED, "may have run", Execution.UNKNOWN))
ABANDON_NOT_RUN = Abandon(Refusal(RefusalCode.NO_SERVER, "no server"))


def call(repeatable: bool = True) -> Call:
    spec = CallSpec(1, CallKind.SERVICE, "desk", "{}", repeatable=repeatable)
    return Call("prog-1/1/0", "prog-1", "org", "hash", spec, "entry-1", 60.0)


def server(name: str = "desk-1") -> ServerRecord:
    return ServerRecord(name, f"life-{name}", "127.0.0.1:1", "z", ServerKind.SERVICE, ["desk"])


def run(the_call: Call, script: list[tuple[type, object]]) -> tuple[CallClosed, list[object]]:
    """Run a flow against a script whose items are the type of the next effect and its result."""
    flow = call_flow(the_call)
    steps = iter(script)
    effects = []
    result = None
    while True:
        try:
            effect = flow.send(result)
        except StopIteration as stop:
            assert list(steps) == []
            return stop.value, effects
        effects.append(effect)
        if isinstance(effect, EFFECTS_WITHOUT_RESULT):
            result = None
            continue
        kind = effect.body if isinstance(effect, Commit) else effect
        expected, result = next(steps, (None, None))
        assert type(kind) is expected, f"{kind} instead of {expected}"
        if callable(result):
            result = result(kind)


def recorded(command: StartAttempt) -> AttemptRecorded:
    return AttemptRecorded(command.attempt)


def ended(outcome: AttemptOutcome, answer: Answer | None = None):
    return lambda effect: AttemptEnded(effect.attempt, outcome, answer)


def closed(command: CloseCall) -> CallClosed:
    return CallClosed(command.answer, command.refusal)


OPENED = [(TakeToken, None), (TryAcquireSlot, None), (OpenCall, CallOpened(0, []))]


def attempt_on(name: str, reply: object) -> list[tuple[type, object]]:
    return [
        (AcquireSlot, SlotAssigned(server(name))),
        (StartAttempt, recorded),
        (CheckKey, None),
        (SendDispatch, reply),
    ]


def test_the_end_is_committed_before_the_caller_and_the_sidecar_are_notified():
    result, effects = run(
        call(),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result == CallClosed(answer=ANSWER)
    order = [type(e.body if isinstance(e, Commit) else e) for e in effects]
    assert order.index(CloseCall) < order.index(Acknowledge)


def test_a_resend_of_a_closed_call_gets_the_recorded_answer():
    result, _ = run(
        call(), [(TakeToken, None), (TryAcquireSlot, None), (OpenCall, CallClosed(answer=ANSWER))]
    )
    assert result.answer == ANSWER


def test_a_rejected_attempt_is_disproved_and_retried_on_another_server():
    result, effects = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", Rejected(RejectReason.DRAINING)),
            (DisproveAttempt, CallOpened(1, [])),
            (DecideRetry, RETRY),
            *attempt_on("desk-2", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    requests = [e for e in effects if isinstance(e, AcquireSlot)]
    assert requests[1].excluded == {"desk-1"}


def test_a_refusal_of_a_non_repeatable_call_that_may_have_run_says_unknown():
    # A billing service charges a customer, and its machine fails before it answers. With "not run"
    # the caller would have the customer charged again.
    result, _ = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, LinkLost()),
            (Reattach, LinkLost()),
            (Pause, True),
            (FindServer, None),
            (DecideRetry, ABANDON_UNKNOWN),
            (CloseCall, closed),
        ],
    )
    assert result.refusal.code is RefusalCode.SERVER_FAILED
    assert result.refusal.execution is Execution.UNKNOWN


def test_a_new_incarnation_of_the_sidecar_proves_nothing_about_the_old_one():
    # The sidecar restarts while a billing call runs, and its new incarnation rejects the attach.
    # Taken as proof that the call never ran, another server would bill the customer again.
    result, _ = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", LinkLost()),
            (Reattach, Rejected(RejectReason.INCARNATION)),
            (DecideRetry, ABANDON_UNKNOWN),
            (CloseCall, closed),
        ],
    )
    assert result.refusal.execution is Execution.UNKNOWN


def test_a_lost_dispatch_is_retried_elsewhere_once_its_tombstone_is_written():
    result, _ = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", LinkLost()),
            (Reattach, Rejected(RejectReason.TOMBSTONE)),
            (DisproveAttempt, CallOpened(1, [])),
            (DecideRetry, RETRY),
            *attempt_on("desk-2", NotSent()),
            (DisproveAttempt, CallOpened(2, [])),
            (DecideRetry, ABANDON_NOT_RUN),
            (AbandonCall, CallAbandoned()),
        ],
    )
    assert result.refusal.code is RefusalCode.NO_SERVER
    assert result.refusal.execution is Execution.NOT_RUN


def test_a_repeatable_call_runs_again_after_a_crash():
    result, effects = run(
        call(),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.CRASHED)),
            (CheckQuarantine, None),
            (DecideRetry, RETRY),
            *attempt_on("desk-2", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    assert any(isinstance(effect, ResetStream) for effect in effects)


def test_a_failed_attempt_is_never_refused_as_not_run():
    # The first attempt ran partly and failed, and the deadline passes while the call waits for
    # another server. The call did run, so the refusal must not say "not run".
    result, _ = run(
        call(),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.FAILED)),
            (DecideRetry, RETRY),
            (AcquireSlot, Refusal(RefusalCode.DEADLINE, "late")),
            (CloseCall, closed),
        ],
    )
    assert result.refusal.execution is Execution.UNKNOWN


def test_a_call_whose_key_is_withdrawn_while_it_waits_is_not_dispatched():
    # A key is withdrawn after the call was queued but before its dispatch. Without a second check
    # of the key, the call would still run.
    withdrawn = Refusal(RefusalCode.UNAUTHENTICATED, "withdrawn")
    result, effects = run(
        call(),
        [
            *OPENED,
            (AcquireSlot, SlotAssigned(server())),
            (StartAttempt, recorded),
            (CheckKey, withdrawn),
            (DisproveAttempt, CallOpened(1, [])),
            (AbandonCall, CallAbandoned()),
        ],
    )
    assert result.refusal == withdrawn
    assert not any(isinstance(effect, SendDispatch) for effect in effects)


def test_a_refused_resend_of_a_running_call_joins_it_instead():
    # The first entry failed after the dispatch, and the caller resends the call while its
    # organisation is above its rate. "Not run" would be false: the call is running.
    running = CallRunning("entry-2", None)
    result, _ = run(
        call(),
        [
            (TakeToken, Refusal(RefusalCode.RATE_EXCEEDED, "above", retry_after_ms=9)),
            (QueryControl, running),
            (OpenCall, running),
            (Pause, True),
            (OpenCall, CallClosed(answer=ANSWER)),
        ],
    )
    assert result.answer == ANSWER


def test_a_refusal_that_the_journal_cannot_confirm_says_unknown():
    result, _ = run(
        call(),
        [
            (TakeToken, Refusal(RefusalCode.RATE_EXCEEDED, "above", retry_after_ms=9)),
            (QueryControl, Unavailable("cut off")),
        ],
    )
    assert result.refusal.execution is Execution.UNKNOWN
    assert result.refusal.retry_after_ms == 9


def test_an_early_call_waits_for_its_predecessor():
    early = Refusal(RefusalCode.CONFLICT, "early", retry_after_ms=20)
    result, _ = run(
        call(),
        [
            (TakeToken, None),
            (TryAcquireSlot, None),
            (OpenCall, early),
            (AwaitPredecessor, True),
            (OpenCall, CallClosed(answer=ANSWER)),
        ],
    )
    assert result.answer == ANSWER


def test_a_call_held_by_another_entry_is_joined_on_its_server():
    attempt = AttemptId("prog-1", 1, 1, "desk-1", "life-desk-1")
    result, effects = run(
        call(),
        [
            (TakeToken, None),
            (TryAcquireSlot, None),
            (OpenCall, CallRunning("entry-2", attempt)),
            (Reattach, Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    assert not any(isinstance(effect, (SendDispatch, EntryInView)) for effect in effects)


def test_a_request_that_crashed_its_servers_is_not_sent_to_another():
    # A request crashes every server that runs it. Retries would take down all servers, so the
    # caller gets a refusal, which must not say "not run".
    quarantined = Refusal(RefusalCode.QUARANTINED, "crashes servers")
    result, _ = run(
        call(),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.CRASHED)),
            (CheckQuarantine, quarantined),
            (CloseCall, closed),
        ],
    )
    assert result.refusal.code is RefusalCode.QUARANTINED
    assert result.refusal.execution is Execution.UNKNOWN


def test_a_repeatable_call_whose_server_is_lost_is_reopened_by_the_next_entry():
    # The first entry and the server of a repeatable call fail together, and the caller resends it.
    # The result of the attempt cannot be found out; without a new one the call would hang.
    attempt = AttemptId("prog-1", 1, 1, "desk-1", "life-desk-1")
    result, effects = run(
        call(),
        [
            (TakeToken, None),
            (TryAcquireSlot, None),
            (OpenCall, CallRunning("entry-2", attempt)),
            (Reattach, LinkLost()),
            (EntryInView, False),
            (Reattach, LinkLost()),
            (Pause, True),
            (FindServer, None),
            (DecideRetry, RETRY),
            (OpenCall, lambda command: CallOpened(1, []) if command.lost_attempt else None),
            *attempt_on("desk-2", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    sent = [effect for effect in effects if isinstance(effect, SendDispatch)]
    assert [one.message.attempt.number for one in sent] == [2]


def test_a_refusal_from_the_journal_after_the_run_says_unknown():
    # A program was dropped from the journal while its last call ran. The refusal "no such program"
    # must not say "not run": the call did run.
    result, _ = run(
        call(),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, Refusal(RefusalCode.NOT_FOUND, "no such program")),
        ],
    )
    assert result.refusal.execution is Execution.UNKNOWN


def test_with_a_free_server_the_first_attempt_needs_no_commit_of_its_own():
    result, effects = run(
        call(),
        [
            (TakeToken, None),
            (TryAcquireSlot, SlotAssigned(server())),
            (
                OpenCall,
                lambda command: CallOpened(1, [], started=command.first_attempt.number == 1),
            ),
            (CheckKey, None),
            (SendDispatch, Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    assert [type(e.body) for e in effects if isinstance(e, Commit)] == [OpenCall, CloseCall]


def test_the_slot_of_a_resend_is_released_unused():
    # The caller resends a finished call. The slot acquired for it before the commit must be
    # released, or the server would seem full after a few resends.
    result, effects = run(
        call(),
        [
            (TakeToken, None),
            (TryAcquireSlot, SlotAssigned(server())),
            (OpenCall, CallClosed(answer=ANSWER)),
        ],
    )
    assert result.answer == ANSWER
    assert [effect for effect in effects if isinstance(effect, ReleaseSlot)] == [
        ReleaseSlot(used=False)
    ]


def test_a_call_that_the_queue_refuses_costs_no_commit():
    # An organisation sends far more than the servers can take. If each refusal cost a commit, the
    # overload of one target would overload the journal for everybody.
    full = Refusal(RefusalCode.OVERLOADED, "full", retry_after_ms=100)
    missing = Refusal(RefusalCode.NOT_FOUND, "no such call")
    result, effects = run(
        call(), [(TakeToken, None), (TryAcquireSlot, full), (QueryControl, missing)]
    )
    assert result.refusal == full
    assert not any(isinstance(effect, Commit) for effect in effects)
