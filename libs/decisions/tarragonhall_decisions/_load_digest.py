"""How entries learn what the others have running, in messages that grow with their number alone.

Load pattern: many entries choose servers at once and must know of each other's calls, or they all
turn to the same server. Sent by each entry to each other one, these messages grow with the square
of the entries. Above `DIRECT_ENTRIES` entries, each sends its load to two collectors of its
availability zone; collectors exchange the sums of their zones and send each entry of their zone
what all others have running. There are two in a zone, so that one that stops or is slow costs
nothing.

Inputs: views, own load, messages of others. Outputs: messages to send. Times are monotonic seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonhall_model import (
    EntryLoad,
    EntryRecord,
    LoadElsewhere,
    ServerSigns,
    ZoneLoad,
    fingerprint,
)

# Up to so many entries each sends its load to each other one: quicker than over a collector.
DIRECT_ENTRIES = 16
# Collectors of one availability zone.
COLLECTORS = 2
# Seconds after which an entry or zone that has sent no load counts no more.
LOAD_VALID_S = 1.5
# Seconds between two sums of a zone for the other zones.
ZONES_S = 0.55

NOTHING = ServerSigns()

LoadMessage = EntryLoad | ZoneLoad | LoadElsewhere


@dataclass(slots=True, frozen=True)
class LoadTo:
    """A message for one entry; a lost one is made up for by the next."""

    address: str
    message: LoadMessage


@dataclass(slots=True, frozen=True)
class _Load:
    running_by_server: dict[str, int]
    signs: ServerSigns
    entries: int
    at: float


class LoadDigest:
    """The part of one entry in the exchange of loads."""

    __slots__ = (
        "_collectors_by_zone",
        "_entries",
        "_load_by_entry",
        "_load_by_zone",
        "_me",
        "_zones_sent_at",
    )

    def __init__(self, me: EntryRecord) -> None:
        self._me = me
        self._entries: list[EntryRecord] = []
        self._collectors_by_zone: dict[str, list[EntryRecord]] = {}
        self._load_by_entry: dict[str, _Load] = {}
        self._load_by_zone: dict[str, _Load] = {}
        self._zones_sent_at = float("-inf")

    def on_view(self, entries: list[EntryRecord]) -> None:
        """Take over who the entries are."""
        self._entries = [one for one in entries if one.entry_id != self._me.entry_id]
        by_zone: dict[str, list[EntryRecord]] = {}
        for entry in entries:
            by_zone.setdefault(entry.availability_zone, []).append(entry)
        self._collectors_by_zone = {zone: _collectors(zone, one) for zone, one in by_zone.items()}

    def is_direct(self) -> bool:
        """Return whether entries send their loads to each other without collectors."""
        return len(self._entries) < DIRECT_ENTRIES

    def is_collector(self) -> bool:
        """Return whether this entry adds up the loads of its zone."""
        if self.is_direct():
            return False
        return any(one.entry_id == self._me.entry_id for one in self._own_collectors())

    def on_entry_load(self, message: EntryLoad, now: float) -> None:
        """Take the load of an entry of the own zone."""
        load = _Load(message.running_by_server, message.signs, 1, now)
        self._load_by_entry[message.entry_id] = load

    def on_zone_load(self, message: ZoneLoad, now: float) -> None:
        """Take the sum of another zone from one of its collectors."""
        load = _Load(message.running_by_server, message.signs, message.entries, now)
        self._load_by_zone[message.availability_zone] = load

    def announce(self, own: dict[str, int], signs: ServerSigns = NOTHING) -> list[LoadTo]:
        """Return the messages with this entry's own load."""
        message = EntryLoad(self._me.entry_id, own, signs)
        to = self._entries if self.is_direct() else self._own_collectors()
        return [LoadTo(one.address, message) for one in to if one.entry_id != self._me.entry_id]

    def elsewhere(
        self, own: dict[str, int], now: float, signs: ServerSigns = NOTHING
    ) -> LoadElsewhere:
        """Return what all others have running, as a collector knows it."""
        zone = self._zone_sum(own, signs, now)
        return _without(self._everywhere(zone, now), own, signs)

    def digests(
        self, own: dict[str, int], now: float, signs: ServerSigns = NOTHING
    ) -> list[LoadTo]:
        """Return what a collector sends: its zone's sum, and to each entry what the others have."""
        zone = self._zone_sum(own, signs, now)
        made = self._to_other_zones(zone) if self._is_due(now) else []
        everywhere = self._everywhere(zone, now)
        for entry in self._entries:
            if entry.availability_zone != self._me.availability_zone:
                continue
            load = self._load_by_entry.get(entry.entry_id)
            theirs = load.running_by_server if load is not None else {}
            signs_there = load.signs if load is not None else NOTHING
            made.append(LoadTo(entry.address, _without(everywhere, theirs, signs_there)))
        return made

    def _is_due(self, now: float) -> bool:
        """Return whether the sum is sent to other zones again: calls seldom leave their zone."""
        if now - self._zones_sent_at < ZONES_S:
            return False
        self._zones_sent_at = now
        return True

    def _to_other_zones(self, zone: _Load) -> list[LoadTo]:
        """Return the zone's sum for one collector of each other zone, each collector its own."""
        message = ZoneLoad(
            self._me.availability_zone,
            zone.entries,
            zone.running_by_server,
            zone.signs,
        )
        ids = [one.entry_id for one in self._own_collectors()]
        rank = ids.index(self._me.entry_id)
        made = []
        for name, collectors in self._collectors_by_zone.items():
            if name != self._me.availability_zone:
                made.append(LoadTo(collectors[rank % len(collectors)].address, message))
        return made

    def _own_collectors(self) -> list[EntryRecord]:
        return self._collectors_by_zone.get(self._me.availability_zone, [])

    def _zone_sum(self, own: dict[str, int], signs: ServerSigns, now: float) -> _Load:
        return _sum(_Load(own, signs, 1, now), _valid(self._load_by_entry, now), now)

    def _everywhere(self, zone: _Load, now: float) -> _Load:
        return _sum(zone, _valid(self._load_by_zone, now), now)


