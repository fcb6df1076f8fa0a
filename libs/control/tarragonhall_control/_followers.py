"""Who follows settings and view over a link, and what each was last sent."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import LinkError, News
from tarragonhall_state import ControlState
from tarragonhall_wire import Link, Metrics


@dataclass(slots=True)
class Sent:
    """The newest revision and epoch that went to a follower."""

    revision: int
    epoch: int


class Followers:
    """Pushes news to every follower as soon as something changed.

    A push that is lost costs nothing but time: the follower's next heartbeat says what it has, and
    the reply brings the rest.
    """

    __slots__ = ("_link_by_address", "_metrics", "_pushed", "_sent_by_link", "_state")

    def __init__(self, state: ControlState, metrics: Metrics) -> None:
        self._state = state
        self._metrics = metrics
        self._sent_by_link: dict[Link, Sent] = {}
        self._link_by_address: dict[str, Link] = {}
        self._pushed = Sent(0, 0)

    def note(self, link: Link, revision: int, epoch: int) -> None:
        """Remember what a follower has, as of its heartbeat and the reply to it."""
        self._sent_by_link[link] = Sent(revision, epoch)
        self._link_by_address[link.peer.address] = link

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
        revision, epoch = self._state.revision, self._state.epoch
        # Asked after every step of the log. Going through all followers each time would cost the
        # square of their number a second, since each one's heartbeat is a step.
        if self._pushed == Sent(revision, epoch):
            return
        self._pushed = Sent(revision, epoch)
        news_by_lack: dict[tuple[int, bool], News] = {}
        for link, sent in list(self._sent_by_link.items()):
            if sent.revision >= revision and sent.epoch >= epoch:
                continue
            lack = (sent.revision, sent.epoch < epoch)
            if lack not in news_by_lack:
                news_by_lack[lack] = self._news(*lack)
            try:
                link.send(news_by_lack[lack])
            except LinkError:
                self._metrics.count("control.news_failed")
                self.forget(link)
                continue
            self._metrics.count("control.news_sent")
            self._sent_by_link[link] = Sent(revision, epoch)

    def _news(self, base: int, wants_view: bool) -> News:
        lacks_policy = base < self._state.revision
        return News(
            policy=self._state.policy_since(base) if lacks_policy else None,
            view=self._state.view() if wants_view else None,
        )
