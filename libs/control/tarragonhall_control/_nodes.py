"""Detects failed nodes by their heartbeats and decides which nodes to announce."""

from __future__ import annotations

from tarragonhall_model import EntryRecord, ServerRecord, StoreRecord, View

Node = EntryRecord | ServerRecord | StoreRecord

# Far above the interval between checks (`NODE_CHECK_SECONDS`): a longer gap means that this
# process itself was paused.
PAUSE_THRESHOLD_SECONDS = 1.0
# A running entry reconnects within 0.15 s of a closed link. A killed entry is back at its address
# after 0.9 to 1.4 s and then owns its organisations' rates at once. If it were removed from the
# view earlier, its rates would go to other entries, which first wait until it has certainly
# stopped.
CLOSED_LINK_TIMEOUT_SECONDS = 1.4


class NodeMonitor:
    """The last contact with each node, held by the leader only. Times are monotonic seconds."""

    __slots__ = (
        "_checked_at",
        "_closed_at_by_key",
        "_closed_incarnation_by_key",
        "_heartbeat_at_by_key",
        "_incarnation_by_key",
        "_link_by_key",
        "_replaced_incarnation_by_key",
        "_timeouts_reset_at",
        "entry_timeout_s",
        "server_timeout_s",
    )

    def __init__(self, entry_timeout_s: float, server_timeout_s: float) -> None:
        self.entry_timeout_s = entry_timeout_s
        self.server_timeout_s = server_timeout_s
        self._heartbeat_at_by_key: dict[str, float] = {}
        self._link_by_key: dict[str, object] = {}
        self._closed_at_by_key: dict[str, float] = {}
        self._closed_incarnation_by_key: dict[str, str] = {}
        self._incarnation_by_key: dict[str, str] = {}
        self._replaced_incarnation_by_key: dict[str, str] = {}
        self._timeouts_reset_at = 0.0
        self._checked_at = 0.0

    def reset_timeouts(self, now: float) -> None:
        """Restart the timeouts of all nodes.

        A new leader has received no heartbeats yet. Without this it would remove every node from
        the view within its first second, and all running work with it.
        """
        self._heartbeat_at_by_key.clear()
        self._closed_at_by_key.clear()
        self._timeouts_reset_at = now
        self._checked_at = now

    def record_heartbeat(self, node: Node, now: float, link: object = None) -> None:
        """Record a heartbeat and the link that it came over."""
        key = node_key(node)
        self._heartbeat_at_by_key[key] = now
        self._link_by_key[key] = link
        self._incarnation_by_key[key] = node.incarnation
        self._closed_at_by_key.pop(key, None)

    def link_closed(self, link: object, now: float) -> None:
        """Record a closed link: nodes that sent their last heartbeat over it may be gone.

        A killed entry's callers wait for rate tokens until it leaves the view. Its links close at
        once, so waiting for its whole timeout would only delay them.
        """
        for key, newest in list(self._link_by_key.items()):
            if newest is link:
                del self._link_by_key[key]
                self._closed_at_by_key[key] = now
                self._closed_incarnation_by_key[key] = self._incarnation_by_key[key]

    def link_opened(self, incarnation: str) -> None:
        """Treat nodes of a closed link as alive once their process opens a new one.

        The first heartbeat over the new link takes up to a second; without this, a healthy entry
        would leave the view at every connection reset.
        """
        for key in [k for k, one in self._closed_incarnation_by_key.items() if one == incarnation]:
            del self._closed_incarnation_by_key[key]
            self._closed_at_by_key.pop(key, None)

    def is_replaced(self, node: Node) -> bool:
        """Return whether a later incarnation of the node was announced, or this one left.

        A delayed heartbeat of the earlier incarnation would otherwise put it back in the view, and
        work would be sent to a process that is gone.
        """
        return self._replaced_incarnation_by_key.get(node_key(node)) == node.incarnation

    def mark_left(self, node: Node) -> None:
        """Ignore later heartbeats of an incarnation that left; one may still be in flight."""
        self._replaced_incarnation_by_key[node_key(node)] = node.incarnation

    def needs_announcement(self, node: Node, known: Node | None) -> bool:
        """Return whether a node is new or changed; mark the incarnation that it replaces."""
        if self.is_replaced(node) or node == known:
            return False
        if known is not None and known.incarnation != node.incarnation:
            self._replaced_incarnation_by_key[node_key(node)] = known.incarnation
        return True

    def expired(self, view: View, now: float) -> list[Node]:
        """Return the nodes of the view that have timed out or lost their link."""
        if now - self._checked_at > PAUSE_THRESHOLD_SECONDS:
            # This process was paused; heartbeats of that time are unread or lost.
            self.reset_timeouts(now)
        self._checked_at = now
        expired: list[Node] = []
        for entry in view.entries:
            timed_out = now - self._last_heartbeat_at(entry) > self.entry_timeout_s
            if timed_out or self._is_disconnected(entry, now):
                expired.append(entry)
        for server in view.servers:
            if now - self._last_heartbeat_at(server) > self.server_timeout_s:
                expired.append(server)
        for store in view.stores:
            if now - self._last_heartbeat_at(store) > self.server_timeout_s:
                expired.append(store)
        return expired

    def seconds_since_heartbeat(self, node: Node, now: float) -> float:
        """Return the seconds since a node's last heartbeat, or since a later reset of timeouts."""
        return now - self._last_heartbeat_at(node)

    def _is_disconnected(self, entry: EntryRecord, now: float) -> bool:
        closed_at = self._closed_at_by_key.get(node_key(entry))
        return closed_at is not None and now - closed_at > CLOSED_LINK_TIMEOUT_SECONDS

    def _last_heartbeat_at(self, node: Node) -> float:
        return self._heartbeat_at_by_key.get(node_key(node), self._timeouts_reset_at)


def node_key(node: Node) -> str:
    """Return a key that is unique among entries, backend servers and stores."""
    match node:
        case EntryRecord():
            return f"entry/{node.entry_id}"
        case ServerRecord():
            return f"server/{node.server_id}"
        case StoreRecord():
            return f"store/{node.store_id}"
