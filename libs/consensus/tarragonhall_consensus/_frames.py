"""Frames: how bytes lie in a file so that a torn end and corruption can be told apart.

A frame is `magic, length, sequence, crc32, payload`. The writer syncs each frame before it writes
the next one. So only the last frame of a file can be torn by a crash; a bad frame that a good one
of a later sequence follows was damaged after it had been synced.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

MAGIC = b"\xa7THF"
_HEADER = struct.Struct(">4sIQI")
HEADER_BYTES = _HEADER.size


@dataclass(slots=True, frozen=True)
class Scan:
    """What a file holds. `bad_at` is the offset of the first bad frame, None where all are good.

    `followed` says that a good frame of a later sequence comes after the bad one.
    """

    payloads: list[bytes]
    good_bytes: int
    bad_at: int | None
    followed: bool


def frame(sequence: int, payload: bytes) -> bytes:
    """Return the payload with its header."""
    return _HEADER.pack(MAGIC, len(payload), sequence, _crc(sequence, payload)) + payload


def scan(data: bytes, first_sequence: int) -> Scan:
    """Read frames numbered from `first_sequence` until the end or the first bad one."""
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset, first_sequence + len(payloads))
        if payload is None:
            followed = _is_followed(data, offset + 1, first_sequence + len(payloads))
            return Scan(payloads, offset, offset, followed)
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(payloads, offset, None, False)


def _frame_at(data: bytes, offset: int, sequence: int | None) -> bytes | None:
    """Return the payload of the good frame at the offset; any sequence will do where it is None."""
    if len(data) - offset < HEADER_BYTES:
        return None
    magic, length, found, crc = _HEADER.unpack_from(data, offset)
    start = offset + HEADER_BYTES
    if magic != MAGIC or len(data) - start < length:
        return None
    if sequence is not None and found != sequence:
        return None
    payload = data[start : start + length]
    return payload if _crc(found, payload) == crc else None


def _is_followed(data: bytes, offset: int, sequence: int) -> bool:
    """Return whether a good frame later than `sequence` starts at or after the offset.

    The length in a damaged header cannot be trusted, so every place that looks like a header is
    tried.
    """
    offset = data.find(MAGIC, offset)
    while offset >= 0:
        if _frame_at(data, offset, None) is not None:
            found = _HEADER.unpack_from(data, offset)[2]
            if found > sequence:
                return True
        offset = data.find(MAGIC, offset + 1)
    return False


def _crc(sequence: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(sequence.to_bytes(8, "big")))
