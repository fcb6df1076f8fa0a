"""Messages between any process and the control members.

A link carries these records both ways. The link matches each reply to its request, so the records
carry no correlation ids. The value that a handler returns for a request is the reply.
"""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model._calls import Answer, CallKind, Execution, Refusal
from tarragonhall_model._codec import record
from tarragonhall_model._policy import EntryRecord, PolicyDelta, ServerRecord, StoreRecord, View
from tarragonhall_model._relay import RelayDocument
from tarragonhall_model._view_delta import ViewDelta


@record
class Propose:
    """Ask the leader to commit a command. Reply: `Proposed`, `NotLeader` or `Busy`.

    A resend with the same `request_id` returns the first result.
    """

    request_id: str
    body: object


@record
class Proposed:
    """The command is committed, synced by a majority; `result` is the state machine's result."""

    result: object


@record
class NotLeader:
    """The member is not the leader, or lost leadership before the commit was confirmed.

    Whether the command will commit is unknown; the sender resends it under the same request id.
    `leader` is the link address of the leader, if known.
    """

    leader: str | None = None


@record
class Busy:
    """The member is overloaded; the command was not appended to the log."""

    retry_after_ms: int


@record
class QueryCall:
    """Query the state of one call. Reply: `CallOpened`, `CallRunning`, `CallClosed`, `Refusal`
    or `NotLeader`. The read is linearizable.
    """

    program_id: str
    seq: int
    org_id: str


@record
class QueryExecution:
    """Query whether a call may have run, for a caller whose organisation is not known. Reply:
    `ExecutionKnown` or `NotLeader`. The read is linearizable and reveals nothing else of the call.
    """

    program_id: str
    seq: int


@record
class ExecutionKnown:
    """The execution of a call according to the journal: `NOT_RUN` if it never ran and cannot run
    any more, else `UNKNOWN`.
    """

    execution: Execution


@record
class QueryProgram:
    """Query a program and its history. Reply: `ProgramReport`, `Refusal` or `NotLeader`."""

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
    """Query which of these programs are still open. Reply: `Living` or `NotLeader`."""

    program_ids: list[str]


@record
class Living:
    """The programs of the request that are open."""

    program_ids: list[str]


@record
class QueryQuarantine:
    """Query whether a call's fingerprint is quarantined. Reply: `Quarantined` or `NotLeader`."""

    fingerprint: str


@record
class Quarantined:
    """Whether the fingerprint is quarantined, and how many crashes are attributed to it."""

    quarantined: bool
    crashes: int


@record
class NodeLoad:
    """Load from which the leader decides which engine loads which model.

    An entry reports how long the oldest waiting call of each target has waited, in seconds; a
    sidecar reports the share of its server's slots in use.
    """

    waiting_s_by_target: dict[str, float] = field(default_factory=dict)
    busy_share: float = 0.0


@record
class Heartbeat:
    """Sent to the leader about once a second by every entry, sidecar and store. Reply: `Fresh` or
    `NotLeader`.

    It announces the sender (`node`) and requests changes since its settings revision and view
    epoch. `relay_version` is the version of its relay document; None for a process without one.
    `settled_owners` is the `owners_version` whose earlier owners must have stopped by now, because
    the sender waited long enough; 0 for none.
    """

    node: EntryRecord | ServerRecord | StoreRecord
    settings_revision: int
    view_epoch: int
    load: NodeLoad = NodeLoad()
    relay_version: int | None = None
    settled_owners: int = 0


@record
class Fresh:
    """A majority confirmed, after the heartbeat arrived, that this leader is still the leader.

    The receiver measures freshness from the instant *it sent* the heartbeat, on its own monotonic
    clock, so that neither clock differences nor a slow reply can make old settings look fresh.
    `policy`, `view` and `relay` are set if the receiver is behind; `view_delta` replaces `view` if
    the receiver's view is known. `controls` are the link addresses of all control members.
    `relay_version` is the version of the relay document in force, for a receiver that takes it.
    """

    settings_revision: int
    view_epoch: int
    fencing: int
    policy: PolicyDelta | None = None
    view: View | None = None
    relay: RelayDocument | None = None
    controls: tuple[str, ...] = ()
    view_delta: ViewDelta | None = None
    relay_version: int | None = None


@record
class News:
    """Update pushed by the leader when settings or view change, before the next heartbeat."""

    policy: PolicyDelta | None = None
    view: View | None = None
    relay: RelayDocument | None = None
    view_delta: ViewDelta | None = None


@record
class Leaving:
    """The sender shuts down and is to leave the view. Reply: `Proposed` or `NotLeader`."""

    node: EntryRecord | ServerRecord | StoreRecord
