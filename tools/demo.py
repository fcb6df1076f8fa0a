"""Run a few programs through a whole deployment on this machine and print their results.

Starts the daemon on `examples/one-instance.json` with a fake model engine and a fake plain service,
sets up an organisation, a key, a model and a budget with the operators' tool, and runs programs of
several dependent calls. Exits with 0 only if every program finished in order and within budget, and
every service call took effect exactly once.
"""

from __future__ import annotations

import json
import shutil
import sys
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

import click
import urllib3
from tarragonhall_fakes import LocalProcess, ProcessError, run_script, script

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = ROOT / "examples" / "one-instance.json"
FOLDER = ROOT / ".demo"
ADMIN = "127.0.0.1:7401"
CALLERS = "http://127.0.0.1:7402"
ENGINE = "127.0.0.1:7410"
SERVICE = "127.0.0.1:7411"
ORG = "lone-star"
ORG_PATH = "/lunch/dispatch/lone-star"
BUDGET_TOKENS = 500
BUDGET_CALLS = 12
# An election takes a second or two.
OPERATOR_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class Step:
    """One call of a demo program; `{previous}` in the body stands for the previous answer."""

    kind: str
    target: str
    body: str
    repeatable: bool = True


@dataclass(slots=True, frozen=True)
class DemoProgram:
    """A named sequence of dependent calls."""

    name: str
    steps: list[Step]


PLANNER = "planner-8b"
ORDER_DESK = "order-desk"

PROGRAMS = [
    DemoProgram(
        "route planner",
        [
            Step("model", PLANNER, "Draft the drop run for north Austin at 06:30"),
            Step(
                "service", ORDER_DESK, '{"action": "reserve-van", "run": "north"}', repeatable=False
            ),
            Step("model", PLANNER, "Order the stops, given: {previous}"),
        ],
    ),
    DemoProgram(
        "allergy check",
        [
            Step("model", PLANNER, "List the dishes with nuts in the menu of Tuesday"),
            Step("model", PLANNER, "Compare with the student notes: {previous}"),
        ],
    ),
    DemoProgram(
        "order desk",
        [
            Step("model", PLANNER, "Read the order of school 14: 220 trays"),
            Step("service", ORDER_DESK, '{"action": "confirm", "school": 14}', repeatable=False),
            Step("service", ORDER_DESK, '{"action": "bill", "district": 7}', repeatable=False),
            Step("model", PLANNER, "Write the confirmation, given: {previous}"),
        ],
    ),
    DemoProgram(
        "tasting negotiation",
        [
            Step("model", PLANNER, f"Offer {turn} for the tasting slot, after: {{previous}}")
            for turn in range(1, 7)
        ],
    ),
]


class Caller:
    """A caller with a key."""

    __slots__ = ("_headers", "_http")

    def __init__(self, key: str) -> None:
        self._http = urllib3.PoolManager(retries=False, timeout=60.0)
        self._headers = {"Authorization": f"Bearer {key}"}

    def post(self, path: str, body: dict, **headers: str) -> dict:
        """Send a POST and return the JSON answer; raise on a refusal."""
        response = self._http.request(
            "POST", f"{CALLERS}{path}", json=body, headers=self._headers | headers
        )
        value = response.json()
        if response.status >= 300:
            raise RuntimeError(f"{path}: {response.status} {value}")
        return value

    def get(self, path: str) -> dict:
        """Send a GET and return the JSON answer."""
        return self._http.request("GET", f"{CALLERS}{path}", headers=self._headers).json()


def tool(token: str, *arguments: str) -> dict:
    """Run the operators' tool and return its JSON."""
    command = ["--admin", ADMIN, "--token", token, "--json", *arguments]
    return json.loads(run_script("tarragonhall", *command))


def wait_for_operator(token: str) -> None:
    """Wait until the first operator can log in; entries can be ready slightly earlier."""
    deadline = time.monotonic() + OPERATOR_SECONDS
    while True:
        try:
            tool(token, "status")
            return
        except ProcessError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)


def set_up(token: str) -> str:
    """Create the organisation, its budget, the model and a key; return the key."""
    wait_for_operator(token)
    tool(token, "org", "create", ORG, ORG_PATH, "rate.per_second=200", "rate.burst=200")
    tool(
        token, "budget", "set", ORG_PATH,
        "--tokens", str(BUDGET_TOKENS), "--calls", str(BUDGET_CALLS),
    )  # fmt: skip
    tool(token, "model", "set", PLANNER, "v1")
    return tool(token, "key", "grant", ORG)["key"]


