"""Decides when an entry says that it is not ready since it has little room left.

Load pattern: entries have different shares of a core, and the balancer gives each the same number
of connections. A small entry is choked in a crowd, and every call there is late, while large ones
have room. If it says in time that it is not ready, new connections go to the others.

An entry does so seldom: the balancer counts it as lost meanwhile. It never does so while much of
its zone seems to, since the callers of the others would then come here.
"""

from __future__ import annotations

from tarragonhall_decisions._features import EntryCapacity

# Share of the processor or of the descriptors from which an entry counts as nearly full, and below
# which it has room again.
FULL_SHARE = 0.9
FREE_SHARE = 0.7
# Seconds for which it must have been nearly full, so that one burst does not count.
HOLD_S = 1.0
# Longest pause, and the seconds from the start of one to the start of the next: the balancer needs
# two seconds to react, and less than an eighth of the time may be lost.
MAX_PAUSE_S = 4.0
PAUSE_INTERVAL_S = 40.0
# Part of the zone's usual capacity that the other ready entries must have.
MIN_ZONE_SHARE = 0.5
# Half-life of the usual capacity of the other entries after some of it has gone.
USUAL_HALF_LIFE_S = 30.0
# Difference of this entry's cores to the mean of the others that counts, as a ratio.
MIN_DIFFERENCE = 0.05


class EntryRoom:
    """The room of one entry; times are monotonic seconds."""

    __slots__ = (
        "_capacity",
        "_full_since",
        "_measured_at",
        "_paused_at",
        "_processor_s",
        "_usual_cores",
        "_zone_cores",
        "is_paused",
        "used_share",
    )

    def __init__(self, capacity: EntryCapacity) -> None:
        self._capacity = capacity
        self._measured_at: float | None = None
        self._processor_s = 0.0
        self._full_since: float | None = None
        self._paused_at = float("-inf")
        self._zone_cores = 0.0
        self._usual_cores = 0.0
        self.used_share = 0.0
        self.is_paused = False

    def update(
        self, processor_s: float, descriptors: int, zone_cores: float, differs: bool, now: float
    ) -> None:
        """Decide anew whether the entry pauses.

        `processor_s` is the processor time that the process has used since its start, and
        `zone_cores` the capacity of the other ready entries of the zone. `differs` says whether the
        capacity of entries differs; if not, the entry does not pause.
        """
        elapsed_s = now - self._measured_at if self._measured_at is not None else 0.0
        self._measure(processor_s, descriptors, elapsed_s)
        self._measured_at, self._processor_s = now, processor_s
        self._zone_cores = zone_cores
        kept = 0.5 ** (elapsed_s / USUAL_HALF_LIFE_S)
        self._usual_cores = max(zone_cores, kept * self._usual_cores)
        if self.used_share < FULL_SHARE:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        if self.is_paused:
            is_over = now - self._paused_at >= MAX_PAUSE_S or self.used_share < FREE_SHARE
            self.is_paused = differs and not is_over and self._others_have_room()
        elif differs and self._may_pause(now):
            self.is_paused, self._paused_at = True, now

    def _measure(self, processor_s: float, descriptors: int, elapsed_s: float) -> None:
        shares = [0.0]
        if self._capacity.cores and elapsed_s > 0:
            used_cores = (processor_s - self._processor_s) / elapsed_s
            shares.append(used_cores / self._capacity.cores)
        if self._capacity.descriptors:
            shares.append(descriptors / self._capacity.descriptors)
        self.used_share = max(shares)

    def _may_pause(self, now: float) -> bool:
        if self._full_since is None or now - self._full_since < HOLD_S:
            return False
        return now - self._paused_at >= PAUSE_INTERVAL_S and self._others_have_room()

    def _others_have_room(self) -> bool:
        """Return whether enough entries of the zone are ready; entries that pause tell none."""
        return 0 < MIN_ZONE_SHARE * self._usual_cores <= self._zone_cores


def cores_differ(own_cores: float, other_cores: float, other_entries: int) -> bool:
    """Return whether this entry's cores differ from the mean of the others."""
    if not own_cores or not other_cores or not other_entries:
        return False
    mean = other_cores / other_entries
    return abs(own_cores - mean) > MIN_DIFFERENCE * mean
