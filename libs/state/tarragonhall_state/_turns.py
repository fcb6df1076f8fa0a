"""Kept turns and token budgets: the state machine over the stores' log.

Time is that of the log (`TurnCommand.at_ms`), never a clock of this machine, so that every member
forgets the same turns at the same entry.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

import cbor2
from tarragonhall_model import (
    BudgetSpent,
    CodecError,
    EndTurn,
    KeepTurn,
    Refusal,
    RefusalCode,
    ReserveTurn,
    TurnCommand,
    TurnContent,
    TurnEnded,
    TurnRecorded,
    TurnReserved,
    UnknownTurn,
    decode,
)

SNAPSHOT_FORMAT = 1
# A turn is forgotten this much after its time: its end reached the caller after it was recorded,
# and a caller that comes back in the last moment of its retention must still find it.
RETENTION_SLACK_MS = 5_000
# Programs on routes that keep nothing are remembered at least this long after their last turn.
MIN_PROGRAM_MS = 60_000

ProgramKey = tuple[str, str]


@dataclass(slots=True)
class KeptTurn:
    """One turn that ended whole. `previous` names the one before it; None at a chain's start."""

    org_id: str
    previous: str | None
    input: bytes
    output: bytes
    server_id: str
    expires_ms: int


@dataclass(slots=True)
class ProgramTokens:
    """What a program has spent, and what its running turns may still spend at their most."""

    spent: int = 0
    reserved_by_attempt: dict[str, int] = field(default_factory=dict)
    # Attempts that ended. A reservation that was delayed on its way would else be made after its
    # turn had ended, and never be freed.
    ended: set[str] = field(default_factory=set)
    expires_ms: int = 0

    def claimed(self) -> int:
        """Return what is spent or may still be."""
        return self.spent + sum(self.reserved_by_attempt.values())


