"""Which requests were already carried out, so that a resend gets the first result.

A caller whose answer was lost sends its request again, perhaps to another leader and after the log
was compacted. Without this table the resend would take effect a second time, or be refused as a
conflict with itself. The table is part of the state, so every member and every snapshot has it.
"""

from __future__ import annotations

import hashlib
from dataclasses import field

from tarragonhall_model import encode, mutable_record, record

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
    """Stands for a result that the journal can tell again: it holds whole histories."""

    program_id: str
    seq: int


@record
class Remembered:
    """What a request asked, when, and what came of it."""

    digest: bytes
    at_ms: int
    result: object


@mutable_record
class RequestTable:
    """Requests carried out within a window of time and number, oldest first."""

    window_ms: int
    max_entries: int
    remembered_by_id: dict[str, Remembered] = field(default_factory=dict)

    def find(self, request_id: str) -> Remembered | None:
        """Return what is remembered of a request."""
        return self.remembered_by_id.get(request_id)

    def add(self, request_id: str, digest: bytes, at_ms: int, result: object) -> None:
        """Remember a request that was carried out, and forget those outside the window."""
        self.remembered_by_id[request_id] = Remembered(digest, at_ms, result)
        while self.remembered_by_id:
            oldest_id, oldest = next(iter(self.remembered_by_id.items()))
            too_many = len(self.remembered_by_id) > self.max_entries
            if not too_many and at_ms - oldest.at_ms <= self.window_ms:
                return
            del self.remembered_by_id[oldest_id]


def body_digest(body: object) -> bytes:
    """Return a digest by which two bodies under one request id are told apart."""
    return hashlib.sha256(encode(body)).digest()[:DIGEST_BYTES]
