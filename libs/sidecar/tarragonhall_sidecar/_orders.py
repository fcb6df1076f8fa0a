"""Which orders may reach the engine.

An order of a leader that was deposed can arrive after those of its successor and undo them. An
engine that checks fencing numbers refuses it; others obey, and two leaders would load and unload in
turn. So the sidecar checks for every engine: one order at a time, none below the highest number
seen, and none until the control group has confirmed a number to this life of the sidecar, because
a restarted sidecar remembers none.
"""

from __future__ import annotations

import collections

from tarragonhall_model import EngineOrder, OrderDone

# A leader resends an order for as long as one election takes; a day of orders is far less.
ORDERS_KEPT = 1_000


class OrderGate:
    """Admits orders in the order of their fencing numbers and remembers what became of them."""

    __slots__ = ("_done_by_id", "_highest")

    def __init__(self) -> None:
        self._highest = 0
        self._done_by_id: collections.OrderedDict[str, OrderDone] = collections.OrderedDict()

    def refusal(self, order: EngineOrder, confirmed: int, fresh: bool) -> OrderDone | None:
        """Return the reply to an order that must not be carried out now, or None.

        `confirmed` is the highest number that a majority confirmed, and `fresh` whether that was
        lately enough to act on.
        """
        done = self._done_by_id.get(order.order_id)
        if done is not None:
            return done
        if not fresh or confirmed == 0:
            return OrderDone(order.order_id, False, "no fencing number was confirmed lately")
        highest = max(self._highest, confirmed)
        if order.fencing < highest:
            detail = f"fencing number {order.fencing} is older than {highest}"
            return OrderDone(order.order_id, False, detail)
        self._highest = order.fencing
        return None

    def carried_out(self, done: OrderDone) -> None:
        """Remember an order that was carried out, so that a resend is not carried out again."""
        self._done_by_id[done.order_id] = done
        if len(self._done_by_id) > ORDERS_KEPT:
            self._done_by_id.popitem(last=False)
