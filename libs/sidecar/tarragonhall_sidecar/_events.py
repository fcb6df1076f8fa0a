"""What goes into the sidecar's core and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import (
    Answer,
    Attach,
    AttemptAck,
    AttemptEnded,
    AttemptId,
    AttemptOutcome,
    CancelAttempt,
    Dispatch,
)

# Links are told apart by a number that the shell gives them: the core never touches a socket.
PeerId = int


@dataclass(slots=True, frozen=True)
class Arrived:
    """A message came over a link."""

    peer: PeerId
    message: Dispatch | Attach | CancelAttempt | AttemptAck


@dataclass(slots=True, frozen=True)
class ProgramGone:
    """The program of an attempt was cancelled or has expired."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class PeerClosed:
    """A link closed; what is due to it waits for another to attach."""

    peer: PeerId


@dataclass(slots=True, frozen=True)
class Produced:
    """The backend server produced more of an answer, already checked to be of this attempt."""

    key: str
    text: str


@dataclass(slots=True, frozen=True)
class Finished:
    """A run ended in a way that needs no further evidence."""

    key: str
    outcome: AttemptOutcome
    answer: Answer | None = None
    detail: str = ""


@dataclass(slots=True, frozen=True)
class Broke:
    """The connection of a run broke; a probe will tell whether the server crashed."""

    key: str
    detail: str


@dataclass(slots=True, frozen=True)
class Probed:
    """What a health probe found. `life` changes when the server restarts, where it tells it.

    `refused` says that nothing listens any more; a probe that only timed out proves less.
    """

    up: bool
    refused: bool = False
    life: str = ""


@dataclass(slots=True, frozen=True)
class DrainChanged:
    """The server is to take no new work, or may take it again."""

    draining: bool


@dataclass(slots=True, frozen=True)
class Committed:
    """The end of an attempt is in the journal."""

    key: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


Input = (
    Arrived
    | ProgramGone
    | PeerClosed
    | Produced
    | Finished
    | Broke
    | Probed
    | DrainChanged
    | Committed
    | Tick
)


@dataclass(slots=True, frozen=True)
class Reply:
    """The reply to the request just handled."""

    message: object


@dataclass(slots=True, frozen=True)
class Send:
    """Send a one-way message, after the reply where there is one."""

    peer: PeerId
    message: object


@dataclass(slots=True, frozen=True)
class StartRun:
    """Run the attempt on the backend server now, for `seconds_left` at most."""

    dispatch: Dispatch
    seconds_left: float


@dataclass(slots=True, frozen=True)
class StopRun:
    """Ask the backend server to stop; `abandon` where nothing is expected of the run any more."""

    key: str
    abandon: bool


@dataclass(slots=True, frozen=True)
class ProbeNow:
    """Probe the backend server, without waiting for the next regular probe."""


@dataclass(slots=True, frozen=True)
class CommitEnd:
    """No one acknowledged this end in time: put it in the journal."""

    end: AttemptEnded
    org_id: str
    repeatable: bool


@dataclass(slots=True, frozen=True)
class ServerCrashed:
    """The backend server crashed while these attempts ran on it.

    `sends` tell their entries, once the crash is in the journal: an entry that tried again before
    could not know that the request is quarantined, and would bring down the next server.
    """

    dispatches: tuple[Dispatch, ...]
    sends: tuple[Send, ...]


Output = Reply | Send | StartRun | StopRun | ProbeNow | CommitEnd | ServerCrashed
