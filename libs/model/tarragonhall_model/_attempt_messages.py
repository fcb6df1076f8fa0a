"""Messages to and from sidecars: attempts, load, and orders to engines.

A link carries these records both ways. A request and its reply are matched by the link itself, so
the records carry no correlation ids. What a handler returns for a request is the reply.
"""

from __future__ import annotations

import enum

from tarragonhall_model._calls import Answer, AttemptId, CallSpec, Turn
from tarragonhall_model._codec import record


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
