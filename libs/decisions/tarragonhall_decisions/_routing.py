"""Routing: which backend server runs a call.

Load patterns and what happens without an answer to them:
- A hot program or a hot prefix: always the server that holds it builds a queue there; never that
  server recomputes the whole history. The cost of recomputing is weighed against the wait.
- Many entries with the same lagging reports all choose the same idle server at once. Two random
  choices, judged by own open calls and the report, spread them.
- A slow server: see `_server_state`; its share shrinks gradually and it goes on being probed.
- Availability zones: a server in the entry's own zone wins among equals.
- Programs under way have `NEW_PROGRAM_SHARE` of each window to themselves against new programs.

The weights compare expected seconds until the answer: wait + recomputing + run time + way.
"""

from __future__ import annotations

import random
import statistics
from collections import OrderedDict
from dataclasses import dataclass

from tarragonhall_model import LoadReport, ServerRecord, fingerprint

from tarragonhall_decisions._server_state import ServerState

# Seconds that a server is taken to read a token of a prompt.
PREFILL_S_PER_TOKEN = 1e-4
# Seconds for the way to another availability zone and back.
ZONE_WAY_S = 0.002
# Share of a server's window that new programs may fill.
NEW_PROGRAM_SHARE = 0.9
# Windows that a program may queue behind the server that holds its prefix.
AFFINITY_OVERDRAFT = 2.0
# Seconds between two changes of a window.
ADAPT_EVERY_S = 0.25
# Bound on the programs whose server is remembered.
REMEMBERED_PROGRAMS = 20_000
# Servers to which one entry keeps links.
SUBSET_SIZE = 100
# Servers drawn at random and compared.
RANDOM_CHOICES = 2


