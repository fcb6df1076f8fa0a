"""What the relay needs to know of a call or an answer, whatever the platform calls it.

The relay itself knows no header names but HTTP's own. A `Dialect` reads a platform's headers into
these types and writes them back; everything between is the relay's.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from tarragonhall_decisions import PromptPart
from tarragonhall_model import RelayConfig, RelayDocument

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, frozen=True)
class CallFacts:
    """What a client's headers say of its call. Times are milliseconds from the arrival on.

    `attempt_id` is the client's name for this one try. `most_tokens` bounds what the call may
    generate, `token_budget` what its whole program may. `object_key` names what it is about.
    """

    attempt_id: str = ""
    deadline_ms: int | None = None
    key: str | None = None
    program_id: str = ""
    program_deadline_ms: int | None = None
    token_budget: int | None = None
    most_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    previous_turn: str | None = None
    object_key: str = ""


@dataclass(slots=True, frozen=True)
class DispatchFacts:
    """What the relay tells the backend server besides the client's own headers."""

    org_id: str | None
    server_id: str
    deadline_ms: int
    urgency: int | None = None


@dataclass(slots=True, frozen=True)
class AnswerFacts:
    """What a backend server's headers say of its answer.

    `not_executed` is its promise that the call did not run and will not. `signed` says that the
    answer bears the server's proof of origin. `attempt_id` echoes the call that it answers.
    """

    attempt_id: str | None
    not_executed: bool
    signed: bool
    keep_alive_s: float | None


class Dialect(Protocol):
    """Translates between a platform's wire and the relay's types."""

    def read_call(self, headers: Headers) -> CallFacts:
        """Return what the headers say; raise `InputError` with every finding."""

    def write_call(self, headers: Headers, dispatch: DispatchFacts) -> Headers:
        """Return the client's headers as the backend server is to see them."""

    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Return what a backend server's headers say."""

    def read_config(self, document: RelayDocument) -> RelayConfig:
        """Decode a document that was checked when it was published."""
