"""Backend servers of the relay announce themselves here; entries are told over their links.

What is known is soft state of each member, not of the log: servers must be found while the group
has no leader, and each announces itself again every second or so.
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

TICK_SECONDS = 0.5
# A follower asks again every two or three seconds; one that asked nothing for this long is gone.
FOLLOWER_SECONDS = 9.0
# Before a leaving server is told that it may go, the other members are to have told their entries.
# Short, since its patience ends after a second, and the promise leaves two seconds besides.
SHARE_SECONDS = 0.4
# Seconds in which changes are gathered for the entries: where all servers start at once, each entry
# would else get a message for each of them from each member.
GATHER_SECONDS = 0.02


class BackendDesk:
    """The registry of one control member and the entries that follow it."""

    __slots__ = (
        "_asked_at_by_link",
        "_changed_by_id",
        "_member",
        "_registry",
        "_stopped",
        "_told",
        "_told_version",
    )

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._registry = Registry()
        self._asked_at_by_link: dict[Link, float] = {}
        # Gathered until they are told; `_told` is sent then.
        self._changed_by_id: dict[str, BackendRecord] = {}
        self._told = Event()
        self._told_version = 0
        self._stopped = False

    def start(self) -> None:
        """Take over the messages about backend servers."""
        hub = self._member.context.hub
        hub.handle(FollowBackends, self._on_follow)
        hub.handle(AdoptBackend, self._on_adopt)
        hub.on_down(self._on_link_down)
        eventlet.spawn_n(self._tick_loop)

    def stop(self) -> None:
        """Watch no more."""
        self._stopped = True

    def announce(self, record: BackendRecord) -> None:
        """Take a server's word about itself; return once the entries in reach were told."""
        changed = self._registry.hear(record, self._member.context.monotonic())
        if changed is not None:
            self._tell(changed)
            self._share(changed)
            self._told.wait()

    def leave(self, server_id: str, born_ms: int | None) -> None:
        """Take a server's word that it leaves; return once the entries in reach were told."""
        now = self._member.context.monotonic()
        gone = self._registry.leave(server_id, born_ms, now)
        self._tell(gone)
        self._share(gone)
        self._told.wait()

    def _tell(self, record: BackendRecord) -> None:
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
        if not self._changed_by_id:
            self._told = Event()
            eventlet.spawn_after(GATHER_SECONDS, self._tell_changes)
        self._changed_by_id[record.server_id] = record

    def _tell_changes(self) -> None:
        """Tell the entries what has changed within a moment, in one message for each."""
        records = list(self._changed_by_id.values())
        self._changed_by_id.clear()
        news = BackendsChanged(self._registry.version, records, self._told_version)
        self._told_version = self._registry.version
        for link in list(self._asked_at_by_link):
            try:
                link.send(news)
            except LinkError:
                # The follower's next question brings the whole table.
                self._asked_at_by_link.pop(link, None)
        self._told.send()

    def _share(self, record: BackendRecord) -> None:
        """Have the other members tell their followers: an entry may have no link to this one."""
        waiting = []
        for address in self._member.other_addresses():
            waiting.append(eventlet.spawn(self._share_with, address, record))
        with eventlet.Timeout(SHARE_SECONDS, False):
            for one in waiting:
                one.wait()

    def _share_with(self, address: str, record: BackendRecord) -> None:
        try:
            link = self._member.context.hub.link_to(address)
            link.request(AdoptBackend(record), SHARE_SECONDS)
        except LinkError as error:
            log.debug("backend.share_failed", address=address, error=str(error))

    def _on_adopt(self, _link: Link, message: AdoptBackend) -> BackendAdopted:
        now = self._member.context.monotonic()
        record = message.record
        if record.gone:
            changed = self._registry.leave(record.server_id, record.born_ms or None, now)
        else:
            changed = self._registry.hear(record, now)
        if changed is not None:
            self._tell(changed)
            self._told.wait()
        return BackendAdopted()

    def _on_follow(self, link: Link, message: FollowBackends) -> BackendsKnown:
        now = self._member.context.monotonic()
        known = link in self._asked_at_by_link
        self._asked_at_by_link[link] = now
        if known and message.version == self._registry.version:
            return BackendsKnown(message.version, complete=False)
        return BackendsKnown(self._registry.version, True, self._registry.records(now))

    def _on_link_down(self, link: Link) -> None:
        self._asked_at_by_link.pop(link, None)

    def _tick_loop(self) -> None:
        while not self._stopped:
            eventlet.sleep(TICK_SECONDS)
            now = self._member.context.monotonic()
            for record in self._registry.tick(now):
                self._tell(record)
            for link, asked_at in list(self._asked_at_by_link.items()):
                if now - asked_at > FOLLOWER_SECONDS:
                    del self._asked_at_by_link[link]
