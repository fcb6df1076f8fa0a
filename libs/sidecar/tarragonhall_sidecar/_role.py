"""The sidecar role for the daemon: one set of message handlers for all sidecars of a process."""

from __future__ import annotations

import eventlet
from tarragonhall_model import (
    Attach,
    AttemptAck,
    CancelAttempt,
    Dispatch,
    EngineOrder,
    OrderDone,
    Rejected,
    RejectReason,
    ReleaseProgram,
)
from tarragonhall_wire import ControlClient, Link, ProcessContext, Role

from tarragonhall_sidecar._settings import SidecarSettings
from tarragonhall_sidecar._sidecar import Sidecar

# For the leave notice to control; if it is lost, missing heartbeats have the same effect.
LEAVE_TIMEOUT_SECONDS = 2.0
# For the replies of entries, which wait for dispatches that are answered from memory.
STOP_TIMEOUT_SECONDS = 1.0


class Sidecars:
    """All sidecars of one process."""

    __slots__ = ("_control", "_sidecar_by_server")

    def __init__(self, sidecar_by_server: dict[str, Sidecar], control: ControlClient) -> None:
        self._sidecar_by_server = sidecar_by_server
        self._control = control

    def ready(self) -> bool:
        """Return whether every server answers and is registered with control."""
        return all(sidecar.ready() for sidecar in self._sidecar_by_server.values())

    def drain(self, timeout_s: float) -> bool:
        """Reject new work, finish accepted work and leave the view."""
        sidecars = list(self._sidecar_by_server.values())
        pool = eventlet.GreenPool()
        ended = list(pool.imap(lambda sidecar: sidecar.leave(timeout_s), sidecars))
        for sidecar in sidecars:
            self._control.leave(sidecar.record(), LEAVE_TIMEOUT_SECONDS)
            sidecar.announce_stop(STOP_TIMEOUT_SECONDS)
        return all(ended)

    def stop(self) -> None:
        """Stop immediately, without a drain."""
        for sidecar in self._sidecar_by_server.values():
            sidecar.stop()

    def on_request(self, link: Link, message: Dispatch | Attach | CancelAttempt) -> object:
        """Route a request about an attempt to its server's sidecar."""
        sidecar = self._sidecar_by_server.get(message.attempt.server_id)
        if sidecar is None:
            return Rejected(RejectReason.INCARNATION)
        return sidecar.request(link, message)

    def on_ack(self, link: Link, message: AttemptAck) -> None:
        """Route an acknowledgement to its server's sidecar."""
        sidecar = self._sidecar_by_server.get(message.attempt.server_id)
        if sidecar is not None:
            sidecar.one_way(link, message)

    def on_release(self, _link: Link, message: ReleaseProgram) -> None:
        """Stop the attempts of an ended program and release its memory on every engine here."""
        for attempt in message.stop:
            owner = self._sidecar_by_server.get(attempt.server_id)
            if owner is not None:
                owner.stop_attempt(attempt)
        for sidecar in self._sidecar_by_server.values():
            sidecar.program_ended(message.program_id)

    def on_order(self, _link: Link, order: EngineOrder) -> OrderDone:
        """Route an order to the engine it names; without a name, to the only one here."""
        if not order.server_id and len(self._sidecar_by_server) == 1:
            return next(iter(self._sidecar_by_server.values())).execute_order(order)
        sidecar = self._sidecar_by_server.get(order.server_id)
        if sidecar is None:
            return OrderDone(order.order_id, False, f"no server {order.server_id!r} here")
        return sidecar.execute_order(order)

    def on_link_down(self, link: Link) -> None:
        """Notify every sidecar that a link closed."""
        for sidecar in self._sidecar_by_server.values():
            sidecar.link_down(link)


def start_sidecars(
    settings: list[SidecarSettings], context: ProcessContext, control: ControlClient
) -> Role:
    """Start a sidecar for each backend server in the settings, usually one, and return the role."""
    sidecar_by_server = {one.server_id: Sidecar(one, context, control) for one in settings}
    role = Sidecars(sidecar_by_server, control)
    for message_class in (Dispatch, Attach, CancelAttempt):
        context.hub.handle(message_class, role.on_request)
    context.hub.handle(AttemptAck, role.on_ack)
    context.hub.handle(ReleaseProgram, role.on_release)
    context.hub.handle(EngineOrder, role.on_order)
    context.hub.on_link_closed(role.on_link_down)
    for sidecar in sidecar_by_server.values():
        sidecar.start()
    return role
