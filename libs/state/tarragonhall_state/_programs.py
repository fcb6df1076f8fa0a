"""Programs of one journal shard: opened, looked up, ended, expired and dropped after retention."""

from __future__ import annotations

import heapq

from tarragonhall_model import (
    EndProgram,
    Execution,
    OpenProgram,
    ProgramInfo,
    ProgramsExpired,
    ProgramStatus,
    Refusal,
    RefusalCode,
    decode,
    encode,
    record,
)

from tarragonhall_state._program import CallState, Program, Purse

# An ended program still handles resends and late answers for 15 minutes, longer than the default
# timeout of any call; then its history is dropped.
ENDED_PROGRAM_RETENTION_MS = 900 * 1_000
# 110,000 open programs are planned. Beyond this limit a member would run out of memory and fail
# every program instead of refusing one.
MAX_PROGRAMS = 200_000
# The tree of sub-agents is traversed whenever a program ends or is active.
MAX_CHILDREN = 1_000

# Taking a snapshot blocks the event loop. Encoding a few thousand programs there would take longer
# than the leader's lease, so that every snapshot would cause an election. So all but this many are
# encoded as they change; encoding the rest takes about 0.1 s.
MAX_UNENCODED = 500

PROGRAM_NOT_FOUND = Refusal(RefusalCode.NOT_FOUND, "no such program")


@record
class ProgramsSnapshot:
    """All programs of a shard, each encoded separately."""

    programs: list[bytes]


