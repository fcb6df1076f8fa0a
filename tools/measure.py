"""Measure both workloads in the modes calm, overload and faults, on loopback.

Starts one control instance, two entries, three fake engines and a fake service with a sidecar each,
runs the workloads of `tarragonhall-load` against them, and prints a table. `--baseline` adds the
same programs sent directly to the engines, round robin.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402
from tarragonhall_fakes import (  # noqa: E402
    Deployment,
    LoadOptions,
    LoadResult,
    LocalProcess,
    TimedAction,
    clear_faults,
    free_address,
    make_workload,
    post_fault,
    run_load,
    run_script,
    script,
    table,
)

ROOT = Path(__file__).resolve().parent.parent
SECRET_BYTES = 32
MODEL = "planner-8b"
SERVICE = "order-desk"
ENGINES = 3
# About 180 tokens a second for each engine, so that engines and not this machine are the limit.
ENGINE_OPTIONS = ["--step-ms", "20", "--max-batch", "4", "--cache-tokens", "6000"]
SLOTS = 4
RATE = (15.0, 30.0)
ZONES = {"association": ("tx-austin", "tx-waco"), "agency": ("zona-a", "zona-b")}
# About half of what the engines can serve; overload multiplies the largest organisation.
PROGRAMS_PER_SECOND = {"association": 3.0, "agency": 1.2}
HOT_FACTOR = 10.0
# New owners of token buckets wait until the first entry, which owned them all, stops granting.
SETTLE_S = 3.0


@dataclass(slots=True)
class System:
    """The processes of one run and their addresses."""

    folder: Path
    zones: tuple[str, str]
    token: str = ""
    address_by_name: dict[str, str] = field(default_factory=dict)
    process_by_name: dict[str, LocalProcess] = field(default_factory=dict)

    def address(self, name: str) -> str:
        """Return the loopback address of that name, choosing a free one at first."""
        if name not in self.address_by_name:
            self.address_by_name[name] = free_address()
        return self.address_by_name[name]

    def start(self, name: str) -> LocalProcess:
        """Start or restart the process of that name."""
        if name.startswith("engine"):
            command = [script("tarragonhall-fake-engine"), "--listen", self.address(name)]
            command += ENGINE_OPTIONS
        elif name == "service":
            command = [script("tarragonhall-fake-service"), "--listen", self.address(name)]
            command += ["--call-ms", "10"]
        else:
            command = [script("tarragonhalld"), "--settings", str(self.folder / f"{name}.json")]
        process = LocalProcess(command, self.folder / f"{name}.log")
        self.process_by_name[name] = process
        return process

    def write_settings(self) -> None:
        """Write the settings file of each daemon."""
        (self.folder / "link.secret").write_text("s" * SECRET_BYTES)
        self._write(
            "control",
            control={
                "data_folder": str(self.folder / "data"),
                "admin": self.address("admin"),
                "members": {"control": self.address("control")},
            },
        )
        for number in range(2):
            name = f"entry-{number}"
            self._write(name, zone=number, entry={"listen": self.address(f"{name}-http")})
        for number in range(ENGINES):
            self._write_sidecar(f"engine-{number}", "model", MODEL, SLOTS, zone=number % 2)
        self._write_sidecar("service", "service", SERVICE, 8, zone=0)

    def _write_sidecar(self, name: str, kind: str, serves: str, slots: int, zone: int) -> None:
        sidecar = {
            "server_id": name,
            "server": self.address(name),
            "kind": kind,
            "serves": [serves],
            "slots": slots,
        }
        self._write(f"sidecar-{name}", zone=zone, sidecars=[sidecar])

    def _write(self, name: str, zone: int = 0, **roles: object) -> None:
        settings = {
            "instance": name,
            "availability_zone": self.zones[zone],
            "region": "local",
            "link": {
                "listen": self.address(name),
                "secret_file": str(self.folder / "link.secret"),
                "controls": [self.address("control")],
            },
            **roles,
        }
        (self.folder / f"{name}.json").write_text(json.dumps(settings, indent=2))

    def tool(self, token: str, *arguments: str) -> dict:
        """Run the operators' tool and return its JSON."""
        admin = ["--admin", self.address("admin"), "--token", token, "--json"]
        return json.loads(run_script("tarragonhall", *admin, *arguments))

    def start_all(self, org_ids: list[str]) -> Deployment:
        """Start every process, create the organisations, and wait until callers can be served."""
        self.write_settings()
        control_file = str(self.folder / "control.json")
        token = run_script("tarragonhalld", "--settings", control_file, "--init").strip()
        self.token = token
        engines = [f"engine-{number}" for number in range(ENGINES)]
        servers = [*engines, "service"]
        for name in [*servers, "control", *(f"sidecar-{name}" for name in servers)]:
            self.start(name)
        entries = [f"entry-{number}" for number in range(2)]
        for name in entries:
            self.start(name)
        for name in entries:
            self.process_by_name[name].wait_ready(f"http://{self.address(f'{name}-http')}/readyz")
        self.tool(token, "model", "set", MODEL, "v1")
        key_by_org = {}
        rate = [f"rate.per_second={RATE[0]}", f"rate.burst={RATE[1]}"]
        for org_id in org_ids:
            self.tool(token, "org", "create", org_id, f"/measure/{org_id}", *rate)
            key_by_org[org_id] = self.tool(token, "key", "grant", org_id)["key"]
        eventlet.sleep(SETTLE_S)
        return Deployment(
            [self.address(f"{name}-http") for name in entries],
            [self.address(name) for name in engines],
            [self.address("service")],
            key_by_org,
        )

    def restart(self, name: str) -> None:
        """Kill a process and start it again."""
        self.process_by_name[name].kill()
        self.start(name)

    def stop(self) -> None:
        """Stop every process, servers last."""
        for process in reversed(self.process_by_name.values()):
            process.request_stop()
        for process in self.process_by_name.values():
            process.stop()


