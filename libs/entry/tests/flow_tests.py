from __future__ import annotations

from tarragonhall_decisions import GiveUp, TryAgain
from tarragonhall_entry._effects import (
    Acknowledge,
    AskControl,
    Assigned,
    AwaitEnd,
    AwaitPredecessor,
    Call,
    CheckKey,
    CheckQuarantine,
    Commit,
    DecideRetry,
    EndPlace,
    EntryInView,
    FindServer,
    LinkLost,
    Note,
    NotSent,
    Pause,
    Reattach,
    Restart,
    SendDispatch,
    TakeToken,
    TryTurn,
    Unavailable,
    WaitTurn,
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
QUIET = (EndPlace, Note, Acknowledge, Restart)
AGAIN = TryAgain(0.0)
UNKNOWN = GiveUp(Refusal(RefusalCode.SERVER_FAILED, "may have run", Execution.UNKNOWN))
STOP = GiveUp(Refusal(RefusalCode.NO_SERVER, "no server"))


def call(repeatable: bool = True) -> Call:
    spec = CallSpec(1, CallKind.SERVICE, "desk", "{}", repeatable=repeatable)
    return Call("prog-1/1/0", "prog-1", "org", "hash", spec, "entry-1", 60.0)


def server(name: str = "desk-1") -> ServerRecord:
    return ServerRecord(name, f"life-{name}", "127.0.0.1:1", "z", ServerKind.SERVICE, ["desk"])


def run(the_call: Call, script: list[tuple[type, object]]) -> tuple[CallClosed, list[object]]:
    """Drive a flow: each script item names the next effect and gives its result."""
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
        if isinstance(effect, QUIET):
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


OPENED = [(TakeToken, None), (TryTurn, None), (OpenCall, CallOpened(0, []))]


def attempt_on(name: str, reply: object) -> list[tuple[type, object]]:
    return [
        (WaitTurn, Assigned(server(name))),
        (StartAttempt, recorded),
        (CheckKey, None),
        (SendDispatch, reply),
    ]


def test_the_end_is_committed_before_the_caller_and_the_sidecar_hear_of_it():
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
        call(), [(TakeToken, None), (TryTurn, None), (OpenCall, CallClosed(answer=ANSWER))]
    )
    assert result.answer == ANSWER


def test_a_server_that_takes_no_call_costs_one_proof_and_another_server_is_tried():
    result, effects = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", Rejected(RejectReason.DRAINING)),
            (DisproveAttempt, CallOpened(1, [])),
            (DecideRetry, AGAIN),
            *attempt_on("desk-2", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    wishes = [e for e in effects if isinstance(e, WaitTurn)]
    assert wishes[1].excluded == {"desk-1"}


def test_a_refusal_of_a_non_repeatable_call_that_may_have_run_says_unknown():
    # The desk charges a district and its machine dies before it answers. Told "not run", the caller
    # would have the district charged again.
    result, _ = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, LinkLost()),
            (Reattach, LinkLost()),
            (Pause, True),
            (FindServer, None),
            (DecideRetry, UNKNOWN),
            (CloseCall, closed),
        ],
    )
    assert result.refusal.code is RefusalCode.SERVER_FAILED
    assert result.refusal.execution is Execution.UNKNOWN


def test_a_new_life_of_the_sidecar_proves_nothing_about_the_old_one():
    # The sidecar restarts while a billing call runs. Its new life has never heard of the call and
    # says so; taken as a proof, the district would be billed a second time on another server.
    result, _ = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", LinkLost()),
            (Reattach, Rejected(RejectReason.INCARNATION)),
            (DecideRetry, UNKNOWN),
            (CloseCall, closed),
        ],
    )
    assert result.refusal.execution is Execution.UNKNOWN


