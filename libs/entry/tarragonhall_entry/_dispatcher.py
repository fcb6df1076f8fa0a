"""The links to sidecars: dispatches, attaches, and the ends of attempts that come back."""

from __future__ import annotations

import dataclasses

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
    ServerRecord,
)
from tarragonhall_state import Follower
from tarragonhall_wire import ProcessContext

from tarragonhall_entry._attempts import AttemptTable, Watched
from tarragonhall_entry._effects import Expired, LinkLost, NotSent
from tarragonhall_entry._running import RunningCall, next_item

LINK_SECONDS = 1.0
# A sidecar answers a dispatch from memory; a reply this late means that the link is silent.
ACCEPT_SECONDS = 3.0
# The sidecar ends an attempt at its deadline; its message needs time to arrive.
END_GRACE_SECONDS = 2.0


class Dispatcher:
    """Sends attempts to sidecars and hands what comes back to the call it belongs to."""

    __slots__ = ("_attempts", "_context", "_follower", "_inbox_by_key")

    def __init__(self, context: ProcessContext, follower: Follower) -> None:
        self._context = context
        self._follower = follower
        self._attempts = AttemptTable()
        self._inbox_by_key: dict[str, LightQueue] = {}
        context.hub.handle(Chunk, self._attempts.chunk)
        context.hub.handle(AttemptEnded, self._on_ended)
        context.hub.on_down(lambda link: self._attempts.lost(link, LinkLost()))

    def find_server(self, attempt: AttemptId) -> ServerRecord | None:
        """Return the life of the server that an attempt went to, while it is in the view."""
        for server in self._follower.view.servers:
            if (server.server_id, server.incarnation) == (attempt.server_id, attempt.incarnation):
                return server
        return None

    def dispatch(self, running: RunningCall, server: ServerRecord, message: Dispatch) -> object:
        """Send a dispatch; return the sidecar's reply, `NotSent` or `LinkLost`."""
        try:
            link = self._context.hub.wait_for(server.address, LINK_SECONDS)
        except LinkError:
            return NotSent()
        self._watch(running, message.attempt, link)
        left_ms = Deadline(running.call.deadline).dispatch_ms(self._context.monotonic())
        timed = dataclasses.replace(message, deadline_ms=max(1, left_ms))
        try:
            return link.request(timed, ACCEPT_SECONDS)
        except LinkOverloadedError:
            return NotSent()
        except LinkError:
            return LinkLost()

    def reattach(self, running: RunningCall, attempt: AttemptId) -> object:
        """Ask for an attempt; return the sidecar's reply, or `LinkLost`."""
        server = self.find_server(attempt)
        if server is None:
            return LinkLost()
        try:
            link = self._context.hub.wait_for(server.address, LINK_SECONDS)
            self._watch(running, attempt, link)
            return link.request(Attach(attempt), ACCEPT_SECONDS)
        except LinkError:
            return LinkLost()

    def await_end(self, running: RunningCall, attempt: AttemptId) -> object:
        """Return the end of an attempt, `LinkLost` or `Expired`."""
        left = running.call.deadline + END_GRACE_SECONDS - self._context.monotonic()
        result = next_item(self._inbox_by_key[attempt.key], left)
        return Expired() if result is None else result

    def acknowledge(self, attempt: AttemptId) -> None:
        """Tell the sidecar that the end is committed."""
        watched = self._attempts.find(attempt)
        if watched is None:
            return
        self.forget(attempt)
        self._send(watched, AttemptAck(attempt))

    def cancel(self, attempt: AttemptId) -> None:
        """Ask a sidecar to stop an attempt; its end follows as usual to whoever waits for it."""
        server = self.find_server(attempt)
        if server is None:
            return
        try:
            link = self._context.hub.wait_for(server.address, LINK_SECONDS)
            link.request(CancelAttempt(attempt), ACCEPT_SECONDS)
        except LinkError:
            self._context.metrics.count("entry.send_failed")

    def forget(self, attempt: AttemptId) -> None:
        """Wait no longer for an attempt."""
        self._attempts.forget(attempt)
        self._inbox_by_key.pop(attempt.key, None)

    def forget_call(self, running: RunningCall) -> None:
        """Wait no longer for any attempt of a call."""
        for attempt in running.attempts:
            self.forget(attempt)

    def _watch(self, running: RunningCall, attempt: AttemptId, link: object) -> None:
        watched = self._attempts.find(attempt)
        if watched is not None:
            watched.link = link
            return
        inbox = LightQueue()
        self._inbox_by_key[attempt.key] = inbox
        self._attempts.watch(Watched(attempt, running.add_text, inbox.put, link=link))
        running.attempts.append(attempt)

    def _on_ended(self, _link: object, ended: AttemptEnded) -> None:
        if not self._attempts.ended(ended):
            self._context.metrics.count("entry.attempt_end_unmatched")

    def _send(self, watched: Watched, message: object) -> None:
        try:
            watched.link.send(message)
        except LinkError:
            self._context.metrics.count("entry.send_failed")
