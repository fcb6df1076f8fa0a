"""Messages between the processes of the system.

A link carries these records both ways. A request and its reply are matched by the link itself, so
the records carry no correlation ids. What a handler returns for a request is the reply.
"""

from __future__ import annotations

import enum
from dataclasses import field

from tarragonhall_model._calls import (
    Answer,
    AttemptId,
    CallKind,
    CallSpec,
    Execution,
    Refusal,
    Turn,
)
from tarragonhall_model._codec import record
from tarragonhall_model._policy import EntryRecord, PolicyDelta, ServerRecord, View

# Between any process and control members.


@record
class Propose:
    """Ask the leader to commit a command. Reply: `Proposed`, `NotLeader` or `Busy`.

    A resend with the same `request_id` gives the result of the first.
    """

    request_id: str
    body: object


@record
class Proposed:
    """The command was committed on a synced majority; `result` is the state machine's result."""

    result: object


@record
class NotLeader:
    """The member asked is not the leader, or lost the lead before the commit was known.

    Whether the command will commit is unknown; the sender repeats it under the same request id.
    `leader` is the link address of the leader, where it is known.
    """

    leader: str | None = None


@record
class Busy:
    """The member cannot take more; the command was not put in the log."""

    retry_after_ms: int


@record
class QueryCall:
    """Ask for the state of one call. Reply: `CallOpened`, `CallRunning`, `CallClosed`, `Refusal`,
    `NotLeader`. The answer is linearizable.
    """

    program_id: str
    seq: int
    org_id: str


@record
class QueryExecution:
    """Ask whether a call may have run, for a caller whose organisation is not known. Reply:
    `ExecutionKnown` or `NotLeader`. The answer is linearizable, and tells nothing else of the call.
    """

    program_id: str
    seq: int


@record
class ExecutionKnown:
    """What the journal knows of a call: `NOT_RUN` where it never ran and nothing can still run it,
    else `UNKNOWN`.
    """

    execution: Execution


@record
class QueryProgram:
    """Ask for a program and its history. Reply: `ProgramReport`, `Refusal` or `NotLeader`."""

    program_id: str
    org_id: str


@record
class ProgramReport:
    """A program and its closed calls, oldest first."""

    info: object
    calls: list[object]


@record
class CallSummary:
    """One call in a `ProgramReport`."""

    seq: int
    kind: CallKind
    target: str
    body: str
    answer: Answer | None = None
    refusal: Refusal | None = None


@record
class QueryLiving:
    """Ask which of these programs are still open. Reply: `Living` or `NotLeader`."""

    program_ids: list[str]


@record
class Living:
    """Those of the programs asked for that are open."""

    program_ids: list[str]


@record
class QueryQuarantine:
    """Ask whether a request is quarantined. Reply: `Quarantined` or `NotLeader`."""

    fingerprint: str


@record
class Quarantined:
    """Whether the request is quarantined, and how many crashes it is charged with."""

    quarantined: bool
    crashes: int


@record
class NodeLoad:
    """What the leader needs to decide which engine loads which model.

    An entry gives how long the oldest waiting call of each target has waited, in seconds; a sidecar
    gives the share of its server's slots in use.
    """

    waiting_s_by_target: dict[str, float] = field(default_factory=dict)
    busy_share: float = 0.0


@record
class Heartbeat:
    """Sent to the leader about once a second by every entry and sidecar. Reply: `Fresh`,
    `NotLeader`.

    It announces the sender (`node`), and asks for news since the revision and epoch it has.
    """

    node: EntryRecord | ServerRecord
    settings_revision: int
    view_epoch: int
    load: NodeLoad = NodeLoad()


@record
class Fresh:
    """A majority confirmed, after the heartbeat arrived, that this leader is still the leader.

    The receiver counts freshness from the instant *it sent* the heartbeat, on its own monotonic
    clock, so that neither clock differences nor a slow reply can make old settings look fresh.
    `policy` and `view` are set where the sender lags behind.
    """

    settings_revision: int
    view_epoch: int
    fencing: int
    policy: PolicyDelta | None = None
    view: View | None = None


@record
class News:
    """Pushed by the leader when settings or view change, ahead of the next heartbeat."""

    policy: PolicyDelta | None = None
    view: View | None = None


@record
class Leaving:
    """The sender is shutting down and wants to leave the view. Reply: `Proposed`, `NotLeader`."""

    node: EntryRecord | ServerRecord


# Between entries and sidecars.


@record
class Dispatch:
    """Run an attempt. Reply: `Accepted` or `Rejected`; then `Chunk`s and one `AttemptEnded`.

    `history` is the program's earlier model turns (empty for services). `priority` is lower for
    more urgent work. `deadline_ms` is the time left when the message was sent.
    """

    attempt: AttemptId
    org_id: str
    spec: CallSpec
    history: list[Turn]
    priority: int
    deadline_ms: int
    model_version: str | None = None


