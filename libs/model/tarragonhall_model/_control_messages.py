"""Messages between any process and the control members.

A link carries these records both ways. A request and its reply are matched by the link itself, so
the records carry no correlation ids. What a handler returns for a request is the reply.
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
    `relay_version` is that of the relay document it has; None for a process that takes none.
    `settled_owners` is the `owners_version` whose earlier owners it has waited out, 0 for none.
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

    The receiver counts freshness from the instant *it sent* the heartbeat, on its own monotonic
    clock, so that neither clock differences nor a slow reply can make old settings look fresh.
    `policy`, `view` and `relay` are set where the sender lags behind; `view_delta` in place of
    `view` where what it holds is known. `controls` are the link addresses of all control members.
    """

    settings_revision: int
    view_epoch: int
    fencing: int
    policy: PolicyDelta | None = None
    view: View | None = None
    relay: RelayDocument | None = None
    controls: tuple[str, ...] = ()
    view_delta: ViewDelta | None = None


@record
class News:
    """Pushed by the leader when settings or view change, ahead of the next heartbeat."""

    policy: PolicyDelta | None = None
    view: View | None = None
    relay: RelayDocument | None = None
    view_delta: ViewDelta | None = None


@record
class Leaving:
    """The sender is shutting down and wants to leave the view. Reply: `Proposed`, `NotLeader`."""

    node: EntryRecord | ServerRecord | StoreRecord
