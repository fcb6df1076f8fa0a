"""Reconstructs the history of one request, turn or program from the log lines of many processes.

Lines are ordered by their time stamps, which are subject to clock skew between machines. An
explanation holds the lines that carry the id and, from the same time, the state that its processes
assumed of the backend servers involved, leader changes, and notices of dropped log lines.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

# How long before a call its processes may have formed the server state that decided it.
SERVER_STATE_SECONDS = 5.0
# Events that report the server state assumed by a process; they do not carry the id.
SERVER_STATE_EVENTS = frozenset({"backend.changed", "backend.believed"})
PROCESS_STATE_EVENTS = frozenset(
    {
        "group.role",
        "group.member_change",
        "control.node_silent",
        "relay.in_force",
        "relay.draining",
        "process.starting",
        "process.stopping",
        "process.stopped",
        "log.left_out",
    }
)
END_EVENT = "call.end"
LEADING_FIELDS = ("instance", "event")
OMITTED_FIELDS = frozenset({"timestamp", "level", *LEADING_FIELDS})


@dataclass(slots=True, frozen=True)
class LogLine:
    """One log line: its time in Unix seconds, its process, its event and all fields."""

    time_s: float
    instance: str
    event: str
    fields: dict


@dataclass(slots=True)
class Explanation:
    """The log lines that concern one id.

    `left_out` are processes that dropped log lines in that time, `silent` those that wrote none.
    """

    lines: list[LogLine] = field(default_factory=list)
    ends: list[LogLine] = field(default_factory=list)
    left_out: list[str] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)


def read_lines(files: Iterable[Path]) -> list[LogLine]:
    """Return the log lines of all files in chronological order; other lines are skipped."""
    found = []
    for file in files:
        for text in file.read_text(errors="replace").splitlines():
            line = _parse(text)
            if line is not None:
                found.append(line)
    found.sort(key=lambda line: line.time_s)
    return found


def explain(target_id: str, lines: list[LogLine]) -> Explanation:
    """Collect the log lines that concern an id."""
    matching = [line for line in lines if target_id in line.fields.values()]
    explanation = Explanation()
    if not matching:
        return explanation
    explanation.ends = [line for line in matching if line.event == END_EVENT]
    first, last = _time_window(matching)
    servers = {line.fields.get("server") for line in matching} - {None}
    instances = {line.instance for line in matching}
    in_window = [line for line in lines if first <= line.time_s <= last]
    explanation.lines = [
        line for line in in_window if line in matching or _is_relevant(line, servers, instances)
    ]
    explanation.left_out = sorted(
        {line.instance for line in in_window if line.event == "log.left_out"}
    )
    explanation.silent = sorted(
        {line.instance for line in lines} - {line.instance for line in in_window}
    )
    return explanation


def as_text(explanation: Explanation) -> str:
    """Return the time line and the outcomes as text."""
    rows = []
    for line in explanation.lines:
        time_of_day = datetime.fromtimestamp(line.time_s).strftime("%H:%M:%S.%f")[:-3]
        rows.append(f"{time_of_day} {line.instance:28} {line.event:20} {_format_fields(line)}")
    for end in explanation.ends:
        status = end.fields.get("status")
        rows.append(f"end: {status or 'broken off'}: {end.fields.get('reason')}")
    if explanation.left_out:
        rows.append(f"log lines dropped by: {', '.join(explanation.left_out)}")
    if explanation.silent:
        rows.append(f"no log lines in that time from: {', '.join(explanation.silent)}")
    return "\n".join(rows)


def as_value(explanation: Explanation) -> dict:
    """Return the explanation for `--json`."""
    return {
        "lines": [line.fields for line in explanation.lines],
        "ends": [end.fields for end in explanation.ends],
        "left_out": explanation.left_out,
        "silent": explanation.silent,
    }


def _parse(text: str) -> LogLine | None:
    # The log collector may prefix lines with its own time and process.
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        time_s = datetime.fromisoformat(fields["timestamp"].replace("Z", "+00:00")).timestamp()
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return LogLine(time_s, str(fields.get("instance", "")), str(fields.get("event", "")), fields)


def _time_window(matching: list[LogLine]) -> tuple[float, float]:
    """Return the time window of relevant lines; calls are logged at their end."""
    longest_s = max(float(line.fields.get("ms") or 0) for line in matching) / 1000
    return matching[0].time_s - longest_s - SERVER_STATE_SECONDS, matching[-1].time_s + 1.0


def _is_relevant(line: LogLine, servers: set[str], instances: set[str]) -> bool:
    if line.event in SERVER_STATE_EVENTS:
        return line.fields.get("server") in servers and line.instance in instances
    if line.event == "view.changed":
        return line.instance in instances
    return line.event in PROCESS_STATE_EVENTS


def _format_fields(line: LogLine) -> str:
    parts = []
    for name, value in line.fields.items():
        if name in OMITTED_FIELDS or value in (None, ""):
            continue
        parts.append(f"{name}={value}")
    return " ".join(parts)
