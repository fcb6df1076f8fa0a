"""Tests of the traffic counters."""

from __future__ import annotations

from tarragonhall_model import EntryLoad, KeepTurn, Propose, to_plain
from tarragonhall_wire import Traffic
from tarragonhall_wire._exposition import Exposition
from tarragonhall_wire._traffic import message_kind


def test_messages_are_counted_by_kind_and_by_whether_they_leave_the_zone():
    exposition = Exposition()
    traffic = Traffic("tx-austin", exposition)
    traffic.count("EntryLoad", 100, "tx-austin")
    traffic.count("EntryLoad", 100, "tx-waco")
    traffic.count("EntryLoad", 50, "tx-waco")
    traffic.count("EntryLoad", 7, "")
    assert traffic.totals() == {
        "EntryLoad between": [2, 150],
        "EntryLoad inside": [1, 100],
        "EntryLoad unknown": [1, 7],
    }
    text = exposition.text()
    assert 'traffic_bytes_total{kind="EntryLoad",scope="between"} 150' in text


def test_a_message_is_named_with_its_embedded_message():
    keep = KeepTurn("turn-1", "shop", "p-1", None, b"in", b"out", 3, "i-1", 1000)
    assert message_kind(to_plain(Propose("req-1", keep))) == "Propose.KeepTurn"
    assert message_kind(to_plain(EntryLoad("edge-1", {}))) == "EntryLoad"
    assert message_kind(None) == "ping"
