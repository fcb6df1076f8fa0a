"""Facts that the relay needs of calls and responses, independent of header names.

The relay itself knows only the standard HTTP headers. A `Dialect` translates a platform's headers
to these types and back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from tarragonhall_decisions import PromptPart
from tarragonhall_model import RelayConfig, RelayDocument

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, frozen=True)
class CallFacts:
    """Facts from the headers of a client's call. Times are milliseconds from its arrival.

    `attempt_id` is the client's id of this attempt. `max_tokens` limits what the call may
    generate, `token_budget` what its whole program may. `object_key` names what the call is about.
    A call with `last_event_id` asks for the rest of a stream behind that event.
    `prompt_tokens` is the stated length of the prompt, 0 if none is stated, and
    `expected_output_tokens` the client's estimate of the output.
    """

    attempt_id: str = ""
    deadline_ms: int | None = None
    key: str | None = None
    program_id: str = ""
    program_deadline_ms: int | None = None
    token_budget: int | None = None
    max_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    previous_turn: str | None = None
    object_key: str = ""
    last_event_id: int | None = None
    prompt_tokens: int = 0
    expected_output_tokens: int | None = None


@dataclass(slots=True, frozen=True)
class DispatchFacts:
    """Facts that the relay sends to the backend server in addition to the client's headers.

    With `last_event_id` the server is asked for the events behind it; None forwards what the client
    has sent.
    """

    org_id: str | None
    server_id: str
    deadline_ms: int
    urgency: int | None = None
    last_event_id: int | None = None


@dataclass(slots=True, frozen=True)
class ResponseFacts:
    """Facts from the headers of a backend server's response.

    `not_executed` states that the call did not run and will not. `signed` says that the response
    has the server's proof of origin. `attempt_id` repeats that of the call.
    """

    attempt_id: str | None
    not_executed: bool
    signed: bool
    keep_alive_s: float | None


class Dialect(Protocol):
    """Translates between a platform's headers and documents and the relay's types."""

    def read_call(self, headers: Headers) -> CallFacts:
        """Return the facts of a call; raise `InputError` with every invalid header."""

    def write_call(self, headers: Headers, dispatch: DispatchFacts) -> Headers:
        """Return the headers to send to the backend server."""

    def read_response(self, headers: Headers) -> ResponseFacts:
        """Return the facts of a backend server's response."""

    def read_config(self, document: RelayDocument) -> RelayConfig:
        """Decode a relay document, which was validated when it was published."""
