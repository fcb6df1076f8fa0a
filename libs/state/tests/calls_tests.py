from __future__ import annotations

from tarragonhall_model import (
    AbandonCall,
    AnnounceEntry,
    Answer,
    AttemptId,
    AttemptRecorded,
    Budget,
    CallAbandoned,
    CallClosed,
    CallKind,
    CallOpened,
    CallRunning,
    CallSpec,
    CloseCall,
    Command,
    DisproveAttempt,
    EndProgram,
    EntryRecord,
    Execution,
    ExpirePrograms,
    OpenCall,
    OpenProgram,
    ProgramInfo,
    ProgramStatus,
    Refusal,
    RefusalCode,
    StartAttempt,
    Usage,
    encode,
)
from tarragonhall_state import ENDED_PROGRAM_RETENTION_MS, MAX_HISTORY_BYTES, ControlState

NOW_MS = 1_000_000


class Journal:
    """Applies commands one after the other, each with its own request id."""

    def __init__(self, budget: Budget | None = None, idle_seconds: int = 30) -> None:
        self.state = ControlState()
        self.now_ms = NOW_MS
        self.count = 0
        self.open_program("prog-1", budget=budget or Budget(1_000, 10, 3_600), idle=idle_seconds)

    def __call__(self, body: object) -> object:
        self.count += 1
        return self.state.apply(self.count, encode(Command(f"req-{self.count}", self.now_ms, body)))

    def open_program(self, program_id: str, budget=None, idle: int = 30, **more) -> object:
        return self(OpenProgram(program_id, "school", budget or Budget(), idle, **more))

    def open(self, seq: int = 1, program_id: str = "prog-1", entry="entry-1", **more) -> object:
        spec = {"kind": CallKind.MODEL, "target": "planner", "body": "b", "max_tokens": 100} | more
        return self(OpenCall(program_id, "school", CallSpec(seq, **spec), entry))

    def start(self, seq: int = 1, number: int = 1, program_id="prog-1", entry="entry-1") -> object:
        return self(StartAttempt(attempt(seq, number, program_id), "school", entry))

    def answer(self, seq: int = 1, number: int = 1, program_id="prog-1", tokens=40) -> object:
        done = Answer("done", Usage(generated=tokens))
        return self(CloseCall(attempt(seq, number, program_id), answer=done))

    def refuse(self, execution: Execution, seq: int = 1, number: int = 1) -> object:
        refusal = Refusal(RefusalCode.SERVER_FAILED, "failed", execution)
        return self(CloseCall(attempt(seq, number), refusal=refusal))

    def spent(self) -> tuple[int, int, int, int]:
        spent = self.state.program("prog-1", "school").info.spent
        return (spent.tokens, spent.calls, spent.reserved_tokens, spent.reserved_calls)

    def restart(self) -> None:
        again = ControlState()
        again.restore(self.state.snapshot())
        self.state = again


def attempt(seq: int = 1, number: int = 1, program_id: str = "prog-1") -> AttemptId:
    return AttemptId(program_id, seq, number, "engine-1", "life-1")


def code_of(result: object) -> RefusalCode:
    assert isinstance(result, Refusal), result
    return result.code


def test_a_call_opens_only_after_the_previous_one_has_ended():
    # A caller sends two calls at once through two entries. Run concurrently, the second call would
    # lack the first one's answer in its history.
    journal = Journal()
    journal.open(1)
    early = journal.open(2)
    assert code_of(early) is RefusalCode.CONFLICT
    assert early.retry_after_ms is not None
    journal.start(1)
    journal.answer(1)
    assert isinstance(journal.open(2), CallOpened)


def test_a_resent_call_returns_its_state_and_a_different_body_is_a_conflict():
    journal = Journal()
    journal.open(1)
    journal.start(1)
    assert journal.open(1, entry="entry-2") == CallRunning("entry-1", attempt())
    assert code_of(journal.open(1, body="other")) is RefusalCode.CONFLICT
    journal.answer(1)
    assert journal.open(1, timeout_ms=5, stream=True).answer.text == "done"


def test_a_call_whose_entry_is_gone_is_reassigned_to_the_requesting_entry():
    # An entry opens a call and crashes before it dispatches anything. The caller resends through
    # another entry, which must not wait for the crashed one.
    journal = Journal()
    for name in ("entry-1", "entry-2"):
        journal(AnnounceEntry(EntryRecord(name, "life", "127.0.0.1:1", "tx-waco")))
    journal.open(1, entry="entry-1")
    assert journal.open(1, entry="entry-2") == CallRunning("entry-1")
    journal.state._views.remove_entry("entry-1", "life", 0)
    assert isinstance(journal.open(1, entry="entry-2"), CallOpened)
    assert isinstance(journal.start(1, entry="entry-2"), AttemptRecorded)


