"""Limits the calls that all entries together send to a cold server.

Load pattern: a zone comes back, or a release replaces servers during traffic. Servers that have
just started can run few calls a second and crash above that, while they are idle and so the first
choice of every entry. Entries that each keep to the limit exceed it many times together.

Each cold server has a few senders: entries that a hash picks from the view (the list of members),
those of its own zone first. Each sender has an equal share of the limit over any second; two more
shares stay unused, for entries that freeze between a decision and its call. No coordination is
needed: an entry that the view newly names waits for `VIEW_VALID_S`, and one whose view was not
confirmed for as long stops, so senders of two views never overlap. An entry that is cut off from
control sends cold servers nothing.

Inputs: views and their confirmations, server announcements, calls sent. Times are monotonic
seconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from tarragonhall_model import BackendRecord, EntryRecord, fingerprint

# Seconds for which a view holds after its confirmation, and for which new senders wait: several
# heartbeats, so that a lost one does not stop the senders.
VIEW_VALID_S = 1.5
# Calls in a second that a sender should have at least; a small limit has fewer senders.
MIN_SHARE = 4
# Shares that no sender uses, for entries that freeze between a decision and its call.
SPARE_SHARES = 2
# Seconds over which calls count, with a margin for clocks that differ.
WINDOW_S = 1.02
# Seconds for which a server that returns counts as cold until it announces whether it is: the time
# until its next announcement reaches the entries.
ASSUMED_COLD_S = 2.5
# Shares of this entry, by server and view, that are cached.
MAX_CACHED_SHARES = 4_096


@dataclass(slots=True, frozen=True)
class ColdSlack:
    """Accepted excess over a cold server's calls a second: a relative part and an absolute one."""

    overshoot: float = 0.0
    allowance: float = 0.0


@dataclass(slots=True)
class _Warmup:
    """The announcement that says whether a server is cold, and until when it is."""

    announcement: tuple[int, int]
    cold_until: float
    sent_at: deque[float] = field(default_factory=deque)

    def recent_calls(self, now: float) -> int:
        """Return how many calls were sent within the window, and drop the others."""
        while self.sent_at and now - self.sent_at[0] >= WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at)


@dataclass(slots=True, frozen=True)
class _ReceivedView:
    """The entries of a view by zone, and when it was received."""

    entries_by_zone: dict[str, list[str]]
    received_at: float


