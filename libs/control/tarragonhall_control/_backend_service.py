"""Registers the backend servers of the relay and notifies entries of changes over links.

The registry is soft state of each member and not part of the log: entries must find servers while
the group has no leader, and each server announces itself again about once a second.
"""

from __future__ import annotations

import eventlet
import structlog
from eventlet.event import Event
from tarragonhall_decisions import Registry
from tarragonhall_model import (
    AdoptBackend,
    BackendAdopted,
    BackendRecord,
    BackendsChanged,
    BackendsKnown,
    FollowBackends,
    LinkError,
)
from tarragonhall_wire import Link

from tarragonhall_control._member import ControlMember

log = structlog.get_logger(__name__)

CHECK_SECONDS = 0.5
# Followers send a request every two or three seconds; one that sent none for this long is gone.
FOLLOWER_TIMEOUT_SECONDS = 9.0
# A leaving server gets its response after the other members had this long to notify their entries.
# Below the server's request timeout of 1 s; the server stays up for 2 s after the response.
FORWARD_TIMEOUT_SECONDS = 0.4
# Changes within this time share one message to each entry. Without it, when all servers start at
# once, each entry would get a message per server from each member.
BATCH_SECONDS = 0.02


class BackendService:
    """The backend registry of one control member and the entries that follow it."""

    __slots__ = (
        "_changes_sent",
        "_member",
        "_pending_by_id",
        "_registry",
        "_requested_at_by_link",
        "_sent_version",
        "_stopped",
    )

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._registry = Registry()
        self._requested_at_by_link: dict[Link, float] = {}
        # The batch of changes to send next; `_changes_sent` fires once it is sent.
        self._pending_by_id: dict[str, BackendRecord] = {}
        self._changes_sent = Event()
        self._sent_version = 0
        self._stopped = False

    def start(self) -> None:
        """Register the handlers of messages about backend servers and start the checks."""
        hub = self._member.context.hub
        hub.handle(FollowBackends, self._on_follow)
        hub.handle(AdoptBackend, self._on_adopt)
        hub.on_link_closed(self._on_link_down)
        eventlet.spawn_n(self._check_loop)

    def stop(self) -> None:
        """Stop the checks."""
        self._stopped = True

    def announce(self, record: BackendRecord) -> None:
        """Process a server's announcement; return once the reachable entries were notified."""
        changed = self._registry.on_announcement(record, self._member.context.monotonic())
        if changed is not None:
            self._queue_change(changed)
            self._forward_to_members(changed)
            self._changes_sent.wait()

    def leave(self, server_id: str, born_ms: int | None) -> None:
        """Process a server's shutdown notice; return once the reachable entries were notified."""
        now = self._member.context.monotonic()
        gone = self._registry.mark_gone(server_id, born_ms, now)
        self._queue_change(gone)
        self._forward_to_members(gone)
        self._changes_sent.wait()

    def _queue_change(self, record: BackendRecord) -> None:
        log.info(
            "backend.changed",
            server=record.server_id,
            service=record.service,
            address=record.address,
            sequence=record.sequence,
            draining=record.draining,
            gone=record.gone,
            heard=record.heard,
        )
        if not self._pending_by_id:
            self._changes_sent = Event()
            eventlet.spawn_after(BATCH_SECONDS, self._send_changes)
        self._pending_by_id[record.server_id] = record

    def _send_changes(self) -> None:
        """Send the batch of changes to each entry in one message."""
        records = list(self._pending_by_id.values())
        self._pending_by_id.clear()
        message = BackendsChanged(self._registry.version, records, self._sent_version)
        self._sent_version = self._registry.version
        for link in list(self._requested_at_by_link):
            try:
                link.send(message)
            except LinkError:
                # The reply to the follower's next request brings the whole table.
                self._requested_at_by_link.pop(link, None)
        self._changes_sent.send()

    def _forward_to_members(self, record: BackendRecord) -> None:
        """Forward a change to the other members: an entry may have no link to this one."""
        waiting = []
        for address in self._member.other_addresses():
            waiting.append(eventlet.spawn(self._forward_to, address, record))
        with eventlet.Timeout(FORWARD_TIMEOUT_SECONDS, False):
            for one in waiting:
                one.wait()

    def _forward_to(self, address: str, record: BackendRecord) -> None:
        try:
            link = self._member.context.hub.link_to(address)
            link.request(AdoptBackend(record), FORWARD_TIMEOUT_SECONDS)
        except LinkError as error:
            log.debug("backend.share_failed", address=address, error=str(error))

    def _on_adopt(self, _link: Link, message: AdoptBackend) -> BackendAdopted:
        now = self._member.context.monotonic()
        record = message.record
        if record.gone:
            changed = self._registry.mark_gone(record.server_id, record.born_ms or None, now)
        else:
            changed = self._registry.on_announcement(record, now)
        if changed is not None:
            self._queue_change(changed)
            self._changes_sent.wait()
        return BackendAdopted()

    def _on_follow(self, link: Link, message: FollowBackends) -> BackendsKnown:
        now = self._member.context.monotonic()
        known = link in self._requested_at_by_link
        self._requested_at_by_link[link] = now
        if known and message.version == self._registry.version:
            return BackendsKnown(message.version, complete=False)
        return BackendsKnown(self._registry.version, True, self._registry.records(now))

    def _on_link_down(self, link: Link) -> None:
        self._requested_at_by_link.pop(link, None)

    def _check_loop(self) -> None:
        while not self._stopped:
            eventlet.sleep(CHECK_SECONDS)
            now = self._member.context.monotonic()
            for record in self._registry.tick(now):
                self._queue_change(record)
            for link, requested_at in list(self._requested_at_by_link.items()):
                if now - requested_at > FOLLOWER_TIMEOUT_SECONDS:
                    del self._requested_at_by_link[link]
