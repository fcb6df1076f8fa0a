"""Messages to and from sidecars: attempts, load reports and engine orders.

A link carries these records both ways. The link matches each reply to its request, so the records
carry no correlation ids. The value that a handler returns for a request is the reply.
"""

from __future__ import annotations

import enum

from tarragonhall_model._calls import Answer, AttemptId, CallSpec, Turn
from tarragonhall_model._codec import record


@record
class Dispatch:
    """Run an attempt. Reply: `Accepted` or `Rejected`; then `Chunk`s and one `AttemptEnded`.

    `history` holds the program's earlier model turns (empty for services). A lower `priority` is
    more urgent. `deadline_ms` is the time remaining when the message was sent.
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
    """The attempt is running or queued, or has ended and its `AttemptEnded` is sent again."""


class RejectReason(enum.Enum):
    """Why a sidecar rejected an attempt. A rejected attempt will not run from now on.

    All reasons but `INCARNATION` also prove that it never ran. `INCARNATION` means that the attempt
    belongs to another incarnation of the sidecar, or that this incarnation no longer has a record
    of it: an earlier message may have started it. Only a sender that recorded the attempt itself
    and has sent its one `Dispatch` may treat it as not run; after a resend or an `Attach`, whether
    it ran is unknown.
    """

    TOMBSTONE = "tombstone"
    INCARNATION = "incarnation"
    DRAINING = "draining"
    FULL = "full"
    NOT_SERVED = "not_served"
    SERVER_DOWN = "server_down"


@record
class Rejected:
    """The attempt will never run here; `RejectReason` says whether it may have run before."""

    reason: RejectReason


@record
class Chunk:
    """One part of a streamed answer. `index` starts at 0; a gap means that a part was lost."""

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
    """The outcome of an attempt. Only `NOT_RUN` proves that the backend server never received it.

    The sidecar stores it until `AttemptAck`. It commits outcomes that stay unacknowledged itself,
    as late answers.
    """

    attempt: AttemptId
    outcome: AttemptOutcome
    answer: Answer | None = None
    detail: str = ""


@record
class AttemptAck:
    """The outcome of the attempt is committed; the sidecar may delete the answer."""

    attempt: AttemptId


@record
class Attach:
    """Subscribe to the chunks and outcome of an attempt that another entry dispatched.

    Reply: `Accepted` if the attempt is known; otherwise the sidecar writes a tombstone, so that the
    attempt can never run, and replies `Rejected`.
    """

    attempt: AttemptId


@record
class CancelAttempt:
    """Stop an attempt if possible. Reply: `Accepted` (`AttemptEnded` follows) or `Rejected`
    (it never ran and never will).
    """

    attempt: AttemptId


@record
class ReleaseProgram:
    """The program has ended: free its engine state and stop the attempts listed in `stop`."""

    program_id: str
    stop: tuple[AttemptId, ...] = ()


@record
class LoadReport:
    """Pushed by a sidecar several times a second while its load changes.

    `running` and `waiting` count attempts; `slots` is how many the server runs at once.
    `held_programs` lists the programs whose prefix the engine reports as cached, most recent first,
    up to a limit. `ms_per_token` is a recent mean; `engine_age_ms` is the age of the engine's own
    report.
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


@record
class ServerStops:
    """The sidecar of a drained server is about to close its links. Reply: `NoMoreDispatches`."""

    server_id: str
    incarnation: str


@record
class NoMoreDispatches:
    """Every dispatch to the server was answered, and the sender sends it no more."""


@record
class EngineOrder:
    """Change the models loaded by an engine, or its role. Reply: `OrderDone`.

    `fencing` is the leader's fencing token; the sidecar, and engines that check it, reject tokens
    below the highest seen. `action` is `load_model`, `load_adapter`, `unload` or `role`.
    `server_id` may be empty if the process has only one backend server.
    """

    order_id: str
    fencing: int
    action: str
    model: str
    version: str
    server_id: str = ""


@record
class OrderDone:
    """The outcome of an engine order."""

    order_id: str
    done: bool
    detail: str = ""
