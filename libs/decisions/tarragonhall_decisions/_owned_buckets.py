"""The buckets that one entry owns: when each begins, what is granted, and who gets it next.

`_rate` tells the whole, and what goes wrong without each of the rules here. The clock is monotonic
seconds.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from tarragonhall_model import (
    HandOver,
    NotOwner,
    Rate,
    ReturnTokens,
    TakeTokens,
    TokensGranted,
    View,
)

from tarragonhall_decisions._bucket import Bucket
from tarragonhall_decisions._bucket_owners import BucketOwners
from tarragonhall_decisions._earlier_owners import EarlierOwners
from tarragonhall_decisions._rate_holder import MIN_PAUSE_S


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a message to a peer entry; a lost one costs tokens, never correctness."""

    entry_id: str
    message: ReturnTokens | HandOver


@dataclass(slots=True)
class _Owned:
    """A bucket that this entry owns in its view; without `bucket` it waits out earlier owners."""

    since_version: int
    usable_from: float
    # From when on tokens are refilled.
    filled_from: float
    bucket: Bucket | None = None


class OwnedBuckets:
    """The owner's part of one entry. `rate_by_org` is shared with the limiter that it serves."""

    __slots__ = (
        "_earlier",
        "_early_by_org",
        "_entries_version",
        "_entry_id",
        "_gained_version",
        "_incarnation",
        "_is_member",
        "_owned_by_org",
        "_owners",
        "_rate_by_org",
        "_rng",
    )

    def __init__(
        self,
        entry_id: str,
        incarnation: str,
        rng: random.Random,
        earlier: EarlierOwners,
        owners: BucketOwners,
        rate_by_org: dict[str, Rate],
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._rng = rng
        self._earlier = earlier
        self._owners = owners
        self._rate_by_org = rate_by_org
        # Whether the view names this life of the entry; an earlier one may own what it owns.
        self._is_member = False
        self._entries_version = -1
        # The last version in which this entry may have come to own more: since then others were
        # added at most, and each can only have taken something away.
        self._gained_version = -1
        self._owned_by_org: dict[str, _Owned] = {}
        self._early_by_org: dict[str, HandOver] = {}

    def set_rate(self, org_id: str, rate: Rate, now: float) -> None:
        """Take over a changed rate for a bucket that has begun."""
        owned = self._owned_by_org.get(org_id)
        if owned is not None and owned.bucket is not None:
            owned.bucket.set_rate(rate, now)

    def has_entries_of(self, view: View) -> bool:
        """Return whether a view names the same lives of the same entries as the one held."""
        return view.entries_version == self._entries_version

    def on_same_entries(self, view: View, now: float) -> None:
        """Take over what a view says of the owners that have stopped."""
        self._earlier.on_view(view, self._is_member, now)
        self._hasten()

    def on_entries_changed(self, view: View, now: float) -> list[Tell]:
        """Take over a view with other entries; return the buckets that go to their next owners."""
        missed = self._missed(view)
        skipped = view.entries_version > self._entries_version + 1
        self._take_entries(view, missed)
        self._earlier.on_entries_changed(view, self._is_member, now)
        self._hasten()
        if missed:
            # Another entry may have owned the buckets meanwhile and started them afresh. Keeping
            # them would give the organisation two buckets; a caller would see twice the rate.
            self._owned_by_org.clear()
        handed_over = self._hand_over(now)
        if skipped:
            # The next owner may have begun a bucket and have been followed by another life of
            # itself meanwhile. That one would take this bucket, and the organisation would have
            # the tokens of both.
            handed_over = []
        early, self._early_by_org = self._early_by_org, {}
        for message in early.values():
            self.adopt(message, now)
        return handed_over

    def settled_owners(self, now: float) -> int:
        """Return the version of the view's owners whose predecessors were waited out, or 0."""
        is_over = self._is_member and now >= self._earlier.settled_at
        return self._earlier.version if is_over else 0

    def take(self, message: TakeTokens, epoch: int, now: float) -> TokensGranted | NotOwner:
        """Grant tokens from a bucket; the caller has made sure that this entry may act."""
        owned = self._owned(message.org_id, now)
        if owned is None:
            return NotOwner(epoch, int(MIN_PAUSE_S * 1000))
        if owned.bucket is None:
            return NotOwner(epoch, int((owned.usable_from - now) * 1000) + 1)
        for slice_id in message.finished:
            owned.bucket.end_slice(slice_id, 0.0, now)
        patience_s = math.inf if message.patience_ms is None else message.patience_ms / 1000
        granted = owned.bucket.grant(message.holder, message.wanted, now, self._rng, patience_s)
        return TokensGranted(
            message.org_id,
            granted.tokens,
            granted.valid_ms,
            granted.retry_after_ms,
            granted.slice_id,
            granted.backlog,
        )

    def give_back(self, message: ReturnTokens, now: float) -> None:
        """Take back what a holder did not spend of a slice."""
        owned = self._owned_by_org.get(message.org_id)
        if owned is not None and owned.bucket is not None:
            owned.bucket.end_slice(message.slice_id, message.tokens, now)

    def adopt(self, message: HandOver, now: float) -> None:
        """Take over a bucket instead of waiting, unless the message comes from an earlier turn."""
        if message.entries_version > self._entries_version:
            # The earlier owner learnt of the view first; keep the bucket until it gets here.
            self._early_by_org[message.org_id] = message
            return
        owned = self._owned(message.org_id, now)
        if owned is None or owned.bucket is not None:
            return
        if message.entries_version < owned.since_version:
            return
        bucket = Bucket(self._rate_by_org[message.org_id], message.tokens, now)
        bucket.adopt(message.outstanding, now)
        owned.bucket = bucket

    def _missed(self, view: View) -> bool:
        """Return whether the owners changed without this entry hearing of it."""
        if view.owners_version:
            return view.owners_version > self._earlier.version + 1
        # The view comes from a log that an earlier release wrote.
        return view.entries_version > self._entries_version + 1

    def _take_entries(self, view: View, missed: bool) -> None:
        """Take over who is in the view, and whether this entry may own more than before."""
        ids = {entry.entry_id for entry in view.entries}
        was_member = self._is_member
        lost = self._owners.set_entries(ids)
        self._entries_version = view.entries_version
        self._is_member = any(
            (entry.entry_id, entry.incarnation) == (self._entry_id, self._incarnation)
            for entry in view.entries
        )
        if missed or lost or not was_member:
            self._gained_version = view.entries_version

    def _hasten(self) -> None:
        """Let buckets that wait for earlier owners begin sooner, where those stopped sooner."""
        for owned in self._owned_by_org.values():
            if owned.bucket is None and self._earlier.settled_at < owned.usable_from:
                owned.usable_from = self._earlier.settled_at
                owned.filled_from = self._earlier.filled_from

    def _owned(self, org_id: str, now: float) -> _Owned | None:
        """Return the bucket if this entry owns it, started once earlier owners are waited out."""
        rate = self._rate_by_org.get(org_id)
        if rate is None or not self._is_member or self._owners.owner(org_id) != self._entry_id:
            return None
        owned = self._owned_by_org.get(org_id)
        if owned is None:
            earlier = self._earlier
            owned = _Owned(self._gained_version, earlier.settled_at, earlier.filled_from)
            self._owned_by_org[org_id] = owned
        if owned.bucket is None and now >= owned.usable_from:
            owned.bucket = Bucket(rate, 0.0, owned.filled_from)
        return owned

    def _hand_over(self, now: float) -> list[Tell]:
        outputs: list[Tell] = []
        for org_id, owned in list(self._owned_by_org.items()):
            owner = self._owners.owner(org_id)
            if owner == self._entry_id and self._is_member:
                continue
            del self._owned_by_org[org_id]
            if owned.bucket is None or owner is None:
                continue
            outstanding = owned.bucket.outstanding(now)
            level = owned.bucket.level
            message = HandOver(org_id, level, self._entries_version, outstanding)
            outputs.append(Tell(owner, message))
        return outputs