class ColdServers:
    """This entry's share of the limits of all cold servers."""

    __slots__ = (
        "_confirmed_at",
        "_entry_id",
        "_limit_by_service",
        "_share_by_key",
        "_views",
        "_warmup_by_id",
    )

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._limit_by_service: dict[str, int] = {}
        # Views valid at some time within `VIEW_VALID_S`, the newest last.
        self._views: deque[_ReceivedView] = deque()
        self._confirmed_at = float("-inf")
        self._warmup_by_id: dict[str, _Warmup] = {}
        self._share_by_key: dict[tuple[str, str, float], int] = {}

    def set_limits(self, limit_by_service: dict[str, int]) -> None:
        """Set how many calls a second a cold server of each service may get in all."""
        self._limit_by_service = dict(limit_by_service)
        self._share_by_key.clear()

    def on_view(self, entries: list[EntryRecord], now: float) -> None:
        """Store the entries of a view."""
        by_zone: dict[str, list[str]] = {}
        for entry in entries:
            by_zone.setdefault(entry.availability_zone, []).append(entry.entry_id)
        if self._views and self._views[-1].entries_by_zone == by_zone:
            return
        self._views.append(_ReceivedView(by_zone, now))

    def confirm(self, requested_at: float) -> None:
        """Record that the current view was still the newest at some time after `requested_at`."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def on_announcement(self, record: BackendRecord, now: float) -> None:
        """Store a server's announcement; a repeated one changes nothing."""
        announcement = (record.born_ms, record.sequence)
        known = self._warmup_by_id.get(record.server_id)
        if known is not None and known.announcement == announcement:
            return
        cold_until = now + record.warmup_ms / 1000 if record.warmup_ms else float("-inf")
        if known is None:
            self._warmup_by_id[record.server_id] = _Warmup(announcement, cold_until)
            return
        known.announcement = announcement
        known.cold_until = cold_until

    def forget(self, known: set[str]) -> None:
        """Forget all servers but the known ones."""
        for server_id in [one for one in self._warmup_by_id if one not in known]:
            del self._warmup_by_id[server_id]

    def assume_cold(self, server_id: str, now: float) -> None:
        """Treat a server as cold that may have restarted and has not announced it yet."""
        warmup = self._warmup_by_id.get(server_id)
        if warmup is not None:
            warmup.cold_until = max(warmup.cold_until, now + ASSUMED_COLD_S)

    def is_cold(self, record: BackendRecord, now: float) -> bool:
        """Return whether a server is warming up."""
        warmup = self._warmup_by_id.get(record.server_id)
        return warmup is not None and now < warmup.cold_until

    def is_limited(self, record: BackendRecord) -> bool:
        """Return whether the calls to a server are limited while it is cold."""
        return record.service in self._limit_by_service

    def has_room(self, record: BackendRecord, now: float) -> bool:
        """Return whether this entry may send a server one more call now."""
        if not self.is_limited(record) or not self.is_cold(record, now):
            return True
        if now - self._confirmed_at > VIEW_VALID_S:
            return False
        sent = self._warmup_by_id[record.server_id].recent_calls(now)
        return sent < self._share(record, now)

    def is_sender(self, record: BackendRecord) -> bool:
        """Return whether the newest view makes this entry a sender for a cold server."""
        return bool(self._views) and self._share_in_view(self._views[-1], record) > 0

    def started(self, server_id: str, now: float) -> None:
        """Record that a call was sent to a server."""
        warmup = self._warmup_by_id.get(server_id)
        if warmup is not None:
            warmup.recent_calls(now)
            warmup.sent_at.append(now)

    def _share(self, record: BackendRecord, now: float) -> int:
        """Return the smallest share by any view that held within `VIEW_VALID_S`."""
        while len(self._views) > 1 and now - self._views[1].received_at >= VIEW_VALID_S:
            self._views.popleft()
        if not self._views or now - self._views[0].received_at < VIEW_VALID_S:
            # Before its first view an entry was no sender.
            return 0
        return min(self._share_in_view(view, record) for view in self._views)

    def _share_in_view(self, view: _ReceivedView, record: BackendRecord) -> int:
        key = (record.server_id, record.availability_zone, view.received_at)
        share = self._share_by_key.get(key)
        if share is None:
            if len(self._share_by_key) >= MAX_CACHED_SHARES:
                self._share_by_key.clear()
            share = self._share_by_key[key] = self._compute_share(view, record)
        return share

    def _compute_share(self, view: _ReceivedView, record: BackendRecord) -> int:
        limit = self._limit_by_service[record.service]
        count = sum(len(ids) for ids in view.entries_by_zone.values())
        senders = max(1, min(count, limit // MIN_SHARE - SPARE_SHARES))
        if self._entry_id not in _select_senders(view, record, senders):
            return 0
        return max(1, limit // (senders + SPARE_SHARES)) if limit else 0


def _select_senders(view: _ReceivedView, record: BackendRecord, count: int) -> list[str]:
    """Return the entries that may send to a cold server, those of its own zone first."""
    own = view.entries_by_zone.get(record.availability_zone, [])
    others = [
        entry_id
        for zone, ids in view.entries_by_zone.items()
        if zone != record.availability_zone
        for entry_id in ids
    ]
    ranked = [*_ranked_by_hash(own, record.server_id), *_ranked_by_hash(others, record.server_id)]
    return ranked[:count]


def _ranked_by_hash(entry_ids: list[str], server_id: str) -> list[str]:
    return sorted(entry_ids, key=lambda entry_id: fingerprint(server_id, entry_id))
