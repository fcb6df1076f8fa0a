"""The shell around one member of a replicated log: its loop and its links to the other members."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
import structlog
from tarragonhall_consensus import Limits, Machine, Member, RoleChanged, open_replica
from tarragonhall_model import LinkError
from tarragonhall_wire import Link, ProcessContext

from tarragonhall_group._loop import LogLoop, LoopHooks
from tarragonhall_group._messages import LogMessage

log = structlog.get_logger(__name__)

# Below a request's patience, so that the sender learns of it and can turn to another member.
PROPOSE_SECONDS = 5.0
CONFIRM_SECONDS = 1.0


@dataclass(slots=True)
class GroupHooks:
    """What the member tells its owner: changes of role, and the end of each step."""

    on_role: Callable[[RoleChanged], None] = field(default=lambda _changed: None)
    after_step: Callable[[], None] = field(default=lambda: None)


class GroupMember:
    """One member of a group. A process runs at most one: its links carry one group's log.

    `founders` maps the founding members' ids to their link addresses; it is empty for a member
    that waits to be added.
    """

    __slots__ = ("_address_by_peer", "_context", "_founders", "_hooks", "loop", "member_id")

    def __init__(
        self,
        folder: str,
        member_id: str,
        founders: dict[str, str],
        machine: Machine,
        context: ProcessContext,
        hooks: GroupHooks | None = None,
        limits: Limits | None = None,
    ) -> None:
        self.member_id = member_id
        self._context = context
        self._hooks = hooks or GroupHooks()
        self._founders = founders
        self._address_by_peer: dict[str, str] = {}
        replica = open_replica(
            folder,
            member_id,
            context.link_address,
            _founding_members(member_id, founders),
            machine,
            context.rng,
            context.monotonic(),
            limits,
            started_at=context.started_at,
        )
        hooks_of_loop = LoopHooks(self._send, self._on_role, self._hooks.after_step)
        self.loop = LogLoop(replica, context.monotonic, hooks_of_loop)

    def start(self) -> None:
        """Begin to take part in the group."""
        self._context.hub.handle(LogMessage, self._on_log_message)
        eventlet.spawn_n(self.loop.run)

    def stop(self) -> None:
        """Take no further part."""
        self.loop.stop()

    def is_leader(self) -> bool:
        """Return whether this member leads and its lease holds right now."""
        return self.loop.is_leader()

    def leader_address(self) -> str | None:
        """Return the link address of the leader, where it is known and not this member."""
        status = self.loop.replica.status()
        if status.leader is None or status.leader == self.member_id:
            return None
        return self.address_of(status.leader)

    def address_of(self, member_id: str) -> str | None:
        """Return the link address of a member."""
        for member in self.loop.replica.status().members:
            if member.member_id == member_id:
                return member.address
        return self._founders.get(member_id) or self._address_by_peer.get(member_id)

    def confirm(self) -> bool:
        """Return whether a majority confirmed, from now on, that this member leads."""
        return self.is_leader() and self.loop.confirm(CONFIRM_SECONDS)

    def _send(self, peer: str, message: object) -> None:
        address = self.address_of(peer)
        if address is None:
            return
        carried = LogMessage(self.member_id, message, self._context.link_address)
        try:
            self._context.hub.link_to(address).send(carried)
        except LinkError:
            self._context.metrics.count("group.peer_unreachable")

    def _on_log_message(self, link: Link, carried: LogMessage) -> None:
        if link.peer.instance != carried.sender and link.peer.address != carried.address:
            return
        if link.peer.address:
            self._address_by_peer[carried.sender] = link.peer.address
        self.loop.receive(carried.sender, carried.message)

    def _on_role(self, changed: RoleChanged) -> None:
        log.info("group.role", role=changed.role, term=changed.term, leader=changed.leader)
        self._context.timeline.add("group_role", role=changed.role, term=changed.term)
        self._hooks.on_role(changed)


def _founding_members(member_id: str, founders: dict[str, str]) -> list[Member]:
    """Return the founding members; a member that is none of them waits to be added."""
    if member_id not in founders:
        return []
    return [Member(name, "", address) for name, address in founders.items()]
