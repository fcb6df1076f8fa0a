"""What a sidecar itself puts in the journal: ends that no entry acknowledged, and crashes."""

from __future__ import annotations

from tarragonhall_model import (
    AttemptOutcome,
    CloseCall,
    Dispatch,
    DisproveAttempt,
    Execution,
    Refusal,
    RefusalCode,
    ReportCrash,
    fingerprint,
)

from tarragonhall_sidecar._events import CommitEnd


def command_for(commit: CommitEnd) -> CloseCall | DisproveAttempt:
    """Return the command that records an unacknowledged end."""
    end = commit.end
    match end.outcome:
        case AttemptOutcome.ANSWERED:
            return CloseCall(end.attempt, answer=end.answer)
        case AttemptOutcome.NOT_RUN:
            return DisproveAttempt(end.attempt)
    refusal = Refusal(RefusalCode.SERVER_FAILED, end.detail, Execution.UNKNOWN)
    return CloseCall(end.attempt, refusal=refusal)


def crash_report(server_id: str, incarnation: str, dispatches: tuple[Dispatch, ...]) -> ReportCrash:
    """Return the command that charges a crash to the requests that ran together."""
    fingerprints = [
        fingerprint(dispatch.org_id, dispatch.spec.target, dispatch.spec.body)
        for dispatch in dispatches
    ]
    attempts = [dispatch.attempt for dispatch in dispatches]
    return ReportCrash(server_id, incarnation, fingerprints, attempts)
