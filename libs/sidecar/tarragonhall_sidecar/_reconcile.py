"""Which programs an engine must be told to release.

A program can end without anyone telling this sidecar: its process died, the message was lost, the
sidecar was restarted. The engine would then hold its memory for good. So the engine's own listing
is compared with the journal, again and again, and a release counts only once the listing no longer
shows the program. Cache events play no part: they come late and with gaps. Under pressure the
`decisions` library names living programs to release as well.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from tarragonhall_decisions import HeldPrefix, to_release

# 40 ids of 29 bytes every four seconds are 0.3 KB a second of a node's 5 KB.
ASKED_PER_ROUND = 40
# A program may stay held after its end for one round over all held programs; until then it is in
# use or idle, and asking more often tells nothing new.
ASK_AGAIN_SECONDS = 20.0


@dataclass(slots=True, frozen=True)
class Listing:
    """What an engine says it holds; `capacity` is None where it does not say how much it can."""

    tokens_by_program: dict[str, int]
    capacity: int | None = None


class Releases:
    """Programs held by one engine, and what is known of their lives."""

    __slots__ = ("_asked_at_by_program", "_ended", "_listing", "_used_at_by_program")

    def __init__(self) -> None:
        self._asked_at_by_program: dict[str, float] = {}
        self._used_at_by_program: dict[str, float] = {}
        self._ended: set[str] = set()
        self._listing = Listing({})

    @property
    def held(self) -> list[str]:
        """Return the programs of the last listing, most recently used first."""
        return list(self._listing.tokens_by_program)

    def program_ended(self, program_id: str) -> None:
        """Take note that a program has ended for good."""
        self._ended.add(program_id)

    def listed(self, listing: Listing, now: float) -> None:
        """Take the engine's listing: what it no longer shows is done with."""
        before = self._listing.tokens_by_program
        self._listing = listing
        shown = listing.tokens_by_program
        self._ended &= set(shown)
        for program_id in set(self._asked_at_by_program) - set(shown):
            del self._asked_at_by_program[program_id]
        for program_id in set(self._used_at_by_program) - set(shown):
            del self._used_at_by_program[program_id]
        for program_id, tokens in shown.items():
            # A turn lengthens what is held, so a change of length tells a use.
            if before.get(program_id) != tokens:
                self._used_at_by_program[program_id] = now

    def to_ask(self, now: float) -> list[str]:
        """Return the programs to ask the journal about, least recently asked first."""
        due = []
        for program_id in self.held:
            asked_at = self._asked_at_by_program.get(program_id, -ASK_AGAIN_SECONDS)
            if program_id not in self._ended and now - asked_at >= ASK_AGAIN_SECONDS:
                due.append((asked_at, program_id))
        due.sort()
        return [program_id for _asked_at, program_id in due[:ASKED_PER_ROUND]]

    def answered(self, asked: list[str], living: list[str], now: float) -> None:
        """Take the journal's answer; the ids of ended programs are never used again."""
        for program_id in asked:
            self._asked_at_by_program[program_id] = now
        self._ended.update(set(asked) - set(living))

    def to_free(self, busy: set[str], now: float) -> list[str]:
        """Return the programs to release; one with a run under way waits for its end."""
        prefixes = []
        for program_id, tokens in self._listing.tokens_by_program.items():
            idle_s = now - self._used_at_by_program[program_id]
            living = program_id not in self._ended
            idle = None if program_id in busy else idle_s
            prefixes.append(HeldPrefix(program_id, tokens, idle, living))
        capacity = self._listing.capacity
        return to_release(prefixes, sys.maxsize if capacity is None else capacity)
