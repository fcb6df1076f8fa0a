"""The command line of the load tool."""

from __future__ import annotations

import json
from pathlib import Path

import click

from tarragonhall_fakes._load_results import table
from tarragonhall_fakes._load_run import (
    Deployment,
    LoadOptions,
    TimedAction,
    post_fault,
    run_load,
)
from tarragonhall_fakes._load_workload import make_workload


@click.command()
@click.option("--workload", type=click.Choice(["association", "agency"]), required=True)
@click.option("--entry", "entries", multiple=True, required=True, help="host:port of an entry")
@click.option("--engine", "engines", multiple=True, help="host:port of a fake engine")
@click.option("--service", "services", multiple=True, help="host:port of a fake service")
@click.option(
    "--keys", type=click.File(), required=True, help="JSON object with the key of each organisation"
)
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="period in which programs start")
@click.option("--per-second", default=5.0, show_default=True, help="programs started per second")
@click.option(
    "--hot-factor",
    default=1.0,
    show_default=True,
    help="multiplies the rate of the largest organisation",
)
@click.option(
    "--patience", default=60.0, show_default=True, help="timeout of a whole program, in seconds"
)
@click.option("--rate", nargs=2, default=(1e9, 1e9), help="rate and burst of each organisation")
@click.option(
    "--fault",
    "faults",
    multiple=True,
    help="SECONDS@HOST:PORT=JSON, a fault for a fake at a time after the start",
)
@click.option("--output", type=click.Path(path_type=Path), help="file for the results as JSON")
def main(
    workload: str,
    entries: tuple[str, ...],
    engines: tuple[str, ...],
    services: tuple[str, ...],
    keys,
    seed: int,
    seconds: float,
    per_second: float,
    hot_factor: float,
    patience: float,
    rate: tuple[float, float],
    faults: tuple[str, ...],
    output: Path | None,
) -> None:
    """Run agent programs against a deployment and print what their callers received."""
    made = make_workload(workload, seed, seconds, per_second, hot_factor)
    deployment = Deployment(list(entries), list(engines), list(services), json.load(keys))
    actions = [parse_fault(fault) for fault in faults]
    options = LoadOptions(workload, patience, rate=rate, actions=actions)
    result = run_load(made, deployment, options)
    if output is not None:
        output.write_text(json.dumps(result.as_json(), indent=2) + "\n")
    click.echo(table([result]))


def parse_fault(text: str) -> TimedAction:
    """Parse one `--fault` into a timed action."""
    at, _, rest = text.partition("@")
    address, _, fault = rest.partition("=")
    try:
        seconds, value = float(at), json.loads(fault)
    except ValueError as error:
        raise click.BadParameter(f"{text!r}: {error}", param_hint="--fault") from error
    return TimedAction(seconds, lambda: post_fault(address, value))
