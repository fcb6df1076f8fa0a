"""Commit rate, latency, recovery time and memory of the replicated log, with real syncs.

All members run in one process on one thread and hand messages over directly. So the syncs of
three or five members follow one another here, which on machines of their own they would not:
the rates for several members are a lower bound, the latencies an upper one.
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
    """A machine whose state is the last value of each of a bounded number of keys."""

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
class Round:
    """What one setting gave."""

    members: int
    waiting: int
    rate: float
    p50_ms: float
    p99_ms: float
    syncs: int
    commits: int


class Group:
    """A few members that hand one another messages through the codec, as links do."""

    def __init__(self, folder: Path, count: int, limits: Limits | None = None) -> None:
        founders = [Member(f"m{number}", "", "") for number in range(count)]
        now = time.monotonic()
        self.replica_by_id = {
            f.member_id: open_replica(
                str(folder / f.member_id), f.member_id, "", founders, Store(),
                random.Random(f.member_id), now, limits,
            )  # fmt: skip
            for f in founders
        }
        self.inbox_by_id = {member_id: [] for member_id in self.replica_by_id}
        self.leader = ""
        while not self.leader:
            self.turn([Tick()])
            for member_id, replica in self.replica_by_id.items():
                if replica.is_leader(time.monotonic()):
                    self.leader = member_id

    def turn(self, events: list) -> list[ProposalDone]:
        """Step every member once with its messages, the leader also with the events."""
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


def measure_commits(folder: Path, count: int, waiting: int, seconds: float) -> Round:
    """Keep `waiting` proposals under way for a while."""
    group = Group(folder, count)
    tokens = itertools.count()
    data = random.Random(1).randbytes(ENTRY_BYTES)
    begun_by_token: dict[int, float] = {}
    latencies = []
    syncs = group.replica_by_id[group.leader]._core.storage.syncs
    begun = time.monotonic()
    while time.monotonic() - begun < seconds:
        events = []
        for _ in range(waiting - len(begun_by_token)):
            token = next(tokens)
            begun_by_token[token] = time.monotonic()
            events.append(ProposeData(token, data))
        for output in group.turn(events or [Tick()]):
            latencies.append(time.monotonic() - begun_by_token.pop(output.token))
    taken = time.monotonic() - begun
    syncs = group.replica_by_id[group.leader]._core.storage.syncs - syncs
    group.close()
    cuts = statistics.quantiles(latencies, n=100)
    return Round(
        count,
        waiting,
        len(latencies) / taken,
        cuts[49] * 1e3,
        cuts[98] * 1e3,
        syncs,
        len(latencies),
    )


def measure_sync(folder: Path) -> tuple[float, float]:
    """Return p50 and p99 in ms of appending one entry's bytes to a file and syncing it."""
    times = []
    descriptor = os.open(folder / "sync", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    for _ in range(500):
        begun = time.monotonic()
        os.write(descriptor, bytes(ENTRY_BYTES))
        os.fdatasync(descriptor)
        times.append((time.monotonic() - begun) * 1e3)
    os.close(descriptor)
    cuts = statistics.quantiles(times, n=100)
    return cuts[49], cuts[98]


def resident_mb() -> float:
    """Return this process's resident memory."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def fill(folder: Path, entries: int, limits: Limits) -> Group:
    """Write a log of so many entries."""
    group = Group(folder, 1, limits)
    data = random.Random(1).randbytes(ENTRY_BYTES)
    for start in range(0, entries, 500):
        group.turn([ProposeData(start, data)] * min(500, entries - start))
    return group


def reopen(folder: Path, results) -> None:
    """Open a folder in a fresh process; give the time and the memory that it took."""
    gc.collect()
    before = resident_mb()
    begun = time.monotonic()
    group = Group(folder, 1, KEEP_ALL)
    taken = time.monotonic() - begun
    gc.collect()
    results.put((taken, resident_mb() - before))
    group.close()


def measure_recovery(folder: Path) -> tuple[float, float]:
    """Return seconds and megabytes that a fresh process takes to recover."""
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    process = context.Process(target=reopen, args=(folder, results))
    process.start()
    found = results.get(timeout=120)
    process.join()
    return found


class Blob:
    """A machine whose snapshot has a given size."""

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
    founders = [Member("m0", "", "")]

    def opened():
        rng = random.Random(size)
        return open_replica(str(folder), "m0", "", founders, Blob(size), rng, time.monotonic())

    replica = opened()
    replica.step([Tick()], time.monotonic())
    begun = time.monotonic()
    replica.step([TakeSnapshot()], time.monotonic())
    written = time.monotonic() - begun
    replica.close()
    begun = time.monotonic()
    opened().close()
    return written, time.monotonic() - begun


def measure_failover(folder: Path, seed: int) -> float:
    """Return the seconds, on the members' clocks, from a leader's end to the next one's lease."""
    founders = [Member(f"m{number}", "", "") for number in range(3)]
    now = 0.0
    replica_by_id = {}
    for founder in founders:
        name = founder.member_id
        rng = random.Random(f"{seed}{name}")
        path = str(folder / name)
        replica_by_id[name] = open_replica(path, name, "", founders, Store(), rng, now)
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
class Idle:
    """What members cost while nothing happens."""

    members: int
    leader_bytes: float
    follower_bytes: float
    leader_share: float
    follower_share: float


def measure_idle(folder: Path, count: int, seconds: int = 60) -> Idle:
    """Feed ticks for a minute of the members' clocks, as fast as it goes."""
    group = Group(folder, count)
    now = time.monotonic()
    ids = list(group.replica_by_id)
    sent = dict.fromkeys(ids, 0)
    spent = dict.fromkeys(ids, 0.0)
    for _ in range(int(seconds / TICK_SECONDS)):
        now += TICK_SECONDS
        for member_id in [group.leader, *ids, group.leader]:
            inbox, group.inbox_by_id[member_id] = group.inbox_by_id[member_id], []
            begun = time.process_time()
            outputs = group.replica_by_id[member_id].step([*inbox, Tick()], now)
            spent[member_id] += time.process_time() - begun
            for output in outputs:
                if not isinstance(output, SendTo):
                    continue
                packed = encode(output.message)
                sent[member_id] += len(packed)
                group.inbox_by_id[output.peer].append(Received(member_id, decode(packed)))
    assert group.replica_by_id[group.leader].is_leader(now)
    group.close()
    follower = next((member_id for member_id in ids if member_id != group.leader), group.leader)
    return Idle(
        count,
        sent[group.leader] / seconds,
        sent[follower] / seconds,
        100 * spent[group.leader] / seconds,
        100 * spent[follower] / seconds,
    )


@click.command()
@click.option("--seconds", default=5.0, help="Time for each row of the first table.")
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
    click.echo("\nmembers  waiting  commits/s   p50 ms   p99 ms  commits/sync")
    for count, waiting in itertools.product((1, 3, 5), (1, 16, 256)):
        row = measure_commits(top / f"commits-{count}-{waiting}", count, waiting, seconds)
        click.echo(
            f"{row.members:7}  {row.waiting:7}  {row.rate:9.0f}  {row.p50_ms:7.2f}  "
            f"{row.p99_ms:7.2f}  {row.commits / max(row.syncs, 1):12.1f}"
        )
    click.echo(f"\nlog entries of {ENTRY_BYTES} bytes  file MB  recovery s  memory MB")
    for entries in (1_000, 10_000, 50_000, 200_000):
        folder = top / f"log-{entries}"
        fill(folder, entries, KEEP_ALL).close()
        size = sum(path.stat().st_size for path in folder.rglob("*.segment")) / MEGABYTE
        taken, memory = measure_recovery(folder)
        click.echo(f"{entries:24}  {size:7.1f}  {taken:10.3f}  {memory:9.1f}")
    click.echo("\nmembers  leader B/s  follower B/s  leader % of a core  follower % of a core")
    for count in (1, 3, 5, 7):
        idle = measure_idle(top / f"idle-{count}", count)
        click.echo(
            f"{idle.members:7}  {idle.leader_bytes:10.0f}  {idle.follower_bytes:12.0f}  "
            f"{idle.leader_share:18.3f}  {idle.follower_share:20.3f}"
        )
    times = [measure_failover(top / f"failover-{seed}", seed) for seed in range(200)]
    cuts = statistics.quantiles(times, n=100)
    click.echo(
        f"\nfailover of three members, messages one tick late, {len(times)} runs: "
        f"p50 {cuts[49]:.2f} s, p99 {cuts[98]:.2f} s, longest {max(times):.2f} s"
    )
    click.echo("\nsnapshot MB  write s  recovery s")
    for size in (1, 8, 64):
        written, read = measure_snapshot(top / f"snapshot-{size}", size * MEGABYTE)
        click.echo(f"{size:11}  {written:7.3f}  {read:10.3f}")


if __name__ == "__main__":
    main()
