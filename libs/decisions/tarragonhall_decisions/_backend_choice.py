"""Chooses the backend server for a relayed call.

An engine is a backend server that runs a model; a plain server runs any other service.

Load patterns and the design rule that answers each:
- Turns of one program, and programs on one subject, share a prompt prefix. On any other engine
  thousands of tokens would be read again, at the cost of the other calls there, so calls prefer the
  engines that hold their prefix.
- A hot subject would build a queue at the engine that holds it. The cost of reading the prefix
  again is weighed against the wait.
- Many entries choose at once. Each sends the others its running calls twice a second, adds theirs
  to its own count and chooses at random among near ties. By its own few calls alone, an entry
  would move conversations between engines by chance.
- A server that fails or does not answer is avoided for a short time, which grows with each failure
  in a row, and then tried again: it may be the only one, or have recovered.
- Servers queue calls beyond their slots in order of arrival, where no priority reaches them. The
  calls of all entries are therefore kept to `OVERCOMMIT` times the slots, and the rest waits in the
  entry's `ServiceQueue`, which knows their priorities. An entry below its equal share of the slots
  may always send, since its count of the other entries' calls is half a second old.
- A server that has just started, or may have while unreachable, gets calls up to a limit over all
  entries (`ColdServers`).
- A server that refuses a call as full gets no more of this entry's calls than it runs
  (`ServerWindow`).
- An engine runs one call per slot; the next call waits until one ends. What a slot costs is learnt
  from run times (`ServiceRunTimes`).
- An unresponsive server or zone is detected by all entries together (`UnresponsiveServers`).
- A slow or hung plain server takes as many calls as the others and delays each. Its share falls
  as its calls take longer. A slow engine is avoided only for the calls that pile up there: when
  pauses in streams counted as well, engines lost calls by chance.
- Availability zones: traffic between zones is paid for, so servers in the entry's zone win near
  ties. A zone with enough servers to lose one keeps its calls, unless the wait there costs more
  than sending the bytes of the rest of the program to another zone. The servers of such a zone read
  shared prefixes themselves, even if servers of other zones hold them.

All weights are expected milliseconds until the first byte of the answer.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from tarragonhall_model import BackendRecord, LoadElsewhere, ServerSigns, rendezvous

from tarragonhall_decisions._cold_servers import ColdServers
from tarragonhall_decisions._server_window import ServerWindow
from tarragonhall_decisions._service_run_times import ServiceRunTimes
from tarragonhall_decisions._unresponsive_servers import UnresponsiveServers

# Prompt tokens that an engine reads in a millisecond: the slowest rate that engines publish, so
# that a long prompt is not read twice for a small gain.
PREFILL_TOKENS_PER_MS = 30.0
# Delay that each running call adds to the others on an engine of 12 to 96 slots: its prompt is read
# between their steps, and each step takes longer. A share of the run time per slot would be too
# much with 12 slots and too little with 96.
RUNNING_MS = 4.0
# Cost of a call to another availability zone: the round trip and the price of the bytes, together
# about as much as reading 500 prompt tokens again.
ZONE_MS = 15.0
# A zone with at least this many servers of a service can lose one, so it keeps its own calls and
# shared prefixes.
MIN_LOCAL_SERVERS = 4
# Added for each 1,000 bytes that a call sends out of such a zone, up to `MAX_ZONE_MS`.
ZONE_MS_PER_KB = 3.0
MAX_ZONE_MS = 150.0
# Seconds for which a server is avoided after its first failure in a row, a fraction of a heartbeat
# interval; doubled with each further failure up to `MAX_AVOID_S`, by when a crashed server has
# restarted.
AVOID_S = 0.2
MAX_AVOID_S = 3.0
# Added for a server that no control member can reach, or that failed recently.
UNREACHABLE_MS = 400.0
# Added for a server that has just started and is slow, where it has no limit in `ColdServers`.
WARMUP_MS = 200.0
# Servers whose costs differ by no more are chosen among at random; less than `RUNNING_MS`, so that
# one running call still counts.
TIE_MS = 3.0
# Ratio of calls to slots up to which all entries together send a server calls. At 1, entries that
# know each other's load late leave slots idle and refuse calls; at 1.6, too many calls are late in
# the servers' queues.
OVERCOMMIT = 1.25
# Entries send their load at least once in 0.8 s; one that has sent none for this long has stopped.
OTHER_LOAD_VALID_S = 1.5
# Key of the load of all other entries, where only its sum is known.
ALL_OTHERS = ""
NO_SIGNS = ServerSigns()
# Prompt parts whose holders are remembered; the least recently used is dropped first. Also limits
# the cached results of the rendezvous hash.
MAX_REMEMBERED_PARTS = 20_000
MAX_HOLDERS_PER_PART = 4
# Servers of a service up to which a choice compares all. Beyond, it compares those that hold a part
# of the prompt and a sample, up to this many in all, three quarters from the entry's zone.
MAX_CANDIDATES = 64


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt, in order; calls may share parts."""

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class CallRequirements:
    """What a call needs of a server.

    `parts` are empty for plain services; `object_key` names the call's object: servers that handled
    it recently are faster. `last_server` ran the previous turn; servers in `avoid` must not get the
    call. `zones` are where it may run, None for anywhere. `size` is how many bytes the call and its
    expected successors carry to the server.
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

    `started_at` are the calls in flight, oldest first.
    """

    started_at: list[float] = field(default_factory=list)
    failures: int = 0
    avoid_until: float = float("-inf")
    window: ServerWindow = field(default_factory=ServerWindow)
    service: str = ""

    @property
    def running(self) -> int:
        """Return how many calls of this entry are in flight there."""
        return len(self.started_at)

    def oldest_call_s(self, now: float) -> float:
        """Return the age of the oldest call in flight, in seconds."""
        return now - self.started_at[0] if self.started_at else 0.0


