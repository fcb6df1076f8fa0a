"""Kept turns and token budgets as an entry uses them: asks the stores, keeps recent content."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import eventlet
import structlog
from tarragonhall_model import (
    BudgetSpent,
    EndTurn,
    KeepTurn,
    LinkError,
    ReadTurns,
    ReserveTurn,
    TurnContent,
    TurnRecorded,
    TurnReserved,
    UnknownTurn,
)
from tarragonhall_wire import LeaderClient, ProcessContext, UnavailableError

log = structlog.get_logger(__name__)

# Bytes of recent turns kept at an entry for the programs whose calls come through it. Without them
# each turn would read its whole past from the stores.
CACHE_BYTES = 12 * 1024 * 1024
# Reading content from memory takes milliseconds; another store member can be asked after this. A
# store without power is asked last from then on, until it answers again.
READ_SECONDS = 0.25
# A turn that ran is not thrown away because the stores are without a leader for a moment.
KEEP_SECONDS = 3.0
# A reservation that is not freed counts against its program for good, so its end is tried for long.
END_SECONDS = 20.0


@dataclass(slots=True, frozen=True)
class TurnKey:
    """Whose turn it is, and what it may generate."""

    attempt_id: str
    org_id: str
    program_id: str
    previous: str | None
    budget: int | None
    most: int
    retention_ms: int


@dataclass(slots=True, frozen=True)
class OpenTurn:
    """A turn that may run: what was said before it, and which server ran the turn before."""

    key: TurnKey
    history: bytes
    server_id: str


class TurnStoreError(UnavailableError):
    """The stores could not be asked in time; nothing of the turn ran."""


class Turns:
    """What one entry asks the stores."""

    __slots__ = (
        "_cache",
        "_cached_bytes",
        "_client",
        "_context",
        "_empty",
        "_store_addresses",
    )

    def __init__(self, context: ProcessContext, store_addresses) -> None:
        self._context = context
        self._store_addresses = store_addresses
        self._client = LeaderClient(context, store_addresses)
        self._cache: OrderedDict[str, TurnContent] = OrderedDict()
        self._cached_bytes = 0
        # Stores that did not answer, or held nothing of what they were last asked for: those that
        # only stand by would cost each read a round trip for nothing.
        self._empty: set[str] = set()

    def begin(self, key: TurnKey, timeout_s: float) -> OpenTurn | BudgetSpent | UnknownTurn:
        """Reserve a turn's tokens and gather what was said before it.

        Raises `TurnStoreError` where the stores cannot tell; nothing has run then.
        """
        if key.budget is None and key.previous is None:
            return OpenTurn(key, b"", "")
        command = ReserveTurn(
            key.attempt_id,
            key.org_id,
            key.program_id,
            key.budget,
            key.most,
            key.previous,
            key.retention_ms,
        )
        deadline = self._context.monotonic() + timeout_s
        try:
            result = self._client.propose(command, timeout_s)
        except UnavailableError as error:
            self.end(key, 0)
            raise TurnStoreError(str(error)) from error
        except BaseException:
            self.end(key, 0)
            raise
        match result:
            case BudgetSpent() | UnknownTurn():
                return result
            case TurnReserved(chain=chain, server_id=server_id):
                return self._open(key, chain, server_id, deadline)
        raise TurnStoreError(f"the stores answered {type(result).__name__}")

    def keep(self, turn: OpenTurn, body: bytes, output: bytes, used: int, server_id: str) -> None:
        """Record a turn that ended whole; raise `UnavailableError` where that is not sure."""
        key = turn.key
        command = KeepTurn(
            key.attempt_id,
            key.org_id,
            key.program_id,
            key.previous,
            body,
            output,
            used,
            server_id,
            key.retention_ms,
        )
        result = self._client.propose(command, KEEP_SECONDS)
        if not isinstance(result, TurnRecorded):
            raise UnavailableError(f"the stores answered {type(result).__name__}")
        self._remember(TurnContent(key.attempt_id, body, output))

    def end(self, key: TurnKey, used: int) -> None:
        """Record, in the background, that a turn ended without being kept."""
        if key.budget is not None:
            eventlet.spawn_n(self._end, key, used)

    def _end(self, key: TurnKey, used: int) -> None:
        command = EndTurn(key.attempt_id, key.org_id, key.program_id, used, key.retention_ms)
        try:
            self._client.propose(command, END_SECONDS)
        except UnavailableError as error:
            log.warning("turn.end_unrecorded", id=key.attempt_id, used=used, error=str(error))

    def _open(
        self, key: TurnKey, chain: list[str], server_id: str, deadline: float
    ) -> OpenTurn | UnknownTurn:
        try:
            history = self._history(chain, deadline)
        except BaseException:
            self.end(key, 0)
            raise
        return OpenTurn(key, history, server_id)

    def _history(self, chain: list[str], deadline: float) -> bytes:
        missing = [turn_id for turn_id in chain if turn_id not in self._cache]
        fetched = {one.turn_id: one for one in self._fetch(missing, deadline)}
        parts: list[bytes] = []
        for turn_id in chain:
            turn = fetched.get(turn_id) or self._cache.get(turn_id)
            if turn is None:
                raise TurnStoreError(f"turn {turn_id} could not be read")
            parts.append(turn.input)
            parts.append(turn.output)
        for turn_id in chain:
            if turn_id in self._cache:
                self._cache.move_to_end(turn_id)
        for turn in fetched.values():
            self._remember(turn)
        return b"".join(parts)

    def _fetch(self, turn_ids: list[str], deadline: float) -> list[TurnContent]:
        """Read turns from any store member that holds them."""
        found: dict[str, TurnContent] = {}
        while len(found) < len(turn_ids):
            for address in sorted(self._store_addresses(), key=self._empty.__contains__):
                wanted = [one for one in turn_ids if one not in found]
                if not wanted:
                    break
                try:
                    link = self._context.hub.link_to(address)
                    reply = link.request(ReadTurns(wanted), READ_SECONDS)
                except LinkError as error:
                    log.debug("turn.read_failed", address=address, error=str(error))
                    self._empty.add(address)
                    continue
                if reply.turns:
                    self._empty.discard(address)
                else:
                    self._empty.add(address)
                found |= {one.turn_id: one for one in reply.turns}
            if len(found) < len(turn_ids):
                if self._context.monotonic() > deadline:
                    raise TurnStoreError("the turns before could not be read in time")
                eventlet.sleep(0.02)
        return list(found.values())

    def _remember(self, turn: TurnContent) -> None:
        if turn.turn_id in self._cache:
            return
        self._cache[turn.turn_id] = turn
        self._cached_bytes += len(turn.input) + len(turn.output)
        while self._cached_bytes > CACHE_BYTES:
            _turn_id, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped.input) + len(dropped.output)
