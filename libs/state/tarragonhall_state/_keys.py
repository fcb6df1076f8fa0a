"""Caller keys, stored by hash: granted, withdrawn, replaced with an overlap, expired."""

from __future__ import annotations

from dataclasses import field, replace

from tarragonhall_model import KeyPolicy, mutable_record, record

KEY_ID_HEX_DIGITS = 16
# Ended keys stay listed for 30 days, so that operators can see how and when a key ended.
ENDED_KEY_RETENTION_MS = 30 * 24 * 3_600 * 1_000


@record
class KeyRecord:
    """One key. Only its hash is stored."""

    key_id: str
    key_hash: str
    org_id: str
    author: str
    granted_at_ms: int
    expires_at_ms: int | None = None
    withdrawn_at_ms: int | None = None
    replaced_by: str | None = None

    def ended_at_ms(self) -> int | None:
        """Return the time from which the key is refused, or None."""
        ends = [end for end in (self.expires_at_ms, self.withdrawn_at_ms) if end is not None]
        return min(ends) if ends else None


@mutable_record
class Keys:
    """All keys by id."""

    by_id: dict[str, KeyRecord] = field(default_factory=dict)

    def grant(self, key: KeyRecord) -> None:
        """Add a key."""
        self.by_id[key.key_id] = key

    def withdraw(self, key_id: str, at_ms: int) -> KeyRecord:
        """Mark a key as withdrawn."""
        key = self.by_id[key_id]
        if key.withdrawn_at_ms is None:
            key = replace(key, withdrawn_at_ms=at_ms)
            self.by_id[key_id] = key
        return key

    def replace(self, key_id: str, successor_id: str, ends_at_ms: int) -> KeyRecord:
        """Set a key to expire in favour of its successor, unless it expires sooner anyway."""
        key = self.by_id[key_id]
        earlier = key.expires_at_ms
        ends_at_ms = ends_at_ms if earlier is None else min(earlier, ends_at_ms)
        key = replace(key, expires_at_ms=ends_at_ms, replaced_by=successor_id)
        self.by_id[key_id] = key
        return key

    def policy(self, key_hash: str) -> KeyPolicy | None:
        """Return the policy that entries apply to a key, or None if it must be refused."""
        key = self.by_id.get(key_id_of(key_hash))
        if key is None or key.key_hash != key_hash or key.withdrawn_at_ms is not None:
            return None
        return KeyPolicy(key.key_hash, key.org_id, key.expires_at_ms)

    def drop_ended(self, now_ms: int) -> list[KeyRecord]:
        """Drop keys whose retention after their end is over, and return them."""
        dropped = []
        for key in list(self.by_id.values()):
            ended_at_ms = key.ended_at_ms()
            if ended_at_ms is None or now_ms - ended_at_ms < ENDED_KEY_RETENTION_MS:
                continue
            del self.by_id[key.key_id]
            dropped.append(key)
        return dropped


def key_id_of(key_hash: str) -> str:
    """Return the public id of a key: 64 bits of its hash, which reveal nothing about the key."""
    return "key-" + key_hash[:KEY_ID_HEX_DIGITS]
