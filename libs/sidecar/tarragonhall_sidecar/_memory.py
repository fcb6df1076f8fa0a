"""Bounded memory of attempts, so that a late or repeated dispatch never starts a second run.

A dispatch can arrive long after it was abandoned: an entry was paused, or a network delayed its
packets. Forgetting an attempt would run it again; storing all of them would grow without bound. So
each program has one high-water mark: the highest call and attempt number seen. A program's calls
arrive in order and its attempts are numbered upwards, so anything at or below the mark is a repeat.
The mark of the longest idle program is evicted into a Bloom filter, which has no false negatives
and needs ten bits a program; a program found there is rejected. A false positive rejects a new
program, and the entry then uses another server. A restart of the sidecar clears both, which is safe
because a dispatch names the incarnation of the sidecar that it is for.
"""

from __future__ import annotations

import collections
import enum
import hashlib
from dataclasses import dataclass

from tarragonhall_model import AttemptId

# An idle program expires after minutes, and a backend server sees at most a few programs a second,
# so a mark is evicted hours after its program's last call.
MAX_MARKS = 10_000
# 1 MB: after 400,000 evicted programs the false positive rate is about one new program in 1,300, as
# (1 - exp(-4 * 400000 / 8388608)) ** 4 = 0.0009. It holds weeks of a server's programs.
FILTER_BYTES = 1 << 20
FILTER_HASHES = 4
HASH_BYTES = 4


class KnownState(enum.Enum):
    """What is remembered of an attempt that is not in flight.

    `FORGOTTEN` means that it may have run: it is older than the mark, or its program was evicted.
    """

    NEW = "new"
    NEVER_RAN = "never_ran"
    FORGOTTEN = "forgotten"


@dataclass(slots=True)
class _Mark:
    seq: int
    number: int
    ran: bool


class AttemptMemory:
    """Distinguishes new attempts from repeats."""

    __slots__ = ("_filter", "_has_evicted", "_mark_by_program", "_max_marks")

    def __init__(self, max_marks: int = MAX_MARKS) -> None:
        self._max_marks = max_marks
        self._mark_by_program: collections.OrderedDict[str, _Mark] = collections.OrderedDict()
        self._filter = bytearray(FILTER_BYTES)
        self._has_evicted = False

    def state_of(self, attempt: AttemptId) -> KnownState:
        """Return what is remembered of an attempt; only a `NEW` one may be accepted."""
        mark = self._mark_by_program.get(attempt.program_id)
        if mark is None:
            return KnownState.FORGOTTEN if self._was_evicted(attempt.program_id) else KnownState.NEW
        position = (attempt.seq, attempt.number)
        if position > (mark.seq, mark.number):
            return KnownState.NEW
        if position == (mark.seq, mark.number) and not mark.ran:
            return KnownState.NEVER_RAN
        return KnownState.FORGOTTEN

    def remember(self, attempt: AttemptId) -> None:
        """Record a new attempt that has not started; from now on it counts as a repeat."""
        program_id = attempt.program_id
        self._mark_by_program[program_id] = _Mark(attempt.seq, attempt.number, ran=False)
        self._mark_by_program.move_to_end(program_id)
        if len(self._mark_by_program) > self._max_marks:
            evicted, _mark = self._mark_by_program.popitem(last=False)
            self._add_to_filter(evicted)

    def remember_start(self, attempt: AttemptId) -> None:
        """Record that a remembered attempt was started."""
        mark = self._mark_by_program.get(attempt.program_id)
        if mark is not None and (mark.seq, mark.number) == (attempt.seq, attempt.number):
            mark.ran = True

    def _add_to_filter(self, program_id: str) -> None:
        self._has_evicted = True
        for bit in _bits(program_id):
            self._filter[bit >> 3] |= 1 << (bit & 7)

    def _was_evicted(self, program_id: str) -> bool:
        if not self._has_evicted:
            return False
        return all(self._filter[bit >> 3] & (1 << (bit & 7)) for bit in _bits(program_id))


def _bits(program_id: str) -> list[int]:
    digest = hashlib.blake2b(program_id.encode(), digest_size=HASH_BYTES * FILTER_HASHES).digest()
    parts = (digest[at : at + HASH_BYTES] for at in range(0, len(digest), HASH_BYTES))
    return [int.from_bytes(part, "big") % (FILTER_BYTES * 8) for part in parts]
