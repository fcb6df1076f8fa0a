"""The next order of each engine, by what the engines say they have loaded."""

from __future__ import annotations

from dataclasses import replace

from tarragonhall_control._order_plan import Engines, OrderPlan, model_servers
from tarragonhall_model import EntryRecord, ModelPolicy, NodeLoad, ServerKind, ServerRecord

ENTRY = EntryRecord("e", "1", "127.0.0.1:1", "z")


def engine(name: str, model: str, version: str) -> ServerRecord:
    return ServerRecord(
        name, "1", f"a-{name}", "z", ServerKind.MODEL, [model], loaded={model: version}
    )


def carry_out(server: ServerRecord, step) -> ServerRecord:
    """Return what a sidecar announces after an order."""
    serves, loaded = set(server.serves), dict(server.loaded)
    if step.action == "unload":
        serves.discard(step.model)
        loaded.pop(step.model, None)
    else:
        serves.add(step.model)
        loaded[step.model] = step.version
    return replace(server, serves=sorted(serves), loaded=loaded)


def test_a_new_version_reaches_one_server_after_the_other():
    """An operator puts a version in force. Were all servers to load it at once, every call would
    wait for as long as weights take to load.
    """
    by_id = model_servers([engine(name, "m", "1") for name in "abc"])
    plan, models, orders = OrderPlan(), [ModelPolicy("m", "2", 2)], []
    for second in range(10):
        for step in plan.next_steps(models, Engines(by_id), float(second)):
            in_flight = {step.server.server_id: "m"}
            unserved = by_id | {step.server.server_id: replace(step.server, serves=[])}
            assert not plan.next_steps(models, Engines(unserved, in_flight), second + 0.5)
            orders.append(step.server.server_id)
            by_id[step.server.server_id] = carry_out(step.server, step)
    assert orders == ["a", "b", "c"]
    assert {server.loaded["m"] for server in by_id.values()} == {"2"}


def test_a_version_waits_where_no_ready_server_can_be_spared():
    """The only replicas of a model are all that its minimum allows. Loading would leave its calls
    without them, so the change is held and shown as held; a server of the same model that is not
    ready loads at once.
    """
    by_id = model_servers([engine("a", "m", "1")])
    plan, models = OrderPlan(), [ModelPolicy("m", "2", 1)]
    assert not plan.next_steps(models, Engines(by_id), 0.0)
    assert plan.held_models == {"m"}
    by_id["b"] = replace(engine("b", "m", "1"), loaded={})
    (step,) = plan.next_steps(models, Engines(by_id), 1.0)
    assert (step.server.server_id, step.version) == ("b", "2")
    by_id["b"] = carry_out(step.server, step)
    (step,) = plan.next_steps(models, Engines(by_id), 2.0)
    assert step.server.server_id == "a"


def test_an_engine_that_acted_on_an_old_order_late_is_ordered_again():
    """The engine ignores fencing numbers and acts on an order of the former leader minutes late.
    It says so, and without another order it would serve the old version for good.
    """
    by_id = model_servers([engine("a", "m", "2"), engine("b", "m", "2")])
    plan, models = OrderPlan(), [ModelPolicy("m", "2", 1)]
    assert not plan.next_steps(models, Engines(by_id), 0.0)
    by_id["b"] = engine("b", "m", "1")
    (step,) = plan.next_steps(models, Engines(by_id), 1.0)
    assert (step.server.server_id, step.action, step.version) == ("b", "load_model", "2")


def test_a_lasting_lack_moves_an_idle_engine_to_the_model_that_lacks():
    """The demand moves from one model to another. Calls of the second would wait for as long as
    engines of the first stand idle.
    """
    by_id = model_servers([engine("a", "m", "1"), engine("b", "m", "1"), engine("c", "n", "1")])
    plan, models, orders = OrderPlan(), [ModelPolicy("m", "1"), ModelPolicy("n", "1")], []
    for second in range(20):
        plan.record_load(ENTRY, NodeLoad({"n": 30.0}), float(second))
        for name, server in by_id.items():
            plan.record_load(
                server, NodeLoad(busy_share=1.0 if name == "c" else 0.0), float(second)
            )
        for step in plan.next_steps(models, Engines(by_id), float(second)):
            orders.append((step.server.server_id, step.action, step.model))
            by_id[step.server.server_id] = carry_out(step.server, step)
    assert orders == [("a", "unload", "m"), ("a", "load_model", "n")]


def test_an_engine_of_a_model_without_a_version_is_left_alone():
    """Only one of two models has a version in force. The other's only engine serves calls that no
    setting speaks of, and taking it away would end them.
    """
    by_id = model_servers([engine("a", "other", "1")])
    assert not OrderPlan().next_steps([ModelPolicy("m", "1")], Engines(by_id), 0.0)
