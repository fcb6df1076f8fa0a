"""Measure the whole path: added latency, calls a second, processor time and memory by role.

Starts the association's example deployment (three control members, three entries, two engines, two
order desks, each a process of its own), calls it in a closed loop at several concurrencies, and
reads processor time and resident memory of each process from the kernel's counters. The same run
sends the same bodies directly to a backend server, so that the added latency compares equal calls.
Slopes are least squares lines over the loads printed.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import os  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402
import urllib3  # noqa: E402
from tarragonhall_fakes import ATTEMPT_HEADER, LocalProcess, run_script  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

from run_deployment import initialise, load_files, start_all, stop_all  # noqa: E402

FOLDER = ROOT / ".demo" / "association"
SERVERS = 2
ORG = "bench"
CALLS_IN_PROGRAM = 40
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ROLES = ("control", "entry", "sidecar")
SETTLE_SECONDS = 4.0


@dataclass(slots=True)
class Usage:
    """Processor seconds and resident megabytes, at an instant or over an interval."""

    cpu_seconds: float = 0.0
    resident_mb: float = 0.0


@dataclass(slots=True)
class Load:
    """The result of one load: duration, latencies in ms, and the usage of each role."""

    name: str
    seconds: float
    latencies_ms: list[float]
    refused: int
    usage_by_role: dict[str, Usage] = field(default_factory=dict)

    def rate(self) -> float:
        """Return answered calls a second."""
        return len(self.latencies_ms) / self.seconds

    def percentile(self, share: float) -> float:
        """Return a latency percentile in ms."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def read_usage(pid: int) -> Usage:
    """Read a process's counters from the kernel."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    return Usage(ticks / TICKS_PER_SECOND, resident / 1e6)


@dataclass(slots=True)
class System:
    """The processes of the deployment and their settings."""

    processes: list[LocalProcess]
    settings: list[dict]
    key: str = ""

    def pids(self, role: str) -> list[int]:
        """Return the process ids of a role; the names of its settings files start with the role."""
        return [p.pid for p in self.processes if Path(p.command[-1]).name.startswith(role)]

    def usage(self, role: str) -> list[Usage]:
        """Return the usage of each process of a role."""
        return [read_usage(pid) for pid in self.pids(role)]

    def entries(self) -> list[str]:
        """Return the callers' addresses."""
        return [settings["entry"]["listen"] for settings in self.settings if "entry" in settings]

    def server(self, kind: str) -> str:
        """Return the address of the first backend server of a kind."""
        for settings in self.settings:
            for sidecar in settings.get("sidecars", []):
                if sidecar["kind"] == kind:
                    return sidecar["server"]
        raise LookupError(kind)


def start_system() -> System:
    """Start the deployment and create an organisation with a key."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(parents=True)
    files = load_files("association", SERVERS)
    token = initialise(files)
    settings = [one for _file, one in files]
    system = System(start_all(files, FOLDER), settings)
    admin = [
        item
        for one in settings
        if "control" in one
        for item in ("--admin", one["control"]["admin"])
    ]
    tool = [*admin, "--token", token, "--json"]
    rate = ["rate.per_second=100000", "rate.burst=100000", "budget.calls=100000"]
    run_script("tarragonhall", *tool, "org", "create", ORG, "/bench", *rate)
    run_script("tarragonhall", *tool, "model", "set", "planner-8b", "v1")
    system.key = json.loads(run_script("tarragonhall", *tool, "key", "grant", ORG))["key"]
    eventlet.sleep(SETTLE_SECONDS)
    return system


def call_direct(http: urllib3.PoolManager, address: str, number: int) -> bool:
    """Send a service call directly to its backend server."""
    response = http.request(
        "POST",
        f"http://{address}/order-desk",
        body=f"order {number}",
        headers={ATTEMPT_HEADER: f"direct/{number}"},
    )
    return response.status == 200


class Caller:
    """Runs programs of service calls through one entry, one call after the other."""

    __slots__ = ("_address", "_headers", "_http", "_program_id", "_seq")

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = urllib3.PoolManager(retries=False, timeout=30.0)
        self._program_id = ""
        self._seq = 0

    def call(self) -> bool:
        """Send the next call; return whether it was answered."""
        if self._seq % CALLS_IN_PROGRAM == 0:
            self._next_program()
        self._seq += 1
        body = {
            "seq": self._seq,
            "kind": "service",
            "target": "order-desk",
            "body": f"order {self._seq}",
            "repeatable": False,
        }
        return self._post(f"/v1/programs/{self._program_id}/calls", body).status == 200

    def _next_program(self) -> None:
        if self._program_id:
            self._post(f"/v1/programs/{self._program_id}/finish", {})
        self._program_id = self._post("/v1/programs", {}).json()["program_id"]
        self._seq = 0

    def _post(self, path: str, body: dict):
        return self._http.request(
            "POST", f"http://{self._address}{path}", json=body, headers=self._headers
        )


def run_load(name: str, system: System, calls: list[Callable[[], bool]], seconds: float) -> Load:
    """Repeat each call in a green thread of its own."""
    load = Load(name, seconds, [], 0)
    end = time.monotonic() + seconds
    before = {role: system.usage(role) for role in ROLES}

    def loop(call: Callable[[], bool]) -> None:
        while time.monotonic() < end:
            started = time.monotonic()
            if not call():
                load.refused += 1
                continue
            load.latencies_ms.append((time.monotonic() - started) * 1000)

    threads = [eventlet.spawn(loop, call) for call in calls]
    for thread in threads:
        thread.wait()
    for role in ROLES:
        load.usage_by_role[role] = _difference(before[role], system.usage(role))
    return load


def _difference(before: list[Usage], after: list[Usage]) -> Usage:
    cpu = sum(usage.cpu_seconds for usage in after) - sum(usage.cpu_seconds for usage in before)
    return Usage(cpu, max(usage.resident_mb for usage in after))


def measure_idle(system: System, seconds: float) -> Load:
    """Return the usage of the processes without calls."""
    before = {role: system.usage(role) for role in ROLES}
    eventlet.sleep(seconds)
    load = Load("idle", seconds, [], 0)
    for role in ROLES:
        load.usage_by_role[role] = _difference(before[role], system.usage(role))
    return load


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least squares line through the points."""
    mean_x = sum(x for x, _y in points) / len(points)
    mean_y = sum(y for _x, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _y in points)
    slope = covariance / variance
    return slope, mean_y - slope * mean_x


