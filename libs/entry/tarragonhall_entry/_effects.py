"""The effects that the flow of a call requests from its runner, and their results.

The flow is a generator without I/O: it yields one of these effects and is sent the result that the
effect's docstring names. A test can therefore write any order of events as a list.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_decisions import Failure
from tarragonhall_model import AttemptId, CallSpec, Dispatch, ServerRecord

# With `HOLDER_PAUSE_SECONDS` of `_flow`, the waits take 3 seconds in total, far longer than the
# commits with which the holder dispatches or abandons the call.
MAX_HOLDER_WAITS = 30


@dataclass(slots=True)
class Call:
    """One call at this entry. `deadline` is on this process's monotonic clock, in seconds.

    `call_id` is local to this entry: a resend with another body gets another id. `unproven_attempt`
    is an attempt that ran or may have run, if there is one. `slot` is held for the first attempt
    where that was recorded in the same commit as the call. `holder_waits` counts how often the call
    waited for the entry that holds it.
    """

    call_id: str
    program_id: str
    org_id: str
    key_hash: str
    spec: CallSpec
    entry_id: str
    deadline: float
    model_version: str | None = None
    unproven_attempt: AttemptId | None = None
    slot: SlotAssigned | None = None
    holder_waits: int = 0

    @property
    def may_wait_for_holder(self) -> bool:
        """Return whether to go on waiting for the entry that holds the call."""
        return self.holder_waits < MAX_HOLDER_WAITS

    @property
    def key(self) -> tuple[str, int]:
        """Return the identity of the call across entries and resends."""
        return (self.program_id, self.spec.seq)


@dataclass(slots=True, frozen=True)
class Commit:
    """Commit a command. Result: the command's own result, or `Unavailable`."""

    body: object


@dataclass(slots=True, frozen=True)
class QueryControl:
    """Send a query to the leader. Result: its reply, or `Unavailable`."""

    query: object


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The control members did not reply; whether the command takes effect is unknown."""

    reason: str


@dataclass(slots=True, frozen=True)
class TakeToken:
    """Take a token from the organisation's token bucket. Result: None, or a `Refusal`."""


@dataclass(slots=True, frozen=True)
class CheckKey:
    """Check that the key is still in force. Result: None, or a `Refusal`."""


@dataclass(slots=True, frozen=True)
class AcquireSlot:
    """Queue for a slot on a server. Result: `SlotAssigned`, or a `Refusal`.

    `started` says whether the program had an earlier call, `attained_tokens` how many tokens its
    calls generated, and `history_tokens` how long its history is. `excluded` are the ids of servers
    on which this call already failed.
    """

    started: bool
    prefix_server: str | None
    history_tokens: int
    attained_tokens: int
    excluded: frozenset[str]


@dataclass(slots=True, frozen=True)
class SlotAssigned:
    """A slot on this server is held for the call until `ReleaseSlot`."""

    server: ServerRecord


@dataclass(slots=True, frozen=True)
class ReleaseSlot:
    """Release the slot on the server. Result: None.

    `tokens` is how many the server generated; `used` is False where nothing was sent to it.
    """

    answered: bool = False
    tokens: int = 0
    used: bool = True


@dataclass(slots=True, frozen=True)
class TryAcquireSlot:
    """Take a slot without waiting.

    Result: `SlotAssigned`, None where no slot is free, or a `Refusal` where the queue refuses the
    call.
    """

    started: bool


@dataclass(slots=True, frozen=True)
class SendDispatch:
    """Dispatch an attempt. Result: `Accepted`, `Rejected`, `NotSent` or `LinkLost`."""

    server: ServerRecord
    message: Dispatch


@dataclass(slots=True, frozen=True)
class NotSent:
    """The message was not sent, for lack of a link or because the link was overloaded."""


@dataclass(slots=True, frozen=True)
class LinkLost:
    """The link broke or no reply came; whether the peer received the message is unknown."""


@dataclass(slots=True, frozen=True)
class AwaitEnd:
    """Await the end of an attempt. Result: `AttemptEnded`, `LinkLost` or `Expired`."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class Expired:
    """The attempt did not end within the deadline of the call."""


@dataclass(slots=True, frozen=True)
class Reattach:
    """Attach to an attempt at its sidecar. Result: `Accepted`, `Rejected` or `LinkLost`."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class Acknowledge:
    """Notify the sidecar that the end of an attempt is committed. Result: None."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class Pause:
    """Sleep, but not past the deadline. Result: whether time is left."""

    seconds: float


@dataclass(slots=True, frozen=True)
class FindServer:
    """Look up an attempt's server incarnation in the view. Result: `ServerRecord`, or None."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class EntryInView:
    """Look up an entry in the view. Result: whether it is there."""

    entry_id: str


@dataclass(slots=True, frozen=True)
class DecideRetry:
    """Decide whether to retry after a failure. Result: `Retry` or `Abandon` of `decisions`.

    `possibly_run` counts the tries that ran or may have run.
    """

    failure: Failure
    tries: int
    possibly_run: int


@dataclass(slots=True, frozen=True)
class CheckQuarantine:
    """Check, after a crash, whether the request is quarantined. Result: None or a `Refusal`."""


@dataclass(slots=True, frozen=True)
class AwaitPredecessor:
    """Wait for the program's previous call to end. Result: whether to try to open this call again.

    `tries` counts the attempts to open it so far.
    """

    tries: int


@dataclass(slots=True, frozen=True)
class ResetStream:
    """Discard the streamed chunks of the earlier attempt before a new one. Result: None."""


@dataclass(slots=True, frozen=True)
class RecordEvent:
    """Add an event to the timeline. Result: None."""

    kind: str
    fields: dict[str, object]


Effect = (
    Commit
    | QueryControl
    | TakeToken
    | CheckKey
    | AcquireSlot
    | ReleaseSlot
    | TryAcquireSlot
    | SendDispatch
    | AwaitEnd
    | Reattach
    | Acknowledge
    | Pause
    | FindServer
    | EntryInView
    | DecideRetry
    | CheckQuarantine
    | AwaitPredecessor
    | ResetStream
    | RecordEvent
)
