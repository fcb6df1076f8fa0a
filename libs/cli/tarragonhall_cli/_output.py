"""Prints results as a table for people, or as JSON for scripts."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

import click
from tabulate import tabulate


@dataclass(slots=True, frozen=True)
class Output:
    """The output format of this run of the tool."""

    as_json: bool

    def rows(self, value: object, rows: Iterable[dict], columns: list[str]) -> None:
        """Print the value as JSON, or its rows as a table of these columns."""
        if self.as_json:
            self.value(value)
            return
        cells = [[_cell(row.get(column)) for column in columns] for row in rows]
        if not cells:
            click.echo("no results")
            return
        headers = [column.replace("_", " ") for column in columns]
        click.echo(tabulate(cells, headers=headers, tablefmt="plain", disable_numparse=True))

    def fields(self, value: dict) -> None:
        """Print one object, one line per field."""
        if self.as_json:
            self.value(value)
            return
        cells = [[name.replace("_", " "), _cell(item)] for name, item in value.items()]
        click.echo(tabulate(cells, tablefmt="plain", disable_numparse=True))

    def value(self, value: object) -> None:
        """Print a value as JSON."""
        click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def clock_time(wall_ms: int) -> str:
    """Format Unix milliseconds as a time of day in UTC."""
    moment = datetime.fromtimestamp(wall_ms / 1000, UTC)
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1000:03d}"


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return ", ".join(f"{name}={_cell(item)}" for name, item in value.items()) or "-"
    if isinstance(value, list):
        return ", ".join(_cell(item) for item in value) or "-"
    return str(value)
