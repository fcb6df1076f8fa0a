"""What the relay learns from control: the document, the entries, the stores, the servers."""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_decisions import BackendTable, LoadDigest, LoadTo
from tarragonhall_model import (
    BackendsChanged,
    EntryLoad,
    FollowBackends,
    Fresh,
    LinkError,
    LoadElsewhere,
    OrganisationPolicy,
    ProgramSpent,
    RelayConfig,
    RelayDocument,
    ServerSigns,
    SuspectCall,
    View,
    ZoneLoad,
)
from tarragonhall_state import Follower
from tarragonhall_wire import Link, ProcessContext

from tarragonhall_relay._routes import RouteTable
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)

# Changes are pushed; the question repairs what was lost and keeps this entry among the followers.
FOLLOW_SECONDS = 2.5
# A member that did not answer is asked again sooner.
RETRY_SECONDS = 0.8
# Many round trips: a member that answers later is busy or gone, and the next question comes soon.
ASK_SECONDS = 1.0
LINK_SECONDS = 0.5
# Seconds in which changes of servers are gathered before calls are sent by them.
ARRANGE_SECONDS = 0.02
# How soon a member that was just learnt of is followed.
WATCH_SECONDS = 0.25
# Calls run for some hundred milliseconds; told this often, the others know most of them. What has
# not changed is told again before it counts as gone.
LOAD_SECONDS = 0.4
LOAD_REPEAT = 2
# Seconds between two sums of a collector. They are two steps older than what entries tell.
DIGEST_SECONDS = 0.3


class RelayFollower(Follower):
    """Hands what control says to the parts of the relay."""

    __slots__ = ("_context", "_state")

    def __init__(self, context: ProcessContext) -> None:
        super().__init__()
        self._context = context
        self._state: RelayState | None = None

    def attach(self, state: RelayState) -> None:
        """Name the parts; nothing is followed before."""
        self._state = state

    def store_addresses(self) -> list[str]:
        """Return where the store members are, those of the own availability zone first."""
        zone = self._context.availability_zone
        stores = sorted(self.view.stores, key=lambda store: store.availability_zone != zone)
        return [store.address for store in stores]

    def store_zones(self) -> set[str]:
        """Return the availability zones in which stores keep turns."""
        return {store.availability_zone for store in self.view.stores}

    def apply_view(self, view: View) -> bool:
        """Take a view of a later epoch and tell rates and routing of it."""
        if not super().apply_view(view):
            return False
        now = self._context.monotonic()
        self._state.rates.on_view(view)
        self._state.chooser.cold.on_view(view.entries, now)
        self._state.chooser.set_evacuated(view.evacuated_zones, now)
        log.info(
            "view.changed",
            epoch=view.epoch,
            evacuated=view.evacuated_zones,
            entries=sorted(entry.entry_id for entry in view.entries),
            stores=sorted(store.store_id for store in view.stores),
        )
        return True

    def apply_relay(self, document: RelayDocument) -> bool:
        """Take a document of a higher version and put it in force here."""
        if not super().apply_relay(document):
            return False
        config = self._state.dialect.read_config(document)
        self._set_rates(config)
        self._set_cold_limits(config)
        self._state.table = RouteTable(config)
        log.info("relay.in_force", version=config.version, routes=len(config.routes))
        return True

    def confirm(self, fresh: Fresh, sent_at: float) -> None:
        """Take the reply to a heartbeat."""
        super().confirm(fresh, sent_at)
        if self.view.epoch >= fresh.view_epoch:
            self._state.chooser.cold.confirm(sent_at)
        if self.is_fresh(self._context.monotonic()):
            self._state.rates.on_fresh(sent_at)

    def _set_cold_limits(self, config: RelayConfig) -> None:
        slack = self._state.cold_slack
        limits = {
            service.name: int(service.cold_calls_per_s * (1 + slack.overshoot) + slack.allowance)
            for service in config.services
            if service.cold_calls_per_s
        }
        self._state.chooser.cold.set_limits(limits)

    def _set_rates(self, config: RelayConfig) -> None:
        earlier = self._state.table
        limited = {one.org_id for one in config.organisations or () if one.rate is not None}
        for organisation in (earlier.config.organisations or ()) if earlier is not None else ():
            if organisation.org_id not in limited:
                self._state.rates.remove_organisation(organisation.org_id)
        for organisation in config.organisations or ():
            if organisation.rate is None:
                continue
            policy = OrganisationPolicy(organisation.org_id, "", rate=organisation.rate)
            self._state.rates.set_policy(policy)


