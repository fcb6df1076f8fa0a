"""Bounded memory of attempts, so that a late or repeated dispatch never starts a second run.

A dispatch can arrive long after everyone gave up on it: an entry was paused, or a network held its
packets. Forgetting an attempt would then run it again. Remembering all of them would grow without
end. What is remembered is one mark for each program: the highest call and attempt number seen. A
program's calls come in order and its attempts are numbered upwards, so anything at or below the
mark is a repeat. Programs that were idle for longest move from their mark into a Bloom filter,
which never forgets one and costs ten bits each; what is found there is refused. A false match
refuses a program it never saw, and the entry then uses another server. Restarting the sidecar
empties both, which is safe because a dispatch names the life of the sidecar that it is for.
"""

from __future__ import annotations

import collections
import enum
import hashlib
from dataclasses import dataclass

from tarragonhall_model import AttemptId

# An idle program expires after minutes; a backend server meets a few programs a second at most, so
# a program leaves this table hours after its last call.
MARKS_KEPT = 10_000
# 1 MB: after 400,000 forgotten programs about one new program in 1,300 matches by chance, as
# (1 - exp(-4 * 400000 / 8388608)) ** 4 = 0.0009. It holds weeks of a server's programs.
FILTER_BYTES = 1 << 20
FILTER_HASHES = 4
HASH_BYTES = 4


class Past(enum.Enum):
    """What is known of an attempt that is not under way."""

    NEW = "new"
    NEVER_RAN = "never_ran"
    FORGOTTEN = "forgotten"


@dataclass(slots=True)
class _Mark:
    seq: int
    number: int
    ran: bool


class AttemptMemory:
    """Tells new attempts from repeats."""

    __slots__ = ("_filter", "_kept", "_mark_by_program", "_anything_forgotten")

    def __init__(self, kept: int = MARKS_KEPT) -> None:
        self._kept = kept
        self._mark_by_program: collections.OrderedDict[str, _Mark] = collections.OrderedDict()
        self._filter = bytearray(FILTER_BYTES)
        self._anything_forgotten = False

    def past_of(self, attempt: AttemptId) -> Past:
        """Return what is known of an attempt; only a `NEW` one may be taken."""
        mark = self._mark_by_program.get(attempt.program_id)
        if mark is None:
            return Past.FORGOTTEN if self._was_forgotten(attempt.program_id) else Past.NEW
        position = (attempt.seq, attempt.number)
        if position > (mark.seq, mark.number):
            return Past.NEW
        if position == (mark.seq, mark.number) and not mark.ran:
            return Past.NEVER_RAN
        return Past.FORGOTTEN

    def note(self, attempt: AttemptId) -> None:
        """Remember a new attempt that has not started: from now on it is a repeat."""
        program_id = attempt.program_id
        self._mark_by_program[program_id] = _Mark(attempt.seq, attempt.number, ran=False)
        self._mark_by_program.move_to_end(program_id)
        if len(self._mark_by_program) > self._kept:
            forgotten, _mark = self._mark_by_program.popitem(last=False)
            self._forget(forgotten)

    def note_run(self, attempt: AttemptId) -> None:
        """Remember that a noted attempt was started."""
        mark = self._mark_by_program.get(attempt.program_id)
        if mark is not None and (mark.seq, mark.number) == (attempt.seq, attempt.number):
            mark.ran = True

    def _forget(self, program_id: str) -> None:
        self._anything_forgotten = True
        for bit in _bits(program_id):
            self._filter[bit >> 3] |= 1 << (bit & 7)

    def _was_forgotten(self, program_id: str) -> bool:
        if not self._anything_forgotten:
            return False
        return all(self._filter[bit >> 3] & (1 << (bit & 7)) for bit in _bits(program_id))


def _bits(program_id: str) -> list[int]:
    digest = hashlib.blake2b(program_id.encode(), digest_size=HASH_BYTES * FILTER_HASHES).digest()
    parts = (digest[at : at + HASH_BYTES] for at in range(0, len(digest), HASH_BYTES))
    return [int.from_bytes(part, "big") % (FILTER_BYTES * 8) for part in parts]
