"""The relay as its process drives it: accepts clients, follows control, drains."""

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
    RateSlack,
)
from tarragonhall_model import ClientLimits
from tarragonhall_rates import Rates
from tarragonhall_wire import ControlClient, ProcessContext, split_address

from tarragonhall_relay._backend import BackendPool
from tarragonhall_relay._call import Call
from tarragonhall_relay._client import ClientConnection, error_body
from tarragonhall_relay._dialect import Dialect
from tarragonhall_relay._errors import BadRequestError, BrokenAnswerError, ClientGoneError
from tarragonhall_relay._following import BackendFollower, PeerNews, RelayFollower
from tarragonhall_relay._places import Places
from tarragonhall_relay._sockets import set_options
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._turns import Turns

log = structlog.get_logger(__name__)

BACKLOG = 1_024
ACCEPT_PAUSE_SECONDS = 0.05
# Idle connections are given up to within this of their time.
SWEEP_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.02
# The balancer asks once a second and takes a process out after two misses; until then clients
# still come here, and find somebody.
BALANCER_SECONDS = 2.5
# Leaving hands the rates over at once; without an answer the missing heartbeats do it later.
LEAVE_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class RelaySettings:
    """Where clients connect, and by how much rates and the calls of cold servers may be exceeded.

    `rate_lease_s` must be the same on all entries: it is how long an owner of rates may act after
    control has confirmed it, and how long its successor waits. `region_by_zone` says in which
    region each availability zone lies, for calls that must stay in some.
    """

    listen: str
    rate_slack: RateSlack = RateSlack()
    cold_slack: ColdSlack = ColdSlack()
    rate_lease_s: float = LEASE_S
    region_by_zone: Mapping[str, str] = field(default_factory=dict)