class PeerNews:
    """Exchanges with the other entries what each has running, and news of single requests."""

    __slots__ = ("_context", "_digest", "_epoch", "_follower", "_state", "_stopped", "_told")

    def __init__(self, context: ProcessContext, state: RelayState, follower: RelayFollower) -> None:
        self._context = context
        self._state = state
        self._follower = follower
        self._digest = LoadDigest(context.entry_record())
        self._epoch = -1
        self._told: tuple[dict[str, int], ServerSigns] = ({}, ServerSigns())
        self._stopped = False
        context.hub.handle(EntryLoad, self._on_load)
        context.hub.handle(ZoneLoad, self._on_zone_load)
        context.hub.handle(LoadElsewhere, self._on_load_elsewhere)
        context.hub.handle(SuspectCall, self._on_suspect)
        context.hub.handle(ProgramSpent, self._on_spent)

    def start(self) -> None:
        """Tell from now on."""
        eventlet.spawn_n(self._tell_loop)
        eventlet.spawn_n(self._digest_loop)

    def stop(self) -> None:
        """Tell no more."""
        self._stopped = True

    def _tell_loop(self) -> None:
        rounds = 0
        while not self._stopped:
            eventlet.sleep(LOAD_SECONDS)
            rounds += 1
            self._follow_view()
            load = self._state.chooser.own_load()
            signs = self._state.chooser.own_signs(self._context.monotonic())
            if (load, signs) == self._told and (not load or rounds % LOAD_REPEAT):
                continue
            self._told = (load, signs)
            self._send_all(self._digest.announce(load, signs))

    def _digest_loop(self) -> None:
        while not self._stopped:
            eventlet.sleep(DIGEST_SECONDS)
            self._follow_view()
            if not self._digest.is_collector():
                continue
            now = self._context.monotonic()
            load = self._state.chooser.own_load()
            signs = self._state.chooser.own_signs(now)
            elsewhere = self._digest.elsewhere(load, now, signs)
            self._state.chooser.on_load_elsewhere(elsewhere, now)
            self._send_all(self._digest.digests(load, now, signs))

    def _follow_view(self) -> None:
        view = self._follower.view
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            self._digest.on_view(view.entries)

    def tell_suspect(self, fingerprint: str) -> None:
        """Tell the others at once that a run of a request broke off."""
        message = SuspectCall(fingerprint)
        for entry in self._follower.view.entries:
            if entry.entry_id != self._context.instance:
                self._send(entry.address, message)

    def tell_spent(self, message: ProgramSpent) -> None:
        """Tell the others of the zone, where the program's other turns come, of a spent budget."""
        for entry in self._follower.view.entries:
            if entry.availability_zone != self._context.availability_zone:
                continue
            if entry.entry_id != self._context.instance:
                self._send(entry.address, message)

    def _on_spent(self, _link: Link, message: ProgramSpent) -> None:
        keep_s = message.retention_ms / 1000
        now = self._context.monotonic()
        self._state.spent.note(message.org_id, message.program_id, message.spent, keep_s, now)

    def _on_suspect(self, _link: Link, message: SuspectCall) -> None:
        self._state.suspects.broke(message.fingerprint, self._context.monotonic())

    def _send_all(self, messages: list[LoadTo]) -> None:
        for one in messages:
            self._send(one.address, one.message)

    def _send(self, address: str, message: object) -> None:
        try:
            self._context.hub.link_to(address).send(message)
        except LinkError:
            # The entry knows less for a moment; what lasts is told again or shows there too.
            self._context.metrics.count("relay.peer_untold")

    def _on_load(self, _link: Link, message: EntryLoad) -> None:
        now = self._context.monotonic()
        if self._digest.is_direct():
            self._state.chooser.on_entry_load(
                message.entry_id, message.running_by_server, now, message.signs
            )
            return
        self._digest.on_entry_load(message, now)

    def _on_zone_load(self, _link: Link, message: ZoneLoad) -> None:
        self._digest.on_zone_load(message, self._context.monotonic())

    def _on_load_elsewhere(self, _link: Link, message: LoadElsewhere) -> None:
        if not self._digest.is_direct():
            self._state.chooser.on_load_elsewhere(message, self._context.monotonic())


