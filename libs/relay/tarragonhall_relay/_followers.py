"""Updates that the relay gets from control and from the other entries.

Control sends the relay document and the view (entries and stores). Entries send each other their
load, suspect requests and programs with an exhausted budget.
"""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_decisions import AddressedLoad, BrokenRun, LoadDigest, is_empty
from tarragonhall_model import (
    EntryLoad,
    Fresh,
    KnownRun,
    KnownSuspect,
    KnownSuspects,
    LinkError,
    LoadDetail,
    LoadElsewhere,
    OrganisationPolicy,
    ProgramSpent,
    RelayConfig,
    RelayDocument,
    ServerSigns,
    SuspectCall,
    SuspectCleared,
    View,
    ZoneLoad,
)
from tarragonhall_state import Follower
from tarragonhall_wire import Link, ProcessContext, repeat

from tarragonhall_relay._routes import RouteTable
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)

# Calls run for some hundred milliseconds, so at this interval the other entries know of most of
# them. Unchanged load is repeated every second round, before it expires at the others.
LOAD_INTERVAL_SECONDS = 0.4
LOAD_REPEAT_ROUNDS = 2
# Seconds between two digests of a collector, an entry that sums the loads of its zone (see
# `LoadDigest`). Load in a digest is two hops older than load that an entry sends itself.
DIGEST_INTERVAL_SECONDS = 0.3
# Suspects that an entry sends to one that has started, the latest ones.
MAX_SENT_SUSPECTS = 500


class RelayFollower(Follower):
    """Applies updates from control to the components of the relay."""

    __slots__ = ("_context", "_state")

    def __init__(self, context: ProcessContext, lease_s: float) -> None:
        super().__init__(lease_s)
        self._context = context
        self._state: RelayState | None = None

    def attach(self, state: RelayState) -> None:
        """Set the state to update; must be called before the first update."""
        self._state = state

    def store_addresses(self) -> list[str]:
        """Return the addresses of the stores, those of this availability zone first."""
        zone = self._context.availability_zone
        stores = sorted(self.view.stores, key=lambda store: store.availability_zone != zone)
        return [store.address for store in stores]

    def store_zones(self) -> set[str]:
        """Return the availability zones of the stores."""
        return {store.availability_zone for store in self.view.stores}

    def apply_view(self, view: View) -> bool:
        """Apply a view of a later epoch to rates and routing; return whether it was later."""
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
        """Put a document of a higher version in force; return whether it is in force now.

        A version counts as held only once its table is built: control sends it again until then,
        and confirms no other.
        """
        if document.version <= self.relay_version:
            return False
        try:
            config = self._state.dialect.read_config(document)
            table = RouteTable(config)
        except Exception:  # noqa: BLE001 - whatever is wrong with it, the version is not in force
            log.exception("relay.unreadable", version=document.version, held=self.relay_version)
            self._context.metrics.count("relay.config_unreadable")
            return False
        super().apply_relay(document)
        self._set_rates(config)
        self._set_cold_limits(config)
        self._set_memory_limits(config)
        self._state.chooser.uneven.paces.set_services(
            service.name for service in config.services if service.uneven
        )
        self._state.table = table
        self._context.metrics.gauge("relay.config_version", config.version)
        log.info("relay.in_force", version=config.version, routes=len(config.routes))
        return True

    def confirm(self, fresh: Fresh, sent_at: float) -> None:
        """Apply the reply to a heartbeat that was sent at `sent_at` (monotonic seconds)."""
        super().confirm(fresh, sent_at)
        if self.view.epoch >= fresh.view_epoch:
            self._state.chooser.cold.confirm(sent_at)
        if self.is_fresh(self._context.monotonic()):
            self._state.rates.renew_lease(sent_at)

    def _set_cold_limits(self, config: RelayConfig) -> None:
        slack = self._state.cold_slack
        limits = {
            service.name: int(service.cold_calls_per_s * (1 + slack.overshoot) + slack.allowance)
            for service in config.services
            if service.cold_calls_per_s
        }
        self._state.chooser.cold.set_limits(limits)

    def _set_memory_limits(self, config: RelayConfig) -> None:
        if not self._state.features.engine_memory:
            return
        limits = {
            one.name: one.engine.cache_tokens
            for one in config.services
            if one.engine is not None and one.engine.cache_tokens
        }
        self._state.chooser.memory.set_limits(limits)
        log.info("engine_memory.counted", tokens_by_service=limits)

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


