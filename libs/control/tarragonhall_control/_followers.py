"""Who follows settings and view over a link, and what each was last sent.

Entries get all settings. A process with nothing but sidecars gets them without organisations and
keys: it admits nobody, and at 15,000 organisations they would take a fifth of its memory.
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

# A follower that is further behind gets the whole view.
KEPT_VIEWS = 32


@dataclass(slots=True)
class Sent:
    """What went to a follower last, and whether it admits callers.

    `relay_version` is None for a follower that takes no relay documents.
    """

    revision: int
    epoch: int
    admits: bool = False
    relay_version: int | None = None


@dataclass(slots=True, frozen=True)
class Lack:
    """What a follower needs: settings since `base`, the view since `epoch`, the relay document."""

    base: int | None
    epoch: int | None
    relay: bool
    admits: bool

    def is_empty(self) -> bool:
        """Return whether the follower has everything."""
        return self.base is None and self.epoch is None and not self.relay


Node = EntryRecord | ServerRecord | StoreRecord


def policy_for(node: Node, policy: PolicyDelta | None) -> PolicyDelta | None:
    """Return the part of a policy that a node needs."""
    if policy is None or isinstance(node, EntryRecord):
        return policy
    return _without_callers(policy)


def _without_callers(policy: PolicyDelta) -> PolicyDelta:
    return replace(
        policy,
        models_only=True,
        organisations=(),
        keys=(),
        removed_organisations=(),
        removed_keys=(),
    )


class Followers:
    """Pushes news to every follower as soon as something changed.

    A push that is lost costs nothing but time: the follower's next heartbeat says what it has, and
    the reply brings the rest.
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
        self._sent_by_link: dict[Link, Sent] = {}
        self._link_by_address: dict[str, Link] = {}
        self._pushed = Sent(0, 0, relay_version=0)
        # The newest views, so that followers can be sent what changed since theirs.
        self._view_by_epoch: OrderedDict[int, View] = OrderedDict()

    def note(
        self,
        link: Link,
        node: Node,
        revision: int,
        epoch: int,
        relay_version: int | None = None,
    ) -> None:
        """Remember what a follower has, as of its heartbeat and the reply to it.

        An entry and sidecars may share a process, and so a link; then news holds everything.
        """
        earlier = self._sent_by_link.get(link)
        admits = isinstance(node, EntryRecord) or (earlier is not None and earlier.admits)
        self._sent_by_link[link] = Sent(revision, epoch, admits, relay_version)
        self.reach(link)

    def reach(self, link: Link) -> None:
        """Send what is for the process behind a link there, before it is known what it has."""
        self._link_by_address[link.peer.address] = link

    def view_since(self, epoch: int) -> tuple[View | None, ViewDelta | None]:
        """Return what leads a follower from its epoch to the newest view: all, or what changed."""
        newest = self._newest_view()
        if epoch >= newest.epoch:
            return None, None
        held = self._view_by_epoch.get(epoch)
        return (newest, None) if held is None else (None, view_delta(held, newest))

    def _newest_view(self) -> View:
        newest = self._view_by_epoch.get(self._state.epoch)
        if newest is None:
            newest = self._view_by_epoch[self._state.epoch] = self._state.view()
            while len(self._view_by_epoch) > KEPT_VIEWS:
                self._view_by_epoch.popitem(last=False)
        return newest

    def forget(self, link: Link) -> None:
        """Forget a link that has closed."""
        self._sent_by_link.pop(link, None)
        if self._link_by_address.get(link.peer.address) is link:
            del self._link_by_address[link.peer.address]

    def clear(self) -> None:
        """Forget all: this member does not lead any more."""
        self._sent_by_link.clear()
        self._link_by_address.clear()

    def send(self, address: str, message: object) -> None:
        """Send a one-way message to the follower at an address, where it has a link to here."""
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

    def push(self) -> None:
        """Send each follower what it lacks; those who lack the same share one delta."""
        newest = Sent(
            self._state.revision, self._state.epoch, relay_version=self._state.relay_version
        )
        # Asked after every step of the log. Going through all followers each time would cost the
        # square of their number a second, since each one's heartbeat is a step.
        if self._pushed == newest:
            return
        self._pushed = newest
        news_by_lack: dict[Lack, News] = {}
        for link, sent in list(self._sent_by_link.items()):
            lack = self._lack(sent, newest)
            if lack.is_empty():
                continue
            if lack not in news_by_lack:
                news_by_lack[lack] = self._news(lack)
            try:
                link.send(news_by_lack[lack])
            except LinkError:
                self._metrics.count("control.news_failed")
                self.forget(link)
                continue
            self._metrics.count("control.news_sent")
            relay_version = None if sent.relay_version is None else newest.relay_version
            self._sent_by_link[link] = Sent(
                newest.revision, newest.epoch, sent.admits, relay_version
            )

    def _lack(self, sent: Sent, newest: Sent) -> Lack:
        return Lack(
            base=sent.revision if sent.revision < newest.revision else None,
            epoch=sent.epoch if sent.epoch < newest.epoch else None,
            relay=sent.relay_version is not None and sent.relay_version < newest.relay_version,
            admits=sent.admits,
        )

    def _news(self, lack: Lack) -> News:
        policy = self._state.policy_since(lack.base) if lack.base is not None else None
        if policy is not None and not lack.admits:
            policy = _without_callers(policy)
        view, delta = (None, None) if lack.epoch is None else self.view_since(lack.epoch)
        return News(
            policy=policy,
            view=view,
            view_delta=delta,
            relay=self._state.relay if lack.relay else None,
        )
