"""How entries learn of each other's calls."""

from __future__ import annotations

import pytest
from tarragonhall_decisions import LoadDigest
from tarragonhall_decisions._load_digest import DIRECT_ENTRIES, LOAD_VALID_S
from tarragonhall_model import (
    EntryLoad,
    EntryRecord,
    LoadElsewhere,
    ServerSigns,
    ZoneLoad,
    encode,
)


class Entries:
    """A number of entries over some zones, and the messages between them."""

    def __init__(self, count: int, zones: int) -> None:
        self.records = [
            EntryRecord(f"e-{n}", "life", f"e-{n}:1", f"z-{n % zones}") for n in range(count)
        ]
        self.digest_by_address = {one.address: LoadDigest(one) for one in self.records}
        self.load_by_address = {
            one.address: {f"s-{n}": 1 + n} for n, one in enumerate(self.records)
        }
        self.elsewhere_by_address: dict[str, LoadElsewhere] = {}
        self.down: set[str] = set()
        self.messages = 0
        self.size = 0
        for digest in self.digest_by_address.values():
            digest.on_view(self.records)

    def round(self, now: float) -> None:
        """Let every entry tell its load once, then every collector its sums."""
        for address, digest in self.digest_by_address.items():
            if address not in self.down:
                self.deliver(digest.announce(self.load_by_address[address]), now)
        for address, digest in self.digest_by_address.items():
            if address in self.down or not digest.is_collector():
                continue
            own = self.load_by_address[address]
            self.elsewhere_by_address[address] = digest.elsewhere(own, now)
            self.deliver(digest.digests(own, now), now)

    def deliver(self, messages, now: float) -> None:
        for one in messages:
            self.messages += 1
            self.size += len(encode(one.message))
            if one.address in self.down:
                continue
            match one.message:
                case EntryLoad():
                    self.digest_by_address[one.address].on_entry_load(one.message, now)
                case ZoneLoad():
                    self.digest_by_address[one.address].on_zone_load(one.message, now)
                case LoadElsewhere():
                    self.elsewhere_by_address[one.address] = one.message

    def others_of(self, address: str) -> dict[str, int]:
        """Return what the entries other than this one have running."""
        sums: dict[str, int] = {}
        for other, load in self.load_by_address.items():
            if other == address or other in self.down:
                continue
            for server_id, running in load.items():
                sums[server_id] = sums.get(server_id, 0) + running
        return sums


def test_each_entry_learns_what_all_others_have_running():
    made = Entries(count=60, zones=5)
    for step in range(3):
        made.round(now=step * 0.6)
    for record in made.records:
        told = made.elsewhere_by_address[record.address]
        assert told.running_by_server == made.others_of(record.address)
        assert told.entries == 59


@pytest.mark.parametrize("count", [60, 180, 360])
def test_messages_grow_with_the_number_of_entries_and_not_with_its_square(count):
    made = Entries(count, zones=6)
    made.round(now=0.0)
    assert made.messages <= 4 * count + 60


def test_few_entries_tell_each_other_without_a_collector():
    made = Entries(count=DIRECT_ENTRIES - 1, zones=3)
    made.round(now=0.0)
    assert not any(one.is_collector() for one in made.digest_by_address.values())
    assert made.messages == (DIRECT_ENTRIES - 1) * (DIRECT_ENTRIES - 2)


def test_a_collector_that_stops_leaves_no_entry_without_news():
    # Guards against a frozen or dead collector: its zone would choose without knowing of others.
    made = Entries(count=60, zones=5)
    for step in range(3):
        made.round(now=step * 0.6)
    made.down = {
        next(
            a for a, d in made.digest_by_address.items() if d.is_collector() and a not in made.down
        )
    }
    made.elsewhere_by_address.clear()
    for step in range(3):
        made.round(now=2 * LOAD_VALID_S + step * 0.6)
    for record in made.records:
        if record.address in made.down:
            continue
        told = made.elsewhere_by_address[record.address]
        assert told.running_by_server == made.others_of(record.address)


def test_an_entry_that_stops_counts_no_more():
    # Guards against calls of a dead entry that would keep others from a free server.
    made = Entries(count=60, zones=5)
    made.round(now=0.0)
    stopped = next(a for a, d in made.digest_by_address.items() if not d.is_collector())
    made.down = {stopped}
    for step in range(3):
        made.round(now=2 * LOAD_VALID_S + step * 0.6)
    watcher = made.records[1].address
    assert made.elsewhere_by_address[watcher].running_by_server == made.others_of(watcher)


def test_collectors_add_up_what_entries_see_of_silent_servers():
    """A sum that lost them would leave each entry to find a hung server by its own calls."""
    entries = [EntryRecord(f"e-{n}", "1", f"a:{n}", f"z-{n % 2}") for n in range(40)]
    digests = {one.entry_id: LoadDigest(one) for one in entries}
    for digest in digests.values():
        digest.on_view(entries)
    collector = next(name for name, one in digests.items() if one.is_collector())
    zone = next(one.availability_zone for one in entries if one.entry_id == collector)
    other = next(
        one.entry_id
        for one in entries
        if one.availability_zone == zone and one.entry_id != collector
    )
    told = EntryLoad(other, {"s": 1}, ServerSigns({"s": 1}, {"s": 4}))
    digests[collector].on_entry_load(told, 0.0)
    elsewhere = digests[collector].elsewhere({"s": 2}, 0.1, ServerSigns({"s": 2}))
    assert elsewhere.running_by_server == {"s": 1}
    assert elsewhere.signs == ServerSigns({"s": 1}, {"s": 4})