class TurnState:
    """All kept turns and budgets. `apply` gives the same result on every member."""

    __slots__ = ("_due", "clock_ms", "program_by_key", "turn_by_id")

    def __init__(self) -> None:
        self.clock_ms = 0
        self.turn_by_id: dict[str, KeptTurn] = {}
        self.program_by_key: dict[ProgramKey, ProgramTokens] = {}
        self._due: list[tuple[int, int, object]] = []

    def apply(self, index: int, data: bytes) -> object:
        """Apply one committed command and return its result."""
        try:
            command = decode(data)
        except CodecError as error:
            return Refusal(RefusalCode.BAD_INPUT, f"undecodable command: {error}")
        if not isinstance(command, TurnCommand):
            return Refusal(RefusalCode.BAD_INPUT, "expected a command of the stores")
        self.clock_ms = max(self.clock_ms, command.at_ms)
        self._forget_expired()
        match command.body:
            case ReserveTurn():
                return self._reserve(command.body)
            case EndTurn():
                return self._end(command.body)
            case KeepTurn():
                return self._keep(command.body)
        return Refusal(RefusalCode.BAD_INPUT, f"unknown command {type(command.body).__name__}")

    def chain(self, turn_id: str) -> list[str]:
        """Return the turns that lead to one, oldest first, itself included."""
        found: list[str] = []
        at: str | None = turn_id
        while at is not None:
            found.append(at)
            at = self.turn_by_id[at].previous
        found.reverse()
        return found

    def content(self, turn_ids: list[str]) -> list[TurnContent]:
        """Return the content of those of the turns that are held."""
        found = []
        for turn_id in turn_ids:
            turn = self.turn_by_id.get(turn_id)
            if turn is None:
                continue
            found.append(TurnContent(turn_id, turn.input, turn.output))
        return found

    def snapshot(self) -> bytes:
        """Return the whole state."""
        turns = [
            [
                turn_id,
                one.org_id,
                one.previous,
                one.input,
                one.output,
                one.server_id,
                one.expires_ms,
            ]
            for turn_id, one in self.turn_by_id.items()
        ]
        programs = [
            [*key, one.spent, one.reserved_by_attempt, sorted(one.ended), one.expires_ms]
            for key, one in self.program_by_key.items()
        ]
        return cbor2.dumps([SNAPSHOT_FORMAT, self.clock_ms, turns, programs])

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        try:
            version, clock_ms, turns, programs = cbor2.loads(data)
        except (cbor2.CBORDecodeError, ValueError, TypeError, EOFError) as error:
            raise CodecError(f"not a snapshot of turns: {error}") from error
        if version != SNAPSHOT_FORMAT:
            raise CodecError("this snapshot has a format that this version cannot read")
        self.clock_ms = clock_ms
        self.turn_by_id = {turn_id: KeptTurn(*parts) for turn_id, *parts in turns}
        self.program_by_key = {}
        for org_id, program_id, spent, reserved, ended, expires_ms in programs:
            tokens = ProgramTokens(spent, reserved, set(ended), expires_ms)
            self.program_by_key[(org_id, program_id)] = tokens
        self._due = []
        for turn_id, turn in self.turn_by_id.items():
            self._remember(turn.expires_ms, turn_id)
        for key, tokens in self.program_by_key.items():
            self._remember(tokens.expires_ms, key)

    def _reserve(self, command: ReserveTurn) -> object:
        server_id = ""
        chain: list[str] = []
        if command.previous is not None:
            turn = self.turn_by_id.get(command.previous)
            if turn is None or turn.org_id != command.org_id:
                return UnknownTurn()
            server_id = turn.server_id
            chain = self.chain(command.previous)
        if command.budget is None:
            return TurnReserved(chain, server_id)
        tokens = self._program(command.org_id, command.program_id, command.retention_ms)
        if command.attempt_id in tokens.ended:
            return TurnEnded()
        if command.attempt_id not in tokens.reserved_by_attempt:
            if tokens.claimed() + command.most > command.budget:
                return BudgetSpent(tokens.spent)
            tokens.reserved_by_attempt[command.attempt_id] = command.most
        return TurnReserved(chain, server_id)

    def _end(self, command: EndTurn) -> TurnRecorded:
        tokens = self._program(command.org_id, command.program_id, command.retention_ms)
        self._settle(tokens, command.attempt_id, command.used)
        return TurnRecorded()

    def _keep(self, command: KeepTurn) -> TurnRecorded | UnknownTurn:
        if command.attempt_id in self.turn_by_id:
            return TurnRecorded()
        if command.previous is not None and command.previous not in self.turn_by_id:
            return UnknownTurn()
        tokens = self._program(command.org_id, command.program_id, command.retention_ms)
        self._settle(tokens, command.attempt_id, command.used)
        expires_ms = self.clock_ms + command.retention_ms + RETENTION_SLACK_MS
        self.turn_by_id[command.attempt_id] = KeptTurn(
            command.org_id,
            command.previous,
            command.input,
            command.output,
            command.server_id,
            expires_ms,
        )
        self._remember(expires_ms, command.attempt_id)
        self._prolong(command.previous, expires_ms)
        return TurnRecorded()

    def _settle(self, tokens: ProgramTokens, attempt_id: str, used: int) -> None:
        if attempt_id in tokens.ended:
            return
        tokens.reserved_by_attempt.pop(attempt_id, None)
        tokens.ended.add(attempt_id)
        tokens.spent += used

    def _program(self, org_id: str, program_id: str, retention_ms: int) -> ProgramTokens:
        key = (org_id, program_id)
        tokens = self.program_by_key.get(key)
        expires_ms = self.clock_ms + max(retention_ms, MIN_PROGRAM_MS) + RETENTION_SLACK_MS
        if tokens is None:
            tokens = ProgramTokens()
            self.program_by_key[key] = tokens
            self._remember(expires_ms, key)
        tokens.expires_ms = max(tokens.expires_ms, expires_ms)
        return tokens

    def _prolong(self, turn_id: str | None, expires_ms: int) -> None:
        """Keep a chain as long as its newest turn."""
        while turn_id is not None:
            turn = self.turn_by_id[turn_id]
            turn.expires_ms = max(turn.expires_ms, expires_ms)
            turn_id = turn.previous

    def _remember(self, expires_ms: int, key: object) -> None:
        heapq.heappush(self._due, (expires_ms, id(key), key))

    def _forget_expired(self) -> None:
        """Drop what is due; what was prolonged meanwhile goes back into the heap."""
        while self._due and self._due[0][0] <= self.clock_ms:
            _due_ms, _order, key = heapq.heappop(self._due)
            held = self.turn_by_id if isinstance(key, str) else self.program_by_key
            one = held.get(key)
            if one is None:
                continue
            if one.expires_ms > self.clock_ms:
                self._remember(one.expires_ms, key)
                continue
            del held[key]
