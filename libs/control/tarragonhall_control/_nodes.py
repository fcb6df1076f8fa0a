"""Which entries and backend servers are alive, by their heartbeats, and who must be announced."""

from __future__ import annotations

from tarragonhall_model import EntryRecord, ServerRecord, StoreRecord, View

Node = EntryRecord | ServerRecord | StoreRecord

# Far above the interval of the checks: a gap like this means that this process itself was paused.
PAUSE_SECONDS = 1.0
# An entry whose link closed and that lives dials again within 0.15 s, which is a sign of life. One
# that was killed is back at its address 0.9 to 1.4 s later and owns its organisations' rates at
# once; taken out before, it would leave them to others that first wait until it surely stopped.
CLOSED_LINK_SECONDS = 1.4


class NodeWatch:
    """Last signs of life, in the memory of the leader alone. Times are of one monotonic clock."""

    __slots__ = (
        "_checked_at",
        "_closed_at_by_key",
        "_closed_life_by_key",
        "_granted_at",
        "_heard_at_by_key",
        "_life_by_key",
        "_link_by_key",
        "_replaced",
        "entry_timeout_s",
        "server_timeout_s",
    )

    def __init__(self, entry_timeout_s: float, server_timeout_s: float) -> None:
        self.entry_timeout_s = entry_timeout_s
        self.server_timeout_s = server_timeout_s
        self._heard_at_by_key: dict[str, float] = {}
        self._link_by_key: dict[str, object] = {}
        self._closed_at_by_key: dict[str, float] = {}
        self._closed_life_by_key: dict[str, str] = {}
        self._life_by_key: dict[str, str] = {}
        self._replaced: dict[str, str] = {}
        self._granted_at = 0.0
        self._checked_at = 0.0

    def grant_all(self, now: float) -> None:
        """Give everyone a full timeout from now on.

        A new leader has heard no heartbeat yet. Without this it would take every node out of the
        view within its first second, and all running work with it.
        """
        self._heard_at_by_key.clear()
        self._closed_at_by_key.clear()
        self._granted_at = now
        self._checked_at = now

    def heard(self, node: Node, now: float, link: object = None) -> None:
        """Note a heartbeat and the link that it came over."""
        key = node_key(node)
        self._heard_at_by_key[key] = now
        self._link_by_key[key] = link
        self._life_by_key[key] = node.incarnation
        self._closed_at_by_key.pop(key, None)

    def link_closed(self, link: object, now: float) -> None:
        """Note that a link closed: whoever was last heard over it may be gone.

        A killed entry's callers wait for rate tokens until it is out of the view. Its links close
        at once, so waiting for its whole timeout would only make them wait longer.
        """
        for key, newest in list(self._link_by_key.items()):
            if newest is link:
                del self._link_by_key[key]
                self._closed_at_by_key[key] = now
                self._closed_life_by_key[key] = self._life_by_key[key]

    def link_opened(self, incarnation: str) -> None:
        """Take a new link of a process as a sign of life of whoever was heard over its old one.

        Its heartbeat over the new link comes up to a second later; taken for dead until then, a
        healthy entry would lose its place in the view at every reset of a connection.
        """
        for key in [k for k, life in self._closed_life_by_key.items() if life == incarnation]:
            del self._closed_life_by_key[key]
            self._closed_at_by_key.pop(key, None)

    def is_replaced(self, node: Node) -> bool:
        """Return whether a later life of the node was announced since.

        A heartbeat of the earlier life that was stuck in a queue would otherwise put it back in the
        view, and work would be sent to a process that is gone.
        """
        return self._replaced.get(node_key(node)) == node.incarnation

    def retire(self, node: Node) -> None:
        """Take no more heartbeats of a life that said that it leaves; one may be on its way."""
        self._replaced[node_key(node)] = node.incarnation

    def announce(self, node: Node, known: Node | None) -> bool:
        """Return whether a node must be announced, being new or changed."""
        if self.is_replaced(node) or node == known:
            return False
        if known is not None and known.incarnation != node.incarnation:
            self._replaced[node_key(node)] = known.incarnation
        return True

    def expired(self, view: View, now: float) -> list[Node]:
        """Return the nodes of the view whose heartbeats have stopped."""
        if now - self._checked_at > PAUSE_SECONDS:
            # This process was paused. The heartbeats of that time wait unread, or were lost.
            self.grant_all(now)
        self._checked_at = now
        found: list[Node] = []
        for entry in view.entries:
            silent = now - self._last_sign(entry) > self.entry_timeout_s
            if silent or self._is_lost(entry, now):
                found.append(entry)
        for server in view.servers:
            if now - self._last_sign(server) > self.server_timeout_s:
                found.append(server)
        for store in view.stores:
            if now - self._last_sign(store) > self.server_timeout_s:
                found.append(store)
        return found

    def silence(self, node: Node, now: float) -> float:
        """Return for how long nothing was heard of a node, in seconds."""
        return now - self._last_sign(node)

    def _is_lost(self, entry: EntryRecord, now: float) -> bool:
        closed_at = self._closed_at_by_key.get(node_key(entry))
        return closed_at is not None and now - closed_at > CLOSED_LINK_SECONDS

    def _last_sign(self, node: Node) -> float:
        return self._heard_at_by_key.get(node_key(node), self._granted_at)


def node_key(node: Node) -> str:
    """Return a name that no other entry or backend server has."""
    match node:
        case EntryRecord():
            return f"entry/{node.entry_id}"
        case ServerRecord():
            return f"server/{node.server_id}"
        case StoreRecord():
            return f"store/{node.store_id}"
