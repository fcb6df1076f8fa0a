"""The messages, wishes and refusals that the flow of a call makes."""

from __future__ import annotations

from dataclasses import replace

from tarragonhall_model import (
    AttemptId,
    CallKind,
    CallOpened,
    Dispatch,
    Execution,
    Refusal,
    RefusalCode,
    ServerRecord,
)

from tarragonhall_entry._effects import Call
from tarragonhall_entry._scheduler import tokens_in

UNAVAILABLE_RETRY_MS = 1_000


def next_attempt(call: Call, number: int, server: ServerRecord) -> AttemptId:
    """Return the id of an attempt on this life of a server."""
    return AttemptId(call.program_id, call.spec.seq, number, server.server_id, server.incarnation)


def make_dispatch(call: Call, opened: CallOpened, attempt: AttemptId) -> Dispatch:
    """Return the dispatch of an attempt; the shell fills in the time that is left when it sends.

    The caller's key is no part of it: no backend server ever sees a key.
    """
    history = opened.history if call.spec.kind is CallKind.MODEL else []
    return Dispatch(
        attempt=attempt,
        org_id=call.org_id,
        spec=call.spec,
        history=history,
        priority=0,
        deadline_ms=call.spec.timeout_ms,
        model_version=call.model_version,
    )


def turn_wish(call: Call, opened: CallOpened) -> tuple[bool, str | None, int, int]:
    """Return the first fields of `WaitTurn`, from what the journal knows of the program."""
    attained = sum(tokens_in(turn.answer) for turn in opened.history)
    history = 0
    if call.spec.kind is CallKind.MODEL:
        prompts = sum(tokens_in(turn.prompt) for turn in opened.history)
        history = prompts + attained
    return call.spec.seq > 1, opened.prefix_server, history, attained


def unknown(refusal: Refusal) -> Refusal:
    """Return a refusal that does not claim that the call did not run."""
    return replace(refusal, execution=Execution.UNKNOWN)


def unavailable(reason: str) -> Refusal:
    """Return the refusal for a commit whose outcome is unknown."""
    return Refusal(
        RefusalCode.UNAVAILABLE,
        f"the journal did not answer ({reason}); send the same seq again",
        Execution.UNKNOWN,
        UNAVAILABLE_RETRY_MS,
    )
