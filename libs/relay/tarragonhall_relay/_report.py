"""The report on one call at its end: a log line, a counter and durations."""

from __future__ import annotations

import structlog

from tarragonhall_relay._admission import AdmittedCall
from tarragonhall_relay._response_body import ResponseBody
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)

# Steps with a histogram: the turn is reserved, the first event has arrived from the server.
HISTOGRAM_STEPS = ("ready_ms", "first_ms")


class CallReport:
    """Collects the times of the steps of one call and logs them at its end."""

    __slots__ = (
        "_arrived_at",
        "_config_age_ms",
        "_config_version",
        "_ms_by_step",
        "_state",
        "attempts",
        "events",
        "response_body",
        "server_id",
    )

    def __init__(self, state: RelayState, arrived_at: float) -> None:
        self._state = state
        self._arrived_at = arrived_at
        self._ms_by_step: dict[str, float] = {}
        self._config_version: int | None = None
        self._config_age_ms: float | None = None
        self.attempts = 0
        self.events = 0
        self.server_id: str | None = None
        # The body of the last server's response.
        self.response_body = ResponseBody()

    def record_config(self) -> None:
        """Record the version of the configuration by which the call is admitted or refused."""
        table = self._state.table
        self._config_version = table.config.version if table is not None else None
        age_s = self._state.config_age_s()
        self._config_age_ms = round(age_s * 1000, 1) if age_s is not None else None

    def step(self, name: str) -> None:
        """Record that a step was reached now, in milliseconds since the arrival."""
        self._ms_by_step[name] = round(self._elapsed_ms(), 1)

    def end(
        self,
        call: AdmittedCall | None,
        status: int | None,
        reason: str,
        retry_after_s: float | None = None,
        attempt_id: str | None = None,
    ) -> None:
        """Report how the call ended; `status` is None for a response that broke off.

        `attempt_id` names a call that was not admitted.
        """
        total_ms = self._elapsed_ms()
        outcome = (("status", str(status) if status is not None else "broken"),)
        self._state.metrics.count("relay.calls", labels=outcome)
        self._state.metrics.timing("relay.call_ms", total_ms)
        for name in HISTOGRAM_STEPS:
            if name in self._ms_by_step:
                self._state.metrics.timing(f"relay.{name}", self._ms_by_step[name])
        left_ms = _program_left_ms(call, total_ms)
        if left_ms is not None:
            late = (("late", "yes" if left_ms < 0.0 else "no"), *outcome)
            self._state.metrics.count("relay.program_calls", labels=late)
        log.info(
            "call.end",
            id=call.facts.attempt_id if call is not None else attempt_id,
            program=call.facts.program_id if call is not None else None,
            starts_program=call.starts_program if call is not None else None,
            program_left_ms=left_ms,
            route=call.route.name if call is not None else None,
            organisation=call.org_id if call is not None else None,
            status=status,
            reason=reason,
            retry_after_s=retry_after_s,
            config_version=self._config_version,
            config_age_ms=self._config_age_ms,
            server=self.server_id,
            attempts=self.attempts,
            events=self.events,
            framing=self.response_body.framing_name,
            body_bytes=self.response_body.size,
            body_end=self.response_body.end_name,
            ms=round(total_ms, 1),
            **self._ms_by_step,
        )

    def _elapsed_ms(self) -> float:
        return (self._state.monotonic() - self._arrived_at) * 1000


def _program_left_ms(call: AdmittedCall | None, elapsed_ms: float) -> float | None:
    """Return the time until the call's program should end, negative if it is late."""
    if call is None or call.facts.program_deadline_ms is None:
        return None
    return round(call.facts.program_deadline_ms - elapsed_ms, 1)
