"""Which requests were already carried out, so that a resend gets the first result.

A caller whose answer was lost sends its request again, perhaps to another leader and after the log
was compacted. Without this table the resend would take effect a second time, or be refused as a
conflict with itself. The table is part of the state, so every member and every snapshot has it.
"""

from __future__ import annotations

import hashlib
from dataclasses import field

from tarragonhall_model import decode, encode, mutable_record, record

DIGEST_BYTES = 16

# An operator may send a script again the next morning: a day, and more than the 13,000 changes that
# a day is planned to bring.
OPERATOR_WINDOW_MS = 24 * 3_600 * 1_000
OPERATOR_ENTRIES = 20_000
# Entries and sidecars resend within seconds; five minutes outlive a pause and a change of leader.
# The journal's commands are idempotent by their own ids as well, should the count bound it sooner.
JOURNAL_WINDOW_MS = 300 * 1_000
JOURNAL_ENTRIES = 50_000


@record
class CallReference:
    """Stands for a result that the journal can tell again: it holds whole histories.

    For a `CallOpened`, `attempts` and `started` are those of the first result.
    """

    program_id: str
    seq: int
    attempts: int | None = None
    started: bool = False


@record
class Remembered:
    """What a request asked, and what came of it."""

    digest: bytes
    result: object


@mutable_record
class RequestTable:
    """Requests carried out within a window of time and number, oldest first.

    Results are kept encoded: a snapshot then copies bytes instead of walking some 50,000 records,
    for which the whole loop would stand still.
    """

    window_ms: int
    max_entries: int
    encoded_by_id: dict[str, bytes] = field(default_factory=dict)
    at_ms_by_id: dict[str, int] = field(default_factory=dict)

    def find(self, request_id: str) -> Remembered | None:
        """Return what is remembered of a request."""
        data = self.encoded_by_id.get(request_id)
        return None if data is None else decode(data)

    def add(self, request_id: str, digest: bytes, at_ms: int, result: object) -> None:
        """Remember a request that was carried out, and forget those outside the window."""
        self.encoded_by_id[request_id] = encode(Remembered(digest, result))
        self.at_ms_by_id[request_id] = at_ms
        while self.at_ms_by_id:
            oldest_id, oldest_ms = next(iter(self.at_ms_by_id.items()))
            too_many = len(self.at_ms_by_id) > self.max_entries
            if not too_many and at_ms - oldest_ms <= self.window_ms:
                return
            del self.at_ms_by_id[oldest_id], self.encoded_by_id[oldest_id]


def body_digest(body: object) -> bytes:
    """Return a digest by which two bodies under one request id are told apart."""
    return hashlib.sha256(encode(body)).digest()[:DIGEST_BYTES]
