"""Counts the memory that calls hold at model engines, so that they go where it lasts to their end.

Load patterns and the rule that answers each:
- Long histories fill an engine's memory before its slots. The engine then preempts a call in the
  middle of its stream and reads the prompt again later. A call counts for the tokens that it holds
  at its end: its prompt and its expected output. It goes only where these fit.
- Many calls share the first part of their prompt, which an engine holds once (`MemoryLedger`).
- Calls beyond an engine's slots wait there and hold nothing yet, so the sum is reduced in
  proportion.
- News of other entries are half a second old, and entries compete for room that becomes free. An
  entry below its share of the memory that finds no room may exceed a server's memory by
  `MAX_EXCESS`, so that entries that are faster or hold more do not starve it.
- A call that needs most of a server would wait until that server is empty by chance. A server
  where nothing is held takes any call.
- A server that restarts under its old id holds nothing. Calls that were lost there end later and
  are not subtracted from what the new process holds.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import BackendRecord, LoadDetail

from tarragonhall_decisions._call_requirements import CallRequirements
from tarragonhall_decisions._memory_ledger import CallMemory, MemoryLedger, memory_of
from tarragonhall_decisions._other_loads import OtherLoads

# Share of a server's memory by which entries below their share may exceed it: one or two calls,
# which are over before the others have grown to their full length.
MAX_EXCESS = 0.1
# Shares of the memory at which a server counts as full, and as having room again. The gap keeps a
# server near the limit from changing with each call.
FULL_SHARE = 0.95
ROOM_SHARE = 0.85


@dataclass(slots=True, frozen=True)
class MemoryChange:
    """A server's memory became full, or has room again: `held` of `memory` tokens."""

    server_id: str
    is_full: bool
    held: int
    memory: int


class RoomCheck:
    """The check of servers for one call, in one choice.

    A call that fits nowhere may go to a server that mainly the others fill, if this entry is below
    its share of the memory.
    """

    __slots__ = ("_exceeding", "_least", "_limit", "_memory", "_needed", "_service")

    def __init__(self, memory: EngineMemory, needed: CallMemory, service: str, limit: int) -> None:
        self._memory = memory
        self._needed = needed
        self._service = service
        self._limit = limit
        # The server whose memory the call would exceed the least, and by what it would be held.
        self._exceeding: BackendRecord | None = None
        self._least = limit * (1.0 + MAX_EXCESS)

    def fits(self, record: BackendRecord) -> bool:
        """Return whether the call fits at a server until its end."""
        expected = self._memory.expected(record, self._needed)
        if expected <= self._limit:
            return True
        self._memory.lacked_room = True
        if expected <= self._least and self._memory.is_filled_by_others(record.server_id):
            self._least = expected
            self._exceeding = record
        return False

    def exceeded(self, entries: int) -> BackendRecord | None:
        """Return the server for a call that fits nowhere, where this one of `entries` may send it.

        It is one of those that were checked; its memory is exceeded by at most `MAX_EXCESS`.
        """
        if self._exceeding is None or not self._memory.is_below_share(self._service, entries):
            return None
        self._memory.lacked_room = False
        return self._exceeding


