"""Counts the calls in log lines that were not served, by cause, organisation and second.

A call is lost if its answer broke off or is an error from the entry or a server. Requests for what
does not exist (404 without a route) and exhausted budgets are counted separately, as answered. The
latencies of served calls are listed too, since slow turns can cost a whole program without a single
failed call.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass, field

from tarragonhall_cli._explain import END_EVENT, LogLine

FIRST_FAILURE_STATUS = 400
# Answers about invalid keys, exhausted budgets and things that do not exist.
ANSWERED_STATUS = frozenset({401, 402, 404})
# Instances, ids and times vary between calls; without them, equal causes are counted together.
VARYING_PART = re.compile(r"'[^']*'|\b[\w.-]*\d[\w.-]*\b")
STEP_FIELDS = ("rated_ms", "ready_ms", "sent_ms", "first_ms", "whole_ms", "ms")
QUANTILES = (0.5, 0.9, 0.99)


@dataclass(slots=True, frozen=True)
class Cause:
    """Why calls were lost: the status (None if the answer broke off) and the reason."""

    status: int | None
    reason: str

    def __str__(self) -> str:
        return f"{self.status or 'broken off'}: {self.reason}"


@dataclass(slots=True)
class Losses:
    """Counts of calls and lost calls. Seconds are relative to the first log line."""

    calls: int = 0
    lost_by_cause: Counter = field(default_factory=Counter)
    programs_by_cause: dict[Cause, set[str]] = field(default_factory=dict)
    answered_by_cause: Counter = field(default_factory=Counter)
    lost_by_organisation: Counter = field(default_factory=Counter)
    calls_by_organisation: Counter = field(default_factory=Counter)
    lost_by_second: dict[int, Counter] = field(default_factory=dict)
    values_by_step: dict[str, list[float]] = field(default_factory=dict)


def count_losses(lines: list[LogLine]) -> Losses:
    """Count the outcomes of calls in log lines."""
    losses = Losses()
    for line in lines:
        if line.event != END_EVENT or not line.fields.get("id"):
            continue
        losses.calls += 1
        organisation = str(line.fields.get("organisation") or "none")
        losses.calls_by_organisation[organisation] += 1
        status = line.fields.get("status")
        if isinstance(status, int) and status < FIRST_FAILURE_STATUS:
            _add_steps(losses, line)
            continue
        cause = Cause(status, VARYING_PART.sub("*", str(line.fields.get("reason"))))
        if status in ANSWERED_STATUS:
            losses.answered_by_cause[cause] += 1
            continue
        losses.lost_by_cause[cause] += 1
        losses.lost_by_organisation[organisation] += 1
        losses.programs_by_cause.setdefault(cause, set()).add(str(line.fields.get("program")))
        second = int(line.time_s - lines[0].time_s)
        losses.lost_by_second.setdefault(second, Counter())[cause] += 1
    return losses


def as_text(losses: Losses) -> str:
    """Return the tables as text."""
    rows = [f"{losses.calls} calls, {losses.lost_by_cause.total()} not served"]
    for cause, count in losses.lost_by_cause.most_common():
        rows.append(f"{count:6} calls {len(losses.programs_by_cause[cause]):5} programs  {cause}")
    for cause, count in losses.answered_by_cause.most_common():
        rows.append(f"{count:6} calls answered  {cause}")
    rows.append("by organisation (lost of total):")
    for organisation, count in losses.lost_by_organisation.most_common():
        rows.append(f"{count:6} of {losses.calls_by_organisation[organisation]:6}  {organisation}")
    rows.append("by second:")
    for second, causes in sorted(losses.lost_by_second.items()):
        parts = "; ".join(f"{count} {cause}" for cause, count in causes.most_common())
        rows.append(f"{second:6}  {parts}")
    rows.append("served calls, milliseconds since arrival:")
    for step, values in losses.values_by_step.items():
        rows.append(f"{step:>10}  {_format_percentiles(values)}")
    return "\n".join(rows)


def _add_steps(losses: Losses, line: LogLine) -> None:
    for step in STEP_FIELDS:
        value = line.fields.get(step)
        if isinstance(value, int | float):
            losses.values_by_step.setdefault(step, []).append(float(value))


def _format_percentiles(values: list[float]) -> str:
    ordered = sorted(values)
    parts = []
    for quantile in QUANTILES:
        value = ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
        parts.append(f"p{quantile * 100:g} {value:.1f}")
    return "  ".join(parts)
