"""Inputs and outputs of the sidecar's core."""

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

# The shell numbers the links, so that the core does no I/O.
PeerId = int


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message arrived over a link."""

    peer: PeerId
    message: Dispatch | Attach | CancelAttempt | AttemptAck


@dataclass(slots=True, frozen=True)
class ProgramEnded:
    """The program of an attempt was cancelled or has expired."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class PeerClosed:
    """A link closed; ends not yet acknowledged are sent to the next peer that attaches."""

    peer: PeerId


@dataclass(slots=True, frozen=True)
class TextGenerated:
    """The backend server generated more text, already validated to belong to this attempt."""

    key: str
    text: str


@dataclass(slots=True, frozen=True)
class RunFinished:
    """A run ended, and its outcome is known without a probe."""

    key: str
    outcome: AttemptOutcome
    answer: Answer | None = None
    detail: str = ""


@dataclass(slots=True, frozen=True)
class ConnectionLost:
    """The connection of a run broke; a probe determines whether the server crashed."""

    key: str
    detail: str


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Result of a health probe.

    `refused` means that no process listens any more, which a timeout does not prove.
    `server_incarnation` changes with each restart of the server, and is empty if not reported.
    """

    up: bool
    refused: bool = False
    server_incarnation: str = ""


@dataclass(slots=True, frozen=True)
class DrainChanged:
    """The server must accept no new work, or may accept it again."""

    draining: bool


@dataclass(slots=True, frozen=True)
class EndCommitted:
    """The end of an attempt is in the journal."""

    key: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


Input = (
    MessageReceived
    | ProgramEnded
    | PeerClosed
    | TextGenerated
    | RunFinished
    | ConnectionLost
    | ProbeResult
    | DrainChanged
    | EndCommitted
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
    """Run the attempt on the backend server now, for at most `seconds_left`."""

    dispatch: Dispatch
    seconds_left: float


@dataclass(slots=True, frozen=True)
class StopRun:
    """Stop a run: request it of the backend server, or with `abandon` only stop waiting for it."""

    key: str
    abandon: bool


@dataclass(slots=True, frozen=True)
class ProbeNow:
    """Probe the backend server, without waiting for the next regular probe."""


@dataclass(slots=True, frozen=True)
class CommitEnd:
    """Commit an end to the journal that no entry acknowledged in time."""

    end: AttemptEnded
    org_id: str
    repeatable: bool


@dataclass(slots=True, frozen=True)
class ServerCrashed:
    """The backend server crashed while these attempts ran on it.

    `sends` notify the entries and must follow the commit of the crash: an entry that retried
    earlier could not know that the request is quarantined, and would crash the next server.
    """

    dispatches: tuple[Dispatch, ...]
    sends: tuple[Send, ...]


Output = Reply | Send | StartRun | StopRun | ProbeNow | CommitEnd | ServerCrashed
