"""Matches messages from sidecars to the attempts that this entry follows. No I/O.

The end of an attempt is matched by attempt id, whatever link it arrives on. A chunk must also
arrive on the link of the latest dispatch or attach. An answer that is late or belongs to another
attempt is dropped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonhall_model import AttemptEnded, AttemptId, AttemptOutcome, Chunk


@dataclass(slots=True)
class AnswerStream:
    """The chunks of one attempt's answer received so far, in order and without a gap."""

    texts: list[str] = field(default_factory=list)
    has_gap: bool = False

    def add(self, chunk: Chunk) -> str | None:
        """Return the text to pass on, or None for a duplicate chunk or one behind a gap."""
        if self.has_gap or chunk.index < len(self.texts):
            return None
        if chunk.index > len(self.texts):
            # A chunk was lost. If the following ones were passed on, the caller would read a text
            # with a gap; the terminal event still carries the complete text.
            self.has_gap = True
            return None
        self.texts.append(chunk.text)
        return chunk.text

    def contradicts(self, ended: AttemptEnded) -> bool:
        """Return whether the final answer is missing or does not match the received chunks."""
        if ended.outcome is not AttemptOutcome.ANSWERED:
            return False
        if ended.answer is None:
            return True
        streamed = "".join(self.texts)
        if self.has_gap:
            return not ended.answer.text.startswith(streamed)
        return bool(streamed) and ended.answer.text != streamed


@dataclass(slots=True)
class WatchedAttempt:
    """An attempt that this entry follows. `link` carried its dispatch or its latest attach."""

    attempt: AttemptId
    on_text: Callable[[str], None]
    on_end: Callable[[object], None]
    stream: AnswerStream = field(default_factory=AnswerStream)
    link: object = None


class AttemptTable:
    """The watched attempts by attempt key."""

    __slots__ = ("_watched_by_key", "contradicted", "unmatched")

    def __init__(self) -> None:
        self._watched_by_key: dict[str, WatchedAttempt] = {}
        self.unmatched = 0
        self.contradicted = 0

    def __len__(self) -> int:
        return len(self._watched_by_key)

    def watch(self, watched: WatchedAttempt) -> None:
        """Start watching an attempt; called before its dispatch is sent."""
        self._watched_by_key[watched.attempt.key] = watched

    def find(self, attempt: AttemptId) -> WatchedAttempt | None:
        """Return the watched attempt with this id, or None."""
        watched = self._watched_by_key.get(attempt.key)
        return watched if watched is not None and watched.attempt == attempt else None

    def forget(self, attempt: AttemptId) -> None:
        """Stop watching an attempt."""
        if self.find(attempt) is not None:
            del self._watched_by_key[attempt.key]

    def on_chunk(self, link: object, chunk: Chunk) -> None:
        """Handle a chunk of an answer; chunks from another link are dropped."""
        watched = self._watched_by_key.get(chunk.attempt_key)
        if watched is None or watched.link is not link:
            self.unmatched += 1
            return
        text = watched.stream.add(chunk)
        if text is not None:
            watched.on_text(text)

    def on_ended(self, message: AttemptEnded) -> bool:
        """Handle the end of an attempt; return whether it was watched."""
        watched = self.find(message.attempt)
        if watched is None:
            self.unmatched += 1
            return False
        if watched.stream.contradicts(message):
            self.contradicted += 1
            message = AttemptEnded(
                message.attempt,
                AttemptOutcome.FAILED,
                detail="the final answer does not match the streamed chunks",
            )
        watched.on_end(message)
        return True

    def on_link_lost(self, link: object, result: object) -> None:
        """Notify every watched attempt on a closed link."""
        for watched in list(self._watched_by_key.values()):
            if watched.link is link:
                watched.on_end(result)
