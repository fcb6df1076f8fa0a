"""Selects the programs whose memory an engine must release.

A program can end without a notification to this sidecar: its process died, the message was lost or
the sidecar was restarted. The engine would then hold its memory forever. So the engine's listing is
periodically compared with the journal, and a release counts only once the listing no longer shows
the program. Cache events are not used, because they are late and incomplete. Under memory pressure
the `decisions` library selects live programs as well.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from tarragonhall_decisions import HeldPrefix, select_releases

# 40 ids of 29 bytes every four seconds take 0.3 KB a second of a node's limit of 5 KB.
MAX_QUERIED_PER_ROUND = 40
# A program is in use or idle between two queries, so more frequent ones yield nothing new. After
# its end it may stay held until all held programs were queried once.
QUERY_INTERVAL_SECONDS = 20.0


@dataclass(slots=True, frozen=True)
class Listing:
    """What an engine holds, in tokens; `capacity` is None if the engine does not report it."""

    tokens_by_program: dict[str, int]
    capacity: int | None = None


class ReleaseTracker:
    """Tracks the programs held by one engine and which of them have ended."""

    __slots__ = ("_ended", "_listing", "_queried_at_by_program", "_used_at_by_program")

    def __init__(self) -> None:
        self._queried_at_by_program: dict[str, float] = {}
        self._used_at_by_program: dict[str, float] = {}
        self._ended: set[str] = set()
        self._listing = Listing({})

    @property
    def held(self) -> list[str]:
        """Return the programs of the last listing, most recently used first."""
        return list(self._listing.tokens_by_program)

    def program_ended(self, program_id: str) -> None:
        """Record that a program has ended."""
        self._ended.add(program_id)

    def update_listing(self, listing: Listing, now: float) -> None:
        """Store the engine's listing and drop the state of programs that it no longer shows."""
        before = self._listing.tokens_by_program
        self._listing = listing
        shown = listing.tokens_by_program
        self._ended &= set(shown)
        for program_id in set(self._queried_at_by_program) - set(shown):
            del self._queried_at_by_program[program_id]
        for program_id in set(self._used_at_by_program) - set(shown):
            del self._used_at_by_program[program_id]
        for program_id, tokens in shown.items():
            # Each turn changes the held length, so a changed length means a use.
            if before.get(program_id) != tokens:
                self._used_at_by_program[program_id] = now

    def programs_to_query(self, now: float) -> list[str]:
        """Return the programs to query the journal about, least recently queried first."""
        due = []
        for program_id in self.held:
            queried_at = self._queried_at_by_program.get(program_id, -QUERY_INTERVAL_SECONDS)
            if program_id not in self._ended and now - queried_at >= QUERY_INTERVAL_SECONDS:
                due.append((queried_at, program_id))
        due.sort()
        return [program_id for _queried_at, program_id in due[:MAX_QUERIED_PER_ROUND]]

    def update_living(self, queried: list[str], living: list[str], now: float) -> None:
        """Apply the journal's answer; an ended program stays ended, since ids are never reused."""
        for program_id in queried:
            self._queried_at_by_program[program_id] = now
        self._ended.update(set(queried) - set(living))

    def programs_to_release(self, busy: set[str], now: float) -> list[str]:
        """Return the programs to release; those in `busy` have a run in flight and must wait."""
        prefixes = []
        for program_id, tokens in self._listing.tokens_by_program.items():
            idle_s = now - self._used_at_by_program[program_id]
            living = program_id not in self._ended
            idle = None if program_id in busy else idle_s
            prefixes.append(HeldPrefix(program_id, tokens, idle, living))
        capacity = self._listing.capacity
        return select_releases(prefixes, sys.maxsize if capacity is None else capacity)