def test_of_two_entries_that_start_the_same_call_only_one_records_an_attempt():
    # After one entry was paused, both act as the owner of the call. If both attempts were recorded,
    # a call that must not repeat would run twice and bill twice.
    journal = Journal()
    journal.open(1, repeatable=False)
    assert isinstance(journal.start(1, entry="entry-1"), AttemptRecorded)
    assert journal.start(1, entry="entry-2") == CallRunning("entry-1", attempt())
    assert journal.start(1, number=2, entry="entry-2") == CallRunning("entry-1", attempt())


def test_of_two_entries_that_race_for_a_repeatable_call_the_loser_gets_the_running_attempt():
    # The loser must wait for the winner's attempt; with only a conflict, it would fail its caller
    # although the call is running.
    journal = Journal()
    journal.open(1)
    journal.start(1, entry="entry-1")
    assert journal.start(1, entry="entry-2") == CallRunning("entry-1", attempt())


def test_a_non_repeatable_call_gets_a_second_attempt_only_after_proof():
    # The server with the first attempt becomes unresponsive. Only the sidecar's tombstone proves
    # that the call never started there; without it, a second attempt could repeat its effect.
    journal = Journal()
    journal.open(1, repeatable=False)
    journal.start(1)
    assert isinstance(journal.start(1, number=2), CallRunning)
    assert journal(DisproveAttempt(attempt())).attempts == 1
    assert isinstance(journal.start(1, number=2), AttemptRecorded)


def test_an_attempt_number_is_never_used_again_after_the_call_was_abandoned():
    # A sidecar stores a tombstone for the first attempt. The caller abandons the call and sends it
    # again. Under the same attempt number, the tombstone would reject it forever.
    journal = Journal()
    journal.open(1)
    journal.start(1)
    journal(DisproveAttempt(attempt()))
    assert journal(AbandonCall("prog-1", 1, "school", "entry-1")) == CallAbandoned()
    assert journal.spent() == (0, 0, 0, 0)
    assert journal.open(1, body="changed").attempts == 1
    assert code_of(journal.start(1, number=3)) is RefusalCode.CONFLICT
    assert isinstance(journal.start(1, number=2), AttemptRecorded)


def test_a_call_that_may_be_running_is_not_abandoned():
    journal = Journal()
    journal.open(1)
    journal.start(1)
    abandon = AbandonCall("prog-1", 1, "school", "entry-1")
    assert journal(abandon) == CallRunning("entry-1", attempt())


def test_the_first_answer_wins_and_a_late_one_replaces_unknown():
    # A service acts and then hangs, so its caller gets an unknown outcome. The answer arrives
    # minutes later and must be returned for the call from then on.
    journal = Journal()
    journal.open(1)
    journal.start(1)
    assert journal.refuse(Execution.UNKNOWN).refusal.execution is Execution.UNKNOWN
    assert journal.spent() == (0, 0, 100, 1)
    assert journal.answer(1).answer.text == "done"
    assert journal.spent() == (40, 1, 0, 0)
    second = Answer("other", Usage(generated=90))
    assert journal(CloseCall(attempt(), answer=second)).answer.text == "done"
    assert journal.spent() == (40, 1, 0, 0)


def test_not_run_is_not_reported_while_another_attempt_may_have_run():
    # Of two attempts of a repeatable call, one was lost with its server and the other refused. The
    # refusal says "not run", which is true of that attempt only.
    journal = Journal()
    journal.open(1)
    journal.start(1, 1)
    journal.start(1, 2)
    closed = journal.refuse(Execution.NOT_RUN, number=2)
    assert closed.refusal.execution is Execution.UNKNOWN


def test_only_a_call_that_can_never_run_is_reported_as_not_run():
    # A caller whose key was withdrawn resends a call. A call queued at an entry may start at any
    # moment, and the calls of an unknown program may have run long ago.
    journal = Journal()
    assert journal.state.execution("prog-1", 1) is Execution.NOT_RUN
    assert journal.state.execution("prog-9", 1) is Execution.UNKNOWN
    journal.open(1)
    assert journal.state.execution("prog-1", 1) is Execution.UNKNOWN
    journal.start(1)
    assert journal.state.execution("prog-1", 1) is Execution.UNKNOWN
    journal.answer(1)
    assert journal.state.execution("prog-1", 1) is Execution.UNKNOWN


def test_an_answer_of_a_disproved_attempt_closes_nothing():
    # A sidecar proved that an attempt never ran, then a misdirected or forged answer arrives under
    # its number. If that were accepted with an empty result, the entry would have neither an answer
    # nor a refusal for its caller.
    journal = Journal()
    journal.open(1)
    journal.start(1)
    journal(DisproveAttempt(attempt()))
    assert code_of(journal.answer(1)) is RefusalCode.CONFLICT
    assert isinstance(journal.start(1, number=2), AttemptRecorded)


