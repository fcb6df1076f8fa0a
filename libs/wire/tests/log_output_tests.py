"""Log lines whose output refuses them, takes them in part, or keeps the writer waiting."""

from __future__ import annotations

import contextlib
import os
import resource

import eventlet
import pytest
from tarragonhall_wire._line_writer import LineWriter
from tarragonhall_wire._metrics import Metrics
from tarragonhall_wire._problems import Problems

LINE = b"x" * 199 + b"\n"


@contextlib.contextmanager
def room_for(size: int):
    """Let files of this process grow to `size` bytes at most."""
    earlier = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, earlier[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, earlier)


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
    with room_for(0):
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
