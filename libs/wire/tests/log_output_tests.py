"""Log lines whose output refuses them, takes them in part, or keeps the writer waiting."""

from __future__ import annotations

import collections
import contextlib
import errno
import json
import math
import os
import subprocess
import sys

import eventlet
import pytest
from eventlet import patcher
from tarragonhall_wire import _line_writer
from tarragonhall_wire._line_writer import LineWriter
from tarragonhall_wire._log_budget import LogBudget
from tarragonhall_wire._logs import BudgetedLogWriter
from tarragonhall_wire._metrics import Metrics
from tarragonhall_wire._problems import Problems

LINE = b"x" * 199 + b"\n"


@contextlib.contextmanager
def room_for(descriptor: int, size: int):
    """Let the file of a descriptor grow to `size` bytes at most, as a full disk does.

    A limit on all files of this process would meet the output of other tests' green threads too.
    """
    write = _line_writer.os.write

    def limited_write(target: int, data: bytes) -> int:
        if target != descriptor:
            return write(target, data)
        room = size - os.fstat(descriptor).st_size
        if room <= 0:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
        return write(target, data[:room])

    _line_writer.os.write = limited_write
    try:
        yield
    finally:
        _line_writer.os.write = write


class LogFile:
    """A writer to a file, which has room for some bytes at most while `room_for` is active."""

    def __init__(self, path) -> None:
        self.path = path
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.writer = LineWriter(self.descriptor)
        self.metrics = Metrics()
        self.writer.measure(self.metrics)

    def write(self, count: int, line: bytes = LINE) -> None:
        for _ in range(count):
            self.writer.write(line)
        self.writer.flush()

    def lines(self) -> list[bytes]:
        return self.path.read_bytes().splitlines(keepends=True)

    def is_unwritable(self) -> bool:
        return "tarragonhall_log_unwritable 1" in self.metrics.exposition.text()


@pytest.fixture
def log_file(tmp_path):
    made = LogFile(tmp_path / "log")
    yield made
    os.close(made.descriptor)


def test_a_log_that_refuses_lines_is_told_by_the_metrics(log_file):
    # Guards against a full disk of the log that looks like a process with nothing to say.
    log_file.write(1)
    assert not log_file.is_unwritable()
    with room_for(log_file.descriptor, 0):
        log_file.write(1)
    assert log_file.is_unwritable()
    assert log_file.metrics.counts["log.refused_writes"] == 1
    assert "File too large" in log_file.writer.problem()
    eventlet.sleep(0.1)
    log_file.write(1)
    assert not log_file.is_unwritable()
    assert log_file.writer.problem() == ""


def test_losses_from_before_the_metrics_exist_are_counted(tmp_path):
    # Guards against lines of the start of a process that are lost without a count.
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    writer = LineWriter(descriptor)
    while not writer.dropped:
        writer.write(LINE)
    metrics = Metrics()
    writer.measure(metrics)
    assert metrics.counts["log.lost_lines"] == writer.dropped
    os.close(descriptor)


def test_problems_name_the_part_that_has_them():
    problems = Problems()
    problems.watch("log", lambda: "")
    problems.watch("member", lambda: "disk full")
    assert problems.texts() == ["member: disk full"]


def test_lines_refused_by_a_full_disk_are_written_once_it_has_room(log_file):
    # Guards against the line of a failure that is lost to the disk that fails.
    log_file.write(1)
    with room_for(log_file.descriptor, 0):
        log_file.write(10, b"y" * 199 + b"\n")
    eventlet.sleep(2.0)
    log_file.write(1)
    assert log_file.lines()[:12] == [LINE, *[b"y" * 199 + b"\n"] * 10, LINE]


def test_a_line_that_was_written_in_part_is_completed(log_file):
    # Guards against a half line, which makes the next one unreadable too.
    with room_for(log_file.descriptor, 2_050):
        log_file.write(30)
    assert log_file.path.stat().st_size == 2_050
    eventlet.sleep(2.0)
    log_file.write(1)
    assert log_file.lines()[:31] == [LINE] * 31


def test_refused_lines_are_kept_to_a_bound_and_those_lost_are_counted(log_file):
    # Guards against a process that runs out of memory, or forgets its losses, on a full disk.
    with room_for(log_file.descriptor, 0):
        log_file.write(5_000)
        log_file.write(5_000)
    kept = 10_000 - log_file.metrics.counts["log.lost_lines"]
    assert 1_000 < kept < 2_000
    eventlet.sleep(2.0)
    log_file.writer.flush()
    log_file.write(1)
    assert log_file.lines().count(LINE) == kept + 1


