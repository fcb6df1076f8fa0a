"""Identifiers: how they are made, and how work is spread by them."""

from __future__ import annotations

import hashlib
import random
import secrets

ID_BITS = 96
KEY_BYTES = 32
KEY_PREFIX = "thk_"
TOKEN_PREFIX = "tho_"


def new_id(kind: str, rng: random.Random) -> str:
    """Return a new id such as `prog-1f…`; 96 bits make a clash negligible."""
    return f"{kind}-{rng.getrandbits(ID_BITS):024x}"


def new_secret(prefix: str) -> str:
    """Return a new caller key or operator token of 256 random bits."""
    return prefix + secrets.token_urlsafe(KEY_BYTES)


def secret_hash(secret: str) -> str:
    """Return the only form in which a key or token is stored or compared: SHA-256 in hex.

    A fast hash is safe here because the secret has 256 random bits; nothing can be guessed.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def fingerprint(*parts: str | bytes) -> str:
    """Return a stable hash over the parts, each length-prefixed so that no two lists collide."""
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
    """Return the candidate with the highest hash for the key: stable when others come and go."""
    if not candidates:
        return None
    return max(candidates, key=lambda candidate: (fingerprint(key, candidate), candidate))
