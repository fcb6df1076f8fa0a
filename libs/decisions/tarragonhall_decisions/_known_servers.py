"""The backend servers that may get calls, indexed by service and availability zone."""

from __future__ import annotations

import heapq
import random

from tarragonhall_model import BackendRecord, fingerprint, rendezvous

# A zone with at least this many servers of a service can lose one, so it keeps its own calls and
# shared prefixes.
MIN_LOCAL_SERVERS = 4
# Servers of a service up to which a choice compares all. Beyond, it compares those that hold a part
# of the prompt and a sample, up to this many in all, three quarters from the entry's zone.
MAX_CANDIDATES = 64
# Limits the cached results of the rendezvous hash.
MAX_CACHED_CHOICES = 20_000
# Servers that calls of one hot key are spread over at most, and keys for which they are cached. Few
# keys can be hot at once.
MAX_RANKED = 16
MAX_CACHED_RANKS = 200


class KnownServers:
    """The servers of all services as one entry knows them.

    `by_id` holds those that may get calls. `local_ids` of a service are the servers of the own
    zone, None unless it has enough of them to keep its calls.
    """

    __slots__ = (
        "_all",
        "_evacuated_zones",
        "_local_ids_by_service",
        "_preferred_by_key",
        "_ranked_by_key",
        "_servers_by_service",
        "_slots_by_service",
        "_zone",
        "by_id",
    )

    def __init__(self, availability_zone: str) -> None:
        self._zone = availability_zone
        self._all: list[BackendRecord] = []
        self._evacuated_zones: frozenset[str] = frozenset()
        self._servers_by_service: dict[str, list[BackendRecord]] = {}
        self._slots_by_service: dict[str, int] = {}
        self._local_ids_by_service: dict[str, list[str]] = {}
        self._preferred_by_key: dict[tuple[str, str], str | None] = {}
        self._ranked_by_key: dict[tuple[str, str], list[str]] = {}
        self.by_id: dict[str, BackendRecord] = {}

    def set_servers(self, records: list[BackendRecord]) -> None:
        """Replace the known servers."""
        self._all = records
        self._rebuild()

    def set_evacuated(self, zones: list[str]) -> list[BackendRecord]:
        """Replace the zones whose servers get no calls; return the servers that get calls again."""
        returned = self._evacuated_zones - frozenset(zones)
        self._evacuated_zones = frozenset(zones)
        self._rebuild()
        return [record for record in self._all if record.availability_zone in returned]

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has servers, all of them in evacuated zones."""
        if not self._evacuated_zones:
            return False
        known = [record for record in self._all if record.service == service]
        return bool(known) and all(
            record.availability_zone in self._evacuated_zones for record in known
        )

    def servers(self, service: str) -> list[BackendRecord]:
        """Return the servers of a service that may get calls."""
        return self._servers_by_service.get(service, [])

    def slots(self, service: str) -> int:
        """Return the slots of a service's servers together."""
        return self._slots_by_service.get(service, 0)

    def local_ids(self, service: str) -> list[str] | None:
        """Return the servers of the own zone if the zone keeps its calls of a service."""
        return self._local_ids_by_service.get(service)

    def first_ids(self, service: str, key: str, count: int) -> tuple[str, ...]:
        """Return the first servers for a key, `MAX_RANKED` at most, in an order that entries share.

        The first one is `preferred_id`.
        """
        ranked = self._ranked_by_key.get((service, key))
        if ranked is None:
            ids = self.local_ids(service)
            if ids is None:
                ids = [record.server_id for record in self.servers(service)]
            ranked = heapq.nlargest(MAX_RANKED, ids, key=lambda one: (fingerprint(key, one), one))
            if len(self._ranked_by_key) >= MAX_CACHED_RANKS:
                self._ranked_by_key.clear()
            self._ranked_by_key[service, key] = ranked
        return tuple(ranked[:count])

    def preferred_id(self, service: str, key: str) -> str | None:
        """Return the server for a key on which entries agree by rendezvous hash."""
        cached = self._preferred_by_key.get((service, key), "")
        if cached != "":
            return cached
        ids = self.local_ids(service)
        if ids is None:
            ids = [record.server_id for record in self.servers(service)]
        if len(self._preferred_by_key) >= MAX_CACHED_CHOICES:
            self._preferred_by_key.clear()
        preferred_id = self._preferred_by_key[service, key] = rendezvous(key, ids)
        return preferred_id

    def sample(self, service: str, ids: set[str], rng: random.Random) -> list[BackendRecord]:
        """Return the servers to compare: all, or where there are many, `ids` and a selection."""
        servers = self.servers(service)
        if len(servers) <= MAX_CANDIDATES:
            return servers
        ids = set(ids)
        local_ids = self.local_ids(service) or ()
        ids.update(rng.sample(local_ids, min(len(local_ids), MAX_CANDIDATES * 3 // 4)))
        found = {server_id: self.by_id.get(server_id) for server_id in ids}
        for record in rng.sample(servers, MAX_CANDIDATES):
            if len(found) >= MAX_CANDIDATES:
                break
            found[record.server_id] = record
        return [one for one in found.values() if one is not None and one.service == service]

    def _rebuild(self) -> None:
        self._servers_by_service = {}
        for record in self._all:
            if record.gone or record.draining:
                continue
            if record.availability_zone in self._evacuated_zones:
                continue
            self._servers_by_service.setdefault(record.service, []).append(record)
        self.by_id = {
            one.server_id: one for servers in self._servers_by_service.values() for one in servers
        }
        self._preferred_by_key.clear()
        self._ranked_by_key.clear()
        self._local_ids_by_service = {}
        self._slots_by_service = {}
        for service, servers in self._servers_by_service.items():
            self._slots_by_service[service] = sum(max(1, one.slots) for one in servers)
            local_ids = [one.server_id for one in servers if one.availability_zone == self._zone]
            if len(local_ids) >= MIN_LOCAL_SERVERS:
                self._local_ids_by_service[service] = local_ids