def print_latency(direct: Load, through: Load) -> None:
    """Print latencies with one caller, direct and through the system."""
    click.echo("\n| one caller | p50 ms | p95 ms | p99 ms | calls |\n|---|---:|---:|---:|---:|")
    for load in (direct, through):
        cells = [f"{load.percentile(share):.2f}" for share in (0.5, 0.95, 0.99)]
        click.echo(f"| {load.name} | {' | '.join(cells)} | {len(load.latencies_ms)} |")
    added = [through.percentile(s) - direct.percentile(s) for s in (0.5, 0.95, 0.99)]
    click.echo(f"| added | {' | '.join(f'{value:.2f}' for value in added)} | |")


def print_loads(system: System, loads: list[Load]) -> None:
    """Print calls a second and the usage of each role for each load."""
    click.echo(
        "\n| load | calls/s | refused | p50 ms | p99 ms | entry % of a core | control % "
        "| sidecar % | entry MB | control MB | sidecar MB |"
    )
    click.echo("|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
    for load in loads:
        percents = [
            f"{100 * load.usage_by_role[role].cpu_seconds / load.seconds:.1f}"
            for role in ("entry", "control", "sidecar")
        ]
        memory = [
            f"{load.usage_by_role[r].resident_mb:.1f}" for r in ("entry", "control", "sidecar")
        ]
        click.echo(
            f"| {load.name} | {load.rate():.0f} | {load.refused} | {load.percentile(0.5):.1f} | "
            f"{load.percentile(0.99):.1f} | {' | '.join(percents)} | {' | '.join(memory)} |"
        )
    count = {role: len(system.pids(role)) for role in ROLES}
    click.echo(f"\nProcessor time is the sum over {count}; memory is that of the largest process.")


def print_slopes(loads: list[Load]) -> None:
    """Print the processor time of each role for each call."""
    click.echo("\n| role | ms of a core a call | % of a core without calls |\n|---|---:|---:|")
    for role in ROLES:
        points = [
            (load.rate(), 100 * load.usage_by_role[role].cpu_seconds / load.seconds)
            for load in loads
        ]
        slope, intercept = fit_line(points)
        click.echo(f"| {role} | {slope * 10:.2f} | {intercept:.1f} |")


@click.command()
@click.option("--seconds", default=6.0, show_default=True, help="duration of each load")
@click.option("--callers", "concurrencies", multiple=True, type=int, default=[3, 12, 48])
def main(seconds: float, concurrencies: tuple[int, ...]) -> None:
    """Measure and print the tables."""
    system = start_system()
    try:
        idle = measure_idle(system, seconds)
        http = urllib3.PoolManager(retries=False, timeout=30.0)
        server, entries = system.server("service"), system.entries()
        numbers = iter(range(10**9))
        direct_calls = [lambda: call_direct(http, server, next(numbers))]
        direct = run_load("direct to the server", system, direct_calls, seconds)
        one = run_load("through the system", system, [Caller(entries[0], system.key).call], seconds)
        one_entry = [Caller(entries[0], system.key).call for _ in range(max(concurrencies))]
        loads = [idle]
        for count in concurrencies:
            callers = [Caller(entries[n % len(entries)], system.key) for n in range(count)]
            calls = [caller.call for caller in callers]
            loads.append(run_load(f"{count} callers", system, calls, seconds))
        single = run_load(f"{max(concurrencies)} callers, one entry", system, one_entry, seconds)
        print_latency(direct, one)
        print_loads(system, [*loads, single])
        print_slopes(loads)
    finally:
        stop_all(system.processes)


if __name__ == "__main__":
    main()
