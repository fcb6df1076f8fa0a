"""Which waiting call goes to which server next. No I/O: time and random are passed in."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonhall_model import CallKind, LoadReport, Refusal, RefusalCode, ServerRecord, View

from tarragonhall_entry._effects import Assigned, Call, WaitTurn

FULL_RETRY_MS = 1_000


@dataclass(slots=True)
class Waiting:
    """A call that waits for a place; `seq` is its arrival number."""

    call: Call
    wish: WaitTurn
    seq: int


@dataclass(slots=True)
class ServerState:
    """What this entry knows of one life of a backend server."""

    record: ServerRecord
    in_flight: int = 0
    report: LoadReport | None = None

    def usable(self) -> bool:
        """Return whether new work may go there."""
        if self.record.draining:
            return False
        return self.report is None or (self.report.healthy and not self.report.draining)


@dataclass(slots=True)
class Scheduler:
    """The waiting calls and the servers they may go to."""

    queue_per_organisation: int
    server_by_id: dict[str, ServerState] = field(default_factory=dict)
    waiting: list[Waiting] = field(default_factory=list)
    arrivals: int = 0

    def apply_view(self, view: View) -> None:
        """Take over the servers of a view; a new life of a server starts with nothing in flight."""
        before = self.server_by_id
        self.server_by_id = {}
        for record in view.servers:
            known = before.get(record.server_id)
            if known is None or known.record.incarnation != record.incarnation:
                self.server_by_id[record.server_id] = ServerState(record)
                continue
            known.record = record
            self.server_by_id[record.server_id] = known

    def report(self, report: LoadReport) -> None:
        """Take a load report of a server."""
        state = self.server_by_id.get(report.server_id)
        if state is not None and state.record.incarnation == report.incarnation:
            state.report = report

    def add(self, call: Call, wish: WaitTurn) -> Waiting | Refusal:
        """Put a call in the queue, or refuse it at once."""
        own = sum(1 for other in self.waiting if other.call.org_id == call.org_id)
        if own >= self.queue_per_organisation:
            return Refusal(
                RefusalCode.OVERLOADED,
                "too many calls of the organisation wait",
                retry_after_ms=FULL_RETRY_MS,
            )
        self.arrivals += 1
        waiting = Waiting(call, wish, self.arrivals)
        self.waiting.append(waiting)
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Take a call out of the queue."""
        self.waiting = [other for other in self.waiting if other is not waiting]

    def assign(self, rng: random.Random) -> list[tuple[Waiting, Assigned]]:
        """Return the calls that may go now, each with the server whose place it holds."""
        assigned = []
        for waiting in list(self.waiting):
            state = self._choose(waiting, rng)
            if state is None:
                continue
            state.in_flight += 1
            self.remove(waiting)
            assigned.append((waiting, Assigned(state.record)))
        return assigned

    def free(self, record: ServerRecord) -> None:
        """Give a place on a server back."""
        state = self.server_by_id.get(record.server_id)
        if state is not None and state.record.incarnation == record.incarnation:
            state.in_flight = max(0, state.in_flight - 1)

    def serves(self, kind: CallKind, target: str) -> bool:
        """Return whether any server in the view serves the target."""
        return any(
            state.record.kind.value == kind.value and target in state.record.serves
            for state in self.server_by_id.values()
        )

    def _choose(self, waiting: Waiting, rng: random.Random) -> ServerState | None:
        spec = waiting.call.spec
        free = [
            state
            for state in self.server_by_id.values()
            if state.usable()
            and state.record.kind.value == spec.kind.value
            and spec.target in state.record.serves
            and state.in_flight < state.record.slots
        ]
        fresh = [s for s in free if s.record.server_id not in waiting.wish.excluded]
        candidates = fresh or free
        if not candidates:
            return None
        for state in candidates:
            if state.record.server_id == waiting.wish.prefix_server:
                return state
        least = min(state.in_flight for state in candidates)
        return rng.choice([state for state in candidates if state.in_flight == least])
