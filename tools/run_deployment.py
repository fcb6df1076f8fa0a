"""Start a reduced example deployment on this machine and run it until interrupted.

Every instance is a process of its own: three control members, three entries, and a sidecar beside
each of a few fake backend servers.
"""

from __future__ import annotations

import json
import shutil
import time
from pathlib import Path

import click
from tarragonhall_fakes import LocalProcess, run_script, script

ROOT = Path(__file__).resolve().parent.parent
SERVERS_HELP = "Backend servers of each kind to start."
PROCESS_POLL_SECONDS = 0.5


def load_files(name: str, servers: int) -> list[tuple[Path, dict]]:
    """Return the settings files to start, with the first `servers` backend servers of each kind."""
    chosen = []
    for file in sorted((ROOT / "examples" / name).glob("*.json")):
        settings = json.loads(file.read_text())
        if settings.get("sidecars") and int(file.stem.rpartition("-")[2]) > servers:
            continue
        chosen.append((file, settings))
    return chosen


def start_fake(settings: dict, folder: Path) -> list[LocalProcess]:
    """Start the fake backend servers of an instance's sidecars."""
    started = []
    for sidecar in settings.get("sidecars", []):
        name = "engine" if sidecar["kind"] == "model" else "service"
        command = [script(f"tarragonhall-fake-{name}"), "--listen", sidecar["server"]]
        started.append(LocalProcess(command, folder / f"{sidecar['server_id']}.log"))
    return started


def initialise(files: list[tuple[Path, dict]]) -> str:
    """Create the secret and the first operator on one control member; return the token."""
    first = next(file for file, settings in files if "control" in settings)
    return run_script("tarragonhalld", "--settings", str(first), "--init").strip()


def start_all(files: list[tuple[Path, dict]], folder: Path) -> list[LocalProcess]:
    """Start every instance and wait until every entry can serve callers."""
    started: list[LocalProcess] = []
    try:
        for file, settings in files:
            started += start_fake(settings, folder)
            command = [script("tarragonhalld"), "--settings", str(file)]
            started.append(LocalProcess(command, folder / f"{settings['instance']}.log"))
        by_command = {tuple(process.command): process for process in started}
        for file, settings in files:
            if "entry" not in settings:
                continue
            process = by_command[(script("tarragonhalld"), "--settings", str(file))]
            process.wait_ready(f"http://{settings['entry']['listen']}/readyz")
    except BaseException:
        stop_all(started)
        raise
    return started


def stop_all(started: list[LocalProcess]) -> None:
    """Request every process to stop, then wait for each."""
    for process in started:
        process.request_stop()
    for process in started:
        process.stop()


@click.command()
@click.argument("name", type=click.Choice(["association", "agency"]))
@click.option("--servers", default=2, show_default=True, help=SERVERS_HELP)
@click.option("--seconds", type=float, help="Stop after this many seconds.")
def main(name: str, servers: int, seconds: float | None) -> None:
    """Start a reduced deployment NAME and run it until interrupted."""
    folder = ROOT / ".demo" / name
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    files = load_files(name, servers)
    token = initialise(files)
    started = start_all(files, folder)
    admin = [settings["control"]["admin"] for _file, settings in files if "control" in settings]
    callers = [settings["entry"]["listen"] for _file, settings in files if "entry" in settings]
    click.echo(f"export TARRAGONHALL_ADMIN='{' '.join(admin)}' TARRAGONHALL_TOKEN={token}")
    click.echo(f"callers: {', '.join(callers)}; {len(started)} processes; interrupt to stop")
    end = time.monotonic() + seconds if seconds is not None else float("inf")
    try:
        while time.monotonic() < end:
            time.sleep(PROCESS_POLL_SECONDS)
            for process in started:
                if not process.running():
                    click.echo(f"exited: {' '.join(process.command)}", err=True)
    except KeyboardInterrupt:
        click.echo("stopping")
    finally:
        stop_all(started)


if __name__ == "__main__":
    main()
