"""Journal records of a program: its calls, their attempts, and the budget of its root."""

from __future__ import annotations

import enum
from dataclasses import field

from tarragonhall_model import (
    Answer,
    AttemptId,
    Budget,
    CallKind,
    CallSpec,
    Execution,
    ProgramInfo,
    ProgramStatus,
    Refusal,
    Spent,
    Turn,
    mutable_record,
)


class AttemptState(enum.Enum):
    """The state of an attempt. A `STARTED` one may have run, be running or still run."""

    STARTED = "started"
    DISPROVED = "disproved"
    ENDED = "ended"


class CallState(enum.Enum):
    """The state of a call. An abandoned one may be opened again under the same number."""

    OPEN = "open"
    ABANDONED = "abandoned"
    CLOSED = "closed"


@mutable_record
class Attempt:
    """One recorded attempt. While `holds_reservation`, its tokens and one call stay reserved."""

    attempt_id: AttemptId
    state: AttemptState = AttemptState.STARTED
    holds_reservation: bool = True


@mutable_record
class Call:
    """One call. `holds_reservation` means that a reservation is held for its next attempt."""

    spec: CallSpec
    entry_id: str
    opened_at_ms: int
    state: CallState = CallState.OPEN
    holds_reservation: bool = True
    attempts: list[Attempt] = field(default_factory=list)
    answer: Answer | None = None
    refusal: Refusal | None = None

    @property
    def deadline_at_ms(self) -> int:
        """Return the log time at which the caller stops waiting."""
        return self.opened_at_ms + self.spec.timeout_ms

    def live_attempt(self) -> Attempt | None:
        """Return the newest attempt that may be running."""
        for attempt in reversed(self.attempts):
            if attempt.state is AttemptState.STARTED:
                return attempt
        return None

    def may_have_run(self) -> bool:
        """Return whether any attempt is not disproved."""
        return any(attempt.state is not AttemptState.DISPROVED for attempt in self.attempts)

    def is_proved_not_run(self) -> bool:
        """Return whether the call ended without any attempt that could have run."""
        return self.refusal is not None and self.refusal.execution is Execution.NOT_RUN


@mutable_record
class Purse:
    """The budget of a root program, and its use by that program and its sub-agents."""

    budget: Budget
    tokens: int = 0
    calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0

    def fits(self, tokens: int) -> bool:
        """Return whether one more call of `tokens` fits next to all reservations."""
        tokens_fit = self.tokens + self.reserved_tokens + tokens <= self.budget.tokens
        return tokens_fit and self.calls + self.reserved_calls < self.budget.calls

    def may_fit_later(self, tokens: int) -> bool:
        """Return whether the call would fit if every reservation were released unused."""
        return self.tokens + tokens <= self.budget.tokens and self.calls < self.budget.calls

    def reserve(self, tokens: int) -> None:
        """Reserve one call and its tokens."""
        self.reserved_tokens += tokens
        self.reserved_calls += 1

    def release(self, tokens: int) -> None:
        """Release a reservation unused."""
        self.reserved_tokens -= tokens
        self.reserved_calls -= 1

    def settle(self, reserved: int, used: int) -> None:
        """Replace a reservation by the actual usage."""
        self.release(reserved)
        self.tokens += used
        self.calls += 1

    def spent(self) -> Spent:
        """Return the usage as callers see it."""
        return Spent(self.tokens, self.calls, self.reserved_tokens, self.reserved_calls)


@mutable_record
class Program:
    """One program. `purse` is the budget; set on roots only, since sub-agents use their root's."""

    program_id: str
    root_id: str
    org_id: str
    idle_seconds: int
    opened_at_ms: int
    active_until_ms: int
    purse: Purse | None = None
    parent: str | None = None
    labels: dict[str, str] = field(default_factory=dict)
    idempotency_key: str | None = None
    status: ProgramStatus = ProgramStatus.OPEN
    ended_at_ms: int = 0
    calls: list[Call] = field(default_factory=list)
    children: list[str] = field(default_factory=list)
    history_bytes: int = 0

    @property
    def is_open(self) -> bool:
        """Return whether the program may still open calls."""
        return self.status is ProgramStatus.OPEN

    def call(self, seq: int) -> Call | None:
        """Return the call with this number, or None if it was abandoned or never opened."""
        found = self.slot(seq)
        if found is None or found.state is CallState.ABANDONED:
            return None
        return found

    def slot(self, seq: int) -> Call | None:
        """Return the stored call with this number, even if abandoned, or None."""
        if not 1 <= seq <= len(self.calls):
            return None
        return self.calls[seq - 1]

    def next_seq(self) -> int:
        """Return the number that the next new call must have."""
        if self.calls and self.calls[-1].state is CallState.ABANDONED:
            return len(self.calls)
        return len(self.calls) + 1

    def history(self, before_seq: int) -> list[Turn]:
        """Return the answered model calls before a number, oldest first."""
        turns = []
        for call in self.calls[: before_seq - 1]:
            if call.spec.kind is not CallKind.MODEL or call.answer is None:
                continue
            turns.append(Turn(call.spec.body, call.answer.text))
        return turns

    def prefix_server(self, before_seq: int) -> str | None:
        """Return the backend server that ran the last answered model call before a number."""
        for call in reversed(self.calls[: before_seq - 1]):
            if call.spec.kind is not CallKind.MODEL or call.answer is None:
                continue
            for attempt in reversed(call.attempts):
                if attempt.state is AttemptState.ENDED:
                    return attempt.attempt_id.server_id
        return None

    def info(self, root_budget: Purse) -> ProgramInfo:
        """Return the program as its owner sees it."""
        return ProgramInfo(
            program_id=self.program_id,
            root_id=self.root_id,
            org_id=self.org_id,
            status=self.status,
            budget=root_budget.budget,
            spent=root_budget.spent(),
            next_seq=self.next_seq(),
            opened_at_ms=self.opened_at_ms,
            labels=self.labels,
            parent=self.parent,
        )
