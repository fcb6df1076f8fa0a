"""A small deployment on loopback addresses, with stand-ins for servers, clients and the platform.

The project's processes are started by the commands of the deploy file. Everything else runs in one
asyncio loop of this process and needs the standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PREFIX = "x-tarragonhall-"
ZONES = ("zona-a", "zona-b", "zona-c")
FRONTEND_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT = 8368, 8369, 8367, 8382
PEER_PORTS = (7780, 7795)
HEARTBEAT_S = 1.2
ACK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "ar-central"
portRange = [{first_port},{last_port}]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
faultCounted = true
{data}
discovery = "registration"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","tenants","quota"]
configMode = "highest"
[zones]
zona-a = "ar-central"
zona-b = "ar-central"
zona-c = "ar-central"
[listen]
frontend = "{ip}:{frontend}"
ready = "{ip}:{ready}"
controlPlane = "{ip}:{control}"
[limits]
cpuQuota = 0.817
cpuCores = 1
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
livenessMs = 3000
ackTimeoutMs = 4000
catchUpS = 4.4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
partitionSlackMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaAllowance = 20
recoveryS = 12
"""


class CannotRunError(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def note(self, text: str) -> None:
        """Write one line to the file alone."""
        self._file.write(f"{self.now():8.3f}  {text}\n")

    def add(self, text: str) -> None:
        """Write one line to the file and to standard output."""
        line = f"{self.now():8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class Node:
    """One process of the project: its role, its address and its settings file."""

    def __init__(self, role: str, name: str, ip: str, zone: str) -> None:
        self.role, self.name, self.ip, self.zone = role, name, ip, zone
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0


class Deployment:
    """The project's processes and the platform's part: start, signals and restarts."""

    def __init__(
        self, record: Record, controls: int = 3, entries: int = 3, stores: int = 0
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.folder.chmod(0o755)
        self.net = _free_net()
        self._first_start = True
        self.controls = self._nodes("control", 1, controls)
        self.entries = self._nodes("entry", 2, entries)
        self.stores = self._nodes("store", 3, stores)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command_by_role = {
            role: deploy["roles"][role]["run"].split() for role in ("entry", "control", "store")
        }

    def _nodes(self, role: str, group: int, count: int) -> list[Node]:
        return [
            Node(role, f"{role}-{n}", f"127.{self.net}.{group}.{n + 1}", ZONES[n % len(ZONES)])
            for n in range(count)
        ]

    def nodes(self) -> list[Node]:
        """Return all processes."""
        return self.controls + self.entries + self.stores

    def start_all(self) -> None:
        """Start everything for the first time."""
        for node in self.nodes():
            self.start(node)
        self._first_start = False

    def start(self, node: Node) -> None:
        """Start one process with the command of the deploy file."""
        path = self.folder / f"{node.name}.toml"
        data = "" if node.role == "entry" else f'dataDir = "{self.folder}/data-{node.name}"'
        serves = {"entry": "edge", "control": "control", "store": "storage"}[node.role]
        path.write_text(
            SETTINGS.format(
                name=node.name,
                role=node.role,
                machine_class="storage" if node.role == "store" else "edge",
                serves=serves,
                ip=node.ip,
                zone=node.zone,
                seeds=",".join(f'"{one.ip}:{CONTROL_PORT}"' for one in self.controls),
                bootstrap="true" if self._first_start else "false",
                data=data,
                frontend=FRONTEND_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                first_port=PEER_PORTS[0],
                last_port=PEER_PORTS[1],
            )
        )
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["TARRAGONHALL_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                self._command_by_role[node.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        node.started_at = self.record.now()
        self.record.add(f"platform starts {node.name}")

    def send_signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.record.add(f"platform sends {number.name} to {node.name}")
        node.process.send_signal(number)

    async def kill(self, node: Node) -> None:
        """Kill one process and wait for its end."""
        self.send_signal(node, signal.SIGKILL)
        while node.process.poll() is None:
            await asyncio.sleep(0.005)

    async def terminate(self, node: Node, grace_s: float = 8.0) -> None:
        """Stop one process as the platform does: SIGTERM, and SIGKILL after the grace time."""
        self.send_signal(node, signal.SIGTERM)
        until = time.monotonic() + grace_s
        while node.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if node.process.poll() is None:
            await self.kill(node)
        self.record.add(f"{node.name} has ended")

    def end_all(self) -> None:
        """End all processes that were started here and remove their files."""
        for node in self.nodes():
            if node.process is not None and node.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes():
            if node.process is not None:
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}", file=sys.stderr)
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until every entry reports itself ready."""
        until = time.monotonic() + timeout_s
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > until:
                    raise CannotRunError(f"{entry.name} does not become ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, entry: Node) -> bool:
        """Return whether an entry answers the platform's readiness check with 200."""
        try:
            answer = await http(entry.ip, READY_PORT, "GET", "/api/readyz", timeout_s=1.0)
        except (TimeoutError, OSError, EOFError):
            return False
        return answer.status == 200

    async def call_control(
        self, method: str, path: str, value: object, timeout_s: float = ACK_TIMEOUT_S
    ) -> Answer | None:
        """Call control as the platform's callers do: one node after the other; None if all fail."""
        body = json.dumps(value).encode() if value is not None else b""
        for control in random.sample(self.controls, len(self.controls)):
            try:
                answer = await http(
                    control.ip,
                    CONTROL_PORT,
                    method,
                    path,
                    body,
                    {"content-type": "application/json"},
                    timeout_s,
                )
            except (TimeoutError, OSError, EOFError):
                continue
            if answer.status >= 500 or answer.status in (408, 429):
                continue
            return answer
        return None

    async def publish(self, manifest: dict, timeout_s: float = 20.0) -> None:
        """Send a manifest until it is acknowledged."""
        until = time.monotonic() + timeout_s
        while True:
            answer = await self.call_control("PUT", "/api/config", manifest, 2.0)
            if answer is not None and answer.status == 200:
                self.record.add(f"operator: manifest {manifest['version']} is acknowledged")
                return
            if time.monotonic() > until:
                raise CannotRunError("the manifest is not acknowledged")
            await asyncio.sleep(0.2)


class Answer:
    """A response: status, headers by lowercase name, body."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message; raise `EOFError` at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message; raise `EOFError` if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def http(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 25)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"host: {ip}:{port}"]
            if headers and "host" in headers:
                lines = lines[:1]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines += [f"content-length: {len(body)}", "connection: close"]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            status = int(first.split(" ")[1])
            return Answer(status, answer_headers, await read_body(reader, answer_headers))
        finally:
            writer.close()


class KeptChannel:
    """A requester that keeps its channel to one entry and sends one request after the other."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, path: str, body: bytes, headers: dict[str, str], timeout_s: float) -> int:
        """Send a POST request; return the status, 0 if the channel ends without an answer."""
        lines = [f"POST {path} HTTP/1.1", f"content-length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    opened = await asyncio.open_connection(self._ip, FRONTEND_PORT)
                    self._reader, self._writer = opened
                self._writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
                await self._writer.drain()
                first, answer_headers = await read_head(self._reader)
                await read_body(self._reader, answer_headers)
        except (OSError, EOFError, TimeoutError):
            self.close()
            return 0
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1])

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Request:
    """A request as it reached a server."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.path, self.headers, self.body = method, path, headers, body

    @property
    def attempt_id(self) -> str:
        """Return the client's id of the attempt."""
        return self.headers.get(PREFIX + "attempt-id", "")


class Server:
    """A replica: serves requests and sends heartbeats. One start is one boot with its own id."""

    def __init__(
        self,
        deployment: Deployment,
        number: int,
        service: str,
        work: Callable[[Server, Request], Awaitable[bytes | None]],
        slots: int = 6,
        queue: int = 24,
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.ip = f"127.{deployment.net}.4.{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.service, self.slots, self.queue, self.work = service, slots, queue, work
        # Returns whether an answer is sent once more, late.
        self.sends_twice: Callable[[], bool] = lambda: False
        self._slots = asyncio.Semaphore(slots)
        self.server_id = f"i-{random.getrandbits(40):010x}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self._listener: asyncio.Server | None = None
        self._heartbeats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Return ip:port."""
        return f"{self.ip}:{SERVER_PORT}"

    async def start(self) -> None:
        """Start this boot."""
        self._listener = await asyncio.start_server(
            self._serve, self.ip, SERVER_PORT, limit=1 << 25, reuse_address=True
        )
        self._heartbeats = asyncio.create_task(self._heartbeat_loop())

    def new_boot(self) -> None:
        """Become the next boot, with a new id."""
        self.server_id = f"i-{random.getrandbits(40):010x}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"

    def heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
        }

    async def stop_heartbeats(self) -> None:
        """Send no further heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._heartbeats
            self._heartbeats = None

    async def end(self) -> None:
        """End at once: close all connections, without a word to control."""
        await self.stop_heartbeats()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _heartbeat_loop(self) -> None:
        while True:
            await self.deployment.call_control(
                "PUT", f"/api/replicas/{self.server_id}", self.heartbeat()
            )
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        late = b""
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _version = first.split(" ")
                request = Request(method, path, headers, await read_body(reader, headers))
                if late:
                    self.record.note(f"{self.server_id} sends its last answer once more")
                    # The second copy of the answer before, where the next one is expected.
                    writer.write(late)
                    late = b""
                answer = await self._answer(request)
                writer.write(answer)
                await writer.drain()
                if self.sends_twice():
                    late = answer
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _answer(self, request: Request) -> bytes:
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return _response(status, {PREFIX + "instance-id": self.server_id}, b"")
        expected = request.headers.get(PREFIX + "expect-instance")
        own = {PREFIX + "attempt-id": request.attempt_id}
        if expected not in (None, self.server_id):
            return _response(421, own, b"")
        if self.running >= self.slots + self.queue:
            self.record.note(f"{self.server_id} refuses {request.attempt_id} as full")
            return _response(503, own | {PREFIX + "not-executed": "full"}, b"")
        self.running += 1
        try:
            async with self._slots:
                self.record.note(f"{self.server_id} runs {request.attempt_id}")
                body = await self.work(self, request)
        finally:
            self.running -= 1
        if body is None:
            raise EOFError
        return _response(200, own | {PREFIX + "server-seal": f"{self.server_id}.1"}, body)


def _response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}", "keep-alive: timeout=5"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _free_net() -> int:
    """Return a second byte of loopback addresses whose ports are free."""
    for _ in range(50):
        net = random.randrange(20, 250)
        ports = (FRONTEND_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT, PEER_PORTS[0], 9161)
        try:
            for group in (1, 2, 3, 4):
                for port in ports:
                    with socket.socket() as one:
                        one.bind((f"127.{net}.{group}.1", port))
        except OSError:
            continue
        return net
    raise CannotRunError("no free loopback addresses")


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110.0))
    except Exception as error:  # noqa: BLE001 - whatever it is, it says nothing about the rule
        record.add(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    record.add("RULE BROKEN" if broken else "the rule held")
    return 1 if broken else 0
