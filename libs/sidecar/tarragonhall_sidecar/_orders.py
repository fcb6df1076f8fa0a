"""Checks which orders may reach the engine.

An order of a deposed leader can arrive after those of its successor and undo them. An engine that
checks fencing numbers refuses it; others obey, and two leaders would load and unload in turn. So
the sidecar checks for every engine: one order at a time, none below the highest fencing number
seen, and none until the control group has confirmed a number to this incarnation of the sidecar,
because a restart loses the highest one.
"""

from __future__ import annotations

import collections

from tarragonhall_model import EngineOrder, OrderDone

# A leader resends an order only for the length of an election; even a day has far fewer orders.
MAX_STORED_ORDERS = 1_000


class OrderGate:
    """Rejects orders with an old fencing number and stores the results of executed ones."""

    __slots__ = ("_done_by_id", "_highest_fencing")

    def __init__(self) -> None:
        self._highest_fencing = 0
        self._done_by_id: collections.OrderedDict[str, OrderDone] = collections.OrderedDict()

    def refusal(self, order: EngineOrder, confirmed_fencing: int, fresh: bool) -> OrderDone | None:
        """Return the reply to an order that must not be executed now, or None.

        `confirmed_fencing` is the highest number that a majority confirmed, and `fresh` whether
        that confirmation is recent enough to act on.
        """
        done = self._done_by_id.get(order.order_id)
        if done is not None:
            return done
        if not fresh or confirmed_fencing == 0:
            return OrderDone(order.order_id, False, "no fencing number was confirmed recently")
        highest_fencing = max(self._highest_fencing, confirmed_fencing)
        if order.fencing < highest_fencing:
            detail = f"fencing number {order.fencing} is older than {highest_fencing}"
            return OrderDone(order.order_id, False, detail)
        self._highest_fencing = order.fencing
        return None

    def record_done(self, done: OrderDone) -> None:
        """Store the result of an executed order, so that a resend is not executed again."""
        self._done_by_id[done.order_id] = done
        if len(self._done_by_id) > MAX_STORED_ORDERS:
            self._done_by_id.popitem(last=False)
