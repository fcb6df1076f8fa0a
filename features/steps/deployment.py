"""A small deployment of real processes for the features, and callers of it.

One or three control members, one sidecar process for a fake service and a fake engine, and two
entries. Scenarios with the same number of control members share a deployment; each first restarts
what the previous one stopped.
"""

from __future__ import annotations

import json
import shutil
import tempfile
import uuid
from dataclasses import dataclass, field
from pathlib import Path

import eventlet
import urllib3
from tarragonhall_fakes import (
    Engine,
    FakeServer,
    LocalProcess,
    Service,
    free_address,
    run_script,
    script,
    start_engine,
    start_service,
)
from urllib3.exceptions import HTTPError

ENTRIES = ("entry-1", "entry-2")
RATE = 500
WAIT_SECONDS = 20.0


@dataclass(slots=True)
class Deployment:
    """The processes, the fakes behind them, and their addresses."""

    folder: Path
    service: Service
    engine: Engine
    service_server: FakeServer
    engine_server: FakeServer
    process_by_name: dict[str, LocalProcess] = field(default_factory=dict)
    callers_address: dict[str, str] = field(default_factory=dict)
    control_address: dict[str, str] = field(default_factory=dict)
    admin_address: dict[str, str] = field(default_factory=dict)
    token: str = ""

    def start(self, name: str) -> None:
        """Start a process unless it is running; wait until an entry is ready."""
        process = self.process_by_name.get(name)
        if process is None or not process.running():
            command = [script("tarragonhalld"), "--settings", str(self.folder / f"{name}.json")]
            process = LocalProcess(command, self.folder / f"{name}.log")
            self.process_by_name[name] = process
        if name in self.callers_address:
            process.wait_ready(f"http://{self.callers_address[name]}/readyz")

    def restore(self) -> None:
        """Remove all faults and start every process that is not running."""
        self.service.faults.clear()
        self.service.seconds_per_call = 0.0
        self.engine.faults.clear()
        self.restart_service_if_crashed()
        if self.engine_server.crashed:
            self.engine_server.start()
        for name in (*self.control_address, "sidecar-1", *ENTRIES):
            self.start(name)

    def tool(self, *arguments: str) -> dict:
        """Run the operators' tool and return its JSON."""
        command = ["--token", self.token, "--json"]
        for admin in self.admin_address.values():
            command += ["--admin", admin]
        return json.loads(run_script("tarragonhall", *command, *arguments))

    def new_organisation(self, rate: int = RATE, burst: int = RATE) -> tuple[str, str]:
        """Create an organisation; return its name and a key."""
        name = f"org-{uuid.uuid4().hex[:8]}"
        path = f"/tests/{name}"
        self.tool("org", "create", name, path, f"rate.per_second={rate}", f"rate.burst={burst}")
        return name, self.tool("key", "grant", name)["key"]

    def caller(self, key: str) -> Caller:
        """Return a caller with a key."""
        return Caller(self, key)

    def restart_service_if_crashed(self) -> None:
        """Restart a crashed service under a new incarnation, as the platform does."""
        if self.service_server.crashed:
            self.service.incarnation = uuid.uuid4().hex
            self.service_server.start()

    def wait_for_request(self, body: str) -> None:
        """Wait until a call with this body has reached the service; it may not have run yet."""
        data = body.encode()
        wait_until(lambda: any(data in request.body for request in self.service_server.received))

    def effects(self, body: str) -> int:
        """Return how often a service call with this body took effect."""
        return sum(body in entry["body"] for entry in self.service.ledger)

    def stop(self) -> None:
        """Stop everything and remove the files."""
        for process in reversed(self.process_by_name.values()):
            if process.running():
                process.resume()
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass(slots=True)
class Reply:
    """A reply to a caller: the status, the JSON body, and the entry that sent it."""

    status: int
    value: dict
    entry: str

    def text(self) -> str:
        """Return the text of the answer."""
        return self.value["answer"]["text"]


