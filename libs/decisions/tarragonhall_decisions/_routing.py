"""Chooses the backend server that runs a call.

Load patterns and the design rule that answers each:
- A hot program or prefix: sent only to the server that holds it, calls queue there; sent elsewhere,
  each recomputes the whole history. The cost of recomputing is weighed against the wait.
- Many entries with the same lagging reports would all choose the same idle server at once. Two
  random choices, judged by open calls and the report, spread them.
- A slow server: see `_server_state`; its share shrinks gradually, and it is still probed.
- Availability zones: a server in the entry's own zone wins among equals.
- Running programs keep the rest of each window beyond `NEW_PROGRAM_SHARE` free of new ones.

The weights compare expected seconds until the answer: wait + recomputing + run time + round trip.
"""

from __future__ import annotations

import random
import statistics
from collections import OrderedDict
from dataclasses import dataclass

from tarragonhall_model import LoadReport, ServerRecord, fingerprint

from tarragonhall_decisions._server_state import ServerState

# Assumed seconds that a server takes to read a prompt token, the same for all servers.
PREFILL_S_PER_TOKEN = 1e-4
# Seconds of a round trip to another availability zone: half a millisecond each way, doubled, since
# both the dispatch and the answer cross.
ZONE_ROUND_TRIP_S = 0.002
# Share of a server's window that new programs may fill; the rest is kept for running programs.
NEW_PROGRAM_SHARE = 0.9
# Multiple of the window up to which calls may be sent to the server that holds their program's
# prefix. Those beyond the window queue there, where that is cheaper than recomputing.
MAX_AFFINITY_WINDOWS = 2.0
# Seconds between two updates of the weights.
ADAPT_INTERVAL_S = 0.25
# Limit on the programs whose server is remembered.
MAX_REMEMBERED_PROGRAMS = 20_000
# Servers to which one entry keeps links. With 360 entries and 3,700 servers, each server is linked
# from about ten entries, and two random choices among 100 are as good as among all.
SUBSET_SIZE = 100
# Servers drawn at random and compared.
RANDOM_CHOICES = 2


@dataclass(slots=True, frozen=True)
class RoutingRequest:
    """What a call needs.

    `prompt_tokens` counts its history and prompt, `units` the work expected of it (generated
    tokens; 1 for a service). `avoid` names servers that must not get it.
    """

    target: str
    program_id: str
    prompt_tokens: int = 0
    units: float = 1.0
    started: bool = False
    prefix_server: str | None = None
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class RouteChoice:
    """The chosen server, the seconds the call should take there, and whether it has the prefix."""

    server: ServerRecord
    expected_s: float
    holds_prefix: bool


