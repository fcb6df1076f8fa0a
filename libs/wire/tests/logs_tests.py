"""Log lines under load and with a blocked reader, and the metrics text format."""

from __future__ import annotations

import json
import os

import eventlet
from tarragonhall_wire._exposition import Exposition
from tarragonhall_wire._line_writer import QUEUE_BYTES, LineWriter
from tarragonhall_wire._log_budget import LineKind, LogBudget
from tarragonhall_wire._logs import BudgetedLogWriter, _redact_secrets, line_kind


def test_failures_are_logged_during_a_flood_of_served_calls():
    # Thousands of calls per second are served and a few fail. Without the lines of the failures,
    # on-call engineers could not find their cause.
    budget = LogBudget(lines=100)
    for number in range(1_000):
        budget.admit(LineKind.SERVED, f"id-{number}", 100, 0.0)
    assert all(budget.admit(LineKind.FAILURE, f"f-{n}", 100, 0.5) for n in range(50))
    assert budget.take_suppressed()["served"] >= 950


def test_no_kind_exceeds_the_limit():
    budget = LogBudget(lines=100, size=10_000)
    written = sum(budget.admit(LineKind.FAILURE, "", 50, 0.0) for _ in range(1_000))
    assert written == 100
    assert sum(budget.admit(LineKind.FAILURE, "", 5_000, 2.0) for _ in range(10)) == 2


def test_all_processes_log_the_same_served_calls():
    # Several processes handle one call. If each sampled independently, hardly any call would have
    # all of its lines.
    budgets = [LogBudget(lines=100) for _ in range(2)]
    for budget in budgets:
        for number in range(400):
            budget.admit(LineKind.SERVED, f"id-{number}", 10, 0.0)
    logged = [
        [n for n in range(60) if budget.admit(LineKind.SERVED, f"new-{n}", 10, 1.5)]
        for budget in budgets
    ]
    assert logged[0] == logged[1]
    assert 0 < len(logged[0]) < 60


def test_a_blocked_log_reader_does_not_block_the_process():
    # The reader of the logs hangs. A process that waited for it would stop answering callers.
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    line = b"x" * 999 + b"\n"
    with eventlet.Timeout(2.0):
        for _ in range(2_000):
            writer.write(line)
            writer.flush()
    assert writer.dropped > 0
    data = os.read(reader, 1_000_000)
    while len(data) < QUEUE_BYTES:
        writer.flush()
        data += os.read(reader, 1_000_000)
    assert set(data.split(b"\n")[:-1]) == {line[:-1]}
    os.close(reader)
    writer.flush()
    os.close(descriptor)


def test_suppressed_lines_are_counted_in_a_line():
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    log_writer = BudgetedLogWriter("entry-1", LogBudget(lines=2), writer)
    for number in range(5):
        log_writer(None, "info", {"event": "change", "id": number, "level": "info"})
    log_writer._reported_at = 0.0
    log_writer(None, "info", {"event": "change", "level": "info"})
    writer.flush()
    lines = [json.loads(one) for one in os.read(reader, 100_000).splitlines()]
    assert {one["instance"] for one in lines} == {"entry-1"}
    assert sum(one.get("change", 0) for one in lines if one["event"] == "log.left_out") >= 4


def test_secrets_are_redacted():
    assert _redact_secrets(None, "", {"event": "x", "key": "abc"})["key"] == "left out"


def test_refusals_and_incomplete_answers_count_as_failures():
    assert line_kind({"event": "call.end", "status": 200}) is LineKind.SERVED
    assert line_kind({"event": "call.end", "status": 503}) is LineKind.FAILURE
    assert line_kind({"event": "call.end", "status": None}) is LineKind.FAILURE
    assert line_kind({"event": "link.up", "level": "info"}) is LineKind.CHANGE


def test_metrics_are_exposed_in_the_prometheus_text_format():
    metrics = Exposition()
    metrics.count("relay.calls", 2, (("status", "200"),))
    metrics.gauge("control.followers", 3)
    metrics.observe("relay.call_ms", 0.004)
    text = metrics.text()
    assert 'tarragonhall_relay_calls_total{status="200"} 2' in text
    assert "tarragonhall_control_followers 3" in text
    assert 'tarragonhall_relay_call_seconds_bucket{le="0.0025"} 0' in text
    assert 'tarragonhall_relay_call_seconds_bucket{le="0.005"} 1' in text
    assert "tarragonhall_relay_call_seconds_count 1" in text
