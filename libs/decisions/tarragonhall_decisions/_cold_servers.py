"""How many calls a cold server gets, bounded over all entries together.

Load pattern: a zone comes back, or a release replaces servers during traffic. Servers that have
just started bear few calls a second and crash above that, while they are idle and so the first
choice of every entry. Entries that each keep to the bound exceed it many times together.

Each cold server has a few users: entries that a hash picks from the view, those of its own zone
first. Each user has an equal share of the bound over any second; two more shares stay unused, for
entries that froze between a decision and its call. Nobody is asked: an entry that the view newly
names waits for `VIEW_VALID_S`, and one whose view was not confirmed for as long stops, so users by
two views never act at once. An entry that is cut off from control sends cold servers nothing.

Inputs: views and their confirmation, servers as they announced themselves, calls sent. Times are
monotonic seconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from tarragonhall_model import BackendRecord, EntryRecord, fingerprint

# Seconds for which a view holds after its confirmation, and for which new users wait. Several
# heartbeats, so that one that is lost does not stop the users.
VIEW_VALID_S = 1.5
# Calls in a second that a user should have at least; fewer users where the bound is small.
LEAST_SHARE = 4
# Shares that nobody uses.
SPARE_SHARES = 2
# Seconds over which the bound counts, with a margin for clocks that differ.
WINDOW_S = 1.02
# Seconds for which a server counts as cold that returned without having said whether it is: its
# next announcement and the way to the entries.
DOUBT_S = 2.5
# Shares of this entry, by server and view, that are kept at hand.
KEPT_SHARES = 4_096


@dataclass(slots=True, frozen=True)
class ColdSlack:
    """By how much a cold server's calls a second may be exceeded: a share of them, and a number."""

    overshoot: float = 0.0
    allowance: float = 0.0


@dataclass(slots=True)
class _Warmth:
    """What is known of one server: by which announcement, and until when it is cold."""

    announcement: tuple[int, int]
    until: float
    sent_at: deque[float] = field(default_factory=deque)

    def sent_lately(self, now: float) -> int:
        """Return how many calls were sent within the window; forget the others."""
        while self.sent_at and now - self.sent_at[0] >= WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at)


@dataclass(slots=True, frozen=True)
class _HeldView:
    """The entries of a view by zone, and when it was taken over."""

    entries_by_zone: dict[str, list[str]]
    at: float


