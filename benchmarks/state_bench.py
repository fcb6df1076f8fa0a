"""Measure the state machine and the distribution of settings; print one line for each figure.

    state_bench.py apply                commands applied a second, by kind
    state_bench.py snapshot             snapshot and restore: time, size and memory by programs
    state_bench.py distribute           time until a change is in force, at 1, 10 and 50 followers

Followers run in one child process, each with links of its own, so that this process's time and
memory are those of the member. Changes and arrivals are timed on the same monotonic clock.
"""

from __future__ import annotations

import warnings

# The docs discuss this deprecation; the warning would hide the figures.
warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import json  # noqa: E402
import resource  # noqa: E402
import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import structlog  # noqa: E402
from eventlet import tpool  # noqa: E402
from tarragonhall_control import OPTIONS, start_control  # noqa: E402
from tarragonhall_fakes import free_address  # noqa: E402
from tarragonhall_model import (  # noqa: E402
    Answer,
    AttemptId,
    Budget,
    CallKind,
    CallSpec,
    CloseCall,
    Command,
    EntryRecord,
    OpenCall,
    OpenProgram,
    StartAttempt,
    Usage,
    encode,
)
from tarragonhall_state import (  # noqa: E402
    ChangeSettings,
    ControlState,
    CreateOrganisation,
    Follower,
)
from tarragonhall_wire import ControlClient, make_context, make_metrics  # noqa: E402

SECRET = b"bench"
FOLLOWER_COUNTS = (1, 10, 50)
PROGRAM_COUNTS = (1_000, 5_000, 20_000)
CALLS_PER_PROGRAM = 5
TEXT = "x" * 1_000
PROGRAMS_BETWEEN_SNAPSHOTS = 1_000
CHANGES = 60
CHANGE_INTERVAL_SECONDS = 0.05
# The views with the last announced followers are still in flight.
SETTLE_SECONDS = 2.0
IDLE_SECONDS = 10.0
BUDGET = Budget(1_000_000, 1_000, 3_600)


class Applier:
    """Applies commands to a state machine without a replicated log."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.count = 0

    def __call__(self, body: object) -> object:
        self.count += 1
        command = Command(f"req-{self.count}", 1_000 + self.count, body)
        return self.state.apply(self.count, encode(command))

    def run_program(self, number: int, calls: int) -> None:
        program_id = f"prog-{number}"
        self(OpenProgram(program_id, "school", BUDGET, 600))
        for seq in range(1, calls + 1):
            spec = CallSpec(seq, CallKind.MODEL, "planner", TEXT, max_tokens=100)
            attempt = AttemptId(program_id, seq, 1, "engine-1", "life-1")
            self(OpenCall(program_id, "school", spec, "entry-1"))
            self(StartAttempt(attempt, "school", "entry-1"))
            self(CloseCall(attempt, answer=Answer(TEXT, Usage(generated=100))))


def report(name: str, **figures: object) -> None:
    """Print one result."""
    print(json.dumps({"figure": name} | figures), flush=True)


def memory_mb() -> float:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def bench_apply() -> None:
    """Time commands by kind, each encoded and applied as on a member."""
    applier = Applier()
    programs = 1_000
    started = time.perf_counter()
    for number in range(programs):
        applier.run_program(number, CALLS_PER_PROGRAM)
    seconds = time.perf_counter() - started
    report(
        "journal commands applied",
        commands=applier.count,
        per_second=round(applier.count / seconds),
        us_each=round(seconds / applier.count * 1e6),
    )
    applier(CreateOrganisation("school", "/texas/school", {}, "ana"))
    started = time.perf_counter()
    for number in range(2_000):
        revision = applier.state.revision
        applier(ChangeSettings("/texas", {"weight": 1 + number % 90}, [], "ana", revision))
    seconds = time.perf_counter() - started
    report("settings changes applied", commands=2_000, per_second=round(2_000 / seconds))


def bench_snapshot() -> None:
    """Time snapshots by number of programs, each count in a process of its own."""
    points = []
    for programs in PROGRAM_COUNTS:
        figures = in_own_process("snapshot-of", programs)
        points.append((programs, figures["next_snapshot_s"]))
        report("snapshot", **figures)
    slope, _ = slope_of(points)
    report("snapshot slope", ms_per_1000_programs=round(slope * 1e6, 1))


def snapshot_of(programs: int) -> dict:
    """Fill a state with programs of 5 calls and 10 KB of text, and take two snapshots of it."""
    base_mb = memory_mb()
    applier = Applier()
    for number in range(programs):
        applier.run_program(number, CALLS_PER_PROGRAM)
    started = time.perf_counter()
    applier.state.snapshot()
    first = time.perf_counter() - started
    for number in range(PROGRAMS_BETWEEN_SNAPSHOTS):
        applier.run_program(programs + number, 1)
    held_mb = memory_mb() - base_mb
    started = time.perf_counter()
    data = applier.state.snapshot()
    second = time.perf_counter() - started
    del applier
    started = time.perf_counter()
    ControlState().restore(data)
    restored = time.perf_counter() - started
    return {
        "programs": programs,
        "first_snapshot_s": round(first, 3),
        "next_snapshot_s": round(second, 3),
        "restore_s": round(restored, 3),
        "size_mb": round(len(data) / 1e6, 1),
        "memory_mb": round(held_mb, 1),
    }


def in_own_process(part: str, count: int) -> dict:
    """Run one part in a new process, so that memory is measured separately; return its figures."""
    command = [sys.executable, __file__, part, str(count)]
    return json.loads(subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout)


def slope_of(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least squares line."""
    line = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return line.slope, line.intercept


