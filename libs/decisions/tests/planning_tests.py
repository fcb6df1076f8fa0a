"""Drain, subsets, load orders and cache, judged by the effect on callers and servers."""

from __future__ import annotations

import random
from collections import Counter

from tarragonhall_decisions import (
    DrainPhase,
    EngineState,
    EntryDrain,
    HeldPrefix,
    ModelDemand,
    ModelOrders,
    Router,
    RoutingRequest,
    select_releases,
    should_move,
    subset,
)
from tarragonhall_model import LoadReport, ServerKind, ServerRecord


def server(name: str, zone: str = "zone-a", draining: bool = False) -> ServerRecord:
    """Return a server of the model `m`."""
    return ServerRecord(name, "1", name, zone, ServerKind.MODEL, ["m"], 4, draining)


def test_entry_exits_only_when_its_calls_are_answered():
    """An entry is restarted while calls run. It must stay until the last one has its answer."""
    drain = EntryDrain(grace_s=2.0)
    drain.begin(0.0)
    assert drain.step(3, 1.9) is DrainPhase.NOT_READY
    assert drain.step(3, 2.0) is DrainPhase.CLOSED
    assert drain.step(1, 30.0) is DrainPhase.CLOSED
    assert drain.step(0, 30.1) is DrainPhase.LEFT


def test_entry_is_forced_out_at_last():
    """A call never ends. The operator's restart must not hang on it for ever."""
    drain = EntryDrain(grace_s=2.0)
    drain.begin(0.0)
    assert drain.step(1, 66.0) is DrainPhase.FORCED


def test_draining_unhealthy_and_unlinked_servers_get_no_work():
    """One server drains, the engine of another is down, and a third has no link. Calls sent there
    would wait in vain.
    """
    router = Router("zone-a", random.Random(1))
    router.on_view([server("d", draining=True), server("u"), server("l"), server("ok")])
    router.on_load_report(LoadReport("u", "1", 0, 0, 4, healthy=False))
    router.on_link("l", up=False)
    chosen = {router.choose(RoutingRequest("m", f"p{n}"), 0.0).server.server_id for n in range(50)}
    assert chosen == {"ok"}


def test_own_zone_first():
    """Two servers in the entry's own zone and two in another are idle; calls stay in the zone."""
    router = Router("zone-a", random.Random(1))
    router.on_view([server("a1"), server("a2"), server("b1", "zone-b"), server("b2", "zone-b")])
    chosen = Counter(
        router.choose(RoutingRequest("m", f"p{n}"), 0.0).server.server_id for n in range(50)
    )
    assert set(chosen) == {"a1", "a2"}


def test_slow_server_keeps_a_small_share():
    """A slow server must get few calls, as each delays its caller, but not none, or its recovery
    would go unnoticed while the others carry its load.
    """
    router = Router("zone-a", random.Random(1))
    router.on_view([server("slow"), server("b"), server("c")])
    now = 0.0
    for number in range(12):
        for name, seconds in (("slow", 5.0), ("b", 0.5), ("c", 0.5)):
            router.on_start(name, f"{name}-{number}", RoutingRequest("m", "p"), now)
            router.on_end(name, f"{name}-{number}", 1.0, True, now + seconds)
        now += 1.0
        router.choose(RoutingRequest("m", "p"), now)
    chosen = Counter(
        router.choose(RoutingRequest("m", f"p{n}"), now).server.server_id for n in range(1_000)
    )
    assert 0 < chosen["slow"] < 100


def test_subsets_cover_the_servers_evenly():
    """Each of 360 entries links to a part of 3,700 servers. A server linked from few entries would
    idle while the others queue.
    """
    entries = [f"e{n}" for n in range(360)]
    servers = [server(f"s{n}") for n in range(3_700)]
    sizes = []
    links = Counter()
    for entry in entries[::6]:
        chosen = subset(entry, entries, servers)
        sizes.append(len(chosen))
        links.update(item.server_id for item in chosen)
    assert min(sizes) == max(sizes) == 100
    assert len(subset("e1", entries, servers[:50])) == 50


def test_every_server_is_linked_from_some_entry():
    """Over all entries no server is left out."""
    entries = [f"e{n}" for n in range(74)]
    servers = [server(f"s{n}") for n in range(1_000)]
    links = Counter(item.server_id for entry in entries for item in subset(entry, entries, servers))
    assert len(links) == 1_000
    assert max(links.values()) - min(links.values()) <= 1


def engines(now_on: dict[str, str]) -> list[EngineState]:
    """Return idle engines by their model."""
    return [EngineState(name, model, "v1", 0.1) for name, model in now_on.items()]


def test_load_order_waits_for_lasting_demand():
    """A burst for one model passes in a few seconds. Loading weights for it would take longer than
    the burst, and the engine would be missing for its own model.
    """
    orders = ModelOrders()
    on = engines({"e1": "a", "e2": "b", "e3": "b"})
    short = [ModelDemand("a", "v1", 1, 30.0), ModelDemand("b", "v1", 1, 0.0)]
    calm = [ModelDemand("a", "v1", 1, 0.0), ModelDemand("b", "v1", 1, 0.0)]
    assert not orders.plan(short, on, 0.0)
    assert not orders.plan(calm, on, 5.0)
    assert not orders.plan(short, on, 6.0)
    assert not orders.plan(short, on, 15.0)
    (order,) = orders.plan(short, on, 16.0)
    assert (order.model, order.server_id) in {("a", "e2"), ("a", "e3")}


def test_changing_demand_does_not_make_engines_flap():
    """The demand swings between two models twice a minute for an hour. Engines that followed it
    would spend their time loading weights, and callers of both models would wait.
    """
    orders = ModelOrders()
    on = {"e1": "a", "e2": "a", "e3": "b", "e4": "b"}
    changes = 0
    for second in range(3_600):
        hot = "ab"[second // 30 % 2]
        demands = [ModelDemand(m, "v1", 1, 30.0 if m == hot else 0.0) for m in "ab"]
        for order in orders.plan(demands, engines(on), float(second)):
            on[order.server_id] = order.model
            orders.on_done(order.server_id, float(second))
            changes += 1
    assert changes <= 4 * 3_600 / 120
    assert set(on.values()) == {"a", "b"}


def test_ended_programs_are_released_first():
    """An engine's memory is full of ended and paused programs. Releasing a paused one makes its
    next turn recompute everything.
    """
    held = [
        HeldPrefix("ended", 500, 1.0, active=False),
        HeldPrefix("running", 500, None),
        HeldPrefix("long-idle", 300, 300.0),
        HeldPrefix("fresh", 300, 1.0),
    ]
    assert select_releases(held, 10_000) == ["ended"]
    assert select_releases(held, 1_100) == ["ended", "long-idle"]


def test_cache_moves_only_where_that_is_quicker():
    """A long history is moved over a fast network and recomputed over a slow one."""
    assert should_move(100_000, 1e-4, 100_000, 10e9)
    assert not should_move(100_000, 1e-4, 100_000, 0.5e9)
