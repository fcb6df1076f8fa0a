"""Plans the next order for each engine from the models that it reports as loaded. No I/O.

Each step compares the desired state with the reported one: an order that was lost, repeated or took
effect late shows as a difference and leads to the next order. A new leader therefore needs no state
of its predecessor.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_decisions import (
    MAX_CONCURRENT_LOADS,
    EngineState,
    LoadOrder,
    ModelDemand,
    ModelOrders,
)
from tarragonhall_model import ModelPolicy, NodeLoad, ServerKind, ServerRecord

from tarragonhall_control._nodes import Node, node_key

LOAD_MODEL = "load_model"
UNLOAD = "unload"
# Load reports older than the default `entry_timeout_ms` no longer count as demand.
MAX_LOAD_AGE_SECONDS = 4.0


@dataclass(slots=True, frozen=True)
class Step:
    """The next order for one engine."""

    server: ServerRecord
    action: str
    model: str
    version: str


@dataclass(slots=True, frozen=True)
class Engines:
    """The model servers that accept orders, those with an order in flight and those backing off.

    `in_flight` maps the id of a server with an order to the model of that order.
    """

    by_id: dict[str, ServerRecord]
    in_flight: dict[str, str] = field(default_factory=dict)
    backing_off: frozenset[str] = frozenset()

    def is_free(self, server_id: str) -> bool:
        """Return whether an engine can get an order."""
        return server_id not in self.in_flight and server_id not in self.backing_off

    def ready_for(self, model: str) -> list[ServerRecord]:
        """Return the engines that can run calls of a model."""
        return [
            server
            for server in self.by_id.values()
            if model in server.serves
            and model in server.loaded
            and server.server_id not in self.in_flight
        ]


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """The load of a node and the time of its report."""

    load: NodeLoad
    reported_at: float


@dataclass(slots=True)
class OrderPlan:
    """The plan of orders during one term of leadership.

    `held_models` are the models whose version change waits because no replica can be spared.
    """

    held_models: set[str] = field(default_factory=set)
    _reported_by_key: dict[str, ReportedLoad] = field(default_factory=dict)
    _planner: ModelOrders = field(default_factory=ModelOrders)
    _switch_by_server: dict[str, LoadOrder] = field(default_factory=dict)

    def record_load(self, node: Node, load: NodeLoad, now: float) -> None:
        """Record the load that a heartbeat reports."""
        self._reported_by_key[node_key(node)] = ReportedLoad(load, now)

    def next_steps(self, models: list[ModelPolicy], engines: Engines, now: float) -> list[Step]:
        """Return the orders to send now, at most one for each engine."""
        self._drop_stale_loads(now)
        policy_by_model = {model.name: model for model in models}
        self._end_switches(policy_by_model, engines, now)
        steps = self._switch_steps(policy_by_model, engines)
        self.held_models.clear()
        for model in models:
            steps.extend(self._version_steps(model, engines))
        if not steps and not engines.in_flight:
            self._plan_switches(policy_by_model, engines, now)
            steps = self._switch_steps(policy_by_model, engines)
        return steps[: max(0, MAX_CONCURRENT_LOADS - len(engines.in_flight))]

    # Version changes, one server at a time.

    def _version_steps(self, model: ModelPolicy, engines: Engines) -> list[Step]:
        """Return at most one load of the version in force, or none if no replica can be spared."""
        outdated = [
            server
            for server in engines.by_id.values()
            if model.name in server.serves
            and server.loaded.get(model.name) != model.version
            and server.server_id not in self._switch_by_server
        ]
        free_servers = [server for server in outdated if engines.is_free(server.server_id)]
        ready = engines.ready_for(model.name)
        for server in free_servers:
            if server not in ready:
                # It runs no calls of the model, so the load delays no calls.
                return [Step(server, LOAD_MODEL, model.name, model.version)]
        if not free_servers or model.name in engines.in_flight.values():
            return []
        if len(ready) <= model.min_replicas:
            self.held_models.add(model.name)
            return []
        return [Step(free_servers[0], LOAD_MODEL, model.name, model.version)]

    # Switches of engines from one model to another.

    def _plan_switches(
        self, policy_by_model: dict[str, ModelPolicy], engines: Engines, now: float
    ) -> None:
        states = [
            self._engine_state(server, policy_by_model, engines)
            for server in engines.by_id.values()
        ]
        demands = [self._demand(model) for model in policy_by_model.values()]
        for order in self._planner.plan(demands, states, now):
            if self._violates_min_replicas(
                engines.by_id[order.server_id], policy_by_model, engines
            ):
                self._planner.on_done(order.server_id, now)
                continue
            self._switch_by_server[order.server_id] = order

    def _engine_state(
        self, server: ServerRecord, policy_by_model: dict[str, ModelPolicy], engines: Engines
    ) -> EngineState:
        switch = self._switch_by_server.get(server.server_id)
        model = switch.model if switch is not None else next(iter(server.serves), None)
        reported = self._reported_by_key.get(node_key(server))
        # An engine with several models, or with one that has no policy, is not switched.
        fixed = len(server.serves) > 1 or any(one not in policy_by_model for one in server.serves)
        busy_share = reported.load.busy_share if reported is not None else 1.0
        return EngineState(
            server.server_id,
            model,
            server.loaded.get(model or ""),
            busy_share,
            draining=fixed or not engines.is_free(server.server_id),
        )

    def _demand(self, model: ModelPolicy) -> ModelDemand:
        waits = [
            reported.load.waiting_s_by_target.get(model.name, 0.0)
            for reported in self._reported_by_key.values()
        ]
        # One more replica lets the others change their version without delaying calls.
        wanted = model.min_replicas + (model.name in self.held_models)
        return ModelDemand(model.name, model.version, wanted, max(waits, default=0.0))

    def _violates_min_replicas(
        self, server: ServerRecord, policy_by_model: dict[str, ModelPolicy], engines: Engines
    ) -> bool:
        for name in server.serves:
            ready = engines.ready_for(name)
            if server in ready and len(ready) <= policy_by_model[name].min_replicas:
                return True
        return False

    def _switch_steps(
        self, policy_by_model: dict[str, ModelPolicy], engines: Engines
    ) -> list[Step]:
        steps = []
        for server_id, switch in self._switch_by_server.items():
            if not engines.is_free(server_id):
                continue
            server = engines.by_id[server_id]
            others = [name for name in server.serves if name != switch.model]
            if others:
                # Unload first: two models may not fit into one engine's memory.
                version = server.loaded.get(others[0], "")
                steps.append(Step(server, UNLOAD, others[0], version))
                continue
            version = policy_by_model[switch.model].version
            steps.append(Step(server, LOAD_MODEL, switch.model, version))
        return steps

    def _end_switches(
        self, policy_by_model: dict[str, ModelPolicy], engines: Engines, now: float
    ) -> None:
        for server_id, switch in list(self._switch_by_server.items()):
            server = engines.by_id.get(server_id)
            policy = policy_by_model.get(switch.model)
            if server is not None and policy is not None and not _serves_only(server, policy):
                continue
            del self._switch_by_server[server_id]
            self._planner.on_done(server_id, now)

    def _drop_stale_loads(self, now: float) -> None:
        for key, reported in list(self._reported_by_key.items()):
            if now - reported.reported_at > MAX_LOAD_AGE_SECONDS:
                del self._reported_by_key[key]


def model_servers(servers: list[ServerRecord]) -> dict[str, ServerRecord]:
    """Return the servers that accept orders, by id: model engines that are not draining."""
    return {
        server.server_id: server
        for server in sorted(servers, key=lambda one: one.server_id)
        if server.kind is ServerKind.MODEL and not server.draining
    }


def _serves_only(server: ServerRecord, policy: ModelPolicy) -> bool:
    loaded = server.loaded.get(policy.name) == policy.version
    return loaded and server.serves == [policy.name]
