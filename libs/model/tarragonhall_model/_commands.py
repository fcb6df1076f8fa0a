"""Commands that entries, sidecars and the leader put in the replicated log, and their results.

Every command is applied on each control member in log order and must give the same result there:
it carries the leader's clock (`Command.at_ms`) and every id it needs. Commands of operators, which
only the control role proposes, are declared beside the settings tree in the `state` library.
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

    A resend with the same `idempotency_key` and the same content gives the program opened first.
    A child (`parent` set) draws on the budget of its root. Result: `ProgramInfo` or `Refusal`.
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
    """Open a call: it is in order, its reservation fits the budget and it is not a repeat.

    Result: `CallOpened` (run it), `CallRunning` (it is under way), `CallClosed` (here is what
    became of it) or `Refusal`. `seq` starts at 1; a call opens only once `seq - 1` is closed.

    `lost_attempt` is the live attempt of a call that may be repeated, where the sender found that
    its end cannot be known any more; the call is then open to a further attempt.

    With `take_over` the call passes to the sender although the entry that holds it lives: it may
    have given up without being able to say so.

    `first_attempt` is recorded together with a call that opens for the first time, as by
    `StartAttempt`; the result's `started` says so. It saves a commit on the way of most calls.
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

    `number` must be one more than the attempts already recorded. A call that must not be repeated
    gets a further attempt only once each earlier one was disproved. Result: `AttemptRecorded`,
    `CallRunning` (another entry was faster), `CallClosed` or `Refusal`.
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
    """Record what became of a call: an answer, or a refusal that is final for this `seq`.

    The first answer wins, and an answer replaces an earlier `unknown` refusal: it arrived late.
    Result: `CallClosed` or `Refusal`.
    """

    attempt: AttemptId
    answer: Answer | None = None
    refusal: Refusal | None = None


@record
class AbandonCall:
    """Give up an open call no attempt of which can have run; the caller may send `seq` again.

    Result: `CallAbandoned`, or what an attempt made of the call meanwhile (`CallRunning`,
    `CallClosed`), or `Refusal`.
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
    """End programs that were idle for too long or outlived their budget of time.

    Proposed by the leader about once a second. Result: `ProgramsExpired`.
    """


@record
class ReportCrash:
    """A backend server crashed while these attempts ran on it.

    `fingerprints` are `model.fingerprint(organisation, target, body)` of each. Result: `Recorded`.
    """

    server_id: str
    incarnation: str
    fingerprints: list[str]
    attempts: list[AttemptId]


@record
class AnnounceEntry:
    """Put an entry into the view, replacing an earlier life of it. Result: `Recorded`."""

    entry: EntryRecord


@record
class RemoveEntry:
    """Take one life of an entry out of the view. Result: `Recorded`.

    `stopped` says that it was silent for longer than it may own rates without being heard.
    """

    entry_id: str
    incarnation: str
    stopped: bool = False


@record
class SettleOwners:
    """Note that owners before this `owners_version` have stopped. Result: `Recorded`."""

    owners_version: int


@record
class AnnounceStore:
    """Put a store member into the view, replacing an earlier life. Result: `Recorded`."""

    store: StoreRecord


@record
class RemoveStore:
    """Take one life of a store member out of the view. Result: `Recorded`."""

    store_id: str
    incarnation: str


@record
class AnnounceServer:
    """Put a backend server into the view, replacing an earlier life. Result: `Recorded`."""

    server: ServerRecord


@record
class RemoveServer:
    """Take one life of a backend server out of the view. Result: `Recorded`."""

    server_id: str
    incarnation: str


@record
class DrainServer:
    """Start or end the drain of a backend server by operators. Result: `Recorded`."""

    server_id: str
    draining: bool


@record
class EvacuateZone:
    """Start or end the evacuation of an availability zone by operators. Result: `Recorded`.

    Repeating it is harmless; of opposite orders the one that comes later in the log holds.
    """

    availability_zone: str
    evacuated: bool


@record
class Command:
    """One entry of the log: a command, the leader's clock and the id its resends share."""

    request_id: str
    at_ms: int
    body: object


@record
class Recorded:
    """The command took effect, at this revision of the settings or epoch of the view."""

    revision: int = 0


@record
class ProgramInfo:
    """A program as its owner may see it."""

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
    """The call is open and no live attempt of it is known; `attempts` were recorded so far.

    `history` holds the earlier model calls of the program, oldest first. `prefix_server` is the
    backend server that ran the last of them and may still hold their prefix. `started` says that
    the `first_attempt` of the command was recorded and may be dispatched.
    """

    attempts: int
    history: list[Turn]
    prefix_server: str | None = None
    deadline_at_ms: int = 0
    started: bool = False


@record
class CallRunning:
    """The call is open. `attempt` is the live attempt; without one, `entry_id` still holds it."""

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
