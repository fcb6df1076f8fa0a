"""One control member: its log loop, its links to the other members, and what it does as leader."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
import structlog
from tarragonhall_consensus import Limits, Member, RoleChanged, open_replica
from tarragonhall_model import (
    AnnounceEntry,
    AnnounceServer,
    Command,
    EntryRecord,
    ExpirePrograms,
    LinkError,
    RemoveEntry,
    RemoveServer,
    ServerRecord,
    encode,
    new_id,
)
from tarragonhall_state import ControlState
from tarragonhall_wire import Link, ProcessContext

from tarragonhall_control._ended import stop_ended
from tarragonhall_control._followers import Followers
from tarragonhall_control._loop import LeadUnknownError, LogLoop, LoopBusyError, LoopHooks
from tarragonhall_control._messages import LogMessage
from tarragonhall_control._nodes import Node, NodeWatch, node_key
from tarragonhall_control._order_sender import OrderSender
from tarragonhall_control._settings import ControlSettings

log = structlog.get_logger(__name__)

LOG_FOLDER = "log"
# Below a request's patience, so that the sender learns of it and can turn to another member.
PROPOSE_SECONDS = 5.0
CONFIRM_SECONDS = 1.0
# A node is out of the view at most this much later than its timeout.
WATCH_SECONDS = 0.25
# Programs expire to the second; each round that finds something costs one commit.
EXPIRE_SECONDS = 1.0
# Loading weights takes tens of seconds; half a second until the next order is little beside it.
ORDER_SECONDS = 0.5
LEADER = "leader"


class ControlMember:
    """What the link handlers and the admin API ask of this member."""

    __slots__ = (
        "_address_by_peer",
        "_announcing",
        "_leads",
        "_settings",
        "stopped",
        "context",
        "followers",
        "loop",
        "nodes",
        "orders",
        "state",
    )

    def __init__(
        self, settings: ControlSettings, context: ProcessContext, limits: Limits | None = None
    ) -> None:
        self.context = context
        self.state = ControlState()
        self.followers = Followers(self.state, context.metrics)
        self.nodes = NodeWatch(settings.entry_timeout_ms / 1000, settings.server_timeout_ms / 1000)
        self.orders = OrderSender(self)
        self._settings = settings
        self._address_by_peer: dict[str, str] = {}
        self._announcing: set[str] = set()
        self._leads = False
        self.stopped = False
        replica = open_replica(
            f"{settings.data_folder}/{LOG_FOLDER}",
            context.instance,
            context.link_address,
            _founders(settings, context),
            self.state,
            context.rng,
            context.monotonic(),
            limits,
        )
        hooks = LoopHooks(self._send, self._on_role, self._after_step)
        self.loop = LogLoop(replica, context.monotonic, hooks)

    def start(self) -> None:
        """Begin to take part in the group."""
        self.context.hub.handle(LogMessage, self._on_log_message)
        self.context.hub.on_down(self._on_link_down)
        eventlet.spawn_n(self.loop.run)
        eventlet.spawn_n(self._repeat, WATCH_SECONDS, self._remove_silent_nodes)
        eventlet.spawn_n(self._repeat, EXPIRE_SECONDS, self._expire_programs)
        eventlet.spawn_n(self._repeat, ORDER_SECONDS, self.orders.step)

    def stop(self) -> None:
        """Take no further part."""
        self.stopped = True
        self.loop.stop()

    def is_leader(self) -> bool:
        """Return whether this member leads and its lease holds right now."""
        return self.loop.is_leader()

    def leader_address(self) -> str | None:
        """Return the link address of the leader, where it is known and not this member."""
        status = self.loop.replica.status()
        if status.leader is None or status.leader == self.context.instance:
            return None
        return self.address_of(status.leader)

    def address_of(self, member_id: str) -> str | None:
        """Return the link address of a member."""
        for member in self.loop.replica.status().members:
            if member.member_id == member_id:
                return member.address
        known = self._settings.members.get(member_id)
        return known or self._address_by_peer.get(member_id)

    def commit(self, body: object, request_id: str | None = None) -> object:
        """Commit a command with this leader's clock and return its result.

        Raises `LoopBusyError` where it is known not to be in the log, `LeadUnknownError` where
        nobody can tell.
        """
        if not self.is_leader():
            raise LeadUnknownError("this member does not lead")
        request_id = request_id or new_id("req", self.context.rng)
        command = Command(request_id, self.context.wall_ms(), body)
        started = self.context.monotonic()
        result = self.loop.propose(encode(command), PROPOSE_SECONDS)
        waited_ms = (self.context.monotonic() - started) * 1000
        self.context.metrics.timing("control.commit", waited_ms)
        stop_ended(self.state, self.followers, body, result)
        return result

    def confirm(self) -> bool:
        """Return whether a majority confirmed, from now on, that this member leads."""
        return self.is_leader() and self.loop.confirm(CONFIRM_SECONDS)

    def hear(self, node: Node, link: Link) -> None:
        """Take note of a heartbeat and announce the node where it is new or changed."""
        self.nodes.heard(node, self.context.monotonic(), link)
        key = node_key(node)
        if key in self._announcing:
            return
        if not self.nodes.announce(node, self.state.announced(node)):
            return
        self._announcing.add(key)
        eventlet.spawn_n(self._announce, node)

    def remove(self, node: Node) -> object:
        """Take one life of a node out of the view."""
        match node:
            case EntryRecord():
                return self.commit(RemoveEntry(node.entry_id, node.incarnation))
            case ServerRecord():
                return self.commit(RemoveServer(node.server_id, node.incarnation))

    def _announce(self, node: Node) -> None:
        body = AnnounceEntry(node) if isinstance(node, EntryRecord) else AnnounceServer(node)
        try:
            self.commit(body)
        except (LoopBusyError, LeadUnknownError):
            # The node's next heartbeat tries again, here or at the next leader.
            self.context.metrics.count("control.announce_failed")
        finally:
            self._announcing.discard(node_key(node))

    def _remove_silent_nodes(self) -> None:
        self.context.metrics.gauge("control.followers", len(self.followers))
        for node in self.nodes.expired(self.state.view(), self.context.monotonic()):
            log.warning("control.node_silent", node=node_key(node))
            self.context.timeline.add("node_silent", node=node_key(node))
            self.remove(node)

    def _expire_programs(self) -> None:
        due_ms = self.state.next_due_ms()
        if due_ms is not None and due_ms <= self.context.wall_ms():
            self.commit(ExpirePrograms())

    def _repeat(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something again and again while this member leads."""
        while not self.stopped:
            eventlet.sleep(seconds)
            if not self.is_leader():
                continue
            try:
                action()
            except (LoopBusyError, LeadUnknownError) as error:
                log.debug("control.repeat_failed", error=str(error))

    def _send(self, peer: str, message: object) -> None:
        address = self.address_of(peer)
        if address is None:
            return
        try:
            self.context.hub.link_to(address).send(LogMessage(self.context.instance, message))
        except LinkError:
            self.context.metrics.count("control.peer_unreachable")

    def _on_link_down(self, link: Link) -> None:
        self.followers.forget(link)
        self.nodes.link_closed(link, self.context.monotonic())

    def _on_log_message(self, link: Link, carried: LogMessage) -> None:
        if link.peer.instance != carried.sender:
            return
        if link.peer.address:
            self._address_by_peer[carried.sender] = link.peer.address
        self.loop.receive(carried.sender, carried.message)

    def _on_role(self, changed: RoleChanged) -> None:
        log.info("control.role", role=changed.role, term=changed.term, leader=changed.leader)
        self.context.timeline.add("control_role", role=changed.role, term=changed.term)
        leads = changed.role == LEADER
        if leads and not self._leads:
            self.nodes.grant_all(self.context.monotonic())
        if not leads:
            self.followers.clear()
        self._leads = leads

    def _after_step(self) -> None:
        if self._leads:
            self.followers.push()


def _founders(settings: ControlSettings, context: ProcessContext) -> list[Member]:
    """Return the founding members; a member that is none of them waits to be added."""
    if context.instance not in settings.members:
        return []
    return [Member(name, "", address) for name, address in settings.members.items()]
