"""State that the core holds for its server and for each attempt."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tarragonhall_model import AttemptEnded, Dispatch, ServerKind

from tarragonhall_sidecar._events import PeerId


@dataclass(slots=True, frozen=True)
class Identity:
    """The sidecar's backend server, its own incarnation, and the server's kind and slots."""

    server_id: str
    incarnation: str
    kind: ServerKind
    slots: int


class State(enum.Enum):
    """State of an attempt; `BROKEN` is a run that lost its connection and awaits a probe."""

    WAITING = "waiting"
    RUNNING = "running"
    BROKEN = "broken"
    ENDED = "ended"


@dataclass(slots=True)
class Attempt:
    """One accepted attempt, held until its end is acknowledged or in the journal.

    `server_incarnation` is that of the backend server when the run started, empty if unknown.
    `cancel_retry_at` is None until a cancel is sent; then the time to send it again.
    """

    dispatch: Dispatch
    arrival_number: int
    deadline: float
    peers: set[PeerId]
    state: State = State.WAITING
    chunks: list[str] = field(default_factory=list)
    server_incarnation: str = ""
    end: AttemptEnded | None = None
    ended_at: float = 0.0
    committing: bool = False
    cancel_retry_at: float | None = None

    @property
    def key(self) -> str:
        """Return the attempt's key."""
        return self.dispatch.attempt.key

    @property
    def end_bytes(self) -> int:
        """Return the approximate memory of the stored answer: its length in characters."""
        if self.end is None or self.end.answer is None:
            return 0
        return len(self.end.answer.text)
