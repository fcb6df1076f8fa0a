"""What one call on a resumable route needs to go on at a server after a broken stream."""

from __future__ import annotations

import structlog
from tarragonhall_decisions import (
    BreakCause,
    BrokenStream,
    NextStep,
    after_break,
    first_event_silence,
    gap_silence,
)
from tarragonhall_model import BackendRecord

from tarragonhall_relay._admission import AdmittedCall
from tarragonhall_relay._attempt import MayHaveRun
from tarragonhall_relay._silence import SilenceWatch
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._stream_relay import StreamRelay

log = structlog.get_logger(__name__)


class CallResumption:
    """The servers that ran a call, those of them that are gone, and why the last one broke off."""

    __slots__ = ("_broken", "_call", "_gone", "_ran_on", "_runs", "_state", "_stream")

    def __init__(self, state: RelayState, call: AdmittedCall, stream: StreamRelay) -> None:
        self._state = state
        self._call = call
        self._stream = stream
        self._ran_on: set[str] = set()
        self._gone: set[str] = set()
        self._runs = 0
        self._broken: tuple[str, BreakCause] | None = None
        if call.facts.last_event_id is not None:
            stream.expect_after(call.facts.last_event_id)

    def watch_head(self, server: BackendRecord) -> SilenceWatch:
        """Return the watch over a server that has not begun to respond."""
        return SilenceWatch(
            self._state.server_checks,
            server,
            first_event_silence(self._call.route.objective_ms),
            lambda: server.server_id in self._state.chooser.unresponsive.costs(self._now()),
        )

    def watch_events(self, server: BackendRecord) -> SilenceWatch:
        """Return the watch over a server in the middle of its stream."""
        servers = len((self._ran_on | {server.server_id}) - self._gone)
        may_move = servers < self._call.route.max_attempts
        restart_s = self._state.chooser.unresponsive.mean_answer_s(server.service)
        limits = gap_silence(self._call.route.gap_objective_ms, may_move, restart_s)
        return SilenceWatch(self._state.server_checks, server, limits)

    def begun(self, server: BackendRecord) -> None:
        """Record that a server has begun to send the stream, or its rest."""
        if self._broken is None:
            return
        (from_server, cause), self._broken = self._broken, None
        self._state.metrics.count("relay.resumed", labels=(("reason", cause.value),))
        log.info(
            "call.resumed",
            id=self._call.facts.attempt_id,
            from_server=from_server,
            server=server.server_id,
            after_event=self._stream.last_event_id,
            reason=cause.value,
        )

    def after_break(self, server: BackendRecord, failure: MayHaveRun) -> NextStep:
        """Return how the call goes on after a server that ran it broke off."""
        self._runs += 1
        self._ran_on.add(server.server_id)
        self._broken = (server.server_id, failure.cause)
        if failure.server_gone:
            self._gone.add(server.server_id)
        step = after_break(self._broken_stream(failure.server_gone))
        if step is not NextStep.CHECK_SERVER:
            return step
        if self._is_healthy(server):
            return NextStep.END
        self._gone.add(server.server_id)
        return after_break(self._broken_stream(server_gone=True))

    def _broken_stream(self, server_gone: bool) -> BrokenStream:
        now = self._now()
        return BrokenStream(
            runs=self._runs,
            servers=len(self._ran_on - self._gone),
            max_servers=self._call.route.max_attempts,
            server_gone=server_gone,
            resumable=self._stream.is_resumable,
            suspect=self._state.crash_suspects.is_quarantined(self._call.fingerprint, now),
            left_s=self._call.deadline.at - now,
        )

    def _is_healthy(self, server: BackendRecord) -> bool:
        """Return whether a server passes its health check, or has none."""
        service = self._state.table.service_by_name.get(server.service)
        if service is None or not service.health_path:
            return True
        return self._state.server_checks.is_healthy(server, service.health_path)

    def is_in_service(self, server: BackendRecord) -> bool:
        """Return whether a server may get calls; one that leaves takes none before it ends."""
        return server.server_id in self._state.chooser.known.by_id

    def on_gone(self, server: BackendRecord) -> None:
        """Record that a server refused a connection, lost its address to another one, or leaves."""
        self._gone.add(server.server_id)

    def _now(self) -> float:
        return self._state.monotonic()
