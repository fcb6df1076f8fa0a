"""Client of the stores for retained turns and token budgets, with a cache of recent turns."""

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
    Refusal,
    ReserveTurn,
    TurnContent,
    TurnRecorded,
    TurnReserved,
    UnknownTurn,
)
from tarragonhall_wire import LeaderClient, ProcessContext, UnavailableError

from tarragonhall_relay._turn_histories import TurnHistories, size_of

log = structlog.get_logger(__name__)

# Without the cache each turn would read its whole history from the stores. A turn has about 5 kB,
# and a program has tens of them.
MAX_CACHE_BYTES = 12 * 1024 * 1024
# A store reads turns from memory within milliseconds; after this timeout another one is tried. A
# store without power then comes last in the order, until it replies again.
READ_TIMEOUT_SECONDS = 0.25
READ_POLL_SECONDS = 0.02
# A completed turn must survive a short time in which the stores have no leader.
PERSIST_TIMEOUT_SECONDS = 3.0
# A reservation that is not released counts against its program for good, hence the long timeout.
RELEASE_TIMEOUT_SECONDS = 20.0


@dataclass(slots=True, frozen=True)
class TurnKey:
    """The ids of a turn and its limits; `retention_ms` is how long it is stored."""

    attempt_id: str
    org_id: str
    program_id: str
    previous_turn: str | None
    token_budget: int | None
    max_tokens: int
    retention_ms: int


@dataclass(slots=True, frozen=True)
class OpenTurn:
    """A turn that may run, its history, and the server of the previous turn (empty if none).

    The parts of the history are shared with other calls; `held` are the turns to be released.
    """

    key: TurnKey
    history: tuple[bytes, ...]
    server_id: str
    held: tuple[tuple[str, str], ...] = ()


class TurnStoreError(UnavailableError):
    """The stores did not reply in time, and the turn did not run."""


