"""Print the slopes that `docs/CAPACITY.md` uses: memory, bytes and time against size.

Each slope comes with its points and its least squares line. Memory is counted by tracemalloc, which
leaves out fragmentation; times are of one thread. The path and the sidecar have benchmarks of their
own, which need whole processes.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

import click
from tarragonhall_model import (
    Budget,
    CallKind,
    CallSpec,
    Command,
    EntryRecord,
    Heartbeat,
    KeyPolicy,
    LoadReport,
    OpenCall,
    OpenProgram,
    OrganisationPolicy,
    PolicyDelta,
    ServerKind,
    ServerRecord,
    View,
    decode,
    encode,
)
from tarragonhall_state import ControlState, Follower

KIB = 1024.0
ORGANISATIONS = (1_000, 5_000, 15_000)
SERVERS = (100, 1_000, 3_700)
PROGRAMS = (500, 1_000, 2_000)
BODY_KB = (1, 10, 50)
ROUNDS = 2_000


def fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least squares line."""
    mean_x = sum(x for x, _y in points) / len(points)
    mean_y = sum(y for _x, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _y in points)
    return covariance / variance, mean_y - covariance / variance * mean_x


def report(title: str, unit: str, points: list[tuple[float, float]]) -> None:
    """Print a table row with the points and their least squares line."""
    slope, intercept = fit(points)
    shown = ", ".join(f"{x:,.0f}: {y:,.2f}" for x, y in points)
    click.echo(f"| {title} | {shown} | {slope:.5f} {unit} | {intercept:.2f} |")


def allocated_kib(make: Callable[[], object]) -> float:
    """Return the KiB allocated for the object that `make` returns."""
    tracemalloc.start()
    made = make()
    held, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return held / KIB


def policy(count: int) -> PolicyDelta:
    """Return a policy of `count` organisations with one key each."""
    organisations = tuple(
        OrganisationPolicy(f"org-{number}", f"/team-{number % 50}/org-{number}")
        for number in range(count)
    )
    keys = tuple(KeyPolicy(f"{number:064x}", f"org-{number}") for number in range(count))
    return PolicyDelta(0, 1, full=True, organisations=organisations, keys=keys)


def view(servers: int) -> View:
    """Return a view of `servers` backend servers and a tenth as many entries."""
    records = [server(number) for number in range(servers)]
    entries = [
        EntryRecord(f"entry-{number}", "f" * 16, "10.0.0.1:7400", f"zone-{number % 7}")
        for number in range(servers // 10)
    ]
    return View(1, entries, records)


def server(number: int) -> ServerRecord:
    """Return the record of a backend server."""
    return ServerRecord(
        f"engine-{number}",
        "f" * 16,
        "10.0.0.1:7400",
        f"zone-{number % 7}",
        ServerKind.MODEL,
        [f"model-{number % 20}"],
    )


def follower_of(data: bytes) -> Follower:
    """Return a follower that has applied an encoded policy."""
    follower = Follower()
    follower.apply_policy(decode(data))
    return follower


def journal(programs: int, body_kb: int) -> ControlState:
    """Return a state with open programs, each with one open call of `body_kb` KB."""
    state = ControlState()
    body = "x" * (body_kb * 1024)
    for number in range(programs):
        program_id = f"prog-{number:024x}"
        opened = OpenProgram(program_id, "org-1", Budget(), 600)
        call = CallSpec(1, CallKind.MODEL, "model-1", body, max_tokens=10)
        for index, command in enumerate((opened, OpenCall(program_id, "org-1", call, "entry-1"))):
            data = encode(Command(f"req-{number}-{index}", 1_000, command))
            state.apply(2 * number + index + 1, data)
    return state


def microseconds(action: Callable[[], object]) -> float:
    """Return the mean time of an action in microseconds."""
    started = time.perf_counter()
    for _ in range(ROUNDS):
        action()
    return (time.perf_counter() - started) / ROUNDS * 1e6


def main() -> None:
    """Measure and print the table."""
    click.echo("| quantity | points | slope | intercept |\n|---|---|---|---|")
    encoded = {count: encode(policy(count)) for count in ORGANISATIONS}
    report(
        "entry: KiB of settings against organisations",
        "KiB each",
        [(n, allocated_kib(lambda n=n: follower_of(encoded[n]))) for n in ORGANISATIONS],
    )
    report(
        "full policy: KiB sent against organisations",
        "KiB each",
        [(n, len(encoded[n]) / KIB) for n in ORGANISATIONS],
    )
    views = {count: encode(view(count)) for count in SERVERS}
    report(
        "view: KiB sent against backend servers",
        "KiB each",
        [(n, len(views[n]) / KIB) for n in SERVERS],
    )
    report(
        "entry: KiB of view against backend servers",
        "KiB each",
        [(n, allocated_kib(lambda n=n: decode(views[n]))) for n in SERVERS],
    )
    report(
        "control: KiB against open programs of 1 KB",
        "KiB each",
        [(n, allocated_kib(lambda n=n: journal(n, 1))) for n in PROGRAMS],
    )
    report(
        "control: KiB of 500 programs against KB of body",
        "KiB each KB",
        [(kb, allocated_kib(lambda kb=kb: journal(500, kb))) for kb in BODY_KB],
    )
    heartbeat = Heartbeat(server(1), 1, 1)
    load = LoadReport("engine-1", "f" * 16, 3, 1, 8, held_programs=("prog-" + "f" * 24,) * 16)
    click.echo("")
    for name, message in (("heartbeat", heartbeat), ("load report", load)):
        data = encode(message)
        cost = microseconds(lambda message=message: decode(encode(message)))
        click.echo(f"{name}: {len(data)} bytes, {cost:.0f} us to encode and decode")


if __name__ == "__main__":
    main()
