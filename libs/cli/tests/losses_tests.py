"""Counting the calls that were not served from the logs of several processes."""

from __future__ import annotations

import json

from click.testing import CliRunner
from tarragonhall_cli.__main__ import cli


def call_end_line(second: float, call_id: str, status: int | None, reason: str, **fields) -> str:
    stamp = f"2026-01-02T03:04:{second:09.6f}Z"
    line = {"timestamp": stamp, "instance": "entry-1", "event": "call.end", "id": call_id}
    return json.dumps({**line, "status": status, "reason": reason, **fields})


def run(folder, *lines: str):
    file = folder / "entry.log"
    file.write_text("\n".join(lines) + "\n")
    return CliRunner().invoke(cli, ["losses", str(file)])


def test_losses_are_counted_by_cause_organisation_and_second(tmp_path):
    # When an entry freezes, hundreds of calls are rejected within two seconds. Operators need the
    # causes ordered by frequency, not the log lines of each call.
    result = run(
        tmp_path,
        call_end_line(1.0, "a-1", 200, "answered", organisation="shop", program="p-1", ms=20.5),
        "  1.2 edge-1 " + call_end_line(1.2, "a-2", 503, "no server of x1 is known", program="p-2"),
        call_end_line(
            3.1, "a-3", 503, "no server of x2 is known", organisation="shop", program="p-2"
        ),
        call_end_line(3.2, "a-4", None, "client_gone", organisation="shop", program="p-3"),
        call_end_line(3.3, "a-5", 402, "the budget is spent", organisation="shop", program="p-4"),
    )
    assert result.exit_code == 0, result.output
    text = result.output
    assert "5 calls, 3 not served" in text
    # Names that vary between calls do not split a cause.
    assert "2 calls     1 programs  503: no server of * is known" in text
    assert "1 calls     1 programs  broken off: client_gone" in text
    assert "1 calls answered  402: the budget is spent" in text
    assert "2 of      4  shop" in text
    assert "2  1 503: no server of * is known; 1 broken off: client_gone" in text
    assert "ms  p50 20.5" in text


def test_files_without_ends_of_calls_are_an_error(tmp_path):
    result = run(tmp_path, "started by hand")
    assert result.exit_code != 0
    assert "no log line reports the end of a call" in result.output
