"""When the previous owners of a bucket have stopped, as far as this entry knows.

Load pattern: entries are killed and restarted, lose power, or are added, and each change makes the
organisations they own wait. This module decides for how long, from what the view says about owners
that have stopped; `_rate` explains why each wait is needed.
"""

from __future__ import annotations

from tarragonhall_model import View

from tarragonhall_decisions._bucket import SLICE_VALID_S

# Version of the entries in the view in which the first entry appears.
FIRST_ENTRIES_VERSION = 1


class EarlierOwners:
    """The wait for previous owners of this entry's buckets. Times are monotonic seconds.

    They grant nothing after `refilled_from`, and the slices that they granted have expired at
    `settled_at`. A bucket starts at `settled_at` with the tokens refilled since `refilled_from`.
    """

    __slots__ = (
        "_lease_s",
        "_settled_version_at_start",
        "_started_at",
        "refilled_from",
        "settled_at",
        "version",
    )

    def __init__(self, lease_s: float, started_at: float) -> None:
        self._lease_s = lease_s
        # Start of this process: a previous incarnation made all its grants before.
        self._started_at = started_at
        # The owners' version in this process's first view, if it had settled by then; else -1.
        self._settled_version_at_start = -1
        self.version = -1
        self.settled_at = self.refilled_from = float("inf")

    def on_entries_changed(self, view: View, is_member: bool, now: float) -> None:
        """Apply a view with other entries or other incarnations of them."""
        if view.owners_version != self.version or view.owners_version == 0:
            # Previous owners stop granting one slice earlier; from then on no time is refilled
            # twice.
            self.refilled_from = now + self._lease_s
            self.settled_at = self.refilled_from + SLICE_VALID_S
        self.on_view(view, is_member, now)

    def on_view(self, view: View, is_member: bool, now: float) -> None:
        """Apply what a view says about owners that have stopped."""
        if self.version < 0 and view.owners_version <= view.settled_version:
            self._settled_version_at_start = view.owners_version
        self.version = view.owners_version
        if view.entries_version == FIRST_ENTRIES_VERSION:
            # There was no entry before this one: nothing was granted, so the bucket is full.
            self.refilled_from = self.settled_at = float("-inf")
        if not is_member or not 0 < view.owners_version <= view.settled_version:
            return
        # The only previous owner was an incarnation of this entry that has ended. Waiting for its
        # lease would refuse its organisations' calls needlessly.
        was_settled_at_start = view.owners_version == self._settled_version_at_start
        slices_end = (self._started_at if was_settled_at_start else now) + SLICE_VALID_S
        if slices_end < self.settled_at:
            # Until then a whole burst granted by the previous incarnation may be spent late.
            # Refilling meanwhile would add to it, and a window would see twice the burst.
            self.refilled_from = self.settled_at = slices_end
