"""Load orders: which model each engine should have loaded.

Load pattern: demand moves from one model to another within minutes. Without orders, one model's
calls wait while engines with the other model are idle. Orders at each change of the queue would
make engines spend their time loading weights (flapping), and many loads at once exceed the weight
store's rate.

A model gets one more replica when its waiting work has exceeded what its replicas do in
`MAX_WAIT_S` for `DWELL_S`, or when it has fewer replicas than its policy asks for. The engine is
taken from the model whose replicas are least busy, never below that model's minimum. An engine that
changed recently is left alone for `COOLDOWN_S`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Expected wait for a model, in seconds, above which it needs another replica.
MAX_WAIT_S = 5.0
# Seconds for which the wait must stay above that. Loading weights takes tens of seconds, so shorter
# bursts pass before a load would help.
DWELL_S = 10.0
# Seconds for which a server keeps its model after a change: it then spends less than a quarter of
# its time loading.
COOLDOWN_S = 120.0
# Maximum number of concurrent loads in the deployment; the weight store's rate is limited.
MAX_CONCURRENT_LOADS = 2
# A replica with at most this share of its slots in use can be reassigned to another model.
IDLE_SHARE = 0.3


@dataclass(slots=True, frozen=True)
class ModelDemand:
    """The waiting work of a model: `waiting_s` is how long its replicas need for it."""

    model: str
    version: str
    min_replicas: int
    waiting_s: float


@dataclass(slots=True, frozen=True)
class EngineState:
    """An engine: the model it has loaded (or is loading) and the share of its slots in use."""

    server_id: str
    model: str | None
    version: str | None
    busy_share: float
    draining: bool = False


@dataclass(slots=True, frozen=True)
class LoadOrder:
    """An order to load this version of a model on an engine, replacing its current model."""

    server_id: str
    model: str
    version: str


@dataclass(slots=True)
class ModelOrders:
    """The leader's planner. It remembers since when each model has been short of replicas."""

    _overloaded_since: dict[str, float] = field(default_factory=dict)
    _changed_at: dict[str, float] = field(default_factory=dict)
    _loading: set[str] = field(default_factory=set)

    def plan(
        self, demands: list[ModelDemand], engines: list[EngineState], now: float
    ) -> list[LoadOrder]:
        """Return the orders to send now; report the end of each to `on_done`."""
        demand_by_model = {demand.model: demand for demand in demands}
        orders: list[LoadOrder] = []
        for demand in sorted(demands, key=lambda d: (-d.waiting_s, d.model)):
            if len(self._loading) >= MAX_CONCURRENT_LOADS:
                break
            if not self._needs_replica(demand, engines, now):
                continue
            engine = self._engine_to_reassign(demand, demand_by_model, engines, now)
            if engine is None:
                continue
            orders.append(LoadOrder(engine.server_id, demand.model, demand.version))
            self._loading.add(engine.server_id)
            self._changed_at[engine.server_id] = now
            self._overloaded_since.pop(demand.model, None)
        return orders

    def on_done(self, server_id: str, now: float) -> None:
        """Record that an order was carried out or failed."""
        self._loading.discard(server_id)
        self._changed_at[server_id] = now

    def _needs_replica(self, demand: ModelDemand, engines: list[EngineState], now: float) -> bool:
        replicas = _replicas(demand.model, engines)
        if replicas < demand.min_replicas:
            return True
        if demand.waiting_s <= MAX_WAIT_S:
            self._overloaded_since.pop(demand.model, None)
            return False
        since = self._overloaded_since.setdefault(demand.model, now)
        return now - since >= DWELL_S

    def _engine_to_reassign(
        self,
        demand: ModelDemand,
        demand_by_model: dict[str, ModelDemand],
        engines: list[EngineState],
        now: float,
    ) -> EngineState | None:
        below_minimum = _replicas(demand.model, engines) < demand.min_replicas
        best: EngineState | None = None
        for engine in engines:
            if engine.draining or engine.model == demand.model:
                continue
            if engine.server_id in self._loading:
                continue
            if now - self._changed_at.get(engine.server_id, float("-inf")) < COOLDOWN_S:
                continue
            current = demand_by_model.get(engine.model or "")
            if current is not None and _replicas(current.model, engines) <= current.min_replicas:
                continue
            if engine.busy_share > IDLE_SHARE and not below_minimum:
                continue
            if best is None or engine.busy_share < best.busy_share:
                best = engine
        return best


def _replicas(model: str, engines: list[EngineState]) -> int:
    return sum(1 for engine in engines if engine.model == model and not engine.draining)
