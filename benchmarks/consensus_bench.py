"""Commit rate, latency, recovery time and memory of the replicated log, with real syncs.

All members run on one thread of one process and pass messages directly. The syncs of several
members therefore run one after the other, where on separate machines they would run in parallel:
the rates of several members are a lower bound, the latencies an upper bound.
"""

from __future__ import annotations

import gc
import itertools
import multiprocessing
import os
import random
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click
from tarragonhall_consensus import (
    TICK_SECONDS,
    Limits,
    Member,
    ProposalDone,
    ProposeData,
    Received,
    SendTo,
    TakeSnapshot,
    Tick,
    open_replica,
)
from tarragonhall_model import decode, encode

ENTRY_BYTES = 256
MEGABYTE = 1 << 20
KEEP_ALL = Limits(snapshot_entries=1 << 40, snapshot_bytes=1 << 60)


class Store:
    """A state machine that stores the last value of each of a bounded number of keys."""

    def __init__(self) -> None:
        self.value_by_key: dict[int, bytes] = {}

    def apply(self, index: int, data: bytes) -> int:
        self.value_by_key[index % 1_000] = data
        return index

    def snapshot(self) -> bytes:
        return b"".join(self.value_by_key.values())

    def restore(self, data: bytes) -> None:
        self.value_by_key = {0: data}


@dataclass(slots=True)
class CommitCost:
    """The result of one row of the commit table."""

    members: int
    pending: int
    rate: float
    p50_ms: float
    p99_ms: float
    syncs: int
    commits: int


class Group:
    """Members that pass messages to one another through the codec, as links do."""

    def __init__(self, folder: Path, count: int, limits: Limits | None = None) -> None:
        members = [Member(f"m{number}", "", "") for number in range(count)]
        now = time.monotonic()
        self.replica_by_id = {
            member.member_id: open_replica(
                str(folder / member.member_id), member.member_id, "", members, Store(),
                random.Random(member.member_id), now, limits,
            )  # fmt: skip
            for member in members
        }
        self.inbox_by_id = {member_id: [] for member_id in self.replica_by_id}
        self.leader = ""
        while not self.leader:
            self.step_all([Tick()])
            for member_id, replica in self.replica_by_id.items():
                if replica.is_leader(time.monotonic()):
                    self.leader = member_id

    def step_all(self, events: list) -> list[ProposalDone]:
        """Step every member once with its messages, and the leader also with the events."""
        done = []
        for member_id, replica in self.replica_by_id.items():
            inbox, self.inbox_by_id[member_id] = self.inbox_by_id[member_id], []
            own = events if member_id == self.leader or not self.leader else []
            if not inbox and not own and self.leader:
                continue
            for output in replica.step([*inbox, *own], time.monotonic()):
                if isinstance(output, SendTo):
                    message = decode(encode(output.message))
                    self.inbox_by_id[output.peer].append(Received(member_id, message))
                elif isinstance(output, ProposalDone):
                    done.append(output)
        return done

    def close(self) -> None:
        for replica in self.replica_by_id.values():
            replica.close()


def measure_commits(folder: Path, count: int, pending: int, seconds: float) -> CommitCost:
    """Measure commits with `pending` proposals in flight for some seconds."""
    group = Group(folder, count)
    tokens = itertools.count()
    data = random.Random(1).randbytes(ENTRY_BYTES)
    started_by_token: dict[int, float] = {}
    latencies = []
    syncs = group.replica_by_id[group.leader]._core.storage.syncs
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        events = []
        for _ in range(pending - len(started_by_token)):
            token = next(tokens)
            started_by_token[token] = time.monotonic()
            events.append(ProposeData(token, data))
        for output in group.step_all(events or [Tick()]):
            latencies.append(time.monotonic() - started_by_token.pop(output.token))
    elapsed = time.monotonic() - started
    syncs = group.replica_by_id[group.leader]._core.storage.syncs - syncs
    group.close()
    percentiles = statistics.quantiles(latencies, n=100)
    return CommitCost(
        count,
        pending,
        len(latencies) / elapsed,
        percentiles[49] * 1e3,
        percentiles[98] * 1e3,
        syncs,
        len(latencies),
    )


