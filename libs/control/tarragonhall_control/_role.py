"""The control role, as started and stopped by the daemon."""

from __future__ import annotations

import eventlet
from tarragonhall_consensus import Limits
from tarragonhall_group import Joiner, MemberRepair, limits_for_tolerated_losses
from tarragonhall_wire import ProcessContext

from tarragonhall_control._admin import AdminApi
from tarragonhall_control._backend_service import BackendService
from tarragonhall_control._first_operator import propose_first_operator
from tarragonhall_control._link_service import LinkService
from tarragonhall_control._member import ControlMember
from tarragonhall_control._relay_service import RelayService
from tarragonhall_control._settings import ControlSettings

DRAIN_POLL_SECONDS = 0.02


class ControlRole:
    """One control member with its link handlers and its admin API."""

    __slots__ = ("_admin", "_admin_stopped", "_joiner", "backends", "member", "relay")

    def __init__(
        self, settings: ControlSettings, context: ProcessContext, limits: Limits | None = None
    ) -> None:
        self.member = ControlMember(settings, context, limits)
        self._admin = AdminApi(self.member, settings.admin)
        self._admin_stopped = False
        self.backends = BackendService(self.member)
        self.relay = RelayService(self.member, settings.losses_borne)
        self._joiner = Joiner(
            self.member.group,
            context,
            lambda: context.control_addresses,
            repair=MemberRepair(limits_for_tolerated_losses(settings.losses_borne)),
        )
        LinkService(self.member).register()
        self.member.start()
        self.backends.start()
        if settings.heal:
            self._joiner.start()
        self._admin.start()
        eventlet.spawn_n(propose_first_operator, self.member, settings)

    def ready(self) -> bool:
        """Return whether this member leads or knows the leader's address.

        While its disk hangs, it learns of no other leader.
        """
        if self.member.loop.is_hung():
            return False
        return self.member.is_leader() or self.member.leader_address() is not None

    def drain(self, timeout_s: float) -> bool:
        """Finish admin requests and proposals in flight; return whether all ended in time."""
        deadline = self.member.context.monotonic() + timeout_s
        self._admin_stopped = True
        ended = self._admin.stop(timeout_s)
        while self.member.loop.waiting() and self.member.context.monotonic() < deadline:
            eventlet.sleep(DRAIN_POLL_SECONDS)
        return ended and not self.member.loop.waiting()

    def stop(self) -> None:
        """Stop all services; release the data folder and the admin address."""
        self.backends.stop()
        self._joiner.stop()
        self.member.stop()
        if not self._admin_stopped:
            self._admin_stopped = True
            self._admin.stop(0)
