"""The HTTP responses and JSON of refusals, answers and programs."""

from __future__ import annotations

import math

from tarragonhall_model import (
    Answer,
    CallClosed,
    CallSummary,
    Finding,
    InputError,
    ProgramInfo,
    ProgramReport,
    Refusal,
    RefusalCode,
)
from tarragonhall_wire import HttpResponse, sse_event

from tarragonhall_entry._authentication import RefusedError

STATUS_BY_CODE = {
    RefusalCode.BAD_INPUT: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.CONFLICT: 409,
    RefusalCode.PROGRAM_ENDED: 410,
    RefusalCode.BUDGET_EXHAUSTED: 403,
    RefusalCode.RATE_EXCEEDED: 429,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.DEADLINE: 504,
    RefusalCode.QUARANTINED: 422,
    RefusalCode.NO_SERVER: 503,
    RefusalCode.STALE: 503,
    RefusalCode.SERVER_FAILED: 502,
    RefusalCode.CANCELLED: 409,
    RefusalCode.SHUTTING_DOWN: 503,
    RefusalCode.UNAVAILABLE: 503,
}


def refusal_json(refusal: Refusal, findings: list[Finding] | None = None) -> dict:
    """Return a refusal as JSON."""
    value = {
        "error": refusal.code.value,
        "message": refusal.message,
        "execution": refusal.execution.value,
        "retry_after_ms": refusal.retry_after_ms,
    }
    if findings:
        value["findings"] = [{"place": f.place, "message": f.message} for f in findings]
    return value


def refusal_response(refusal: Refusal, findings: list[Finding] | None = None) -> HttpResponse:
    """Return the response for a refusal."""
    headers = {}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_ms / 1000))
    return HttpResponse(
        STATUS_BY_CODE[refusal.code], refusal_json(refusal, findings), headers=headers
    )


def error_response(error: Exception) -> HttpResponse | None:
    """Return the response for an `InputError` or `RefusedError`, or None for any other error."""
    match error:
        case InputError(findings=findings):
            refusal = Refusal(RefusalCode.BAD_INPUT, "the request is malformed")
            return refusal_response(refusal, findings)
        case RefusedError(refusal=refusal):
            return refusal_response(refusal)
    return None


def answer_json(answer: Answer) -> dict:
    """Return an answer as JSON."""
    return {
        "text": answer.text,
        "status": answer.status,
        "usage": {
            "prompt": answer.usage.prompt,
            "cached": answer.usage.cached,
            "generated": answer.usage.generated,
        },
    }


def call_json(program_id: str, seq: int, answer: Answer) -> dict:
    """Return an answered call as JSON."""
    return {"program_id": program_id, "seq": seq, "answer": answer_json(answer)}


def closed_response(program_id: str, seq: int, closed: CallClosed) -> HttpResponse:
    """Return the non-streamed response for a call that has ended."""
    if closed.answer is not None:
        return HttpResponse(200, call_json(program_id, seq, closed.answer))
    return refusal_response(closed.refusal)


def terminal_event(program_id: str, seq: int, closed: CallClosed) -> bytes:
    """Return the event that ends a stream."""
    if closed.answer is not None:
        return sse_event("answer", call_json(program_id, seq, closed.answer))
    return sse_event("refusal", refusal_json(closed.refusal))


def program_json(info: ProgramInfo) -> dict:
    """Return a program as JSON."""
    budget, spent = info.budget, info.spent
    return {
        "program_id": info.program_id,
        "root_id": info.root_id,
        "parent": info.parent,
        "status": info.status.value,
        "labels": info.labels,
        "next_seq": info.next_seq,
        "opened_at_ms": info.opened_at_ms,
        "budget": {"tokens": budget.tokens, "calls": budget.calls, "seconds": budget.seconds},
        "spent": {"tokens": spent.tokens, "calls": spent.calls},
        "reserved": {"tokens": spent.reserved_tokens, "calls": spent.reserved_calls},
        "left": {
            "tokens": budget.tokens - spent.tokens - spent.reserved_tokens,
            "calls": budget.calls - spent.calls - spent.reserved_calls,
        },
    }


def report_json(report: ProgramReport) -> dict:
    """Return a program with its closed calls as JSON."""
    return program_json(report.info) | {"calls": [_summary_json(call) for call in report.calls]}


def _summary_json(call: CallSummary) -> dict:
    value = {"seq": call.seq, "kind": call.kind.value, "target": call.target, "body": call.body}
    if call.answer is not None:
        value["answer"] = answer_json(call.answer)
    if call.refusal is not None:
        value["refusal"] = refusal_json(call.refusal)
    return value
