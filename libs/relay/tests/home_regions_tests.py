"""Home regions over real connections: which servers and stores may receive a call's body."""

from __future__ import annotations

import dataclasses

from relay_doubles import answers, event, stream
from tarragonhall_model import StoreRecord, View


def set_home_regions(relay, *regions: str) -> None:
    """Give every route these home regions."""
    table = relay.state.table
    routes = tuple(dataclasses.replace(one, home_regions=regions) for one in table.config.routes)
    relay.state.table = type(table)(dataclasses.replace(table.config, routes=routes))


def set_regions(relay, region_by_zone: dict[str, str]) -> None:
    relay.state.region_by_zone = region_by_zone


def test_call_without_server_in_its_home_regions_is_rejected_at_once(relay):
    """If the call waited until its deadline, its client would learn of the rejection too late."""
    backend = relay.backend(answers())
    zone = backend.record().availability_zone
    set_regions(relay, {zone: "wa"})
    set_home_regions(relay, "tx")
    began = relay.state.monotonic()
    assert relay.call("/buy/")[0] == 503
    assert backend.received == []
    assert relay.state.monotonic() - began < 0.5
    set_regions(relay, {zone: "tx"})
    assert relay.call("/buy/", attempt="a-2")[0] == 200


def test_turns_are_not_stored_outside_their_home_regions(relay):
    """Turns are replicated to several stores, all of which must be in the home regions."""
    backend = relay.backend(
        lambda _backend, received: received.connection.sendall(stream(received, event(1)))
    )
    zone = backend.record().availability_zone
    set_regions(relay, {zone: "tx", "wa-derby": "wa"})
    set_home_regions(relay, "tx")
    abroad = View(1, [], [], stores=[StoreRecord("s-1", "1", "a:1", "wa-derby")])
    relay.state.store_zones = lambda: {one.availability_zone for one in abroad.stores}
    assert relay.call("/talk/", attempt="a-1")[0] == 503
    assert backend.received == []
    relay.state.store_zones = lambda: {zone}
    relay.call("/talk/", attempt="a-2")
    assert len(backend.received) == 1
