"""Home regions over real connections: which servers and stores may see a call's body."""

from __future__ import annotations

import dataclasses

from relay_stand_ins import answers, event, stream
from tarragonhall_model import StoreRecord, View


def with_homes(relay, *regions: str) -> None:
    """Give every route these home regions; the entry stands in zone tx-waco of region tx."""
    table = relay.state.table
    routes = tuple(dataclasses.replace(one, home_regions=regions) for one in table.config.routes)
    relay.state.table = type(table)(dataclasses.replace(table.config, routes=routes))


def put_in(relay, region_by_zone: dict[str, str]) -> None:
    relay.state.region_by_zone = region_by_zone


def test_a_call_without_a_server_at_home_is_refused_at_once_and_reaches_none(relay):
    """Held until its time is over, the caller would learn too late what was known at once."""
    backend = relay.backend(answers())
    zone = backend.record().availability_zone
    put_in(relay, {zone: "wa"})
    with_homes(relay, "tx")
    began = relay.state.monotonic()
    assert relay.call("/buy/")[0] == 503
    assert backend.arrived == []
    assert relay.state.monotonic() - began < 0.5
    put_in(relay, {zone: "tx"})
    assert relay.call("/buy/", attempt="a-2")[0] == 200


def test_what_a_program_says_is_kept_by_no_store_abroad(relay):
    """Stores keep turns on several members; one abroad would hold what must stay at home."""
    backend = relay.backend(
        lambda _backend, arrived: arrived.connection.sendall(stream(arrived, event(1)))
    )
    zone = backend.record().availability_zone
    put_in(relay, {zone: "tx", "wa-derby": "wa"})
    with_homes(relay, "tx")
    abroad = View(1, [], [], stores=[StoreRecord("s-1", "1", "a:1", "wa-derby")])
    relay.state.store_zones = lambda: {one.availability_zone for one in abroad.stores}
    assert relay.call("/talk/", attempt="a-1")[0] == 503
    assert backend.arrived == []
    relay.state.store_zones = lambda: {zone}
    relay.call("/talk/", attempt="a-2")
    assert len(backend.arrived) == 1
