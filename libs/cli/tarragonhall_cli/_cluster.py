"""Commands on backend servers, availability zones, control members and the whole deployment."""

from __future__ import annotations

from pathlib import Path

from tarragonhall_cli._client import AdminClient, path_segment
from tarragonhall_cli._files import write_json
from tarragonhall_cli._output import Output

# The answer to a member change arrives once the member votes, which may require it to install a
# snapshot first. The control member waits for that up to 60 s.
MEMBER_CHANGE_TIMEOUT_SECONDS = 65.0


def show_status(client: AdminClient, out: Output) -> None:
    """Show the status of the control member that answers."""
    out.fields(client.get("status"))


def list_servers(client: AdminClient, out: Output) -> None:
    """List the backend servers in the view."""
    answer = client.get("servers")
    columns = ["server_id", "kind", "serves", "availability_zone", "slots", "draining", "address"]
    out.rows(answer, answer["servers"], columns)


def drain_server(client: AdminClient, out: Output, server_id: str, draining: bool) -> None:
    """Start or end the drain of a backend server."""
    out.fields(client.post(f"servers/{path_segment(server_id)}/drain", {"draining": draining}))


def list_zones(client: AdminClient, out: Output) -> None:
    """List the availability zones."""
    answer = client.get("zones")
    columns = ["availability_zone", "evacuated", "entries", "servers"]
    out.rows(answer, answer["zones"], columns)


def evacuate_zone(client: AdminClient, out: Output, zone: str, evacuated: bool) -> None:
    """Start or end the evacuation of an availability zone."""
    out.fields(client.post(f"zones/{path_segment(zone)}/evacuation", {"evacuated": evacuated}))


def list_members(client: AdminClient, out: Output) -> None:
    """List the control members."""
    answer = client.get("members")
    columns = [
        "member_id",
        "identity",
        "address",
        "voting",
        "leader",
        "match_index",
        "silent_s",
        "problems",
    ]
    out.rows(answer, answer["members"], columns)


def add_member(client: AdminClient, out: Output, member_id: str, address: str) -> None:
    """Add a control member; it votes once it has caught up."""
    out.fields(
        client.post(
            "members", {"member_id": member_id, "address": address}, MEMBER_CHANGE_TIMEOUT_SECONDS
        )
    )


def remove_member(client: AdminClient, out: Output, member_id: str) -> None:
    """Remove a control member."""
    out.fields(client.delete(f"members/{path_segment(member_id)}", MEMBER_CHANGE_TIMEOUT_SECONDS))


def replace_member(client: AdminClient, out: Output, member_id: str, address: str | None) -> None:
    """Readmit a member that lost its data folder, under its new identity."""
    body = {} if address is None else {"address": address}
    out.fields(
        client.post(
            f"members/{path_segment(member_id)}/replace", body, MEMBER_CHANGE_TIMEOUT_SECONDS
        )
    )


def save_snapshot(client: AdminClient, file: Path) -> None:
    """Write the effective configuration to a file, as a backup off the instance."""
    write_json(file, client.get("snapshot"))
