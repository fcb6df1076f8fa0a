"""Owners of the organisations' buckets, by rendezvous hashing over the entries in the view."""

from __future__ import annotations

from tarragonhall_model import rendezvous


class BucketOwners:
    """The owners in the current view, computed on first use and cached."""

    __slots__ = ("_ids", "_owner_by_org")

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._owner_by_org: dict[str, str | None] = {}

    def set_entries(self, ids: set[str]) -> bool:
        """Set the entries and update the cached owners; return whether an entry was removed.

        An owner that stays can only lose to a new entry. Recomputing every owner at each restart of
        an entry would block the event loop for seconds with thousands of organisations.
        """
        added = sorted(ids - self._ids)
        lost = not self._ids <= ids
        self._ids = ids
        for org_id, owner in list(self._owner_by_org.items()):
            if owner not in ids:
                del self._owner_by_org[org_id]
            elif added:
                self._owner_by_org[org_id] = rendezvous(org_id, [owner, *added])
        return lost

    def owner(self, org_id: str) -> str | None:
        """Return the entry that owns an organisation's bucket, None where there is no entry."""
        if org_id not in self._owner_by_org:
            self._owner_by_org[org_id] = rendezvous(org_id, sorted(self._ids))
        return self._owner_by_org[org_id]
