"""Commands that entries, sidecars and the leader append to the replicated log, and their results.

Each control member applies every command in log order and must get the same result, so a command
carries the leader's clock (`Command.at_ms`) and every id it needs. Operator commands, which only
the control role proposes, are declared beside the settings tree in the `state` library.
"""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model._calls import (
    Answer,
    AttemptId,
    Budget,
    CallSpec,
    ProgramStatus,
    Refusal,
    Spent,
    Turn,
)
from tarragonhall_model._codec import record
from tarragonhall_model._policy import EntryRecord, ServerRecord, StoreRecord


@record
class OpenProgram:
    """Open a program for an organisation.

    A resend with the same `idempotency_key` and the same content returns the program opened first.
    A child (`parent` set) uses the budget of its root. Result: `ProgramInfo` or `Refusal`.
    """

    program_id: str
    org_id: str
    budget: Budget
    idle_seconds: int
    parent: str | None = None
    labels: dict[str, str] = field(default_factory=dict)
    idempotency_key: str | None = None


@record
class OpenCall:
    """Open a call if it is in order, its reservation fits the budget and it is not a repeat.

    Result: `CallOpened` (run it), `CallRunning` (it is in flight), `CallClosed` (its answer or
    refusal) or `Refusal`. `seq` starts at 1; a call opens only once `seq - 1` is closed.

    `lost_attempt` is the live attempt of a repeatable call whose outcome the sender found can no
    longer be determined; the call may then get a further attempt.

    With `take_over` the call passes to the sender although the entry that owns it is alive: that
    entry may have abandoned the call without being able to report it.

    `first_attempt` is recorded together with a call that opens for the first time, as by
    `StartAttempt`, and the result then has `started` set. This saves a commit for most calls.
    """

    program_id: str
    org_id: str
    spec: CallSpec
    entry_id: str
    lost_attempt: AttemptId | None = None
    first_attempt: AttemptId | None = None
    take_over: bool = False


@record
class StartAttempt:
    """Record, before the dispatch, that this attempt may run from now on.

    `number` must be one more than the number of attempts already recorded. A call that must not be
    repeated gets a further attempt only once each earlier one was disproved. Result:
    `AttemptRecorded`, `CallRunning` (another entry was faster), `CallClosed` or `Refusal`.
    """

    attempt: AttemptId
    org_id: str
    entry_id: str


@record
class DisproveAttempt:
    """Record a sidecar's proof that an attempt never started and never will.

    Result: `CallOpened` (a further attempt may start), `CallClosed` or `Refusal`.
    """

    attempt: AttemptId


@record
class CloseCall:
    """Record the result of a call: an answer, or a refusal that is final for this `seq`.

    The first answer wins. A late answer replaces an earlier `unknown` refusal. Result: `CallClosed`
    or `Refusal`.
    """

    attempt: AttemptId
    answer: Answer | None = None
    refusal: Refusal | None = None


@record
class AbandonCall:
    """Abandon an open call none of whose attempts can have run; the caller may resend `seq`.

    Result: `CallAbandoned`, `CallRunning` or `CallClosed` if an attempt changed the call meanwhile,
    or `Refusal`.
    """

    program_id: str
    seq: int
    org_id: str
    entry_id: str


@record
class EndProgram:
    """End a program and its sub-agents. Result: `ProgramInfo` or `Refusal`."""

    program_id: str
    org_id: str
    status: ProgramStatus


@record
class ExpirePrograms:
    """End programs that exceeded their idle time or the `seconds` of their budget.

    Proposed by the leader about once a second. Result: `ProgramsExpired`.
    """


@record
class ReportCrash:
    """A backend server crashed while these attempts ran on it.

    `fingerprints` holds `model.fingerprint(organisation, target, body)` of each. Result:
    `Recorded`.
    """

    server_id: str
    incarnation: str
    fingerprints: list[str]
    attempts: list[AttemptId]


@record
class AnnounceEntry:
    """Add an entry to the view, replacing its earlier incarnation. Result: `Recorded`."""

    entry: EntryRecord


@record
class RemoveEntry:
    """Remove one incarnation of an entry from the view. Result: `Recorded`.

    `stopped` means that its last contact is longer ago than an entry may own rates without contact.
    """

    entry_id: str
    incarnation: str
    stopped: bool = False


@record
class SettleOwners:
    """Record that owners before this `owners_version` have stopped. Result: `Recorded`."""

    owners_version: int


@record
class AnnounceStore:
    """Add a store member to the view, replacing its earlier incarnation. Result: `Recorded`."""

    store: StoreRecord


@record
class RemoveStore:
    """Remove one incarnation of a store member from the view. Result: `Recorded`."""

    store_id: str
    incarnation: str


@record
class AnnounceServer:
    """Add a backend server to the view, replacing its earlier incarnation. Result: `Recorded`."""

    server: ServerRecord


@record
class RemoveServer:
    """Remove one incarnation of a backend server from the view. Result: `Recorded`."""

    server_id: str
    incarnation: str


@record
class DrainServer:
    """Start or end an operator's drain of a backend server. Result: `Recorded`."""

    server_id: str
    draining: bool


@record
class EvacuateZone:
    """Start or end an operator's evacuation of an availability zone. Result: `Recorded`.

    Idempotent; of opposite commands the later one in the log takes effect.
    """

    availability_zone: str
    evacuated: bool


@record
class Command:
    """One log entry: a command, the leader's clock and the request id shared by its resends."""

    request_id: str
    at_ms: int
    body: object


@record
class Recorded:
    """The command took effect at this settings revision or view epoch."""

    revision: int = 0


@record
class ProgramInfo:
    """The state of a program that is shown to its owner."""

    program_id: str
    root_id: str
    org_id: str
    status: ProgramStatus
    budget: Budget
    spent: Spent
    next_seq: int
    opened_at_ms: int
    labels: dict[str, str] = field(default_factory=dict)
    parent: str | None = None


@record
class CallOpened:
    """The call is open without a known live attempt; `attempts` were recorded so far.

    `history` holds the earlier model calls of the program, oldest first. `prefix_server` is the
    backend server that ran the last of them and may still have their prefix cached. `started` means
    that the `first_attempt` of the command was recorded and may be dispatched.
    """

    attempts: int
    history: list[Turn]
    prefix_server: str | None = None
    deadline_at_ms: int = 0
    started: bool = False


@record
class CallRunning:
    """The call is open. `attempt` is the live attempt; without one, `entry_id` still owns it."""

    entry_id: str
    attempt: AttemptId | None = None


@record
class CallClosed:
    """The call has ended with an answer or a refusal."""

    answer: Answer | None = None
    refusal: Refusal | None = None


@record
class CallAbandoned:
    """The call is no longer open and did not run."""


@record
class AttemptRecorded:
    """The attempt may be dispatched."""

    attempt: AttemptId


@record
class ProgramsExpired:
    """The programs that were just ended."""

    program_ids: list[str]