@dataclass(slots=True)
class Caller:
    """A caller with a key that keeps its connections open."""

    deployment: Deployment
    key: str
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, timeout=30.0, maxsize=50)
    )

    def send(self, entry: str, method: str, path: str, body: object = None) -> Reply:
        """Send one request through an entry."""
        url = f"http://{self.deployment.callers_address[entry]}{path}"
        headers = {"Authorization": f"Bearer {self.key}"}
        response = self.http.request(method, url, json=body, headers=headers)
        return Reply(response.status, response.json(), entry)

    def open(self, entry: str = ENTRIES[0]) -> str:
        """Open a program and return its id."""
        reply = self.send(entry, "POST", "/v1/programs", {})
        assert reply.status == 201, reply
        return reply.value["program_id"]

    def call(self, entry: str, program_id: str, seq: int, body: str, **fields) -> Reply:
        """Send a call: a service call that is not repeatable, unless the fields override this."""
        call = {"seq": seq, "kind": "service", "target": "order-desk", "body": body}
        call |= {"repeatable": False, "timeout_ms": 20_000} | fields
        return self.send(entry, "POST", f"/v1/programs/{program_id}/calls", call)

    def call_anywhere(self, program_id: str, seq: int, body: str, **fields) -> Reply:
        """Send a call as a load balancer does: to another entry if one does not answer."""
        with eventlet.Timeout(WAIT_SECONDS):
            while True:
                for entry in ENTRIES:
                    try:
                        return self.call(entry, program_id, seq, body, **fields)
                    except HTTPError:
                        continue
                eventlet.sleep(0.05)

    def call_until_run(self, program_id: str, seq: int, body: str, **fields) -> Reply:
        """Send a call, again after each refusal that says it was not run and when to retry."""
        with eventlet.Timeout(WAIT_SECONDS):
            while True:
                reply = self.call_anywhere(program_id, seq, body, **fields)
                pause_ms = reply.value.get("retry_after_ms")
                if reply.value.get("execution") != "not_run" or pause_ms is None:
                    return reply
                eventlet.sleep(pause_ms / 1000)


def wait_until(condition, seconds: float = WAIT_SECONDS) -> None:
    """Wait until the condition holds; raise AssertionError after the timeout."""
    with eventlet.Timeout(seconds, False):
        while not condition():
            eventlet.sleep(0.01)
        return
    raise AssertionError(f"not within {seconds} s")


_deployment_by_members: dict[int, Deployment] = {}


def shared_deployment(members: int = 1) -> Deployment:
    """Return the shared deployment with this many control members, every process running."""
    if members not in _deployment_by_members:
        _deployment_by_members[members] = _make_deployment(members)
    deployment = _deployment_by_members[members]
    deployment.restore()
    return deployment


def stop_shared_deployments() -> None:
    """Stop all shared deployments."""
    while _deployment_by_members:
        _deployment_by_members.popitem()[1].stop()


def _make_deployment(members: int) -> Deployment:
    folder = Path(tempfile.mkdtemp(prefix="tarragonhall-features-"))
    service, service_server = start_service()
    engine, engine_server = start_engine()
    deployment = Deployment(folder, service, engine, service_server, engine_server)
    for number in range(1, members + 1):
        deployment.control_address[f"control-{number}"] = free_address()
        deployment.admin_address[f"control-{number}"] = free_address()
    _write_settings(deployment, service_server.address, engine_server.address)
    control = str(folder / "control-1.json")
    deployment.token = run_script("tarragonhalld", "--settings", control, "--init").strip()
    return deployment


def _write_settings(deployment: Deployment, service: str, engine: str) -> None:
    for name, address in deployment.control_address.items():
        control = {
            "data_folder": f"data-{name}",
            "admin": deployment.admin_address[name],
            "members": deployment.control_address,
        }
        _write(deployment, name, address, {"control": control})
    service_sidecar = {
        "server_id": "desk-1",
        "server": service,
        "kind": "service",
        "serves": ["order-desk"],
    }
    engine_sidecar = {
        "server_id": "engine-1",
        "server": engine,
        "kind": "model",
        "serves": ["planner"],
    }
    _write(deployment, "sidecar-1", free_address(), {"sidecars": [service_sidecar, engine_sidecar]})
    for name in ENTRIES:
        deployment.callers_address[name] = free_address()
        entry = {"listen": deployment.callers_address[name], "drain_grace_ms": 500}
        _write(deployment, name, free_address(), {"entry": entry})


def _write(deployment: Deployment, name: str, listen: str, roles: dict) -> None:
    link = {
        "listen": listen,
        "secret_file": "link.secret",
        "controls": list(deployment.control_address.values()),
    }
    settings = {"instance": name, "availability_zone": "tx-austin", "link": link} | roles
    (deployment.folder / f"{name}.json").write_text(json.dumps(settings))
