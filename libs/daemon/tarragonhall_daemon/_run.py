"""Runs the roles of one process from start to graceful stop."""

from __future__ import annotations

import resource
import signal
from pathlib import Path

import eventlet
import structlog
from tarragonhall_decisions import client_room_limits_for, peer_room_limits_for
from tarragonhall_wire import (
    ControlClient,
    ProcessContext,
    Role,
    configure_logging,
    count_failed_threads,
    make_context,
    make_metrics,
    report_traffic,
    report_traffic_loop,
)

from tarragonhall_daemon._settings import DaemonSettings, read_secret

log = structlog.get_logger(__name__)

EXIT_FORCED = 3


def run_daemon(settings: DaemonSettings) -> int:
    """Run until a stop signal; return the exit code."""
    log_writer = configure_logging(settings.instance, settings.log_level)
    stop = _stop_event()
    context = _context(settings)
    count_failed_threads(context.metrics)
    log_writer.measure(context.metrics)
    context.hub.problems.watch("log", log_writer.problem)
    roles = start_roles(settings, context)
    log.info("daemon.started", roles=[name for name, _role in roles])
    eventlet.spawn_n(report_traffic_loop, context.hub.traffic, context.incarnation)
    signal_number = stop.wait()
    log.info("daemon.stopping", signal=signal.Signals(signal_number).name)
    signal.signal(signal.SIGTERM, _exit_on_second_signal)
    signal.signal(signal.SIGINT, _exit_on_second_signal)
    drained = stop_roles(roles, settings.stop_timeout_ms / 1000, context)
    context.hub.stop()
    report_traffic(context.hub.traffic, context.incarnation)
    log.info("daemon.stopped", forced=not drained)
    return 0 if drained else EXIT_FORCED


def start_roles(settings: DaemonSettings, context: ProcessContext) -> list[tuple[str, Role]]:
    """Start the roles in the order of their dependencies.

    Roles that do not run here are not imported, to save memory: a sidecar shares its machine with a
    backend server.
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
    """Drain the roles, those closest to the callers first; return whether all finished in time.

    If roles share a process, an entry that drains its calls still needs the sidecar to run them and
    control to commit them.
    """
    deadline = context.monotonic() + timeout_s
    drained = True
    for name, role in reversed(roles):
        remaining_s = max(0.0, deadline - context.monotonic())
        if not role.drain(remaining_s):
            log.warning("daemon.drain_forced", role=name)
            drained = False
        role.stop()
    return drained


def _context(settings: DaemonSettings) -> ProcessContext:
    statsd = settings.statsd
    metrics = make_metrics(
        statsd.host if statsd else None, statsd.port if statsd else 0, settings.instance
    )
    secret = read_secret(Path(settings.link.secret_file))
    limits = settings.limits
    descriptors = limits.descriptors or _own_descriptor_limit()
    return make_context(
        settings.instance,
        settings.availability_zone,
        settings.link.listen,
        settings.link.controls,
        secret,
        metrics,
        client_limits=client_room_limits_for(limits.memory_mb, descriptors),
        peer_limits=peer_room_limits_for(descriptors),
    )


def _own_descriptor_limit() -> int:
    """Return how many descriptors this process may open, 0 without a limit."""
    limit, _most = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if limit == resource.RLIM_INFINITY else limit


def _stop_event() -> eventlet.event.Event:
    stop = eventlet.event.Event()

    def request_stop(signal_number: int, _frame: object) -> None:
        # A signal can interrupt any green thread; the event must be sent from the event loop.
        if not stop.ready():
            eventlet.hubs.get_hub().schedule_call_global(0, stop.send, signal_number)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop


def _exit_on_second_signal(signal_number: int, _frame: object) -> None:
    log.warning("daemon.forced", signal=signal.Signals(signal_number).name)
    raise SystemExit(EXIT_FORCED)