class RelayRole:
    """One entry for passed-on calls."""

    __slots__ = (
        "_accepting",
        "_backends",
        "_clients",
        "_context",
        "_control",
        "_follower",
        "_listener",
        "_peers",
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
        self._follower = RelayFollower(context)
        cold = ColdServers(context.instance)
        chooser = BackendChooser(context.availability_zone, context.rng, cold)
        self.state = RelayState(
            dialect=dialect,
            chooser=chooser,
            places=Places(chooser, context.rng, context.monotonic),
            pool=BackendPool(context.hub.traffic),
            turns=Turns(context, self._follower.store_addresses),
            rates=Rates(context, settings.rate_slack, settings.rate_lease_s),
            suspects=CrashSuspects(),
            tell_suspect=lambda fingerprint: self._peers.tell_suspect(fingerprint),
            tell_spent=lambda message: self._peers.tell_spent(message),
            metrics=context.metrics,
            rng=context.rng,
            monotonic=context.monotonic,
            is_fresh=self._is_fresh,
            availability_zone=context.availability_zone,
            region_by_zone=settings.region_by_zone,
            store_zones=self._follower.store_zones,
            cold_slack=settings.cold_slack,
        )
        self._follower.attach(self.state)
        self._backends = BackendFollower(context, self.state)
        self._peers = PeerNews(context, self.state, self._follower)
        # Whoever is connected; each has a green thread of its own.
        self._clients: set[ClientConnection] = set()
        self._stopped = False
        self._listener = listener or eventlet.listen(
            split_address(settings.listen), backlog=BACKLOG, reuse_port=False
        )
        self._accepting = None

    def start(self) -> None:
        """Follow control and serve clients."""
        self._control.follow(
            self._context.entry_record,
            self._follower,
            takes_relay=True,
            settled_owners=self.state.rates.settled_owners,
        )
        self._backends.start()
        self._peers.start()
        self._accepting = eventlet.spawn(self._accept_loop)
        eventlet.spawn_n(self._sweep_loop)
        log.info("relay.started", listen=self._settings.listen)

    def ready(self) -> bool:
        """Return whether clients may be sent here: a document and servers are known."""
        if self.state.draining or self.state.table is None:
            return False
        services = self.state.table.service_by_name
        return any(self.state.chooser.servers(name) for name in services)

    def drain(self, timeout_s: float) -> bool:
        """Stop being ready, wait for the balancer, finish every call at hand."""
        deadline = self._context.monotonic() + timeout_s
        self.state.draining = True
        for client in self._clients:
            client.closing = True
        log.info("relay.draining", calls=self.state.calls, connections=len(self._clients))
        eventlet.sleep(min(BALANCER_SECONDS, timeout_s / 2))
        self._stop_accepting()
        while self._clients and self._context.monotonic() < deadline:
            for client in list(self._clients):
                client.close_if_idle()
            eventlet.sleep(DRAIN_POLL_SECONDS)
        ended = not self._clients
        log.info("relay.drained", calls=self.state.calls, ended=ended)
        # Only now: without its place in the view this entry gets no tokens for its callers.
        self._control.leave(self._context.entry_record(), LEAVE_SECONDS)
        return ended

    def _stop_accepting(self) -> None:
        """Take in the connections that wait to be accepted, then no more.

        Clients in the backlog believe that they are connected, and may have sent their request.
        """
        self._accepting.kill()
        self._listener.setblocking(False)
        while True:
            try:
                connection, _address = self._listener.accept()
            except OSError:
                break
            connection.setblocking(True)
            eventlet.spawn_n(self._serve, connection)
        self._listener.close()
        eventlet.sleep(0)

    def stop(self) -> None:
        """Release everything at once."""
        self._stopped = True
        self._backends.stop()
        self._peers.stop()
        self.state.rates.stop()
        if not self.state.draining:
            self._accepting.kill()
            self._listener.close()
        for client in list(self._clients):
            client.abort()

    def _is_fresh(self) -> bool:
        return self._follower.is_fresh(self._context.monotonic())

    def _accept_loop(self) -> None:
        while True:
            try:
                connection, _address = self._listener.accept()
            except OSError as error:
                log.warning("relay.accept_failed", error=str(error))
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            eventlet.spawn_n(self._serve, connection)

    def _limits(self) -> ClientLimits:
        table = self.state.table
        return table.config.limits if table is not None else ClientLimits()

    def _serve(self, connection) -> None:
        client = ClientConnection(connection, self._limits())
        self._clients.add(client)
        linger = False
        try:
            set_options(connection)
            linger = self._serve_requests(client)
        except ClientGoneError as error:
            log.debug("client.gone", error=str(error))
        except BrokenAnswerError:
            client.abort()
        except OSError as error:
            log.debug("client.failed", error=str(error))
        except Exception:  # noqa: BLE001 - one client's error must not pass without a line
            log.exception("client.error")
            client.abort()
        finally:
            self._clients.discard(client)
            client.close(linger)

    def _serve_requests(self, client: ClientConnection) -> bool:
        """Answer requests until the connection ends; return whether to linger at its close."""
        while True:
            client.closing = client.closing or self.state.draining
            try:
                request = client.next_request(self._limits())
            except BadRequestError as error:
                self._answer_bad(client, error)
                return True
            if request is None:
                return False
            client.closing = client.closing or self.state.draining
            arrived_at = self._context.monotonic()
            self.state.calls += 1
            try:
                Call(self.state, client, request, arrived_at).run()
            finally:
                self.state.calls -= 1
                client.reading = False
            if not client.next_cycle():
                return client.closing

    def _answer_bad(self, client: ClientConnection, error: BadRequestError) -> None:
        log.info("call.bad_request", status=error.status, reason=str(error))
        client.closing = True
        body = error_body("bad_input", str(error))
        client.respond(error.status, [(b"content-type", b"application/json")], body)

    def _sweep_loop(self) -> None:
        while not self._stopped:
            eventlet.sleep(SWEEP_SECONDS)
            self.state.pool.sweep()
