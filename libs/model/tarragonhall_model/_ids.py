"""Identifiers, secrets and stable hashes that distribute work."""

from __future__ import annotations

import hashlib
import random
import secrets

ID_BITS = 96
KEY_BYTES = 32
KEY_PREFIX = "thk_"
TOKEN_PREFIX = "tho_"


def new_id(kind: str, rng: random.Random) -> str:
    """Return a new id such as `prog-1f…`; with 96 random bits, collisions are negligible."""
    return f"{kind}-{rng.getrandbits(ID_BITS):024x}"


def new_secret(prefix: str) -> str:
    """Return a new caller key or operator token of 256 random bits."""
    return prefix + secrets.token_urlsafe(KEY_BYTES)


def secret_hash(secret: str) -> str:
    """Return the SHA-256 of a key or token in hex, the only form that is stored or compared.

    A fast hash is safe here because the secret has 256 random bits and cannot be guessed.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def fingerprint(*parts: str | bytes) -> str:
    """Return a stable hash over the parts; length prefixes keep different lists distinct."""
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def shard_of(program_id: str, shards: int) -> int:
    """Return the journal shard that owns a program."""
    return int(fingerprint(program_id)[:8], 16) % shards


def rendezvous(key: str, candidates: list[str]) -> str | None:
    """Return the candidate chosen by rendezvous hashing; None without candidates.

    The choice is stable when other candidates are added or removed.
    """
    if not candidates:
        return None
    return max(candidates, key=lambda candidate: (fingerprint(key, candidate), candidate))
