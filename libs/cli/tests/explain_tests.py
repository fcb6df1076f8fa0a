"""Reconstructing the history of a failed request from the logs of several processes."""

from __future__ import annotations

import json

from click.testing import CliRunner
from tarragonhall_cli.__main__ import cli


def line(second: float, instance: str, event: str, **fields) -> str:
    stamp = f"2026-01-02T03:04:{second:09.6f}Z"
    return json.dumps({"timestamp": stamp, "instance": instance, "event": event, **fields})


def write(folder, name: str, *lines: str):
    path = folder / name
    path.write_text("\n".join(lines) + "\n")
    return str(path)


def test_a_rejected_call_is_explained_by_the_server_state_of_its_processes(tmp_path):
    # The explanation of one rejected call must leave out unrelated servers and calls in the logs.
    entry = write(
        tmp_path,
        "entry.log",
        "started by hand",
        line(9.0, "entry-1", "backend.believed", server="i-1", gone=True),
        "  9.1 edge-1 " + line(9.1, "entry-1", "backend.believed", server="i-2", gone=False),
        line(10.0, "entry-1", "call.not_run", id="a-1", server="i-1", reason="cannot connect"),
        line(10.1, "entry-1", "call.end", id="a-1", status=503, reason="every server is full"),
        line(10.2, "entry-1", "call.end", id="a-2", status=200, reason="answered"),
    )
    control = write(
        tmp_path,
        "control.log",
        line(8.5, "control-1", "group.role", role="leader"),
        line(9.9, "control-1", "log.left_out", served=10),
    )
    other = write(tmp_path, "other.log", line(50.0, "entry-9", "process.starting"))
    runner = CliRunner()
    result = runner.invoke(cli, ["explain", "a-1", entry, control, other])
    assert result.exit_code == 0, result.output
    text = result.output
    assert "i-1" in text and "i-2" not in text and "a-2" not in text
    assert text.index("group.role") < text.index("backend.believed") < text.index("call.not_run")
    assert "end: 503: every server is full" in text
    assert "log lines dropped by: control-1" in text
    assert "no log lines in that time from: entry-9" in text
    value = json.loads(runner.invoke(cli, ["explain", "a-1", entry, control, "--json"]).output)
    assert value["ends"][0]["status"] == 503


def test_a_program_is_explained_by_all_of_its_calls(tmp_path):
    log = write(
        tmp_path,
        "entry.log",
        line(1.0, "entry-1", "call.end", id="a-1", program="p-1", status=200, reason="answered"),
        line(2.0, "entry-1", "call.end", id="a-2", program="p-1", status=None, reason="broke off"),
    )
    text = CliRunner().invoke(cli, ["explain", "p-1", log]).output
    assert "end: 200: answered" in text
    assert "end: broken off: broke off" in text


def test_an_unknown_id_is_an_error(tmp_path):
    log = write(tmp_path, "entry.log", line(1.0, "entry-1", "link.up"))
    result = CliRunner().invoke(cli, ["explain", "nobody", log])
    assert result.exit_code == 1
    assert "no log line mentions nobody" in result.output