def bench_distribute() -> None:
    """Time changes from acceptance until the last follower has applied them."""
    points = []
    for followers in FOLLOWER_COUNTS:
        figures = in_own_process("distribute-to", followers)
        points.append((followers, figures["p50_ms"]))
        report("change in force everywhere", **figures)
    slope, intercept = slope_of(points)
    report("slope", ms_per_follower=round(slope, 3), ms_at_none=round(intercept, 2))


def distribute_to(followers: int) -> dict:
    """Run one member and a child process with `followers` followers; return the figures."""
    with tempfile.TemporaryDirectory() as folder:
        link, admin = free_address(), free_address()
        settings = {"data_folder": folder, "admin": admin, "members": {"one": link}}
        context = make_context("one", "tx-waco", link, [], SECRET, make_metrics(None, 0, "one"))
        role = start_control(OPTIONS.load(settings)[0], context)
        member = role.member
        wait_until(member.is_leader)
        member.commit(CreateOrganisation("school", "/texas/school", {}, "ana"))
        child = subprocess.Popen(
            [sys.executable, __file__, "followers", link, str(followers)],
            stdout=subprocess.PIPE,
            stdin=subprocess.PIPE,
            text=True,
        )
        try:
            wait_until(lambda: len(member.state.view().entries) == followers)
            wait_until(lambda: len(member.followers) == followers)
            eventlet.sleep(SETTLE_SECONDS)
            idle = idle_figures(context, followers)
            accepted_at = make_changes(member)
            eventlet.sleep(1.0)
            arrivals, _ = tpool.execute(child.communicate, "")
        finally:
            child.kill()
            role.stop()
            context.hub.stop()
    last_at = {int(revision): at for revision, at in json.loads(arrivals).items()}
    delays_ms = sorted((last_at[changed] - at) * 1e3 for changed, at in accepted_at.items())
    return {
        "followers": followers,
        "changes": len(delays_ms),
        "p50_ms": round(statistics.median(delays_ms), 2),
        "p99_ms": round(delays_ms[int(len(delays_ms) * 0.99) - 1], 2),
        "max_ms": round(delays_ms[-1], 2),
        "memory_mb": round(memory_mb(), 1),
    } | idle


def idle_figures(context, followers: int) -> dict:
    """Return bytes a second of each follower's link and the member's idle processor share."""
    links = [link for link in context.hub.accepted if link.peer.instance.startswith("entry")]
    sent = sum(link.sent_bytes for link in links)
    received = sum(link.received_bytes for link in links)
    busy = time.process_time()
    eventlet.sleep(IDLE_SECONDS)
    sent = sum(link.sent_bytes for link in links) - sent
    received = sum(link.received_bytes for link in links) - received
    return {
        "to_follower_bytes_s": round(sent / followers / IDLE_SECONDS),
        "from_follower_bytes_s": round(received / followers / IDLE_SECONDS),
        "idle_core_percent": round((time.process_time() - busy) / IDLE_SECONDS * 100, 2),
    }


def make_changes(member) -> dict[int, float]:
    """Change a setting repeatedly; return when each revision was accepted."""
    accepted_at = {}
    for number in range(CHANGES):
        change = ChangeSettings("/texas", {"weight": 1 + number}, [], "ana", member.state.revision)
        result = member.commit(change)
        accepted_at[result.revision] = time.monotonic()
        eventlet.sleep(CHANGE_INTERVAL_SECONDS)
    return accepted_at


class TimedFollower(Follower):
    """Records when each revision was applied."""

    __slots__ = ("at_by_revision",)

    def __init__(self) -> None:
        super().__init__()
        self.at_by_revision: dict[int, float] = {}

    def apply_policy(self, delta) -> bool:
        applied = super().apply_policy(delta)
        if applied:
            self.at_by_revision[self.settings_revision] = time.monotonic()
        return applied


def run_followers(address: str, count: int) -> None:
    """Follow until standard input closes, then print the last arrival of each revision."""
    followers = []
    for number in range(count):
        name = f"entry-{number}"
        metrics = make_metrics(None, 0, name)
        context = make_context(name, "tx-waco", free_address(), [address], SECRET, metrics)
        node = EntryRecord(name, context.incarnation, context.link_address, "tx-waco")
        follower = TimedFollower()
        ControlClient(context).follow(lambda node=node: node, follower)
        followers.append(follower)
    tpool.execute(sys.stdin.read)
    last_at: dict[int, float] = {}
    for follower in followers:
        for revision, at in follower.at_by_revision.items():
            last_at[revision] = max(at, last_at.get(revision, 0.0))
    print(json.dumps(last_at), flush=True)


def wait_until(condition) -> None:
    """Wait until the condition holds."""
    with eventlet.Timeout(30):
        while not condition():
            eventlet.sleep(0.01)


def main() -> None:
    """Run the parts named on the command line, or all."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    if sys.argv[1:2] == ["followers"]:
        run_followers(sys.argv[2], int(sys.argv[3]))
        return
    part_by_name = {"snapshot-of": snapshot_of, "distribute-to": distribute_to}
    if sys.argv[1:] and sys.argv[1] in part_by_name:
        print(json.dumps(part_by_name[sys.argv[1]](int(sys.argv[2]))))
        return
    parts = {"apply": bench_apply, "snapshot": bench_snapshot, "distribute": bench_distribute}
    for name in sys.argv[1:] or parts:
        parts[name]()


if __name__ == "__main__":
    main()