class ColdServers:
    """The part of one entry in the bound for all servers that are cold."""

    __slots__ = (
        "_confirmed_at",
        "_entry_id",
        "_limit_by_service",
        "_share_by_key",
        "_views",
        "_warmth_by_id",
    )

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._limit_by_service: dict[str, int] = {}
        # The newest view last, and those that held at some time within `VIEW_VALID_S`.
        self._views: deque[_HeldView] = deque()
        self._confirmed_at = float("-inf")
        self._warmth_by_id: dict[str, _Warmth] = {}
        self._share_by_key: dict[tuple[str, str, float], int] = {}

    def set_limits(self, limit_by_service: dict[str, int]) -> None:
        """Take over how many calls a second a cold server of each service may get in all."""
        self._limit_by_service = dict(limit_by_service)
        self._share_by_key.clear()

    def on_view(self, entries: list[EntryRecord], now: float) -> None:
        """Take over who the entries are."""
        by_zone: dict[str, list[str]] = {}
        for entry in entries:
            by_zone.setdefault(entry.availability_zone, []).append(entry.entry_id)
        if self._views and self._views[-1].entries_by_zone == by_zone:
            return
        self._views.append(_HeldView(by_zone, now))

    def confirm(self, asked_at: float) -> None:
        """Note that the view held was the newest one at some time after `asked_at`."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def learn(self, record: BackendRecord, now: float) -> None:
        """Take over what a server said of itself; the same announcement counts once."""
        announcement = (record.born_ms, record.sequence)
        known = self._warmth_by_id.get(record.server_id)
        if known is not None and known.announcement == announcement:
            return
        until = now + record.warmup_ms / 1000 if record.warmup_ms else float("-inf")
        if known is None:
            self._warmth_by_id[record.server_id] = _Warmth(announcement, until)
            return
        known.announcement = announcement
        known.until = until

    def forget(self, known: set[str]) -> None:
        """Forget all servers but these."""
        for server_id in [one for one in self._warmth_by_id if one not in known]:
            del self._warmth_by_id[server_id]

    def doubt(self, server_id: str, now: float) -> None:
        """Count a server as cold that may have started again without having said so yet."""
        warmth = self._warmth_by_id.get(server_id)
        if warmth is not None:
            warmth.until = max(warmth.until, now + DOUBT_S)

    def is_cold(self, record: BackendRecord, now: float) -> bool:
        """Return whether a server is taken to be warming up."""
        warmth = self._warmth_by_id.get(record.server_id)
        return warmth is not None and now < warmth.until

    def is_bounded(self, record: BackendRecord) -> bool:
        """Return whether the calls to a server are bounded while it is cold."""
        return record.service in self._limit_by_service

    def has_room(self, record: BackendRecord, now: float) -> bool:
        """Return whether this entry may send a server one more call now."""
        if not self.is_bounded(record) or not self.is_cold(record, now):
            return True
        if now - self._confirmed_at > VIEW_VALID_S:
            return False
        sent = self._warmth_by_id[record.server_id].sent_lately(now)
        return sent < self._share(record, now)

    def is_user(self, record: BackendRecord) -> bool:
        """Return whether the newest view makes this entry a user of a server while it is cold."""
        return bool(self._views) and self._share_in(self._views[-1], record) > 0

    def started(self, server_id: str, now: float) -> None:
        """Note that a call was sent to a server."""
        warmth = self._warmth_by_id.get(server_id)
        if warmth is not None:
            warmth.sent_lately(now)
            warmth.sent_at.append(now)

    def _share(self, record: BackendRecord, now: float) -> int:
        """Return the smallest share by any view that held within `VIEW_VALID_S`."""
        while len(self._views) > 1 and now - self._views[1].at >= VIEW_VALID_S:
            self._views.popleft()
        if not self._views or now - self._views[0].at < VIEW_VALID_S:
            # Before its first view an entry was no user.
            return 0
        return min(self._share_in(view, record) for view in self._views)

    def _share_in(self, view: _HeldView, record: BackendRecord) -> int:
        key = (record.server_id, record.availability_zone, view.at)
        share = self._share_by_key.get(key)
        if share is None:
            if len(self._share_by_key) >= KEPT_SHARES:
                self._share_by_key.clear()
            share = self._share_by_key[key] = self._work_out(view, record)
        return share

    def _work_out(self, view: _HeldView, record: BackendRecord) -> int:
        limit = self._limit_by_service[record.service]
        count = sum(len(ids) for ids in view.entries_by_zone.values())
        users = max(1, min(count, limit // LEAST_SHARE - SPARE_SHARES))
        if self._entry_id not in _picked(view, record, users):
            return 0
        return max(1, limit // (users + SPARE_SHARES)) if limit else 0


def _picked(view: _HeldView, record: BackendRecord, count: int) -> list[str]:
    """Return the entries that a server's calls come from while it is cold, its own zone's first."""
    own = view.entries_by_zone.get(record.availability_zone, [])
    others = [
        entry_id
        for zone, ids in view.entries_by_zone.items()
        if zone != record.availability_zone
        for entry_id in ids
    ]
    ranked = [*_ranked(own, record.server_id), *_ranked(others, record.server_id)]
    return ranked[:count]


def _ranked(entry_ids: list[str], server_id: str) -> list[str]:
    return sorted(entry_ids, key=lambda entry_id: fingerprint(server_id, entry_id))
