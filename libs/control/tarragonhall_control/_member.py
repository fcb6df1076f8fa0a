"""One control member: its log loop, its links to other members and its duties as leader."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import eventlet
import structlog
from tarragonhall_consensus import Limits, RoleChanged
from tarragonhall_decisions import StoreBootstrap, ToleratedLosses
from tarragonhall_group import (
    PROPOSE_TIMEOUT_SECONDS,
    GroupHooks,
    GroupMember,
    LogLoop,
    LoopBusyError,
    OutcomeUnknownError,
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
from tarragonhall_wire import Link, ProcessContext, attempt, repeat

from tarragonhall_control._followers import Followers
from tarragonhall_control._nodes import Node, NodeMonitor, node_key
from tarragonhall_control._order_sender import OrderSender
from tarragonhall_control._program_stop import stop_ended_programs
from tarragonhall_control._relay_progress import RelayProgress
from tarragonhall_control._settings import ControlSettings

log = structlog.get_logger(__name__)

LOG_FOLDER = "log"
# An unresponsive node leaves the view at most this long after its timeout.
NODE_CHECK_SECONDS = 0.25
# An expired program ends at most this late; each check that finds expired ones costs one commit.
EXPIRY_CHECK_SECONDS = 1.0
# Short compared with loading weights, which takes tens of seconds.
ORDER_STEP_SECONDS = 0.5


class ControlMember:
    """The operations of this member for the link handlers and the admin API."""

    __slots__ = (
        "_announcing",
        "_leads",
        "_ownership_s",
        "_region_by_zone",
        "_settling",
        "_store_bootstrap",
        "context",
        "followers",
        "group",
        "nodes",
        "orders",
        "relay_progress",
        "state",
        "stopped",
    )

    def __init__(
        self, settings: ControlSettings, context: ProcessContext, limits: Limits | None = None
    ) -> None:
        self.context = context
        self.state = ControlState()
        self.followers = Followers(self.state, context.metrics)
        self.relay_progress = RelayProgress(context.metrics, context.monotonic)
        self.nodes = NodeMonitor(
            settings.entry_timeout_ms / 1000, settings.server_timeout_ms / 1000
        )
        self.orders = OrderSender(self)
        self._announcing: set[str] = set()
        losses = ToleratedLosses(settings.losses_borne, settings.zone_losses_borne)
        self._store_bootstrap = StoreBootstrap(losses)
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
            # A failure after a step is none of the log.
            GroupHooks(partial(attempt, self._on_role), partial(attempt, self._after_step)),
            limits,
        )

    @property
    def loop(self) -> LogLoop:
        """Return the loop of the replicated log."""
        return self.group.loop

    def start(self) -> None:
        """Join the group and start the periodic tasks of the leader."""
        self.context.hub.on_link_closed(self._on_link_down)
        self.context.hub.on_link_open(lambda link: self.nodes.link_opened(link.peer.incarnation))
        self.group.start()
        self._repeat_as_leader(NODE_CHECK_SECONDS, self._remove_unresponsive_nodes)
        self._repeat_as_leader(EXPIRY_CHECK_SECONDS, self._expire_programs)
        self._repeat_as_leader(ORDER_STEP_SECONDS, self.orders.step)
        self._repeat_as_leader(NODE_CHECK_SECONDS, self._bootstrap_stores)

    def stop(self) -> None:
        """Leave the group and end the periodic tasks."""
        self.stopped = True
        self.group.stop()

    def is_leader(self) -> bool:
        """Return whether this member leads and its lease is valid."""
        return self.group.is_leader()

    def leader_address(self) -> str | None:
        """Return the link address of the leader if it is known and another member."""
        return self.group.leader_address()

    def other_addresses(self) -> list[str]:
        """Return the link addresses of the other members."""
        members = self.loop.replica.members()
        return [one.address for one in members if one.address != self.context.link_address]

    def member_addresses(self) -> tuple[str, ...]:
        """Return the link addresses of all members, for followers."""
        return tuple(member.address for member in self.loop.replica.members())

    def relay_document(self) -> RelayHeld | NotLeader:
        """Return the relay document in force, once a majority has confirmed the leadership."""
        if not self.confirm():
            return NotLeader(self.leader_address())
        return RelayHeld(self.state.relay)

    def retirement(self, store_id: str) -> StoreRetiring | Refusal | NotLeader:
        """Return the progress of a retirement, once a majority has confirmed the leadership."""
        if not self.confirm():
            return NotLeader(self.leader_address())
        return self.state.retirement(store_id)

    def zones(self) -> list[str]:
        """Return the availability zones from the settings, or else those announced by processes."""
        if self._region_by_zone:
            return sorted(self._region_by_zone)
        view = self.state.view()
        found = {one.availability_zone for one in (*view.entries, *view.servers, *view.stores)}
        return sorted(found | set(view.evacuated_zones))

    def refuse_unknown_zone(self, availability_zone: str) -> Refusal | None:
        """Return a refusal if the deployment has no such zone, None otherwise."""
        known = self.zones()
        if availability_zone in known:
            return None
        message = f"no availability zone {availability_zone!r}; known are {', '.join(known)}"
        return Refusal(RefusalCode.NOT_FOUND, message)

    def commit(self, body: object, request_id: str | None = None) -> object:
        """Commit a command with the leader's clock and return its result.

        Raises `LoopBusyError` if the command is certainly not in the log, `OutcomeUnknownError` if
        its outcome is unknown.
        """
        if not self.is_leader():
            raise OutcomeUnknownError("this member is not the leader")
        request_id = request_id or new_id("req", self.context.rng)
        command = Command(request_id, self.context.wall_ms(), body)
        started = self.context.monotonic()
        result = self.loop.propose(encode(command), PROPOSE_TIMEOUT_SECONDS)
        waited_ms = (self.context.monotonic() - started) * 1000
        self.context.metrics.timing("control.commit", waited_ms)
        stop_ended_programs(self.state, self.followers, body, result)
        return result

    def confirm(self) -> bool:
        """Return whether a majority confirmed after this call that this member leads."""
        return self.group.confirm()

    def on_heartbeat(self, node: Node, link: Link) -> None:
        """Record a heartbeat and announce the node if it is new or changed."""
        self.nodes.record_heartbeat(node, self.context.monotonic(), link)
        key = node_key(node)
        if key in self._announcing:
            return
        if not self.nodes.needs_announcement(node, self.state.announced_record(node)):
            return
        self._announcing.add(key)
        eventlet.spawn_n(self._announce, node)

    def on_owners_settled(self, owners_version: int) -> None:
        """Commit that earlier owners of rates have stopped, as reported by an entry that waited.

        A new incarnation of an entry can then own at once what the previous one owned.
        """
        if (
            self._settling
            or owners_version == 0
            or owners_version != self.state.unsettled_owners_version
        ):
            return
        self._settling = True
        eventlet.spawn_n(self._settle, owners_version)

    def remove(self, node: Node, stopped: bool = False) -> object:
        """Remove an incarnation of a node from the view; `stopped` as in `RemoveEntry`."""
        self.relay_progress.forget(node_key(node))
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
        except (LoopBusyError, OutcomeUnknownError):
            # Retried with the node's next heartbeat, here or at the next leader.
            self.context.metrics.count("control.announce_failed")
        finally:
            self._announcing.discard(node_key(node))

    def _settle(self, owners_version: int) -> None:
        try:
            self.commit(SettleOwners(owners_version))
            log.info("control.owners_settled", version=owners_version)
        except (LoopBusyError, OutcomeUnknownError):
            # Retried with the next heartbeat of any entry, here or at the next leader.
            self.context.metrics.count("control.settle_failed")
        finally:
            self._settling = False

    def _remove_unresponsive_nodes(self) -> None:
        self.context.metrics.gauge("control.followers", len(self.followers))
        self.relay_progress.report_behind()
        now = self.context.monotonic()
        for node in self.nodes.expired(self.state.view(), now):
            elapsed_s = self.nodes.seconds_since_heartbeat(node, now)
            log.warning("control.node_silent", node=node_key(node), silent_s=round(elapsed_s, 3))
            self.context.timeline.add("node_silent", node=node_key(node))
            # An entry owns no rates after `ownership_ms` without a heartbeat, whether its last one
            # reached this leader or an earlier one.
            self.remove(node, stopped=elapsed_s > self._ownership_s)

    def _bootstrap_stores(self) -> None:
        bootstrap_members = self._store_bootstrap.initial_members(
            self.state.view(), self.context.monotonic()
        )
        if bootstrap_members:
            log.info("control.stores_founded", founders=bootstrap_members)
            self.commit(FoundStores(bootstrap_members))

    def _expire_programs(self) -> None:
        due_ms = self.state.next_due_ms()
        if due_ms is not None and due_ms <= self.context.wall_ms():
            self.commit(ExpirePrograms())

    def _repeat_as_leader(self, seconds: float, action: Callable[[], None]) -> None:
        """Call an action periodically, from a green thread, while this member leads."""
        eventlet.spawn_n(
            repeat, partial(self._act_as_leader, seconds, action), lambda: not self.stopped
        )

    def _act_as_leader(self, seconds: float, action: Callable[[], None]) -> None:
        eventlet.sleep(seconds)
        if not self.is_leader():
            return
        try:
            action()
        except (LoopBusyError, OutcomeUnknownError) as error:
            log.debug("control.repeat_failed", error=str(error))

    def _on_link_down(self, link: Link) -> None:
        self.followers.forget(link)
        self.nodes.link_closed(link, self.context.monotonic())

    def _on_role(self, changed: RoleChanged) -> None:
        leads = changed.leads
        led, self._leads = self._leads, leads
        if leads and not led:
            self.nodes.reset_timeouts(self.context.monotonic())
            self.relay_progress.start(self.state.relay_version)
        if not leads:
            self.followers.clear()

    def _after_step(self) -> None:
        if not self._leads:
            return
        version = self.state.relay_version
        self.relay_progress.on_step(version)
        self.relay_progress.on_sent(version, self.followers.push())


def _announcement(node: Node) -> AnnounceEntry | AnnounceServer | AnnounceStore:
    match node:
        case EntryRecord():
            return AnnounceEntry(node)
        case ServerRecord():
            return AnnounceServer(node)
        case StoreRecord():
            return AnnounceStore(node)
