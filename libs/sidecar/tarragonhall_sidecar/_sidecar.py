"""The eventlet shell around the core of one backend server's sidecar."""

from __future__ import annotations

import collections
import itertools
import secrets

import eventlet
import structlog
from tarragonhall_model import (
    AttemptId,
    AttemptOutcome,
    EngineOrder,
    LinkError,
    LoadReport,
    NodeLoad,
    OrderDone,
    ServerKind,
    ServerRecord,
    ServerStops,
)
from tarragonhall_state import Follower
from tarragonhall_wire import ControlClient, Link, ProcessContext, repeat

from tarragonhall_sidecar._attempt import Identity, State
from tarragonhall_sidecar._backend import Backend
from tarragonhall_sidecar._commits import Committer, crash_report
from tarragonhall_sidecar._events import (
    CommitEnd,
    DrainChanged,
    EndCommitted,
    Input,
    MessageReceived,
    Output,
    PeerClosed,
    ProbeNow,
    ProgramEnded,
    Reply,
    RunFinished,
    Send,
    ServerCrashed,
    StartRun,
    StopRun,
    TextGenerated,
    Tick,
)
from tarragonhall_sidecar._execution import Execution
from tarragonhall_sidecar._memory import AttemptMemory
from tarragonhall_sidecar._order_handler import OrderHandler
from tarragonhall_sidecar._reconciler import Reconciler
from tarragonhall_sidecar._reports import MAX_HELD_PROGRAMS, ReportPacer
from tarragonhall_sidecar._settings import SidecarSettings

log = structlog.get_logger(__name__)

TICK_INTERVAL_SECONDS = 0.2
# Detects a dead server within a second or two, at one short connection a probe.
PROBE_INTERVAL_SECONDS = 1.0
# Runs that fail in the same crash lose their connections within this time of one another; the probe
# waits for it, so that the crash is attributed to all of them.
CRASH_PROBE_DELAY_SECONDS = 0.05
# The peer id of a link that closed while its last messages were being handled.
NO_PEER = 0
# Weight of one run in the exponential moving average of the time a token.
PACE_SMOOTHING = 0.2