class EngineMemory:
    """Memory held by running calls at the engines of the services that have a limit.

    Without limits nothing is counted and every server has room. `without_room` counts the calls
    that have waited for memory.
    """

    __slots__ = (
        "_full",
        "_held_by_call",
        "_ledger_by_server",
        "_memory_by_service",
        "_others",
        "_servers_by_service",
        "_tokens_by_service",
        "lacked_room",
        "without_room",
    )

    def __init__(self, others: OtherLoads) -> None:
        self._others = others
        self._memory_by_service: dict[str, int] = {}
        self._servers_by_service: dict[str, int] = {}
        self._ledger_by_server: dict[str, MemoryLedger] = {}
        self._held_by_call: dict[str, tuple[MemoryLedger, CallMemory]] = {}
        # Held by this entry. Summed over all servers at each choice, it would cost more than that.
        self._tokens_by_service: dict[str, int] = {}
        # Memory of the servers that were reported as full.
        self._full: dict[str, int] = {}
        # Whether the latest choice left out a server that lacked room.
        self.lacked_room = False
        self.without_room = 0

    def set_limits(self, memory_by_service: dict[str, int]) -> None:
        """Replace the tokens that an engine of each service holds; 0 means no limit."""
        self._memory_by_service = {one: limit for one, limit in memory_by_service.items() if limit}

    def set_servers(self, records: list[BackendRecord]) -> None:
        """Replace the known servers; one that has restarted under its id holds nothing."""
        self._servers_by_service = {}
        known = set()
        for record in records:
            if record.gone:
                continue
            known.add(record.server_id)
            count = self._servers_by_service.get(record.service, 0)
            self._servers_by_service[record.service] = count + 1
            ledger = self._ledger_by_server.get(record.server_id)
            if ledger is not None and ledger.born_ms != record.born_ms:
                self._forget(record.server_id)
        for server_id in self._ledger_by_server.keys() - known:
            if not self._ledger_by_server[server_id].calls:
                self._forget(server_id)

    def has_limit(self, service: str) -> bool:
        """Return whether the memory of a service's engines is counted."""
        return service in self._memory_by_service

    def limit_exceeded(self, service: str, prompt: int) -> int | None:
        """Return the memory of a service's engines if none of them can ever hold the prompt.

        An engine needs room for one more token than the prompt.
        """
        limit = self._memory_by_service.get(service)
        return limit if limit is not None and prompt >= limit else None

    def room_for(self, requirements: CallRequirements) -> RoomCheck | None:
        """Return the check of one choice; None where the call's memory is not counted."""
        self.lacked_room = False
        limit = self._memory_by_service.get(requirements.service)
        if limit is None or not requirements.memory_tokens:
            return None
        return RoomCheck(self, memory_of(requirements), requirements.service, limit)

    def started(self, call_id: str, record: BackendRecord, requirements: CallRequirements) -> None:
        """Record that a call was sent to a server."""
        if not requirements.memory_tokens or record.service not in self._memory_by_service:
            return
        self.ended(call_id)
        server_id = record.server_id
        ledger = self._ledger_by_server.get(server_id)
        if ledger is None:
            ledger = MemoryLedger(record.service, record.born_ms)
            self._ledger_by_server[server_id] = ledger
        memory = memory_of(requirements)
        self._add_to_service(ledger.service, ledger.add(memory))
        self._held_by_call[call_id] = (ledger, memory)

    def ended(self, call_id: str) -> None:
        """Record that a call has left its server, however it ended; a repetition does nothing."""
        held = self._held_by_call.pop(call_id, None)
        if held is None:
            return
        ledger, memory = held
        freed = ledger.subtract(memory)
        if ledger.current:
            self._add_to_service(ledger.service, -freed)

    def held(self, server_id: str) -> int:
        """Return the tokens that all entries' calls hold at a server."""
        return self._own(server_id) + self._others.detail().tokens_by_server.get(server_id, 0)

    def own_tokens(self) -> int:
        """Return the tokens that this entry's calls hold at all servers."""
        return sum(self._tokens_by_service.values())

    def fullest_share(self) -> float:
        """Return the largest share of its memory that is held at a server with own calls."""
        shares = [
            self.held(server_id) / self._memory_by_service[ledger.service]
            for server_id, ledger in self._ledger_by_server.items()
            if ledger.calls and ledger.service in self._memory_by_service
        ]
        return max(shares, default=0.0)

    def report_load(self, detail: LoadDetail, now: float) -> None:  # noqa: ARG002 - no ageing here
        """Add what this entry's calls hold to the tables for the other entries."""
        for server_id, ledger in self._ledger_by_server.items():
            if ledger.calls:
                running = ledger.calls + self._others.running(server_id)
                detail.tokens_by_server[server_id] = ledger.share(running)

    def changes(self) -> list[MemoryChange]:
        """Return the servers that became full or have room again since the last call.

        Only servers where this entry has calls become full for it.
        """
        changes = []
        for server_id, memory in list(self._full.items()):
            held = self.held(server_id)
            if held < ROOM_SHARE * memory:
                del self._full[server_id]
                changes.append(MemoryChange(server_id, False, held, memory))
        for server_id, ledger in self._ledger_by_server.items():
            memory = self._memory_by_service.get(ledger.service, 0)
            if not ledger.calls or not memory or server_id in self._full:
                continue
            held = self.held(server_id)
            if held >= FULL_SHARE * memory:
                self._full[server_id] = memory
                changes.append(MemoryChange(server_id, True, held, memory))
        return changes

    def _own(self, server_id: str) -> int:
        ledger = self._ledger_by_server.get(server_id)
        return ledger.tokens if ledger is not None else 0

    def expected(self, record: BackendRecord, memory: CallMemory) -> float:
        """Return the tokens held at a server with one more call; 0 if nothing is held there."""
        elsewhere = self._others.detail().tokens_by_server.get(record.server_id, 0)
        ledger = self._ledger_by_server.get(record.server_id)
        own = ledger.tokens if ledger is not None else 0
        if not own and not elsewhere:
            return 0.0
        calls = 1 + self._others.running(record.server_id)
        added = memory.tokens
        if ledger is not None:
            calls += ledger.calls
            added = ledger.added_by(memory)
        elif memory.shared is not None:
            added += memory.shared.tokens
        held = own + elsewhere + added
        return held if calls <= record.slots else held * max(1, record.slots) / calls

    def is_filled_by_others(self, server_id: str) -> bool:
        """Return whether the other entries hold more at a server than this one."""
        elsewhere = self._others.detail().tokens_by_server.get(server_id, 0)
        return elsewhere > self._own(server_id)

    def is_below_share(self, service: str, entries: int) -> bool:
        """Return whether this one of `entries` holds less than its share of a service's memory."""
        own = self._tokens_by_service.get(service, 0)
        total = self._memory_by_service[service] * self._servers_by_service.get(service, 0)
        return own * entries < total

    def _add_to_service(self, service: str, tokens: int) -> None:
        self._tokens_by_service[service] = self._tokens_by_service.get(service, 0) + tokens

    def _forget(self, server_id: str) -> None:
        ledger = self._ledger_by_server.pop(server_id)
        ledger.current = False
        self._add_to_service(ledger.service, -ledger.tokens)
