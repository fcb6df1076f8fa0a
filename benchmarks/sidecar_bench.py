"""Measure one sidecar: resident memory, processor time and link bytes, idle and under load.

Runs a sidecar daemon beside a fake engine. This process acts as the rest of the system: a control
member, and an entry that dispatches directly over the link. Prints one row for each load.
"""

from __future__ import annotations

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import json  # noqa: E402
import os  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402
from tarragonhall_control import ControlSettings, start_control  # noqa: E402
from tarragonhall_fakes import LocalProcess, free_address, script  # noqa: E402
from tarragonhall_model import (  # noqa: E402
    AttemptAck,
    AttemptEnded,
    AttemptId,
    CallKind,
    CallSpec,
    Chunk,
    Dispatch,
    EntryRecord,
    LoadReport,
)
from tarragonhall_state import Follower  # noqa: E402
from tarragonhall_wire import (  # noqa: E402
    ControlClient,
    configure_logging,
    make_context,
    make_metrics,
)

SECRET = "0123456789abcdef" * 4
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 3.0
# 5,000,000 tokens a second divided by 13,000 calls a second.
TOKENS_PER_CALL = 385
# 42 ms between tokens at any batch size, as closely as the fake engine keeps it.
STEP_MS = 42.0


@dataclass(slots=True)
class Sample:
    """Counters of the sidecar process at a time."""

    at: float
    cpu_seconds: float
    resident_mb: float
    link_bytes: int


class Bench:
    """The processes of one measurement."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.control_address = free_address()
        self.sidecar_address = free_address()
        self.engine_address = free_address()
        self.done_by_attempt: dict[str, eventlet.event.Event] = {}
        self.chunks = 0
        self.incarnation = ""

    def start(self, slots: int) -> None:
        """Start control and entry in this process, and engine and sidecar as processes."""
        configure_logging("bench", "error")
        metrics = make_metrics(None, 0, "bench")
        self.context = make_context(
            "bench", "tx-austin", self.control_address, [self.control_address], SECRET.encode(),
            metrics,
        )  # fmt: skip
        members = {"bench": self.control_address}
        folder = str(self.folder / "control")
        start_control(ControlSettings(folder, free_address(), members, 3_000, 4_000), self.context)
        self.context.hub.handle(Chunk, self._on_chunk)
        self.context.hub.handle(AttemptEnded, self._on_ended)
        self.context.hub.handle(LoadReport, self._on_report)
        entry = EntryRecord("bench", self.context.incarnation, self.control_address, "tx-austin")
        ControlClient(self.context).follow(lambda: entry, Follower())
        engine = [script("tarragonhall-fake-engine"), "--listen", self.engine_address]
        engine += ["--max-batch", str(slots), "--step-ms", str(STEP_MS), "--cache-tokens", "200000"]
        self.engine = LocalProcess(engine, self.folder / "engine.log")
        daemon = [script("tarragonhalld"), "--settings", str(self._settings_file(slots))]
        self.sidecar = LocalProcess(daemon, self.folder / "sidecar.log")
        self.link = self.context.hub.wait_for_link(self.sidecar_address, 15)
        while not self.incarnation:
            eventlet.sleep(0.1)

    def stop(self) -> None:
        """Stop the processes."""
        self.sidecar.stop(5)
        self.engine.kill()
        self.context.hub.stop()

    def sample(self) -> Sample:
        """Read the sidecar's counters."""
        fields = Path(f"/proc/{self.sidecar.pid}/stat").read_text().rpartition(") ")[2].split()
        status = Path(f"/proc/{self.sidecar.pid}/status").read_text()
        resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        links = [x for x in self.context.hub.links() if x.peer.instance == "beside"]
        return Sample(
            at=time.monotonic(),
            cpu_seconds=(int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
            resident_mb=int(resident.split()[1]) / 1024,
            link_bytes=sum(link.sent_bytes + link.received_bytes for link in links),
        )

    def client(self, name: str) -> None:
        """Dispatch calls of one program, one after another, without end."""
        seq = 0
        while True:
            seq += 1
            attempt = AttemptId(f"prog-{name:0>24}", seq, 1, "engine-1", self.incarnation)
            done = self.done_by_attempt[attempt.key] = eventlet.event.Event()
            body = f"question {seq} of {name} [tokens={TOKENS_PER_CALL}]"
            spec = CallSpec(seq, CallKind.MODEL, "m", body, max_tokens=TOKENS_PER_CALL, stream=True)
            self.link.request(Dispatch(attempt, "org", spec, [], 1, 120_000), 5)
            done.wait()
            self.link.send(AttemptAck(attempt))

    def _on_chunk(self, _link, _chunk: Chunk) -> None:
        self.chunks += 1

    def _on_ended(self, _link, ended: AttemptEnded) -> None:
        waiter = self.done_by_attempt.pop(ended.attempt.key, None)
        if waiter is not None:
            waiter.send(ended)

    def _on_report(self, _link, report: LoadReport) -> None:
        self.incarnation = report.incarnation

    def _settings_file(self, slots: int) -> Path:
        secret = self.folder / "secret"
        secret.write_text(SECRET)
        secret.chmod(0o600)
        server = {"server_id": "engine-1", "server": self.engine_address, "kind": "model",
                  "serves": ["m"], "slots": slots}  # fmt: skip
        settings = {
            "instance": "beside",
            "availability_zone": "tx-austin",
            "region": "tx-central",
            "link": {
                "listen": self.sidecar_address,
                "secret_file": str(secret),
                "controls": [self.control_address],
            },
            "sidecars": [server],
        }
        path = self.folder / "sidecar.json"
        path.write_text(json.dumps(settings))
        return path


def measure(bench: Bench, clients: int, seconds: float) -> str:
    """Run a load for `seconds` and return its table row."""
    running = [eventlet.spawn(bench.client, f"{clients}-{index}") for index in range(clients)]
    eventlet.sleep(SETTLE_SECONDS)
    chunks, before = bench.chunks, bench.sample()
    eventlet.sleep(seconds)
    after = bench.sample()
    elapsed = after.at - before.at
    cpu = 100 * (after.cpu_seconds - before.cpu_seconds) / elapsed
    kb_s = (after.link_bytes - before.link_bytes) / elapsed / 1000
    chunks_s = (bench.chunks - chunks) / elapsed
    for thread in running:
        thread.kill()
    return (
        f"{clients:>7} | {chunks_s:>8.0f} | {cpu:>6.2f} | {after.resident_mb:>6.1f} | {kb_s:>7.2f}"
    )


@click.command()
@click.option("--seconds", default=10.0, show_default=True, help="duration of each measurement")
@click.option("--streams", default="0,8,57", show_default=True, help="loads, comma-separated")
def main(seconds: float, streams: str) -> None:
    """Measure one sidecar."""
    loads = [int(word) for word in streams.split(",")]
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(Path(folder))
        bench.start(slots=max(*loads, 1))
        try:
            print("streams | chunks/s | % core |   MB   | KB/s on links (payload, both ways)")
            for clients in loads:
                print(measure(bench, clients, seconds), flush=True)
        finally:
            bench.stop()


if __name__ == "__main__":
    main()