def faults(system: System, seconds: float) -> list[TimedAction]:
    """Return the faults of a run: a slow engine, then a killed engine, entry and sidecar."""
    slow = {"kind": "slow", "times": 0, "seconds": 0.1}
    first = system.address("engine-0")
    return [
        TimedAction(0.1 * seconds, lambda: post_fault(first, slow)),
        TimedAction(0.4 * seconds, lambda: clear_faults(first)),
        TimedAction(0.5 * seconds, lambda: system.restart("engine-1")),
        TimedAction(0.65 * seconds, lambda: system.restart("entry-1")),
        TimedAction(0.8 * seconds, lambda: system.restart("sidecar-engine-2")),
    ]


def measure(name: str, mode: str, seconds: float, seed: int, direct: bool) -> LoadResult:
    """Run one workload in one mode on a fresh system."""
    hot = HOT_FACTOR if mode == "overload" else 1.0
    workload = make_workload(name, seed, seconds, PROGRAMS_PER_SECOND[name], hot)
    folder = ROOT / ".measure" / f"{name}-{mode}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    system = System(folder, ZONES[name])
    try:
        deployment = system.start_all(workload.org_ids)
        title = f"{name} {mode}{' direct' if direct else ''}"
        actions = faults(system, seconds) if mode == "faults" else []
        options = LoadOptions(title, 60.0, rate=RATE, direct=direct, actions=actions)
        result = run_load(workload, deployment, options)
        if not direct:
            for program_id in [*result.failed_ids, result.slowest_id]:
                events = system.tool(system.token, "timeline", "--program", program_id)
                (folder / f"{program_id}.json").write_text(json.dumps(events, indent=1))
        return result
    finally:
        system.stop()


@click.command()
@click.option("--seconds", default=25.0, show_default=True, help="period in which programs start")
@click.option("--seed", default=1, show_default=True)
@click.option("--workload", "workloads", multiple=True, default=["association", "agency"])
@click.option("--mode", "modes", multiple=True, default=["calm", "overload", "faults"])
@click.option(
    "--baseline/--no-baseline", default=True, help="also run directly against the engines"
)
@click.option("--output", type=click.Path(path_type=Path), help="file for the results as JSON")
def main(
    seconds: float,
    seed: int,
    workloads: tuple[str, ...],
    modes: tuple[str, ...],
    baseline: bool,
    output: Path | None,
) -> None:
    """Run the measurements and print the table."""
    results: list[LoadResult] = []
    for name in workloads:
        for mode in modes:
            for direct in (False, True) if baseline and mode != "faults" else (False,):
                result = measure(name, mode, seconds, seed, direct)
                results.append(result)
                click.echo(json.dumps(result.as_json()))
    if output is not None:
        output.write_text(json.dumps([result.as_json() for result in results], indent=2) + "\n")
    click.echo(table(results, "github"))


if __name__ == "__main__":
    sys.exit(main())