@record
class Accepted:
    """The attempt runs, waits in the sidecar, or has already ended and its end follows again."""


class RejectReason(enum.Enum):
    """Why a sidecar did not take an attempt. None of these attempts will run from now on.

    All but `INCARNATION` also prove that it never ran. `INCARNATION` says that the attempt belongs
    to another life of the sidecar, or to a part of this life that it no longer remembers: an
    earlier message may have started it. Only a sender that recorded the attempt itself and has sent
    its one `Dispatch` may take it as "not run"; after a resend or an `Attach` it is unknown.
    """

    TOMBSTONE = "tombstone"
    INCARNATION = "incarnation"
    DRAINING = "draining"
    FULL = "full"
    NOT_SERVED = "not_served"
    SERVER_DOWN = "server_down"


@record
class Rejected:
    """The attempt will never run here; see `RejectReason` for what is known of the past."""

    reason: RejectReason


@record
class Chunk:
    """Part of a streamed answer. `index` counts from 0; a gap means that a part was lost."""

    attempt_key: str
    index: int
    text: str


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"


@record
class AttemptEnded:
    """The end of an attempt. Only `NOT_RUN` proves that the backend server never saw it.

    The sidecar keeps it until `AttemptAck`; unacknowledged ends it commits itself, as late answers.
    """

    attempt: AttemptId
    outcome: AttemptOutcome
    answer: Answer | None = None
    detail: str = ""


@record
class AttemptAck:
    """The end of the attempt is committed; the sidecar may forget the answer."""

    attempt: AttemptId


@record
class Attach:
    """Send me what comes of an attempt that another entry dispatched.

    Reply: `Accepted` where it is known; otherwise the sidecar writes a tombstone, so that it can
    never run, and replies `Rejected`.
    """

    attempt: AttemptId


@record
class CancelAttempt:
    """Stop an attempt if it can be stopped. Reply: `Accepted` (its end follows) or `Rejected`
    (it never ran and now never will).
    """

    attempt: AttemptId


@record
class ReleaseProgram:
    """The program has ended; free what the engine holds for it, and stop these attempts of it."""

    program_id: str
    stop: tuple[AttemptId, ...] = ()


@record
class LoadReport:
    """Pushed by a sidecar several times a second while its load changes.

    `running` and `waiting` count attempts; `slots` is how many the server runs at once.
    `held_programs` are programs whose prefix the engine says it holds, most recent first, bounded.
    `ms_per_token` is the mean lately; `engine_age_ms` says how old the engine's own report is.
    """

    server_id: str
    incarnation: str
    running: int
    waiting: int
    slots: int
    ms_per_token: float = 0.0
    engine_age_ms: int = 0
    healthy: bool = True
    draining: bool = False
    held_programs: tuple[str, ...] = ()


# Between control and sidecars: orders to engines.


@record
class EngineOrder:
    """Change what an engine has loaded or its role. Reply: `OrderDone`.

    `fencing` is the leader's number; lower ones than the highest seen are refused by the sidecar,
    and by engines that check it. `action` is `load_model`, `load_adapter`, `unload` or `role`.
    `server_id` may be empty where the process stands beside one backend server only.
    """

    order_id: str
    fencing: int
    action: str
    model: str
    version: str
    server_id: str = ""


@record
class OrderDone:
    """The outcome of an order."""

    order_id: str
    done: bool
    detail: str = ""


# Between entries: rate and burst of an organisation over all instances.


@record
class TakeTokens:
    """Ask the owner of an organisation's bucket for a slice. Reply: `TokensGranted` or
    `NotOwner`. `holder` is the asking entry's id and incarnation. `finished` names earlier slices
    of which nothing is left to spend.
    """

    org_id: str
    holder: str
    wanted: float
    view_epoch: int
    finished: tuple[str, ...] = ()


@record
class TokensGranted:
    """A slice of tokens, to be spent within `valid_ms` of the instant the request was sent.

    `retry_after_ms` says when more are expected, where fewer than wanted were given. `backlog` is
    how many tokens the other holders wait for. `slice_id` names the slice in later messages.
    """

    org_id: str
    tokens: float
    valid_ms: int
    retry_after_ms: int = 0
    slice_id: str = ""
    backlog: float = 0.0


@record
class NotOwner:
    """The entry asked does not own this bucket in its view, or may not grant from it yet."""

    view_epoch: int
    retry_after_ms: int


@record
class ReturnTokens:
    """End a slice: `tokens` of it were not spent and go back; the rest was spent."""

    org_id: str
    holder: str
    tokens: float
    slice_id: str = ""


@record
class HandOver:
    """The owner of a bucket hands it to the next, after the entries changed to `entries_version`.

    `tokens` is its level, `outstanding` what is granted in slices that have not ended yet.
    """

    org_id: str
    tokens: float
    entries_version: int
    outstanding: float = 0.0
