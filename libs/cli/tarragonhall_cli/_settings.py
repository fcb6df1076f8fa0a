"""Commands on organisations, keys, models, operators and the settings tree."""

from __future__ import annotations

import time
from pathlib import Path

import click
from tarragonhall_model import KEY_PREFIX, TOKEN_PREFIX, Finding, new_secret, secret_hash

from tarragonhall_cli._client import AdminClient, path_segment
from tarragonhall_cli._errors import RejectedInputError
from tarragonhall_cli._files import read_json_object, write_json
from tarragonhall_cli._output import Output

MS_PER_SECOND = 1_000
SECONDS_PER_HOUR = 3_600


def create_organisation(
    client: AdminClient, out: Output, org_id: str, path: str, settings: dict[str, object]
) -> None:
    """Create an organisation at a path of the settings tree."""
    body = {"org_id": org_id, "path": path, "settings": settings}
    out.fields(client.post("organisations", body))


def list_organisations(client: AdminClient, out: Output) -> None:
    """List the organisations that the operator may see."""
    answer = client.get("organisations")
    columns = ["org_id", "path", "enabled", "rate", "weight", "budget"]
    out.rows(answer, answer["organisations"], columns)


def grant_key(
    client: AdminClient,
    out: Output,
    org_id: str,
    hours: float | None,
    replaces: str | None,
    overlap_seconds: int,
) -> None:
    """Grant a key, generated on this machine: only its hash is sent, and it is shown only once.

    With `replaces`, that earlier key expires after `overlap_seconds`, so that callers can switch.
    """
    key = new_secret(KEY_PREFIX)
    body: dict[str, object] = {"org_id": org_id, "key_hash": secret_hash(key)}
    if hours is not None:
        body["expires_at_ms"] = int((time.time() + hours * SECONDS_PER_HOUR) * MS_PER_SECOND)
    if replaces is not None:
        body |= {"replaces": replaces, "overlap_seconds": overlap_seconds}
    answer = client.post("keys", body)
    # The key shown is the one whose hash was sent, whatever `key` the answer holds.
    out.fields({"key": key} | {name: v for name, v in answer.items() if name != "key"})


def list_keys(client: AdminClient, out: Output, org_id: str | None) -> None:
    """List keys by their ids; the keys themselves are not stored."""
    answer = client.get("keys", org=org_id)
    out.rows(answer, answer["keys"], ["key_id", "org_id", "expires_at_ms", "granted_by"])


def withdraw_key(client: AdminClient, out: Output, key_id: str) -> None:
    """Withdraw a key; entries reject it once they have received the change."""
    out.fields(client.delete(f"keys/{path_segment(key_id)}"))


def set_settings(
    client: AdminClient,
    out: Output,
    path: str,
    values: dict[str, object],
    unset: list[str],
    expected_revision: int | None,
    dry_run: bool,
) -> None:
    """Change the settings at a path, unless another change came after `expected_revision`.

    It defaults to the revision read here, and then guards only against changes made during this
    command.
    """
    if expected_revision is None:
        expected_revision = client.get("settings", path=path)["revision"]
    body = {
        "path": path,
        "set": values,
        "unset": unset,
        "expected_revision": expected_revision,
        "dry_run": dry_run,
    }
    out.fields(client.post("settings", body))


def get_settings(client: AdminClient, out: Output, path: str) -> None:
    """Show the effective settings at a path and the origin of each value."""
    answer = client.get("settings", path=path)
    out.rows(answer, _effective_rows(answer), ["name", "value", "from"])


def explain_setting(client: AdminClient, out: Output, path: str, name: str) -> None:
    """Show every level that contributes to one setting."""
    answer = client.get("settings/explain", path=path, name=name)
    out.rows(answer, answer["levels"], ["path", "value", "in_force"])


def settings_history(client: AdminClient, out: Output, path: str) -> None:
    """List the changes at and below a path."""
    answer = client.get("settings/history", path=path)
    columns = ["revision", "at_ms", "author", "path", "set", "unset", "request_id"]
    out.rows(answer, answer["changes"], columns)


def settings_diff(
    client: AdminClient, out: Output, path: str, from_revision: int, to_revision: int | None
) -> None:
    """Show the differences between two revisions."""
    answer = client.get("settings/diff", path=path, **{"from": from_revision, "to": to_revision})
    out.rows(answer, answer["differences"], ["path", "name", "before", "after"])


def rollback(
    client: AdminClient, out: Output, path: str, to_revision: int, expected_revision: int | None
) -> None:
    """Restore a subtree to an earlier revision, as a new change.

    `expected_revision` is as in `set_settings`.
    """
    if expected_revision is None:
        expected_revision = client.get("settings", path=path)["revision"]
    body = {"path": path, "to_revision": to_revision, "expected_revision": expected_revision}
    out.fields(client.post("settings/rollback", body))


def export_settings(client: AdminClient, path: str, file: Path | None) -> None:
    """Write a subtree as JSON."""
    tree = client.get("settings/export", path=path)
    if file is None:
        Output(as_json=True).value(tree)
        return
    write_json(file, tree)


def import_settings(
    client: AdminClient, out: Output, path: str, file: Path, expected_revision: int | None
) -> None:
    """Replace a subtree by the one in a file; `expected_revision` is as in `set_settings`."""
    if expected_revision is None:
        expected_revision = client.get("settings", path=path)["revision"]
    tree = read_json_object(file)
    nodes = tree.get("nodes")
    if not isinstance(nodes, dict):
        raise RejectedInputError(
            f"{file} is not a settings export", [Finding("/nodes", "must be an object")]
        )
    body = {"path": path, "nodes": nodes, "expected_revision": expected_revision}
    out.fields(client.post("settings/import", body))


def set_model(
    client: AdminClient, out: Output, name: str, version: str, min_replicas: int, max_tokens: int
) -> None:
    """Activate a version of a model.

    `min_replicas` is its minimum number of replicas, `max_tokens` the limit of one call.
    """
    body = {
        "name": name,
        "version": version,
        "min_replicas": min_replicas,
        "max_tokens": max_tokens,
    }
    out.fields(client.post("models", body))


def list_models(client: AdminClient, out: Output) -> None:
    """List the models and their active versions."""
    answer = client.get("models")
    out.rows(answer, answer["models"], ["name", "version", "min_replicas", "max_tokens"])


def create_operator(client: AdminClient, out: Output, name: str, path: str, role: str) -> None:
    """Create an operator with access to one subtree; only the hash of the token is sent."""
    token = new_secret(TOKEN_PREFIX)
    body = {"name": name, "path": path, "role": role, "token_hash": secret_hash(token)}
    answer = client.post("operators", body)
    # As in `grant_key`, the token shown is the one whose hash was sent.
    out.fields({"token": token} | {name: v for name, v in answer.items() if name != "token"})


def remove_operator(client: AdminClient, out: Output, name: str) -> None:
    """Remove an operator; the token stops working."""
    out.fields(client.delete(f"operators/{path_segment(name)}"))


def list_operators(client: AdminClient, out: Output) -> None:
    """List the operators with their subtrees and roles."""
    answer = client.get("operators")
    out.rows(answer, answer["operators"], ["name", "path", "role"])


def _effective_rows(answer: dict) -> list[dict]:
    rows = []
    for name, item in sorted(answer["effective"].items()):
        rows.append({"name": name, "value": item["value"], "from": item["from"]})
    return rows


def show_secret_note() -> None:
    """Print a reminder to standard error that a key or token is shown only once."""
    click.echo("Save it now: only its hash is stored, and it is not shown again.", err=True)
