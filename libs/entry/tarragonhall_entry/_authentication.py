"""Authenticates requests against the settings that this entry follows."""

from __future__ import annotations

from tarragonhall_model import (
    OrganisationPolicy,
    Refusal,
    RefusalCode,
    TarragonhallError,
    secret_hash,
)
from tarragonhall_state import Follower

# Retry delay for callers while the settings may be stale; by then another heartbeat may have
# confirmed them.
STALE_RETRY_MS = 1_000


class RefusedError(TarragonhallError):
    """A request was refused; `refusal` is what its caller is sent."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Authenticator:
    """Checks API keys against the local copy of the settings, the follower.

    Results are not cached, so a withdrawn key is rejected from the first request after the follower
    has received the change, also on a connection that stays open.
    """

    __slots__ = ("_follower",)

    def __init__(self, follower: Follower) -> None:
        self._follower = follower

    def authenticate(
        self, key: str | None, now: float, wall_ms: int
    ) -> tuple[str, OrganisationPolicy]:
        """Return the key's hash and its organisation, or raise `RefusedError`."""
        # No key has an empty hash, so a missing key is refused like an unknown one.
        key_hash = secret_hash(key) if key else ""
        refusal = self.check(key_hash, now, wall_ms)
        if refusal is not None:
            raise RefusedError(refusal)
        org_id = self._follower.key_by_hash[key_hash].org_id
        return key_hash, self._follower.organisation_by_id[org_id]

    def is_fresh(self, now: float) -> bool:
        """Return whether the freshness lease on the settings is valid at `now`."""
        return self._follower.is_fresh(now)

    def check(self, key_hash: str, now: float, wall_ms: int) -> Refusal | None:
        """Return why a key may not be used, or None where it may.

        `now` is on the monotonic clock, as is the freshness lease; `wall_ms` is on the wall clock,
        as are the expiry times of keys.
        """
        if not self._follower.is_fresh(now):
            return Refusal(
                RefusalCode.STALE,
                "this instance cannot confirm that its settings are current; try again",
                retry_after_ms=STALE_RETRY_MS,
            )
        key = self._follower.key_by_hash.get(key_hash)
        if key is None or (key.expires_at_ms is not None and key.expires_at_ms <= wall_ms):
            return Refusal(
                RefusalCode.UNAUTHENTICATED, "the key is missing, unknown, withdrawn or expired"
            )
        organisation = self._follower.organisation_by_id.get(key.org_id)
        if organisation is None or not organisation.enabled:
            return Refusal(RefusalCode.UNAUTHENTICATED, "the organisation is unknown or disabled")
        return None