def _valid(load_by_source: dict[str, _Load], now: float) -> list[_Load]:
    """Return the loads that still count; forget the others."""
    for source, load in list(load_by_source.items()):
        if now - load.at > LOAD_VALID_S:
            del load_by_source[source]
    return list(load_by_source.values())


def _sum(first: _Load, others: list[_Load], now: float) -> _Load:
    loads = [first, *others]
    return _Load(
        _added(one.running_by_server for one in loads),
        ServerSigns(
            _added(one.signs.silent_by_server for one in loads),
            _added(one.signs.answered_by_server for one in loads),
        ),
        sum(one.entries for one in loads),
        now,
    )


def _added(parts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for one in parts:
        total.update(one)
    return dict(total)


def _without(everywhere: _Load, own: dict[str, int], signs: ServerSigns) -> LoadElsewhere:
    """Return what is left of a sum without the part of one entry."""
    return LoadElsewhere(
        max(0, everywhere.entries - 1),
        _minus(everywhere.running_by_server, own),
        ServerSigns(
            _minus(everywhere.signs.silent_by_server, signs.silent_by_server),
            _minus(everywhere.signs.answered_by_server, signs.answered_by_server),
        ),
    )


def _minus(total: dict[str, int], own: dict[str, int]) -> dict[str, int]:
    left = {server_id: count - own.get(server_id, 0) for server_id, count in total.items()}
    return {server_id: count for server_id, count in left.items() if count > 0}


def _collectors(zone: str, entries: list[EntryRecord]) -> list[EntryRecord]:
    """Return the entries that add up the loads of a zone: the same for all who hold the view."""
    return sorted(entries, key=lambda one: fingerprint(zone, one.entry_id))[:COLLECTORS]