def test_an_answer_from_another_incarnation_of_the_server_is_refused():
    # The sidecar restarted, and its new incarnation, which cannot know the attempt, sends an answer
    # under the attempt's number. That answer must belong to something else.
    journal = Journal()
    journal.open(1)
    journal.start(1)
    other_incarnation = AttemptId("prog-1", 1, 1, "engine-1", "life-2")
    assert (
        code_of(journal(CloseCall(other_incarnation, answer=Answer("x")))) is RefusalCode.CONFLICT
    )


def test_sub_agents_race_for_the_last_tokens_of_their_root():
    # Two sub-agents open a call at the same time, and the budget allows one. The other gets a retry
    # delay while the first one's reservation may still be released.
    journal = Journal(Budget(150, 10, 3_600))
    for child in ("prog-2", "prog-3"):
        assert isinstance(journal.open_program(child, parent="prog-1"), ProgramInfo)
    assert isinstance(journal.open(1, "prog-2"), CallOpened)
    refused = journal.open(1, "prog-3")
    assert code_of(refused) is RefusalCode.BUDGET_EXHAUSTED
    assert refused.retry_after_ms is not None
    journal.start(1, program_id="prog-2")
    journal.answer(1, program_id="prog-2", tokens=100)
    last = journal.open(1, "prog-3")
    assert code_of(last) is RefusalCode.BUDGET_EXHAUSTED
    assert last.retry_after_ms is None


def test_an_endless_loop_is_stopped_by_the_call_budget():
    journal = Journal(Budget(1_000_000, 3, 3_600))
    for seq in (1, 2, 3):
        journal.open(seq)
        journal.start(seq)
        journal.answer(seq, tokens=1)
    assert code_of(journal.open(4)) is RefusalCode.BUDGET_EXHAUSTED


def test_more_tokens_than_reserved_are_counted_and_stop_the_next_call():
    # An engine ignores max_tokens. All generated tokens count, and later calls get only the rest of
    # the budget.
    journal = Journal(Budget(200, 10, 3_600))
    journal.open(1)
    journal.start(1)
    journal.answer(1, tokens=150)
    assert journal.spent() == (150, 1, 0, 0)
    assert code_of(journal.open(2)) is RefusalCode.BUDGET_EXHAUSTED


def test_the_history_size_is_limited():
    journal = Journal()
    refused = journal.open(1, body="x" * (MAX_HISTORY_BYTES + 1))
    assert code_of(refused) is RefusalCode.BUDGET_EXHAUSTED


def test_ending_a_program_ends_its_sub_agents_and_their_unstarted_calls():
    # A caller cancels while one sub-agent's call waits for a server and another's is running. The
    # waiting call must never be dispatched; the answer of the running one is still recorded.
    journal = Journal()
    journal.open_program("prog-2", parent="prog-1")
    journal.open_program("prog-3", parent="prog-2")
    journal.open(1, "prog-2")
    journal.open(1, "prog-3")
    journal.start(1, program_id="prog-3")
    journal(EndProgram("prog-1", "school", ProgramStatus.CANCELLED))
    for program_id in ("prog-2", "prog-3"):
        info = journal.state.program(program_id, "school").info
        assert info.status is ProgramStatus.CANCELLED
    started = journal.start(1, program_id="prog-2")
    assert started.refusal.execution is Execution.NOT_RUN
    assert code_of(journal.start(1, number=2, program_id="prog-3")) is RefusalCode.PROGRAM_ENDED
    assert journal.answer(1, program_id="prog-3").answer.text == "done"
    assert journal.spent() == (40, 1, 0, 0)


def test_a_program_whose_process_crashed_expires_and_is_dropped_later():
    # A caller's process crashes between two turns and never ends its program. Without expiry, the
    # engine would hold the program's memory forever.
    journal = Journal(idle_seconds=30)
    assert journal.state.next_due_ms() == NOW_MS + 30_000
    journal.now_ms += 29_000
    assert journal(ExpirePrograms()).program_ids == []
    journal.now_ms += 1_000
    assert journal(ExpirePrograms()).program_ids == ["prog-1"]
    assert journal.state.open_programs(["prog-1"]).program_ids == []
    journal.restart()
    journal.now_ms += ENDED_PROGRAM_RETENTION_MS
    journal(ExpirePrograms())
    assert code_of(journal.state.program("prog-1", "school")) is RefusalCode.NOT_FOUND
    assert journal.state.next_due_ms() is None


