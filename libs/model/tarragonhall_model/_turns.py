"""Turns of programs that are kept, and the token budgets of programs, as the stores know them.

A program is known by its organisation and its id together: ids of different organisations may
clash. Every command is harmless when it is repeated.
"""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model._codec import record


@record
class ReserveTurn:
    """Reserve `most` tokens of a program's budget for a turn and find the turns before it.

    `budget` is None for a program without one. `previous` names the turn that this one continues.
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
    """The turn may run. `chain` names the turns before it, oldest first; `server_id` is the
    backend server that ran the last of them.
    """

    chain: list[str] = field(default_factory=list)
    server_id: str = ""


@record
class BudgetSpent:
    """The budget does not hold the turn; nothing was reserved.

    `spent` is what ended turns have used. It only grows, whatever running turns give back.
    """

    spent: int = 0


@record
class UnknownTurn:
    """The organisation has no such turn."""


@record
class TurnEnded:
    """The attempt has ended before; nothing was reserved."""


@record
class EndTurn:
    """A turn ended without being kept; `used` tokens of it reached the caller. Result:
    `TurnRecorded`.
    """

    attempt_id: str
    org_id: str
    program_id: str
    used: int
    retention_ms: int


@record
class KeepTurn:
    """A turn ended whole; keep it with its chain for `retention_ms` from now on. Result:
    `TurnRecorded`, or `UnknownTurn` where the turn it continues is gone.
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

    `at_ms` counts the milliseconds during which the group had a leader; it owes nothing to the
    time of day, so that a step of a clock cannot end the retention of turns.
    """

    at_ms: int
    body: object


@record
class ReadTurns:
    """Ask for the content of kept turns, which never changes. Reply: `TurnsRead`."""

    turn_ids: list[str]


@record
class TurnContent:
    """One kept turn."""

    turn_id: str
    input: bytes
    output: bytes


@record
class TurnsRead:
    """The turns that the store member asked holds."""

    turns: list[TurnContent]