@dataclass(slots=True, frozen=True)
class Need:
    """What a call needs. `prompt_tokens` is its history and prompt, `units` the work expected of it
    (generated tokens; 1 for a service). `avoid` names servers that must not get it.
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
    """The server chosen, how long the call should take there, and whether it has the prefix."""

    server: ServerRecord
    expected_s: float
    holds_prefix: bool


class Router:
    """The servers that one entry may send work to."""

    def __init__(self, availability_zone: str, rng: random.Random) -> None:
        self._zone = availability_zone
        self._rng = rng
        self._state_by_id: dict[str, ServerState] = {}
        self._ids_by_target: dict[str, list[str]] = {}
        self._server_by_program: OrderedDict[str, str] = OrderedDict()
        self._adapted_at: dict[str, float] = {}
        self._usual_unit_s: dict[str, float] = {}

    def on_view(self, servers: list[ServerRecord]) -> None:
        """Take over the servers of a view (or of this entry's subset of it)."""
        kept: dict[str, ServerState] = {}
        for record in servers:
            old = self._state_by_id.get(record.server_id)
            if old is None or old.record.incarnation != record.incarnation:
                kept[record.server_id] = ServerState(record, window=float(max(1, record.slots)))
                continue
            old.record = record
            kept[record.server_id] = old
        self._state_by_id = kept
        self._ids_by_target = {}
        for record in servers:
            for target in record.serves:
                self._ids_by_target.setdefault(target, []).append(record.server_id)

    def on_load_report(self, report: LoadReport) -> None:
        """Take over a server's report."""
        state = self._state_by_id.get(report.server_id)
        if state is not None:
            state.on_report(report)

    def on_link(self, server_id: str, up: bool) -> None:
        """Note that the link to a server's sidecar came up or went down."""
        state = self._state_by_id.get(server_id)
        if state is not None:
            state.linked = up

    def serves(self, target: str) -> bool:
        """Return whether any usable server has the target, however busy it is."""
        return any(state.usable() for state in self._states(target))

    def has_room(self, target: str) -> bool:
        """Return whether a call to the target could be sent now."""
        return any(state.usable() and state.has_room() for state in self._states(target))

    def choose(self, need: Need, now: float) -> RouteChoice | None:
        """Choose a server, or none while the call should rather wait in the queue."""
        self._adapt(need.target, now)
        usable = [
            state
            for state in self._states(need.target)
            if state.usable() and state.record.server_id not in need.avoid
        ]
        holders = [state for state in usable if self._holds(state, need)]
        share = 1.0 if need.started else NEW_PROGRAM_SHARE
        open_states = [state for state in usable if state.has_room(share)]
        candidates = self._sample(open_states)
        for state in holders:
            if state not in candidates and state.has_room(AFFINITY_OVERDRAFT):
                candidates.append(state)
        if not candidates:
            return None
        best = min(candidates, key=lambda state: self._cost(state, need))
        if not holders and candidates[0].weight < 1.0:
            # A server on probation always looks dearer than the other choice; without these few
            # calls nothing would be learnt of it any more, and its capacity would be lost.
            best = candidates[0]
        return RouteChoice(best.record, self._cost(best, need), best in holders)

    def on_start(self, server_id: str, attempt_key: str, need: Need, now: float) -> None:
        """Note that an attempt was dispatched."""
        state = self._state_by_id.get(server_id)
        if state is not None:
            state.on_start(attempt_key, need.units, now)
        self._server_by_program[need.program_id] = server_id
        self._server_by_program.move_to_end(need.program_id)
        if len(self._server_by_program) > REMEMBERED_PROGRAMS:
            self._server_by_program.popitem(last=False)

    def on_end(
        self, server_id: str, attempt_key: str, units: float, answered: bool, now: float
    ) -> None:
        """Note that an attempt ended; `units` is the work that it was."""
        state = self._state_by_id.get(server_id)
        if state is not None:
            state.on_end(attempt_key, units, answered, now)

    def on_unused(self, server_id: str, attempt_key: str) -> None:
        """Note that an attempt was not sent after all; nothing is learnt of the server."""
        state = self._state_by_id.get(server_id)
        if state is not None and state.open_by_key.pop(attempt_key, None) is not None:
            state.changes_since_report -= 1

    def forget_program(self, program_id: str) -> str | None:
        """Forget where a program that ended ran; return the server where it ran last."""
        return self._server_by_program.pop(program_id, None)

    def _states(self, target: str) -> list[ServerState]:
        return [self._state_by_id[i] for i in self._ids_by_target.get(target, ())]

    def _holds(self, state: ServerState, need: Need) -> bool:
        server_id = state.record.server_id
        if need.program_id in state.held:
            return True
        known = self._server_by_program.get(need.program_id, need.prefix_server)
        return need.prompt_tokens > 0 and known == server_id

    def _sample(self, states: list[ServerState]) -> list[ServerState]:
        """Return two different states at random by weight, from the own zone where it has two."""
        near = [state for state in states if state.record.availability_zone == self._zone]
        pool = list(near if len(near) >= RANDOM_CHOICES else states)
        chosen: list[ServerState] = []
        while pool and len(chosen) < RANDOM_CHOICES:
            weights = [state.weight for state in pool]
            picked = self._rng.choices(range(len(pool)), weights)[0]
            chosen.append(pool.pop(picked))
        return chosen

    def _cost(self, state: ServerState, need: Need) -> float:
        unit_s = state.unit_s or self._usual_unit_s.get(need.target, 0.0)
        run_s = unit_s * need.units
        recompute_s = 0.0 if self._holds(state, need) else need.prompt_tokens * PREFILL_S_PER_TOKEN
        way_s = 0.0 if state.record.availability_zone == self._zone else ZONE_WAY_S
        return state.wait_s(run_s) + recompute_s + run_s + way_s

    def _adapt(self, target: str, now: float) -> None:
        if now - self._adapted_at.get(target, float("-inf")) < ADAPT_EVERY_S:
            return
        self._adapted_at[target] = now
        states = self._states(target)
        known = [state.unit_s for state in states if state.unit_s is not None]
        if not known:
            return
        usual = statistics.median(known)
        self._usual_unit_s[target] = usual
        for state in states:
            state.adapt_weight(usual, now)


def subset(entry_id: str, entry_ids: list[str], servers: list[ServerRecord]) -> list[ServerRecord]:
    """Return the servers that an entry links to: all while they are few, else an even share.

    The servers are shuffled, the same way everywhere, once for each round of entries, and each
    entry of a round takes its slice. A random subset for each entry would leave some servers with
    few entries and others with many.
    """
    if len(servers) <= SUBSET_SIZE or entry_id not in entry_ids:
        return list(servers)
    slices = len(servers) // SUBSET_SIZE
    index = sorted(entry_ids).index(entry_id)
    turn, place = divmod(index, slices)
    order = sorted(servers, key=lambda server: fingerprint(str(turn), server.server_id))
    return order[place::slices]
