"""What the attempts of one call tell about the servers, for later choices and for operators."""

from __future__ import annotations

import structlog
from tarragonhall_decisions import BrokenRun, CallRequirements
from tarragonhall_model import BackendRecord

from tarragonhall_relay._admission import AdmittedCall
from tarragonhall_relay._attempt import MayHaveRun, NotRun
from tarragonhall_relay._call_slot import CallSlot
from tarragonhall_relay._response_body import ResponseBody
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)


class ServerRecords:
    """Records how the attempts of one call ended."""

    __slots__ = ("_call", "_slot", "_state")

    def __init__(self, state: RelayState, call: AdmittedCall, slot: CallSlot) -> None:
        self._state = state
        self._call = call
        self._slot = slot

    def call_ended(self, server: BackendRecord) -> None:
        """Record how long a plain call ran."""
        self._state.retry_budget.on_success()
        now = self._state.monotonic()
        run_ms = self._slot.held_ms(now)
        self._state.chooser.run_times(server.service).call_ended(
            server.server_id, self._call.route.name, run_ms, now
        )
        self._slot.times.on_answer(self._call.route.name, run_ms, now)

    def stream_ended(self, server: BackendRecord, events: int, generated_tokens: int) -> None:
        """Record how long a stream held its slot, and what it generated."""
        now = self._state.monotonic()
        run_ms = self._slot.held_ms(now)
        self._state.chooser.run_times(server.service).stream_ended(run_ms)
        self._slot.times.on_stream_end(run_ms, events, now)
        if self._state.chooser.memory.has_limit(server.service):
            self._state.expected_output.record(self._call.route.name, generated_tokens)

    def succeeded(self, server: BackendRecord, body: ResponseBody) -> None:
        """Record a whole response."""
        self._state.metrics.count("relay.whole_responses", labels=body.labels())
        requirements = CallRequirements(server.service, self._call.facts.parts)
        self._state.chooser.answered(server.server_id, requirements)
        now = self._state.monotonic()
        suspects = self._state.crash_suspects
        suspects.on_server_response(_start_of(server), self._slot.started_at)
        if suspects.on_response(self._call.fingerprint, now):
            self._state.report_cleared(self._call.fingerprint)

    def not_run(self, server: BackendRecord, outcome: NotRun) -> None:
        """Record that a server did not run the call."""
        if outcome.full:
            self._slot.note_response()
        self._slot.note_not_run(reachable=outcome.full)
        self._state.metrics.count("relay.not_run")
        log.info(
            "call.not_run",
            id=self._call.facts.attempt_id,
            server=server.server_id,
            reason=outcome.reason,
        )

    def failed(self, server: BackendRecord, failure: MayHaveRun) -> None:
        """Record that a server may have run the call and gave no whole response."""
        is_first = server.server_id not in self._slot.may_have_run_on
        self._slot.note_failure()
        if failure.timed_out:
            self._state.retry_budget.take()
        elif is_first and not failure.no_memory:
            # A server that broke off twice took the call again, so the call did not crash it.
            run = BrokenRun(_start_of(server), self._slot.started_at, self._state.monotonic())
            self._state.crash_suspects.on_broken_run(self._call.fingerprint, run)
            self._state.report_suspect(self._call.fingerprint, run)
        self._state.metrics.count("relay.may_have_run")
        body = failure.response_body
        self._state.metrics.count("relay.broken_responses", labels=body.labels())
        log.info(
            "call.may_have_run",
            id=self._call.facts.attempt_id,
            server=server.server_id,
            reason=failure.reason,
            framing=body.framing_name,
            body_bytes=body.size,
            body_end=body.end_name,
        )


def _start_of(server: BackendRecord) -> str:
    """Return a name of this start of the server; a server that crashed starts anew."""
    return f"{server.server_id}/{server.born_ms}"
