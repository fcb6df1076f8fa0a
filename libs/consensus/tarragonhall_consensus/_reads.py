"""Linearizable reads: a read is confirmed by a majority that answered after it was asked."""

from __future__ import annotations

import collections
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Read:
    """A read that waits for its round to be answered and for `index` to be applied."""

    token: int
    index: int
    round: int


@dataclass(slots=True, frozen=True)
class _Sent:
    at: float
    last_index: int


class Rounds:
    """Numbers the leader's steps that send, so that an answer tells when its question left.

    A leader that was cut off or paused does not know it yet. Answers to messages that it sent
    before the read was asked say nothing of the time since; only later rounds count.
    """

    __slots__ = ("_keep_seconds", "_sent_by_round", "current")

    def __init__(self, keep_seconds: float) -> None:
        self.current = 0
        self._keep_seconds = keep_seconds
        self._sent_by_round: collections.OrderedDict[int, _Sent] = collections.OrderedDict()

    def begin(self, now: float, last_index: int) -> None:
        """Number the messages of this step; forget rounds too old to matter."""
        self.current += 1
        self._sent_by_round[self.current] = _Sent(now, last_index)
        while next(iter(self._sent_by_round.values())).at < now - self._keep_seconds:
            self._sent_by_round.popitem(last=False)

    def sent_at(self, number: int) -> float | None:
        """Return when a round left, None where that is too long ago."""
        sent = self._sent_by_round.get(number)
        return sent.at if sent else None

    def last_index(self, number: int) -> int | None:
        """Return the end of the log when a round left, None where that is too long ago."""
        sent = self._sent_by_round.get(number)
        return sent.last_index if sent else None


class Reads:
    """The reads not confirmed yet, in the order they were asked."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: collections.deque[Read] = collections.deque()

    def ask(self, token: int, index: int, number: int) -> None:
        """Let a read wait for round `number` and for `index` to be applied."""
        self._waiting.append(Read(token, index, number))

    @property
    def wanted_round(self) -> int:
        """Return the latest round that a read waits for, 0 where none waits."""
        return self._waiting[-1].round if self._waiting else 0

    def take_confirmed(self, answered_round: int, applied_index: int) -> list[int]:
        """Return and forget the tokens of the reads that are confirmed."""
        tokens = []
        while self._waiting:
            read = self._waiting[0]
            if read.round > answered_round or read.index > applied_index:
                break
            tokens.append(self._waiting.popleft().token)
        return tokens

    def take_all(self) -> list[int]:
        """Return and forget the tokens of all reads."""
        tokens = [read.token for read in self._waiting]
        self._waiting.clear()
        return tokens
