"""Measures calls at servers of uneven services, and tells the others and the operators the pace."""

from __future__ import annotations

import structlog
from tarragonhall_decisions import BackendChooser, CallRequirements, ServerPaces, UnevenChoice
from tarragonhall_model import BackendRecord, LoadDetail
from tarragonhall_wire import Metrics

log = structlog.get_logger(__name__)

# Events from which the mean time between them tells about the server and not about one pause.
MIN_EVENTS = 4


class ServerTimes:
    """The times of one call at the server that it was sent to, in milliseconds since then."""

    __slots__ = ("_chooser", "_first_ms", "_running", "_server", "_unread_tokens")

    def __init__(self, chooser: BackendChooser) -> None:
        self._chooser = chooser
        self._server: BackendRecord | None = None
        self._unread_tokens = 0
        self._running = 0
        self._first_ms = 0.0

    def on_granted(self, server: BackendRecord, requirements: CallRequirements) -> None:
        """Record that the call goes to a server; earlier ones of this call no longer count."""
        self._server = None
        if not self._chooser.uneven.covers(server.service):
            return
        self._server = server
        self._unread_tokens = self._chooser.unread_tokens(server.server_id, requirements)
        self._running = self._chooser.running(server.server_id)

    def on_first_event(self, first_ms: float, now: float) -> None:
        """Record that the first event of a stream has arrived."""
        if self._server is None:
            return
        self._first_ms = first_ms
        server = self._server
        self._paces.on_first_event(
            server.service, server.server_id, self._unread_tokens, self._running, first_ms, now
        )

    def on_stream_end(self, whole_ms: float, events: int, now: float) -> None:
        """Record that a stream has ended after a number of events."""
        if self._server is None or events < MIN_EVENTS:
            return
        gap_ms = (whole_ms - self._first_ms) / (events - 1)
        server = self._server
        self._paces.on_gap(server.service, server.server_id, self._running, gap_ms, now)

    def on_answer(self, kind: str, run_ms: float, now: float) -> None:
        """Record that a plain call has been answered."""
        if self._server is None:
            return
        server = self._server
        self._paces.on_plain_call(server.service, server.server_id, kind, run_ms, now)

    @property
    def _paces(self) -> ServerPaces:
        return self._chooser.uneven.paces


class PaceReporter:
    """Tells pace and capacity to the other entries, and changes of pace to the operators."""

    __slots__ = ("_metrics", "_uneven")

    def __init__(self, uneven: UnevenChoice, metrics: Metrics) -> None:
        self._uneven = uneven
        self._metrics = metrics

    def report_load(self, detail: LoadDetail, now: float) -> None:
        """Add the sums of the samples of this entry, and log servers whose pace has changed."""
        self._uneven.report_load(detail, now)
        for reason, calls in self._uneven.left_zone.items():
            self._metrics.count("relay.left_zone", calls, (("reason", reason),))
        self._uneven.left_zone.clear()
        paces = self._uneven.paces
        known = [paces.pace(one) for one in detail.pace_weight_by_server]
        if known:
            self._metrics.gauge("relay.pace_lowest", min(known))
            self._metrics.gauge("relay.pace_highest", max(known))
        for server_id, before, pace in paces.changes(now):
            self._metrics.count("relay.pace_changed")
            log.info(
                "server.pace_changed",
                server=server_id,
                before=round(before, 2),
                pace=round(pace, 2),
            )
