"""What one entry knows of one backend server: its own calls there, and lagging reports.

Load patterns: a server that became slow but still answers takes as many calls as the others if it
is judged by its open calls alone, and its report arrives late. A server that hangs ends no call at
all, so the age of its open calls counts too.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_model import LoadReport, ServerRecord

# Weight of a slower call in the learnt speed of a server, which counts as slow after about four.
SLOWER_GAIN = 0.25
# Weight of a faster call, doubled since a slow server gets few calls.
FASTER_GAIN = 0.5
# Fraction by which the learnt speed of a server without calls returns to the median at each step,
# so that the server is tried again after about half a minute.
STALE_GAIN = 0.01
# Ratio to the median from which a server counts as slow: outside the spread of healthy servers with
# mixed batches, and a server twice as slow still delays a program less than a queue would.
SLOW_RATIO = 2.0
# Factors by which a server's weight changes with each update. It falls to `PROBE_WEIGHT` in about
# eight steps, so that a short stall does not move a server's whole load to the others.
WEIGHT_DOWN = 0.7
WEIGHT_UP = 1.3
# Weight that a slow server keeps: one call in twenty probes whether it has recovered.
PROBE_WEIGHT = 0.05
# Factor by which a failure lowers the weight.
FAILURE_WEIGHT = 0.5
# Factor by which a report of a queue shrinks the window; a report without one grows it by one.
# Additive increase and multiplicative decrease share a server evenly between entries that do not
# know each other.
WINDOW_DOWN = 0.8
# A queue of this share of the slots keeps a server busy between reports and is not congestion.
QUEUE_SHARE = 0.125
MIN_UNIT_S = 1e-6


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that runs on a server; `units` is the work expected of it."""

    started: float
    units: float


@dataclass(slots=True)
class ServerState:
    """A server as this entry sees it; `unit_s` is the smoothed time for a unit of work."""

    record: ServerRecord
    window: float
    linked: bool = True
    report: LoadReport | None = None
    weight: float = 1.0
    unit_s: float | None = None
    changes_since_report: int = 0
    open_by_key: dict[str, OpenAttempt] = field(default_factory=dict)
    held_programs: frozenset[str] = frozenset()

    def usable(self) -> bool:
        """Return whether new calls may go to the server at all."""
        if not self.linked or self.record.draining:
            return False
        return self.report is None or (self.report.healthy and not self.report.draining)

    def has_room(self, share: float = 1.0) -> bool:
        """Return whether the window, or a share of it, has room for one more call."""
        return len(self.open_by_key) < max(1.0, self.window * share)

    def load(self) -> int:
        """Return how many calls run or wait there, by the last report and the changes since."""
        if self.report is None:
            return len(self.open_by_key)
        reported = self.report.running + self.report.waiting + self.changes_since_report
        return max(len(self.open_by_key), reported)

    def wait_s(self, run_s: float) -> float:
        """Return how many seconds a new call would wait there for a slot."""
        slots = max(1, self.record.slots)
        excess = self.load() - slots + 1
        return max(0.0, excess / slots * run_s)

    def on_start(self, key: str, units: float, now: float) -> None:
        """Record an attempt that was sent to the server."""
        self.open_by_key[key] = OpenAttempt(now, units)
        self.changes_since_report += 1

    def on_end(self, key: str, units: float, answered: bool, now: float) -> None:
        """Learn from the end of an attempt; `units` is its actual work."""
        attempt = self.open_by_key.pop(key, None)
        if attempt is None:
            return
        self.changes_since_report -= 1
        if not answered:
            self.weight = max(PROBE_WEIGHT, self.weight * FAILURE_WEIGHT)
            return
        sample = max(MIN_UNIT_S, (now - attempt.started) / max(1.0, units))
        if self.unit_s is None:
            self.unit_s = sample
        gain = FASTER_GAIN if sample < self.unit_s else SLOWER_GAIN
        self.unit_s += gain * (sample - self.unit_s)

    def on_report(self, report: LoadReport) -> None:
        """Store a report of the server's current incarnation and adapt the window to its queue."""
        if report.incarnation != self.record.incarnation:
            return
        self.report = report
        self.changes_since_report = 0
        self.held_programs = frozenset(report.held_programs)
        slots = max(1, report.slots)
        if report.waiting > slots * QUEUE_SHARE:
            self.window = max(1.0, self.window * WINDOW_DOWN)
        elif not report.waiting:
            self.window = min(float(slots), self.window + 1.0)

    def slowness(self, median_unit_s: float, now: float) -> float:
        """Return how much slower than the median the server is, by its ended and open calls."""
        if median_unit_s <= 0:
            return 1.0
        by_ends = (self.unit_s or median_unit_s) / median_unit_s
        by_age = max(
            (
                (now - attempt.started) / (max(1.0, attempt.units) * median_unit_s)
                for attempt in self.open_by_key.values()
            ),
            default=0.0,
        )
        # Expected work is an estimate: an open call counts only once it is far overdue.
        return max(by_ends, by_age / SLOW_RATIO)

    def adapt_weight(self, median_unit_s: float, now: float) -> None:
        """Move the server's weight gradually, down while it is slow and up while it is not."""
        if self.unit_s is not None and not self.open_by_key:
            self.unit_s += STALE_GAIN * (median_unit_s - self.unit_s)
        if self.slowness(median_unit_s, now) > SLOW_RATIO:
            self.weight = max(PROBE_WEIGHT, self.weight * WEIGHT_DOWN)
        else:
            self.weight = min(1.0, self.weight * WEIGHT_UP)
