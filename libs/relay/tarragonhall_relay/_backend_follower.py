"""The backend servers that an entry hears of from the control members."""

from __future__ import annotations

from functools import partial

import eventlet
import structlog
from tarragonhall_decisions import BackendTable
from tarragonhall_model import BackendsChanged, CodecError, FollowBackends, LinkError
from tarragonhall_wire import Link, ProcessContext, repeat

from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)

# Changes are pushed. The periodic request recovers lost ones and renews this entry's subscription.
FOLLOW_INTERVAL_SECONDS = 2.5
# Interval after a request that failed.
FOLLOW_RETRY_SECONDS = 0.8
# Many round trips: a member that replies later is busy or gone, and the next request comes soon.
FOLLOW_TIMEOUT_SECONDS = 1.0
LINK_TIMEOUT_SECONDS = 0.5
# Seconds for which changes of servers are collected before they apply to the choice of servers.
UPDATE_BATCH_SECONDS = 0.02
# Part of the time that applying changes may take. Each update visits every server, and thousands of
# servers that start within seconds would leave no time for calls.
MAX_UPDATE_SHARE = 0.1
# Interval at which new control members are looked for. An entry that has just started knows servers
# only once it follows a member that runs.
MEMBER_POLL_SECONDS = 0.25


class BackendFollower:
    """Subscribes to changes of the backend servers, at all control members in parallel."""

    __slots__ = (
        "_context",
        "_followed",
        "_state",
        "_stopped",
        "_table",
        "_update_scheduled",
        "_update_took_s",
        "_version_by_source",
    )

    def __init__(self, context: ProcessContext, state: RelayState) -> None:
        self._context = context
        self._state = state
        self._table = BackendTable()
        self._followed: set[str] = set()
        self._version_by_source: dict[str, int] = {}
        self._update_scheduled = False
        self._update_took_s = 0.0
        self._stopped = False
        context.hub.handle(BackendsChanged, self._on_changed)
        context.hub.on_link_open(self._on_link_up)

    def start(self) -> None:
        """Start following."""
        eventlet.spawn_n(repeat, self._watch, lambda: not self._stopped)

    def stop(self) -> None:
        """Stop following."""
        self._stopped = True

    def _watch(self) -> None:
        for address in self._context.control_addresses:
            if address not in self._followed:
                self._followed.add(address)
                eventlet.spawn_n(self._follow_loop, address)
        eventlet.sleep(MEMBER_POLL_SECONDS)

    def _follow_loop(self, address: str) -> None:
        repeat(
            partial(self._follow, address),
            lambda: not self._stopped and address in self._context.control_addresses,
        )
        self._followed.discard(address)
        self._version_by_source.pop(address, None)
        self._apply(self._table.drop_source(address))

    def _follow(self, address: str) -> None:
        replied = self._request_changes(address)
        pause_s = FOLLOW_INTERVAL_SECONDS if replied else FOLLOW_RETRY_SECONDS
        eventlet.sleep(pause_s * self._context.rng.uniform(0.7, 1.0))

    def _on_link_up(self, link: Link) -> None:
        """Request changes at once: the member may have restarted and lost its subscriptions."""
        if link.peer.address in self._followed:
            eventlet.spawn_n(self._request_changes, link.peer.address)

    def _request_changes(self, address: str) -> bool:
        """Request the changes from a member; return whether it replied."""
        version = self._version_by_source.get(address, -1)
        try:
            link = self._context.hub.wait_for_link(address, LINK_TIMEOUT_SECONDS)
            reply = link.request(
                FollowBackends(version, takes_changes=True), FOLLOW_TIMEOUT_SECONDS
            )
        except LinkError as error:
            log.debug("backends.unheard", address=address, error=str(error))
            return False
        try:
            records = reply.unpacked()
        except CodecError as error:
            log.warning("backends.undecodable", address=address, error=str(error))
            return False
        if reply.complete:
            self._version_by_source[address] = reply.version
            self._apply(self._table.replace_source(address, records))
        elif records:
            self._version_by_source[address] = reply.version
            self._apply(self._table.update_source(address, records))
        return True

    def _on_changed(self, link: Link, update: BackendsChanged) -> None:
        address = link.peer.address
        if self._version_by_source.get(address) == update.base:
            # After a missed change the version stays behind, and the next request gets all servers.
            self._version_by_source[address] = update.version
        self._apply(self._table.update_source(address, update.records))

    def _apply(self, changed: set[str]) -> None:
        if not changed:
            return
        for server_id in changed:
            record = self._table.by_id.get(server_id)
            if record is None or record.gone:
                self._state.pool.close_idle(server_id)
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
        if not self._update_scheduled:
            self._update_scheduled = True
            pause_s = max(UPDATE_BATCH_SECONDS, self._update_took_s / MAX_UPDATE_SHARE)
            eventlet.spawn_after(
                pause_s, repeat, self._update_servers, lambda: self._update_scheduled
            )

    def _update_servers(self) -> None:
        """Pass all servers to the chooser, once for a batch of changes: it visits each server."""
        now = self._context.monotonic()
        self._table.forget_gone(now)
        self._state.chooser.set_servers(list(self._table.by_id.values()), now)
        self._update_took_s = self._context.monotonic() - now
        # Nothing in between lets another green thread change the table.
        self._update_scheduled = False
