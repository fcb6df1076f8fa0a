"""One control member: its log loop, its links to the other members, and what it does as leader."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
import structlog
from tarragonhall_consensus import Limits, RoleChanged
from tarragonhall_decisions import LossesBorne, StoreFounding
from tarragonhall_group import (
    PROPOSE_SECONDS,
    GroupHooks,
    GroupMember,
    LeadUnknownError,
    LogLoop,
    LoopBusyError,
)
from tarragonhall_model import (
    AnnounceEntry,
    AnnounceServer,
    AnnounceStore,
    Command,
    EntryRecord,
    ExpirePrograms,
    FoundStores,
    NotLeader,
    Refusal,
    RefusalCode,
    RelayHeld,
    RemoveEntry,
    RemoveServer,
    RemoveStore,
    ServerRecord,
    SettleOwners,
    StoreRecord,
    StoreRetiring,
    encode,
    new_id,
)
from tarragonhall_state import ControlState
from tarragonhall_wire import Link, ProcessContext

from tarragonhall_control._ended import stop_ended
from tarragonhall_control._followers import Followers
from tarragonhall_control._nodes import Node, NodeWatch, node_key
from tarragonhall_control._order_sender import OrderSender
from tarragonhall_control._settings import ControlSettings

log = structlog.get_logger(__name__)

LOG_FOLDER = "log"
# A node is out of the view at most this much later than its timeout.
WATCH_SECONDS = 0.25
# Programs expire to the second; each round that finds something costs one commit.
EXPIRE_SECONDS = 1.0
# Loading weights takes tens of seconds; half a second until the next order is little beside it.
ORDER_SECONDS = 0.5


class ControlMember:
    """What the link handlers and the admin API ask of this member."""

    __slots__ = (
        "_announcing",
        "_founding",
        "_leads",
        "_ownership_s",
        "_region_by_zone",
        "_settling",
        "stopped",
        "context",
        "followers",
        "group",
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
        self._announcing: set[str] = set()
        losses = LossesBorne(settings.losses_borne, settings.zone_losses_borne)
        self._founding = StoreFounding(losses)
        self._leads = False
        self._settling = False
        self._ownership_s = settings.ownership_ms / 1000
        self._region_by_zone = settings.region_by_zone
        self.stopped = False
        self.group = GroupMember(
            f"{settings.data_folder}/{LOG_FOLDER}",
            settings.member_id or context.instance,
            settings.members,
            self.state,
            context,
            GroupHooks(self._on_role, self._after_step),
            limits,
        )

    @property
    def loop(self) -> LogLoop:
        """Return the loop of the replicated log."""
        return self.group.loop

    def start(self) -> None:
        """Begin to take part in the group."""
        self.context.hub.on_down(self._on_link_down)
        self.context.hub.on_up(lambda link: self.nodes.link_opened(link.peer.incarnation))
        self.group.start()
        eventlet.spawn_n(self._repeat, WATCH_SECONDS, self._remove_silent_nodes)
        eventlet.spawn_n(self._repeat, EXPIRE_SECONDS, self._expire_programs)
        eventlet.spawn_n(self._repeat, ORDER_SECONDS, self.orders.step)
        eventlet.spawn_n(self._repeat, WATCH_SECONDS, self._found_stores)

    def stop(self) -> None:
        """Take no further part."""
        self.stopped = True
        self.group.stop()

    def is_leader(self) -> bool:
        """Return whether this member leads and its lease holds right now."""
        return self.group.is_leader()

    def leader_address(self) -> str | None:
        """Return the link address of the leader, where it is known and not this member."""
        return self.group.leader_address()

    def other_addresses(self) -> list[str]:
        """Return the link addresses of the other members."""
        members = self.loop.replica.status().members
        return [one.address for one in members if one.address != self.context.link_address]

    def member_addresses(self) -> tuple[str, ...]:
        """Return the link addresses of all members, for processes that follow."""
        return tuple(member.address for member in self.loop.replica.status().members)

    def relay_held(self) -> RelayHeld | NotLeader:
        """Return the relay document in force, once a majority has confirmed the lead."""
        if not self.confirm():
            return NotLeader(self.leader_address())
        return RelayHeld(self.state.relay)

    def retirement(self, store_id: str) -> StoreRetiring | Refusal | NotLeader:
        """Return how far the retirement of a store is, once a majority has confirmed the lead."""
        if not self.confirm():
            return NotLeader(self.leader_address())
        return self.state.retirement(store_id)

    def zones(self) -> list[str]:
        """Return the deployment's availability zones, as told or else as processes announced."""
        if self._region_by_zone:
            return sorted(self._region_by_zone)
        view = self.state.view()
        found = {one.availability_zone for one in (*view.entries, *view.servers, *view.stores)}
        return sorted(found | set(view.evacuated_zones))

    def unknown_zone(self, availability_zone: str) -> Refusal | None:
        """Return the refusal of an order for a zone that the deployment does not have."""
        known = self.zones()
        if availability_zone in known:
            return None
        message = f"no availability zone {availability_zone!r}; known are {', '.join(known)}"
        return Refusal(RefusalCode.NOT_FOUND, message)

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
        return self.group.confirm()

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

    def note_settled(self, owners_version: int) -> None:
        """Commit that earlier owners of rates have stopped, where an entry has waited them out.

        A new life of an entry can then own at once what its earlier life owned.
        """
        if self._settling or owners_version == 0 or owners_version != self.state.unsettled_owners:
            return
        self._settling = True
        eventlet.spawn_n(self._settle, owners_version)

    def remove(self, node: Node, stopped: bool = False) -> object:
        """Take one life of a node out of the view; `stopped` as in `RemoveEntry`."""
        match node:
            case EntryRecord():
                return self.commit(RemoveEntry(node.entry_id, node.incarnation, stopped))
            case ServerRecord():
                return self.commit(RemoveServer(node.server_id, node.incarnation))
            case StoreRecord():
                return self.commit(RemoveStore(node.store_id, node.incarnation))

    def _announce(self, node: Node) -> None:
        try:
            self.commit(_announcement(node))
        except (LoopBusyError, LeadUnknownError):
            # The node's next heartbeat tries again, here or at the next leader.
            self.context.metrics.count("control.announce_failed")
        finally:
            self._announcing.discard(node_key(node))

    def _settle(self, owners_version: int) -> None:
        try:
            self.commit(SettleOwners(owners_version))
            log.info("control.owners_settled", version=owners_version)
        except (LoopBusyError, LeadUnknownError):
            # The next heartbeat of any entry tries again, here or at the next leader.
            self.context.metrics.count("control.settle_failed")
        finally:
            self._settling = False

    def _remove_silent_nodes(self) -> None:
        self.context.metrics.gauge("control.followers", len(self.followers))
        now = self.context.monotonic()
        for node in self.nodes.expired(self.state.view(), now):
            silent_s = self.nodes.silence(node, now)
            log.warning("control.node_silent", node=node_key(node), silent_s=round(silent_s, 3))
            self.context.timeline.add("node_silent", node=node_key(node))
            # Its lease began at a heartbeat that was heard here, or by a leader before this one.
            self.remove(node, stopped=silent_s > self._ownership_s)

    def _found_stores(self) -> None:
        founders = self._founding.founders(self.state.view(), self.context.monotonic())
        if founders:
            log.info("control.stores_founded", founders=founders)
            self.commit(FoundStores(founders))

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

    def _on_link_down(self, link: Link) -> None:
        self.followers.forget(link)
        self.nodes.link_closed(link, self.context.monotonic())

    def _on_role(self, changed: RoleChanged) -> None:
        leads = changed.leads
        if leads and not self._leads:
            self.nodes.grant_all(self.context.monotonic())
        if not leads:
            self.followers.clear()
        self._leads = leads

    def _after_step(self) -> None:
        if self._leads:
            self.followers.push()


def _announcement(node: Node) -> AnnounceEntry | AnnounceServer | AnnounceStore:
    match node:
        case EntryRecord():
            return AnnounceEntry(node)
        case ServerRecord():
            return AnnounceServer(node)
        case StoreRecord():
            return AnnounceStore(node)
