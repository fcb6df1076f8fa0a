"""Pushes settings and view to the followers and tracks the versions each was sent.

Entries get all settings. A process that runs only sidecars gets them without organisations and
keys: it admits no callers, and 15,000 organisations would take a fifth of its memory.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from tarragonhall_model import (
    EntryRecord,
    LinkError,
    News,
    PolicyDelta,
    ServerRecord,
    StoreRecord,
    View,
    ViewDelta,
    view_delta,
)
from tarragonhall_state import ControlState
from tarragonhall_wire import Link, Metrics

# A follower that is more epochs behind gets the whole view.
MAX_STORED_VIEWS = 32


@dataclass(slots=True)
class SentVersions:
    """The versions last sent to a follower, and whether it admits callers.

    `relay_version` is None for a follower that takes no relay documents.
    """

    revision: int
    epoch: int
    admits_callers: bool = False
    relay_version: int | None = None


@dataclass(slots=True, frozen=True)
class MissingUpdates:
    """What a follower lacks: settings since `base`, the view since `epoch`, the relay document."""

    base: int | None
    epoch: int | None
    relay: bool
    admits_callers: bool

    def is_empty(self) -> bool:
        """Return whether the follower is up to date."""
        return self.base is None and self.epoch is None and not self.relay


Node = EntryRecord | ServerRecord | StoreRecord


def policy_for(node: Node, policy: PolicyDelta | None) -> PolicyDelta | None:
    """Return the part of a policy that a node needs."""
    if policy is None or isinstance(node, EntryRecord):
        return policy
    return _models_only(policy)


def _models_only(policy: PolicyDelta) -> PolicyDelta:
    return replace(
        policy,
        models_only=True,
        organisations=(),
        keys=(),
        removed_organisations=(),
        removed_keys=(),
    )


class Followers:
    """Pushes updates to every follower as soon as something changes.

    A lost push only costs time: the follower's next heartbeat reports its versions, and the reply
    brings the rest.
    """

    __slots__ = (
        "_link_by_address",
        "_metrics",
        "_pushed",
        "_sent_by_link",
        "_state",
        "_view_by_epoch",
    )

    def __init__(self, state: ControlState, metrics: Metrics) -> None:
        self._state = state
        self._metrics = metrics
        self._sent_by_link: dict[Link, SentVersions] = {}
        self._link_by_address: dict[str, Link] = {}
        self._pushed = SentVersions(0, 0, relay_version=0)
        # The newest views, from which deltas to the views of followers are computed.
        self._view_by_epoch: OrderedDict[int, View] = OrderedDict()

    def record_sent(
        self,
        link: Link,
        node: Node,
        revision: int,
        epoch: int,
        relay_version: int | None = None,
    ) -> None:
        """Store the versions of a follower after the reply to its heartbeat.

        An entry and sidecars may share a process and its link; updates then hold all settings.
        """
        earlier = self._sent_by_link.get(link)
        admits_callers = isinstance(node, EntryRecord) or (
            earlier is not None and earlier.admits_callers
        )
        self._sent_by_link[link] = SentVersions(revision, epoch, admits_callers, relay_version)
        self.add_link(link)

    def add_link(self, link: Link) -> None:
        """Use a link for messages to its process, before the versions of the follower are known."""
        self._link_by_address[link.peer.address] = link

    def view_since(self, epoch: int) -> tuple[View | None, ViewDelta | None]:
        """Return the newest view or the delta to it; both None where the epoch is up to date."""
        newest = self._newest_view()
        if epoch >= newest.epoch:
            return None, None
        base_view = self._view_by_epoch.get(epoch)
        return (newest, None) if base_view is None else (None, view_delta(base_view, newest))

    def _newest_view(self) -> View:
        newest = self._view_by_epoch.get(self._state.epoch)
        if newest is None:
            newest = self._view_by_epoch[self._state.epoch] = self._state.view()
            while len(self._view_by_epoch) > MAX_STORED_VIEWS:
                self._view_by_epoch.popitem(last=False)
        return newest

    def forget(self, link: Link) -> None:
        """Drop a closed link."""
        self._sent_by_link.pop(link, None)
        if self._link_by_address.get(link.peer.address) is link:
            del self._link_by_address[link.peer.address]

    def clear(self) -> None:
        """Drop all followers when this member stops leading."""
        self._sent_by_link.clear()
        self._link_by_address.clear()

    def send(self, address: str, message: object) -> None:
        """Send a one-way message to the follower at an address, if it has a link to this member."""
        link = self._link_by_address.get(address)
        if link is None:
            self._metrics.count("control.send_failed")
            return
        try:
            link.send(message)
        except LinkError:
            self._metrics.count("control.send_failed")

    def __len__(self) -> int:
        return len(self._sent_by_link)

    def push(self) -> int:
        """Send each follower the updates it lacks; equal updates are computed once.

        Returns to how many followers the relay document was sent.
        """
        newest = SentVersions(
            self._state.revision, self._state.epoch, relay_version=self._state.relay_version
        )
        # Called after every step of the log, and each heartbeat causes a step: visiting all
        # followers each time would cost the square of their number per second.
        if self._pushed == newest:
            return 0
        self._pushed = newest
        update_by_missing: dict[MissingUpdates, News] = {}
        relay_sent = 0
        for link, sent in list(self._sent_by_link.items()):
            missing = self._missing_updates(sent, newest)
            if missing.is_empty():
                continue
            if missing not in update_by_missing:
                update_by_missing[missing] = self._build_update(missing)
            try:
                link.send(update_by_missing[missing])
            except LinkError:
                self._metrics.count("control.news_failed")
                self.forget(link)
                continue
            self._metrics.count("control.news_sent")
            relay_sent += missing.relay
            relay_version = None if sent.relay_version is None else newest.relay_version
            self._sent_by_link[link] = SentVersions(
                newest.revision, newest.epoch, sent.admits_callers, relay_version
            )
        return relay_sent

    def _missing_updates(self, sent: SentVersions, newest: SentVersions) -> MissingUpdates:
        return MissingUpdates(
            base=sent.revision if sent.revision < newest.revision else None,
            epoch=sent.epoch if sent.epoch < newest.epoch else None,
            relay=sent.relay_version is not None and sent.relay_version < newest.relay_version,
            admits_callers=sent.admits_callers,
        )

    def _build_update(self, missing: MissingUpdates) -> News:
        policy = self._state.policy_since(missing.base) if missing.base is not None else None
        if policy is not None and not missing.admits_callers:
            policy = _models_only(policy)
        view, delta = (None, None) if missing.epoch is None else self.view_since(missing.epoch)
        return News(
            policy=policy,
            view=view,
            view_delta=delta,
            relay=self._state.relay if missing.relay else None,
        )
