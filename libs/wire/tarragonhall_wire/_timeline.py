"""The timeline of one process: a ring buffer of events with hybrid logical clock stamps."""

from __future__ import annotations

import collections
import time

from tarragonhall_model import QueryTimeline, Stamp, TimelineEvent, TimelineEvents

DEFAULT_CAPACITY = 20_000


class HybridClock:
    """A hybrid logical clock: close to wall time, and never behind an observed stamp."""

    __slots__ = ("_counter", "_instance", "_wall_ms", "_wall_source")

    def __init__(self, instance: str, wall_source=time.time) -> None:
        self._instance = instance
        self._wall_source = wall_source
        self._wall_ms = 0
        self._counter = 0

    def now(self) -> Stamp:
        """Return a stamp later than every stamp returned or observed so far."""
        wall_ms = int(self._wall_source() * 1000)
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._counter = 0
        else:
            self._counter += 1
        return Stamp(self._wall_ms, self._counter, self._instance)

    def observe(self, wall_ms: int, counter: int) -> None:
        """Advance to the stamp of a received message if it is ahead."""
        if (wall_ms, counter) <= (self._wall_ms, self._counter):
            return
        self._wall_ms = wall_ms
        self._counter = counter


class Timeline:
    """The newest events of this process; older ones are dropped and counted."""

    __slots__ = ("_dropped", "_events", "clock")

    def __init__(self, clock: HybridClock, capacity: int = DEFAULT_CAPACITY) -> None:
        self.clock = clock
        self._events: collections.deque[TimelineEvent] = collections.deque(maxlen=capacity)
        self._dropped = 0

    def add(self, kind: str, program_id: str = "", **fields: object) -> None:
        """Record an event; field values are stored as text."""
        if len(self._events) == self._events.maxlen:
            self._dropped += 1
        text_fields = {name: str(value) for name, value in fields.items()}
        self._events.append(TimelineEvent(self.clock.now(), kind, program_id, text_fields))

    def find(self, query: QueryTimeline) -> TimelineEvents:
        """Return the newest matching events, oldest first."""
        found: list[TimelineEvent] = []
        for event in reversed(self._events):
            if event.stamp.wall_ms < query.since_ms or len(found) == query.limit:
                break
            if query.program_id and event.program_id != query.program_id:
                continue
            found.append(event)
        found.reverse()
        return TimelineEvents(found, self._dropped)
