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
- Long histories fill an engine's memory before its slots, so a call goes only to engines where it
  fits until its end (`EngineMemory`).
- Servers of a service may differ in speed: `UnevenChoice`.
- Availability zones: traffic between zones is paid for, so servers in the entry's zone win near
  ties. A zone with enough servers to lose one keeps its calls, unless the wait there costs more
  than sending the bytes of the rest of the program to another zone. The servers of such a zone read
  shared prefixes themselves, even if servers of other zones hold them.

All weights are expected milliseconds until the first byte of the answer.
"""

from __future__ import annotations

import random
from collections import Counter

from tarragonhall_model import BackendRecord, LoadDetail, LoadElsewhere, ServerSigns

from tarragonhall_decisions._call_requirements import CallRequirements
from tarragonhall_decisions._cold_servers import ColdServers
from tarragonhall_decisions._engine_memory import EngineMemory
from tarragonhall_decisions._features import WayCost
from tarragonhall_decisions._known_servers import KnownServers
from tarragonhall_decisions._offers import Offer, choose_cheapest
from tarragonhall_decisions._other_loads import NO_SIGNS, OtherLoad, OtherLoads
from tarragonhall_decisions._preferred_servers import PreferredServers
from tarragonhall_decisions._prompt_holders import PREFILL_TOKENS_PER_MS, PromptHolders
from tarragonhall_decisions._server_load import ServerLoad
from tarragonhall_decisions._service_run_times import ServiceRunTimes
from tarragonhall_decisions._uneven_choice import UnevenChoice
from tarragonhall_decisions._unresponsive_servers import UnresponsiveServers

# Delay that each running call adds to the others on an engine of 12 to 96 slots: its prompt is read
# between their steps, and each step takes longer. A share of the run time per slot would be too
# much with 12 slots and too little with 96.
RUNNING_MS = 4.0
# Added for a server that no control member can reach, or that failed recently.
UNREACHABLE_MS = 400.0
# Added for a server that has just started and is slow, where it has no limit in `ColdServers`.
WARMUP_MS = 200.0
# Ratio of calls to slots up to which all entries together send a server calls. At 1, entries that
# know each other's load late leave slots idle and refuse calls; at 1.6, too many calls are late in
# the servers' queues.
OVERCOMMIT = 1.25


class BackendChooser:
    """The servers of all services as one entry sees them; times are monotonic seconds."""

    __slots__ = (
        "_holders",
        "_load_by_id",
        "_others",
        "_rng",
        "_run_times_by_service",
        "_running_by_service",
        "_zone",
        "cold",
        "known",
        "memory",
        "preferred",
        "uneven",
        "unresponsive",
        "way",
    )

    def __init__(
        self, availability_zone: str, rng: random.Random, cold: ColdServers | None = None
    ) -> None:
        self._zone = availability_zone
        self._rng = rng
        self.cold = cold or ColdServers("")
        self.known = KnownServers(availability_zone)
        self.way = WayCost()
        self.uneven = UnevenChoice(availability_zone, rng)
        self._others = OtherLoads()
        self.memory = EngineMemory(self._others)
        self._holders = PromptHolders()
        self.preferred = PreferredServers(self.known, self._holders, rng)
        self._run_times_by_service: dict[str, ServiceRunTimes] = {}
        # Calls of this entry in flight. Summed over thousands of servers at each choice, they would
        # cost more than the choice.
        self._running_by_service: Counter[str] = Counter()
        self._load_by_id: dict[str, ServerLoad] = {}
        self.unresponsive = UnresponsiveServers()

    def set_servers(self, records: list[BackendRecord], now: float) -> None:
        """Replace the known servers."""
        self.unresponsive.set_servers(records)
        for record in records:
            self.cold.on_announcement(record, now)
        known_ids = {record.server_id for record in records}
        self.cold.forget(known_ids)
        for server_id in [one for one in self._load_by_id if one not in known_ids]:
            if not self._load_by_id[server_id].running:
                del self._load_by_id[server_id]
        for run_times in self._run_times_by_service.values():
            run_times.forget(known_ids)
        self.memory.set_servers(records)
        self.uneven.paces.forget(known_ids)
        self.known.set_servers(records)

    def set_evacuated(self, zones: list[str], now: float) -> None:
        """Replace the availability zones whose servers get no calls.

        Servers of a zone that is no longer evacuated may have restarted and count as cold for a
        while.
        """
        for record in self.known.set_evacuated(zones):
            self.cold.assume_cold(record.server_id, now)

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has servers, all of them in evacuated zones."""
        return self.known.is_evacuated(service)

    def servers(self, service: str) -> list[BackendRecord]:
        """Return the servers of a service that may get calls."""
        return self.known.servers(service)

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
        detail: LoadDetail | None = None,
    ) -> None:
        """Store the load of another entry."""
        self._others.store(entry_id, OtherLoad(running_by_server, signs, now, detail=detail))
        self._apply_others()

    def on_load_elsewhere(self, message: LoadElsewhere, now: float) -> None:
        """Store the summed load of all other entries; an earlier sum is void."""
        self._others.store_sum(
            OtherLoad(
                message.running_by_server, message.signs, now, message.entries, message.detail
            )
        )
        self._apply_others()

    def others(self, now: float) -> OtherLoads:
        """Return the loads of the other entries that are still valid."""
        if self._others.drop_expired(now):
            self._apply_others()
        return self._others

    def own_load(self) -> dict[str, int]:
        """Return this entry's running calls by server, for the other entries."""
        return {one: load.running for one, load in self._load_by_id.items() if load.running}

    def own_signs(self, now: float) -> ServerSigns:
        """Return this entry's counts of overdue and answered calls, for the other entries."""
        return ServerSigns(*self.unresponsive.own_signs(now))

    def choose(self, requirements: CallRequirements, now: float) -> BackendRecord | None:
        """Return the server with the lowest cost; None where no server accepts the call."""
        self.others(now)
        offers: list[Offer] = []
        entries = 1 + self._others.entries()
        preferred = self.preferred.of(requirements, entries)
        # An entry below its share of the slots may send though the others fill them.
        is_below_share = not requirements.yields and self._is_below_share(requirements.service)
        unresponsive_ms = self.unresponsive.costs(now)
        for record in self._candidates(requirements, preferred):
            running = self.running(record.server_id)
            if not requirements.allows(record) or not self._accepts_call(
                record, running, is_below_share, now
            ):
                continue
            unread = self._holders.missing_tokens(record.server_id, requirements, preferred)
            cost = self._cost_ms(record, requirements, preferred, running, unread, now)
            cost += unresponsive_ms.get(record.server_id, 0.0)
            offers.append(Offer(record, cost, running, unread))
        return self._choose_offer(offers, requirements, entries, now)

    def _choose_offer(
        self, offers: list[Offer], requirements: CallRequirements, entries: int, now: float
    ) -> BackendRecord | None:
        room = self.memory.room_for(requirements)
        if self.uneven.covers(requirements.service):
            if room is not None:
                offers = [offer for offer in offers if room.fits(offer.record)]
            keeps_zone = self.known.local_ids(requirements.service) is not None
            home_id = self.uneven.home_id(requirements, self.known)
            chosen = self.uneven.draw(offers, requirements, keeps_zone, home_id, now)
        else:
            chosen = choose_cheapest(offers, self._rng, room)
        if chosen is None and room is not None:
            return room.exceeded(entries)
        return chosen

    def running(self, server_id: str) -> int:
        """Return how many calls all entries are believed to have in flight at a server."""
        return self.load(server_id).running + self._others.running(server_id)

    def unread_tokens(self, server_id: str, requirements: CallRequirements) -> int:
        """Return the prompt tokens of a call that a server is expected to have to read."""
        preferred = self.preferred.of(requirements, 1 + self._others.entries())
        return self._holders.missing_tokens(server_id, requirements, preferred)

    def started(self, server_id: str, now: float) -> None:
        """Record that a call was sent to a server."""
        load = self.load(server_id)
        record = self.known.by_id.get(server_id)
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
        self.load(server_id).on_answered()
        remembered = self.preferred.parts_to_remember(server_id, requirements)
        self._holders.record(server_id, remembered)

    def refused(self, server_id: str, now: float) -> None:
        """Record that a server refused a call as full; the call still counts as in flight there."""
        load = self.load(server_id)
        load.window.refused(load.running - 1, now)

    def failed(self, server_id: str, now: float) -> None:
        """Record that a server could not be reached or broke the connection."""
        self.load(server_id).on_failed(now)
        self.cold.assume_cold(server_id, now)

    def _accepts_call(
        self, record: BackendRecord, running: int, is_below_share: bool, now: float
    ) -> bool:
        """Return whether a server is expected to start one more call of this entry soon."""
        load = self.load(record.server_id)
        if not load.window.has_room(load.running, now) or not self.cold.has_room(record, now):
            return False
        if is_below_share:
            return True
        if self.uneven.covers(record.service):
            return running < self.uneven.room(record, OVERCOMMIT)
        return running < OVERCOMMIT * max(1, record.slots)

    def _is_below_share(self, service: str) -> bool:
        """Return whether this entry uses less than its share of a service's slots."""
        own = self._running_by_service[service]
        if self.uneven.covers(service):
            return own < self.uneven.entry_share() * self.known.slots(service)
        return own * (1 + self._others.entries()) < self.known.slots(service)

    def _cost_ms(
        self,
        record: BackendRecord,
        requirements: CallRequirements,
        preferred: tuple[str, ...],
        running: int,
        unread_tokens: int,
        now: float,
    ) -> float:
        load = self.load(record.server_id)
        run_times = self.run_times(requirements.service)
        cost = 0.0 if record.availability_zone == self._zone else self._cross_zone_ms(requirements)
        cost += RUNNING_MS * running
        serve_ms = self._slot_wait_ms(running, record.slots, run_times.run_ms)
        serve_ms += unread_tokens / PREFILL_TOKENS_PER_MS
        if self.uneven.covers(requirements.service):
            serve_ms = self.uneven.scaled_ms(
                record.server_id, requirements, serve_ms, run_times.run_ms
            )
        cost += serve_ms
        if not requirements.parts:
            slowness = run_times.slowness(record.server_id, load.oldest_call_s(now), now)
            cost += run_times.run_ms * (slowness - 1.0)
            if requirements.object_key and record.server_id not in preferred:
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
        if self.known.local_ids(requirements.service) is None:
            return self.way.base_ms
        return self.way.of_call_ms(requirements.size)

    @staticmethod
    def _slot_wait_ms(running: int, slots: int, run_ms: float) -> float:
        """Return the wait for a slot."""
        slots = max(1, slots)
        waiting = max(0, running - slots + 1)
        return run_ms * waiting / slots

    def _apply_others(self) -> None:
        signs = self._others.signs()
        if self.uneven.paces.services:
            self.uneven.set_others(self._others.detail(), self._others.entries())
        self.unresponsive.set_other_counts(signs.silent_by_server, signs.answered_by_server)

    def _candidates(
        self, requirements: CallRequirements, preferred: tuple[str, ...]
    ) -> list[BackendRecord]:
        """Return the servers to compare: all, or a selection where there are many."""
        ids = {requirements.last_server, *preferred}
        for part in requirements.parts:
            ids.update(self._holders.of(part))
        return self.known.sample(requirements.service, ids, self._rng)
