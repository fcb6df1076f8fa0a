"""Command lines on organisations, keys, models, budgets, operators and the settings tree."""

from __future__ import annotations

from pathlib import Path

import click

from tarragonhall_cli import _settings
from tarragonhall_cli._assignments import parse_assignments
from tarragonhall_cli._session import Session

EXPECT_HELP = "Revision that must be current; otherwise the change is rejected as a conflict."
DRY_RUN_HELP = "Validate the change and show its effect without applying it."
HOURS_HELP = "Hours until the key expires; by default it does not expire."
REPLACES_HELP = "Id of the key that the new one replaces."
OVERLAP_HELP = "Seconds for which the replaced key stays valid."


@click.group()
def org() -> None:
    """Organisations."""


@org.command("create")
@click.argument("org_id")
@click.argument("path")
@click.argument("settings", nargs=-1)
@click.pass_obj
def org_create(session: Session, org_id: str, path: str, settings: tuple[str, ...]) -> None:
    """Create an organisation at PATH, with settings given as NAME=VALUE."""
    values = parse_assignments(settings)
    _settings.create_organisation(session.client, session.out, org_id, path, values)


@org.command("list")
@click.pass_obj
def org_list(session: Session) -> None:
    """List the organisations."""
    _settings.list_organisations(session.client, session.out)


@click.group()
def key() -> None:
    """Callers' keys."""


@key.command("grant")
@click.argument("org_id")
@click.option("--hours", type=float, help=HOURS_HELP)
@click.option("--replaces", help=REPLACES_HELP)
@click.option("--overlap", type=int, default=3_600, show_default=True, help=OVERLAP_HELP)
@click.pass_obj
def key_grant(
    session: Session, org_id: str, hours: float | None, replaces: str | None, overlap: int
) -> None:
    """Grant a key to an organisation; it is shown only once."""
    _settings.grant_key(session.client, session.out, org_id, hours, replaces, overlap)
    _settings.show_secret_note()


@key.command("list")
@click.option("--org", "org_id", help="Only keys of this organisation.")
@click.pass_obj
def key_list(session: Session, org_id: str | None) -> None:
    """List keys by id."""
    _settings.list_keys(session.client, session.out, org_id)


@key.command("withdraw")
@click.argument("key_id")
@click.pass_obj
def key_withdraw(session: Session, key_id: str) -> None:
    """Withdraw a key; it stops working within seconds."""
    _settings.withdraw_key(session.client, session.out, key_id)


@click.group()
def settings() -> None:
    """The settings tree."""


@settings.command("get")
@click.argument("path", default="/")
@click.pass_obj
def settings_get(session: Session, path: str) -> None:
    """Show the effective settings at PATH and their origin."""
    _settings.get_settings(session.client, session.out, path)


@settings.command("set")
@click.argument("path")
@click.argument("values", nargs=-1)
@click.option("--unset", multiple=True, help="Remove the setting here, so that it is inherited.")
@click.option("--expect", type=int, help=EXPECT_HELP)
@click.option("--dry-run", is_flag=True, help=DRY_RUN_HELP)
@click.pass_obj
def settings_set(
    session: Session,
    path: str,
    values: tuple[str, ...],
    unset: tuple[str, ...],
    expect: int | None,
    dry_run: bool,
) -> None:
    """Change settings at PATH, given as NAME=VALUE."""
    changes = parse_assignments(values)
    _settings.set_settings(session.client, session.out, path, changes, list(unset), expect, dry_run)


@settings.command("explain")
@click.argument("path")
@click.argument("name")
@click.pass_obj
def settings_explain(session: Session, path: str, name: str) -> None:
    """Show every level that contributes to setting NAME at PATH."""
    _settings.explain_setting(session.client, session.out, path, name)


@settings.command("history")
@click.argument("path", default="/")
@click.pass_obj
def settings_history(session: Session, path: str) -> None:
    """List the changes at and below PATH."""
    _settings.settings_history(session.client, session.out, path)


@settings.command("diff")
@click.argument("path")
@click.argument("from_revision", type=int)
@click.argument("to_revision", type=int, required=False)
@click.pass_obj
def settings_diff(session: Session, path: str, from_revision: int, to_revision: int | None) -> None:
    """Show the differences between two revisions."""
    _settings.settings_diff(session.client, session.out, path, from_revision, to_revision)