class BackendFollower:
    """Follows the backend servers at every control member at once."""

    __slots__ = (
        "_arranging",
        "_context",
        "_followed",
        "_state",
        "_stopped",
        "_table",
        "_version_by_source",
    )

    def __init__(self, context: ProcessContext, state: RelayState) -> None:
        self._context = context
        self._state = state
        self._table = BackendTable()
        self._followed: set[str] = set()
        self._version_by_source: dict[str, int] = {}
        self._arranging = False
        self._stopped = False
        context.hub.handle(BackendsChanged, self._on_changed)
        context.hub.on_up(self._on_link_up)

    def start(self) -> None:
        """Follow from now on."""
        eventlet.spawn_n(self._watch_loop)

    def stop(self) -> None:
        """Follow no more."""
        self._stopped = True

    def _watch_loop(self) -> None:
        while not self._stopped:
            for address in self._context.control_addresses:
                if address not in self._followed:
                    self._followed.add(address)
                    eventlet.spawn_n(self._follow_loop, address)
            eventlet.sleep(WATCH_SECONDS)

    def _follow_loop(self, address: str) -> None:
        while not self._stopped and address in self._context.control_addresses:
            answered = self._ask(address)
            pause_s = FOLLOW_SECONDS if answered else RETRY_SECONDS
            eventlet.sleep(pause_s * self._context.rng.uniform(0.7, 1.0))
        self._followed.discard(address)
        self._version_by_source.pop(address, None)
        self._apply(self._table.drop_source(address))

    def _on_link_up(self, link: Link) -> None:
        """Ask a member that may have started anew: it pushes to whoever has asked it."""
        if link.peer.address in self._followed:
            eventlet.spawn_n(self._ask, link.peer.address)

    def _ask(self, address: str) -> bool:
        """Ask a member for what has changed; return whether it answered."""
        version = self._version_by_source.get(address, -1)
        try:
            link = self._context.hub.wait_for(address, LINK_SECONDS)
            reply = link.request(FollowBackends(version), ASK_SECONDS)
        except LinkError as error:
            log.debug("backends.unheard", address=address, error=str(error))
            return False
        if reply.complete:
            self._version_by_source[address] = reply.version
            self._apply(self._table.replace_source(address, reply.records))
        return True

    def _on_changed(self, link: Link, news: BackendsChanged) -> None:
        address = link.peer.address
        if self._version_by_source.get(address) == news.base:
            # Missed changes show as a gap; then the next question brings the whole table.
            self._version_by_source[address] = news.version
        self._apply(self._table.update_source(address, news.records))

    def _apply(self, changed: set[str]) -> None:
        if not changed:
            return
        for server_id in changed:
            record = self._table.by_id.get(server_id)
            if record is None or record.gone:
                self._state.pool.drop(server_id)
            if record is not None:
                log.info(
                    "backend.believed",
                    server=server_id,
                    service=record.service,
                    sequence=record.sequence,
                    draining=record.draining,
                    gone=record.gone,
                    heard=record.heard,
                )
        if not self._arranging:
            self._arranging = True
            eventlet.spawn_after(ARRANGE_SECONDS, self._arrange)

    def _arrange(self) -> None:
        """Hand all servers on, once for the changes of a moment: it takes a look at each."""
        self._arranging = False
        self._table.forget_gone()
        now = self._context.monotonic()
        self._state.chooser.set_servers(list(self._table.by_id.values()), now)
