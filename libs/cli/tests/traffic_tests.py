"""Summing the traffic of the processes of a deployment."""

from __future__ import annotations

import json

from click.testing import CliRunner
from tarragonhall_cli.__main__ import cli


def line(second: int, instance: str, incarnation: str, **totals) -> str:
    stamp = f"2026-01-02T03:04:{second:02}.000000Z"
    named = {name.replace("_", " "): value for name, value in totals.items()}
    event = {"timestamp": stamp, "instance": instance, "event": "process.traffic"}
    return json.dumps({**event, "incarnation": incarnation, "totals": named})


def run(folder, *arguments: str, lines: list[str]):
    file = folder / "all.log"
    file.write_text("\n".join(lines) + "\n")
    return CliRunner().invoke(cli, ["traffic", *arguments, str(file)])


def test_the_last_totals_of_each_incarnation_are_added_up(tmp_path):
    result = run(
        tmp_path,
        "--json",
        lines=[
            line(1, "edge-1/entry", "a", EntryLoad_between=[1, 100]),
            line(2, "edge-1/entry", "a", EntryLoad_between=[3, 300], ping_inside=[1, 10]),
            line(9, "edge-1/entry", "b", EntryLoad_between=[2, 200]),
            line(9, "edge-2/entry", "c", EntryLoad_between=[1, 50]),
        ],
    )
    assert result.exit_code == 0, result.output
    rows = json.loads(result.output)
    assert rows[0] == {
        "role": "entry",
        "kind": "EntryLoad",
        "scope": "between",
        "messages": 6,
        "bytes": 550,
    }
    assert rows[1]["kind"] == "ping"


def test_the_table_ends_with_the_sum_of_each_scope(tmp_path):
    result = run(tmp_path, lines=[line(1, "edge-1/entry", "a", EntryLoad_between=[1, 100])])
    assert "100" in result.output.splitlines()[-1]
    assert "between  total" in result.output.splitlines()[-1]


def test_files_without_totals_are_an_error(tmp_path):
    result = run(tmp_path, lines=["started by hand"])
    assert result.exit_code != 0
    assert "no log line reports the traffic of a process" in result.output
