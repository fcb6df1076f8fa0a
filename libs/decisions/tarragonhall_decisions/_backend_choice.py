"""Which backend server runs a passed-on call.

Load patterns and what happens without an answer to them:
- Turns of one program, and programs on one subject, share the beginning of their prompts. Sent
  anywhere, an engine reads thousands of tokens again that another one holds, and takes that time
  from the other calls there.
- A hot subject: always the engine that holds it would build a queue there. What reading again costs
  is weighed against the wait.
- Many entries choose at once. Each tells the others twice a second what it has running, adds
  that to its own count, and among near equals chooses at random. Its own few calls taken for a
  sample of everybody's would move conversations between engines by chance.
- A server that fails or does not answer is avoided for a moment, growing with each failure in a
  row, and goes on being tried: it may be the only one, or be well again.
- Servers queue what they cannot run yet, in order of arrival. A call that lies there is out of
  reach of any other order. What all
  entries have there is kept to the places and a quarter more, so that the rest waits here, where
  ranks are known (`PlaceQueue`). An entry that has less than an equal share of the places may
  always send: what it knows of the others is half a second old.
- A server that has just started, or may have while it was out of reach, gets calls up to a bound
  over all entries (`ColdServers`).
- A server that refuses as full gets no more of this entry's calls than it runs (`ServerWindow`).
- An engine runs as many calls at once as it has places; the next one waits until one of them ends.
  What a place costs is learnt from how long calls run (`_service_pace`).
- A server or zone that takes calls and answers none is found by all entries together
  (`SilentServers`).
- A plain server that turned slow or hangs takes as many calls as the others and is late with each.
  It loses its share by how long its calls took. An engine that is slow shows in the calls that pile
  up there; judged by the pauses of its streams as well, engines lost calls by chance.
- Availability zones: every byte between zones is paid for, so a server in the entry's own zone wins
  among near equals. Where the zone has servers enough to lose one and go on, calls stay there
  unless the wait outweighs the bytes that they and the rest of their program would carry, and the
  zone's servers read shared beginnings for themselves.

All weights are expected milliseconds until the first byte of the answer.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from tarragonhall_model import BackendRecord, LoadElsewhere, ServerSigns, rendezvous

from tarragonhall_decisions._cold_servers import ColdServers
from tarragonhall_decisions._server_window import ServerWindow
from tarragonhall_decisions._service_pace import ServicePace
from tarragonhall_decisions._silent_servers import SilentServers

# Prompt tokens that an engine is taken to read in a millisecond.
PREFILL_TOKENS_PER_MS = 30.0
# What one more running call adds to the time of the others on an engine.
RUNNING_MS = 4.0
# What the way to another availability zone and back costs a call.
ZONE_MS = 15.0
# A zone with this many servers of a service keeps its own calls and shared beginnings.
HOME_SERVERS = 4
# Added for each 1,000 bytes that a call sends out of such a zone, up to `MOST_ZONE_MS`.
ZONE_MS_PER_KB = 3.0
MOST_ZONE_MS = 150.0
# How long a server is avoided after its first failure in a row; doubled with each further one.
AVOID_S = 0.2
MOST_AVOID_S = 3.0
# Added for a server that no control member hears, or that failed lately.
UNHEARD_MS = 400.0
# Added for a server that has just started and is slow, where no bound is known for it.
WARMUP_MS = 200.0
# Servers whose costs differ by no more are chosen among at random.
NEAR_MS = 3.0
# Share of a server's places up to which all entries together send it calls.
FILLED = 1.25
# Entries tell their load at least once in 0.8 s; one that has told nothing for this long is gone.
OTHERS_VALID_S = 1.5
# Stands for the other entries where only the sum of their loads is known.
ALL_OTHERS = ""
NO_SIGNS = ServerSigns()
# Parts of prompts whose holders are remembered; the one used longest ago is forgotten first.
REMEMBERED_PARTS = 20_000
HOLDERS_PER_PART = 4
# Servers of a service up to which a choice looks at each of them. Beyond, it looks at those that
# hold something of the prompt and at a sample of this many, three quarters from the own zone.
MOST_LOOKED_AT = 64


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt, in order; calls share parts."""

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class CallNeed:
    """What a call needs of a server.

    `parts` are empty for plain services; `object_key` names what the call is about, where servers
    that handled it lately are quicker. `last_server` ran the turn before; `avoid` must not get it.
    `zones` are where it may run, None for anywhere.
    `size` is how many bytes the call, and what will probably follow it there, carry to the server.
    """

    service: str
    parts: tuple[PromptPart, ...] = ()
    object_key: str = ""
    last_server: str = ""
    avoid: frozenset[str] = frozenset()
    size: int = 0
    zones: frozenset[str] | None = None

    def allows(self, record: BackendRecord) -> bool:
        """Return whether the call may go to a server."""
        if record.server_id in self.avoid:
            return False
        return self.zones is None or record.availability_zone in self.zones


