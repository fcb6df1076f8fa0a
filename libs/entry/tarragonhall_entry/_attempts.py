"""What arrives from sidecars for the attempts that this entry follows. No I/O.

Everything is matched by attempt id, never by the connection it came on: an answer that arrives late
or crossed finds no attempt that waits for it and is passed to nobody.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonhall_model import AttemptEnded, AttemptId, AttemptOutcome, Chunk


@dataclass(slots=True)
class AnswerStream:
    """The parts of one attempt's answer that arrived so far, in order and without a gap."""

    texts: list[str] = field(default_factory=list)
    broken: bool = False

    def add(self, chunk: Chunk) -> str | None:
        """Return the part to pass on, or None for a doubled part or one behind a gap."""
        if self.broken or chunk.index < len(self.texts):
            return None
        if chunk.index > len(self.texts):
            # A part was lost. Parts that follow would read as a whole answer with a hole in it;
            # the terminal event still carries the whole text.
            self.broken = True
            return None
        self.texts.append(chunk.text)
        return chunk.text

    def contradicts(self, ended: AttemptEnded) -> bool:
        """Return whether the end differs from the parts, so that one of them is not this call's."""
        if ended.outcome is not AttemptOutcome.ANSWERED:
            return False
        if ended.answer is None:
            return True
        streamed = "".join(self.texts)
        if self.broken:
            return not ended.answer.text.startswith(streamed)
        return bool(streamed) and ended.answer.text != streamed


@dataclass(slots=True)
class Watched:
    """One attempt that this entry waits for. `link` is where its dispatch or attach went."""

    attempt: AttemptId
    on_text: Callable[[str], None]
    on_end: Callable[[object], None]
    stream: AnswerStream = field(default_factory=AnswerStream)
    link: object = None


class AttemptTable:
    """The watched attempts by their key."""

    __slots__ = ("_watched_by_key", "contradicted", "unmatched")

    def __init__(self) -> None:
        self._watched_by_key: dict[str, Watched] = {}
        self.unmatched = 0
        self.contradicted = 0

    def __len__(self) -> int:
        return len(self._watched_by_key)

    def watch(self, watched: Watched) -> None:
        """Begin to wait for an attempt, before its dispatch is sent."""
        self._watched_by_key[watched.attempt.key] = watched

    def find(self, attempt: AttemptId) -> Watched | None:
        """Return the watch of an attempt."""
        watched = self._watched_by_key.get(attempt.key)
        return watched if watched is not None and watched.attempt == attempt else None

    def forget(self, attempt: AttemptId) -> None:
        """Stop waiting for an attempt."""
        if self.find(attempt) is not None:
            del self._watched_by_key[attempt.key]

    def chunk(self, link: object, chunk: Chunk) -> None:
        """Take a part of an answer."""
        watched = self._watched_by_key.get(chunk.attempt_key)
        if watched is None or watched.link is not link:
            self.unmatched += 1
            return
        text = watched.stream.add(chunk)
        if text is not None:
            watched.on_text(text)

    def ended(self, message: AttemptEnded) -> bool:
        """Take the end of an attempt; return whether anyone waited for it."""
        watched = self.find(message.attempt)
        if watched is None:
            self.unmatched += 1
            return False
        if watched.stream.contradicts(message):
            self.contradicted += 1
            message = AttemptEnded(
                message.attempt,
                AttemptOutcome.FAILED,
                detail="the answer differs from the parts that were streamed",
            )
        watched.on_end(message)
        return True

    def lost(self, link: object, result: object) -> None:
        """Tell every attempt on a link that closed."""
        for watched in list(self._watched_by_key.values()):
            if watched.link is link:
                watched.on_end(result)
