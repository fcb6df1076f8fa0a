"""Commits to the journal by a sidecar: ends that no entry acknowledged, and crashes."""

from __future__ import annotations

import secrets

import eventlet
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
from tarragonhall_wire import ControlClient, Metrics, UnavailableError, attempt

from tarragonhall_sidecar._events import CommitEnd

PROPOSE_TIMEOUT_SECONDS = 5.0
# A leader change takes a second or two; more frequent retries only load the new leader.
PROPOSE_RETRY_SECONDS = 0.5


class Committer:
    """Proposes commands until control commits them; a request id takes effect only once."""

    __slots__ = ("_control", "_incarnation", "_metrics", "stopped")

    def __init__(self, incarnation: str, control: ControlClient, metrics: Metrics) -> None:
        self._incarnation = incarnation
        self._control = control
        self._metrics = metrics
        self.stopped = False

    def commit_end(self, commit: CommitEnd) -> bool:
        """Commit an end to the journal; return False only if stopped before that."""
        self._metrics.count("sidecar.late_end")
        request_id = f"end-{self._incarnation}-{commit.end.attempt.key}"
        return self._propose_until_accepted(command_for(commit), request_id)

    def report_crash(self, report: ReportCrash) -> None:
        """Commit a crash to the journal; if control is unreachable, retry in the background.

        The caller may notify the entries in either case: without control they cannot record
        another attempt.
        """
        request_id = f"crash-{secrets.token_hex(8)}"
        if not attempt(self._propose, report, request_id):
            eventlet.spawn_n(self._propose_until_accepted, report, request_id)

    def _propose_until_accepted(self, command: object, request_id: str) -> bool:
        while not self.stopped:
            if attempt(self._propose, command, request_id):
                return True
            eventlet.sleep(PROPOSE_RETRY_SECONDS)
        return False

    def _propose(self, command: object, request_id: str) -> bool:
        try:
            self._control.propose(command, PROPOSE_TIMEOUT_SECONDS, request_id)
        except UnavailableError:
            self._metrics.count("sidecar.propose_failed")
            return False
        return True


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
    """Return the command that attributes a crash to all requests that were running."""
    fingerprints = [
        fingerprint(dispatch.org_id, dispatch.spec.target, dispatch.spec.body)
        for dispatch in dispatches
    ]
    attempts = [dispatch.attempt for dispatch in dispatches]
    return ReportCrash(server_id, incarnation, fingerprints, attempts)