def test_a_lost_dispatch_is_tried_elsewhere_once_its_tombstone_is_written():
    result, _ = run(
        call(repeatable=False),
        [
            *OPENED,
            *attempt_on("desk-1", LinkLost()),
            (Reattach, Rejected(RejectReason.TOMBSTONE)),
            (DisproveAttempt, CallOpened(1, [])),
            (DecideRetry, AGAIN),
            *attempt_on("desk-2", NotSent()),
            (DisproveAttempt, CallOpened(2, [])),
            (DecideRetry, STOP),
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
            (DecideRetry, AGAIN),
            *attempt_on("desk-2", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    assert any(isinstance(effect, Restart) for effect in effects)


def test_a_failed_attempt_is_never_refused_as_not_run():
    # The first attempt ran halfway and failed; while the call waits for another server its time is
    # up. The call did run, so the refusal must not deny it.
    result, _ = run(
        call(),
        [
            *OPENED,
            *attempt_on("desk-1", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.FAILED)),
            (DecideRetry, AGAIN),
            (WaitTurn, Refusal(RefusalCode.DEADLINE, "late")),
            (CloseCall, closed),
        ],
    )
    assert result.refusal.execution is Execution.UNKNOWN


def test_a_key_withdrawn_while_the_call_waits_ends_it_unrun():
    # A key is withdrawn after the call was queued but before its dispatch. Without a second look at
    # the key, the work of a former caller would still run.
    withdrawn = Refusal(RefusalCode.UNAUTHENTICATED, "withdrawn")
    result, effects = run(
        call(),
        [
            *OPENED,
            (WaitTurn, Assigned(server())),
            (StartAttempt, recorded),
            (CheckKey, withdrawn),
            (DisproveAttempt, CallOpened(1, [])),
            (AbandonCall, CallAbandoned()),
        ],
    )
    assert result.refusal == withdrawn
    assert not any(isinstance(effect, SendDispatch) for effect in effects)


def test_a_refused_resend_of_a_running_call_joins_it_instead():
    # The first entry died after the dispatch and the caller sends the call again while its
    # organisation is above its rate. "Not run" would be untrue: the call is running.
    running = CallRunning("entry-2", None)
    result, _ = run(
        call(),
        [
            (TakeToken, Refusal(RefusalCode.RATE_EXCEEDED, "above", retry_after_ms=9)),
            (AskControl, running),
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
            (AskControl, Unavailable("cut off")),
        ],
    )
    assert result.refusal.execution is Execution.UNKNOWN
    assert result.refusal.retry_after_ms == 9


def test_an_early_call_waits_for_the_one_before_it():
    early = Refusal(RefusalCode.CONFLICT, "early", retry_after_ms=20)
    result, _ = run(
        call(),
        [
            (TakeToken, None),
            (TryTurn, None),
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
            (TryTurn, None),
            (OpenCall, CallRunning("entry-2", attempt)),
            (Reattach, Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    assert not any(isinstance(effect, (SendDispatch, EntryInView)) for effect in effects)


def test_a_request_that_crashed_its_servers_is_not_sent_to_another():
    # One request crashes every server that runs it. Tried again and again it would take them all
    # down, so its caller is told, and not that it never ran.
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


def test_a_repeatable_call_whose_server_is_gone_is_opened_anew_by_the_next_entry():
    # The first entry and the server of a repeatable call die together, and the caller sends it
    # again. Nobody can tell what became of the attempt; without a new one the call would hang.
    attempt = AttemptId("prog-1", 1, 1, "desk-1", "life-desk-1")
    result, effects = run(
        call(),
        [
            (TakeToken, None),
            (TryTurn, None),
            (OpenCall, CallRunning("entry-2", attempt)),
            (Reattach, LinkLost()),
            (EntryInView, False),
            (Reattach, LinkLost()),
            (Pause, True),
            (FindServer, None),
            (DecideRetry, AGAIN),
            (OpenCall, lambda command: CallOpened(1, []) if command.lost_attempt else None),
            *attempt_on("desk-2", Accepted()),
            (AwaitEnd, ended(AttemptOutcome.ANSWERED, ANSWER)),
            (CloseCall, closed),
        ],
    )
    assert result.answer == ANSWER
    sent = [effect for effect in effects if isinstance(effect, SendDispatch)]
    assert [one.message.attempt.number for one in sent] == [2]


def test_a_refusal_of_the_journal_after_the_run_does_not_deny_it():
    # A program was dropped from the journal while its last call ran. "No such program" must not
    # come with "not run": the call did run.
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


def test_a_free_server_saves_the_commit_of_the_first_attempt():
    result, effects = run(
        call(),
        [
            (TakeToken, None),
            (TryTurn, Assigned(server())),
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


def test_the_place_of_a_resend_is_given_back_unused():
    # The caller sends a finished call again. The place taken for it before the journal was asked
    # must be free again, or the server would seem full after a few resends.
    result, effects = run(
        call(),
        [
            (TakeToken, None),
            (TryTurn, Assigned(server())),
            (OpenCall, CallClosed(answer=ANSWER)),
        ],
    )
    assert result.answer == ANSWER
    assert [effect for effect in effects if isinstance(effect, EndPlace)] == [EndPlace(used=False)]


def test_a_call_that_the_queue_refuses_costs_no_commit():
    # A tenant sends far more than the servers can take. If each refusal were put in the journal,
    # the overload of one target would become that of everybody's journal.
    full = Refusal(RefusalCode.OVERLOADED, "full", retry_after_ms=100)
    missing = Refusal(RefusalCode.NOT_FOUND, "no such call")
    result, effects = run(call(), [(TakeToken, None), (TryTurn, full), (AskControl, missing)])
    assert result.refusal == full
    assert not any(isinstance(effect, Commit) for effect in effects)
