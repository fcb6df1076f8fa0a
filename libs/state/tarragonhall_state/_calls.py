"""The calls of one journal shard: order, reservations, attempts and answers."""

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
from tarragonhall_state._programs import NOT_FOUND, Programs
from tarragonhall_state._requests import CallReference

# 100,000 tokens of history are about 400 KB of text; this leaves room for bodies that are no text
# of the model. A program without a bound would fill the memory of every control member.
MAX_HISTORY_BYTES = 2 * 1024 * 1024
# Each attempt of a call that may be repeated holds a reservation of its own until its end is known.
MAX_ATTEMPTS = 20
# An early call is worth another try about when a short call before it could have ended.
EARLY_RETRY_MS = 200

CallOutcome = CallOpened | CallRunning | CallClosed | Refusal


class Calls:
    """The transitions of calls; the programs themselves are shared with `Programs`."""

    __slots__ = ("_programs",)

    def __init__(self, programs: Programs) -> None:
        self._programs = programs

    def open(self, command: OpenCall, living_entries: Container[str], now_ms: int) -> CallOutcome:
        """Open a call in order, or tell what became of the same call."""
        program = self._programs.find(command.program_id, command.org_id)
        if isinstance(program, Refusal):
            return program
        spec = command.spec
        existing = program.call(spec.seq)
        if existing is not None:
            if not _is_same_call(existing.spec, spec):
                return Refusal(RefusalCode.CONFLICT, f"call {spec.seq} had another body")
            return self._open_again(program, existing, command, living_entries)
        refusal = self._refuse_open(program, spec, now_ms)
        if refusal is not None:
            return refusal
        self._programs.purse(program).reserve(spec.max_tokens)
        call = self._put(program, spec, command.entry_id, now_ms)
        program.history_bytes += len(spec.body)
        self._programs.touch(program, now_ms, call.deadline_at_ms)
        if command.first_attempt is None:
            return _opened(program, call)
        start = StartAttempt(command.first_attempt, command.org_id, command.entry_id)
        recorded = self.start_attempt(start, now_ms)
        started = isinstance(recorded, AttemptRecorded)
        return replace(_opened(program, call), started=started)

    def start_attempt(
        self, command: StartAttempt, now_ms: int
    ) -> AttemptRecorded | CallRunning | CallClosed | Refusal:
        """Record an attempt before its dispatch; of entries that race, the first one wins."""
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
            self._programs.purse(program).reserve(call.spec.max_tokens)
        call.holds_reservation = False
        call.attempts.append(Attempt(attempt_id))
        call.entry_id = command.entry_id
        self._programs.touch(program, now_ms)
        return AttemptRecorded(attempt_id)

    def disprove(self, command: DisproveAttempt) -> CallOpened | CallRunning | CallClosed | Refusal:
        """Take a proof that an attempt never started and never will."""
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
            self._take_answer(program, call, attempt, command.answer)
        else:
            self._take_refusal(program, call, attempt, command.refusal)
        if call.state is not CallState.CLOSED:
            return Refusal(RefusalCode.CONFLICT, "this attempt was proved not to have run")
        self._release_waiting(program, call)
        self._programs.touch(program, now_ms)
        return CallClosed(call.answer, call.refusal)

    def abandon(
        self, command: AbandonCall, living_entries: Container[str], now_ms: int
    ) -> CallAbandoned | CallRunning | CallClosed | Refusal:
        """Give up an open call that cannot have run, so that its number can be used again."""
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
        if call.entry_id != command.entry_id and call.entry_id in living_entries:
            return CallRunning(call.entry_id)
        self._release_waiting(program, call)
        program.history_bytes -= len(call.spec.body)
        # The recorded attempts stay: their numbers have tombstones and must not be used again.
        call.state = CallState.ABANDONED
        self._programs.touch(program, now_ms)
        return CallAbandoned()

    def status(
        self, program_id: str, seq: int, org_id: str, living_entries: Container[str]
    ) -> CallOutcome:
        """Return what is known of a call, without changing it."""
        program = self._programs.find(program_id, org_id)
        if isinstance(program, Refusal):
            return program
        call = program.call(seq)
        if call is None:
            return Refusal(RefusalCode.NOT_FOUND, "no such call")
        known = _status(program, call)
        if isinstance(known, CallOpened) and call.entry_id in living_entries:
            return CallRunning(call.entry_id)
        return known

    def recall(self, program: Program, reference: CallReference) -> CallOutcome:
        """Return the first result again to a resend, or what the call has become since.

        The answer to an open may be lost after it recorded an attempt. Told that its own attempt is
        running somewhere, the entry would wait for an end that nobody is working on.
        """
        call = program.call(reference.seq)
        if call is None:
            return Refusal(RefusalCode.NOT_FOUND, "no such call")
        if call.state is CallState.OPEN and len(call.attempts) == reference.attempts:
            return replace(_opened(program, call), started=reference.started)
        return _status(program, call)

    def _open_again(
        self, program: Program, call: Call, command: OpenCall, living_entries: Container[str]
    ) -> CallOutcome:
        """Answer a resend. A call whose entry is gone passes to the entry that asks.

        So does one that may be repeated and whose attempt the asking entry found lost: its end may
        never be known, and the call would stay open until the program expires.
        """
        known = _status(program, call)
        if isinstance(known, CallRunning) and _is_lost(call, command, known):
            known = _opened(program, call)
        if not isinstance(known, CallOpened):
            return known
        held = call.entry_id != command.entry_id and call.entry_id in living_entries
        if held and not command.take_over:
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
            return Refusal(RefusalCode.CONFLICT, message, retry_after_ms=EARLY_RETRY_MS)
        if self._programs.is_out_of_time(program, now_ms):
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, "the budget of time is used up")
        if program.history_bytes + len(spec.body) > MAX_HISTORY_BYTES:
            message = f"the history would be longer than {MAX_HISTORY_BYTES} bytes"
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, message)
        return self._refuse_reservation(program, spec)

    def _refuse_reservation(self, program: Program, spec: CallSpec) -> Refusal | None:
        purse = self._programs.purse(program)
        if purse.fits(spec.max_tokens):
            return None
        if purse.may_fit_later(spec.max_tokens):
            message = "the rest of the budget is reserved by other calls"
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, message, retry_after_ms=EARLY_RETRY_MS)
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
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, "the budget of time is used up")
        if call.holds_reservation:
            return None
        return self._refuse_reservation(program, call.spec)

    def _put(self, program: Program, spec: CallSpec, entry_id: str, now_ms: int) -> Call:
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
            return NOT_FOUND
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
        self._programs.purse(program).release(call.spec.max_tokens)

    def _take_answer(self, program: Program, call: Call, attempt: Attempt, answer: Answer) -> None:
        if attempt.state is AttemptState.DISPROVED:
            # It was proved that this never ran: the answer belongs to something else.
            return
        attempt.state = AttemptState.ENDED
        self._settle(program, call, attempt, answer.usage.generated)
        if call.answer is not None or call.has_run_nowhere():
            return
        call.state = CallState.CLOSED
        call.answer = answer
        call.refusal = None
        program.history_bytes += len(answer.text)

    def _take_refusal(
        self, program: Program, call: Call, attempt: Attempt, refusal: Refusal
    ) -> None:
        if attempt.state is AttemptState.STARTED and refusal.execution is Execution.NOT_RUN:
            self._disprove(program, call, attempt)
        if attempt.state is AttemptState.STARTED and refusal.execution is Execution.COMPLETED:
            # It ran, and nobody knows how much of its reservation it used: count all of it.
            attempt.state = AttemptState.ENDED
            self._settle(program, call, attempt, call.spec.max_tokens)
        if call.state is not CallState.OPEN:
            return
        if refusal.execution is Execution.NOT_RUN and call.may_have_run():
            # Another attempt may have run; "not run" must only be said where it is true.
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
        self._release_waiting(program, call)
        self._programs.touch(program, now_ms)
        return CallClosed(None, call.refusal)

    def _settle(self, program: Program, call: Call, attempt: Attempt, used: int) -> None:
        if not attempt.holds_reservation:
            return
        attempt.holds_reservation = False
        self._programs.purse(program).settle(call.spec.max_tokens, used)

    def _release_waiting(self, program: Program, call: Call) -> None:
        if not call.holds_reservation:
            return
        call.holds_reservation = False
        self._programs.purse(program).release(call.spec.max_tokens)


def _is_same_call(one: CallSpec, other: CallSpec) -> bool:
    """Return whether a resend asks for the same work; how long to wait and how to hear may vary."""
    return replace(one, timeout_ms=0, stream=False) == replace(other, timeout_ms=0, stream=False)


def _is_lost(call: Call, command: OpenCall, running: CallRunning) -> bool:
    """Return whether the live attempt of a repeatable call is the one that was found lost."""
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
