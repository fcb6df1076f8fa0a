"""Commands on programs and on the time line."""

from __future__ import annotations

import time

import click

from tarragonhall_cli._client import AdminClient, path_segment
from tarragonhall_cli._output import Output, clock_time

MS_PER_SECOND = 1_000


def list_programs(client: AdminClient, out: Output, org_id: str | None, status: str | None) -> None:
    """List programs with their usage and budgets."""
    answer = client.get("programs", org=org_id, status=status)
    columns = ["program_id", "org_id", "status", "next_seq", "spent", "budget"]
    out.rows(answer, answer["programs"], columns)


def show_program(client: AdminClient, out: Output, program_id: str) -> None:
    """Show one program."""
    out.fields(client.get(f"programs/{path_segment(program_id)}"))


def cancel_program(client: AdminClient, out: Output, program_id: str) -> None:
    """Cancel a program and its sub-agents."""
    out.fields(client.post(f"programs/{path_segment(program_id)}/cancel", {}))


def show_timeline(
    client: AdminClient, out: Output, program_id: str | None, since_seconds: float | None
) -> None:
    """Show the events of all processes in chronological order."""
    since_ms = None
    if since_seconds is not None:
        since_ms = int((time.time() - since_seconds) * MS_PER_SECOND)
    answer = client.get("timeline", program=program_id, since_ms=since_ms)
    rows = [_event_row(event) for event in answer["events"]]
    out.rows(answer, rows, ["time", "instance", "kind", "program", "fields"])
    for instance in answer.get("missing", []):
        click.echo(f"no events from {instance}: it did not answer", err=True)


def _event_row(event: dict) -> dict:
    return {
        "time": clock_time(event["wall_ms"]),
        "instance": event["instance"],
        "kind": event["kind"],
        "program": event.get("program_id") or None,
        "fields": event.get("fields") or {},
    }
