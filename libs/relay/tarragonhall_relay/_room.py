"""Measures the room of this entry, and tells the balancer and the operators when it is used up."""

from __future__ import annotations

import time
from collections.abc import Callable

import structlog
from tarragonhall_decisions import EntryCapacity, EntryRoom, UnevenChoice
from tarragonhall_model import LoadDetail
from tarragonhall_wire import Metrics

log = structlog.get_logger(__name__)


class RoomReporter:
    """Updates the room with each round of load messages; `connections` counts open sockets."""

    __slots__ = ("_connections", "_metrics", "_uneven", "room")

    def __init__(
        self,
        capacity: EntryCapacity,
        uneven: UnevenChoice,
        connections: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self.room = EntryRoom(capacity)
        self._uneven = uneven
        self._connections = connections
        self._metrics = metrics

    def report_load(self, _detail: LoadDetail, now: float) -> None:
        """Measure the room; while the entry pauses, its capacity is not told."""
        if not self._uneven.paces.services:
            self.room.is_paused = False
            return
        was_paused = self.room.is_paused
        self.room.update(
            time.process_time(),
            self._connections(),
            self._uneven.zone_cores(),
            self._uneven.cores_differ(),
            now,
        )
        self._uneven.is_ready = not self.room.is_paused
        self._metrics.gauge("relay.room_used", self.room.used_share)
        if self.room.is_paused != was_paused:
            self._metrics.count("relay.room_paused", int(self.room.is_paused))
            log.info("entry.room", paused=self.room.is_paused, used=round(self.room.used_share, 2))
