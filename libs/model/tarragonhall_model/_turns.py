"""Commands and queries of the stores for stored turns and the token budgets of programs.

A program is identified by its organisation and its id together, because ids of different
organisations may collide. Every command is idempotent.
"""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model._codec import record


@record
class ReserveTurn:
    """Reserve `most` tokens of a program's budget for a turn and find the turns before it.

    `budget` is None for a program without one. `previous` is the turn that this one continues.
    Result: `TurnReserved`, `BudgetSpent`, `UnknownTurn` or `TurnEnded`.
    """

    attempt_id: str
    org_id: str
    program_id: str
    budget: int | None
    most: int
    previous: str | None
    retention_ms: int


@record
class TurnReserved:
    """The turn may run. `chain` holds the ids of the turns before it, oldest first; `server_id` is
    the backend server that ran the last of them, `chain_bytes` the length of their texts.
    """

    chain: list[str] = field(default_factory=list)
    server_id: str = ""
    chain_bytes: int = 0


@record
class BudgetSpent:
    """The budget is too small for the turn; nothing was reserved.

    `spent` is the number of tokens used by ended turns. It never decreases, even when running turns
    release reserved tokens.
    """

    spent: int = 0


@record
class UnknownTurn:
    """The organisation has no such turn."""


@record
class TurnEnded:
    """The attempt has already ended; nothing was reserved."""


@record
class EndTurn:
    """End a turn that is not stored; `used` tokens of it reached the caller. Result:
    `TurnRecorded`.
    """

    attempt_id: str
    org_id: str
    program_id: str
    used: int
    retention_ms: int


@record
class KeepTurn:
    """Store a completed turn and retain it with its chain for `retention_ms` from now on.

    Result: `TurnRecorded`, `UnknownTurn` if the turn it continues is no longer stored, or a
    `Refusal` if the organisation has another turn of this id.
    """

    attempt_id: str
    org_id: str
    program_id: str
    previous: str | None
    input: bytes
    output: bytes
    used: int
    server_id: str
    retention_ms: int


@record
class TurnRecorded:
    """The end of a turn is recorded."""


@record
class TurnCommand:
    """A command of the stores' log with the leader's clock.

    `at_ms` counts the milliseconds during which the group had a leader. It is independent of the
    wall clock, so that a clock step cannot end the retention of turns.
    """

    at_ms: int
    body: object


@record
class ReadTurns:
    """Request the content of an organisation's stored turns, which never changes.

    Reply: `TurnsRead`.
    """

    turn_ids: list[str]
    org_id: str = ""


@record
class TurnContent:
    """The content of one stored turn."""

    turn_id: str
    input: bytes
    output: bytes


@record
class TurnsRead:
    """The requested turns that the store member holds."""

    turns: list[TurnContent]
