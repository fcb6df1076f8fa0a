"""Deduplication of applied requests, so that a resend gets the first result.

A caller whose reply was lost resends its request, perhaps to another leader and after the log was
compacted. Without this table the resend would take effect twice, or be refused as a conflict with
itself. The table is part of the replicated state and of every snapshot.
"""

from __future__ import annotations

import hashlib
from dataclasses import field

from tarragonhall_model import decode, encode, mutable_record, record

DIGEST_BYTES = 16

# A day, since an operator may run a script again the next morning, and more entries than the 13,000
# changes planned per day.
OPERATOR_WINDOW_MS = 24 * 3_600 * 1_000
MAX_OPERATOR_REQUESTS = 20_000
# Entries and sidecars resend within seconds; five minutes cover a process pause and a change of
# leader. Journal commands are also idempotent by their own ids, should the count limit come first.
JOURNAL_WINDOW_MS = 300 * 1_000
MAX_JOURNAL_REQUESTS = 50_000


@record
class CallReference:
    """Replaces a result that the journal can rebuild, which may contain a whole history.

    For a `CallOpened`, `attempts` and `started` are those of the first result.
    """

    program_id: str
    seq: int
    attempts: int | None = None
    started: bool = False


@record
class Remembered:
    """The digest of a request body and its result."""

    digest: bytes
    result: object


@mutable_record
class RequestTable:
    """Requests applied within a window of time and count, oldest first.

    Results are stored encoded: a snapshot then copies bytes instead of encoding some 50,000
    records, which would block the event loop.
    """

    window_ms: int
    max_entries: int
    encoded_by_id: dict[str, bytes] = field(default_factory=dict)
    at_ms_by_id: dict[str, int] = field(default_factory=dict)

    def find(self, request_id: str) -> Remembered | None:
        """Return the stored result of a request, or None."""
        data = self.encoded_by_id.get(request_id)
        return None if data is None else decode(data)

    def add(self, request_id: str, digest: bytes, at_ms: int, result: object) -> None:
        """Store the result of an applied request, and drop requests outside the window."""
        self.encoded_by_id[request_id] = encode(Remembered(digest, result))
        self.at_ms_by_id[request_id] = at_ms
        while self.at_ms_by_id:
            oldest_id, oldest_ms = next(iter(self.at_ms_by_id.items()))
            too_many = len(self.at_ms_by_id) > self.max_entries
            if not too_many and at_ms - oldest_ms <= self.window_ms:
                return
            del self.at_ms_by_id[oldest_id], self.encoded_by_id[oldest_id]


def body_digest(body: object) -> bytes:
    """Return a digest that distinguishes two bodies under one request id."""
    return hashlib.sha256(encode(body)).digest()[:DIGEST_BYTES]
