"""How entries and sidecars reach the control members: find the leader, propose, ask, follow."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import eventlet
import structlog
from tarragonhall_model import (
    EntryRecord,
    Fresh,
    Heartbeat,
    Leaving,
    News,
    NodeLoad,
    PolicyDelta,
    RelayDocument,
    ServerRecord,
    StoreRecord,
    View,
    ViewDelta,
)

from tarragonhall_wire._context import ProcessContext
from tarragonhall_wire._leader_client import ATTEMPT_SECONDS, LeaderClient, UnavailableError

log = structlog.get_logger(__name__)

HEARTBEAT_SECONDS = 1.0


class FollowerApi(Protocol):
    """The part of `state.Follower` that is fed from here."""

    settings_revision: int
    relay_version: int
    view: View

    def apply_policy(self, delta: PolicyDelta) -> bool: ...

    def apply_view(self, view: View) -> bool: ...

    def apply_view_delta(self, delta: ViewDelta) -> bool: ...

    def apply_relay(self, document: RelayDocument) -> bool: ...

    def confirm(self, fresh: Fresh, sent_at: float) -> None: ...


class ControlClient:
    """Talks to whichever control member leads."""

    __slots__ = ("_context", "_heartbeat_s", "_leader", "_left", "followers")

    def __init__(self, context: ProcessContext, heartbeat_s: float = HEARTBEAT_SECONDS) -> None:
        self._context = context
        self._heartbeat_s = heartbeat_s
        self._leader = LeaderClient(context, lambda: context.control_addresses)
        self._left: set[str] = set()
        self.followers: list[FollowerApi] = []
        context.hub.handle(News, self._on_news)

    def propose(self, body: object, timeout_s: float, request_id: str | None = None) -> object:
        """Commit a command and return its result; see `LeaderClient.propose`."""
        return self._leader.propose(body, timeout_s, request_id)

    def ask(self, message: object, timeout_s: float) -> object:
        """Send a request to the leader until it is answered, or raise `UnavailableError`."""
        return self._leader.ask(message, timeout_s)

    def follow(
        self,
        node: Callable[[], EntryRecord | ServerRecord | StoreRecord],
        follower: FollowerApi,
        load: Callable[[], NodeLoad] = NodeLoad,
        takes_relay: bool = False,
        settled_owners: Callable[[], int] = int,
    ) -> None:
        """Keep a follower fresh and `node` announced, from a green thread, until it leaves.

        `settled_owners` returns what the heartbeat's field of that name holds.
        """
        self.followers.append(follower)
        eventlet.spawn_n(self._follow_loop, node, follower, load, takes_relay, settled_owners)

    def leave(self, node: EntryRecord | ServerRecord | StoreRecord, timeout_s: float) -> None:
        """Leave the view; after a failure the missing heartbeats do the same, later.

        Only this node's heartbeats end: an entry that leaves first must not take the sidecars of
        its process out of the view while they still work for others.
        """
        self._left.add(_node_id(node))
        try:
            self.ask(Leaving(node), timeout_s)
        except UnavailableError as error:
            log.warning("control.leave_failed", error=str(error))

    def _follow_loop(
        self,
        node: Callable,
        follower: FollowerApi,
        load: Callable,
        takes_relay: bool,
        settled_owners: Callable[[], int],
    ) -> None:
        while _node_id(node()) not in self._left:
            relay_version = follower.relay_version if takes_relay else None
            beat = Heartbeat(
                node(),
                follower.settings_revision,
                follower.view.epoch,
                load(),
                relay_version,
                settled_owners(),
            )
            try:
                timed = self._leader.ask_timed(beat, ATTEMPT_SECONDS * 2)
            except UnavailableError:
                self._context.metrics.count("control.heartbeat_failed")
                continue
            if isinstance(timed.reply, Fresh):
                follower.confirm(timed.reply, timed.sent_at)
                self._learn_members(timed.reply.controls)
            eventlet.sleep(self._heartbeat_s * self._context.rng.uniform(0.8, 1.0))

    def _learn_members(self, controls: tuple[str, ...]) -> None:
        """Take over where the members are now: those of the settings may all be replaced.

        The addresses of the settings stay behind them, for a process that was cut off while every
        member that it knew was replaced.
        """
        seeds = [one for one in self._context.seed_addresses if one not in controls]
        addresses = [*controls, *seeds]
        if controls and addresses != self._context.control_addresses:
            log.info("control.members", addresses=addresses)
            self._context.control_addresses[:] = addresses

    def _on_news(self, _link: object, news: News) -> None:
        for follower in self.followers:
            if news.policy is not None:
                follower.apply_policy(news.policy)
            if news.view is not None:
                follower.apply_view(news.view)
            if news.view_delta is not None:
                follower.apply_view_delta(news.view_delta)
            if news.relay is not None:
                follower.apply_relay(news.relay)


def _node_id(node: EntryRecord | ServerRecord | StoreRecord) -> str:
    match node:
        case EntryRecord():
            return node.entry_id
        case ServerRecord():
            return node.server_id
        case StoreRecord():
            return node.store_id
