"""Exchange of loads between entries."""

from __future__ import annotations

import pytest
from tarragonhall_decisions import LoadDigest
from tarragonhall_decisions._load_digest import LOAD_VALID_S, MAX_DIRECT_ENTRIES
from tarragonhall_model import (
    EntryLoad,
    EntryRecord,
    LoadDetail,
    LoadElsewhere,
    ServerSigns,
    ZoneLoad,
    decode,
    encode,
    from_plain,
    to_plain,
)


class Entries:
    """Entries spread over some zones, and the messages between them."""

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
        """Let every entry send its load once, then every collector its sums."""
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


def test_each_entry_receives_the_load_of_all_others():
    cluster = Entries(count=60, zones=5)
    for step in range(3):
        cluster.round(now=step * 0.6)
    for record in cluster.records:
        received = cluster.elsewhere_by_address[record.address]
        assert received.running_by_server == cluster.others_of(record.address)
        assert received.entries == 59


@pytest.mark.parametrize("count", [60, 180, 360])
def test_messages_grow_with_the_number_of_entries_and_not_with_its_square(count):
    cluster = Entries(count, zones=6)
    cluster.round(now=0.0)
    assert cluster.messages <= 4 * count + 60


def test_few_entries_exchange_loads_without_a_collector():
    cluster = Entries(count=MAX_DIRECT_ENTRIES - 1, zones=3)
    cluster.round(now=0.0)
    assert not any(one.is_collector() for one in cluster.digest_by_address.values())
    assert cluster.messages == (MAX_DIRECT_ENTRIES - 1) * (MAX_DIRECT_ENTRIES - 2)


def test_a_collector_that_stops_leaves_no_entry_without_updates():
    # Guards against a frozen or dead collector, whose zone would choose without the loads of
    # others.
    cluster = Entries(count=60, zones=5)
    for step in range(3):
        cluster.round(now=step * 0.6)
    cluster.down = {
        next(
            a
            for a, d in cluster.digest_by_address.items()
            if d.is_collector() and a not in cluster.down
        )
    }
    cluster.elsewhere_by_address.clear()
    for step in range(3):
        cluster.round(now=2 * LOAD_VALID_S + step * 0.6)
    for record in cluster.records:
        if record.address in cluster.down:
            continue
        received = cluster.elsewhere_by_address[record.address]
        assert received.running_by_server == cluster.others_of(record.address)


def test_a_stopped_entry_does_not_count():
    # Guards against calls of a dead entry that would keep others from a free server.
    cluster = Entries(count=60, zones=5)
    cluster.round(now=0.0)
    stopped = next(a for a, d in cluster.digest_by_address.items() if not d.is_collector())
    cluster.down = {stopped}
    for step in range(3):
        cluster.round(now=2 * LOAD_VALID_S + step * 0.6)
    watcher = cluster.records[1].address
    assert cluster.elsewhere_by_address[watcher].running_by_server == cluster.others_of(watcher)


def test_collectors_sum_the_overdue_calls_of_entries():
    """If the sum lost them, each entry would have to detect a hung server by its own calls."""
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
    entry_load = EntryLoad(other, {"s": 1}, ServerSigns({"s": 1}, {"s": 4}))
    digests[collector].on_entry_load(entry_load, 0.0)
    elsewhere = digests[collector].elsewhere({"s": 2}, 0.1, ServerSigns({"s": 2}))
    assert elsewhere.running_by_server == {"s": 1}
    assert elsewhere.signs == ServerSigns({"s": 1}, {"s": 4})


def test_news_between_the_two_sums_of_a_round_counts_in_the_second():
    # Failure: a collector sends out sums that it kept from before a message arrived.
    entries = Entries(MAX_DIRECT_ENTRIES + 8, 3)
    collector = next(one for one in entries.digest_by_address.values() if one.is_collector())
    zone = collector._own_record.availability_zone
    others = [one for one in entries.records if one.availability_zone == zone]
    others = [one.entry_id for one in others if one.entry_id != collector._own_record.entry_id]

    def told() -> set[int]:
        sums = [one.message for one in collector.digests({"s": 1}, 1.0)]
        return {one.running_by_server.get("s", 0) for one in sums if isinstance(one, LoadElsewhere)}

    collector.elsewhere({"s": 1}, 1.0)
    assert told() == {1}
    collector.elsewhere({"s": 1}, 1.0)
    collector.on_entry_load(EntryLoad(others[0], {"s": 5}), 1.0)
    assert told() == {1, 6}


def test_details_of_all_other_entries_reach_each_entry():
    # A detail that is lost in a sum, or counted twice, lets an entry send calls to a full server.
    entries = Entries(MAX_DIRECT_ENTRIES + 8, 3)
    details = {one.address: LoadDetail(tokens_by_server={"s": 10}) for one in entries.records}
    for address, digest in entries.digest_by_address.items():
        entries.deliver(digest.announce({}, detail=details[address]), 0.0)
    for _ in range(2):
        for address, digest in entries.digest_by_address.items():
            if digest.is_collector():
                messages = digest.digests({}, 0.0, detail=details[address])
                digest._zones_sent_at = float("-inf")
                entries.deliver(messages, 0.0)
    others = len(entries.records) - 1
    for message in entries.elsewhere_by_address.values():
        assert message.detail.tokens_by_server == {"s": 10 * others}


def test_load_of_an_earlier_version_without_detail_is_understood():
    # During a rolling upgrade both versions run side by side.
    plain = to_plain(EntryLoad("e-1", {"s": 1}))
    del plain[1]["detail"]
    assert from_plain(plain) == EntryLoad("e-1", {"s": 1})
    assert decode(encode(EntryLoad("e-1", {}, detail=LoadDetail({"s": 5})))).detail == LoadDetail(
        {"s": 5}
    )


def test_detail_costs_nothing_where_no_part_is_switched_on():
    entries = Entries(MAX_DIRECT_ENTRIES + 8, 3)
    entries.round(0.0)
    entries.round(1.0)
    assert all(one.detail is None for one in entries.elsewhere_by_address.values())
