"""`tarragonhall`: the operators' command-line tool."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click
from tarragonhall_model import TarragonhallError

from tarragonhall_cli import (
    _cluster,
    _explain,
    _losses,
    _programs,
    _settings_commands,
    _system_commands,
    _traffic,
)
from tarragonhall_cli._output import Output
from tarragonhall_cli._profiles import DEFAULT_FILE
from tarragonhall_cli._session import Session

VERSION = "0.1.0"
PROGRAM = "tarragonhall"

ADMIN_HELP = "Admin address (host:port) of a control member; repeat for several."
TOKEN_HELP = "Operator token; preferably set in a profile or in TARRAGONHALL_TOKEN."
PROFILE_HELP = "Profile to use."
PROFILES_HELP = "Profiles file."
JSON_HELP = "Print JSON instead of a table."
SINCE_HELP = "Only events of the last N seconds."


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(VERSION)
@click.option("--admin", multiple=True, envvar="TARRAGONHALL_ADMIN", help=ADMIN_HELP)
@click.option("--token", envvar="TARRAGONHALL_TOKEN", help=TOKEN_HELP)
@click.option("--profile", default="default", envvar="TARRAGONHALL_PROFILE", help=PROFILE_HELP)
@click.option(
    "--profiles",
    "file",
    type=click.Path(path_type=Path),
    default=DEFAULT_FILE,
    envvar="TARRAGONHALL_PROFILES",
    help=PROFILES_HELP,
)
@click.option("--json", "as_json", is_flag=True, help=JSON_HELP)
@click.pass_context
def cli(
    context: click.Context,
    admin: tuple[str, ...],
    token: str | None,
    profile: str,
    file: Path,
    as_json: bool,
) -> None:
    """Operate tarragonhall: settings, keys, programs, backend servers and control members."""
    options = {"file": file, "name": profile, "admin": list(admin), "token": token}
    context.obj = Session(options, Output(as_json))


@cli.command()
@click.pass_obj
def status(session: Session) -> None:
    """Show the state of the deployment."""
    _cluster.show_status(session.client, session.out)


@cli.command()
@click.option("--program", help="Only events of this program.")
@click.option("--since", type=float, help=SINCE_HELP)
@click.pass_obj
def timeline(session: Session, program: str | None, since: float | None) -> None:
    """Show the events of all processes in chronological order."""
    _programs.show_timeline(session.client, session.out, program, since)


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_obj
def snapshot(session: Session, file: Path) -> None:
    """Save the effective configuration to a file."""
    _cluster.save_snapshot(session.client, file)


@cli.command()
@click.argument("target_id", metavar="ID")
@click.argument("files", type=click.Path(exists=True, path_type=Path), nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help=JSON_HELP)
def explain(target_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Reconstruct the history of a request, turn or program from log files."""
    result = _explain.explain(target_id, _explain.read_lines(files))
    if not result.lines:
        raise click.ClickException(f"no log line mentions {target_id}")
    if as_json:
        click.echo(json.dumps(_explain.as_value(result), indent=2))
        return
    click.echo(_explain.as_text(result))


@cli.command()
@click.argument("files", type=click.Path(exists=True, path_type=Path), nargs=-1, required=True)
def losses(files: tuple[Path, ...]) -> None:
    """Count the calls that were not served, by cause, organisation and second."""
    result = _losses.count_losses(_explain.read_lines(files))
    if not result.calls:
        raise click.ClickException("no log line reports the end of a call")
    click.echo(_losses.as_text(result))


@cli.command()
@click.argument("files", type=click.Path(exists=True, path_type=Path), nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help=JSON_HELP)
def traffic(files: tuple[Path, ...], as_json: bool) -> None:
    """Sum the traffic sent by the processes, by kind of message and availability zone."""
    result = _traffic.sum_traffic(_explain.read_lines(files))
    if not result.bytes_by_row:
        raise click.ClickException("no log line reports the traffic of a process")
    click.echo(json.dumps(result.as_value(), indent=2) if as_json else _traffic.as_text(result))


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a shell."""
    from click.shell_completion import get_completion_class

    maker = get_completion_class(shell)
    click.echo(maker(cli, {}, PROGRAM, "_TARRAGONHALL_COMPLETE").source())


for group in (
    _settings_commands.org,
    _settings_commands.key,
    _settings_commands.settings,
    _settings_commands.rate,
    _settings_commands.budget,
    _settings_commands.model,
    _settings_commands.operator,
    _system_commands.program,
    _system_commands.server,
    _system_commands.zones,
    _system_commands.member,
):
    cli.add_command(group)


def main() -> None:
    """Run the command; print errors as one message, without a traceback."""
    try:
        cli(standalone_mode=False, prog_name=PROGRAM)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)
    except TarragonhallError as error:
        click.echo(f"{PROGRAM}: {error}", err=True)
        sys.exit(getattr(error, "exit_code", 1))


if __name__ == "__main__":
    main()
