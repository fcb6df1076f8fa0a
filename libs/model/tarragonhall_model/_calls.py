"""The calls of a program, their answers and refusals, and program budgets."""

from __future__ import annotations

import enum

from tarragonhall_model._codec import record


class CallKind(enum.Enum):
    """Whether a call goes to a model engine or to a plain service."""

    MODEL = "model"
    SERVICE = "service"


class Execution(enum.Enum):
    """Whether a refused call ran, as far as known."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class RefusalCode(enum.Enum):
    """Why a call or request was refused; callers match on these values."""

    BAD_INPUT = "bad_input"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    PROGRAM_ENDED = "program_ended"
    BUDGET_EXHAUSTED = "budget_exhausted"
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    NO_SERVER = "no_server"
    STALE = "stale"
    SERVER_FAILED = "server_failed"
    CANCELLED = "cancelled"
    SHUTTING_DOWN = "shutting_down"
    UNAVAILABLE = "unavailable"
    TOO_LARGE = "too_large"


@record
class Refusal:
    """Why a call or request was refused, and whether it may have run nevertheless."""

    code: RefusalCode
    message: str
    execution: Execution = Execution.NOT_RUN
    retry_after_ms: int | None = None


@record
class CallSpec:
    """One call as its caller specified it.

    `body` is the prompt of a model call or the JSON text of a service call. `target` names a model
    or a service. `timeout_ms` starts when the call arrives at an entry.
    """

    seq: int
    kind: CallKind
    target: str
    body: str
    repeatable: bool = True
    max_tokens: int = 0
    timeout_ms: int = 60_000
    stream: bool = False


@record
class Usage:
    """Tokens of one call: `prompt` includes `cached`, the part found in a prefix cache."""

    prompt: int = 0
    cached: int = 0
    generated: int = 0


@record
class Answer:
    """The complete answer of a backend server to a call; `status` is a service's HTTP status."""

    text: str
    usage: Usage = Usage()
    status: int = 200


@record
class Turn:
    """One finished model call in a program's history."""

    prompt: str
    answer: str


@record
class Budget:
    """The limits that a program shares with its sub-agents.

    `tokens` limits generated tokens, `calls` the calls dispatched, and `seconds` the wall time
    since the root program was opened.
    """

    tokens: int = 100_000
    calls: int = 200
    seconds: int = 3_600


@record
class Spent:
    """The part of a budget that is used (`tokens`, `calls`) or reserved by open calls."""

    tokens: int = 0
    calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0


class ProgramStatus(enum.Enum):
    """The state of a program; all states but `OPEN` are final."""

    OPEN = "open"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


@record
class AttemptId:
    """Identifies one attempt to run a call on one incarnation of a backend server.

    `incarnation` changes each time the sidecar of that server starts: a new incarnation has no
    record of earlier attempts and must not run them.
    """

    program_id: str
    seq: int
    number: int
    server_id: str
    incarnation: str

    @property
    def key(self) -> str:
        """Return the text form used as a map key and in the engine protocol."""
        return f"{self.program_id}/{self.seq}/{self.number}"