class Sidecar:
    """Connects one backend server to the platform until stopped."""

    __slots__ = ("_backend", "_committer", "_context", "_control", "_execution", "_follower",
                 "_incarnation", "_leaving", "_link_by_peer", "_ms_per_token", "_order_handler",
                 "_outbox", "_outbox_wake", "_pacer", "_peer_by_link", "_peer_ids", "_reconciler",
                 "_run_by_key", "_settings", "_stopped")  # fmt: skip

    def __init__(
        self, settings: SidecarSettings, context: ProcessContext, control: ControlClient
    ) -> None:
        self._settings = settings
        self._context = context
        self._control = control
        self._incarnation = secrets.token_hex(8)
        self._backend = Backend(settings.server, settings.progress_ms / 1000)
        identity = Identity(settings.server_id, self._incarnation, settings.kind, settings.slots)
        self._execution = Execution(identity, set(settings.serves), AttemptMemory())
        self._follower = Follower(models_only=True)
        self._committer = Committer(self._incarnation, control, context.metrics)
        self._order_handler = OrderHandler(self._backend, self._follower, context, self._execution)
        self._reconciler: Reconciler | None = None
        if settings.kind is ServerKind.MODEL:
            self._reconciler = Reconciler(self._backend, control, context, self._execution)
        self._pacer = ReportPacer()
        self._peer_ids = itertools.count(1)
        self._peer_by_link: dict[Link, int] = {}
        self._link_by_peer: dict[int, Link] = {}
        self._outbox: collections.deque[Send] = collections.deque()
        self._outbox_wake = eventlet.semaphore.Semaphore(0)
        self._run_by_key: dict[str, tuple] = {}
        self._ms_per_token = 0.0
        self._leaving = False
        self._stopped = False

    def start(self) -> None:
        """Start to register, probe, report load and reconcile."""
        for action in (self._send_next, self._tick, self._probe_next):
            eventlet.spawn_n(repeat, action, lambda: not self._stopped)
        if self._reconciler is not None:
            eventlet.spawn_n(self._reconciler.run)
        self._read_loaded()
        self._control.follow(self.record, self._follower, self.load)

    def record(self) -> ServerRecord:
        """Return the record that this sidecar registers for its server."""
        return ServerRecord(
            server_id=self._settings.server_id,
            incarnation=self._incarnation,
            address=self._context.link_address,
            availability_zone=self._context.availability_zone,
            kind=self._settings.kind,
            serves=sorted(self._execution.serves),
            slots=self._settings.slots,
            draining=self._leaving,
            loaded=dict(self._order_handler.loaded),
        )

    def load(self) -> NodeLoad:
        """Return the server's load: its attempts in flight as a share of its slots."""
        running = self._execution.count(State.RUNNING, State.BROKEN, State.WAITING)
        return NodeLoad(busy_share=running / self._settings.slots)

    def ready(self) -> bool:
        """Return whether the server answers and this sidecar's view from control is fresh."""
        return self._execution.up and self._follower.is_fresh(self._context.monotonic())

    def request(self, link: Link, message: object) -> object:
        """Handle an entry's request and return the reply."""
        return self._handle(MessageReceived(self._peer_of(link), message))

    def one_way(self, link: Link, message: object) -> None:
        """Handle an entry's one-way message."""
        self._handle(MessageReceived(self._peer_of(link), message))

    def link_down(self, link: Link) -> None:
        """Drop the state of a closed link."""
        peer = self._peer_by_link.pop(link, None)
        if peer is not None:
            del self._link_by_peer[peer]
            self._handle(PeerClosed(peer))

    def stop_attempt(self, attempt: AttemptId) -> None:
        """Stop an attempt whose program was cancelled or has expired."""
        self._handle(ProgramEnded(attempt))

    def program_ended(self, program_id: str) -> None:
        """Release the program's memory now, and again until the engine no longer lists it."""
        if self._reconciler is not None:
            self._reconciler.program_ended(program_id)

    def execute_order(self, order: EngineOrder) -> OrderDone:
        """Execute an order on the engine; return the result, with the reason if it was refused."""
        return self._order_handler.execute(order)

    def leave(self, timeout_s: float) -> bool:
        """Reject new work and finish accepted work; return whether all of it ended in time."""
        self._leaving = True
        self._handle(DrainChanged(True))
        self._context.timeline.add("server.drain", server=self._settings.server_id)
        with eventlet.Timeout(timeout_s, False):
            # Includes ended attempts: their ends are not yet acknowledged or committed.
            while self._execution.count(*State):
                eventlet.sleep(TICK_INTERVAL_SECONDS)
            return True
        return False

    def announce_stop(self, timeout_s: float) -> None:
        """Tell the entries that the links are about to close; wait until they send no more.

        Dispatches are rejected until then. Entries of earlier releases do not know the message.
        """
        report = self._load_report()
        message = ServerStops(self._settings.server_id, self._incarnation)
        entries = {entry.entry_id for entry in self._follower.view.entries}
        links = [link for link in self._context.hub.accepted if link.peer.instance in entries]
        pool = eventlet.GreenPool()
        with eventlet.Timeout(timeout_s, False):
            for link in links:
                pool.spawn_n(self._announce_stop_on, link, report, message, timeout_s)
            pool.waitall()

    def _announce_stop_on(
        self, link: Link, report: LoadReport, message: ServerStops, timeout_s: float
    ) -> None:
        try:
            link.send(report)
            link.request(message, timeout_s)
        except LinkError as error:
            log.info("sidecar.stop_unheard", peer=link.peer.instance, error=str(error))

    def stop(self) -> None:
        """Stop everything immediately."""
        self._stopped = True
        self._committer.stopped = True
        if self._reconciler is not None:
            self._reconciler.stopped = True
        for run, _dispatch in list(self._run_by_key.values()):
            run.kill()

    # The core and its outputs.

    def _handle(self, event: Input) -> object:
        reply = None
        for output in self._execution.handle(event, self._context.monotonic()):
            if isinstance(output, Reply):
                reply = output.message
                continue
            self._perform(output)
        return reply

    def _perform(self, output: Output) -> None:
        match output:
            case Send():
                # Sent by another green thread, so that the reply to a dispatch precedes its end.
                self._outbox.append(output)
                self._outbox_wake.release()
            case StartRun(dispatch, seconds_left):
                run = eventlet.spawn(self._run, dispatch, seconds_left)
                self._run_by_key[dispatch.attempt.key] = (run, dispatch)
            case StopRun(key, abandon):
                self._stop_run(key, abandon)
            case ProbeNow():
                eventlet.spawn_after(CRASH_PROBE_DELAY_SECONDS, self._probe)
            case CommitEnd():
                eventlet.spawn_n(self._commit, output)
            case ServerCrashed():
                eventlet.spawn_n(self._report_crash, output)

    def _run(self, dispatch, seconds_left: float) -> None:
        key = dispatch.attempt.key
        program_id = dispatch.attempt.program_id
        self._context.timeline.add("attempt.start", program_id, attempt=key)
        started = self._context.monotonic()
        try:
            result = self._backend.run(
                dispatch, seconds_left, lambda text: self._handle(TextGenerated(key, text))
            )
        except Exception as error:  # noqa: BLE001 - every run must end, or its slot is lost
            log.exception("sidecar.run_failed", server=self._settings.server_id)
            result = RunFinished(
                key, AttemptOutcome.FAILED, detail=f"{type(error).__name__}: {error}"
            )
        finally:
            self._run_by_key.pop(key, None)
        seconds = self._context.monotonic() - started
        self._context.metrics.timing("sidecar.run_ms", seconds * 1000)
        outcome = getattr(result, "outcome", None)
        name = outcome.value if outcome else "broke"
        self._context.metrics.count(f"sidecar.end.{name}")
        self._context.timeline.add("attempt.end", program_id, attempt=key, outcome=name)
        if outcome is AttemptOutcome.ANSWERED:
            self._update_pace(seconds, result.answer.usage.generated)
        self._handle(result)

    def _stop_run(self, key: str, abandon: bool) -> None:
        run, dispatch = self._run_by_key.get(key, (None, None))
        if run is None:
            return
        if abandon:
            self._run_by_key.pop(key)
            run.kill()
            return
        self._backend.cancel_in_background(dispatch)

    def _update_pace(self, seconds: float, tokens: int) -> None:
        pace = seconds * 1000 / max(tokens, 1)
        if self._ms_per_token == 0.0:
            self._ms_per_token = pace
        self._ms_per_token += PACE_SMOOTHING * (pace - self._ms_per_token)

    def _commit(self, commit: CommitEnd) -> None:
        if self._committer.commit_end(commit):
            self._handle(EndCommitted(commit.end.attempt.key))

    def _report_crash(self, crash: ServerCrashed) -> None:
        server_id = self._settings.server_id
        attempts = len(crash.dispatches)
        log.warning("server.crashed", server=server_id, attempts=attempts)
        self._context.metrics.count("sidecar.crash")
        self._context.timeline.add("server.crash", server=server_id, attempts=attempts)
        report = crash_report(server_id, self._incarnation, crash.dispatches)
        self._committer.report_crash(report)
        for send in crash.sends:
            self._perform(send)

    # Loops.

    def _send_next(self) -> None:
        self._outbox_wake.acquire()
        if not self._outbox:
            return
        send = self._outbox.popleft()
        link = self._link_by_peer.get(send.peer)
        if link is None:
            return
        try:
            link.send(send.message)
        except LinkError:
            # Ends are stored until they are acknowledged, so nothing is lost with the link.
            self._context.metrics.count("sidecar.send_failed")

    def _tick(self) -> None:
        eventlet.sleep(TICK_INTERVAL_SECONDS)
        self._handle(Tick())
        self._handle(DrainChanged(self._leaving or self._is_drain_requested()))
        self._report_load()

    def _probe_next(self) -> None:
        self._probe()
        eventlet.sleep(PROBE_INTERVAL_SECONDS)
        self._read_loaded()

    def _read_loaded(self) -> None:
        if self._settings.kind is ServerKind.MODEL:
            self._order_handler.read_loaded()

    def _probe(self) -> None:
        was_up = self._execution.up
        self._handle(self._backend.probe())
        if self._execution.up != was_up:
            kind = "server.up" if self._execution.up else "server.down"
            log.info(kind, server=self._settings.server_id)
            self._context.timeline.add(kind, server=self._settings.server_id)

    def _is_drain_requested(self) -> bool:
        for server in self._follower.view.servers:
            if server.server_id == self._settings.server_id:
                return server.draining
        return False

    def _report_load(self) -> None:
        entries = {entry.entry_id for entry in self._follower.view.entries}
        accepted = [link for link in self._context.hub.accepted if not link.closed]
        links = [link for link in accepted if link.peer.instance in entries]
        peers = frozenset(self._peer_of(link) for link in links)
        report = self._load_report()
        if not self._pacer.due(report, peers, self._context.monotonic()):
            return
        for peer in peers:
            self._perform(Send(peer, report))

    def _load_report(self) -> LoadReport:
        held = self._reconciler.held() if self._reconciler is not None else []
        return LoadReport(
            server_id=self._settings.server_id,
            incarnation=self._incarnation,
            running=self._execution.count(State.RUNNING, State.BROKEN),
            waiting=self._execution.count(State.WAITING),
            slots=self._settings.slots,
            ms_per_token=round(self._ms_per_token, 1),
            healthy=self._execution.up,
            draining=self._execution.draining,
            held_programs=tuple(held[:MAX_HELD_PROGRAMS]),
        )

    def _peer_of(self, link: Link) -> int:
        if link.closed:
            # `link_down` was called already, so a new table entry would never be removed.
            return NO_PEER
        peer = self._peer_by_link.get(link)
        if peer is None:
            peer = next(self._peer_ids)
            self._peer_by_link[link] = peer
            self._link_by_peer[peer] = link
        return peer