class Router:
    """The servers that one entry may send calls to."""

    def __init__(self, availability_zone: str, rng: random.Random) -> None:
        self._zone = availability_zone
        self._rng = rng
        self._state_by_id: dict[str, ServerState] = {}
        self._ids_by_target: dict[str, list[str]] = {}
        self._server_by_program: OrderedDict[str, str] = OrderedDict()
        self._adapted_at: dict[str, float] = {}
        self._median_unit_s: dict[str, float] = {}

    def on_view(self, servers: list[ServerRecord]) -> None:
        """Replace the servers by those of a view (or of this entry's subset of it)."""
        state_by_id: dict[str, ServerState] = {}
        for record in servers:
            previous = self._state_by_id.get(record.server_id)
            if previous is None or previous.record.incarnation != record.incarnation:
                state_by_id[record.server_id] = ServerState(
                    record, window=float(max(1, record.slots))
                )
                continue
            previous.record = record
            state_by_id[record.server_id] = previous
        self._state_by_id = state_by_id
        self._ids_by_target = {}
        for record in servers:
            for target in record.serves:
                self._ids_by_target.setdefault(target, []).append(record.server_id)

    def on_load_report(self, report: LoadReport) -> None:
        """Store a server's load report."""
        state = self._state_by_id.get(report.server_id)
        if state is not None:
            state.on_report(report)

    def on_link(self, server_id: str, up: bool) -> None:
        """Record that the link to a server's sidecar came up or went down."""
        state = self._state_by_id.get(server_id)
        if state is not None:
            state.linked = up

    def serves(self, target: str) -> bool:
        """Return whether any usable server has the target, however busy it is."""
        return any(state.usable() for state in self._states(target))

    def has_room(self, target: str) -> bool:
        """Return whether a call to the target could be sent now."""
        return any(state.usable() and state.has_room() for state in self._states(target))

    def choose(self, request: RoutingRequest, now: float) -> RouteChoice | None:
        """Choose a server; None while the call should wait in the queue."""
        self._adapt(request.target, now)
        usable = [
            state
            for state in self._states(request.target)
            if state.usable() and state.record.server_id not in request.avoid
        ]
        holders = [state for state in usable if self._holds(state, request)]
        share = 1.0 if request.started else NEW_PROGRAM_SHARE
        open_states = [state for state in usable if state.has_room(share)]
        candidates = self._sample(open_states)
        for state in holders:
            if state not in candidates and state.has_room(MAX_AFFINITY_WINDOWS):
                candidates.append(state)
        if not candidates:
            return None
        best = min(candidates, key=lambda state: self._cost(state, request))
        if not holders and candidates[0].weight < 1.0:
            # A slow server always costs more than the other choice; without these few calls its
            # recovery would go unnoticed and its capacity would be lost.
            best = candidates[0]
        return RouteChoice(best.record, self._cost(best, request), best in holders)

    def on_start(
        self, server_id: str, attempt_key: str, request: RoutingRequest, now: float
    ) -> None:
        """Record that an attempt was dispatched."""
        state = self._state_by_id.get(server_id)
        if state is not None:
            state.on_start(attempt_key, request.units, now)
        self._server_by_program[request.program_id] = server_id
        self._server_by_program.move_to_end(request.program_id)
        if len(self._server_by_program) > MAX_REMEMBERED_PROGRAMS:
            self._server_by_program.popitem(last=False)

    def on_end(
        self, server_id: str, attempt_key: str, units: float, answered: bool, now: float
    ) -> None:
        """Record that an attempt ended; `units` is its actual work."""
        state = self._state_by_id.get(server_id)
        if state is not None:
            state.on_end(attempt_key, units, answered, now)

    def on_slot_unused(self, server_id: str, attempt_key: str) -> None:
        """Record that an attempt was not sent after all; the server's speed stays unchanged."""
        state = self._state_by_id.get(server_id)
        if state is not None and state.open_by_key.pop(attempt_key, None) is not None:
            state.changes_since_report -= 1

    def forget_program(self, program_id: str) -> str | None:
        """Forget the server of a program that ended, and return it."""
        return self._server_by_program.pop(program_id, None)

    def _states(self, target: str) -> list[ServerState]:
        return [self._state_by_id[i] for i in self._ids_by_target.get(target, ())]

    def _holds(self, state: ServerState, request: RoutingRequest) -> bool:
        server_id = state.record.server_id
        if request.program_id in state.held_programs:
            return True
        known = self._server_by_program.get(request.program_id, request.prefix_server)
        return request.prompt_tokens > 0 and known == server_id

    def _sample(self, states: list[ServerState]) -> list[ServerState]:
        """Return two different states at random by weight, from the own zone where it has two."""
        local = [state for state in states if state.record.availability_zone == self._zone]
        pool = list(local if len(local) >= RANDOM_CHOICES else states)
        chosen: list[ServerState] = []
        while pool and len(chosen) < RANDOM_CHOICES:
            weights = [state.weight for state in pool]
            picked = self._rng.choices(range(len(pool)), weights)[0]
            chosen.append(pool.pop(picked))
        return chosen

    def _cost(self, state: ServerState, request: RoutingRequest) -> float:
        unit_s = state.unit_s or self._median_unit_s.get(request.target, 0.0)
        run_s = unit_s * request.units
        recompute_s = (
            0.0 if self._holds(state, request) else request.prompt_tokens * PREFILL_S_PER_TOKEN
        )
        round_trip_s = 0.0 if state.record.availability_zone == self._zone else ZONE_ROUND_TRIP_S
        return state.wait_s(run_s) + recompute_s + run_s + round_trip_s

    def _adapt(self, target: str, now: float) -> None:
        if now - self._adapted_at.get(target, float("-inf")) < ADAPT_INTERVAL_S:
            return
        self._adapted_at[target] = now
        states = self._states(target)
        known = [state.unit_s for state in states if state.unit_s is not None]
        if not known:
            return
        median_s = statistics.median(known)
        self._median_unit_s[target] = median_s
        for state in states:
            state.adapt_weight(median_s, now)


def subset(entry_id: str, entry_ids: list[str], servers: list[ServerRecord]) -> list[ServerRecord]:
    """Return the servers that an entry links to: all while they are few, else an even share.

    The servers are shuffled, the same way everywhere, once for each round of entries, and each
    entry of a round takes its slice. Random subsets would leave some servers with few entries and
    others with many.
    """
    if len(servers) <= SUBSET_SIZE or entry_id not in entry_ids:
        return list(servers)
    slices = len(servers) // SUBSET_SIZE
    index = sorted(entry_ids).index(entry_id)
    round_index, offset = divmod(index, slices)
    order = sorted(servers, key=lambda server: fingerprint(str(round_index), server.server_id))
    return order[offset::slices]
