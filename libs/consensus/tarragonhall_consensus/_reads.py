"""Linearizable reads: confirmed by a majority that answers a message sent after the request."""

from __future__ import annotations

import collections
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Read:
    """A read waiting for its round to be answered and for `index` to be applied."""

    token: int
    index: int
    round: int


@dataclass(slots=True, frozen=True)
class _SentRound:
    at: float
    last_index: int


class Rounds:
    """Numbers the leader's steps that send, so that a reply shows when its request was sent.

    A leader may have been partitioned or paused without knowing. Replies to messages sent before a
    read was requested prove nothing about the time since; only later rounds count.
    """

    __slots__ = ("_retention_seconds", "_sent_by_round", "current")

    def __init__(self, retention_seconds: float) -> None:
        self.current = 0
        self._retention_seconds = retention_seconds
        self._sent_by_round: collections.OrderedDict[int, _SentRound] = collections.OrderedDict()

    def start(self, now: float, last_index: int) -> None:
        """Start the round of this step's messages and drop rounds that are too old to matter."""
        self.current += 1
        self._sent_by_round[self.current] = _SentRound(now, last_index)
        while next(iter(self._sent_by_round.values())).at < now - self._retention_seconds:
            self._sent_by_round.popitem(last=False)

    def sent_at(self, round_number: int) -> float | None:
        """Return when a round was sent, None if it is no longer recorded."""
        sent = self._sent_by_round.get(round_number)
        return sent.at if sent else None

    def last_index(self, round_number: int) -> int | None:
        """Return the last log index when a round was sent, None if it is no longer recorded."""
        sent = self._sent_by_round.get(round_number)
        return sent.last_index if sent else None


class Reads:
    """Unconfirmed reads, in the order of their requests."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: collections.deque[Read] = collections.deque()

    def add(self, token: int, index: int, round_number: int) -> None:
        """Add a read that waits for round `round_number` and for `index` to be applied."""
        self._waiting.append(Read(token, index, round_number))

    @property
    def required_round(self) -> int:
        """Return the latest round that a read waits for, 0 if none waits."""
        return self._waiting[-1].round if self._waiting else 0

    def take_confirmed(self, answered_round: int, applied_index: int) -> list[int]:
        """Remove the confirmed reads and return their tokens."""
        tokens = []
        while self._waiting:
            read = self._waiting[0]
            if read.round > answered_round or read.index > applied_index:
                break
            tokens.append(self._waiting.popleft().token)
        return tokens

    def take_all(self) -> list[int]:
        """Remove all reads and return their tokens."""
        tokens = [read.token for read in self._waiting]
        self._waiting.clear()
        return tokens