@settings.command("rollback")
@click.argument("path")
@click.argument("to_revision", type=int)
@click.option("--expect", type=int, help=EXPECT_HELP)
@click.pass_obj
def settings_rollback(session: Session, path: str, to_revision: int, expect: int | None) -> None:
    """Restore the subtree at PATH to a revision, as a new change."""
    _settings.rollback(session.client, session.out, path, to_revision, expect)


@settings.command("export")
@click.argument("path", default="/")
@click.option("--file", type=click.Path(path_type=Path), help="Write to a file.")
@click.pass_obj
def settings_export(session: Session, path: str, file: Path | None) -> None:
    """Write the subtree at PATH as JSON."""
    _settings.export_settings(session.client, path, file)


@settings.command("import")
@click.argument("path")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--expect", type=int, help=EXPECT_HELP)
@click.pass_obj
def settings_import(session: Session, path: str, file: Path, expect: int | None) -> None:
    """Replace the subtree at PATH by the one in FILE."""
    _settings.import_settings(session.client, session.out, path, file, expect)


@click.group()
def rate() -> None:
    """Rates and bursts."""


@rate.command("set")
@click.argument("path")
@click.argument("per_second", type=float)
@click.argument("burst", type=float)
@click.option("--expect", type=int, help=EXPECT_HELP)
@click.pass_obj
def rate_set(
    session: Session, path: str, per_second: float, burst: float, expect: int | None
) -> None:
    """Set the calls per second and the burst at PATH."""
    values = {"rate.per_second": per_second, "rate.burst": burst}
    _settings.set_settings(session.client, session.out, path, values, [], expect, False)


@click.group()
def budget() -> None:
    """Budgets of programs."""


@budget.command("set")
@click.argument("path")
@click.option("--tokens", type=int, help="Generated tokens of a program and its sub-agents.")
@click.option("--calls", type=int, help="Calls of a program and its sub-agents.")
@click.option("--seconds", type=int, help="Wall-clock time since the program was opened.")
@click.option("--expect", type=int, help=EXPECT_HELP)
@click.pass_obj
def budget_set(
    session: Session,
    path: str,
    tokens: int | None,
    calls: int | None,
    seconds: int | None,
    expect: int | None,
) -> None:
    """Set the budget at PATH of programs opened from now on."""
    given = {"budget.tokens": tokens, "budget.calls": calls, "budget.seconds": seconds}
    values = {name: value for name, value in given.items() if value is not None}
    if not values:
        raise click.UsageError("give at least one of --tokens, --calls and --seconds")
    _settings.set_settings(session.client, session.out, path, values, [], expect, False)


@click.group()
def model() -> None:
    """Models and their versions."""


@model.command("set")
@click.argument("name")
@click.argument("version")
@click.option(
    "--min-replicas", type=int, default=1, show_default=True, help="Minimum number of replicas."
)
@click.option("--max-tokens", type=int, default=4_096, show_default=True, help="Limit per call.")
@click.pass_obj
def model_set(
    session: Session, name: str, version: str, min_replicas: int, max_tokens: int
) -> None:
    """Activate VERSION of model NAME."""
    _settings.set_model(session.client, session.out, name, version, min_replicas, max_tokens)


@model.command("list")
@click.pass_obj
def model_list(session: Session) -> None:
    """List the models."""
    _settings.list_models(session.client, session.out)


@click.group()
def operator() -> None:
    """Operators and their tokens."""


@operator.command("create")
@click.argument("name")
@click.argument("path")
@click.option(
    "--role",
    type=click.Choice(["reader", "editor", "admin"]),
    default="editor",
    show_default=True,
    help="Access level in the subtree.",
)
@click.pass_obj
def operator_create(session: Session, name: str, path: str, role: str) -> None:
    """Create an operator for the subtree at PATH; the token is shown only once."""
    _settings.create_operator(session.client, session.out, name, path, role)
    _settings.show_secret_note()


@operator.command("list")
@click.pass_obj
def operator_list(session: Session) -> None:
    """List the operators."""
    _settings.list_operators(session.client, session.out)


@operator.command("remove")
@click.argument("name")
@click.pass_obj
def operator_remove(session: Session, name: str) -> None:
    """Remove an operator; the token stops working."""
    _settings.remove_operator(session.client, session.out, name)
