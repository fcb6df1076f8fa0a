"""The program journal: one shard of programs, their calls and the quarantine of crashing requests.

A program is stored in the shard of its root, since sub-agents use the root's budget. There is one
shard; with more, ids of sub-agents must be generated until `shard_of` maps them to the shard of
their root.
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
from tarragonhall_state._programs import PROGRAM_NOT_FOUND, Programs, ProgramsSnapshot
from tarragonhall_state._quarantine import TEMPORARY_HOLD_MS, Quarantine
from tarragonhall_state._requests import CallReference

JOURNAL_SHARDS = 1
# Ten minutes: how long a request that only shared its crashes with others is held.
QUARANTINED_REFUSAL = Refusal(
    RefusalCode.QUARANTINED,
    "the request crashed the backend servers that ran it",
    retry_after_ms=TEMPORARY_HOLD_MS,
)


@record
class JournalSnapshot:
    """The whole state of one shard as stored in a snapshot."""

    programs: ProgramsSnapshot
    quarantine: Quarantine


class Journal:
    """One shard of the program journal."""

    __slots__ = ("_calls", "_programs", "_quarantine")

    def __init__(self) -> None:
        self._programs = Programs()
        self._calls = Calls(self._programs)
        self._quarantine = Quarantine()

    def apply(self, body: object, live_entries: Container[str], now_ms: int) -> object:
        """Apply a journal command; return None for any other command."""
        result = self._execute(body, live_entries, now_ms)
        self._programs.mark_changed(program_id_of(body))
        return result

    def _execute(self, body: object, live_entries: Container[str], now_ms: int) -> object:
        match body:
            case OpenProgram():
                return self._programs.open(body, now_ms)
            case OpenCall():
                return self._open_call(body, live_entries, now_ms)
            case StartAttempt():
                return self._calls.start_attempt(body, now_ms)
            case DisproveAttempt():
                return self._calls.disprove(body)
            case CloseCall():
                return self._close(body, now_ms)
            case AbandonCall():
                return self._calls.abandon(body, live_entries, now_ms)
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
        self, program_id: str, seq: int, org_id: str, live_entries: Container[str]
    ) -> CallOutcome:
        """Return the state of a call."""
        return self._calls.status(program_id, seq, org_id, live_entries)

    def execution(self, program_id: str, seq: int) -> Execution:
        """Return `NOT_RUN` if that is certain, else `UNKNOWN`; no key of the owner is needed."""
        program = self._programs.by_id.get(program_id)
        if program is None:
            # It may have ended and been dropped, and its calls may have run.
            return Execution.UNKNOWN
        call = program.call(seq)
        if call is None or (call.state is CallState.CLOSED and call.is_proved_not_run()):
            return Execution.NOT_RUN
        # A call queued at another entry has not run, but may be started at any moment.
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

    def repeat_result(self, reference: CallReference) -> CallOutcome:
        """Return the state of a call for a resend of the request that opened or closed it."""
        program = self._programs.by_id.get(reference.program_id)
        if program is None:
            return PROGRAM_NOT_FOUND
        return self._calls.repeat_result(program, reference)

    def program(self, program_id: str, org_id: str | None) -> ProgramReport | Refusal:
        """Return a program and its closed calls; operators may omit the organisation."""
        program = self._programs.by_id.get(program_id)
        if program is None or org_id not in (None, program.org_id):
            return PROGRAM_NOT_FOUND
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
        """Return the most recently opened programs, newest first."""
        found: list[ProgramInfo] = []
        for program in reversed(self._programs.by_id.values()):
            if len(found) == limit:
                break
            if org_id not in (None, program.org_id) or status not in (None, program.status):
                continue
            found.append(self._programs.info(program))
        return found

    def open_programs(self, program_ids: list[str]) -> list[str]:
        """Return the ids of the given programs that are open."""
        by_id = self._programs.by_id
        return [one for one in program_ids if one in by_id and by_id[one].is_open]

    def quarantine(self, request_fingerprint: str, now_ms: int) -> Quarantined:
        """Return whether a request is quarantined."""
        return self._quarantine.status(request_fingerprint, now_ms)

    def next_due_ms(self) -> int | None:
        """Return the log time at which `ExpirePrograms` may next have work, or None."""
        return self._programs.next_due_ms()

    def count(self) -> int:
        """Return the number of stored programs."""
        return len(self._programs.by_id)

    def snapshot(self) -> JournalSnapshot:
        """Return the whole state."""
        return JournalSnapshot(self._programs.snapshot(), self._quarantine)

    def restore(self, snapshot: JournalSnapshot) -> None:
        """Replace the whole state."""
        self._programs.restore(snapshot.programs)
        self._quarantine = snapshot.quarantine

    def _open_call(
        self, command: OpenCall, live_entries: Container[str], now_ms: int
    ) -> CallOutcome:
        """Open a call, unless it is new and its request is quarantined."""
        if not self._quarantine.suspect_by_fingerprint:
            return self._calls.open(command, live_entries, now_ms)
        spec = command.spec
        request_fingerprint = fingerprint(command.org_id, spec.target, spec.body)
        known = self._calls.status(command.program_id, spec.seq, command.org_id, live_entries)
        is_new = isinstance(known, Refusal)
        if is_new and self._quarantine.status(request_fingerprint, now_ms).quarantined:
            return QUARANTINED_REFUSAL
        return self._calls.open(command, live_entries, now_ms)

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
            return PROGRAM_NOT_FOUND
        return self._programs.end(
            EndProgram(command.program_id, program.org_id, command.status), now_ms
        )


def program_id_of(body: object) -> str:
    """Return the id of the program that a command names, or an empty string."""
    attempt = getattr(body, "attempt", None)
    if attempt is not None:
        return attempt.program_id
    return getattr(body, "program_id", "")
