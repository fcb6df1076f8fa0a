"""Exchange of loads between entries, in messages whose number grows linearly with the entries.

Load pattern: many entries choose servers at once and must know each other's calls, or all choose
the same server. Sent from each entry to each other, these messages would grow with the square of
the entries. Above `MAX_DIRECT_ENTRIES` entries, each sends its load to two collectors of its
availability zone; collectors exchange the sums of their zones and send each entry of their zone
what all others have running. A zone has two, so that nothing is lost when one stops or is slow.

Inputs: views, own load, messages of others. Outputs: messages to send. Times are monotonic seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonhall_model import (
    EntryLoad,
    EntryRecord,
    LoadDetail,
    LoadElsewhere,
    ServerSigns,
    ZoneLoad,
    fingerprint,
)

from tarragonhall_decisions._load_detail import is_empty, subtract_detail, sum_details

# Up to this many entries, each sends its load to all others, which is faster than through a
# collector.
MAX_DIRECT_ENTRIES = 16
# Collectors of each availability zone.
COLLECTORS_PER_ZONE = 2
# Seconds after which the load of an entry or zone that sends none is dropped. An entry sends
# its load at least once in 0.8 s, a zone its sum about every 0.6 s.
LOAD_VALID_S = 1.5
# Least seconds between two sums that a collector sends to other zones. They are sent seldom, as few
# calls leave their zone.
ZONE_SUM_INTERVAL_S = 0.55

NO_SIGNS = ServerSigns()

LoadMessage = EntryLoad | ZoneLoad | LoadElsewhere


@dataclass(slots=True, frozen=True)
class AddressedLoad:
    """A message for one entry; if it is lost, the next one replaces it."""

    address: str
    message: LoadMessage


@dataclass(slots=True, frozen=True)
class _Load:
    running_by_server: dict[str, int]
    signs: ServerSigns
    entries: int
    received_at: float
    detail: LoadDetail | None = None


NO_LOAD = _Load({}, NO_SIGNS, 0, float("-inf"))


class LoadDigest:
    """One entry's part in the exchange of loads."""

    __slots__ = (
        "_collectors_by_zone",
        "_entries",
        "_load_by_entry",
        "_load_by_zone",
        "_own_record",
        "_sums",
        "_zones_sent_at",
    )

    def __init__(self, own_record: EntryRecord) -> None:
        self._own_record = own_record
        self._entries: list[EntryRecord] = []
        self._collectors_by_zone: dict[str, list[EntryRecord]] = {}
        self._load_by_entry: dict[str, _Load] = {}
        self._load_by_zone: dict[str, _Load] = {}
        self._zones_sent_at = float("-inf")
        # The sums of one round, with the own load that they hold: both `elsewhere` and `digests`
        # need them, and they add up the tables of all entries of the zone.
        self._sums: tuple[_Load, _Load, _Load] | None = None

    def on_view(self, entries: list[EntryRecord]) -> None:
        """Replace the known entries."""
        self._entries = [one for one in entries if one.entry_id != self._own_record.entry_id]
        by_zone: dict[str, list[EntryRecord]] = {}
        for entry in entries:
            by_zone.setdefault(entry.availability_zone, []).append(entry)
        self._collectors_by_zone = {zone: _collectors(zone, one) for zone, one in by_zone.items()}

    def is_direct(self) -> bool:
        """Return whether entries send their loads to each other without collectors."""
        return len(self._entries) < MAX_DIRECT_ENTRIES

    def is_collector(self) -> bool:
        """Return whether this entry sums the loads of its zone."""
        if self.is_direct():
            return False
        return any(one.entry_id == self._own_record.entry_id for one in self._own_collectors())

    def on_entry_load(self, message: EntryLoad, now: float) -> None:
        """Store the load of an entry of the own zone."""
        load = _Load(message.running_by_server, message.signs, 1, now, message.detail)
        self._load_by_entry[message.entry_id] = load
        self._sums = None

    def on_zone_load(self, message: ZoneLoad, now: float) -> None:
        """Store the sum of another zone from one of its collectors."""
        load = _Load(message.running_by_server, message.signs, message.entries, now, message.detail)
        self._load_by_zone[message.availability_zone] = load
        self._sums = None

    def announce(
        self,
        own: dict[str, int],
        signs: ServerSigns = NO_SIGNS,
        detail: LoadDetail | None = None,
    ) -> list[AddressedLoad]:
        """Return the messages with this entry's own load."""
        message = EntryLoad(self._own_record.entry_id, own, signs, detail)
        recipients = self._entries if self.is_direct() else self._own_collectors()
        return [
            AddressedLoad(one.address, message)
            for one in recipients
            if one.entry_id != self._own_record.entry_id
        ]

    def elsewhere(
        self,
        own: dict[str, int],
        now: float,
        signs: ServerSigns = NO_SIGNS,
        detail: LoadDetail | None = None,
    ) -> LoadElsewhere:
        """Return what all others have running, as a collector knows it."""
        load = _Load(own, signs, 1, now, detail)
        zone = self._zone_sum(load, now)
        total = self._total(zone, now)
        self._sums = load, zone, total
        return _excluding(total, load)

    def digests(
        self,
        own: dict[str, int],
        now: float,
        signs: ServerSigns = NO_SIGNS,
        detail: LoadDetail | None = None,
    ) -> list[AddressedLoad]:
        """Return what a collector sends: its zone's sum, and the others' load to each entry."""
        load = _Load(own, signs, 1, now, detail)
        if self._sums is not None and self._sums[0] == load:
            _load, zone, total = self._sums
        else:
            zone = self._zone_sum(load, now)
            total = self._total(zone, now)
        self._sums = None
        messages = self._to_other_zones(zone) if self._is_zone_sum_due(now) else []
        for entry in self._entries:
            if entry.availability_zone != self._own_record.availability_zone:
                continue
            load = self._load_by_entry.get(entry.entry_id, NO_LOAD)
            messages.append(AddressedLoad(entry.address, _excluding(total, load)))
        return messages

    def _is_zone_sum_due(self, now: float) -> bool:
        """Return whether the sum is due at other zones; seldom, as few calls leave their zone."""
        if now - self._zones_sent_at < ZONE_SUM_INTERVAL_S:
            return False
        self._zones_sent_at = now
        return True

    def _to_other_zones(self, zone: _Load) -> list[AddressedLoad]:
        """Return the zone's sum for one collector of each other zone, spread by rank."""
        message = ZoneLoad(
            self._own_record.availability_zone,
            zone.entries,
            zone.running_by_server,
            zone.signs,
            zone.detail,
        )
        ids = [one.entry_id for one in self._own_collectors()]
        rank = ids.index(self._own_record.entry_id)
        messages = []
        for name, collectors in self._collectors_by_zone.items():
            if name != self._own_record.availability_zone:
                messages.append(AddressedLoad(collectors[rank % len(collectors)].address, message))
        return messages

    def _own_collectors(self) -> list[EntryRecord]:
        return self._collectors_by_zone.get(self._own_record.availability_zone, [])

    def _zone_sum(self, own: _Load, now: float) -> _Load:
        return _sum(own, _valid(self._load_by_entry, now), now)

    def _total(self, zone: _Load, now: float) -> _Load:
        return _sum(zone, _valid(self._load_by_zone, now), now)


