"""Join requests of a process without a leader, and repair of the membership by the leader."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
import structlog
from tarragonhall_consensus import Status
from tarragonhall_model import LinkError, record
from tarragonhall_wire import Link, ProcessContext, repeat

from tarragonhall_group._loop import OutcomeUnknownError
from tarragonhall_group._member import GroupMember
from tarragonhall_group._repair import MemberRepair

log = structlog.get_logger(__name__)

# Intervals of join requests and of membership repair. A lost machine must be replaced within a few
# seconds, which leaves time for several requests and repair steps.
JOIN_INTERVAL_SECONDS = 0.4
REPAIR_INTERVAL_SECONDS = 0.25
JOIN_REQUEST_TIMEOUT_SECONDS = 0.5
# An election takes one to two seconds. A process without contact with a leader for longer may have
# been removed from the group while it was away, and the leader does not contact it then.
LEADERLESS_SECONDS = 2.5
# A member that takes longer to catch up continues to do so; the next change need not wait for it.
CHANGE_TIMEOUT_SECONDS = 1.0


@record
class JoinGroup:
    """Request of a process to become a member of the group. Reply: `JoinHeard`."""

    member_id: str
    address: str
    availability_zone: str = ""


@record
class JoinHeard:
    """Whether the receiver is the leader and, if not, the leader's address where known."""

    leads: bool
    leader: str | None = None


class Joiner:
    """Requests membership while there is no leader, and repairs the membership while leading.

    `addresses` returns possible addresses of members; `leaving` the ids that must not join.
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
        # Address of the leader at the last join request. A process that waits to join a full group
        # sends further requests only there: 6 processes that ask all 10 members each time would
        # send 150 requests a second.
        self._leader: str | None = None
        self._stopped = False
        context.hub.handle(JoinGroup, self._on_join)

    def start(self) -> None:
        """Start the join and repair loops."""
        eventlet.spawn_n(repeat, self._join, self._goes_on)
        eventlet.spawn_n(repeat, self._repair_members, self._goes_on)

    def stop(self) -> None:
        """Stop the join and repair loops."""
        self._stopped = True

    def _goes_on(self) -> bool:
        return not self._stopped

    def _on_join(self, _link: Link, message: JoinGroup) -> JoinHeard:
        if not self._member.is_leader():
            return JoinHeard(leads=False, leader=self._member.leader_address())
        same_zone = message.availability_zone == self._context.availability_zone
        self._repair.add_request(
            message.member_id, message.address, self._context.monotonic(), same_zone
        )
        return JoinHeard(leads=True)

    def _join(self) -> None:
        """Send join requests after a pause, if there has been no leader for some time."""
        eventlet.sleep(JOIN_INTERVAL_SECONDS * self._context.rng.uniform(0.8, 1.2))
        if self._member.loop.failure is not None:
            # Without a data folder it could hold nothing of the log.
            return
        status = self._member.loop.replica.status()
        if status.leaderless_seconds < LEADERLESS_SECONDS:
            return
        if self._member.member_id in self._leaving():
            return
        self._send_join_requests(status)

    def _send_join_requests(self, status: Status) -> None:
        context = self._context
        message = JoinGroup(self._member.member_id, context.link_address, context.availability_zone)
        if self._leader is not None:
            eventlet.spawn_n(self._send_join_request, self._leader, message)
            return
        addresses = [member.address for member in status.members]
        for address in dict.fromkeys(self._addresses() + addresses):
            if address == self._context.link_address:
                continue
            eventlet.spawn_n(self._send_join_request, address, message)

    def _send_join_request(self, address: str, message: JoinGroup) -> None:
        target = address
        self._leader = None
        try:
            reply = self._context.hub.wait_for_link(target, JOIN_REQUEST_TIMEOUT_SECONDS).request(
                message, JOIN_REQUEST_TIMEOUT_SECONDS
            )
            if not reply.leads and reply.leader is not None and reply.leader != target:
                target = reply.leader
                link = self._context.hub.wait_for_link(target, JOIN_REQUEST_TIMEOUT_SECONDS)
                reply = link.request(message, JOIN_REQUEST_TIMEOUT_SECONDS)
        except LinkError as error:
            log.debug("group.join_unheard", address=target, error=str(error))
            return
        if reply.leads:
            self._leader = target

    def _repair_members(self) -> None:
        """As leader, change the membership after a pause, if a change is due."""
        eventlet.sleep(REPAIR_INTERVAL_SECONDS)
        if not self._member.is_leader():
            return
        status = self._member.loop.replica.status()
        now = self._context.monotonic()
        change = self._repair.next_change(status, self._leaving(), 0, now)
        if change is None:
            return
        log.info(
            "group.member_change",
            member=change.member.member_id,
            remove=change.remove,
            replace=change.replace,
        )
        try:
            self._member.loop.change_member(
                change.member, change.remove, change.replace, CHANGE_TIMEOUT_SECONDS
            )
        except OutcomeUnknownError as error:
            # Another change may be in progress; the next round retries with the state by then.
            log.info("group.member_change_failed", error=str(error))
