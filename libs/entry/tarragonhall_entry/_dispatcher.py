"""Exchanges dispatches, attaches, cancels and attempt ends with sidecars."""

from __future__ import annotations

import collections
import dataclasses

import eventlet
from eventlet.queue import LightQueue
from tarragonhall_decisions import Deadline
from tarragonhall_model import (
    Attach,
    AttemptAck,
    AttemptEnded,
    AttemptId,
    CancelAttempt,
    Chunk,
    Dispatch,
    LinkError,
    LinkOverloadedError,
    NoMoreDispatches,
    ServerRecord,
    ServerStops,
)
from tarragonhall_state import Follower
from tarragonhall_wire import ProcessContext

from tarragonhall_entry._attempts import AttemptTable, WatchedAttempt
from tarragonhall_entry._effects import Expired, LinkLost, NotSent
from tarragonhall_entry._running import RunningCall, next_item

LINK_TIMEOUT_SECONDS = 1.0
# A sidecar replies to a dispatch from memory, so a later reply means an unresponsive link.
ACCEPT_TIMEOUT_SECONDS = 3.0
# Added to the deadline: the sidecar ends an attempt at its deadline and then reports the end.
END_GRACE_SECONDS = 2.0
# A dispatch is answered from memory, so those under way end within milliseconds.
UNDER_WAY_POLL_SECONDS = 0.005
# Incarnations of servers that stopped, which the view may still show for a moment.
MAX_STOPPED_SERVERS = 1_000


class Dispatcher:
    """Sends attempts to sidecars and routes chunks and ends back to their calls."""

    __slots__ = (
        "_attempts",
        "_context",
        "_follower",
        "_inbox_by_key",
        "_stopped_servers",
        "_under_way_by_server",
    )

    def __init__(self, context: ProcessContext, follower: Follower) -> None:
        self._context = context
        self._follower = follower
        self._attempts = AttemptTable()
        self._inbox_by_key: dict[str, LightQueue] = {}
        # By id and incarnation, oldest first.
        self._stopped_servers: dict[tuple[str, str], None] = {}
        self._under_way_by_server: collections.Counter[tuple[str, str]] = collections.Counter()
        context.hub.handle(ServerStops, self._on_server_stops)
        context.hub.handle(Chunk, self._attempts.on_chunk)
        context.hub.handle(AttemptEnded, self._on_ended)
        context.hub.on_link_closed(lambda link: self._attempts.on_link_lost(link, LinkLost()))

    def find_server(self, attempt: AttemptId) -> ServerRecord | None:
        """Return the server incarnation that an attempt went to, or None if not in the view."""
        for server in self._follower.view.servers:
            if (server.server_id, server.incarnation) == (attempt.server_id, attempt.incarnation):
                return server
        return None

    def dispatch(self, running: RunningCall, server: ServerRecord, message: Dispatch) -> object:
        """Send a dispatch; return the sidecar's reply, `NotSent` or `LinkLost`."""
        key = (server.server_id, server.incarnation)
        if key in self._stopped_servers:
            return NotSent()
        self._under_way_by_server[key] += 1
        try:
            return self._dispatch(running, server, message)
        finally:
            self._under_way_by_server[key] -= 1
            if not self._under_way_by_server[key]:
                del self._under_way_by_server[key]

    def _dispatch(self, running: RunningCall, server: ServerRecord, message: Dispatch) -> object:
        try:
            link = self._context.hub.wait_for_link(server.address, LINK_TIMEOUT_SECONDS)
        except LinkError:
            return NotSent()
        self._watch(running, message.attempt, link)
        left_ms = Deadline(running.call.deadline).dispatch_ms(self._context.monotonic())
        timed = dataclasses.replace(message, deadline_ms=max(1, left_ms))
        try:
            return link.request(timed, ACCEPT_TIMEOUT_SECONDS)
        except LinkOverloadedError:
            return NotSent()
        except LinkError:
            return LinkLost()

    def reattach(self, running: RunningCall, attempt: AttemptId) -> object:
        """Attach to an attempt; return the sidecar's reply, or `LinkLost`."""
        server = self.find_server(attempt)
        if server is None:
            return LinkLost()
        try:
            link = self._context.hub.wait_for_link(server.address, LINK_TIMEOUT_SECONDS)
            self._watch(running, attempt, link)
            return link.request(Attach(attempt), ACCEPT_TIMEOUT_SECONDS)
        except LinkError:
            return LinkLost()

    def await_end(self, running: RunningCall, attempt: AttemptId) -> object:
        """Return the end of an attempt, `LinkLost` or `Expired`."""
        left = running.call.deadline + END_GRACE_SECONDS - self._context.monotonic()
        result = next_item(self._inbox_by_key[attempt.key], left)
        return Expired() if result is None else result

    def acknowledge(self, attempt: AttemptId) -> None:
        """Notify the sidecar that the end of an attempt is committed."""
        watched = self._attempts.find(attempt)
        if watched is None:
            return
        self.forget(attempt)
        self._send(watched, AttemptAck(attempt))

    def cancel(self, attempt: AttemptId) -> None:
        """Request a sidecar to stop an attempt; its end is sent to the entry that watches it."""
        server = self.find_server(attempt)
        if server is None:
            return
        try:
            link = self._context.hub.wait_for_link(server.address, LINK_TIMEOUT_SECONDS)
            link.request(CancelAttempt(attempt), ACCEPT_TIMEOUT_SECONDS)
        except LinkError:
            self._context.metrics.count("entry.send_failed")

    def forget(self, attempt: AttemptId) -> None:
        """Stop watching an attempt."""
        self._attempts.forget(attempt)
        self._inbox_by_key.pop(attempt.key, None)

    def forget_call(self, running: RunningCall) -> None:
        """Stop watching all attempts of a call."""
        for attempt in running.attempts:
            self.forget(attempt)

    def _on_server_stops(self, _link: object, message: ServerStops) -> NoMoreDispatches:
        """Reply once no dispatch to a server is under way; none is sent to it from now on.

        A dispatch that crosses the end of its link may have run or not, and its caller would be
        told that this is unknown.
        """
        key = (message.server_id, message.incarnation)
        self._stopped_servers[key] = None
        if len(self._stopped_servers) > MAX_STOPPED_SERVERS:
            del self._stopped_servers[next(iter(self._stopped_servers))]
        while self._under_way_by_server[key]:
            eventlet.sleep(UNDER_WAY_POLL_SECONDS)
        return NoMoreDispatches()

    def _watch(self, running: RunningCall, attempt: AttemptId, link: object) -> None:
        watched = self._attempts.find(attempt)
        if watched is not None:
            watched.link = link
            return
        inbox = LightQueue()
        self._inbox_by_key[attempt.key] = inbox
        self._attempts.watch(WatchedAttempt(attempt, running.add_text, inbox.put, link=link))
        running.attempts.append(attempt)

    def _on_ended(self, _link: object, ended: AttemptEnded) -> None:
        if not self._attempts.on_ended(ended):
            self._context.metrics.count("entry.attempt_end_unmatched")

    def _send(self, watched: WatchedAttempt, message: object) -> None:
        try:
            watched.link.send(message)
        except LinkError:
            self._context.metrics.count("entry.send_failed")
