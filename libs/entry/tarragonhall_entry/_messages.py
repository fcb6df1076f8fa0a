"""Builds the messages, slot requests and refusals of a call's flow."""

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
    """Return the id of an attempt on this incarnation of a server."""
    return AttemptId(call.program_id, call.spec.seq, number, server.server_id, server.incarnation)


def make_dispatch(call: Call, opened: CallOpened, attempt: AttemptId) -> Dispatch:
    """Return the dispatch of an attempt; the dispatcher sets `deadline_ms` when it sends it.

    It does not contain the caller's key, so that no backend server ever receives one.
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


def slot_request(call: Call, opened: CallOpened) -> tuple[bool, str | None, int, int]:
    """Return the first four fields of `AcquireSlot`, from the program's state in the journal."""
    attained = sum(tokens_in(turn.answer) for turn in opened.history)
    history = 0
    if call.spec.kind is CallKind.MODEL:
        prompts = sum(tokens_in(turn.prompt) for turn in opened.history)
        history = prompts + attained
    return call.spec.seq > 1, opened.prefix_server, history, attained


def with_unknown_execution(refusal: Refusal) -> Refusal:
    """Return a refusal that does not claim that the call did not run."""
    return replace(refusal, execution=Execution.UNKNOWN)


def unavailable_refusal(reason: str) -> Refusal:
    """Return the refusal for a commit whose outcome is unknown."""
    return Refusal(
        RefusalCode.UNAVAILABLE,
        f"the journal did not reply ({reason}); retry with the same seq",
        Execution.UNKNOWN,
        UNAVAILABLE_RETRY_MS,
    )
