"""Command lines on programs, backend servers and control members."""

from __future__ import annotations

import click

from tarragonhall_cli import _cluster, _programs
from tarragonhall_cli._session import Session


@click.group()
def program() -> None:
    """Programs."""


@program.command("list")
@click.option("--org", "org_id", help="Only programs of this organisation.")
@click.option("--status", type=click.Choice(["open", "finished", "cancelled", "expired"]))
@click.pass_obj
def program_list(session: Session, org_id: str | None, status: str | None) -> None:
    """List programs."""
    _programs.list_programs(session.client, session.out, org_id, status)


@program.command("show")
@click.argument("program_id")
@click.pass_obj
def program_show(session: Session, program_id: str) -> None:
    """Show one program."""
    _programs.show_program(session.client, session.out, program_id)


@program.command("cancel")
@click.argument("program_id")
@click.pass_obj
def program_cancel(session: Session, program_id: str) -> None:
    """Cancel a program and its sub-agents."""
    _programs.cancel_program(session.client, session.out, program_id)


@click.group()
def server() -> None:
    """Backend servers."""


@server.command("list")
@click.pass_obj
def server_list(session: Session) -> None:
    """List the backend servers."""
    _cluster.list_servers(session.client, session.out)


@server.command("drain")
@click.argument("server_id")
@click.option("--undo", is_flag=True, help="End the drain.")
@click.pass_obj
def server_drain(session: Session, server_id: str, undo: bool) -> None:
    """Stop sending new calls to a backend server."""
    _cluster.drain_server(session.client, session.out, server_id, not undo)


@click.group()
def zones() -> None:
    """Availability zones."""


@zones.command("list")
@click.pass_obj
def zones_list(session: Session) -> None:
    """List the availability zones."""
    _cluster.list_zones(session.client, session.out)


@zones.command("evacuate")
@click.argument("zone")
@click.pass_obj
def zones_evacuate(session: Session, zone: str) -> None:
    """Stop sending new calls to the backend servers of a zone."""
    _cluster.evacuate_zone(session.client, session.out, zone, True)


@zones.command("return")
@click.argument("zone")
@click.pass_obj
def zones_return(session: Session, zone: str) -> None:
    """End the evacuation of a zone; load on its servers rises gradually."""
    _cluster.evacuate_zone(session.client, session.out, zone, False)


@click.group()
def member() -> None:
    """Control members."""


@member.command("list")
@click.pass_obj
def member_list(session: Session) -> None:
    """List the control members."""
    _cluster.list_members(session.client, session.out)


@member.command("add")
@click.argument("member_id")
@click.argument("address")
@click.pass_obj
def member_add(session: Session, member_id: str, address: str) -> None:
    """Add a control member by its instance name and link address."""
    _cluster.add_member(session.client, session.out, member_id, address)


@member.command("remove")
@click.argument("member_id")
@click.pass_obj
def member_remove(session: Session, member_id: str) -> None:
    """Remove a control member."""
    _cluster.remove_member(session.client, session.out, member_id)


@member.command("replace")
@click.argument("member_id")
@click.option("--address", help="New link address, if it changed.")
@click.pass_obj
def member_replace(session: Session, member_id: str, address: str | None) -> None:
    """Readmit a member that lost its data folder, under its new identity."""
    _cluster.replace_member(session.client, session.out, member_id, address)
