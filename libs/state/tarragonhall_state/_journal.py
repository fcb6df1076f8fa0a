"""The program journal: one shard of programs, their calls and the quarantine of crashing requests.

A program lives in the shard of its root, since sub-agents draw on the root's budget. Today there is
one shard; before there are more, the ids of sub-agents must be drawn until `shard_of` puts them
into the shard of their root.
"""

from __future__ import annotations

from collections.abc import Container

from tarragonhall_model import (
    AbandonCall,
    AttemptId,
    CallSummary,
    CloseCall,
    DisproveAttempt,
    EndProgram,
    Execution,
    ExpirePrograms,
    OpenCall,
    OpenProgram,
    ProgramInfo,
    ProgramReport,
    ProgramStatus,
    Quarantined,
    Refusal,
    RefusalCode,
    ReportCrash,
    StartAttempt,
    fingerprint,
    record,
)

from tarragonhall_state._calls import CallOutcome, Calls
from tarragonhall_state._commands import CancelProgram
from tarragonhall_state._program import CallState
from tarragonhall_state._programs import NOT_FOUND, Programs, ProgramsSnapshot
from tarragonhall_state._quarantine import HELD_MS, Quarantine
from tarragonhall_state._requests import CallReference

JOURNAL_SHARDS = 1
# Ten minutes: as long as an innocent request that was in a crowd is held.
QUARANTINED = Refusal(
    RefusalCode.QUARANTINED,
    "the request crashed the backend servers that ran it",
    retry_after_ms=HELD_MS,
)


@record
class JournalSnapshot:
    """The whole state of one shard."""

    programs: ProgramsSnapshot
    quarantine: Quarantine