def run_program(caller: Caller, program: DemoProgram) -> str:
    """Run one program to its end, printing each answer; return its id."""
    opened = caller.post(
        "/v1/programs", {"labels": {"name": program.name}}, **{"Idempotency-Key": uuid.uuid4().hex}
    )
    program_id = opened["program_id"]
    click.echo(f"\n{program.name} ({program_id})")
    previous = "nothing yet"
    for seq, step in enumerate(program.steps, start=1):
        previous = run_step(caller, program_id, seq, step, previous)
    caller.post(f"/v1/programs/{program_id}/finish", {})
    return program_id


def run_step(caller: Caller, program_id: str, seq: int, step: Step, previous: str) -> str:
    """Run one call and return the text of its answer."""
    body = {
        "seq": seq,
        "kind": step.kind,
        "target": step.target,
        "body": step.body.replace("{previous}", previous),
        "repeatable": step.repeatable,
    }
    if step.kind == "model":
        body["max_tokens"] = 32
    answer = caller.post(f"/v1/programs/{program_id}/calls", body)["answer"]
    click.echo(f"  {seq}. {step.target}: {answer['text'][:90]}")
    return answer["text"]


def check_program(caller: Caller, program_id: str, program: DemoProgram) -> list[str]:
    """Return the errors found in the report of a program."""
    report = caller.get(f"/v1/programs/{program_id}")
    spent = report["spent"]
    click.echo(
        f"{program.name}: {report['status']}, spent {spent['tokens']} of "
        f"{report['budget']['tokens']} tokens, {spent['calls']} calls"
    )
    errors = []
    if report["status"] != "finished":
        errors.append(f"{program.name} did not finish")
    if [call["seq"] for call in report["calls"]] != list(range(1, len(program.steps) + 1)):
        errors.append(f"{program.name} did not run in order")
    if spent["tokens"] > report["budget"]["tokens"] or spent["calls"] > report["budget"]["calls"]:
        errors.append(f"{program.name} exceeded its budget")
    return errors


def check_ledger() -> list[str]:
    """Return the errors found in the effects that the service recorded."""
    ledger = urllib3.request("GET", f"http://{SERVICE}/ledger").json()
    effects = [entry["body"] for entry in ledger["effects"]]
    expected = [step.body for p in PROGRAMS for step in p.steps if step.kind == "service"]
    click.echo(f"service effects: {len(effects)} of {len(expected)} expected")
    return [] if sorted(effects) == sorted(expected) else ["an effect is missing or duplicated"]


def start_all() -> list[LocalProcess]:
    """Start the fakes and the daemon, and wait until callers can be served."""
    fakes = [
        LocalProcess([script("tarragonhall-fake-engine"), "--listen", ENGINE], FOLDER / "e.log"),
        LocalProcess([script("tarragonhall-fake-service"), "--listen", SERVICE], FOLDER / "s.log"),
    ]
    daemon = LocalProcess(
        [script("tarragonhalld"), "--settings", str(SETTINGS)], FOLDER / "daemon.log"
    )
    try:
        daemon.wait_ready(f"{CALLERS}/readyz")
    except Exception:
        stop_all([*fakes, daemon])
        raise
    return [*fakes, daemon]


def stop_all(processes: list[LocalProcess]) -> None:
    """Stop the processes, the daemon first so that it can still reach its backend servers."""
    for process in reversed(processes):
        process.stop()


def main() -> int:
    """Run the demo and return the exit code."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir()
    token = run_script("tarragonhalld", "--settings", str(SETTINGS), "--init").strip()
    processes = start_all()
    try:
        caller = Caller(set_up(token))
        ids = [run_program(caller, program) for program in PROGRAMS]
        click.echo("")
        errors = []
        for program_id, program in zip(ids, PROGRAMS, strict=True):
            errors += check_program(caller, program_id, program)
        errors += check_ledger()
        click.echo("\ntime line of the order desk")
        click.echo(
            run_script(
                "tarragonhall", "--admin", ADMIN, "--token", token, "timeline", "--program", ids[2]
            )
        )
    finally:
        stop_all(processes)
    for line in errors:
        click.echo(f"WRONG: {line}", err=True)
    click.echo("the demo failed" if errors else "every program finished in order, within budget")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