def measure_sync(folder: Path) -> tuple[float, float]:
    """Return p50 and p99 in ms of appending one entry's bytes to a file and syncing it."""
    times = []
    descriptor = os.open(folder / "sync", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    for _ in range(500):
        started = time.monotonic()
        os.write(descriptor, bytes(ENTRY_BYTES))
        os.fdatasync(descriptor)
        times.append((time.monotonic() - started) * 1e3)
    os.close(descriptor)
    percentiles = statistics.quantiles(times, n=100)
    return percentiles[49], percentiles[98]


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def write_log(folder: Path, entries: int, limits: Limits) -> Group:
    """Write a log of `entries` entries and return its one-member group."""
    group = Group(folder, 1, limits)
    data = random.Random(1).randbytes(ENTRY_BYTES)
    for start in range(0, entries, 500):
        group.step_all([ProposeData(start, data)] * min(500, entries - start))
    return group


def reopen(folder: Path, results) -> None:
    """Open a folder in a new process; put the seconds and megabytes into `results`."""
    gc.collect()
    before = resident_mb()
    started = time.monotonic()
    group = Group(folder, 1, KEEP_ALL)
    elapsed = time.monotonic() - started
    gc.collect()
    results.put((elapsed, resident_mb() - before))
    group.close()


def measure_recovery(folder: Path) -> tuple[float, float]:
    """Return the seconds and megabytes that recovery takes in a new process."""
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    process = context.Process(target=reopen, args=(folder, results))
    process.start()
    found = results.get(timeout=120)
    process.join()
    return found


class SizedMachine:
    """A state machine whose snapshot has a given size in bytes."""

    def __init__(self, size: int) -> None:
        self.size = size

    def apply(self, index: int, data: bytes) -> None:
        return None

    def snapshot(self) -> bytes:
        return bytes(self.size)

    def restore(self, data: bytes) -> None:
        self.size = len(data)


def measure_snapshot(folder: Path, size: int) -> tuple[float, float]:
    """Return the seconds that writing and reading a snapshot of `size` bytes take."""
    members = [Member("m0", "", "")]

    def opened():
        rng = random.Random(size)
        return open_replica(
            str(folder), "m0", "", members, SizedMachine(size), rng, time.monotonic()
        )

    replica = opened()
    replica.step([Tick()], time.monotonic())
    started = time.monotonic()
    replica.step([TakeSnapshot()], time.monotonic())
    written = time.monotonic() - started
    replica.close()
    started = time.monotonic()
    opened().close()
    return written, time.monotonic() - started


def measure_failover(folder: Path, seed: int) -> float:
    """Return the simulated seconds from the stop of a leader to the lease of the next one."""
    members = [Member(f"m{number}", "", "") for number in range(3)]
    now = 0.0
    replica_by_id = {}
    for member in members:
        name = member.member_id
        rng = random.Random(f"{seed}{name}")
        path = str(folder / name)
        replica_by_id[name] = open_replica(path, name, "", members, Store(), rng, now)
    inbox_by_id = {name: [] for name in replica_by_id}
    lost_at = None
    while True:
        for name, replica in list(replica_by_id.items()):
            inbox, inbox_by_id[name] = inbox_by_id[name], []
            for output in replica.step([*inbox, Tick()], now):
                if isinstance(output, SendTo):
                    inbox_by_id[output.peer].append(Received(name, output.message))
        now += TICK_SECONDS
        leaders = [name for name, replica in replica_by_id.items() if replica.is_leader(now)]
        if leaders and lost_at is None and now > 5:
            lost_at = now
            replica_by_id.pop(leaders[0]).close()
        elif leaders and lost_at is not None:
            break
    for replica in replica_by_id.values():
        replica.close()
    return now - lost_at


@dataclass(slots=True)
class IdleCost:
    """Bytes a second and percent of a core that members use while idle."""

    members: int
    leader_bytes: float
    follower_bytes: float
    leader_share: float
    follower_share: float


def measure_idle(folder: Path, count: int, seconds: int = 60) -> IdleCost:
    """Run ticks for some simulated seconds, without waiting."""
    group = Group(folder, count)
    now = time.monotonic()
    ids = list(group.replica_by_id)
    sent = dict.fromkeys(ids, 0)
    cpu_seconds = dict.fromkeys(ids, 0.0)
    for _ in range(int(seconds / TICK_SECONDS)):
        now += TICK_SECONDS
        for member_id in [group.leader, *ids, group.leader]:
            inbox, group.inbox_by_id[member_id] = group.inbox_by_id[member_id], []
            started = time.process_time()
            outputs = group.replica_by_id[member_id].step([*inbox, Tick()], now)
            cpu_seconds[member_id] += time.process_time() - started
            for output in outputs:
                if not isinstance(output, SendTo):
                    continue
                packed = encode(output.message)
                sent[member_id] += len(packed)
                group.inbox_by_id[output.peer].append(Received(member_id, decode(packed)))
    assert group.replica_by_id[group.leader].is_leader(now)
    group.close()
    follower = next((member_id for member_id in ids if member_id != group.leader), group.leader)
    return IdleCost(
        count,
        sent[group.leader] / seconds,
        sent[follower] / seconds,
        100 * cpu_seconds[group.leader] / seconds,
        100 * cpu_seconds[follower] / seconds,
    )


@click.command()
@click.option("--seconds", default=5.0, help="Duration of each row of the first table.")
@click.option("--folder", default="build", help="Folder on the disk to measure.")
def main(seconds: float, folder: str) -> None:
    """Measure the replicated log and print tables."""
    os.makedirs(folder, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=folder) as made:
        run(Path(made), seconds)


def run(top: Path, seconds: float) -> None:
    """Print every table."""
    p50, p99 = measure_sync(top)
    click.echo(f"one append of {ENTRY_BYTES} bytes with a sync: p50 {p50:.2f} ms, p99 {p99:.2f} ms")
    click.echo("\nmembers  pending  commits/s   p50 ms   p99 ms  commits/sync")
    for count, pending in itertools.product((1, 3, 5), (1, 16, 256)):
        row = measure_commits(top / f"commits-{count}-{pending}", count, pending, seconds)
        click.echo(
            f"{row.members:7}  {row.pending:7}  {row.rate:9.0f}  {row.p50_ms:7.2f}  "
            f"{row.p99_ms:7.2f}  {row.commits / max(row.syncs, 1):12.1f}"
        )
    click.echo(f"\nlog entries of {ENTRY_BYTES} bytes  file MB  recovery s  memory MB")
    for entries in (1_000, 10_000, 50_000, 200_000):
        folder = top / f"log-{entries}"
        write_log(folder, entries, KEEP_ALL).close()
        size = sum(path.stat().st_size for path in folder.rglob("*.segment")) / MEGABYTE
        elapsed, memory = measure_recovery(folder)
        click.echo(f"{entries:24}  {size:7.1f}  {elapsed:10.3f}  {memory:9.1f}")
    click.echo("\nmembers  leader B/s  follower B/s  leader % of a core  follower % of a core")
    for count in (1, 3, 5, 7):
        idle = measure_idle(top / f"idle-{count}", count)
        click.echo(
            f"{idle.members:7}  {idle.leader_bytes:10.0f}  {idle.follower_bytes:12.0f}  "
            f"{idle.leader_share:18.3f}  {idle.follower_share:20.3f}"
        )
    times = [measure_failover(top / f"failover-{seed}", seed) for seed in range(200)]
    percentiles = statistics.quantiles(times, n=100)
    click.echo(
        f"\nfailover of three members, messages one tick late, {len(times)} runs: "
        f"p50 {percentiles[49]:.2f} s, p99 {percentiles[98]:.2f} s, longest {max(times):.2f} s"
    )
    click.echo("\nsnapshot MB  write s  recovery s")
    for size in (1, 8, 64):
        written, read = measure_snapshot(top / f"snapshot-{size}", size * MEGABYTE)
        click.echo(f"{size:11}  {written:7.3f}  {read:10.3f}")


if __name__ == "__main__":
    main()