class TurnStoreClient:
    """Reserves, stores, releases and reads the turns of one entry at the stores."""

    __slots__ = (
        "_cache",
        "_cached_bytes",
        "_client",
        "_context",
        "_deferred_stores",
        "_full_until_by_org",
        "_histories",
        "_reading",
        "_store_addresses",
    )

    def __init__(
        self, context: ProcessContext, store_addresses, histories: TurnHistories | None = None
    ) -> None:
        self._context = context
        self._histories = histories or TurnHistories()
        # Turns that calls are reading from the stores.
        self._reading: set[tuple[str, str]] = set()
        self._store_addresses = store_addresses
        self._client = LeaderClient(context, store_addresses)
        # By organisation and turn: clients of two organisations may choose the same id.
        self._cache: OrderedDict[tuple[str, str], TurnContent] = OrderedDict()
        self._cached_bytes = 0
        # Stores that did not reply or had none of the turns last requested are tried last;
        # otherwise each read would waste a round trip on a standby.
        self._deferred_stores: set[str] = set()
        # When the stores may have room again for an organisation that they refused.
        self._full_until_by_org: dict[str, float] = {}

    def reserve(self, key: TurnKey, timeout_s: float) -> OpenTurn | BudgetSpent | UnknownTurn:
        """Reserve a turn's tokens and read its history.

        Raises `TurnStoreError` if the stores do not reply; the turn has not run then.
        """
        self._check_room(key.org_id)
        if key.token_budget is None and key.previous_turn is None:
            return OpenTurn(key, (), "")
        command = ReserveTurn(
            key.attempt_id,
            key.org_id,
            key.program_id,
            key.token_budget,
            key.max_tokens,
            key.previous_turn,
            key.retention_ms,
        )
        deadline = self._context.monotonic() + timeout_s
        try:
            result = self._client.propose(command, timeout_s)
        except UnavailableError as error:
            self.release(key, 0)
            raise TurnStoreError(str(error)) from error
        except BaseException:
            self.release(key, 0)
            raise
        match result:
            case BudgetSpent() | UnknownTurn():
                return result
            case Refusal():
                self._note_refusal(key.org_id, result)
                raise TurnStoreError(result.message)
            case TurnReserved():
                return self._open_turn(key, result, deadline)
        raise TurnStoreError(f"unexpected reply from the stores: {type(result).__name__}")

    def persist(
        self, turn: OpenTurn, body: bytes, output: bytes, used: int, server_id: str
    ) -> None:
        """Store a completed turn; raise `UnavailableError` if it may not have been stored."""
        key = turn.key
        command = KeepTurn(
            key.attempt_id,
            key.org_id,
            key.program_id,
            key.previous_turn,
            body,
            output,
            used,
            server_id,
            key.retention_ms,
        )
        result = self._client.propose(command, PERSIST_TIMEOUT_SECONDS)
        if isinstance(result, Refusal):
            self._note_refusal(key.org_id, result)
            raise UnavailableError(result.message)
        if not isinstance(result, TurnRecorded):
            raise UnavailableError(f"unexpected reply from the stores: {type(result).__name__}")
        self._cache_turn(key.org_id, TurnContent(key.attempt_id, body, output))

    def release(self, key: TurnKey, used: int) -> None:
        """Release, in the background, the reservation of a turn that is not stored."""
        if key.token_budget is not None:
            eventlet.spawn_n(self._release, key, used)

    def _check_room(self, org_id: str) -> None:
        """Raise `TurnStoreError` while the stores take no more turns of the organisation.

        A call that runs and cannot be stored has no whole response, so it is not begun.
        """
        full_until = self._full_until_by_org.get(org_id)
        if full_until is None:
            return
        if self._context.monotonic() < full_until:
            raise TurnStoreError("the stores have no memory for more turns of the organisation")
        del self._full_until_by_org[org_id]

    def _note_refusal(self, org_id: str, refusal: Refusal) -> None:
        if refusal.retry_after_ms is not None:
            retry_s = refusal.retry_after_ms / 1000
            self._full_until_by_org[org_id] = self._context.monotonic() + retry_s

    def _release(self, key: TurnKey, used: int) -> None:
        command = EndTurn(key.attempt_id, key.org_id, key.program_id, used, key.retention_ms)
        try:
            self._client.propose(command, RELEASE_TIMEOUT_SECONDS)
        except UnavailableError as error:
            log.warning("turn.end_unrecorded", id=key.attempt_id, used=used, error=str(error))

    def close(self, turn: OpenTurn) -> None:
        """Release the history of a turn that is no longer sent anywhere."""
        self._histories.release(turn.held)

    def _open_turn(self, key: TurnKey, reserved: TurnReserved, deadline: float) -> OpenTurn:
        try:
            turns = self._read_history(key.org_id, reserved.chain, reserved.chain_bytes, deadline)
        except BaseException:
            self.release(key, 0)
            raise
        self._histories.hold(turns)
        history = tuple(text for one in turns.values() for text in (one.input, one.output))
        return OpenTurn(key, history, reserved.server_id, tuple(turns))

    def _read_history(
        self, org_id: str, chain: list[str], chain_bytes: int, deadline: float
    ) -> dict[tuple[str, str], TurnContent]:
        """Return the turns of a chain in their order; raise `TurnStoreError` if there is no room.

        A turn that other calls hold, or are reading, is not read again.
        """
        keys = [(org_id, turn_id) for turn_id in chain]
        self._wait_for_reads(keys, deadline)
        known = {key: turn for key in keys if (turn := self._known(key)) is not None}
        missing = [key for key in keys if key not in known]
        held_bytes = sum(size_of(one) for key, one in known.items() if self._histories.get(key))
        unheld_bytes = max(chain_bytes, sum(map(size_of, known.values()))) - held_bytes
        if unheld_bytes > 0 and not self._histories.has_room(unheld_bytes):
            self._context.metrics.count("relay.histories_refused")
            raise TurnStoreError("this entry has no memory for the previous turns")
        if missing:
            known |= self._read_missing(org_id, missing, unheld_bytes, deadline)
        for key in keys:
            if key in self._cache:
                self._cache.move_to_end(key)
        return {key: known[key] for key in keys}

    def _known(self, key: tuple[str, str]) -> TurnContent | None:
        return self._histories.get(key) or self._cache.get(key)

    def _wait_for_reads(self, keys: list[tuple[str, str]], deadline: float) -> None:
        """Wait until no other call is reading any of the turns, at most until the deadline."""
        while any(key in self._reading for key in keys):
            if self._context.monotonic() > deadline:
                raise TurnStoreError("the previous turns could not be read in time")
            eventlet.sleep(READ_POLL_SECONDS)

    def _read_missing(
        self, org_id: str, missing: list[tuple[str, str]], size: int, deadline: float
    ) -> dict[tuple[str, str], TurnContent]:
        self._reading.update(missing)
        # What arrives counts from now on, so that others find no room that is used up soon.
        self._histories.held_bytes += size
        try:
            fetched = self._fetch(org_id, [turn_id for _org, turn_id in missing], deadline)
        finally:
            self._histories.held_bytes -= size
            self._reading.difference_update(missing)
        for turn in fetched:
            self._cache_turn(org_id, turn)
        return {(org_id, turn.turn_id): turn for turn in fetched}

    def _fetch(self, org_id: str, turn_ids: list[str], deadline: float) -> list[TurnContent]:
        """Read turns from any store that has them; raise `TurnStoreError` at the deadline."""
        found: dict[str, TurnContent] = {}
        while len(found) < len(turn_ids):
            for address in sorted(self._store_addresses(), key=self._deferred_stores.__contains__):
                wanted = [one for one in turn_ids if one not in found]
                if not wanted:
                    break
                try:
                    link = self._context.hub.link_to(address)
                    reply = link.request(ReadTurns(wanted, org_id), READ_TIMEOUT_SECONDS)
                except LinkError as error:
                    log.debug("turn.read_failed", address=address, error=str(error))
                    self._deferred_stores.add(address)
                    continue
                if reply.turns:
                    self._deferred_stores.discard(address)
                else:
                    self._deferred_stores.add(address)
                found |= {one.turn_id: one for one in reply.turns}
            if len(found) < len(turn_ids):
                if self._context.monotonic() > deadline:
                    raise TurnStoreError("the previous turns could not be read in time")
                eventlet.sleep(READ_POLL_SECONDS)
        return list(found.values())

    def _cache_turn(self, org_id: str, turn: TurnContent) -> None:
        key = (org_id, turn.turn_id)
        if key in self._cache:
            return
        self._cache[key] = turn
        self._cached_bytes += size_of(turn)
        while self._cached_bytes > MAX_CACHE_BYTES:
            _key, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= size_of(dropped)
