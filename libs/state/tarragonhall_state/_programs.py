"""The programs of one journal shard: opened, found, ended, expired and at last dropped."""

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

# After its end a program answers resends and takes late answers for a quarter of an hour, which is
# longer than any call may be waited for by default; then its history is dropped.
KEEP_ENDED_MS = 900 * 1_000
# The plan is 110,000 programs under way; beyond this the member would run out of memory and fail
# every program instead of refusing one.
MAX_PROGRAMS = 200_000
# A tree of sub-agents is walked at each end and each touch.
MAX_CHILDREN = 1_000

# A snapshot stops the loop. Were all programs encoded in it, a few thousand would take longer than
# the leader's lease, and every snapshot would cost an election. So all but this many are kept
# encoded as they change: the rest take about 0.1 s.
MAX_UNENCODED = 500

NOT_FOUND = Refusal(RefusalCode.NOT_FOUND, "no such program")


@record
class ProgramsSnapshot:
    """All programs of a shard, each encoded by itself."""

    programs: list[bytes]


class Programs:
    """Programs by id, with the time at which each next needs attention."""

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
        # What a snapshot can take as it is: programs that have not changed since they were encoded.
        self._encoded_by_id: dict[str, bytes] = {}
        # The others, those that changed longest ago first; a map as an ordered set.
        self._unencoded: dict[str, None] = {}

    def open(self, command: OpenProgram, now_ms: int) -> ProgramInfo | Refusal:
        """Open a program, or return the one that the same request opened before."""
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
            self.touch(parent, now_ms)
        self._add(program)
        return self.info(program)

    def find(self, program_id: str, org_id: str) -> Program | Refusal:
        """Return a program of that organisation.

        One of another organisation is refused in the very words of one that does not exist, so that
        nobody can probe for the programs of others.
        """
        program = self.by_id.get(program_id)
        if program is None or program.org_id != org_id:
            return NOT_FOUND
        return program

    def info(self, program: Program) -> ProgramInfo:
        """Return a program as its owner may see it."""
        return program.info(self.purse(program))

    def purse(self, program: Program) -> Purse:
        """Return the budget that a program draws on."""
        return self.by_id[program.root_id].purse

    def end(self, command: EndProgram, now_ms: int) -> ProgramInfo | Refusal:
        """End a program and every sub-agent under it; an ended one keeps its first end."""
        program = self.find(command.program_id, command.org_id)
        if isinstance(program, Refusal):
            return program
        if command.status is ProgramStatus.OPEN:
            return Refusal(RefusalCode.BAD_INPUT, "open is not an end")
        self._end_tree(program, command.status, now_ms)
        return self.info(program)

    def expire(self, now_ms: int) -> ProgramsExpired:
        """End what was idle or open for too long, and drop what ended long ago."""
        expired = []
        while self._due_heap and self._due_heap[0][0] <= now_ms:
            due_ms, program_id = heapq.heappop(self._due_heap)
            program = self.by_id.get(program_id)
            if program is None or self._due_ms_by_id.get(program_id) != due_ms:
                continue
            del self._due_ms_by_id[program_id]
            real_due_ms = self._due_ms(program)
            if real_due_ms > now_ms:
                self._schedule(program)
                continue
            if not program.is_open:
                self._drop(program)
                continue
            expired.extend(self._end_tree(program, ProgramStatus.EXPIRED, now_ms))
        # Sorted, because the order in the heap differs on a member that restored a snapshot.
        return ProgramsExpired(sorted(expired))

    def next_due_ms(self) -> int | None:
        """Return when `expire` may next find something to do."""
        return self._due_heap[0][0] if self._due_heap else None

    def touch(self, program: Program, now_ms: int, busy_until_ms: int = 0) -> None:
        """Note activity of a program, and of all programs that wait for it as their sub-agent.

        Those are not idle until the sub-agent's call may end, `busy_until_ms`.
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
        """Note that a program, and with it the budget and activity above it, may have changed."""
        current: str | None = program_id
        while current is not None:
            program = self.by_id.get(current)
            if program is None:
                break
            self._forget_encoding(current)
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

    def _forget_encoding(self, program_id: str) -> None:
        self._encoded_by_id.pop(program_id, None)
        # Put last: what changes often is not encoded again and again.
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
        if not self._is_same(program, command):
            return Refusal(RefusalCode.CONFLICT, "this key or id opened a different program")
        return self.info(program)

    def _is_same(self, program: Program, command: OpenProgram) -> bool:
        budget_matters = command.parent is None
        return (
            program.org_id == command.org_id
            and program.parent == command.parent
            and program.idle_seconds == command.idle_seconds
            and program.labels == command.labels
            and program.idempotency_key == command.idempotency_key
            and (not budget_matters or self.purse(program).budget == command.budget)
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
            return Refusal(RefusalCode.BUDGET_EXHAUSTED, "the budget of time is used up")
        return None

    def is_out_of_time(self, program: Program, now_ms: int) -> bool:
        """Return whether the root has been open for longer than its budget of seconds."""
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
            self._forget_encoding(current.program_id)
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
                self._forget_encoding(program.root_id)
                self.purse(program).release(call.spec.max_tokens)
            execution = Execution.UNKNOWN if call.may_have_run() else Execution.NOT_RUN
            call.state = CallState.CLOSED
            call.refusal = Refusal(RefusalCode.PROGRAM_ENDED, "the program has ended", execution)

    def _drop(self, program: Program) -> None:
        """Forget a program and its sub-agents, all of which ended with it or before."""
        parent = self.by_id.get(program.parent) if program.parent else None
        if parent is not None:
            parent.children.remove(program.program_id)
            self._forget_encoding(parent.program_id)
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
            return program.ended_at_ms + KEEP_ENDED_MS
        idle_ms = program.active_until_ms + program.idle_seconds * 1_000
        # A tool that hangs is no idle program: it has until the deadline of its call.
        last = program.calls[-1] if program.calls else None
        if last is not None and last.state is CallState.OPEN:
            idle_ms = max(idle_ms, last.deadline_at_ms)
        return min(idle_ms, self._time_budget_ends_ms(program))

    def _schedule(self, program: Program) -> None:
        """Queue the program for its due time, unless it is queued for an earlier one already.

        A due time that moves away is found when the queued one comes: a busy program costs one
        entry in the heap, not one for each of its calls.
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