class PeerUpdates:
    """Exchanges load, suspect requests and exhausted programs with the other entries."""

    __slots__ = (
        "_context",
        "_digest",
        "_epoch",
        "_follower",
        "_informed",
        "_last_sent",
        "_rounds",
        "_state",
        "_stopped",
    )

    def __init__(self, context: ProcessContext, state: RelayState, follower: RelayFollower) -> None:
        # Incarnations of entries that were sent the suspects known here.
        self._informed: set[str] = set()
        self._context = context
        self._state = state
        self._follower = follower
        self._digest = LoadDigest(context.entry_record())
        self._epoch = -1
        self._last_sent: tuple[dict[str, int], ServerSigns, LoadDetail | None] = (
            {},
            ServerSigns(),
            None,
        )
        self._rounds = 0
        self._stopped = False
        context.hub.handle(EntryLoad, self._on_load)
        context.hub.handle(ZoneLoad, self._on_zone_load)
        context.hub.handle(LoadElsewhere, self._on_load_elsewhere)
        context.hub.handle(SuspectCall, self._on_suspect)
        context.hub.handle(SuspectCleared, self._on_suspect_cleared)
        context.hub.handle(KnownSuspects, self._on_known_suspects)
        context.hub.handle(ProgramSpent, self._on_exhausted)

    def start(self) -> None:
        """Start sending load and digests."""
        eventlet.spawn_n(repeat, self._tell_load, lambda: not self._stopped)
        eventlet.spawn_n(repeat, self._tell_digests, lambda: not self._stopped)

    def stop(self) -> None:
        """Stop sending load and digests."""
        self._stopped = True

    def _tell_load(self) -> None:
        eventlet.sleep(LOAD_INTERVAL_SECONDS)
        self._rounds += 1
        self._follow_view()
        self._inform_new_entries()
        now = self._context.monotonic()
        load = self._state.chooser.own_load()
        signs = self._state.chooser.own_signs(now)
        detail = self._own_detail(now)
        is_unchanged = (load, signs, detail) == self._last_sent
        is_idle = not load and detail is None
        if is_unchanged and (is_idle or self._rounds % LOAD_REPEAT_ROUNDS):
            return
        self._last_sent = (load, signs, detail)
        self._send_all(self._digest.announce(load, signs, detail))

    def _tell_digests(self) -> None:
        eventlet.sleep(DIGEST_INTERVAL_SECONDS)
        self._follow_view()
        if not self._digest.is_collector():
            return
        now = self._context.monotonic()
        load = self._state.chooser.own_load()
        signs = self._state.chooser.own_signs(now)
        detail = self._own_detail(now)
        elsewhere = self._digest.elsewhere(load, now, signs, detail)
        self._state.chooser.on_load_elsewhere(elsewhere, now)
        self._send_all(self._digest.digests(load, now, signs, detail))

    def _own_detail(self, now: float) -> LoadDetail | None:
        """Return what the parts that are switched on tell the other entries, None for nothing."""
        reporters = self._state.load_reporters
        if self._state.chooser.uneven.paces.services:
            reporters = reporters + self._state.uneven_reporters
        if not reporters:
            return None
        detail = LoadDetail()
        for reporter in reporters:
            reporter.report_load(detail, now)
        return None if is_empty(detail) else detail

    def _follow_view(self) -> None:
        view = self._follower.view
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            self._digest.on_view(view.entries)

    def _inform_new_entries(self) -> None:
        """Send the known suspects to entries that have started since, again until it is sent."""
        entries = self._follower.view.entries
        incarnations = {entry.incarnation for entry in entries}
        if incarnations == self._informed:
            return
        self._informed &= incarnations
        now = self._context.monotonic()
        suspects = [
            _known_suspect(fingerprint, runs, now)
            for fingerprint, runs in self._state.crash_suspects.known(now, MAX_SENT_SUSPECTS)
        ]
        for entry in entries:
            is_new = entry.incarnation not in self._informed
            is_own = entry.entry_id == self._context.instance
            if is_new and (
                is_own or not suspects or self._send(entry.address, KnownSuspects(suspects))
            ):
                self._informed.add(entry.incarnation)

    def report_suspect(self, fingerprint: str, run: BrokenRun) -> None:
        """Report at once to the other entries that a run of a request broke off."""
        run_ms = _milliseconds(run.ended_at - run.started_at)
        self._send_to_others(SuspectCall(fingerprint, run.server, run_ms))

    def report_cleared(self, fingerprint: str) -> None:
        """Report at once to the other entries that a suspect was answered."""
        self._send_to_others(SuspectCleared(fingerprint))

    def _send_to_others(self, message: object) -> None:
        for entry in self._follower.view.entries:
            if entry.entry_id != self._context.instance:
                self._send(entry.address, message)

    def report_exhausted(self, message: ProgramSpent) -> None:
        """Report an exhausted budget to the other entries of the zone.

        The other turns of the program arrive at entries of this zone.
        """
        for entry in self._follower.view.entries:
            if entry.availability_zone != self._context.availability_zone:
                continue
            if entry.entry_id != self._context.instance:
                self._send(entry.address, message)

    def _on_exhausted(self, _link: Link, message: ProgramSpent) -> None:
        retention_s = message.retention_ms / 1000
        now = self._context.monotonic()
        self._state.exhausted_programs.record_usage(
            message.org_id, message.program_id, message.spent, retention_s, now
        )

    def _on_suspect(self, _link: Link, message: SuspectCall) -> None:
        now = self._context.monotonic()
        run = BrokenRun(message.server, now - message.run_ms / 1000, now)
        self._state.crash_suspects.on_broken_run(message.fingerprint, run)

    def _on_suspect_cleared(self, _link: Link, message: SuspectCleared) -> None:
        self._state.crash_suspects.on_response(message.fingerprint, self._context.monotonic())

    def _on_known_suspects(self, _link: Link, message: KnownSuspects) -> None:
        now = self._context.monotonic()
        for one in message.suspects:
            for known in one.runs:
                ended_at = now - known.age_ms / 1000
                run = BrokenRun(known.server, ended_at - known.run_ms / 1000, ended_at)
                self._state.crash_suspects.on_broken_run(one.fingerprint, run)
        log.info("relay.suspects_learnt", suspects=len(message.suspects))

    def _send_all(self, messages: list[AddressedLoad]) -> None:
        for one in messages:
            self._send(one.address, one.message)

    def _send(self, address: str, message: object) -> bool:
        """Send a message; return False if there is no link."""
        try:
            self._context.hub.link_to(address).send(message)
            return True
        except LinkError:
            # Load is sent again, and the other entry notices a crashing request or an exhausted
            # budget by itself when it runs a call.
            self._context.metrics.count("relay.peer_untold")
            return False

    def _on_load(self, _link: Link, message: EntryLoad) -> None:
        now = self._context.monotonic()
        if self._digest.is_direct():
            self._state.chooser.on_entry_load(
                message.entry_id, message.running_by_server, now, message.signs, message.detail
            )
            return
        self._digest.on_entry_load(message, now)

    def _on_zone_load(self, _link: Link, message: ZoneLoad) -> None:
        self._digest.on_zone_load(message, self._context.monotonic())

    def _on_load_elsewhere(self, _link: Link, message: LoadElsewhere) -> None:
        if not self._digest.is_direct():
            self._state.chooser.on_load_elsewhere(message, self._context.monotonic())


def _known_suspect(fingerprint: str, runs: list[BrokenRun], now: float) -> KnownSuspect:
    """Return the message about a suspect; entries of earlier versions read only its last run."""
    known = []
    for run in runs:
        run_ms = _milliseconds(run.ended_at - run.started_at)
        known.append(KnownRun(run.server, run_ms, _milliseconds(now - run.ended_at)))
    return KnownSuspect(fingerprint, len(runs), known[-1].age_ms, known)


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