class Programs:
    """Programs by id, with the time at which each next expires or is dropped."""

    __slots__ = (
        "_due_heap",
        "_due_ms_by_id",
        "_encoded_by_id",
        "_unencoded",
        "by_id",
        "id_by_idempotency_key",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, Program] = {}
        self.id_by_idempotency_key: dict[tuple[str, str], str] = {}
        self._due_heap: list[tuple[int, str]] = []
        self._due_ms_by_id: dict[str, int] = {}
        # Encoded programs that have not changed since; a snapshot copies them.
        self._encoded_by_id: dict[str, bytes] = {}
        # All other programs, least recently changed first; a dict as an ordered set.
        self._unencoded: dict[str, None] = {}

    def open(self, command: OpenProgram, now_ms: int) -> ProgramInfo | Refusal:
        """Open a program, or return the one that an earlier send of the request opened."""
        earlier = self._opened_earlier(command)
        if earlier is not None:
            return earlier
        parent = None
        if command.parent is not None:
            parent = self.find(command.parent, command.org_id)
            if isinstance(parent, Refusal):
                return parent
        refusal = self._refuse_open(command, parent, now_ms)
        if refusal is not None:
            return refusal
        program = _new_program(command, parent, now_ms)
        if parent is not None:
            parent.children.append(program.program_id)
            self.note_activity(parent, now_ms)
        self._add(program)
        return self.info(program)

    def find(self, program_id: str, org_id: str) -> Program | Refusal:
        """Return a program of the organisation.

        The refusal for another organisation's program is the same as for a missing one, so that
        nobody can probe for programs of others.
        """
        program = self.by_id.get(program_id)
        if program is None or program.org_id != org_id:
            return PROGRAM_NOT_FOUND
        return program

    def info(self, program: Program) -> ProgramInfo:
        """Return a program as its owner sees it."""
        return program.info(self.root_budget(program))

    def root_budget(self, program: Program) -> Purse:
        """Return the budget of a program's root, shared by all programs under it."""
        return self.by_id[program.root_id].purse

    def end(self, command: EndProgram, now_ms: int) -> ProgramInfo | Refusal:
        """End a program and all its sub-agents; an ended one keeps its status and end time."""
        program = self.find(command.program_id, command.org_id)
        if isinstance(program, Refusal):
            return program
        if command.status is ProgramStatus.OPEN:
            return Refusal(RefusalCode.BAD_INPUT, "a program cannot end with the status open")
        self._end_tree(program, command.status, now_ms)
        return self.info(program)

    def expire(self, now_ms: int) -> ProgramsExpired:
        """End programs that were idle or open for too long; drop those past their retention."""
        expired = []
        while self._due_heap and self._due_heap[0][0] <= now_ms:
            due_ms, program_id = heapq.heappop(self._due_heap)
            program = self.by_id.get(program_id)
            if program is None or self._due_ms_by_id.get(program_id) != due_ms:
                continue
            del self._due_ms_by_id[program_id]
            current_due_ms = self._due_ms(program)
            if current_due_ms > now_ms:
                self._schedule(program)
                continue
            if not program.is_open:
                self._drop(program)
                continue
            expired.extend(self._end_tree(program, ProgramStatus.EXPIRED, now_ms))
        # Sorted because the heap order differs on a member that restored a snapshot.
        return ProgramsExpired(sorted(expired))

    def next_due_ms(self) -> int | None:
        """Return the log time at which `expire` may next have work, or None."""
        return self._due_heap[0][0] if self._due_heap else None

    def note_activity(self, program: Program, now_ms: int, busy_until_ms: int = 0) -> None:
        """Record activity of a program and of all its ancestors, which wait for it.

        The ancestors do not count as idle before `busy_until_ms`, the deadline of the sub-agent's
        call.
        """
        program.active_until_ms = max(program.active_until_ms, now_ms)
        self._schedule(program)
        parent_id = program.parent
        while parent_id is not None:
            parent = self.by_id[parent_id]
            parent.active_until_ms = max(parent.active_until_ms, now_ms, busy_until_ms)
            self._schedule(parent)
            parent_id = parent.parent

    def mark_changed(self, program_id: str) -> None:
        """Mark a program and its ancestors, whose budget and activity depend on it, as changed."""
        current: str | None = program_id
        while current is not None:
            program = self.by_id.get(current)
            if program is None:
                break
            self._invalidate_encoding(current)
            current = program.parent
        while len(self._unencoded) > MAX_UNENCODED:
            self._encoded(self.by_id[next(iter(self._unencoded))])

    def snapshot(self) -> ProgramsSnapshot:
        """Return all programs for a snapshot."""
        return ProgramsSnapshot([self._encoded(program) for program in self.by_id.values()])

    def restore(self, snapshot: ProgramsSnapshot) -> None:
        """Replace all programs."""
        self.__init__()
        for data in snapshot.programs:
            program = decode(data)
            self._add(program)
            self._encoded_by_id[program.program_id] = data

    def _encoded(self, program: Program) -> bytes:
        data = self._encoded_by_id.get(program.program_id)
        if data is None:
            data = encode(program)
            self._encoded_by_id[program.program_id] = data
            self._unencoded.pop(program.program_id, None)
        return data

    def _invalidate_encoding(self, program_id: str) -> None:
        self._encoded_by_id.pop(program_id, None)
        # Moved to the end, so that programs that change often are not encoded over and over.
        self._unencoded.pop(program_id, None)
        self._unencoded[program_id] = None

    def _add(self, program: Program) -> None:
        self.by_id[program.program_id] = program
        if program.idempotency_key is not None:
            key = (program.org_id, program.idempotency_key)
            self.id_by_idempotency_key[key] = program.program_id
        self._schedule(program)

    def _opened_earlier(self, command: OpenProgram) -> ProgramInfo | Refusal | None:
        earlier_id = command.program_id
        if command.idempotency_key is not None:
            key = (command.org_id, command.idempotency_key)
            earlier_id = self.id_by_idempotency_key.get(key, earlier_id)
        program = self.by_id.get(earlier_id)
        if program is None:
            return None
        if not self._is_same_request(program, command):
            return Refusal(RefusalCode.CONFLICT, "this key or id opened a different program")
        return self.info(program)

    def _is_same_request(self, program: Program, command: OpenProgram) -> bool:
        budget_matters = command.parent is None
        return (
            program.org_id == command.org_id
            and program.parent == command.parent
            and program.idle_seconds == command.idle_seconds
            and program.labels == command.labels
            and program.idempotency_key == command.idempotency_key
            and (not budget_matters or self.root_budget(program).budget == command.budget)
        )

    def _refuse_open(
        self, command: OpenProgram, parent: Program | None, now_ms: int
    ) -> Refusal | None:
        if len(self.by_id) >= MAX_PROGRAMS:
            return Refusal(RefusalCode.OVERLOADED, "too many programs", retry_after_ms=10_000)
        if parent is None:
            return None
        if not parent.is_open:
            return Refusal(RefusalCode.PROGRAM_ENDED, "the parent has ended")
        if len(parent.children) >= MAX_CHILDREN:
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, f"more than {MAX_CHILDREN} sub-agents")
        if self.is_out_of_time(parent, now_ms):
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, "the time budget is exhausted")
        return None

    def is_out_of_time(self, program: Program, now_ms: int) -> bool:
        """Return whether the root has been open for longer than its time budget."""
        return now_ms >= self._time_budget_ends_ms(program)

    def _time_budget_ends_ms(self, program: Program) -> int:
        root = self.by_id[program.root_id]
        return root.opened_at_ms + root.purse.budget.seconds * 1_000

    def _end_tree(self, program: Program, status: ProgramStatus, now_ms: int) -> list[str]:
        ended = []
        pending = [program.program_id]
        while pending:
            current = self.by_id.get(pending.pop())
            if current is None:
                continue
            pending.extend(current.children)
            if not current.is_open:
                continue
            self._invalidate_encoding(current.program_id)
            current.status = status
            current.ended_at_ms = now_ms
            self.close_unstarted_call(current)
            self._schedule(current)
            ended.append(current.program_id)
        return ended

    def close_unstarted_call(self, program: Program) -> None:
        """Refuse the open call of an ended program, unless an attempt of it may be running."""
        for call in program.calls[-1:]:
            if call.state is not CallState.OPEN or call.live_attempt() is not None:
                continue
            if call.holds_reservation:
                call.holds_reservation = False
                self._invalidate_encoding(program.root_id)
                self.root_budget(program).release(call.spec.max_tokens)
            execution = Execution.UNKNOWN if call.may_have_run() else Execution.NOT_RUN
            call.state = CallState.CLOSED
            call.refusal = Refusal(RefusalCode.PROGRAM_ENDED, "the program has ended", execution)

    def _drop(self, program: Program) -> None:
        """Drop a program and its sub-agents, all of which ended with it or before."""
        parent = self.by_id.get(program.parent) if program.parent else None
        if parent is not None:
            parent.children.remove(program.program_id)
            self._invalidate_encoding(parent.program_id)
        pending = [program.program_id]
        while pending:
            dropped = self.by_id.pop(pending.pop())
            pending.extend(dropped.children)
            self._due_ms_by_id.pop(dropped.program_id, None)
            self._encoded_by_id.pop(dropped.program_id, None)
            self._unencoded.pop(dropped.program_id, None)
            if dropped.idempotency_key is not None:
                key = (dropped.org_id, dropped.idempotency_key)
                self.id_by_idempotency_key.pop(key, None)

    def _due_ms(self, program: Program) -> int:
        if not program.is_open:
            return program.ended_at_ms + ENDED_PROGRAM_RETENTION_MS
        idle_ms = program.active_until_ms + program.idle_seconds * 1_000
        # A program with an open call, such as a hanging tool, is not idle before the deadline of
        # that call.
        last = program.calls[-1] if program.calls else None
        if last is not None and last.state is CallState.OPEN:
            idle_ms = max(idle_ms, last.deadline_at_ms)
        return min(idle_ms, self._time_budget_ends_ms(program))

    def _schedule(self, program: Program) -> None:
        """Queue the program for its due time, unless it is queued for an earlier one.

        A postponed due time is noticed when the queued one is reached, so a busy program takes one
        heap entry instead of one per call.
        """
        due_ms = self._due_ms(program)
        queued_ms = self._due_ms_by_id.get(program.program_id)
        if queued_ms is not None and queued_ms <= due_ms:
            return
        self._due_ms_by_id[program.program_id] = due_ms
        heapq.heappush(self._due_heap, (due_ms, program.program_id))


def _new_program(command: OpenProgram, parent: Program | None, now_ms: int) -> Program:
    return Program(
        program_id=command.program_id,
        root_id=command.program_id if parent is None else parent.root_id,
        org_id=command.org_id,
        idle_seconds=command.idle_seconds,
        opened_at_ms=now_ms,
        active_until_ms=now_ms,
        purse=Purse(command.budget) if parent is None else None,
        parent=command.parent,
        labels=command.labels,
        idempotency_key=command.idempotency_key,
    )
