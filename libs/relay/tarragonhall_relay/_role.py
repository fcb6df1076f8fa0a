"""The relay role of an entry process: accepts clients, applies updates from control, drains."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import eventlet
import structlog
from eventlet.greenio import GreenSocket
from tarragonhall_decisions import (
    LEASE_S,
    BackendChooser,
    ColdServers,
    ColdSlack,
    CrashSuspects,
    Features,
    RateSlack,
    ReaderLimits,
)
from tarragonhall_model import ClientLimits
from tarragonhall_rates import Rates
from tarragonhall_state import FRESHNESS_LEASE_SECONDS
from tarragonhall_wire import (
    ClientGoneError,
    ControlClient,
    InboundClient,
    NoRoomError,
    ProcessContext,
    RequestError,
    bound_receive_buffers,
    repeat,
    split_address,
)

from tarragonhall_relay._admission import screen
from tarragonhall_relay._backend import BackendPool
from tarragonhall_relay._backend_follower import BackendFollower
from tarragonhall_relay._call import RelayedCall
from tarragonhall_relay._call_memory import EngineMemoryReport
from tarragonhall_relay._client import ClientConnection, ClientRequest
from tarragonhall_relay._client_writer import WaitingBytes
from tarragonhall_relay._dialect import Dialect
from tarragonhall_relay._errors import IncompleteResponseError
from tarragonhall_relay._followers import PeerUpdates, RelayFollower
from tarragonhall_relay._response_memory import response_memory_for
from tarragonhall_relay._room import RoomReporter
from tarragonhall_relay._server_times import PaceReporter
from tarragonhall_relay._silence import ServerChecks
from tarragonhall_relay._slots import SlotAllocator
from tarragonhall_relay._sockets import set_options
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._turn_histories import TurnHistories, history_limit_for
from tarragonhall_relay._turn_store import TurnStoreClient
from tarragonhall_relay._urgent_first import UrgentFirst

log = structlog.get_logger(__name__)

BACKLOG = 1_024
ACCEPT_RETRY_SECONDS = 0.05
# Connections that are accepted before other green threads get their turn.
ACCEPTS_PER_TURN = 16
# Interval at which expired idle connections are closed and gauges are set.
SWEEP_INTERVAL_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.02
# How long before the end of a drain the calls that still run are ended, so that their answers
# arrive.
END_CALLS_SECONDS = 0.3
# The balancer checks readiness once a second and removes a process after two failures. Until then
# new clients still connect here and must be served.
BALANCER_REMOVAL_SECONDS = 2.5
# The request to leave hands over the rates of this entry at once. If it gets no reply, they are
# handed over later, after the heartbeats stop.
LEAVE_TIMEOUT_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class RelaySettings:
    """The address for clients, and by how much rates and limits of cold servers may be exceeded.

    `rate_lease_s` must be the same on all entries: it is how long an owner of rates may act after
    control has confirmed it, and how long its successor waits. `region_by_zone` gives the region of
    each availability zone, for calls that must stay in their home regions. `reader_limits` bound
    what is held for clients that read slowly. `freshness_lease_s` is for how long after a
    confirmation an entry may say that a route or key does not exist: no longer than changes may
    take to be in force.
    """

    listen: str
    rate_slack: RateSlack = RateSlack()
    cold_slack: ColdSlack = ColdSlack()
    rate_lease_s: float = LEASE_S
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    features: Features = Features()
    reader_limits: ReaderLimits = ReaderLimits()
    freshness_lease_s: float = FRESHNESS_LEASE_SECONDS


class RelayRole:
    """One entry that relays calls to backend servers."""

    __slots__ = (
        "_accepted",
        "_acceptor",
        "_backend_follower",
        "_clients",
        "_context",
        "_control",
        "_follower",
        "_listener",
        "_peer_updates",
        "_room",
        "_settings",
        "_stopped",
        "state",
    )

    def __init__(
        self,
        settings: RelaySettings,
        context: ProcessContext,
        control: ControlClient,
        dialect: Dialect,
        listener: GreenSocket | None = None,
    ) -> None:
        self._settings = settings
        self._context = context
        self._control = control
        self._follower = RelayFollower(context, settings.freshness_lease_s)
        cold = ColdServers(context.instance)
        chooser = BackendChooser(context.availability_zone, context.rng, cold)
        pool = BackendPool(context.hub.traffic, context.metrics)
        chooser.way = settings.features.way
        chooser.uneven.cores = settings.features.capacity.cores
        self.state = RelayState(
            dialect=dialect,
            chooser=chooser,
            slots=SlotAllocator(chooser, context.rng, context.monotonic),
            pool=pool,
            server_checks=ServerChecks(pool, context.metrics, context.monotonic),
            waiting_bytes=WaitingBytes(settings.reader_limits, context.metrics, context.monotonic),
            turn_store=TurnStoreClient(
                context,
                self._follower.store_addresses,
                TurnHistories(history_limit_for(settings.features.capacity.memory_mb)),
            ),
            rates=Rates(context, settings.rate_slack, settings.rate_lease_s),
            crash_suspects=CrashSuspects(),
            report_suspect=lambda fingerprint, run: self._peer_updates.report_suspect(
                fingerprint, run
            ),
            report_cleared=lambda fingerprint: self._peer_updates.report_cleared(fingerprint),
            report_exhausted=lambda message: self._peer_updates.report_exhausted(message),
            metrics=context.metrics,
            rng=context.rng,
            monotonic=context.monotonic,
            is_fresh=self._is_fresh,
            availability_zone=context.availability_zone,
            region_by_zone=settings.region_by_zone,
            store_zones=self._follower.store_zones,
            config_age_s=self._config_age_s,
            cold_slack=settings.cold_slack,
            features=settings.features,
            response_memory=response_memory_for(settings.features.capacity.memory_mb),
        )
        if settings.features.urgent_first:
            self.state.urgent_first = UrgentFirst(self.state)
            self.state.slots.yields = self.state.urgent_first.yields
            self.state.load_reporters.append(self.state.urgent_first)
        chooser.uneven.has_channel = self.state.pool.has_idle
        self._room = RoomReporter(
            settings.features.capacity, chooser.uneven, self._open_connections, context.metrics
        )
        self.state.uneven_reporters += (
            self._room,
            PaceReporter(chooser.uneven, context.metrics),
        )
        self._follower.attach(self.state)
        if settings.features.engine_memory:
            chooser.preferred.spread_hot_keys()
            self.state.load_reporters.append(EngineMemoryReport(chooser.memory, context.metrics))
        self._backend_follower = BackendFollower(context, self.state)
        self._peer_updates = PeerUpdates(context, self.state, self._follower)
        # Each connection has a green thread of its own.
        self._clients: set[ClientConnection] = set()
        self._stopped = False
        self._listener = listener or eventlet.listen(
            split_address(settings.listen), backlog=BACKLOG, reuse_port=False
        )
        bound_receive_buffers(self._listener)
        self._acceptor = None
        self._accepted = 0

    def start(self) -> None:
        """Follow control and serve clients."""
        self._control.follow(
            self._context.entry_record,
            self._follower,
            include_relay=True,
            settled_owners=self.state.rates.settled_owners,
        )
        self._backend_follower.start()
        self._peer_updates.start()
        self._acceptor = eventlet.spawn(repeat, self._accept_next, lambda: True)
        eventlet.spawn_n(repeat, self._sweep, lambda: not self._stopped)
        log.info("relay.started", listen=self._settings.listen)

    def ready(self) -> bool:
        """Return whether a relay document and servers are known and no drain has begun.

        An entry whose room is nearly used up is not ready for a short time either.
        """
        if self.state.draining or self.state.table is None:
            return False
        if self._room.room.is_paused and self.state.chooser.uneven.paces.services:
            return False
        services = self.state.table.service_by_name
        return any(self.state.chooser.servers(name) for name in services)

    def drain(self, timeout_s: float) -> bool:
        """Become not ready, finish all calls and leave the view.

        Calls that still run shortly before the end are ended with an answer. Returns whether all
        calls were finished and all clients are gone.
        """
        deadline = self._context.monotonic() + timeout_s
        calls_end_at = deadline - min(END_CALLS_SECONDS, timeout_s / 4)
        self.state.draining = True
        self.state.planned_stop.begin(calls_end_at)
        for client in self._clients:
            client.closing = True
        log.info("relay.draining", calls=self.state.calls_in_flight, connections=len(self._clients))
        eventlet.sleep(min(BALANCER_REMOVAL_SECONDS, timeout_s / 2))
        self.state.planned_stop.refuse_late()
        self._stop_accepting()
        self._wait_for_clients(calls_end_at)
        calls_ended = self.state.planned_stop.end_calls()
        self._wait_for_clients(deadline)
        ended = not self._clients and not calls_ended
        log.info(
            "relay.drained",
            calls=self.state.calls_in_flight,
            calls_ended=calls_ended,
            ended=ended,
        )
        # Leave last: outside the view this entry would get no rate tokens for its remaining calls.
        self._control.leave(self._context.entry_record(), LEAVE_TIMEOUT_SECONDS)
        return ended

    def _wait_for_clients(self, until: float) -> None:
        """Close connections as they become idle, until all are closed or `until` has come."""
        while self._clients and self._context.monotonic() < until:
            for client in list(self._clients):
                client.close_if_idle()
            eventlet.sleep(DRAIN_POLL_SECONDS)

    def _stop_accepting(self) -> None:
        """Accept the connections in the backlog, then close the listener.

        Clients in the backlog see an open connection and may have sent their request.
        """
        self._acceptor.kill()
        self._listener.setblocking(False)
        while True:
            try:
                connection, address = self._listener.accept()
            except OSError:
                break
            connection.setblocking(True)
            self._admit(connection, address)
        self._listener.close()
        eventlet.sleep(0)

    def stop(self) -> None:
        """Stop at once and close all connections."""
        self._stopped = True
        self._backend_follower.stop()
        self._peer_updates.stop()
        self.state.rates.stop()
        if not self.state.draining:
            self._acceptor.kill()
            self._listener.close()
        for client in list(self._clients):
            client.abort()

    def _open_connections(self) -> int:
        """Return about how many descriptors the connections of clients and servers use."""
        return len(self._clients) + self.state.calls_in_flight + self.state.pool.idle()

    def _is_fresh(self) -> bool:
        return self._follower.is_fresh(self._context.monotonic())

    def _config_age_s(self) -> float | None:
        return self._follower.confirmed_age_s(self._context.monotonic())

    def _accept_next(self) -> None:
        try:
            connection, address = self._listener.accept()
        except OSError as error:
            log.warning("relay.accept_failed", error=str(error))
            eventlet.sleep(ACCEPT_RETRY_SECONDS)
            return
        self._admit(connection, address)
        self._accepted += 1
        if self._accepted % ACCEPTS_PER_TURN == 0:
            eventlet.sleep(0)

    def _admit(self, connection, address: tuple[str, int]) -> None:
        """Serve a connection, or close it unread if there is no room for it."""
        try:
            inbound = self._context.inbound.open(address[0])
        except NoRoomError:
            connection.close()
            return
        eventlet.spawn_n(self._serve, connection, inbound)

    def _limits(self) -> ClientLimits:
        table = self.state.table
        return table.config.limits if table is not None else ClientLimits()

    def _serve(self, connection, inbound: InboundClient) -> None:
        client = ClientConnection(connection, inbound, self.state.waiting_bytes)
        self._clients.add(client)
        lingers = False
        try:
            set_options(connection)
            lingers = self._serve_requests(client)
        except ClientGoneError as error:
            log.debug("client.gone", error=str(error))
        except IncompleteResponseError:
            client.abort()
        except OSError as error:
            log.debug("client.failed", error=str(error))
        except Exception:  # noqa: BLE001 - every client's error must be logged
            log.exception("client.error")
            client.abort()
        finally:
            self._clients.discard(client)
            client.close(lingers)
            inbound.close()

    def _serve_requests(self, client: ClientConnection) -> bool:
        """Serve requests until the connection ends; return whether to linger at its close."""
        while True:
            client.closing = client.closing or self.state.draining
            try:
                request = client.next_request(self._limits(), self._screen)
            except RequestError as error:
                self._refuse_request(client, error)
                return True
            if request is None:
                return False
            client.closing = client.closing or self.state.draining
            arrived_at = self._context.monotonic()
            self.state.calls_in_flight += 1
            try:
                RelayedCall(self.state, client, request, arrived_at).run()
            finally:
                self.state.calls_in_flight -= 1
            # Its body must not be held while the next request is awaited.
            del request
            client.end_request()
            if not client.stays_open():
                return client.closing

    def _screen(self, request: ClientRequest) -> str:
        return screen(self.state, request)

    def _refuse_request(self, client: ClientConnection, error: RequestError) -> None:
        log.info("call.bad_request", status=error.status, reason=str(error))
        self._context.metrics.count(
            "relay.requests_refused", labels=(("status", str(error.status)),)
        )
        client.closing = True
        client.refuse(error)

    def _sweep(self) -> None:
        eventlet.sleep(SWEEP_INTERVAL_SECONDS)
        self.state.pool.close_expired()
        self.state.waiting_bytes.report()
        age_s = self._config_age_s()
        if age_s is not None:
            self._context.metrics.gauge("relay.config_age_s", age_s)