def test_losses_are_told_in_the_log_without_a_further_event(tmp_path):
    # Guards against losses that nobody is told of while the process has nothing else to say.
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    writer = LineWriter(descriptor)
    log_writer = BudgetedLogWriter("one", LogBudget(lines=10_000, size=10_000_000), writer)
    writer.start()
    with room_for(descriptor, 0):
        for _ in range(3_000):
            log_writer(None, "info", {"event": "change", "level": "error", "text": "x" * 99})
        eventlet.sleep(0.2)
    eventlet.sleep(2.0)
    events = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    count_by_event = collections.Counter(event["event"] for event in events)
    lost = sum(event.get("unread", 0) for event in events if event["event"] == "log.left_out")
    assert lost > 0
    assert lost + count_by_event["change"] == 3_000
    (resumed,) = (event for event in events if event["event"] == "log.resumed")
    assert resumed["unwritable_s"] >= 0.1
    assert "File too large" in resumed["reason"]
    os.close(descriptor)


def test_a_report_of_losses_that_is_lost_itself_is_made_again():
    # Guards against a count that is reset although its line found no room in the queue.
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    log_writer = BudgetedLogWriter("one", LogBudget(lines=2), writer)
    for _ in range(5):
        log_writer(None, "info", {"event": "change", "level": "info"})
    while not writer.dropped:
        writer.write(LINE)
    log_writer._reported_at = 0.0
    log_writer(None, "info", {"event": "change", "level": "info"})
    received = b""
    while b"log.left_out" not in received:
        writer.flush()
        received += os.read(reader, 100_000)
        log_writer._reported_at = 0.0
        log_writer(None, "info", {"event": "change", "level": "info"})
    report = next(line for line in received.splitlines() if b"log.left_out" in line)
    assert json.loads(report)["change"] >= 4
    assert json.loads(report)["unread"] >= 1
    os.close(reader)
    os.close(descriptor)


def test_a_log_file_whose_disk_hangs_does_not_stop_the_event_loop(log_file, monkeypatch):
    # Guards against a process that stands still, links and metrics included, to write a line.
    native_time = patcher.original("time")
    hangs_until = native_time.monotonic() + 1.0
    write = _line_writer.os.write

    def hanging_write(descriptor, data):
        while descriptor == log_file.descriptor and native_time.monotonic() < hangs_until:
            native_time.sleep(0.01)
        return write(descriptor, data)

    monkeypatch.setattr(_line_writer.os, "write", hanging_write)
    log_file.writer.start()
    log_file.write(3)
    assert native_time.monotonic() < hangs_until - 0.5
    eventlet.sleep(0.3)
    log_file.write(3)
    assert native_time.monotonic() < hangs_until - 0.3
    eventlet.sleep(1.5)
    assert log_file.lines() == [LINE] * 6


def test_every_line_is_json_whatever_the_fields_hold(tmp_path):
    # Guards against lines that strict readers drop: NaN and infinities are no JSON.
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    writer = LineWriter(descriptor)
    log_writer = BudgetedLogWriter("one", LogBudget(), writer)
    fields = {"ever": math.inf, "nested": {"by_zone": [math.nan, -math.inf, 1.5]}}
    log_writer(None, "info", {"event": "change", "level": "info", **fields})
    log_writer(None, "info", {"event": "change", "level": "info", "surrogate": "\udce9"})
    log_writer(None, "info", {"event": "change", "level": "info", "object": object()})
    log_writer(None, "info", {"event": "change", "level": "info", "by_pair": {("a", "b"): 1}})
    writer.flush()

    def refuse(constant: str) -> None:
        raise AssertionError(f"{constant} is no JSON")

    lines = (tmp_path / "log").read_text().splitlines()
    assert len(lines) == 4
    first = json.loads(lines[0], parse_constant=refuse)
    assert first["nested"]["by_zone"][2] == 1.5
    for line in lines:
        assert json.loads(line, parse_constant=refuse)["event"] == "change"
    os.close(descriptor)


def test_a_line_begins_anew_after_a_half_one_of_an_earlier_process(tmp_path):
    # Guards against a process killed within a line, which makes its successor's first unreadable.
    path = tmp_path / "log"
    path.write_bytes(b'{"event": "half')
    descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
    writer = LineWriter(descriptor)
    writer.write(LINE)
    writer.flush()
    assert path.read_bytes().splitlines()[-1] + b"\n" == LINE
    os.close(descriptor)


SCRIPT = """
import sys, time
import eventlet
eventlet.monkey_patch()
import structlog
from tarragonhall_wire import configure_logging, use_event_loop
use_event_loop()
writer = configure_logging("one", stream=sys.stdout)
log = structlog.get_logger()
log.info("work.started")
{end}
"""