class Journal:
    """One shard of the program journal."""

    __slots__ = ("_calls", "_programs", "_quarantine")

    def __init__(self) -> None:
        self._programs = Programs()
        self._calls = Calls(self._programs)
        self._quarantine = Quarantine()

    def apply(self, body: object, living_entries: Container[str], now_ms: int) -> object:
        """Carry out a command of the journal; return None for any other."""
        result = self._carry_out(body, living_entries, now_ms)
        self._programs.mark_changed(program_of(body))
        return result

    def _carry_out(self, body: object, living_entries: Container[str], now_ms: int) -> object:
        match body:
            case OpenProgram():
                return self._programs.open(body, now_ms)
            case OpenCall():
                return self._open_call(body, living_entries, now_ms)
            case StartAttempt():
                return self._calls.start_attempt(body, now_ms)
            case DisproveAttempt():
                return self._calls.disprove(body)
            case CloseCall():
                return self._close(body, now_ms)
            case AbandonCall():
                return self._calls.abandon(body, living_entries, now_ms)
            case EndProgram():
                return self._programs.end(body, now_ms)
            case CancelProgram():
                return self._cancel(body, now_ms)
            case ExpirePrograms():
                return self._programs.expire(now_ms)
            case ReportCrash():
                return self._quarantine.report(body, now_ms)
        return None

    def call(
        self, program_id: str, seq: int, org_id: str, living_entries: Container[str]
    ) -> CallOutcome:
        """Return what is known of a call."""
        return self._calls.status(program_id, seq, org_id, living_entries)

    def execution(self, program_id: str, seq: int) -> Execution:
        """Return `NOT_RUN` where it is certain, else `UNKNOWN`; nobody's key is needed for it."""
        program = self._programs.by_id.get(program_id)
        if program is None:
            # It may have been dropped some time after its end, and its calls may have run.
            return Execution.UNKNOWN
        call = program.call(seq)
        if call is None or (call.state is CallState.CLOSED and call.has_run_nowhere()):
            return Execution.NOT_RUN
        # A call that waits at another entry has not run, but may be started at any moment.
        return Execution.UNKNOWN

    def attempts_under(self, program_id: str) -> list[AttemptId]:
        """Return the newest attempt of each call of a program and of all its sub-agents."""
        found = []
        pending = [program_id]
        while pending:
            program = self._programs.by_id.get(pending.pop())
            if program is None:
                continue
            pending.extend(program.children)
            found.extend(call.attempts[-1].attempt_id for call in program.calls if call.attempts)
        return found

    def recall(self, reference: CallReference) -> CallOutcome:
        """Return what became of a call, to one whose request opened or closed it before."""
        program = self._programs.by_id.get(reference.program_id)
        if program is None:
            return NOT_FOUND
        return self._calls.recall(program, reference)

    def program(self, program_id: str, org_id: str | None) -> ProgramReport | Refusal:
        """Return a program and its closed calls; operators may leave the organisation out."""
        program = self._programs.by_id.get(program_id)
        if program is None or org_id not in (None, program.org_id):
            return NOT_FOUND
        calls = []
        for call in program.calls:
            if call.state is not CallState.CLOSED:
                continue
            spec = call.spec
            calls.append(
                CallSummary(spec.seq, spec.kind, spec.target, spec.body, call.answer, call.refusal)
            )
        return ProgramReport(self._programs.info(program), calls)

    def programs(
        self, org_id: str | None, status: ProgramStatus | None, limit: int
    ) -> list[ProgramInfo]:
        """Return the programs opened last, newest first."""
        found: list[ProgramInfo] = []
        for program in reversed(self._programs.by_id.values()):
            if len(found) == limit:
                break
            if org_id not in (None, program.org_id) or status not in (None, program.status):
                continue
            found.append(self._programs.info(program))
        return found

    def living(self, program_ids: list[str]) -> list[str]:
        """Return those of the programs that are open."""
        by_id = self._programs.by_id
        return [one for one in program_ids if one in by_id and by_id[one].is_open]

    def quarantine(self, request_fingerprint: str, now_ms: int) -> Quarantined:
        """Return whether a request is quarantined."""
        return self._quarantine.status(request_fingerprint, now_ms)

    def next_due_ms(self) -> int | None:
        """Return when `ExpirePrograms` may next have something to do."""
        return self._programs.next_due_ms()

    def count(self) -> int:
        """Return how many programs are kept."""
        return len(self._programs.by_id)

    def snapshot(self) -> JournalSnapshot:
        """Return the whole state."""
        return JournalSnapshot(self._programs.snapshot(), self._quarantine)

    def restore(self, snapshot: JournalSnapshot) -> None:
        """Replace the whole state."""
        self._programs.restore(snapshot.programs)
        self._quarantine = snapshot.quarantine

    def _open_call(
        self, command: OpenCall, living_entries: Container[str], now_ms: int
    ) -> CallOutcome:
        """Open a call, unless it is new and its request is quarantined."""
        if not self._quarantine.suspect_by_fingerprint:
            return self._calls.open(command, living_entries, now_ms)
        spec = command.spec
        mark = fingerprint(command.org_id, spec.target, spec.body)
        known = self._calls.status(command.program_id, spec.seq, command.org_id, living_entries)
        is_new = isinstance(known, Refusal)
        if is_new and self._quarantine.status(mark, now_ms).quarantined:
            return QUARANTINED
        return self._calls.open(command, living_entries, now_ms)

    def _close(self, command: CloseCall, now_ms: int) -> object:
        result = self._calls.close(command, now_ms)
        if command.answer is None or not self._quarantine.suspect_by_fingerprint:
            return result
        program = self._programs.by_id.get(command.attempt.program_id)
        call = program.call(command.attempt.seq) if program is not None else None
        if call is not None and call.answer == command.answer:
            spec = call.spec
            self._quarantine.clear(fingerprint(program.org_id, spec.target, spec.body))
        return result

    def _cancel(self, command: CancelProgram, now_ms: int) -> ProgramInfo | Refusal:
        program = self._programs.by_id.get(command.program_id)
        if program is None:
            return NOT_FOUND
        return self._programs.end(
            EndProgram(command.program_id, program.org_id, command.status), now_ms
        )


def program_of(body: object) -> str:
    """Return the program that a command names, or nothing."""
    attempt = getattr(body, "attempt", None)
    if attempt is not None:
        return attempt.program_id
    return getattr(body, "program_id", "")
