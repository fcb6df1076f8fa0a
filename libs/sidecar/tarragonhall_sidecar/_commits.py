"""What a sidecar itself puts in the journal: ends that no entry acknowledged, and crashes."""

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
from tarragonhall_wire import ControlClient, Metrics, UnavailableError

from tarragonhall_sidecar._events import CommitEnd

PROPOSE_SECONDS = 5.0
# A leader change takes a second or two; asking more often only loads the new one.
PROPOSE_AGAIN_SECONDS = 0.5


class Committer:
    """Proposes until control has it; a resend under the same request id takes effect once."""

    __slots__ = ("_control", "_incarnation", "_metrics", "stopped")

    def __init__(self, incarnation: str, control: ControlClient, metrics: Metrics) -> None:
        self._incarnation = incarnation
        self._control = control
        self._metrics = metrics
        self.stopped = False

    def commit_end(self, commit: CommitEnd) -> bool:
        """Put an end in the journal; return whether it is there."""
        self._metrics.count("sidecar.late_end")
        request_id = f"end-{self._incarnation}-{commit.end.attempt.key}"
        return self._until_done(command_for(commit), request_id)

    def report_crash(self, report: ReportCrash) -> None:
        """Put a crash in the journal; without control, go on trying in the background.

        The entries are then told all the same: they cannot record a further attempt without control
        either.
        """
        request_id = f"crash-{secrets.token_hex(8)}"
        if not self._propose(report, request_id):
            eventlet.spawn_n(self._until_done, report, request_id)

    def _until_done(self, command: object, request_id: str) -> bool:
        while not self.stopped:
            if self._propose(command, request_id):
                return True
            eventlet.sleep(PROPOSE_AGAIN_SECONDS)
        return False

    def _propose(self, command: object, request_id: str) -> bool:
        try:
            self._control.propose(command, PROPOSE_SECONDS, request_id)
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
    """Return the command that charges a crash to the requests that ran together."""
    fingerprints = [
        fingerprint(dispatch.org_id, dispatch.spec.target, dispatch.spec.body)
        for dispatch in dispatches
    ]
    attempts = [dispatch.attempt for dispatch in dispatches]
    return ReportCrash(server_id, incarnation, fingerprints, attempts)
