"""`tarragonhalld`: runs the roles that a settings file names."""

from __future__ import annotations

import warnings

# The deprecation is accepted, and its warning at every start would only clutter the output.
warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# Must precede all other imports: a module bound to the unpatched socket blocks the event loop.
eventlet.monkey_patch()

import json  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402
from tarragonhall_model import TarragonhallError  # noqa: E402
from tarragonhall_wire import use_event_loop  # noqa: E402

from tarragonhall_daemon._init import initialise  # noqa: E402
from tarragonhall_daemon._run import run_daemon  # noqa: E402
from tarragonhall_daemon._settings import OPTIONS, load_settings, read_secret  # noqa: E402

VERSION = "0.1.0"
EXIT_INVALID_INPUT = 2

SETTINGS_HELP = "Settings file of this process, in JSON."
CHECK_HELP = "Check the settings file, print every finding, and exit."
SCHEMA_HELP = "Print the JSON Schema of the settings file and exit."
INIT_HELP = "Create the link secret, the data folder and the first operator; print its token once."


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(VERSION)
@click.option("--settings", "settings_file", type=click.Path(path_type=Path), help=SETTINGS_HELP)
@click.option("--check", is_flag=True, help=CHECK_HELP)
@click.option("--schema", is_flag=True, help=SCHEMA_HELP)
@click.option("--init", "first_start", is_flag=True, help=INIT_HELP)
def cli(settings_file: Path | None, check: bool, schema: bool, first_start: bool) -> None:
    """Run the tarragonhall roles that a settings file names."""
    if schema:
        click.echo(json.dumps(OPTIONS.schema(), indent=2))
        return
    if settings_file is None:
        raise click.UsageError("--settings is required")
    settings = load_settings(settings_file)
    if check:
        read_secret(Path(settings.link.secret_file))
        click.echo(f"{settings_file}: no findings")
        return
    if first_start:
        click.echo(initialise(settings))
        return
    sys.exit(run_daemon(settings))


def main() -> None:
    """Run the command; print user errors without a traceback."""
    use_event_loop()
    try:
        cli(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)
    except TarragonhallError as error:
        click.echo(f"tarragonhalld: {type(error).__name__}\n{error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)


if __name__ == "__main__":
    main()
