"""Client of the control members: proposals, requests, heartbeats, and updates for followers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
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
from tarragonhall_wire._guard import attempt, repeat
from tarragonhall_wire._leader_client import (
    ATTEMPT_SECONDS,
    LeaderClient,
    TimedReply,
    UnavailableError,
)

log = structlog.get_logger(__name__)

HEARTBEAT_SECONDS = 1.0


class FollowerApi(Protocol):
    """The part of `state.Follower` that this module updates."""

    settings_revision: int
    relay_version: int
    view: View

    def apply_policy(self, delta: PolicyDelta) -> bool: ...

    def apply_view(self, view: View) -> bool: ...

    def apply_view_delta(self, delta: ViewDelta) -> bool: ...

    def apply_relay(self, document: RelayDocument) -> bool: ...

    def confirm(self, fresh: Fresh, sent_at: float) -> None: ...


class ControlClient:
    """Communicates with the current leader of the control members."""

    __slots__ = ("_context", "_heartbeat_s", "_leader", "_left_node_ids", "followers")

    def __init__(self, context: ProcessContext, heartbeat_s: float = HEARTBEAT_SECONDS) -> None:
        self._context = context
        self._heartbeat_s = heartbeat_s
        self._leader = LeaderClient(context, lambda: context.control_addresses)
        self._left_node_ids: set[str] = set()
        self.followers: list[FollowerApi] = []
        context.hub.handle(News, self._on_update)

    def propose(self, body: object, timeout_s: float, request_id: str | None = None) -> object:
        """Commit a command and return its result; see `LeaderClient.propose`."""
        return self._leader.propose(body, timeout_s, request_id)

    def request(self, message: object, timeout_s: float) -> object:
        """Send a request to the leader with retries; raise `UnavailableError` on timeout."""
        return self._leader.request(message, timeout_s)

    def follow(
        self,
        node: Callable[[], EntryRecord | ServerRecord | StoreRecord],
        follower: FollowerApi,
        load: Callable[[], NodeLoad] = NodeLoad,
        include_relay: bool = False,
        settled_owners: Callable[[], int] = int,
    ) -> None:
        """Keep a follower fresh and `node` announced, from a green thread, until it leaves.

        `settled_owners` returns the value of the heartbeat's field of that name.
        """
        self.followers.append(follower)
        beat = partial(self._beat, node, follower, load, include_relay, settled_owners)
        eventlet.spawn_n(repeat, beat, lambda: _node_id(node()) not in self._left_node_ids)

    def leave(self, node: EntryRecord | ServerRecord | StoreRecord, timeout_s: float) -> None:
        """Leave the view; if this fails, the missing heartbeats have the same effect later.

        Only this node's heartbeats stop: an entry that leaves first must not remove the sidecars of
        its process from the view while they still serve other entries.
        """
        self._left_node_ids.add(_node_id(node))
        try:
            self.request(Leaving(node), timeout_s)
        except UnavailableError as error:
            log.warning("control.leave_failed", error=str(error))

    def _beat(
        self,
        node: Callable,
        follower: FollowerApi,
        load: Callable,
        include_relay: bool,
        settled_owners: Callable[[], int],
    ) -> None:
        """Send a heartbeat, apply the reply, and wait until the next one is due."""
        relay_version = follower.relay_version if include_relay else None
        heartbeat = Heartbeat(
            node(),
            follower.settings_revision,
            follower.view.epoch,
            load(),
            relay_version,
            settled_owners(),
        )
        try:
            timed_reply = self._leader.request_timed(heartbeat, ATTEMPT_SECONDS * 2)
        except UnavailableError:
            self._context.metrics.count("control.heartbeat_failed")
            return
        if isinstance(timed_reply.reply, Fresh):
            self._update_addresses(timed_reply.reply.controls)
            self._confirm(follower, timed_reply)
        eventlet.sleep(self._heartbeat_s * self._context.rng.uniform(0.8, 1.0))

    def _confirm(self, follower: FollowerApi, timed_reply: TimedReply) -> None:
        """Apply a reply; an error must not end the heartbeats, which bring the next update."""
        try:
            follower.confirm(timed_reply.reply, timed_reply.sent_at)
        except Exception:  # noqa: BLE001 - the loop must go on, and the error is logged
            log.exception("control.update_failed")
            self._context.metrics.count("control.update_failed")

    def _update_addresses(self, controls: tuple[str, ...]) -> None:
        """Adopt the current member addresses: those of the settings may all have been replaced.

        The addresses of the settings are appended, for a process that was partitioned while every
        member that it knew was replaced.
        """
        seeds = [seed for seed in self._context.seed_addresses if seed not in controls]
        addresses = [*controls, *seeds]
        if controls and addresses != self._context.control_addresses:
            log.info("control.members", addresses=addresses)
            self._context.control_addresses[:] = addresses

    def _on_update(self, _link: object, update: News) -> None:
        for follower in self.followers:
            attempt(_apply_update, follower, update)


def _apply_update(follower: FollowerApi, update: News) -> None:
    """Apply an update; what fails comes again with the reply to the next heartbeat."""
    if update.policy is not None:
        follower.apply_policy(update.policy)
    if update.view is not None:
        follower.apply_view(update.view)
    if update.view_delta is not None:
        follower.apply_view_delta(update.view_delta)
    if update.relay is not None:
        follower.apply_relay(update.relay)


def _node_id(node: EntryRecord | ServerRecord | StoreRecord) -> str:
    match node:
        case EntryRecord():
            return node.entry_id
        case ServerRecord():
            return node.server_id
        case StoreRecord():
            return node.store_id
