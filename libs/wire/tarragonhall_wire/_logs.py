"""Log lines as JSON, one for each decision on a request and each change of known state.

All lines of a process are rendered here: instance, time, level and event, and the fields of the
event. A budget limits them; writing them never blocks.
"""

from __future__ import annotations

import atexit
import json
import logging
import math
import sys
import time
from types import TracebackType
from typing import TextIO

import structlog

from tarragonhall_wire._line_writer import Blockage, LineWriter
from tarragonhall_wire._log_budget import LineKind, LogBudget

log = structlog.get_logger(__name__)

# Status codes from here on are failures, whose lines are suppressed last.
FIRST_FAILURE_STATUS = 400
SUPPRESSED_REPORT_SECONDS = 1.0
HEADING_FIELDS = ("event", "level", "timestamp", "instance")
# Redacted in every line, in case an event contains one by mistake.
SECRET_FIELDS = frozenset({"key", "api_key", "secret", "token", "key_hash", "authorization"})


def configure_logging(
    instance: str, level: str = "info", stream: TextIO | None = None
) -> LineWriter:
    """Configure structlog once for the process; lines go to `stream` or standard error.

    What is queued is written when the process ends, whatever ends it but a kill.
    """
    writer = LineWriter((stream or sys.stderr).fileno())
    writer.start()
    log_writer = BudgetedLogWriter(instance, LogBudget(), writer)
    atexit.register(log_writer.close)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _redact_secrets,
            log_writer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.ReturnLoggerFactory(),
        cache_logger_on_first_use=True,
    )
    _log_uncaught_exceptions(log_writer, prints=stream is not None)
    return writer


def _log_uncaught_exceptions(log_writer: BudgetedLogWriter, prints: bool) -> None:
    """Log what ends the process, or fails in a finalizer: Python tells the error stream alone.

    `prints` says that the error stream is not the log, and gets the traceback as before.
    """
    print_uncaught = sys.excepthook

    def log_uncaught(kind: type, error: BaseException, traceback: TracebackType | None) -> None:
        log.error("process.failed", error=repr(error), exc_info=(kind, error, traceback))
        log_writer.close()
        if prints:
            print_uncaught(kind, error, traceback)

    def log_unraisable(failure: object) -> None:
        error = failure.exc_value
        exc_info = (failure.exc_type, error, failure.exc_traceback)
        log.error("finalizer.failed", error=repr(error), exc_info=exc_info)

    sys.excepthook = log_uncaught
    sys.unraisablehook = log_unraisable


class BudgetedLogWriter:
    """The last structlog processor: renders each line and writes it if the budget allows."""

    __slots__ = (
        "_add_timestamp",
        "_budget",
        "_instance",
        "_render",
        "_report_scheduled",
        "_reported_at",
        "_writer",
    )

    def __init__(self, instance: str, budget: LogBudget, writer: LineWriter) -> None:
        self._add_timestamp = structlog.processors.TimeStamper(fmt="iso", utc=True)
        # Context variables would be empty in the green threads that write nearly all lines.
        self._instance = instance
        self._budget = budget
        self._writer = writer
        self._render = structlog.processors.JSONRenderer(_dump)
        self._reported_at = 0.0
        self._report_scheduled = False
        writer.on_writable = self._report_writable

    def __call__(self, logger: object, name: str, event: dict) -> str:
        """Write one line; the result is passed to the logger, which ignores it."""
        event["instance"] = self._instance
        text = self._render(logger, name, event)
        line = f"{text}\n".encode()
        now = time.monotonic()
        kind = line_kind(event)
        if self._budget.admit(kind, str(event.get("id") or ""), len(line), now):
            # In a queue that fills up, lines of failures find room for longest.
            self._writer.write(line, kind.value)
        else:
            self._writer.count_suppressed()
        if now - self._reported_at > SUPPRESSED_REPORT_SECONDS:
            self._reported_at = now
            self._report_suppressed()
        elif self._budget.suppressed and not self._report_scheduled:
            # No further event may come.
            self._report_scheduled = self._writer.call_later(
                SUPPRESSED_REPORT_SECONDS, self._on_report_due
            )
        return ""

    def close(self) -> None:
        """Write what is queued or counted, for a moment at most; call at the end of the process."""
        self._report_suppressed()
        self._writer.close()

    def _on_report_due(self) -> None:
        self._report_scheduled = False
        self._report_suppressed()

    def _report_writable(self, blockage: Blockage | None) -> None:
        """Log that the output takes lines again, and what was lost meanwhile."""
        if blockage is not None and blockage.is_reported():
            unwritable_s = round(blockage.seconds(), 3)
            self._write_report("log.resumed", reason=blockage.reason, unwritable_s=unwritable_s)
        self._report_suppressed()

    def _report_suppressed(self) -> None:
        suppressed = self._budget.take_suppressed()
        lost = self._writer.dropped
        fields = suppressed | ({"unread": lost} if lost else {})
        if not fields:
            return
        if self._write_report("log.left_out", **fields):
            self._writer.dropped -= lost
            return
        # Counted again with what is suppressed until the next report.
        self._budget.suppressed.update(suppressed)

    def _write_report(self, name: str, **fields: object) -> bool:
        """Write a line on the log itself, past the budget; return whether it is queued."""
        event = {"event": name, "level": "warning", "instance": self._instance, **fields}
        event = self._add_timestamp(None, "", event)
        return self._writer.write(f"{self._render(None, '', event)}\n".encode())


def line_kind(event: dict) -> LineKind:
    """Return the kind of a line, which decides when it is suppressed."""
    if event.get("event") == "call.end":
        status = event.get("status")
        served = isinstance(status, int) and status < FIRST_FAILURE_STATUS
        return LineKind.SERVED if served else LineKind.FAILURE
    if event.get("level") in ("warning", "error", "critical"):
        return LineKind.FAILURE
    return LineKind.CHANGE


def _dump(value: object, **options: object) -> str:
    """Return JSON; a number that has none becomes null.

    A line never fails the work that it tells of.
    """
    try:
        return json.dumps(value, allow_nan=False, **options)
    except ValueError:
        return _dump_without_infinities(value, options)
    except Exception as error:  # noqa: BLE001 - fields may raise anything
        return _dump_heading(value, error)


def _dump_without_infinities(value: dict, options: dict) -> str:
    try:
        return json.dumps(_without_infinities(value), allow_nan=False, **options)
    except Exception as error:  # noqa: BLE001 - fields may raise anything
        return _dump_heading(value, error)


def _dump_heading(event: dict, error: Exception) -> str:
    """Return what names a line whose other fields cannot be written, and why they cannot."""
    heading = {name: str(event.get(name)) for name in HEADING_FIELDS}
    return json.dumps(heading | {"unreadable": type(error).__name__})


def _without_infinities(value: object) -> object:
    """Return a copy of nested dicts and lists with None for infinities and NaN."""
    match value:
        case float():
            return value if math.isfinite(value) else None
        case dict():
            return {key: _without_infinities(item) for key, item in value.items()}
        case list() | tuple():
            return [_without_infinities(item) for item in value]
    return value


def _redact_secrets(_logger: object, _name: str, event: dict) -> dict:
    for name in SECRET_FIELDS & event.keys():
        event[name] = "left out"
    return event
