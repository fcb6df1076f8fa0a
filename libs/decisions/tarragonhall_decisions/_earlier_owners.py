"""From when on no earlier owner of a rate can act any more, as one entry knows it.

Load pattern: entries are killed and come back, lose their power, or are added, and with each change
the organisations they own wait. How long is decided here, from what the view says of who stopped;
`_rate` tells why each wait is needed.
"""

from __future__ import annotations

from tarragonhall_model import View

from tarragonhall_decisions._bucket import SLICE_VALID_S

FIRST_ENTRIES_VERSION = 1


class EarlierOwners:
    """The wait for earlier owners of what this entry owns. Times are monotonic seconds.

    They cannot act from `settled_at` on; a bucket begun then was refilled from `filled_from`.
    """

    __slots__ = (
        "_lease_s",
        "_quiet_version",
        "_started_at",
        "filled_from",
        "settled_at",
        "version",
    )

    def __init__(self, lease_s: float, started_at: float) -> None:
        self._lease_s = lease_s
        # When this process began: what an earlier life granted, it granted before.
        self._started_at = started_at
        # The version of the owners that had settled when this process first heard of any.
        self._quiet_version = -1
        self.version = -1
        self.settled_at = self.filled_from = float("inf")

    def on_entries_changed(self, view: View, is_member: bool, now: float) -> None:
        """Take over a view with other entries or other lives of them."""
        if view.owners_version != self.version or view.owners_version == 0:
            # Earlier owners stop one slice before; nothing is refilled twice from then on.
            self.filled_from = now + self._lease_s
            self.settled_at = self.filled_from + SLICE_VALID_S
        self.on_view(view, is_member, now)

    def on_view(self, view: View, is_member: bool, now: float) -> None:
        """Take over what a view says of the owners that have stopped."""
        if self.version < 0 and view.owners_version <= view.settled_version:
            self._quiet_version = view.owners_version
        self.version = view.owners_version
        if view.entries_version == FIRST_ENTRIES_VERSION:
            # There was never an entry before this one: nothing was granted, and all is there.
            self.filled_from = self.settled_at = float("-inf")
        if not is_member or not 0 < view.owners_version <= view.settled_version:
            return
        # Only an earlier life of this entry owned what it owns, and that has ended. Waiting for its
        # lease would refuse the calls of its organisations for nothing.
        is_quiet = view.owners_version == self._quiet_version
        slices_end = (self._started_at if is_quiet else now) + SLICE_VALID_S
        if slices_end < self.settled_at:
            # Until then a whole burst of the earlier life may be spent late. What was refilled
            # meanwhile would come on top of it, and a window would see twice the burst.
            self.filled_from = self.settled_at = slices_end
