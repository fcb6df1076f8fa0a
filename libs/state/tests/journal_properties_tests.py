"""Properties of the program journal under any sequence of commands, resends and restarts."""

from __future__ import annotations

from dataclasses import dataclass
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from tarragonhall_model import (
    AbandonCall,
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
    DisproveAttempt,
    EndProgram,
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
from tarragonhall_state import JOURNAL_WINDOW_MS, ControlState, _programs
from tarragonhall_state._program import AttemptState, CallState, Program

ORGS = ("school", "winery")
PROGRAMS = ("prog-1", "prog-2", "prog-3", "prog-4")
ENTRIES = ("entry-1", "entry-2")
MAX_TOKENS = 100

ACTIONS = ("open", "open", "start", "start", "answer", "answer", "refuse", "disprove", "abandon")


@dataclass(slots=True, frozen=True)
class Choices:
    """Random parameters of one action."""

    action: str
    shift: int
    entry_id: str
    body: str
    repeatable: bool
    used: int
    execution: Execution


programs = st.sampled_from(PROGRAMS)
orgs = st.sampled_from(ORGS)
# Index into the programs or attempts that exist at the time.
picks = st.integers(0, 11)
# Ends must be rare, or programs would have few calls.
one_in_six = st.integers(0, 5)
choices = st.builds(
    Choices,
    action=st.sampled_from(ACTIONS),
    shift=st.sampled_from((0, 0, 0, 0, 0, -1, 1)),
    entry_id=st.sampled_from(ENTRIES),
    body=st.sampled_from(("a", "a", "b")),
    repeatable=st.booleans(),
    used=st.integers(0, MAX_TOKENS),
    execution=st.sampled_from(Execution),
)
MISSING_PROGRAM = Program("prog-0", "prog-0", "school", 1, 0, 0)


def attempt_of(program_id: str, seq: int, number: int) -> AttemptId:
    return AttemptId(program_id, seq, number, f"engine-{number}", "life-1")


class JournalMachine(RuleBasedStateMachine):
    """Applies every command to two members, one of which is restored from snapshots."""

    def __init__(self) -> None:
        super().__init__()
        # Low enough that programs are also encoded between snapshots.
        self.bound = mock.patch.object(_programs, "MAX_UNENCODED", 1)
        self.bound.start()
        self.reference = ControlState()
        self.restarted = ControlState()
        self.now_ms = 1_000
        self.sent: list[tuple[str, object, int]] = []

    @initialize()
    def open_first(self) -> None:
        self.commit(OpenProgram("prog-1", "school", Budget(650, 8, 300), 20))

    def commit(self, body: object) -> object:
        request_id = f"req-{len(self.sent)}"
        self.sent.append((request_id, body, self.now_ms))
        return self.apply(request_id, body)

    def apply(self, request_id: str, body: object) -> object:
        data = encode(Command(request_id, self.now_ms, body))
        result = self.reference.apply(1, data)
        assert self.restarted.apply(1, data) == result
        return result

    def all_programs(self) -> dict[str, Program]:
        return self.reference._journals[0]._programs.by_id

    def pick_program(self, pick: int, with_open_call: bool = False) -> Program:
        """Return a program, preferably an open one."""
        known = list(self.all_programs().values())
        open_programs = [program for program in known if program.is_open]
        if with_open_call:
            busy = [one for one in known if one.calls and one.calls[-1].state is CallState.OPEN]
            open_programs = busy or open_programs
        chosen = open_programs or known or [MISSING_PROGRAM]
        return chosen[pick % len(chosen)]

    def pick_attempt(self, pick: int) -> AttemptId:
        """Return a recorded attempt, or an unrecorded one if there is none."""
        recorded = [
            attempt.attempt_id
            for program in self.all_programs().values()
            for call in program.calls
            for attempt in call.attempts
        ]
        return recorded[pick % len(recorded)] if recorded else attempt_of("prog-1", 1, 1)

    @rule(program_id=programs, org_id=orgs, parent=st.none() | programs)
    def open_program(self, program_id, org_id, parent) -> None:
        result = self.commit(
            OpenProgram(program_id, org_id, Budget(650, 8, 300), 20, parent=parent)
        )
        if isinstance(result, ProgramInfo):
            assert (result.org_id, result.parent) == (org_id, parent)

    @rule(pick=picks, choices=choices)
    def act(self, pick, choices) -> None:
        """Perform one action on a call. A single rule, so that every run includes all actions."""
        match choices.action:
            case "open":
                self.open_call(pick, choices)
            case "start":
                self.start_attempt(pick, choices)
            case "answer":
                self.answer(pick, choices)
            case "refuse":
                self.refuse(pick, choices)
            case "disprove":
                self.commit(DisproveAttempt(self.pick_attempt(pick)))
            case "abandon":
                self.abandon(pick, choices)

    def open_call(self, pick: int, choices: Choices) -> None:
        program = self.pick_program(pick)
        program_id = program.program_id
        seq = program.next_seq() + choices.shift
        body = f"{program_id} {choices.body}"
        spec = CallSpec(
            seq,
            CallKind.MODEL,
            "planner",
            body,
            choices.repeatable,
            MAX_TOKENS,
            timeout_ms=1_000 if choices.used % 5 else 60_000,
        )
        slot = program.slot(seq)
        recorded = len(slot.attempts) if slot is not None else 0
        first = attempt_of(program_id, seq, recorded + 1) if choices.used % 2 else None
        lost = attempt_of(program_id, seq, recorded) if choices.used % 3 == 0 else None
        result = self.commit(
            OpenCall(program_id, program.org_id, spec, choices.entry_id, lost, first)
        )
        if not isinstance(result, CallOpened):
            return
        if result.started:
            assert program.calls[seq - 1].live_attempt().attempt_id == first
        for turn in result.history:
            assert turn.prompt.startswith(program_id)
            assert turn.answer.startswith(program_id)

    def start_attempt(self, pick: int, choices: Choices) -> None:
        program = self.pick_program(pick, with_open_call=True)
        was_open = program.is_open
        recorded = len(program.calls[-1].attempts) if program.calls else 0
        number = recorded + 1 + choices.shift
        attempt = attempt_of(program.program_id, max(1, len(program.calls)), number)
        result = self.commit(StartAttempt(attempt, program.org_id, choices.entry_id))
        if isinstance(result, AttemptRecorded):
            assert was_open
            assert choices.shift == 0

    def answer(self, pick: int, choices: Choices) -> None:
        attempt = self.pick_attempt(pick)
        done = Answer(f"{attempt.program_id} {attempt.seq}", Usage(generated=choices.used))
        result = self.commit(CloseCall(attempt, answer=done))
        if isinstance(result, CallClosed):
            assert (result.answer is None) != (result.refusal is None)

    def refuse(self, pick: int, choices: Choices) -> None:
        refusal = Refusal(RefusalCode.SERVER_FAILED, "failed", choices.execution)
        attempt = self.pick_attempt(pick)
        if choices.shift:
            program = self.pick_program(pick, with_open_call=True)
            attempt = attempt_of(program.program_id, max(1, len(program.calls)), 0)
            refusal = Refusal(RefusalCode.DEADLINE, "too late")
        self.commit(CloseCall(attempt, refusal=refusal))

    def abandon(self, pick: int, choices: Choices) -> None:
        program = self.pick_program(pick, with_open_call=True)
        seq = max(1, len(program.calls))
        body = AbandonCall(program.program_id, seq, program.org_id, choices.entry_id)
        self.commit(body)

    @rule(pick=picks, chance=one_in_six)
    def end(self, pick, chance) -> None:
        if chance:
            return
        program = self.pick_program(pick)
        self.commit(EndProgram(program.program_id, program.org_id, ProgramStatus.FINISHED))

    @rule(pick=picks)
    def access_from_another_organisation(self, pick) -> None:
        program = self.pick_program(pick)
        before = encode(program)
        other = ORGS[1 - ORGS.index(program.org_id)]
        seq = max(1, len(program.calls))
        spec = CallSpec(seq, CallKind.MODEL, "planner", "a", True, MAX_TOKENS)
        attempt = attempt_of(program.program_id, seq, 1)
        commands = (
            OpenCall(program.program_id, other, spec, "entry-1"),
            StartAttempt(attempt, other, "entry-1"),
            AbandonCall(program.program_id, seq, other, "entry-1"),
            EndProgram(program.program_id, other, ProgramStatus.CANCELLED),
        )
        assert isinstance(self.commit(commands[pick % len(commands)]), Refusal)
        assert encode(program) == before

    @rule(seconds=st.sampled_from((1, 5, 15, 30, 1_000)), chance=one_in_six)
    def wait_and_expire(self, seconds, chance) -> None:
        if chance:
            seconds = 1
        self.now_ms += seconds * 1_000
        self.commit(ExpirePrograms())

    @rule(data=st.data())
    def resend(self, data) -> None:
        before = self.reference.snapshot()
        oldest_ms = self.now_ms - JOURNAL_WINDOW_MS
        within_window = [one for one in self.sent[-20:] if one[2] >= oldest_ms]
        if not within_window:
            return
        request_id, body, _ = data.draw(st.sampled_from(within_window))
        self.apply(request_id, body)
        assert self.reference.snapshot() == before

    @rule()
    def restart(self) -> None:
        again = ControlState()
        again.restore(self.restarted.snapshot())
        self.restarted = again

    @invariant()
    def calls_are_in_order(self) -> None:
        for program in self.all_programs().values():
            for call in program.calls[:-1]:
                assert call.state is CallState.CLOSED
            assert [call.spec.seq for call in program.calls] == list(
                range(1, len(program.calls) + 1)
            )

    @invariant()
    def stored_encodings_are_current(self) -> None:
        for state in (self.reference, self.restarted):
            programs = state._journals[0]._programs
            for program_id, data in programs._encoded_by_id.items():
                assert data == encode(programs.by_id[program_id])

    @invariant()
    def no_budget_is_exceeded(self) -> None:
        reserved_by_root: dict[str, int] = {}
        for program in self.all_programs().values():
            reserved_by_root.setdefault(program.root_id, 0)
            for call in program.calls:
                reservations = [
                    call.holds_reservation,
                    *(one.holds_reservation for one in call.attempts),
                ]
                reserved_by_root[program.root_id] += sum(reservations)
        for program in self.all_programs().values():
            root_budget = program.purse
            if root_budget is None:
                continue
            assert root_budget.reserved_calls == reserved_by_root[program.program_id]
            assert root_budget.reserved_tokens == MAX_TOKENS * root_budget.reserved_calls
            assert root_budget.tokens + root_budget.reserved_tokens <= root_budget.budget.tokens
            assert root_budget.calls + root_budget.reserved_calls <= root_budget.budget.calls

    @invariant()
    def non_repeatable_calls_have_at_most_one_undisproved_attempt(self) -> None:
        for program in self.all_programs().values():
            for call in program.calls:
                undisproved = [
                    one for one in call.attempts if one.state is not AttemptState.DISPROVED
                ]
                assert call.spec.repeatable or len(undisproved) <= 1
                if call.is_proved_not_run():
                    assert undisproved == []

    @invariant()
    def each_program_has_its_own_answers(self) -> None:
        for program in self.all_programs().values():
            for call in program.calls:
                if call.answer is not None:
                    assert call.answer.text == f"{program.program_id} {call.spec.seq}"
            other = ORGS[1 - ORGS.index(program.org_id)]
            assert isinstance(self.reference.program(program.program_id, other), Refusal)

    @rule()
    def take_a_snapshot(self) -> None:
        self.reference.snapshot()

    def teardown(self) -> None:
        self.bound.stop()
        assert self.reference.snapshot() == self.restarted.snapshot()


JournalMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
test_the_journal_invariants_hold_under_any_commands = JournalMachine.TestCase
