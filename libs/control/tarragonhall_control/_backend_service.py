"""Registers the backend servers of the relay and notifies entries of changes over links.

The registry is soft state of each member and not part of the log: entries must find servers while
the group has no leader, and each server announces itself again about once a second. Departures are
in the log as well. A server that left is told that it gets no more calls, and that must hold when
all members have been restarted and one of its announcements arrives late.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import eventlet
import structlog
from eventlet.event import Event
from tarragonhall_decisions import Registry, is_departure
from tarragonhall_group import LoopBusyError, OutcomeUnknownError
from tarragonhall_model import (
    AdoptBackend,
    BackendAdopted,
    BackendRecord,
    BackendsChanged,
    BackendsKnown,
    FollowBackends,
    LinkError,
    RecordDepartures,
    pack_records,
)
from tarragonhall_wire import Link, attempt, repeat

from tarragonhall_control._member import ControlMember

log = structlog.get_logger(__name__)

CHECK_SECONDS = 0.5
# Followers send a request every two or three seconds; one that sent none for this long is gone.
FOLLOWER_TIMEOUT_SECONDS = 9.0
# A leaving server gets its response after the other members had this long to notify their entries.
# Below the server's request timeout of 1 s; the server stays up for 2 s after the response.
FORWARD_TIMEOUT_SECONDS = 0.4
# How long a notice waits for its commit. Without a majority it is confirmed on the strength of the
# members and entries that know it, and committed as soon as there is one.
STORE_TIMEOUT_SECONDS = 0.4
# Changes within this time share one message to each entry and member. Without it, when all servers
# start at once, each entry would get a message per server from each member.
BATCH_SECONDS = 0.02
# The warm-up times in a table grow old by as much, which stays within their tolerance.
TABLE_VALID_SECONDS = 0.2
# Records from which a reply is packed.
MIN_PACKED_RECORDS = 64


@dataclass(slots=True)
class _Batch:
    """Changes that are sent together, and events for when that is done.

    `adopted_ids` are those that another member reported; they are not sent back to the members.
    `stored` tells whether this member, as leader, committed the departures among the changes;
    `stored_by_group` whether any member did.
    """

    record_by_id: dict[str, BackendRecord] = field(default_factory=dict)
    adopted_ids: set[str] = field(default_factory=set)
    entries_notified: Event = field(default_factory=Event)
    members_notified: Event = field(default_factory=Event)
    stored: Event = field(default_factory=Event)
    stored_by_group: bool = False

    def own_records(self) -> list[BackendRecord]:
        """Return the changes that this member was the first to learn."""
        return [one for key, one in self.record_by_id.items() if key not in self.adopted_ids]


class BackendService:
    """The backend registry of one control member and the entries that follow it."""

    __slots__ = (
        "_batch",
        "_known_reply",
        "_known_reply_at",
        "_member",
        "_registry",
        "_requested_at_by_link",
        "_departures_version",
        "_sent_version",
        "_stopped",
    )

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._registry = Registry()
        self._requested_at_by_link: dict[Link, float] = {}
        self._batch: _Batch | None = None
        # The latest reply with the whole table, which many entries request at once.
        self._known_reply: BackendsKnown | None = None
        self._known_reply_at = float("-inf")
        self._sent_version = 0
        self._departures_version = -1
        self._stopped = False

    def start(self) -> None:
        """Register the handlers of messages about backend servers and start the checks."""
        hub = self._member.context.hub
        hub.handle(FollowBackends, self._on_follow)
        hub.handle(AdoptBackend, self._on_adopt)
        hub.on_link_closed(self._on_link_down)
        eventlet.spawn_n(repeat, self._check, lambda: not self._stopped)

    def stop(self) -> None:
        """Stop the checks."""
        self._stopped = True

    def announce(self, record: BackendRecord) -> None:
        """Process a server's announcement; return once the reachable entries were notified."""
        self._learn_departures()
        changed = self._registry.on_announcement(record, self._member.context.monotonic())
        if changed is not None:
            self._queue_change(changed).members_notified.wait()
        elif self._registry.is_departed(record):
            log.info(
                "backend.late_announcement",
                server=record.server_id,
                sequence=record.sequence,
                born_ms=record.born_ms,
            )
            self._member.context.metrics.count("control.late_announcements")

    def leave(self, server_id: str, born_ms: int | None) -> None:
        """Process a server's shutdown notice; return once the reachable entries were notified."""
        now = self._member.context.monotonic()
        gone = self._registry.mark_gone(server_id, born_ms, now)
        batch = self._queue_change(gone)
        batch.members_notified.wait()
        if not batch.stored_by_group:
            log.warning("backend.departure_unstored", server=server_id, born_ms=gone.born_ms)
            self._member.context.metrics.count("control.departures_unstored")

    def _queue_change(self, record: BackendRecord, adopted: bool = False) -> _Batch:
        """Add a change to the next batch and return the batch."""
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
        batch = self._batch
        if batch is None:
            batch = self._batch = _Batch()
            eventlet.spawn_after(BATCH_SECONDS, self._send_batch)
        batch.record_by_id[record.server_id] = record
        if adopted:
            batch.adopted_ids.add(record.server_id)
        else:
            batch.adopted_ids.discard(record.server_id)
        return batch

    def _send_batch(self) -> None:
        """Send the batch of changes to each entry and each member in one message."""
        batch, self._batch = self._batch, None
        records = list(batch.record_by_id.values())
        # Announcements and notices of servers wait for each of the events, whatever fails.
        attempt(self._notify_entries, records)
        batch.entries_notified.send()
        forwarding = eventlet.spawn(attempt, self._forward_to_members, batch.own_records())
        stored = bool(attempt(self._store_departures, records))
        batch.stored.send(stored)
        batch.stored_by_group = bool(forwarding.wait()) or stored
        batch.members_notified.send()

    def _learn_departures(self) -> None:
        """Merge the departures of the log into the registry, which starts empty."""
        departures = self._member.state.departures
        if departures.version == self._departures_version:
            return
        self._departures_version = departures.version
        now = self._member.context.monotonic()
        for record in departures.backends():
            changed = self._registry.on_announcement(replace(record, heard=False), now)
            if changed is not None:
                self._queue_change(changed, adopted=True)

    def _store_departures(self, records: list[BackendRecord]) -> bool:
        """As leader, commit the departures among the records; return whether all are stored."""
        if not self._member.is_leader():
            return False
        departures = self._member.state.departures
        missing = [one for one in records if is_departure(one) and not departures.holds(one)]
        if not missing:
            return True
        stored = False
        with eventlet.Timeout(STORE_TIMEOUT_SECONDS, False):
            try:
                self._member.commit(RecordDepartures(missing))
                stored = True
            except (LoopBusyError, OutcomeUnknownError) as error:
                log.info("backend.departures_not_committed", error=str(error))
        if stored:
            self._member.context.metrics.count("control.departures_stored", len(missing))
        return stored

    def _notify_entries(self, records: list[BackendRecord]) -> None:
        message = BackendsChanged(self._registry.version, records, self._sent_version)
        self._sent_version = self._registry.version
        for link in list(self._requested_at_by_link):
            try:
                link.send(message)
            except LinkError:
                # The reply to the follower's next request brings the whole table.
                self._requested_at_by_link.pop(link, None)

    def _forward_to_members(self, records: list[BackendRecord]) -> bool:
        """Forward changes to the other members: an entry may have no link to this one.

        Return whether one of them stored the departures among the records.
        """
        if not records:
            return False
        replies: list[BackendAdopted] = []
        waiting = []
        for address in self._member.other_addresses():
            waiting.append(eventlet.spawn(attempt, self._forward_to, address, records, replies))
        with eventlet.Timeout(FORWARD_TIMEOUT_SECONDS, False):
            for one in waiting:
                one.wait()
        return any(reply.stored for reply in replies)

    def _forward_to(
        self, address: str, records: list[BackendRecord], replies: list[BackendAdopted]
    ) -> None:
        try:
            link = self._member.context.hub.link_to(address)
            message = AdoptBackend(records[0], records[1:])
            replies.append(link.request(message, FORWARD_TIMEOUT_SECONDS))
        except LinkError as error:
            log.debug("backend.share_failed", address=address, error=str(error))

    def _on_adopt(self, _link: Link, message: AdoptBackend) -> BackendAdopted:
        now = self._member.context.monotonic()
        batch: _Batch | None = None
        for record in (message.record, *message.more):
            if record.gone:
                changed = self._registry.mark_gone(record.server_id, record.born_ms or None, now)
            else:
                changed = self._registry.on_announcement(record, now)
            if changed is not None:
                batch = self._queue_change(changed, adopted=True)
        if batch is not None:
            # Waiting for the other members too would make members wait for each other.
            batch.entries_notified.wait()
            return BackendAdopted(batch.stored.wait())
        return BackendAdopted()

    def _on_follow(self, link: Link, message: FollowBackends) -> BackendsKnown:
        now = self._member.context.monotonic()
        known = link in self._requested_at_by_link
        self._requested_at_by_link[link] = now
        version = self._registry.version
        if known and message.version == version:
            return BackendsKnown(version, complete=False)
        if known and message.takes_changes and 0 <= message.version < version:
            changes = self._registry.changes_since(message.version, now)
            return _reply_with(version, False, changes)
        if not message.takes_changes:
            return BackendsKnown(version, True, self._registry.records(now))
        return self._whole_table(now)

    def _whole_table(self, now: float) -> BackendsKnown:
        """Return all records; they are collected once for entries that request them together."""
        reply = self._known_reply
        is_stale = now - self._known_reply_at > TABLE_VALID_SECONDS
        if reply is None or is_stale or reply.version != self._registry.version:
            reply = _reply_with(self._registry.version, True, self._registry.records(now))
            self._known_reply, self._known_reply_at = reply, now
        return reply

    def _on_link_down(self, link: Link) -> None:
        self._requested_at_by_link.pop(link, None)

    def _check(self) -> None:
        eventlet.sleep(CHECK_SECONDS)
        now = self._member.context.monotonic()
        self._learn_departures()
        for record in self._registry.tick(now):
            self._queue_change(record)
        # Those that were confirmed without a majority, or to another leader.
        self._store_departures(self._registry.departures())
        for link, requested_at in list(self._requested_at_by_link.items()):
            if now - requested_at > FOLLOWER_TIMEOUT_SECONDS:
                del self._requested_at_by_link[link]


def _reply_with(version: int, complete: bool, records: list[BackendRecord]) -> BackendsKnown:
    if len(records) < MIN_PACKED_RECORDS:
        return BackendsKnown(version, complete, records)
    return BackendsKnown(version, complete, packed=pack_records(records))
