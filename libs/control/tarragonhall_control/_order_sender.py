"""Sends the leader's orders to sidecars and resends each until its outcome is known."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Protocol

import eventlet
import structlog
from tarragonhall_group import LogLoop
from tarragonhall_model import EngineOrder, LinkError, NodeLoad, OrderDone, ServerRecord
from tarragonhall_state import ControlState
from tarragonhall_wire import ProcessContext, repeat

from tarragonhall_control._nodes import Node
from tarragonhall_control._order_plan import UNLOAD, Engines, OrderPlan, Step, model_servers

log = structlog.get_logger(__name__)

# A load may take minutes. A resend of the same order waits for it and gets its outcome, so this
# timeout detects a lost response without aborting the load.
RESPONSE_TIMEOUT_SECONDS = 10.0
RESEND_DELAY_SECONDS = 0.2
# The sidecar's next heartbeat, within a second, reports what the order changed. Until then the view
# is outdated and would lead to the same order again.
VIEW_UPDATE_TIMEOUT_SECONDS = 3.0
# Delay before the next order to an engine that failed one.
FAILURE_BACKOFF_SECONDS = 5.0


class Leadership(Protocol):
    """The part of the control member that sending orders needs."""

    context: ProcessContext
    state: ControlState
    loop: LogLoop

    def is_leader(self) -> bool: ...

    def confirm(self) -> bool: ...


@dataclass(slots=True)
class SentOrder:
    """An order that was sent. `ended_at` is when its outcome became known."""

    order: EngineOrder
    server: ServerRecord
    ended_at: float | None = None


class OrderSender:
    """Sends orders while this member leads, one at a time to each server."""

    __slots__ = (
        "_backoff_until_by_server",
        "_leadership",
        "_number",
        "_plan",
        "_sent_by_server",
        "_term",
    )

    def __init__(self, leadership: Leadership) -> None:
        self._leadership = leadership
        self._start_term(0)

    def record_load(self, node: Node, load: NodeLoad) -> None:
        """Record the load that a heartbeat reports."""
        self._plan.record_load(node, load, self._leadership.context.monotonic())

    def step(self) -> None:
        """Send the orders that are due. Called twice a second while this member leads."""
        term = self._leadership.loop.replica.status().term
        if term != self._term:
            self._start_term(term)
        now = self._leadership.context.monotonic()
        servers = model_servers(self._leadership.state.view().servers)
        self._drop_finished(servers, now)
        backing_off = frozenset(
            one for one, until in self._backoff_until_by_server.items() if now < until
        )
        in_flight = {one: sent.order.model for one, sent in self._sent_by_server.items()}
        models = self._leadership.state.configuration.models()
        steps = self._plan.next_steps(models, Engines(servers, in_flight, backing_off), now)
        metrics = self._leadership.context.metrics
        metrics.gauge("control.orders_in_flight", len(in_flight))
        metrics.gauge("control.versions_held", len(self._plan.held_models))
        # A majority must confirm the term after the plan was made: a leader that was just
        # partitioned would otherwise send orders that its successor does not know of.
        if steps and self._leadership.confirm() and self._leads_term(term):
            for step in steps:
                self._dispatch(step)

    def _start_term(self, term: int) -> None:
        """Discard the plan of an earlier term, which may be outdated."""
        self._term = term
        self._number = 0
        self._plan = OrderPlan()
        self._sent_by_server: dict[str, SentOrder] = {}
        self._backoff_until_by_server: dict[str, float] = {}

    def _leads_term(self, term: int) -> bool:
        leadership = self._leadership
        return leadership.is_leader() and leadership.loop.replica.status().term == term

    def _drop_finished(self, servers: dict[str, ServerRecord], now: float) -> None:
        """Drop orders whose outcome the view shows, and those to incarnations that are gone."""
        for server_id, sent in list(self._sent_by_server.items()):
            server = servers.get(server_id)
            gone = server is None or server.incarnation != sent.server.incarnation
            ended = sent.ended_at is not None
            if gone or (
                ended
                and (
                    _is_reflected(server, sent) or now - sent.ended_at > VIEW_UPDATE_TIMEOUT_SECONDS
                )
            ):
                del self._sent_by_server[server_id]
            if gone and not ended:
                self._record(sent, "unknown", "its sidecar is gone")

    def _dispatch(self, step: Step) -> None:
        self._number += 1
        # A term has only one leader, so the id is unique.
        order = EngineOrder(
            f"order-{self._term}-{self._number}",
            self._term,
            step.action,
            step.model,
            step.version,
            step.server.server_id,
        )
        sent = SentOrder(order, step.server)
        self._sent_by_server[step.server.server_id] = sent
        eventlet.spawn_n(repeat, partial(self._deliver, sent), lambda: self._is_wanted(sent))

    def _deliver(self, sent: SentOrder) -> None:
        """Send an order and record its outcome; wait before the next attempt if it is unknown."""
        context = self._leadership.context
        try:
            link = context.hub.link_to(sent.server.address)
            done = link.request(sent.order, RESPONSE_TIMEOUT_SECONDS)
        except LinkError:
            context.metrics.count("control.order_resent")
            eventlet.sleep(RESEND_DELAY_SECONDS)
            return
        self._finish(sent, done)

    def _is_wanted(self, sent: SentOrder) -> bool:
        """Return whether an order is to be sent: no outcome, this leader, and the same sidecar."""
        if sent.ended_at is not None or not self._leads_term(sent.order.fencing):
            return False
        return self._sent_by_server.get(sent.server.server_id) is sent

    def _finish(self, sent: SentOrder, done: OrderDone) -> None:
        if self._sent_by_server.get(sent.server.server_id) is not sent:
            return
        now = self._leadership.context.monotonic()
        if done.done:
            sent.ended_at = now
        else:
            del self._sent_by_server[sent.server.server_id]
            self._backoff_until_by_server[sent.server.server_id] = now + FAILURE_BACKOFF_SECONDS
        self._record(sent, "done" if done.done else "failed", done.detail)

    def _record(self, sent: SentOrder, outcome: str, detail: str) -> None:
        context = self._leadership.context
        order = sent.order
        context.metrics.count(f"control.order.{outcome}")
        context.timeline.add(
            "control_order",
            order=order.order_id,
            server=order.server_id,
            action=order.action,
            model=order.model,
            version=order.version,
            outcome=outcome,
            detail=detail,
        )
        log.info("control.order", order=order.order_id, outcome=outcome, detail=detail)


def _is_reflected(server: ServerRecord, sent: SentOrder) -> bool:
    """Return whether a server's announcement reflects an order that it completed."""
    order = sent.order
    if order.action == UNLOAD:
        return order.model not in server.serves and order.model not in server.loaded
    return order.model in server.serves and server.loaded.get(order.model) == order.version