@dataclass(slots=True, frozen=True)
class _OtherLoad:
    running_by_server: dict[str, int]
    signs: ServerSigns
    received_at: float
    entries: int = 1


class BackendChooser:
    """The servers of all services as one entry sees them; times are monotonic seconds."""

    __slots__ = (
        "_evacuated_zones",
        "_holders_by_part",
        "_load_by_id",
        "_local_ids_by_service",
        "_other_load_by_entry",
        "_others_running_by_server",
        "_preferred_by_key",
        "_record_by_id",
        "_records",
        "_rng",
        "_run_times_by_service",
        "_running_by_service",
        "_servers_by_service",
        "_slots_by_service",
        "_zone",
        "cold",
        "unresponsive",
    )

    def __init__(
        self, availability_zone: str, rng: random.Random, cold: ColdServers | None = None
    ) -> None:
        self._zone = availability_zone
        self._rng = rng
        self.cold = cold or ColdServers("")
        self._records: list[BackendRecord] = []
        self._evacuated_zones: frozenset[str] = frozenset()
        self._other_load_by_entry: dict[str, _OtherLoad] = {}
        # Running sum of all other loads; otherwise each choice would look up every server in the
        # load of every entry.
        self._others_running_by_server: Counter[str] = Counter()
        self._run_times_by_service: dict[str, ServiceRunTimes] = {}
        self._servers_by_service: dict[str, list[BackendRecord]] = {}
        self._record_by_id: dict[str, BackendRecord] = {}
        self._slots_by_service: dict[str, int] = {}
        # Calls of this entry in flight. Summed over thousands of servers at each choice, they would
        # cost more than the choice.
        self._running_by_service: Counter[str] = Counter()
        self._preferred_by_key: dict[tuple[str, str], str | None] = {}
        # Server ids of the own zone, only for services of which it has enough to keep its calls.
        self._local_ids_by_service: dict[str, list[str]] = {}
        self._load_by_id: dict[str, ServerLoad] = {}
        self._holders_by_part: OrderedDict[str, list[str]] = OrderedDict()
        self.unresponsive = UnresponsiveServers()

    def set_servers(self, records: list[BackendRecord], now: float) -> None:
        """Replace the known servers."""
        self._records = records
        self.unresponsive.set_servers(records)
        for record in records:
            self.cold.on_announcement(record, now)
        known = {record.server_id for record in records}
        self.cold.forget(known)
        for server_id in [one for one in self._load_by_id if one not in known]:
            if not self._load_by_id[server_id].running:
                del self._load_by_id[server_id]
        for run_times in self._run_times_by_service.values():
            run_times.forget(known)
        self._rebuild_indexes()

    def set_evacuated(self, zones: list[str], now: float) -> None:
        """Replace the availability zones whose servers get no calls.

        Servers of a zone that is no longer evacuated may have restarted and count as cold for a
        while.
        """
        returned = self._evacuated_zones - frozenset(zones)
        self._evacuated_zones = frozenset(zones)
        for record in self._records:
            if record.availability_zone in returned:
                self.cold.assume_cold(record.server_id, now)
        self._rebuild_indexes()

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has servers, all of them in evacuated zones."""
        if not self._evacuated_zones:
            return False
        known = [record for record in self._records if record.service == service]
        return bool(known) and all(
            record.availability_zone in self._evacuated_zones for record in known
        )

    def _rebuild_indexes(self) -> None:
        """Rebuild the indexes of servers that may get calls, and of services kept in the zone."""
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
        self._preferred_by_key.clear()
        self._local_ids_by_service = {}
        self._slots_by_service = {}
        for service, servers in self._servers_by_service.items():
            self._slots_by_service[service] = sum(max(1, one.slots) for one in servers)
            local_ids = [one.server_id for one in servers if one.availability_zone == self._zone]
            if len(local_ids) >= MIN_LOCAL_SERVERS:
                self._local_ids_by_service[service] = local_ids

    def servers(self, service: str) -> list[BackendRecord]:
        """Return the servers of a service that may get calls."""
        return self._servers_by_service.get(service, [])

    def run_times(self, service: str) -> ServiceRunTimes:
        """Return the run times of a service, to which the caller adds each call that ends."""
        run_times = self._run_times_by_service.get(service)
        if run_times is None:
            run_times = self._run_times_by_service[service] = ServiceRunTimes()
        return run_times

    def load(self, server_id: str) -> ServerLoad:
        """Return this entry's load on a server."""
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
        """Store the load of another entry."""
        self._store_load(entry_id, _OtherLoad(running_by_server, signs, now))

    def on_load_elsewhere(self, message: LoadElsewhere, now: float) -> None:
        """Store the summed load of all other entries; an earlier sum is void."""
        for entry_id in list(self._other_load_by_entry):
            self._forget_load(entry_id)
        load = _OtherLoad(message.running_by_server, message.signs, now, message.entries)
        self._store_load(ALL_OTHERS, load)

    def own_load(self) -> dict[str, int]:
        """Return this entry's running calls by server, for the other entries."""
        return {one: load.running for one, load in self._load_by_id.items() if load.running}

    def own_signs(self, now: float) -> ServerSigns:
        """Return this entry's counts of overdue and answered calls, for the other entries."""
        return ServerSigns(*self.unresponsive.own_signs(now))

    def choose(self, requirements: CallRequirements, now: float) -> BackendRecord | None:
        """Return the server with the lowest cost; None where no server accepts the call."""
        self._forget_expired_loads(now)
        best: list[BackendRecord] = []
        lowest = float("inf")
        preferred = self._preferred_server(requirements)
        is_below_share = self._is_below_share(requirements.service)
        unresponsive_ms = self.unresponsive.costs(now)
        for record in self._candidates(requirements, preferred):
            if not requirements.allows(record) or not self._accepts_call(
                record, is_below_share, now
            ):
                continue
            cost = self._cost_ms(record, requirements, preferred, now) + unresponsive_ms.get(
                record.server_id, 0.0
            )
            if cost < lowest - TIE_MS:
                best = []
            if cost <= lowest + TIE_MS:
                best.append(record)
            lowest = min(lowest, cost)
        return self._rng.choice(best) if best else None

    def started(self, server_id: str, now: float) -> None:
        """Record that a call was sent to a server."""
        load = self.load(server_id)
        record = self._record_by_id.get(server_id)
        if record is not None:
            load.service = record.service
        load.started_at.append(now)
        self._running_by_service[load.service] += 1
        self.cold.started(server_id, now)

    def ended(self, server_id: str, started_at: float) -> None:
        """Record that the call sent at `started_at` has left a server, however it ended."""
        load = self.load(server_id)
        if started_at in load.started_at:
            load.started_at.remove(started_at)
            self._running_by_service[load.service] -= 1

    def answered(self, server_id: str, requirements: CallRequirements) -> None:
        """Record that a server answered: it works and holds the call's prompt parts."""
        load = self.load(server_id)
        load.failures = 0
        load.avoid_until = float("-inf")
        load.window.answered()
        for part in requirements.parts:
            holders = self._holders_by_part.setdefault(part.part_id, [])
            if server_id in holders:
                holders.remove(server_id)
            holders.insert(0, server_id)
            del holders[MAX_HOLDERS_PER_PART:]
            self._holders_by_part.move_to_end(part.part_id)
        while len(self._holders_by_part) > MAX_REMEMBERED_PARTS:
            self._holders_by_part.popitem(last=False)

    def refused(self, server_id: str, now: float) -> None:
        """Record that a server refused a call as full; the call still counts as in flight there."""
        load = self.load(server_id)
        load.window.refused(load.running - 1, now)

    def failed(self, server_id: str, now: float) -> None:
        """Record that a server could not be reached or broke the connection."""
        load = self.load(server_id)
        load.failures += 1
        pause_s = min(MAX_AVOID_S, AVOID_S * 2 ** (load.failures - 1))
        load.avoid_until = now + pause_s
        self.cold.assume_cold(server_id, now)

    def _accepts_call(self, record: BackendRecord, is_below_share: bool, now: float) -> bool:
        """Return whether a server is expected to start one more call of this entry soon."""
        load = self.load(record.server_id)
        if not load.window.has_room(load.running, now) or not self.cold.has_room(record, now):
            return False
        running = load.running + self._others_running_by_server[record.server_id]
        return is_below_share or running < OVERCOMMIT * max(1, record.slots)

    def _is_below_share(self, service: str) -> bool:
        """Return whether this entry uses less than an equal share of a service's slots."""
        own = self._running_by_service[service]
        others = sum(other.entries for other in self._other_load_by_entry.values())
        return own * (1 + others) < self._slots_by_service.get(service, 0)

    def _cost_ms(
        self,
        record: BackendRecord,
        requirements: CallRequirements,
        preferred: str | None,
        now: float,
    ) -> float:
        load = self.load(record.server_id)
        run_times = self.run_times(requirements.service)
        cost = 0.0 if record.availability_zone == self._zone else self._cross_zone_ms(requirements)
        running = load.running + self._others_running_by_server[record.server_id]
        cost += self._slot_wait_ms(running, record.slots, run_times.run_ms)
        if requirements.parts:
            cost += (
                self._missing_tokens(record.server_id, requirements, preferred)
                / PREFILL_TOKENS_PER_MS
            )
        else:
            slowness = run_times.slowness(record.server_id, load.oldest_call_s(now), now)
            cost += run_times.run_ms * (slowness - 1.0)
            if requirements.object_key and preferred != record.server_id:
                cost += run_times.run_ms / 4
        if not record.heard:
            cost += UNREACHABLE_MS
        if not self.cold.is_limited(record) and self.cold.is_cold(record, now):
            cost += WARMUP_MS
        if now < load.avoid_until:
            cost += 1000.0 * (load.avoid_until - now) + UNREACHABLE_MS
        return cost

    def _cross_zone_ms(self, requirements: CallRequirements) -> float:
        """Return the cost of sending a call to another zone."""
        if requirements.service not in self._local_ids_by_service:
            return ZONE_MS
        return min(MAX_ZONE_MS, ZONE_MS + ZONE_MS_PER_KB * requirements.size / 1000)

    @staticmethod
    def _slot_wait_ms(running: int, slots: int, run_ms: float) -> float:
        """Return the wait for a slot plus the delay by the calls that run."""
        slots = max(1, slots)
        waiting = max(0, running - slots + 1)
        return RUNNING_MS * running + run_ms * waiting / slots

    def _store_load(self, entry_id: str, load: _OtherLoad) -> None:
        self._forget_load(entry_id)
        self._other_load_by_entry[entry_id] = load
        self._others_running_by_server.update(load.running_by_server)
        self._update_unresponsive()

    def _forget_expired_loads(self, now: float) -> None:
        """Drop the loads of entries that have sent none for `OTHER_LOAD_VALID_S`."""
        expired = [
            entry_id
            for entry_id, other in self._other_load_by_entry.items()
            if now - other.received_at > OTHER_LOAD_VALID_S
        ]
        for entry_id in expired:
            self._forget_load(entry_id)
        if expired:
            self._update_unresponsive()

    def _update_unresponsive(self) -> None:
        overdue: Counter[str] = Counter()
        answered: Counter[str] = Counter()
        for other in self._other_load_by_entry.values():
            overdue.update(other.signs.silent_by_server)
            answered.update(other.signs.answered_by_server)
        self.unresponsive.set_other_counts(overdue, answered)

    def _forget_load(self, entry_id: str) -> None:
        other = self._other_load_by_entry.pop(entry_id, None)
        if other is None:
            return
        self._others_running_by_server.subtract(other.running_by_server)
        for server_id in other.running_by_server:
            if not self._others_running_by_server[server_id]:
                del self._others_running_by_server[server_id]

    def _missing_tokens(
        self, server_id: str, requirements: CallRequirements, preferred: str | None
    ) -> int:
        """Return the tokens that the server would have to read: all from the first missing part."""
        total = sum(part.tokens for part in requirements.parts)
        if server_id == requirements.last_server:
            # It ran the previous turn; only the new part is missing.
            return requirements.parts[-1].tokens
        held_tokens = 0
        for part in requirements.parts:
            if not self._holds(server_id, part, requirements, preferred):
                break
            held_tokens += part.tokens
        return total - held_tokens

    def _holds(
        self,
        server_id: str,
        part: PromptPart,
        requirements: CallRequirements,
        preferred: str | None,
    ) -> bool:
        holders = self._holders_by_part.get(part.part_id)
        if holders is not None and server_id in holders:
            return True
        # Where no holder is known, all entries treat the server chosen by the hash as the holder.
        return part is requirements.parts[0] and preferred == server_id

    def _preferred_server(self, requirements: CallRequirements) -> str | None:
        """Return the server that entries agree on by rendezvous hash, where no holder is known."""
        local_ids = self._local_ids_by_service.get(requirements.service)
        known = not requirements.parts or self._has_holder(requirements.parts[0], local_ids)
        if known and not requirements.object_key:
            return None
        key = requirements.object_key or requirements.parts[0].part_id
        cached = self._preferred_by_key.get((requirements.service, key), "")
        if cached != "":
            return cached
        if local_ids is None:
            local_ids = [record.server_id for record in self.servers(requirements.service)]
        if len(self._preferred_by_key) >= MAX_REMEMBERED_PARTS:
            self._preferred_by_key.clear()
        preferred_id = self._preferred_by_key[requirements.service, key] = rendezvous(
            key, local_ids
        )
        return preferred_id

    def _candidates(
        self, requirements: CallRequirements, preferred: str | None
    ) -> list[BackendRecord]:
        """Return the servers to compare: all, or a selection where there are many."""
        servers = self.servers(requirements.service)
        if len(servers) <= MAX_CANDIDATES:
            return servers
        ids = {requirements.last_server, preferred or ""}
        for part in requirements.parts:
            ids.update(self._holders_by_part.get(part.part_id, ()))
        local_ids = self._local_ids_by_service.get(requirements.service, ())
        ids.update(self._rng.sample(local_ids, min(len(local_ids), MAX_CANDIDATES * 3 // 4)))
        found = {server_id: self._record_by_id.get(server_id) for server_id in ids}
        for record in self._rng.sample(servers, MAX_CANDIDATES):
            if len(found) >= MAX_CANDIDATES:
                break
            found[record.server_id] = record
        return [
            one for one in found.values() if one is not None and one.service == requirements.service
        ]

    def _has_holder(self, part: PromptPart, local_ids: list[str] | None) -> bool:
        """Return whether any server holds a part, one of `local_ids` where they are given."""
        holders = self._holders_by_part.get(part.part_id)
        if holders is None or local_ids is None:
            return holders is not None
        return any(server_id in local_ids for server_id in holders)
