"""Carries out orders to the engine, one at a time."""

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
# The calls that run on a model end before its weights are exchanged. Longer than most calls run;
# where one runs longer still, the order is refused and the leader gives it again.
IDLE_SECONDS = 120.0
IDLE_POLL_SECONDS = 0.02


class OrderDesk:
    """The one place from which orders reach the engine.

    `loaded` is what the engine itself last said. An engine that ignores fencing numbers may act on
    an order long after its answer was lost, and only its own word shows that: it is asked before
    each order, and between orders with each probe, so that the leader sees it and orders anew.
    """

    __slots__ = ("_adopted", "_backend", "_context", "_execution", "_follower", "_gate", "_lock",
                 "loaded")  # fmt: skip

    def __init__(
        self, backend: Backend, follower: Follower, context: ProcessContext, execution: Execution
    ) -> None:
        self._backend = backend
        self._follower = follower
        self._context = context
        self._execution = execution
        self._gate = OrderGate()
        self._lock = eventlet.semaphore.Semaphore(1)
        self._adopted = False
        self.loaded: dict[str, str] = {}

    def read_loaded(self) -> bool:
        """Ask the engine what it has loaded; return whether it answered."""
        try:
            self.loaded = self._backend.loaded()
        except BackendError as error:
            log.debug("engine.loaded_unknown", error=str(error))
            return False
        if self.loaded and not self._adopted:
            # The settings say what the engine was started with. After orders to an earlier life
            # of this sidecar that is old, and calls would reach an engine without their model.
            self._execution.serves.clear()
            self._execution.serves.update(self.loaded)
        self._adopted = True
        return True

    def carry_out(self, order: EngineOrder) -> OrderDone:
        """Carry out an order, or say why not."""
        with self._lock:
            refused = self._refusal(order)
            if refused is not None:
                return refused
            done = self._exchange(order)
            if done.done:
                self._gate.carried_out(done)
                self._context.timeline.add(
                    "engine.order", order=order.order_id, action=order.action, model=order.model
                )
            return done

    def _refusal(self, order: EngineOrder) -> OrderDone | None:
        fresh = self._follower.is_fresh(self._context.monotonic())
        return self._gate.refusal(order, self._follower.fencing, fresh)

    def _exchange(self, order: EngineOrder) -> OrderDone:
        """Take the model out of service, give the order, and serve what the engine then has."""
        if not self.read_loaded():
            return OrderDone(order.order_id, False, "the engine does not say what it has loaded")
        serves = self._execution.serves
        served = order.model in serves
        if not self._is_in_effect(order):
            serves.discard(order.model)
            failure = self._send_when_idle(order)
            if failure is not None:
                if served:
                    serves.add(order.model)
                return failure
        if order.action.startswith("load"):
            serves.add(order.model)
        if order.action == UNLOAD:
            serves.discard(order.model)
        return OrderDone(order.order_id, True)

    def _send_when_idle(self, order: EngineOrder) -> OrderDone | None:
        """Send an order once nothing runs on its model; return how it failed, or None."""
        if not self._wait_until_idle(order.model):
            return OrderDone(order.order_id, False, f"calls of {order.model} still run")
        # Asked again: the lease may have run out, or another leader been confirmed, meanwhile.
        refused = self._refusal(order)
        if refused is not None:
            return refused
        try:
            self._backend.order(order)
        except BackendError as error:
            # The answer was lost, perhaps; the engine's own word then counts.
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
        deadline = self._context.monotonic() + IDLE_SECONDS
        while self._execution.in_use(model):
            if self._context.monotonic() >= deadline:
                return False
            eventlet.sleep(IDLE_POLL_SECONDS)
        return True
