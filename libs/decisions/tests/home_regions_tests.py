"""Calls bound to the home regions of their route or organisation run on servers there alone."""

from __future__ import annotations

import random

from tarragonhall_decisions import BackendChooser, CallRequirements, home_zones
from tarragonhall_model import BackendRecord

REGION_BY_ZONE = {"tx-waco": "tx", "tx-temple": "tx", "wa-derby": "wa"}


def test_regions_of_route_and_organisation_both_apply():
    assert home_zones((), (), REGION_BY_ZONE) is None
    assert home_zones(("tx",), (), REGION_BY_ZONE) == {"tx-waco", "tx-temple"}
    assert home_zones(("tx", "wa"), ("wa",), REGION_BY_ZONE) == {"wa-derby"}
    assert home_zones(("tx",), ("wa",), REGION_BY_ZONE) == frozenset()


def test_a_call_stays_in_its_home_regions_even_without_a_server_there():
    """No home server is left while others are idle; the call must still stay unserved."""
    chooser = BackendChooser("tx-waco", random.Random(1))
    records = [
        BackendRecord(f"i-{zone}", "models", f"a-{zone}:1", zone, 4, 1, 1)
        for zone in REGION_BY_ZONE
    ]
    chooser.set_servers(records, 0.0)
    requirements = CallRequirements("models", zones=home_zones(("tx",), (), REGION_BY_ZONE))
    for _ in range(20):
        record = chooser.choose(requirements, 0.0)
        if record is None:
            break
        assert REGION_BY_ZONE[record.availability_zone] == "tx"
        chooser.started(record.server_id, 0.0)
    chooser.set_servers(records[2:], 0.0)
    assert chooser.choose(requirements, 0.0) is None
    assert chooser.choose(CallRequirements("models"), 0.0).server_id == "i-wa-derby"
