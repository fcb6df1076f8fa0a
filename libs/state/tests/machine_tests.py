from __future__ import annotations

from tarragonhall_model import (
    Answer,
    AttemptId,
    AttemptRecorded,
    Budget,
    CallClosed,
    CallKind,
    CallOpened,
    CallSpec,
    CloseCall,
    Command,
    OpenCall,
    OpenProgram,
    ProgramInfo,
    Refusal,
    RefusalCode,
    StartAttempt,
    Turn,
    Usage,
    encode,
)
from tarragonhall_state import (
    ChangeAccepted,
    ChangeRefused,
    ChangeSettings,
    ControlState,
    CreateOrganisation,
    GrantKey,
)

KEY_HASH = "ab" * 32


def apply(state: ControlState, request_id: str, body: object, at_ms: int = 1_000) -> object:
    return state.apply(1, encode(Command(request_id, at_ms, body)))


def restored(state: ControlState) -> ControlState:
    copy = ControlState()
    copy.restore(state.snapshot())
    return copy


def open_program(state: ControlState, program_id: str = "prog-1", **more) -> object:
    body = OpenProgram(program_id, "school", Budget(1_000, 10, 60), 30, **more)
    return apply(state, f"open-{program_id}", body)


def run_call(state: ControlState, seq: int, body: str, answer: str) -> CallOpened:
    spec = CallSpec(seq, CallKind.MODEL, "planner", body, max_tokens=100)
    attempt = AttemptId("prog-1", seq, 1, "engine-1", "life-1")
    opened = apply(state, f"call-{seq}", OpenCall("prog-1", "school", spec, "entry-1"))
    started = apply(state, f"start-{seq}", StartAttempt(attempt, "school", "entry-1"))
    assert started == AttemptRecorded(attempt)
    done = Answer(answer, Usage(generated=40))
    assert apply(state, f"close-{seq}", CloseCall(attempt, done)) == CallClosed(done)
    return opened


def test_a_program_runs_its_calls_with_the_history_of_the_earlier_ones():
    state = ControlState()
    assert isinstance(open_program(state), ProgramInfo)
    assert run_call(state, 1, "drop runs?", "three").history == []
    opened = run_call(restored(state), 2, "and vans?", "two")
    assert opened.history == [Turn("drop runs?", "three")]
    assert opened.prefix_server == "engine-1"
    spent = state.program("prog-1", "school").info.spent
    assert (spent.tokens, spent.calls, spent.reserved_tokens) == (40, 1, 0)


def test_a_resend_gets_the_first_result_even_from_a_restored_member():
    # The reply to an operator's change is lost with the leader, and the tool resends the change to
    # the next one. Without the request table, the change would conflict with itself.
    state = ControlState()
    create = CreateOrganisation("school", "/school", {"weight": 2}, "ana", 0)
    first = apply(state, "req-1", create)
    assert isinstance(first, ChangeAccepted)
    apply(state, "req-2", GrantKey(KEY_HASH, "school", "ana"))
    again = restored(state)
    assert apply(again, "req-1", create) == first
    assert again.revision == 2


def test_one_request_id_with_two_bodies_is_a_conflict():
    # Two tools generate the same request id. If the second one got the first one's result, its
    # operator would be informed of a change that never happened.
    state = ControlState()
    apply(state, "req-1", CreateOrganisation("school", "/school", {}, "ana"))
    result = apply(state, "req-1", CreateOrganisation("winery", "/winery", {}, "ana"))
    assert isinstance(result, Refusal)
    assert result.code is RefusalCode.CONFLICT


def test_a_resend_of_an_opened_call_gets_its_history_again():
    state = ControlState()
    open_program(state)
    run_call(state, 1, "drop runs?", "three")
    spec = CallSpec(2, CallKind.MODEL, "planner", "and vans?", max_tokens=100)
    body = OpenCall("prog-1", "school", spec, "entry-1")
    first = apply(state, "call-2", body)
    assert apply(restored(state), "call-2", body) == first


def test_a_resend_of_an_open_that_recorded_an_attempt_gets_it_again():
    # The reply to an open is lost with the leader, and the entry resends the open to the next one.
    # If the reply were only that the attempt is running, the entry would wait for an attempt that
    # it has to start itself.
    state = ControlState()
    open_program(state)
    spec = CallSpec(1, CallKind.MODEL, "planner", "drop runs?", max_tokens=100)
    attempt = AttemptId("prog-1", 1, 1, "engine-1", "life-1")
    body = OpenCall("prog-1", "school", spec, "entry-1", first_attempt=attempt)
    first = apply(state, "call-1", body)
    assert first.started
    assert apply(restored(state), "call-1", body) == first
    done = Answer("three", Usage(generated=40))
    apply(state, "close-1", CloseCall(attempt, done))
    assert apply(state, "call-1", body) == CallClosed(done)


def test_an_undecodable_or_unknown_command_changes_nothing():
    state = ControlState()
    before = state.snapshot()
    assert isinstance(state.apply(1, b"\xff"), Refusal)
    assert isinstance(state.apply(2, encode(CallClosed())), Refusal)
    assert state.snapshot() == before


def test_of_two_operators_who_expect_one_revision_the_second_gets_the_values_in_force():
    state = ControlState()
    apply(state, "req-1", CreateOrganisation("school", "/school", {}, "ana", 0))
    first = ChangeSettings("/school", {"rate.burst": 50}, [], "ana", 1)
    second = ChangeSettings("/school", {"rate.burst": 60}, [], "ben", 1)
    assert isinstance(apply(state, "req-2", first), ChangeAccepted)
    refused = apply(state, "req-3", second)
    assert isinstance(refused, ChangeRefused)
    assert refused.revision == 2
    assert refused.in_force["rate.burst"] == 50.0
    assert "by ana" in refused.message
