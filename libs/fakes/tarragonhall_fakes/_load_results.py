"""The measures of a load run, from the replies that callers received and the fakes' records."""

from __future__ import annotations

import collections
from dataclasses import asdict, dataclass, field

from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from tarragonhall_fakes._load_caller import CallLog, ProgramResult
from tarragonhall_fakes._load_workload import Workload

MAX_LATENCY_MS = 600_000
# Fairness counts programs that start in this part of the load, which can be served before its end.
FAIRNESS_WINDOW_SHARE = 0.8
# Refusals for lack of capacity or rate; other codes report a mistake of the caller.
CAPACITY_REFUSAL_CODES = {
    "rate_exceeded",
    "overloaded",
    "deadline",
    "no_server",
    "stale",
    "unavailable",
}


@dataclass(slots=True)
class LoadResult:
    """The measures of one run. Latencies are in ms, from the intended start of each program.

    `others` are all organisations except the largest, which causes the overload.
    """

    name: str
    programs: int = 0
    finished: int = 0
    p50_ms: float = 0.0
    p95_ms: float = 0.0
    p99_ms: float = 0.0
    others_p50_ms: float = 0.0
    others_p95_ms: float = 0.0
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
    slowest_id: str = ""
    failed_ids: list[str] = field(default_factory=list)
    finished_by_org: dict[str, str] = field(default_factory=dict)

    def as_json(self) -> dict:
        """Return the result as a dict of JSON values."""
        return asdict(self)


def summarize(
    name: str,
    workload: Workload,
    results: list[ProgramResult],
    call_log: CallLog,
    rate: tuple[float, float],
) -> LoadResult:
    """Return the measures of a run; `rate` is the rate and burst of each organisation."""
    result = LoadResult(name, programs=len(results))
    histogram = HdrHistogram(1, MAX_LATENCY_MS, 3)
    others = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for program in results:
        latency = program.latency()
        if latency is None:
            result.failures[program.failure] = result.failures.get(program.failure, 0) + 1
            result.failed_ids.extend(program.program_ids[-1:])
            continue
        result.finished += 1
        histogram.record_value(max(1, int(latency * 1000)))
        if program.plan.org != workload.org_ids[0]:
            others.record_value(max(1, int(latency * 1000)))
    result.p50_ms = _percentile(histogram, 50)
    result.p95_ms = _percentile(histogram, 95)
    result.p99_ms = _percentile(histogram, 99)
    result.slowest_id = slowest_program_id(results)
    result.others_p50_ms = _percentile(others, 50)
    result.others_p95_ms = _percentile(others, 95)
    result.wasted_tokens = sum(program.wasted_tokens for program in results)
    result.recomputed_tokens = sum(program.recomputed_tokens for program in results)
    result.budget_overruns = sum(1 for program in results if program.overrun)
    refused = collections.Counter(sent.code for sent in call_log.sent if sent.code)
    result.refusals = refused.total()
    result.refusals_by_code = dict(refused)
    result.wrongful_refusals = wrongful_refusals(call_log, *rate)
    result.lost_connections = call_log.lost_connections
    result.worst_org, result.worst_share = worst_served(workload, results)
    for org in workload.org_ids:
        own = [program for program in results if program.plan.org == org]
        done = sum(1 for program in own if program.finished_at is not None)
        result.finished_by_org[org] = f"{done}/{len(own)}"
    return result


def _percentile(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) if histogram.total_count else 0.0


def slowest_program_id(results: list[ProgramResult]) -> str:
    """Return the id of the finished program that took longest, to inspect its time line."""
    finished = [program for program in results if program.finished_at is not None]
    ids = [program.program_ids for program in sorted(finished, key=ProgramResult.latency)]
    return ids[-1][0] if ids and ids[-1] else ""


def worst_served(workload: Workload, results: list[ProgramResult]) -> tuple[str, float]:
    """Return the organisation that received the least of its fair share, and that ratio.

    Only programs that start in the first part of the load count, with the tokens they received
    before it ended: what is served once the load is over says nothing about fairness. The fair
    shares divide all tokens received by max-min fairness: no share exceeds the demand, and what one
    organisation leaves unused is divided evenly among the others.
    """
    wanted = dict.fromkeys(workload.org_ids, 0.0)
    received = dict.fromkeys(workload.org_ids, 0.0)
    for program in results:
        if program.plan.at > FAIRNESS_WINDOW_SHARE * workload.seconds:
            continue
        wanted[program.plan.org] += program.plan.tokens()
        received[program.plan.org] += program.tokens_until(workload.seconds)
    due = max_min_shares(wanted, sum(received.values()))
    ratios = {org: received[org] / due[org] for org in wanted if due[org] > 0}
    worst = min(ratios, key=ratios.get, default="")
    return worst, ratios.get(worst, 1.0)


def max_min_shares(wanted: dict[str, float], total: float) -> dict[str, float]:
    """Divide a total among demands by max-min fairness: the smallest demands are met first."""
    due: dict[str, float] = {}
    left = total
    for index, org in enumerate(sorted(wanted, key=wanted.get)):
        share = left / (len(wanted) - index)
        due[org] = min(wanted[org], share)
        left -= due[org]
    return due


def wrongful_refusals(call_log: CallLog, per_second: float, burst: float) -> int:
    """Count the calls refused although their organisation was within its rate and burst.

    A token bucket decides at the time of sending, charged with the organisation's earlier calls
    that were not refused.
    """
    count = 0
    level_by_org: dict[str, float] = {}
    last_by_org: dict[str, float] = {}
    for sent in sorted(call_log.sent, key=lambda item: item.at):
        level = level_by_org.get(sent.org, burst)
        level = min(burst, level + (sent.at - last_by_org.get(sent.org, 0.0)) * per_second)
        last_by_org[sent.org] = sent.at
        if sent.code in CAPACITY_REFUSAL_CODES:
            count += level >= 1.0
        else:
            level -= 1.0
        level_by_org[sent.org] = level
    return count


COLUMNS = {
    "name": "run",
    "programs": "programs",
    "finished": "finished",
    "p50_ms": "p50 ms",
    "p95_ms": "p95 ms",
    "p99_ms": "p99 ms",
    "others_p50_ms": "others p50",
    "others_p95_ms": "others p95",
    "wasted_tokens": "wasted cache",
    "worst_share": "worst org share",
    "refusals": "refusals",
    "wrongful_refusals": "wrongful",
    "doubled_effects": "doubled effects",
    "budget_overruns": "overruns",
    "orphaned_tokens": "orphaned tokens",
}


def table(results: list[LoadResult], style: str = "simple") -> str:
    """Return the results as a table with one row for each run."""
    rows = [[getattr(result, column) for column in COLUMNS] for result in results]
    return tabulate(rows, headers=list(COLUMNS.values()), tablefmt=style, floatfmt=".2f")
