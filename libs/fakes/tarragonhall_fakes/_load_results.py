"""What a load run measured, judged by what callers received and what the fakes saw."""

from __future__ import annotations

import collections
from dataclasses import asdict, dataclass, field

from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from tarragonhall_fakes._load_caller import Journal, ProgramResult
from tarragonhall_fakes._load_workload import Workload

MAX_LATENCY_MS = 600_000
# Refusals for want of capacity or tokens; others tell the caller of a mistake of its own.
LOAD_CODES = {"rate_exceeded", "overloaded", "deadline", "no_server", "stale", "unavailable"}


@dataclass(slots=True)
class LoadResult:
    """The measures of one run. Latencies are in ms, from the intended start of each program."""

    name: str
    programs: int = 0
    finished: int = 0
    p50_ms: float = 0.0
    p95_ms: float = 0.0
    p99_ms: float = 0.0
    wasted_tokens: int = 0
    recomputed_tokens: int = 0
    worst_share: float = 0.0
    worst_org: str = ""
    refusals: int = 0
    wrongful_refusals: int = 0
    doubled_effects: int = 0
    missing_effects: int = 0
    budget_overruns: int = 0
    orphaned_tokens: int = 0
    lost_connections: int = 0
    refusals_by_code: dict[str, int] = field(default_factory=dict)
    failures: dict[str, int] = field(default_factory=dict)
    finished_by_org: dict[str, str] = field(default_factory=dict)

    def as_json(self) -> dict:
        """Return the result as plain values."""
        return asdict(self)


def judge(
    name: str,
    workload: Workload,
    results: list[ProgramResult],
    journal: Journal,
    rate: tuple[float, float],
) -> LoadResult:
    """Return the measures of a run; `rate` is each organisation's rate and burst."""
    result = LoadResult(name, programs=len(results))
    histogram = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for program in results:
        latency = program.latency()
        if latency is None:
            result.failures[program.failure] = result.failures.get(program.failure, 0) + 1
            continue
        result.finished += 1
        histogram.record_value(max(1, int(latency * 1000)))
    result.p50_ms = histogram.get_value_at_percentile(50)
    result.p95_ms = histogram.get_value_at_percentile(95)
    result.p99_ms = histogram.get_value_at_percentile(99)
    result.wasted_tokens = sum(program.wasted_tokens for program in results)
    result.recomputed_tokens = sum(program.recomputed_tokens for program in results)
    result.budget_overruns = sum(1 for program in results if program.overrun)
    result.refusals = len(journal.refusals)
    result.refusals_by_code = dict(collections.Counter(r.code for r in journal.refusals))
    result.wrongful_refusals = wrongful_refusals(journal, *rate)
    result.lost_connections = journal.lost
    result.worst_org, result.worst_share = worst_served(workload, results)
    for org in workload.org_ids:
        own = [program for program in results if program.plan.org == org]
        done = sum(1 for program in own if program.finished_at is not None)
        result.finished_by_org[org] = f"{done}/{len(own)}"
    return result


def worst_served(workload: Workload, results: list[ProgramResult]) -> tuple[str, float]:
    """Return the organisation with the least share received of its share due, and that ratio.

    What was served in all is divided by max-min fairness: nobody is due more than it asked for, and
    what one does not ask for goes evenly to the others.
    """
    wanted = dict.fromkeys(workload.org_ids, 0.0)
    received = dict.fromkeys(workload.org_ids, 0.0)
    for program in results:
        wanted[program.plan.org] += program.plan.tokens()
        received[program.plan.org] += program.tokens
    due = max_min(wanted, sum(received.values()))
    ratios = {org: received[org] / due[org] for org in wanted if due[org] > 0}
    worst = min(ratios, key=ratios.get, default="")
    return worst, ratios.get(worst, 1.0)


def max_min(wanted: dict[str, float], total: float) -> dict[str, float]:
    """Divide a total over claims so that the smallest claims are met first."""
    due: dict[str, float] = {}
    left = total
    for index, org in enumerate(sorted(wanted, key=wanted.get)):
        share = left / (len(wanted) - index)
        due[org] = min(wanted[org], share)
        left -= due[org]
    return due


def wrongful_refusals(journal: Journal, per_second: float, burst: float) -> int:
    """Count the refusals that came while the organisation had sent less than its rate and burst."""
    count = 0
    for org, sent in journal.sent_at_by_org.items():
        refused = sorted(r.at for r in journal.refusals if r.org == org and r.code in LOAD_CODES)
        level, last = burst, 0.0
        events = sorted([(at, 0) for at in sent] + [(at, 1) for at in refused])
        for at, is_refusal in events:
            level = min(burst, level + (at - last) * per_second)
            last = at
            if is_refusal:
                count += level >= 1.0
            else:
                level = max(-1.0, level - 1.0)
    return count


COLUMNS = {
    "name": "run",
    "programs": "programs",
    "finished": "finished",
    "p50_ms": "p50 ms",
    "p95_ms": "p95 ms",
    "p99_ms": "p99 ms",
    "wasted_tokens": "wasted cache",
    "worst_share": "worst org share",
    "refusals": "refusals",
    "wrongful_refusals": "wrongful",
    "doubled_effects": "doubled effects",
    "budget_overruns": "overruns",
    "orphaned_tokens": "orphaned tokens",
}


def table(results: list[LoadResult], style: str = "simple") -> str:
    """Return the results as a table, a run on each line."""
    rows = [[getattr(result, column) for column in COLUMNS] for result in results]
    return tabulate(rows, headers=list(COLUMNS.values()), tablefmt=style, floatfmt=".2f")
