"""Run the roles of one process from start to graceful stop."""

from __future__ import annotations

import signal
from pathlib import Path

import eventlet
import structlog
from tarragonhall_wire import (
    ControlClient,
    ProcessContext,
    Role,
    make_context,
    make_metrics,
    report_regularly,
    report_traffic,
    set_up_logs,
)

from tarragonhall_daemon._settings import DaemonSettings, read_secret

log = structlog.get_logger(__name__)

EXIT_FORCED = 3


def run_daemon(settings: DaemonSettings) -> int:
    """Run until a signal asks to stop; return the exit code."""
    lines = set_up_logs(settings.instance, settings.log_level)
    stop = _stop_event()
    context = _context(settings)
    roles = start_roles(settings, context)
    log.info("daemon.started", roles=[name for name, _role in roles])
    eventlet.spawn_n(report_regularly, context.hub.traffic, context.incarnation)
    signal_number = stop.wait()
    log.info("daemon.stopping", signal=signal.Signals(signal_number).name)
    signal.signal(signal.SIGTERM, _force)
    signal.signal(signal.SIGINT, _force)
    ended = stop_roles(roles, settings.stop_timeout_ms / 1000, context)
    context.hub.stop()
    report_traffic(context.hub.traffic, context.incarnation)
    log.info("daemon.stopped", forced=not ended)
    lines.flush()
    return 0 if ended else EXIT_FORCED


def start_roles(settings: DaemonSettings, context: ProcessContext) -> list[tuple[str, Role]]:
    """Start the roles in the order in which they need one another.

    Roles that do not run here are not imported: a sidecar must fit beside its backend server.
    """
    roles: list[tuple[str, Role]] = []
    if settings.control is not None:
        from tarragonhall_control import start_control

        roles.append(("control", start_control(settings.control, context)))
    if settings.entry is None and not settings.sidecars:
        return roles
    client = ControlClient(context)
    if settings.sidecars:
        from tarragonhall_sidecar import start_sidecars

        roles.append(("sidecar", start_sidecars(settings.sidecars, context, client)))
    if settings.entry is not None:
        from tarragonhall_entry import start_entry

        roles.append(("entry", start_entry(settings.entry, context, client)))
    return roles


def stop_roles(roles: list[tuple[str, Role]], timeout_s: float, context: ProcessContext) -> bool:
    """Drain the roles, those nearest to the callers first; return whether all ended in time.

    The order matters where roles share a process: an entry that finishes its calls still needs the
    sidecar to run them and control to commit them.
    """
    deadline = context.monotonic() + timeout_s
    ended = True
    for name, role in reversed(roles):
        left = max(0.0, deadline - context.monotonic())
        if not role.drain(left):
            log.warning("daemon.drain_forced", role=name)
            ended = False
        role.stop()
    return ended


def _context(settings: DaemonSettings) -> ProcessContext:
    statsd = settings.statsd
    metrics = make_metrics(
        statsd.host if statsd else None, statsd.port if statsd else 0, settings.instance
    )
    secret = read_secret(Path(settings.link.secret_file))
    return make_context(
        settings.instance,
        settings.availability_zone,
        settings.link.listen,
        settings.link.controls,
        secret,
        metrics,
    )


def _stop_event() -> eventlet.event.Event:
    stop = eventlet.event.Event()

    def ask_to_stop(signal_number: int, _frame: object) -> None:
        # A signal can arrive inside any green thread; the event must be sent from the loop itself.
        if not stop.ready():
            eventlet.hubs.get_hub().schedule_call_global(0, stop.send, signal_number)

    signal.signal(signal.SIGTERM, ask_to_stop)
    signal.signal(signal.SIGINT, ask_to_stop)
    return stop


def _force(signal_number: int, _frame: object) -> None:
    log.warning("daemon.forced", signal=signal.Signals(signal_number).name)
    raise SystemExit(EXIT_FORCED)
