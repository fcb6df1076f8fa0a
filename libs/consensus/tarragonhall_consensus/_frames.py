"""Frame format of files, which allows a torn end to be told apart from corruption.

A frame is `magic, length, sequence, crc32, payload`. The writer syncs each frame before it writes
the next one, so a crash can tear only the last frame of a file. A bad frame that is followed by a
valid frame with a higher sequence was damaged after it had been synced.
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
    """The contents of a file. `bad_at` is the offset of the first bad frame, None if all are valid.

    `has_later_frame` is true if a valid frame with a later sequence comes after the bad one.
    """

    payloads: list[bytes]
    good_bytes: int
    bad_at: int | None
    has_later_frame: bool


def frame(sequence: int, payload: bytes) -> bytes:
    """Return the payload with its header."""
    return _HEADER.pack(MAGIC, len(payload), sequence, _crc(sequence, payload)) + payload


def scan(data: bytes, first_sequence: int) -> Scan:
    """Read frames numbered from `first_sequence` up to the end or the first bad frame."""
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset, first_sequence + len(payloads))
        if payload is None:
            has_later_frame = _has_later_frame(data, offset + 1, first_sequence + len(payloads))
            return Scan(payloads, offset, offset, has_later_frame)
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(payloads, offset, None, False)


def _frame_at(data: bytes, offset: int, sequence: int | None) -> bytes | None:
    """Return the payload of a valid frame at the offset, else None.

    If `sequence` is None, any sequence is accepted.
    """
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


def _has_later_frame(data: bytes, offset: int, sequence: int) -> bool:
    """Return whether a valid frame later than `sequence` starts at or after the offset.

    The length in a damaged header cannot be trusted, so every occurrence of the magic is tried.
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
