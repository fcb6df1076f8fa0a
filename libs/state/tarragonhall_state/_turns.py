"""Stored turns and token budgets: the state machine over the stores' log.

Time is taken from the log (`TurnCommand.at_ms`), never from the local clock, so that every member
drops the same turns at the same log entry.
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

from tarragonhall_state._turn_room import turn_bytes

SNAPSHOT_FORMAT = 1
# Added to each retention. A caller learns of a turn's end after it was recorded, and its request at
# the last moment of the retention must still find the turn.
RETENTION_SLACK_MS = 5_000
# Token budgets of programs on routes without retention are stored at least this long after their
# last turn.
MIN_PROGRAM_RETENTION_MS = 60_000

# Organisation and id. Clients choose the ids, so two organisations may use the same one.
ProgramKey = tuple[str, str]
TurnKey = tuple[str, str]


@dataclass(slots=True)
class StoredTurn:
    """One complete turn. `previous` is the id of the turn before it; None starts a chain."""

    previous: str | None
    input: bytes
    output: bytes
    server_id: str
    expires_ms: int


@dataclass(slots=True)
class ProgramTokens:
    """The tokens that a program has spent, and those reserved for its running turns."""

    spent: int = 0
    reserved_by_attempt: dict[str, int] = field(default_factory=dict)
    # Ids of ended attempts. Without them, a delayed reservation would be made after its turn had
    # ended and never be released.
    ended: set[str] = field(default_factory=set)
    expires_ms: int = 0

    def spent_or_reserved(self) -> int:
        """Return the tokens that are spent or reserved."""
        return self.spent + sum(self.reserved_by_attempt.values())


class TurnState:
    """All stored turns and budgets. `apply` is deterministic on every member."""

    __slots__ = (
        "_expiry_heap",
        "clock_ms",
        "held_bytes",
        "held_bytes_by_org",
        "program_by_key",
        "turn_by_key",
    )

    def __init__(self) -> None:
        self.clock_ms = 0
        self.turn_by_key: dict[TurnKey, StoredTurn] = {}
        self.program_by_key: dict[ProgramKey, ProgramTokens] = {}
        # When an item may expire, whether it is a turn, and its key.
        self._expiry_heap: list[tuple[int, bool, tuple[str, str]]] = []
        # What the turns take in memory.
        self.held_bytes = 0
        self.held_bytes_by_org: dict[str, int] = {}

    def apply(self, index: int, data: bytes) -> object:
        """Apply one committed command and return its result."""
        try:
            command = decode(data)
        except CodecError as error:
            return Refusal(RefusalCode.BAD_INPUT, f"undecodable command: {error}")
        if not isinstance(command, TurnCommand):
            return Refusal(RefusalCode.BAD_INPUT, "expected a command of the stores")
        self.clock_ms = max(self.clock_ms, command.at_ms)
        self._drop_expired()
        match command.body:
            case ReserveTurn():
                return self._reserve(command.body)
            case EndTurn():
                return self._end(command.body)
            case KeepTurn():
                return self._store_turn(command.body)
        return Refusal(RefusalCode.BAD_INPUT, f"unknown command {type(command.body).__name__}")

    def chain(self, org_id: str, turn_id: str) -> list[str]:
        """Return the ids of an organisation's chain that ends with this turn, oldest first."""
        found: list[str] = []
        current: str | None = turn_id
        while current is not None:
            found.append(current)
            current = self.turn_by_key[org_id, current].previous
        found.reverse()
        return found

    def content(self, org_id: str, turn_ids: list[str]) -> list[TurnContent]:
        """Return the content of the given turns of an organisation that are stored."""
        found = []
        for turn_id in turn_ids:
            turn = self.turn_by_key.get((org_id, turn_id))
            if turn is None:
                continue
            found.append(TurnContent(turn_id, turn.input, turn.output))
        return found

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        turns = [
            [
                turn_id,
                org_id,
                one.previous,
                one.input,
                one.output,
                one.server_id,
                one.expires_ms,
            ]
            for (org_id, turn_id), one in self.turn_by_key.items()
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
        self.turn_by_key = {
            (org_id, turn_id): StoredTurn(*parts) for turn_id, org_id, *parts in turns
        }
        self.held_bytes = 0
        self.held_bytes_by_org = {}
        for (org_id, _turn_id), turn in self.turn_by_key.items():
            self._count(org_id, turn, 1)
        self.program_by_key = {}
        for org_id, program_id, spent, reserved, ended, expires_ms in programs:
            tokens = ProgramTokens(spent, reserved, set(ended), expires_ms)
            self.program_by_key[(org_id, program_id)] = tokens
        self._expiry_heap = []
        for key, turn in self.turn_by_key.items():
            self._schedule_expiry(turn.expires_ms, True, key)
        for key, tokens in self.program_by_key.items():
            self._schedule_expiry(tokens.expires_ms, False, key)

    def _reserve(self, command: ReserveTurn) -> object:
        server_id = ""
        chain: list[str] = []
        chain_bytes = 0
        if command.previous is not None:
            turn = self.turn_by_key.get((command.org_id, command.previous))
            if turn is None:
                return UnknownTurn()
            server_id = turn.server_id
            chain = self.chain(command.org_id, command.previous)
            for turn_id in chain:
                one = self.turn_by_key[command.org_id, turn_id]
                chain_bytes += len(one.input) + len(one.output)
        if command.budget is None:
            return TurnReserved(chain, server_id, chain_bytes)
        tokens = self._program(command.org_id, command.program_id, command.retention_ms)
        if command.attempt_id in tokens.ended:
            return TurnEnded()
        if command.attempt_id not in tokens.reserved_by_attempt:
            if tokens.spent_or_reserved() + command.most > command.budget:
                return BudgetSpent(tokens.spent)
            tokens.reserved_by_attempt[command.attempt_id] = command.most
        return TurnReserved(chain, server_id, chain_bytes)

    def _end(self, command: EndTurn) -> TurnRecorded:
        tokens = self._program(command.org_id, command.program_id, command.retention_ms)
        self._settle(tokens, command.attempt_id, command.used)
        return TurnRecorded()

    def _store_turn(self, command: KeepTurn) -> TurnRecorded | UnknownTurn | Refusal:
        org_id = command.org_id
        key = (org_id, command.attempt_id)
        known = self.turn_by_key.get(key)
        if known is not None:
            if (known.input, known.output) == (command.input, command.output):
                return TurnRecorded()
            return Refusal(RefusalCode.CONFLICT, "another turn of the organisation has this id")
        if command.previous is not None and (org_id, command.previous) not in self.turn_by_key:
            return UnknownTurn()
        tokens = self._program(org_id, command.program_id, command.retention_ms)
        self._settle(tokens, command.attempt_id, command.used)
        expires_ms = self.clock_ms + command.retention_ms + RETENTION_SLACK_MS
        turn = self.turn_by_key[key] = StoredTurn(
            command.previous,
            command.input,
            command.output,
            command.server_id,
            expires_ms,
        )
        self._count(org_id, turn, 1)
        self._schedule_expiry(expires_ms, True, key)
        self._extend_chain(org_id, command.previous, expires_ms)
        return TurnRecorded()

    def _count(self, org_id: str, turn: StoredTurn, sign: int) -> None:
        size = sign * turn_bytes(len(turn.input) + len(turn.output))
        self.held_bytes += size
        held = self.held_bytes_by_org.get(org_id, 0) + size
        if held:
            self.held_bytes_by_org[org_id] = held
        else:
            self.held_bytes_by_org.pop(org_id, None)

    def _settle(self, tokens: ProgramTokens, attempt_id: str, used: int) -> None:
        if attempt_id in tokens.ended:
            return
        tokens.reserved_by_attempt.pop(attempt_id, None)
        tokens.ended.add(attempt_id)
        tokens.spent += used

    def _program(self, org_id: str, program_id: str, retention_ms: int) -> ProgramTokens:
        key = (org_id, program_id)
        tokens = self.program_by_key.get(key)
        expires_ms = (
            self.clock_ms + max(retention_ms, MIN_PROGRAM_RETENTION_MS) + RETENTION_SLACK_MS
        )
        if tokens is None:
            tokens = ProgramTokens()
            self.program_by_key[key] = tokens
            self._schedule_expiry(expires_ms, False, key)
        tokens.expires_ms = max(tokens.expires_ms, expires_ms)
        return tokens

    def _extend_chain(self, org_id: str, turn_id: str | None, expires_ms: int) -> None:
        """Extend the expiry of a whole chain to that of its newest turn."""
        while turn_id is not None:
            turn = self.turn_by_key[org_id, turn_id]
            turn.expires_ms = max(turn.expires_ms, expires_ms)
            turn_id = turn.previous

    def _schedule_expiry(self, expires_ms: int, is_turn: bool, key: tuple[str, str]) -> None:
        heapq.heappush(self._expiry_heap, (expires_ms, is_turn, key))

    def _drop_expired(self) -> None:
        """Drop expired items; an item whose expiry was extended is queued again."""
        while self._expiry_heap and self._expiry_heap[0][0] <= self.clock_ms:
            _due_ms, is_turn, key = heapq.heappop(self._expiry_heap)
            item_by_key = self.turn_by_key if is_turn else self.program_by_key
            item = item_by_key.get(key)
            if item is None:
                continue
            if item.expires_ms > self.clock_ms:
                self._schedule_expiry(item.expires_ms, is_turn, key)
                continue
            del item_by_key[key]
            if is_turn:
                self._count(key[0], item, -1)
