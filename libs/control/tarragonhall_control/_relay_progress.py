"""Follows each version of the relay document from its commit to the followers that hold it."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from tarragonhall_wire import Metrics

log = structlog.get_logger(__name__)


class RelayProgress:
    """What the leader knows about the newest version of the relay document.

    Times are those of this process alone, so clocks that differ do not matter.
    """

    __slots__ = ("_committed_at", "_metrics", "_monotonic", "_version", "_version_by_node")

    def __init__(self, metrics: Metrics, monotonic: Callable[[], float]) -> None:
        self._metrics = metrics
        self._monotonic = monotonic
        self._version = 0
        # When this leader saw the version committed; None for a version of an earlier leader.
        self._committed_at: float | None = None
        self._version_by_node: dict[str, int] = {}

    def start(self, version: int) -> None:
        """Begin a term as leader, with the version that an earlier leader committed."""
        self._version = version
        self._committed_at = None
        self._version_by_node.clear()

    def on_step(self, version: int) -> None:
        """Record that a version is committed."""
        if version <= self._version:
            return
        self._version = version
        self._committed_at = self._monotonic()
        log.info("relay.committed", version=version)

    def on_sent(self, version: int, followers: int) -> None:
        """Record that a version was sent to this many followers at once."""
        if followers:
            log.info("relay.sent", version=version, followers=followers)

    def on_heartbeat(self, node: str, version: int | None) -> None:
        """Record the version that a follower holds; None for one without relay documents."""
        if version is None or self._version_by_node.get(node) == version:
            return
        self._version_by_node[node] = version
        if version < self._version or self._committed_at is None:
            return
        after_ms = (self._monotonic() - self._committed_at) * 1000
        self._metrics.timing("control.relay_reported", after_ms)
        log.info("relay.reported", version=version, node=node, after_ms=round(after_ms, 1))

    def report_behind(self) -> None:
        """Set the gauge of followers that last reported an older version than the newest."""
        behind = sum(1 for held in self._version_by_node.values() if held < self._version)
        self._metrics.gauge("control.relay_behind", behind)

    def forget(self, node: str) -> None:
        """Drop a node that left the view."""
        self._version_by_node.pop(node, None)
