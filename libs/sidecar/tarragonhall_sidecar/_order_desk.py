"""Carries out orders to the engine, one at a time."""

from __future__ import annotations

import eventlet
from tarragonhall_model import EngineOrder, OrderDone
from tarragonhall_state import Follower
from tarragonhall_wire import ProcessContext

from tarragonhall_sidecar._backend import Backend, BackendError
from tarragonhall_sidecar._orders import OrderGate


class OrderDesk:
    """The one place from which orders reach the engine; `serves` follows what they load."""

    __slots__ = ("_backend", "_context", "_follower", "_gate", "_lock", "_serves")

    def __init__(
        self, backend: Backend, follower: Follower, context: ProcessContext, serves: set[str]
    ) -> None:
        self._backend = backend
        self._follower = follower
        self._context = context
        self._serves = serves
        self._gate = OrderGate()
        self._lock = eventlet.semaphore.Semaphore(1)

    def carry_out(self, order: EngineOrder) -> OrderDone:
        """Carry out an order, or say why not."""
        with self._lock:
            # Asked only now: the lease may have run out while another order was carried out.
            fresh = self._follower.is_fresh(self._context.monotonic())
            refused = self._gate.refusal(order, self._follower.fencing, fresh)
            if refused is not None:
                return refused
            return self._send(order)

    def _send(self, order: EngineOrder) -> OrderDone:
        try:
            self._backend.order(order)
        except BackendError as error:
            return OrderDone(order.order_id, False, str(error))
        if order.action.startswith("load"):
            self._serves.add(order.model)
        if order.action == "unload":
            self._serves.discard(order.model)
        done = OrderDone(order.order_id, True)
        self._gate.carried_out(done)
        self._context.timeline.add("engine.order", order=order.order_id, action=order.action)
        return done