@pytest.mark.parametrize(
    ("end", "code"),
    [
        ("raise ValueError('unexpected')", 1),
        ("raise SystemExit(3)", 3),
        ("eventlet.spawn(lambda: 1 / 0); eventlet.sleep(0); raise SystemExit(4)", 4),
    ],
)
def test_the_last_lines_of_a_process_are_written_however_it_ends(tmp_path, end, code):
    # Guards against a process that ends without a word: its last lines wait for the event loop.
    path = tmp_path / "log"
    with path.open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-c", SCRIPT.format(end=end)],
            stdout=log,
            stderr=subprocess.DEVNULL,
        )
        assert process.wait(20) == code
    events = [json.loads(line) for line in path.read_text().splitlines()]
    names = [event["event"] for event in events]
    assert names[0] == "work.started"
    assert ("process.failed" in names) == (code == 1)
    assert ("thread.failed" in names) == (code == 4)


def test_an_exception_in_a_finalizer_is_logged(tmp_path):
    # Guards against failures that only the standard error stream tells of.
    path = tmp_path / "log"
    end = """
class Broken:
    def __del__(self):
        raise KeyError("in a finalizer")

Broken()
"""
    with path.open("ab") as log:
        command = [sys.executable, "-W", "ignore", "-c", SCRIPT.format(end=end)]
        subprocess.run(command, stdout=log, stderr=subprocess.DEVNULL, check=True, timeout=20)
    events = [json.loads(line) for line in path.read_text().splitlines()]
    failed = next(event for event in events if event["event"] == "finalizer.failed")
    assert "KeyError" in failed["error"]


def test_a_problem_that_cannot_be_told_hides_no_other():
    # Guards against readiness checks that fail together with the part that they tell of.
    problems = Problems()
    problems.watch("member", lambda: 1 / 0)
    problems.watch("log", lambda: "writes are refused")
    assert problems.texts()[1] == "log: writes are refused"
    assert "ZeroDivisionError" in problems.texts()[0]


class Unprintable:
    def __repr__(self) -> str:
        raise KeyError("no name")


@pytest.mark.parametrize("circular", [True, False])
def test_a_field_that_cannot_be_written_costs_neither_the_line_nor_the_work(tmp_path, circular):
    # Guards against a log line that raises in the work that it tells of.
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    writer = LineWriter(descriptor)
    log_writer = BudgetedLogWriter("one", LogBudget(), writer)
    field: object = Unprintable()
    if circular:
        field = {"ever": math.inf}
        field["self"] = field
    log_writer(
        None, "info", {"event": "change", "level": "error", "timestamp": "t", "field": field}
    )
    writer.flush()
    (line,) = (tmp_path / "log").read_text().splitlines()
    event = json.loads(line)
    assert (event["event"], event["level"]) == ("change", "error")
    assert (event["instance"], event["timestamp"]) == ("one", "t")
    os.close(descriptor)


def test_suppressed_lines_are_told_without_a_further_event(tmp_path):
    # Guards against a burst of failures whose suppressed lines are never told of afterwards.
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    writer = LineWriter(descriptor)
    log_writer = BudgetedLogWriter("one", LogBudget(lines=2), writer)
    metrics = Metrics()
    writer.measure(metrics)
    writer.start()
    for _ in range(10):
        log_writer(None, "info", {"event": "change", "level": "error"})
    eventlet.sleep(2.0)
    events = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    written = sum(event["event"] == "change" for event in events)
    told = sum(event.get("failure", 0) for event in events if event["event"] == "log.left_out")
    assert written + told == 10
    assert metrics.counts["log.suppressed_lines"] == told
    os.close(descriptor)


def test_suppressed_lines_are_told_when_the_process_ends(tmp_path):
    # Guards against a process whose last failures are suppressed and counted nowhere.
    path = tmp_path / "log"
    end = "[log.error('work.failed', text='x' * 2000) for _ in range(100)]"
    with path.open("ab") as log:
        command = [sys.executable, "-W", "ignore", "-c", SCRIPT.format(end=end)]
        subprocess.run(command, stdout=log, stderr=subprocess.DEVNULL, check=True, timeout=20)
    events = [json.loads(line) for line in path.read_text().splitlines()]
    written = sum(event["event"] == "work.failed" for event in events)
    told = sum(event.get("failure", 0) for event in events if event["event"] == "log.left_out")
    assert told > 0
    assert written + told == 100


def test_a_log_on_the_error_stream_holds_json_alone_when_the_process_fails(tmp_path):
    # Guards against a traceback of many lines in the middle of the log.
    path = tmp_path / "log"
    script = SCRIPT.replace("stream=sys.stdout", "").format(end="raise ValueError('unexpected')")
    script = script.replace('"one", )', '"one")')
    with path.open("ab") as log:
        process = subprocess.Popen([sys.executable, "-W", "ignore", "-c", script], stderr=log)
        assert process.wait(20) == 1
    events = [json.loads(line) for line in path.read_text().splitlines()]
    assert events[-1]["event"] == "process.failed"
    assert "ValueError" in events[-1]["exception"]
