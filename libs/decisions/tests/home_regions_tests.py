"""Calls whose route or organisation names its home regions run on servers there alone."""

from __future__ import annotations

import random

from tarragonhall_decisions import BackendChooser, CallNeed, home_zones
from tarragonhall_model import BackendRecord

REGION_BY_ZONE = {"tx-waco": "tx", "tx-temple": "tx", "wa-derby": "wa"}


def test_where_both_name_regions_both_bind():
    assert home_zones((), (), REGION_BY_ZONE) is None
    assert home_zones(("tx",), (), REGION_BY_ZONE) == {"tx-waco", "tx-temple"}
    assert home_zones(("tx", "wa"), ("wa",), REGION_BY_ZONE) == {"wa-derby"}
    assert home_zones(("tx",), ("wa",), REGION_BY_ZONE) == frozenset()


def test_a_call_leaves_its_home_not_even_where_no_server_is_left_there():
    """The home's servers are lost and others stand idle; what must not leave stays unserved."""
    made = BackendChooser("tx-waco", random.Random(1))
    records = [
        BackendRecord(f"i-{zone}", "models", f"a-{zone}:1", zone, 4, 1, 1)
        for zone in REGION_BY_ZONE
    ]
    made.set_servers(records, 0.0)
    home = CallNeed("models", zones=home_zones(("tx",), (), REGION_BY_ZONE))
    for _ in range(20):
        record = made.choose(home, 0.0)
        if record is None:
            break
        assert REGION_BY_ZONE[record.availability_zone] == "tx"
        made.started(record.server_id, 0.0)
    made.set_servers(records[2:], 0.0)
    assert made.choose(home, 0.0) is None
    assert made.choose(CallNeed("models"), 0.0).server_id == "i-wa-derby"