@dataclass(slots=True)
class ServerLoad:
    """What this entry knows of one server from its own calls.

    `started_at` are the calls under way, oldest first.
    """

    started_at: list[float] = field(default_factory=list)
    failures: int = 0
    avoid_until: float = float("-inf")
    window: ServerWindow = field(default_factory=ServerWindow)
    service: str = ""

    @property
    def running(self) -> int:
        """Return how many calls of this entry are under way there."""
        return len(self.started_at)

    def oldest_s(self, now: float) -> float:
        """Return for how long the oldest call has been under way."""
        return now - self.started_at[0] if self.started_at else 0.0


@dataclass(slots=True, frozen=True)
class _OtherLoad:
    running_by_server: dict[str, int]
    signs: ServerSigns
    at: float
    entries: int = 1


class BackendChooser:
    """The servers of all services as one entry sees them. Times are monotonic seconds."""

    __slots__ = (
        "_elsewhere_by_server",
        "_evacuated_zones",
        "_first_by_key",
        "_holders_by_part",
        "_load_by_id",
        "_others_by_entry",
        "_near_by_service",
        "_pace_by_service",
        "_places_by_service",
        "_record_by_id",
        "_records",
        "_rng",
        "_running_by_service",
        "_servers_by_service",
        "_zone",
        "cold",
        "silent",
    )

    def __init__(
        self, availability_zone: str, rng: random.Random, cold: ColdServers | None = None
    ) -> None:
        self._zone = availability_zone
        self._rng = rng
        self.cold = cold or ColdServers("")
        self._records: list[BackendRecord] = []
        self._evacuated_zones: frozenset[str] = frozenset()
        self._others_by_entry: dict[str, _OtherLoad] = {}
        # Their sum, kept up: a choice would else look up each server in the load of each entry.
        self._elsewhere_by_server: Counter[str] = Counter()
        self._pace_by_service: dict[str, ServicePace] = {}
        self._servers_by_service: dict[str, list[BackendRecord]] = {}
        self._record_by_id: dict[str, BackendRecord] = {}
        self._places_by_service: dict[str, int] = {}
        # Calls of this entry under way; a sum over thousands of servers at each choice costs more
        # than the choice.
        self._running_by_service: Counter[str] = Counter()
        self._first_by_key: dict[tuple[str, str], str | None] = {}
        # The ids of the own zone's servers, where it has enough of them to keep its calls.
        self._near_by_service: dict[str, list[str]] = {}
        self._load_by_id: dict[str, ServerLoad] = {}
        self._holders_by_part: OrderedDict[str, list[str]] = OrderedDict()
        self.silent = SilentServers()

    def set_servers(self, records: list[BackendRecord], now: float) -> None:
        """Take over the servers as they announced themselves."""
        self._records = records
        self.silent.set_servers(records)
        for record in records:
            self.cold.learn(record, now)
        known = {record.server_id for record in records}
        self.cold.forget(known)
        for server_id in [one for one in self._load_by_id if one not in known]:
            if not self._load_by_id[server_id].running:
                del self._load_by_id[server_id]
        for pace in self._pace_by_service.values():
            pace.forget(known)
        self._arrange()

    def set_evacuated(self, zones: list[str], now: float) -> None:
        """Take over the availability zones whose servers get no calls.

        Servers of a zone that is none of them any more may have turned cold meanwhile.
        """
        returned = self._evacuated_zones - frozenset(zones)
        self._evacuated_zones = frozenset(zones)
        for record in self._records:
            if record.availability_zone in returned:
                self.cold.doubt(record.server_id, now)
        self._arrange()

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has servers, all of them in evacuated zones."""
        if not self._evacuated_zones:
            return False
        known = [record for record in self._records if record.service == service]
        return bool(known) and all(
            record.availability_zone in self._evacuated_zones for record in known
        )

    def _arrange(self) -> None:
        """Sort out which servers may get calls, and which zones keep theirs."""
        self._servers_by_service = {}
        for record in self._records:
            if record.gone or record.draining:
                continue
            if record.availability_zone in self._evacuated_zones:
                continue
            self._servers_by_service.setdefault(record.service, []).append(record)
        self._record_by_id = {
            one.server_id: one for servers in self._servers_by_service.values() for one in servers
        }
        self._first_by_key.clear()
        self._near_by_service = {}
        self._places_by_service = {}
        for service, servers in self._servers_by_service.items():
            self._places_by_service[service] = sum(max(1, one.slots) for one in servers)
            near = [one.server_id for one in servers if one.availability_zone == self._zone]
            if len(near) >= HOME_SERVERS:
                self._near_by_service[service] = near

    def servers(self, service: str) -> list[BackendRecord]:
        """Return the servers of a service that may get work."""
        return self._servers_by_service.get(service, [])

    def pace(self, service: str) -> ServicePace:
        """Return what was learnt of a service's run times; whoever ends a call adds to it."""
        pace = self._pace_by_service.get(service)
        if pace is None:
            pace = self._pace_by_service[service] = ServicePace()
        return pace

    def load(self, server_id: str) -> ServerLoad:
        """Return what is known of a server."""
        load = self._load_by_id.get(server_id)
        if load is None:
            load = self._load_by_id[server_id] = ServerLoad()
        return load

    def on_entry_load(
        self,
        entry_id: str,
        running_by_server: dict[str, int],
        now: float,
        signs: ServerSigns = NO_SIGNS,
    ) -> None:
        """Take over what another entry has running."""
        self._take_load(entry_id, _OtherLoad(running_by_server, signs, now))

    def on_load_elsewhere(self, message: LoadElsewhere, now: float) -> None:
        """Take over what all other entries together have running; an earlier sum is void."""
        for entry_id in list(self._others_by_entry):
            self._forget_entry(entry_id)
        load = _OtherLoad(message.running_by_server, message.signs, now, message.entries)
        self._take_load(ALL_OTHERS, load)

    def own_load(self) -> dict[str, int]:
        """Return what this entry has running, for the others."""
        return {one: load.running for one, load in self._load_by_id.items() if load.running}

    def own_signs(self, now: float) -> ServerSigns:
        """Return what this entry's calls show of servers besides their number, for the others."""
        return ServerSigns(*self.silent.own_signs(now))

    def choose(self, need: CallNeed, now: float) -> BackendRecord | None:
        """Return the server with room that has the lowest cost; None where there is none."""
        self._forget_expired_loads(now)
        best: list[BackendRecord] = []
        lowest = float("inf")
        first = self._first_choice(need)
        below_share = self._is_below_share(need.service)
        silence_ms = self.silent.costs(now)
        for record in self._candidates(need, first):
            if not need.allows(record) or not self._is_open(record, below_share, now):
                continue
            cost = self._cost_ms(record, need, first, now) + silence_ms.get(record.server_id, 0.0)
            if cost < lowest - NEAR_MS:
                best = []
            if cost <= lowest + NEAR_MS:
                best.append(record)
            lowest = min(lowest, cost)
        return self._rng.choice(best) if best else None

    def started(self, server_id: str, now: float) -> None:
        """Note that a call was sent to a server."""
        load = self.load(server_id)
        record = self._record_by_id.get(server_id)
        if record is not None:
            load.service = record.service
        load.started_at.append(now)
        self._running_by_service[load.service] += 1
        self.cold.started(server_id, now)

    def ended(self, server_id: str, started_at: float) -> None:
        """Note that the call that was sent at `started_at` has left a server, however it ended."""
        load = self.load(server_id)
        if started_at in load.started_at:
            load.started_at.remove(started_at)
            self._running_by_service[load.service] -= 1

    def answered(self, server_id: str, need: CallNeed) -> None:
        """Note that a server answered: it works, and it holds what it has read."""
        load = self.load(server_id)
        load.failures = 0
        load.avoid_until = float("-inf")
        load.window.answered()
        for part in need.parts:
            holders = self._holders_by_part.setdefault(part.part_id, [])
            if server_id in holders:
                holders.remove(server_id)
            holders.insert(0, server_id)
            del holders[HOLDERS_PER_PART:]
            self._holders_by_part.move_to_end(part.part_id)
        while len(self._holders_by_part) > REMEMBERED_PARTS:
            self._holders_by_part.popitem(last=False)

    def refused(self, server_id: str, now: float) -> None:
        """Note that a server was full for a call that is still counted as under way there."""
        load = self.load(server_id)
        load.window.refused(load.running - 1, now)

    def failed(self, server_id: str, now: float) -> None:
        """Note that a server could not be reached or broke off."""
        load = self.load(server_id)
        load.failures += 1
        pause_s = min(MOST_AVOID_S, AVOID_S * 2 ** (load.failures - 1))
        load.avoid_until = now + pause_s
        self.cold.doubt(server_id, now)

    def _is_open(self, record: BackendRecord, below_share: bool, now: float) -> bool:
        """Return whether a server is expected to start one more call of this entry soon."""
        load = self.load(record.server_id)
        if not load.window.has_room(load.running, now) or not self.cold.has_room(record, now):
            return False
        running = load.running + self._elsewhere_by_server[record.server_id]
        return below_share or running < FILLED * max(1, record.slots)

    def _is_below_share(self, service: str) -> bool:
        """Return whether this entry has less than an equal share of the places of a service."""
        own = self._running_by_service[service]
        others = sum(other.entries for other in self._others_by_entry.values())
        return own * (1 + others) < self._places_by_service.get(service, 0)

    def _cost_ms(
        self, record: BackendRecord, need: CallNeed, first: str | None, now: float
    ) -> float:
        load = self.load(record.server_id)
        pace = self.pace(need.service)
        cost = 0.0 if record.availability_zone == self._zone else self._way_ms(need)
        running = load.running + self._elsewhere_by_server[record.server_id]
        cost += self._place_ms(running, record.slots, pace.run_ms)
        if need.parts:
            cost += self._missing_tokens(record.server_id, need, first) / PREFILL_TOKENS_PER_MS
        else:
            slowness = pace.slowness(record.server_id, load.oldest_s(now), now)
            cost += pace.run_ms * (slowness - 1.0)
            if need.object_key and first != record.server_id:
                cost += pace.run_ms / 4
        if not record.heard:
            cost += UNHEARD_MS
        if not self.cold.is_bounded(record) and self.cold.is_cold(record, now):
            cost += WARMUP_MS
        if now < load.avoid_until:
            cost += 1000.0 * (load.avoid_until - now) + UNHEARD_MS
        return cost

    def _way_ms(self, need: CallNeed) -> float:
        """Return what it costs to send a call to another zone."""
        if need.service not in self._near_by_service:
            return ZONE_MS
        return min(MOST_ZONE_MS, ZONE_MS + ZONE_MS_PER_KB * need.size / 1000)

    @staticmethod
    def _place_ms(running: int, slots: int, run_ms: float) -> float:
        """Return what a call waits for a place, and what the calls that run add to its time."""
        slots = max(1, slots)
        waiting = max(0, running - slots + 1)
        return RUNNING_MS * running + run_ms * waiting / slots

    def _take_load(self, entry_id: str, load: _OtherLoad) -> None:
        self._forget_entry(entry_id)
        self._others_by_entry[entry_id] = load
        self._elsewhere_by_server.update(load.running_by_server)
        self._tell_silence()

    def _forget_expired_loads(self, now: float) -> None:
        """Forget the loads of entries that have told nothing since."""
        expired = [
            entry_id
            for entry_id, other in self._others_by_entry.items()
            if now - other.at > OTHERS_VALID_S
        ]
        for entry_id in expired:
            self._forget_entry(entry_id)
        if expired:
            self._tell_silence()

    def _tell_silence(self) -> None:
        silent: Counter[str] = Counter()
        answered: Counter[str] = Counter()
        for other in self._others_by_entry.values():
            silent.update(other.signs.silent_by_server)
            answered.update(other.signs.answered_by_server)
        self.silent.on_elsewhere(silent, answered)

    def _forget_entry(self, entry_id: str) -> None:
        other = self._others_by_entry.pop(entry_id, None)
        if other is None:
            return
        self._elsewhere_by_server.subtract(other.running_by_server)
        for server_id in other.running_by_server:
            if not self._elsewhere_by_server[server_id]:
                del self._elsewhere_by_server[server_id]

    def _missing_tokens(self, server_id: str, need: CallNeed, first: str | None) -> int:
        """Return the tokens that the server would have to read: all from the first missing part."""
        total = sum(part.tokens for part in need.parts)
        if server_id == need.last_server:
            # It ran the turn before; only what is new is missing.
            return need.parts[-1].tokens
        held = 0
        for part in need.parts:
            if not self._holds(server_id, part, need, first):
                break
            held += part.tokens
        return total - held

    def _holds(self, server_id: str, part: PromptPart, need: CallNeed, first: str | None) -> bool:
        holders = self._holders_by_part.get(part.part_id)
        if holders is not None and server_id in holders:
            return True
        # Nothing is known here; entries that know as little choose the same server by the hash.
        return part is need.parts[0] and first == server_id

    def _first_choice(self, need: CallNeed) -> str | None:
        """Return the server that entries choose by the hash, where nothing else speaks for one."""
        near = self._near_by_service.get(need.service)
        known = not need.parts or self._is_held(need.parts[0], near)
        if known and not need.object_key:
            return None
        key = need.object_key or need.parts[0].part_id
        known_first = self._first_by_key.get((need.service, key), "")
        if known_first != "":
            return known_first
        if near is None:
            near = [record.server_id for record in self.servers(need.service)]
        if len(self._first_by_key) >= REMEMBERED_PARTS:
            self._first_by_key.clear()
        first_id = self._first_by_key[need.service, key] = rendezvous(key, near)
        return first_id

    def _candidates(self, need: CallNeed, first: str | None) -> list[BackendRecord]:
        """Return the servers that a choice looks at: all, or of many those worth it."""
        servers = self.servers(need.service)
        if len(servers) <= MOST_LOOKED_AT:
            return servers
        ids = {need.last_server, first or ""}
        for part in need.parts:
            ids.update(self._holders_by_part.get(part.part_id, ()))
        near = self._near_by_service.get(need.service, ())
        ids.update(self._rng.sample(near, min(len(near), MOST_LOOKED_AT * 3 // 4)))
        found = {server_id: self._record_by_id.get(server_id) for server_id in ids}
        for record in self._rng.sample(servers, MOST_LOOKED_AT):
            if len(found) >= MOST_LOOKED_AT:
                break
            found[record.server_id] = record
        return [one for one in found.values() if one is not None and one.service == need.service]

    def _is_held(self, part: PromptPart, near: list[str] | None) -> bool:
        """Return whether a server holds a part; where the zone keeps its calls, one of `near`."""
        holders = self._holders_by_part.get(part.part_id)
        if holders is None or near is None:
            return holders is not None
        return any(server_id in near for server_id in holders)
