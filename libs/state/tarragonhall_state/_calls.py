"""Calls of one journal shard: ordering, reservations, attempts and answers."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace

from tarragonhall_model import (
    AbandonCall,
    Answer,
    AttemptId,
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
    StartAttempt,
)

from tarragonhall_state._program import Attempt, AttemptState, Call, CallState, Program
from tarragonhall_state._programs import PROGRAM_NOT_FOUND, Programs
from tarragonhall_state._requests import CallReference

# 100,000 tokens of history are about 400 KB of text; the rest is for bodies that are not model
# text. A program without a limit would fill the memory of every control member.
MAX_HISTORY_BYTES = 2 * 1024 * 1024
# Each attempt of a repeatable call holds its own reservation until its outcome is known.
MAX_ATTEMPTS = 20
# Roughly the duration of a short call: by then the call or reservation in the way may have ended.
RETRY_AFTER_MS = 200

CallOutcome = CallOpened | CallRunning | CallClosed | Refusal


class Calls:
    """The state transitions of calls; the program records are shared with `Programs`."""

    __slots__ = ("_programs",)

    def __init__(self, programs: Programs) -> None:
        self._programs = programs

    def open(self, command: OpenCall, live_entries: Container[str], now_ms: int) -> CallOutcome:
        """Open the next call of a program, or return the state of a call that was opened before."""
        program = self._programs.find(command.program_id, command.org_id)
        if isinstance(program, Refusal):
            return program
        spec = command.spec
        existing = program.call(spec.seq)
        if existing is not None:
            if not _is_same_call(existing.spec, spec):
                return Refusal(RefusalCode.CONFLICT, f"call {spec.seq} has a different body")
            return self._reopen(program, existing, command, live_entries)
        refusal = self._refuse_open(program, spec, now_ms)
        if refusal is not None:
            return refusal
        self._programs.root_budget(program).reserve(spec.max_tokens)
        call = self._add_call(program, spec, command.entry_id, now_ms)
        program.history_bytes += len(spec.body)
        self._programs.note_activity(program, now_ms, call.deadline_at_ms)
        if command.first_attempt is None:
            return _opened(program, call)
        start = StartAttempt(command.first_attempt, command.org_id, command.entry_id)
        recorded = self.start_attempt(start, now_ms)
        started = isinstance(recorded, AttemptRecorded)
        return replace(_opened(program, call), started=started)

    def start_attempt(
        self, command: StartAttempt, now_ms: int
    ) -> AttemptRecorded | CallRunning | CallClosed | Refusal:
        """Record an attempt before its dispatch; when entries race, the first one wins."""
        attempt_id = command.attempt
        program = self._programs.find(attempt_id.program_id, command.org_id)
        if isinstance(program, Refusal):
            return program
        call = program.call(attempt_id.seq)
        if call is None:
            return Refusal(RefusalCode.NOT_FOUND, "no such call")
        if call.state is CallState.CLOSED:
            return CallClosed(call.answer, call.refusal)
        if attempt_id.number <= len(call.attempts):
            return _running(call)
        if not call.spec.repeatable and call.may_have_run():
            return _running(call)
        refusal = self._refuse_attempt(program, call, attempt_id, now_ms)
        if refusal is not None:
            return refusal
        if not call.holds_reservation:
            self._programs.root_budget(program).reserve(call.spec.max_tokens)
        call.holds_reservation = False
        call.attempts.append(Attempt(attempt_id))
        call.entry_id = command.entry_id
        self._programs.note_activity(program, now_ms)
        return AttemptRecorded(attempt_id)

    def disprove(self, command: DisproveAttempt) -> CallOpened | CallRunning | CallClosed | Refusal:
        """Record the proof that an attempt never started and never will."""
        found = self._find_attempt(command.attempt)
        if isinstance(found, Refusal):
            return found
        program, call, attempt = found
        if attempt.state is AttemptState.STARTED:
            self._disprove(program, call, attempt)
        if not program.is_open:
            self._programs.close_unstarted_call(program)
        if call.state is CallState.ABANDONED:
            return Refusal(RefusalCode.NOT_FOUND, "the call was abandoned")
        return _status(program, call)

    def close(self, command: CloseCall, now_ms: int) -> CallClosed | Refusal:
        """Record an answer or a final refusal. The first answer wins."""
        if (command.answer is None) == (command.refusal is None):
            return Refusal(RefusalCode.BAD_INPUT, "expected either an answer or a refusal")
        if command.attempt.number == 0:
            return self._close_unattempted(command, now_ms)
        found = self._find_attempt(command.attempt)
        if isinstance(found, Refusal):
            return found
        program, call, attempt = found
        if command.answer is not None:
            self._record_answer(program, call, attempt, command.answer)
        else:
            self._record_refusal(program, call, attempt, command.refusal)
        if call.state is not CallState.CLOSED:
            return Refusal(RefusalCode.CONFLICT, "this attempt was proved not to have run")
        self._release_call_reservation(program, call)
        self._programs.note_activity(program, now_ms)
        return CallClosed(call.answer, call.refusal)

    def abandon(
        self, command: AbandonCall, live_entries: Container[str], now_ms: int
    ) -> CallAbandoned | CallRunning | CallClosed | Refusal:
        """Abandon an open call that cannot have run, so that its number can be reused."""
        program = self._programs.find(command.program_id, command.org_id)
        if isinstance(program, Refusal):
            return program
        call = program.slot(command.seq)
        if call is None:
            return Refusal(RefusalCode.NOT_FOUND, "no such call")
        if call.state is CallState.ABANDONED:
            return CallAbandoned()
        if call.state is CallState.CLOSED:
            return CallClosed(call.answer, call.refusal)
        if call.may_have_run():
            return _running(call)
        if call.entry_id != command.entry_id and call.entry_id in live_entries:
            return CallRunning(call.entry_id)
        self._release_call_reservation(program, call)
        program.history_bytes -= len(call.spec.body)
        # The attempts stay recorded: sidecars hold tombstones for their numbers, which must not be
        # reused.
        call.state = CallState.ABANDONED
        self._programs.note_activity(program, now_ms)
        return CallAbandoned()

    def status(
        self, program_id: str, seq: int, org_id: str, live_entries: Container[str]
    ) -> CallOutcome:
        """Return the state of a call without changing it."""
        program = self._programs.find(program_id, org_id)
        if isinstance(program, Refusal):
            return program
        call = program.call(seq)
        if call is None:
            return Refusal(RefusalCode.NOT_FOUND, "no such call")
        known = _status(program, call)
        if isinstance(known, CallOpened) and call.entry_id in live_entries:
            return CallRunning(call.entry_id)
        return known

    def repeat_result(self, program: Program, reference: CallReference) -> CallOutcome:
        """Return the first result again for a resend, or the state that the call has reached since.

        The reply to an open may be lost after it recorded an attempt. An entry that received
        `CallRunning` for its own attempt would wait for an attempt that nobody has dispatched.
        """
        call = program.call(reference.seq)
        if call is None:
            return Refusal(RefusalCode.NOT_FOUND, "no such call")
        if call.state is CallState.OPEN and len(call.attempts) == reference.attempts:
            return replace(_opened(program, call), started=reference.started)
        return _status(program, call)

    def _reopen(
        self, program: Program, call: Call, command: OpenCall, live_entries: Container[str]
    ) -> CallOutcome:
        """Handle a resend. A call whose entry is gone is reassigned to the requesting entry.

        So is a repeatable call whose attempt the requesting entry reports lost: its outcome may
        never be known, and the call would stay open until the program expires.
        """
        known = _status(program, call)
        if isinstance(known, CallRunning) and _is_lost_attempt(call, command, known):
            known = _opened(program, call)
        if not isinstance(known, CallOpened):
            return known
        owner_is_live = call.entry_id != command.entry_id and call.entry_id in live_entries
        if owner_is_live and not command.take_over:
            return CallRunning(call.entry_id)
        if not program.is_open:
            return Refusal(RefusalCode.PROGRAM_ENDED, "the program has ended")
        call.entry_id = command.entry_id
        return known

    def _refuse_open(self, program: Program, spec: CallSpec, now_ms: int) -> Refusal | None:
        if not program.is_open:
            return Refusal(RefusalCode.PROGRAM_ENDED, "the program has ended")
        if spec.seq < 1 or spec.max_tokens < 0 or spec.timeout_ms < 1:
            return Refusal(RefusalCode.BAD_INPUT, "seq, max_tokens or timeout_ms is too small")
        if spec.kind is CallKind.MODEL and spec.max_tokens == 0:
            return Refusal(RefusalCode.BAD_INPUT, "a model call needs max_tokens to be budgeted")
        if spec.seq > program.next_seq() or not _is_previous_closed(program, spec.seq):
            message = f"call {spec.seq - 1} has not ended yet"
            return Refusal(RefusalCode.CONFLICT, message, retry_after_ms=RETRY_AFTER_MS)
        if self._programs.is_out_of_time(program, now_ms):
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, "the time budget is exhausted")
        if program.history_bytes + len(spec.body) > MAX_HISTORY_BYTES:
            message = f"the history would be longer than {MAX_HISTORY_BYTES} bytes"
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, message)
        return self._refuse_reservation(program, spec)

    def _refuse_reservation(self, program: Program, spec: CallSpec) -> Refusal | None:
        root_budget = self._programs.root_budget(program)
        if root_budget.fits(spec.max_tokens):
            return None
        if root_budget.may_fit_later(spec.max_tokens):
            message = "the rest of the budget is reserved by other calls"
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, message, retry_after_ms=RETRY_AFTER_MS)
        return Refusal(RefusalCode.BUDGET_EXHAUSTED, "the budget does not allow this call")

    def _refuse_attempt(
        self, program: Program, call: Call, attempt_id: AttemptId, now_ms: int
    ) -> Refusal | None:
        if not program.is_open:
            return Refusal(RefusalCode.PROGRAM_ENDED, "the program has ended")
        if attempt_id.number != len(call.attempts) + 1:
            message = f"the next attempt is number {len(call.attempts) + 1}"
            return Refusal(RefusalCode.CONFLICT, message)
        if len(call.attempts) >= MAX_ATTEMPTS:
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, f"more than {MAX_ATTEMPTS} attempts")
        if self._programs.is_out_of_time(program, now_ms):
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, "the time budget is exhausted")
        if call.holds_reservation:
            return None
        return self._refuse_reservation(program, call.spec)

    def _add_call(self, program: Program, spec: CallSpec, entry_id: str, now_ms: int) -> Call:
        abandoned = program.slot(spec.seq)
        if abandoned is None:
            call = Call(spec, entry_id, now_ms)
            program.calls.append(call)
            return call
        call = Call(spec, entry_id, now_ms, attempts=abandoned.attempts)
        program.calls[spec.seq - 1] = call
        return call

    def _find_attempt(self, attempt_id: AttemptId) -> tuple[Program, Call, Attempt] | Refusal:
        program = self._programs.by_id.get(attempt_id.program_id)
        if program is None:
            return PROGRAM_NOT_FOUND
        call = program.slot(attempt_id.seq)
        if call is None or not 1 <= attempt_id.number <= len(call.attempts):
            return Refusal(RefusalCode.NOT_FOUND, "no such attempt")
        attempt = call.attempts[attempt_id.number - 1]
        if attempt.attempt_id != attempt_id:
            return Refusal(RefusalCode.CONFLICT, "this attempt ran on another backend server")
        return program, call, attempt

    def _disprove(self, program: Program, call: Call, attempt: Attempt) -> None:
        attempt.state = AttemptState.DISPROVED
        if not attempt.holds_reservation:
            return
        attempt.holds_reservation = False
        if call.state is CallState.OPEN and not call.holds_reservation:
            call.holds_reservation = True
            return
        self._programs.root_budget(program).release(call.spec.max_tokens)

    def _record_answer(
        self, program: Program, call: Call, attempt: Attempt, answer: Answer
    ) -> None:
        if attempt.state is AttemptState.DISPROVED:
            # The attempt is proved not to have run, so the answer belongs to something else.
            return
        attempt.state = AttemptState.ENDED
        self._settle(program, call, attempt, answer.usage.generated)
        if call.answer is not None or call.is_proved_not_run():
            return
        call.state = CallState.CLOSED
        call.answer = answer
        call.refusal = None
        program.history_bytes += len(answer.text)

    def _record_refusal(
        self, program: Program, call: Call, attempt: Attempt, refusal: Refusal
    ) -> None:
        if attempt.state is AttemptState.STARTED and refusal.execution is Execution.NOT_RUN:
            self._disprove(program, call, attempt)
        if attempt.state is AttemptState.STARTED and refusal.execution is Execution.COMPLETED:
            # It ran, but its token usage is unknown: charge the whole reservation.
            attempt.state = AttemptState.ENDED
            self._settle(program, call, attempt, call.spec.max_tokens)
        if call.state is not CallState.OPEN:
            return
        if refusal.execution is Execution.NOT_RUN and call.may_have_run():
            # NOT_RUN must be certain for the whole call, and another attempt may have run.
            refusal = replace(refusal, execution=Execution.UNKNOWN)
        call.state = CallState.CLOSED
        call.refusal = refusal

    def _close_unattempted(self, command: CloseCall, now_ms: int) -> CallClosed | Refusal:
        program = self._programs.by_id.get(command.attempt.program_id)
        call = program.call(command.attempt.seq) if program is not None else None
        if call is None:
            return Refusal(RefusalCode.NOT_FOUND, "no such call")
        if call.state is CallState.CLOSED:
            return CallClosed(call.answer, call.refusal)
        if command.refusal is None or call.may_have_run():
            return Refusal(RefusalCode.CONFLICT, "an attempt of this call was recorded")
        call.state = CallState.CLOSED
        call.refusal = command.refusal
        self._release_call_reservation(program, call)
        self._programs.note_activity(program, now_ms)
        return CallClosed(None, call.refusal)

    def _settle(self, program: Program, call: Call, attempt: Attempt, used: int) -> None:
        if not attempt.holds_reservation:
            return
        attempt.holds_reservation = False
        self._programs.root_budget(program).settle(call.spec.max_tokens, used)

    def _release_call_reservation(self, program: Program, call: Call) -> None:
        if not call.holds_reservation:
            return
        call.holds_reservation = False
        self._programs.root_budget(program).release(call.spec.max_tokens)


def _is_same_call(one: CallSpec, other: CallSpec) -> bool:
    """Return whether two specs request the same work; timeout and streaming may differ."""
    return replace(one, timeout_ms=0, stream=False) == replace(other, timeout_ms=0, stream=False)


def _is_lost_attempt(call: Call, command: OpenCall, running: CallRunning) -> bool:
    """Return whether the live attempt of a repeatable call is the one reported lost."""
    lost = command.lost_attempt
    return call.spec.repeatable and lost is not None and lost == running.attempt


def _is_previous_closed(program: Program, seq: int) -> bool:
    previous = program.slot(seq - 1)
    return previous is None or previous.state is CallState.CLOSED


def _opened(program: Program, call: Call) -> CallOpened:
    return CallOpened(
        attempts=len(call.attempts),
        history=program.history(call.spec.seq),
        prefix_server=program.prefix_server(call.spec.seq),
        deadline_at_ms=call.deadline_at_ms,
    )


def _running(call: Call) -> CallRunning:
    live = call.live_attempt()
    return CallRunning(call.entry_id, live.attempt_id if live is not None else None)


def _status(program: Program, call: Call) -> CallOpened | CallRunning | CallClosed:
    if call.state is CallState.CLOSED:
        return CallClosed(call.answer, call.refusal)
    if call.live_attempt() is not None:
        return _running(call)
    return _opened(program, call)
