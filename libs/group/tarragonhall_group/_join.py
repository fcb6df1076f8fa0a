"""Asks to become a member of a group while no leader counts this process as one."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
import structlog
from tarragonhall_consensus import Status
from tarragonhall_model import LinkError, record
from tarragonhall_wire import Link, ProcessContext

from tarragonhall_group._loop import LeadUnknownError
from tarragonhall_group._member import GroupMember
from tarragonhall_group._repair import MemberRepair

log = structlog.get_logger(__name__)

# A replaced machine is to be made up for within seconds: it asks and is looked at several times.
JOIN_SECONDS = 0.4
REPAIR_SECONDS = 0.25
ASK_SECONDS = 0.5
# An election takes one to two seconds; whoever hears no leader for longer may have been taken out
# of the group while it was away, and no leader will speak to it by itself.
UNLED_SECONDS = 2.5
# A member that takes long to catch up goes on doing so; the next change need not wait for it.
CHANGE_SECONDS = 1.0


@record
class JoinGroup:
    """A process that no leader counts as a member asks to be one. Reply: `JoinHeard`."""

    member_id: str
    address: str
    availability_zone: str = ""


@record
class JoinHeard:
    """Whether the receiver leads, and where the leader is if not."""

    leads: bool
    leader: str | None = None


class Joiner:
    """The part of every member in joining: asks while it is none, and repairs while it leads.

    `addresses` returns where other members may be; `leaving` names those that must not join.
    """

    __slots__ = (
        "_addresses",
        "_context",
        "_leader",
        "_leaving",
        "_member",
        "_repair",
        "_stopped",
    )

    def __init__(
        self,
        member: GroupMember,
        context: ProcessContext,
        addresses: Callable[[], list[str]],
        leaving: Callable[[], frozenset[str]] = frozenset,
        repair: MemberRepair | None = None,
    ) -> None:
        self._member = member
        self._context = context
        self._addresses = addresses
        self._leaving = leaving
        self._repair = repair or MemberRepair()
        # Who led when this process asked last. A process that a full group keeps waiting asks only
        # there, not all members each time.
        self._leader: str | None = None
        self._stopped = False
        context.hub.handle(JoinGroup, self._on_join)

    def start(self) -> None:
        """Begin to ask and to repair."""
        eventlet.spawn_n(self._join_loop)
        eventlet.spawn_n(self._repair_loop)

    def stop(self) -> None:
        """Ask and repair no more."""
        self._stopped = True

    def _on_join(self, _link: Link, message: JoinGroup) -> JoinHeard:
        if not self._member.is_leader():
            return JoinHeard(leads=False, leader=self._member.leader_address())
        near = message.availability_zone == self._context.availability_zone
        self._repair.ask(message.member_id, message.address, self._context.monotonic(), near)
        return JoinHeard(leads=True)

    def _join_loop(self) -> None:
        while not self._stopped:
            eventlet.sleep(JOIN_SECONDS * self._context.rng.uniform(0.8, 1.2))
            status = self._member.loop.replica.status()
            if status.unled_seconds < UNLED_SECONDS:
                continue
            if self._member.member_id in self._leaving():
                continue
            self._ask_all(status)

    def _ask_all(self, status: Status) -> None:
        context = self._context
        message = JoinGroup(self._member.member_id, context.link_address, context.availability_zone)
        if self._leader is not None:
            eventlet.spawn_n(self._ask, self._leader, message)
            return
        addresses = [member.address for member in status.members]
        for address in dict.fromkeys(self._addresses() + addresses):
            if address == self._context.link_address:
                continue
            eventlet.spawn_n(self._ask, address, message)

    def _ask(self, address: str, message: JoinGroup) -> None:
        asked = address
        self._leader = None
        try:
            reply = self._context.hub.wait_for(asked, ASK_SECONDS).request(message, ASK_SECONDS)
            if not reply.leads and reply.leader is not None and reply.leader != asked:
                asked = reply.leader
                link = self._context.hub.wait_for(asked, ASK_SECONDS)
                reply = link.request(message, ASK_SECONDS)
        except LinkError as error:
            log.debug("group.join_unheard", address=asked, error=str(error))
            return
        if reply.leads:
            self._leader = asked

    def _repair_loop(self) -> None:
        while not self._stopped:
            eventlet.sleep(REPAIR_SECONDS)
            if not self._member.is_leader():
                continue
            status = self._member.loop.replica.status()
            now = self._context.monotonic()
            change = self._repair.next_change(status, self._leaving(), 0, now)
            if change is None:
                continue
            log.info(
                "group.member_change",
                member=change.member.member_id,
                remove=change.remove,
                replace=change.replace,
            )
            try:
                self._member.loop.change_member(
                    change.member, change.remove, change.replace, CHANGE_SECONDS
                )
            except LeadUnknownError as error:
                # Tried again with the state of that time: another change may be under way.
                log.info("group.member_change_failed", error=str(error))