def _valid(load_by_source: dict[str, _Load], now: float) -> list[_Load]:
    """Return the loads that still count, and drop the others."""
    for source, load in list(load_by_source.items()):
        if now - load.received_at > LOAD_VALID_S:
            del load_by_source[source]
    return list(load_by_source.values())


def _sum(first: _Load, others: list[_Load], now: float) -> _Load:
    loads = [first, *others]
    return _Load(
        _sum_counts(one.running_by_server for one in loads),
        ServerSigns(
            _sum_counts(one.signs.silent_by_server for one in loads),
            _sum_counts(one.signs.answered_by_server for one in loads),
        ),
        sum(one.entries for one in loads),
        now,
        _sum_of_details(loads),
    )


def _sum_of_details(loads: list[_Load]) -> LoadDetail | None:
    if all(one.detail is None for one in loads):
        return None
    return sum_details(one.detail for one in loads)


def _sum_counts(parts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for one in parts:
        total.update(one)
    return dict(total)


def _excluding(total: _Load, part: _Load) -> LoadElsewhere:
    """Return a sum without the part of one entry."""
    detail = None
    if total.detail is not None:
        detail = subtract_detail(total.detail, part.detail)
    return LoadElsewhere(
        max(0, total.entries - 1),
        _subtract_counts(total.running_by_server, part.running_by_server),
        ServerSigns(
            _subtract_counts(total.signs.silent_by_server, part.signs.silent_by_server),
            _subtract_counts(total.signs.answered_by_server, part.signs.answered_by_server),
        ),
        detail if detail is not None and not is_empty(detail) else None,
    )


def _subtract_counts(total: dict[str, int], own: dict[str, int]) -> dict[str, int]:
    left = {server_id: count - own.get(server_id, 0) for server_id, count in total.items()}
    return {server_id: count for server_id, count in left.items() if count > 0}


def _collectors(zone: str, entries: list[EntryRecord]) -> list[EntryRecord]:
    """Return the collectors of a zone, the same at all entries that have the view."""
    return sorted(entries, key=lambda one: fingerprint(zone, one.entry_id))[:COLLECTORS_PER_ZONE]
