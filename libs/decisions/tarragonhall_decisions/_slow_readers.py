"""Which clients are ended when too many bytes wait for clients that read slowly.

Load pattern: hundreds of callers read their responses slowly or not at all, and what waits for them
fills the memory of the entry. The process would be killed, and with it the calls of all others.

Those that would take longest to read what waits for them are ended first: they hold most and move
least. A client that is about to finish is kept.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

# Pace that is assumed of a client that has read nothing yet, in bytes a second.
MIN_PACE = 1.0
# Part of a machine's memory that may wait for clients. A call holds a copy of its response besides,
# and requests and the process itself need the rest.
MEMORY_FRACTION = 0.25


@dataclass(slots=True, frozen=True)
class ReaderLimits:
    """Bounds on what an entry holds for clients.

    A client that accepts no bytes for `stalled_s` is ended. Up to `read_ahead_bytes` of a stream
    are read from its server before its client takes them. `total_bytes` may wait for all clients.
    """

    stalled_s: float = 10.0
    read_ahead_bytes: int = 256 * 1024
    total_bytes: int = 256 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class SlowReader:
    """A client for which bytes wait: how many, how many it took, and for how many seconds."""

    reader_id: int
    waiting_bytes: int
    moved_bytes: int
    for_s: float

    @property
    def remaining_s(self) -> float:
        """Return the expected time until the client has read what waits for it."""
        pace = self.moved_bytes / self.for_s if self.for_s > 0 else 0.0
        return self.waiting_bytes / max(MIN_PACE, pace)


def reader_limits_for(memory_mb: int) -> ReaderLimits:
    """Return the limits of an entry with this much memory; 0 means unknown."""
    limits = ReaderLimits()
    if memory_mb <= 0:
        return limits
    total_bytes = int(memory_mb * MEMORY_FRACTION * 1024 * 1024)
    return replace(limits, total_bytes=min(limits.total_bytes, total_bytes))


def readers_to_end(readers: Iterable[SlowReader], limits: ReaderLimits) -> list[SlowReader]:
    """Return the clients to end so that no more than `total_bytes` wait."""
    slowest_first = sorted(readers, key=lambda one: one.remaining_s, reverse=True)
    excess = sum(one.waiting_bytes for one in slowest_first) - limits.total_bytes
    ended = []
    for reader in slowest_first:
        if excess <= 0:
            break
        ended.append(reader)
        excess -= reader.waiting_bytes
    return ended
