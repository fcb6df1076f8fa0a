"""Run a workload as an open loop: programs start at their intended times, whatever the load."""

from __future__ import annotations

import collections
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

from tarragonhall_fakes._load_caller import Callers, ProgramResult
from tarragonhall_fakes._load_direct import DirectCallers
from tarragonhall_fakes._load_results import LoadResult, summarize
from tarragonhall_fakes._load_workload import Workload

HELD_POLL_S = 0.25
# The memory of a program is released when it ends. If that message is lost, sidecars compare with
# the journal every 20 s; tokens that an engine still holds after that are orphaned.
RELEASE_GRACE_S = 25.0
RELEASE_POLL_S = 0.5


@dataclass(slots=True)
class Deployment:
    """Addresses of the entries and the fakes, and a key for each organisation."""

    entries: list[str]
    engines: list[str]
    services: list[str]
    key_by_org: dict[str, str]


@dataclass(slots=True)
class TimedAction:
    """An action at `at` seconds after the start, such as a fault or the kill of a process."""

    at: float
    action: Callable[[], None]


@dataclass(slots=True)
class LoadOptions:
    """Timeouts of a program and of a call, and the rate and burst of each organisation.

    With `direct`, callers send to the backend servers without the scheduler, for comparison.
    """

    name: str
    program_timeout_s: float = 60.0
    timeout_s: float = 30.0
    rate: tuple[float, float] = (1e9, 1e9)
    direct: bool = False
    actions: list[TimedAction] = field(default_factory=list)


def run_load(workload: Workload, deployment: Deployment, options: LoadOptions) -> LoadResult:
    """Run a workload to its end and return its measures."""
    callers = _make_callers(deployment, options)
    poller = eventlet.spawn(_poll_held_tokens, callers, deployment)
    callers.start_clock()
    actions = [eventlet.spawn_after(item.at, item.action) for item in options.actions]
    pool = eventlet.GreenPool(10_000)
    threads = []
    for plan in workload.programs:
        # A late start adds to the latency, which counts from `plan.at`.
        eventlet.sleep(max(0.0, plan.at - callers.now()))
        threads.append(pool.spawn(callers.run, plan))
    results = [thread.wait() for thread in threads]
    for action in actions:
        action.wait()
    poller.kill()
    if not options.direct:
        _check_budgets(callers, results)
    result = summarize(options.name, workload, results, callers.call_log, options.rate)
    result.orphaned_tokens = orphaned_tokens(deployment, results)
    _check_effects(deployment, workload, results, result)
    return result


def _make_callers(deployment: Deployment, options: LoadOptions) -> Callers:
    timeouts = {"program_timeout_s": options.program_timeout_s, "timeout_s": options.timeout_s}
    if options.direct:
        return DirectCallers(deployment.engines, deployment.services, **timeouts)
    return Callers(deployment.entries, deployment.key_by_org, **timeouts)


def post_fault(address: str, fault: dict) -> None:
    """Add a fault to a fake."""
    urllib3.request("POST", f"http://{address}/faults", json=fault, retries=False)


def clear_faults(address: str) -> None:
    """Remove all faults of a fake."""
    urllib3.request("DELETE", f"http://{address}/faults", retries=False)


def _poll_held_tokens(callers: Callers, deployment: Deployment) -> None:
    """Record the most tokens of each program that one engine holds, four times a second."""
    while True:
        held: dict[str, int] = {}
        for engine in deployment.engines:
            for item in _held(engine):
                held[item["program"]] = max(held.get(item["program"], 0), item["tokens"])
        callers.call_log.held_by_program = held
        eventlet.sleep(HELD_POLL_S)


def _held(engine: str) -> list[dict]:
    try:
        return urllib3.request("GET", f"http://{engine}/v1/held", retries=False).json()["programs"]
    except HTTPError:
        return []


def orphaned_tokens(deployment: Deployment, results: list[ProgramResult]) -> int:
    """Return the tokens that engines still hold for programs that have ended."""
    ended = {
        program_id
        for result in results
        if result.finished_at is not None
        for program_id in result.program_ids
    }
    deadline = time.monotonic() + RELEASE_GRACE_S
    while True:
        tokens = sum(
            item["tokens"]
            for engine in deployment.engines
            for item in _held(engine)
            if item["program"] in ended
        )
        if not tokens or time.monotonic() > deadline:
            return tokens
        eventlet.sleep(RELEASE_POLL_S)


def _check_budgets(callers: Callers, results: list[ProgramResult]) -> None:
    for result in results:
        if not result.program_ids:
            continue
        try:
            program = callers.fetch_program(result.plan.org, result.program_ids[0])
        except HTTPError:
            continue
        if "spent" not in program:
            continue
        for name in ("tokens", "calls"):
            if program["spent"][name] > program["budget"][name]:
                result.overrun = name


def _check_effects(
    deployment: Deployment, workload: Workload, results: list[ProgramResult], totals: LoadResult
) -> None:
    """Compare the services' ledgers with the calls of finished programs."""
    count_by_body: collections.Counter[str] = collections.Counter()
    for service in deployment.services:
        effects = urllib3.request("GET", f"http://{service}/ledger").json()["effects"]
        count_by_body.update(_effect_key(effect["body"]) for effect in effects)
    names = {plan.name for plan in workload.programs}
    totals.doubled_effects = sum(
        count - 1 for key, count in count_by_body.items() if key.rpartition("/")[0] in names
    )
    for result in results:
        if result.finished_at is None:
            continue
        for seq, step in enumerate(result.plan.steps, start=1):
            if step.kind == "service" and not count_by_body[f"{result.plan.name}/{seq}"]:
                totals.missing_effects += 1


def _effect_key(body: str) -> str:
    value = json.loads(body)
    return f"{value.get('program')}/{value.get('seq')}"
