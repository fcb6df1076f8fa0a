"""What the core keeps of its server and of each attempt."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tarragonhall_model import AttemptEnded, Dispatch, ServerKind

from tarragonhall_sidecar._events import PeerId


@dataclass(slots=True, frozen=True)
class Identity:
    """Which life of which backend server this is, and what it serves."""

    server_id: str
    incarnation: str
    kind: ServerKind
    slots: int


class State(enum.Enum):
    """Where an attempt stands."""

    WAITING = "waiting"
    RUNNING = "running"
    BROKEN = "broken"
    ENDED = "ended"


@dataclass(slots=True)
class Attempt:
    """One accepted attempt, until its end is in the journal.

    `cancel_again_at` is set once its cancel was asked for, and says when to ask the engine again.
    """

    dispatch: Dispatch
    order: int
    deadline: float
    peers: set[PeerId]
    state: State = State.WAITING
    chunks: list[str] = field(default_factory=list)
    life: str = ""
    end: AttemptEnded | None = None
    ended_at: float = 0.0
    committing: bool = False
    cancel_again_at: float | None = None

    @property
    def key(self) -> str:
        """Return the attempt's key."""
        return self.dispatch.attempt.key

    @property
    def end_bytes(self) -> int:
        """Return about how much memory the kept answer takes."""
        if self.end is None or self.end.answer is None:
            return 0
        return len(self.end.answer.text)
