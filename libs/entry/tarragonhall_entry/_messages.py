"""The messages that the flow of a call sends."""

from __future__ import annotations

from tarragonhall_model import AttemptId, CallKind, CallOpened, Dispatch

from tarragonhall_entry._effects import Call


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
    )
