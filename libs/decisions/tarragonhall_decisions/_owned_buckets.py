"""The buckets that one entry owns: when each starts, what is granted, and which holder is next.

`_rate` describes the whole protocol and what fails without each of these rules. Times are monotonic
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
class PeerMessage:
    """Send a message to a peer entry.

    If it is lost, calls may wait longer, but no rate is exceeded.
    """

    entry_id: str
    message: ReturnTokens | HandOver


@dataclass(slots=True)
class _OwnedBucket:
    """A bucket owned in the current view; `bucket` is None while previous owners are waited out."""

    # Version of the entries since which this entry has owned it; older hand-overs are ignored.
    since_version: int
    usable_from: float
    # Time from which on tokens are refilled.
    refilled_from: float
    bucket: Bucket | None = None


class OwnedBuckets:
    """The owner's part of one entry. `rate_by_org` is shared with its `RateLimiter`."""

    __slots__ = (
        "_earlier",
        "_early_hand_over_by_org",
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
        # Whether the view names this incarnation of the entry; a previous one may own its buckets.
        self._is_member = False
        self._entries_version = -1
        # The last version in which this entry may have gained buckets. Since then entries were only
        # added, which can only take buckets away.
        self._gained_version = -1
        self._owned_by_org: dict[str, _OwnedBucket] = {}
        self._early_hand_over_by_org: dict[str, HandOver] = {}

    def set_rate(self, org_id: str, rate: Rate, now: float) -> None:
        """Apply a changed rate to a bucket that has started."""
        owned = self._owned_by_org.get(org_id)
        if owned is not None and owned.bucket is not None:
            owned.bucket.set_rate(rate, now)

    def has_entries_of(self, view: View) -> bool:
        """Return whether a view has the same entries and incarnations as the current one."""
        return view.entries_version == self._entries_version

    def on_same_entries(self, view: View, now: float) -> None:
        """Apply what a view says about owners that have stopped."""
        self._earlier.on_view(view, self._is_member, now)
        self._shorten_waits()

    def on_entries_changed(self, view: View, now: float) -> list[PeerMessage]:
        """Apply a view with other entries; return the hand-overs to the next owners."""
        missed = self._missed_change(view)
        skipped = view.entries_version > self._entries_version + 1
        self._apply_entries(view, missed)
        self._earlier.on_entries_changed(view, self._is_member, now)
        self._shorten_waits()
        if missed:
            # Another entry may have owned the buckets meanwhile and started new ones. Keeping these
            # would give an organisation two buckets and twice its rate.
            self._owned_by_org.clear()
        handed_over = self._hand_over(now)
        if skipped:
            # The next owner may have started its own bucket and been restarted meanwhile. Its new
            # incarnation would accept this bucket, and the organisation would get the tokens of
            # both.
            handed_over = []
        early_hand_overs, self._early_hand_over_by_org = self._early_hand_over_by_org, {}
        for message in early_hand_overs.values():
            self.accept_hand_over(message, now)
        return handed_over

    def settled_owners(self, now: float) -> int:
        """Return the version of the view's owners once all previous ones are waited out, else 0."""
        is_over = self._is_member and now >= self._earlier.settled_at
        return self._earlier.version if is_over else 0

    def grant(self, message: TakeTokens, epoch: int, now: float) -> TokensGranted | NotOwner:
        """Grant tokens from a bucket; the caller has checked this entry's lease."""
        owned = self._owned_bucket(message.org_id, now)
        if owned is None:
            return NotOwner(epoch, int(MIN_PAUSE_S * 1000))
        if owned.bucket is None:
            return NotOwner(epoch, int((owned.usable_from - now) * 1000) + 1)
        for slice_id in message.finished:
            owned.bucket.end_slice(slice_id, 0.0, now)
        timeout_s = math.inf if message.patience_ms is None else message.patience_ms / 1000
        granted = owned.bucket.grant(message.holder, message.wanted, now, self._rng, timeout_s)
        return TokensGranted(
            message.org_id,
            granted.tokens,
            granted.valid_ms,
            granted.retry_after_ms,
            granted.slice_id,
            granted.backlog,
        )

    def return_tokens(self, message: ReturnTokens, now: float) -> None:
        """Return the unspent tokens of a slice to its bucket."""
        owned = self._owned_by_org.get(message.org_id)
        if owned is not None and owned.bucket is not None:
            owned.bucket.end_slice(message.slice_id, message.tokens, now)

    def accept_hand_over(self, message: HandOver, now: float) -> None:
        """Start a bucket from a hand-over, unless it dates from an earlier period of ownership."""
        if message.entries_version > self._entries_version:
            # The previous owner got the view first; keep the message until the view arrives here.
            self._early_hand_over_by_org[message.org_id] = message
            return
        owned = self._owned_bucket(message.org_id, now)
        if owned is None or owned.bucket is not None:
            return
        if message.entries_version < owned.since_version:
            return
        bucket = Bucket(self._rate_by_org[message.org_id], message.tokens, now)
        bucket.add_outstanding(message.outstanding, now)
        owned.bucket = bucket

    def _missed_change(self, view: View) -> bool:
        """Return whether this entry missed a change of the owners."""
        if view.owners_version:
            return view.owners_version > self._earlier.version + 1
        # The view comes from a log written by an earlier release.
        return view.entries_version > self._entries_version + 1

    def _apply_entries(self, view: View, missed: bool) -> None:
        """Set the view's entries; record their version if this entry may own more than before."""
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

    def _shorten_waits(self) -> None:
        """Start waiting buckets sooner where the previous owners stopped sooner."""
        for owned in self._owned_by_org.values():
            if owned.bucket is None and self._earlier.settled_at < owned.usable_from:
                owned.usable_from = self._earlier.settled_at
                owned.refilled_from = self._earlier.refilled_from

    def _owned_bucket(self, org_id: str, now: float) -> _OwnedBucket | None:
        """Return the bucket if this entry owns it, started once previous owners are waited out."""
        rate = self._rate_by_org.get(org_id)
        if rate is None or not self._is_member or self._owners.owner(org_id) != self._entry_id:
            return None
        owned = self._owned_by_org.get(org_id)
        if owned is None:
            earlier = self._earlier
            owned = _OwnedBucket(self._gained_version, earlier.settled_at, earlier.refilled_from)
            self._owned_by_org[org_id] = owned
        if owned.bucket is None and now >= owned.usable_from:
            owned.bucket = Bucket(rate, 0.0, owned.refilled_from)
        return owned

    def _hand_over(self, now: float) -> list[PeerMessage]:
        outputs: list[PeerMessage] = []
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
            outputs.append(PeerMessage(owner, message))
        return outputs