def test_a_program_that_waits_for_a_slow_sub_agent_is_not_idle():
    # A call of a sub-agent takes longer than the parent's idle timeout. If the parent expired, the
    # running sub-agent would end with it.
    journal = Journal(idle_seconds=30)
    journal.open_program("prog-2", parent="prog-1", idle=30)
    journal.open(1, "prog-2", timeout_ms=120_000)
    journal.start(1, program_id="prog-2")
    journal.now_ms += 100_000
    assert journal(ExpirePrograms()).program_ids == []
    journal.answer(1, program_id="prog-2")
    journal.now_ms += 31_000
    assert journal(ExpirePrograms()).program_ids == ["prog-2"]


def test_a_program_is_idle_from_the_end_of_a_long_call_not_from_its_deadline():
    # A call with a timeout of most of an hour ends after half a minute, and then its caller's
    # process crashes. The program must not hold engine memory for the rest of the timeout.
    journal = Journal(idle_seconds=30)
    journal.open(1, timeout_ms=3_000_000)
    journal.start(1)
    journal.now_ms += 31_000
    assert journal(ExpirePrograms()).program_ids == []
    journal.answer(1)
    journal.now_ms += 30_000
    assert journal(ExpirePrograms()).program_ids == ["prog-1"]


def test_a_snapshot_includes_the_reservation_released_by_an_expired_sub_agent():
    # A sub-agent expires with a call that never started, which releases a reservation of the root.
    # If a snapshot reused the root's earlier encoding, a restored member would hold the reservation
    # forever and refuse calls that fit the budget.
    journal = Journal(Budget(1_000, 10, 3_600), idle_seconds=600)
    journal.open_program("prog-2", parent="prog-1", idle=10)
    journal.open(1, "prog-2", timeout_ms=1_000)
    journal.state.snapshot()
    journal.now_ms += 10_000
    assert journal(ExpirePrograms()).program_ids == ["prog-2"]
    assert journal.spent() == (0, 0, 0, 0)
    journal.restart()
    assert journal.spent() == (0, 0, 0, 0)


def test_programs_expire_in_the_same_order_on_a_restored_member():
    # A member restored from a snapshot rebuilds its queue. If it listed expired programs in another
    # order, members would store different results for one command, and the result of a resend would
    # depend on the leader.
    journal = Journal(idle_seconds=30)
    journal.now_ms += 5_000
    journal.open_program("prog-2", idle=30)
    journal.now_ms += 15_000
    journal.open(1, timeout_ms=1)
    restored = ControlState()
    restored.restore(journal.state.snapshot())
    journal.now_ms += 100_000
    data = encode(Command("req-expire", journal.now_ms, ExpirePrograms()))
    expired = journal.state.apply(99, data)
    assert expired == restored.apply(99, data)
    assert expired.program_ids == ["prog-1", "prog-2"]


def test_the_time_budget_ends_a_busy_program():
    journal = Journal(Budget(1_000, 10, 60), idle_seconds=30)
    journal.open(1, timeout_ms=600_000)
    journal.now_ms += 60_000
    assert code_of(journal.start(1)) is RefusalCode.BUDGET_EXHAUSTED
    assert journal(ExpirePrograms()).program_ids == ["prog-1"]


def test_one_idempotency_key_opens_one_program_for_each_organisation():
    # The reply to an open is lost and the caller resends it through another entry, which generates
    # another program id.
    journal = Journal()
    first = journal.open_program("prog-2", idempotency_key="k")
    assert journal.open_program("prog-3", idempotency_key="k") == first
    other = OpenProgram("prog-4", "winery", Budget(), 30, idempotency_key="k")
    assert journal(other).program_id == "prog-4"
    changed = journal.open_program("prog-5", idle=31, idempotency_key="k")
    assert code_of(changed) is RefusalCode.CONFLICT


def test_a_slow_clock_of_a_new_leader_does_not_move_log_time_back():
    # The next leader's clock is an hour slow. If log time followed it, time budgets would grow and
    # programs would expire an hour late.
    journal = Journal(idle_seconds=30)
    journal.now_ms += 30_000
    journal.open_program("prog-2", idle=3_000)
    journal.now_ms -= 3_600_000
    assert journal(ExpirePrograms()).program_ids == ["prog-1"]


def test_a_query_returns_the_state_of_a_call():
    journal = Journal()
    journal.open(1)
    assert isinstance(journal.state.call("prog-1", 1, "school"), CallOpened)
    journal.start(1)
    assert journal.state.call("prog-1", 1, "school") == CallRunning("entry-1", attempt())
    journal.answer(1)
    assert isinstance(journal.state.call("prog-1", 1, "school"), CallClosed)
    assert code_of(journal.state.call("prog-1", 1, "winery")) is RefusalCode.NOT_FOUND
