"""Executes orders on the engine, one at a time."""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_model import EngineOrder, OrderDone
from tarragonhall_state import Follower
from tarragonhall_wire import ProcessContext

from tarragonhall_sidecar._backend import Backend, BackendError
from tarragonhall_sidecar._execution import Execution
from tarragonhall_sidecar._orders import OrderGate

log = structlog.get_logger(__name__)

LOAD_MODEL = "load_model"
UNLOAD = "unload"
# Running calls of a model must end before its weights are replaced. This is longer than most calls
# take; if one takes longer, the order is refused and the leader sends it again.
IDLE_TIMEOUT_SECONDS = 120.0
IDLE_POLL_SECONDS = 0.02


class OrderHandler:
    """Serializes the orders to the engine.

    `loaded` is what the engine last reported. An engine that ignores fencing numbers may execute an
    order long after its answer was lost, which only its own report shows. So `loaded` is read
    before each order and with each probe; the leader sees it and issues new orders.
    """

    __slots__ = ("_backend", "_context", "_execution", "_follower", "_gate", "_loaded_known",
                 "_lock", "loaded")  # fmt: skip

    def __init__(
        self, backend: Backend, follower: Follower, context: ProcessContext, execution: Execution
    ) -> None:
        self._backend = backend
        self._follower = follower
        self._context = context
        self._execution = execution
        self._gate = OrderGate()
        self._lock = eventlet.semaphore.Semaphore(1)
        self._loaded_known = False
        self.loaded: dict[str, str] = {}

    def read_loaded(self) -> bool:
        """Update `loaded` from the engine; return whether it answered."""
        try:
            self.loaded = self._backend.loaded()
        except BackendError as error:
            log.debug("engine.loaded_unknown", error=str(error))
            return False
        if self.loaded and not self._loaded_known:
            # The settings name the models at the engine's start. After orders to an earlier
            # incarnation of this sidecar they are outdated, and calls would reach an engine that
            # has not loaded their model.
            self._execution.serves.clear()
            self._execution.serves.update(self.loaded)
        self._loaded_known = True
        return True

    def execute(self, order: EngineOrder) -> OrderDone:
        """Execute an order; return the result, with the reason if it was refused."""
        with self._lock:
            refusal = self._refusal(order)
            if refusal is not None:
                return refusal
            done = self._apply(order)
            if done.done:
                self._gate.record_done(done)
                self._context.timeline.add(
                    "engine.order", order=order.order_id, action=order.action, model=order.model
                )
            return done

    def _refusal(self, order: EngineOrder) -> OrderDone | None:
        fresh = self._follower.is_fresh(self._context.monotonic())
        return self._gate.refusal(order, self._follower.fencing, fresh)

    def _apply(self, order: EngineOrder) -> OrderDone:
        """Stop serving the model, send the order, and serve what the engine then has loaded."""
        if not self.read_loaded():
            return OrderDone(order.order_id, False, "the engine does not report what is loaded")
        serves = self._execution.serves
        was_served = order.model in serves
        if not self._is_in_effect(order):
            serves.discard(order.model)
            failure = self._send_when_idle(order)
            if failure is not None:
                if was_served:
                    serves.add(order.model)
                return failure
        if order.action.startswith("load"):
            serves.add(order.model)
        if order.action == UNLOAD:
            serves.discard(order.model)
        return OrderDone(order.order_id, True)

    def _send_when_idle(self, order: EngineOrder) -> OrderDone | None:
        """Send an order once no call of its model runs; return the failure, or None."""
        if not self._wait_until_idle(order.model):
            return OrderDone(order.order_id, False, f"calls of {order.model} still run")
        # Checked again: meanwhile the lease may have expired or a new leader been confirmed.
        refusal = self._refusal(order)
        if refusal is not None:
            return refusal
        try:
            self._backend.send_order(order)
        except BackendError as error:
            # Perhaps only the answer was lost, so the engine's own report decides.
            self.read_loaded()
            if self._is_in_effect(order):
                return None
            return OrderDone(order.order_id, False, str(error))
        self.read_loaded()
        return None

    def _is_in_effect(self, order: EngineOrder) -> bool:
        if order.action == LOAD_MODEL:
            return self.loaded.get(order.model) == order.version
        return order.action == UNLOAD and order.model not in self.loaded

    def _wait_until_idle(self, model: str) -> bool:
        deadline = self._context.monotonic() + IDLE_TIMEOUT_SECONDS
        while self._execution.in_use(model):
            if self._context.monotonic() >= deadline:
                return False
            eventlet.sleep(IDLE_POLL_SECONDS)
        return True
