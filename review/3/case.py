"""A request that crashes every replica that runs it comes again after rolling restarts."""

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness"))

from harness import (
    FRONTEND_PORT,
    PREFIX,
    Answer,
    Deployment,
    Record,
    Request,
    Server,
    http,
    run_case,
)

LIVENESS_S = 3.0
# "reaches replicas in more than three retries"
MAX_RETRIES = 3
SERVERS = 10
# A crashed replica "is back after some seconds".
RESTART_S = 2.0
ROLL_GAP_S = 1.3
ROLLS = 2
ATTEMPT_GAP_S = 1.0
ATTEMPTS = 8
# Proper requests beside it, not idempotent either, and the time for which each is worked on.
PROPER_A_SECOND = 30.0
PROPER_WORK_S = 0.4

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "charge",
            "host": "fair.example",
            "pathPrefix": "/charge/",
            "type": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 500,
            "service": "app",
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "app", "healthPath": "/healthz", "maxConnections": 130}],
    "tenants": [{"name": "org", "apiKeys": ["key-1"], "ratePerS": 200, "burst": 200}],
}


class Case:
    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record)
        self.servers: list[Server] = []
        self.crashed_at: list[float] = []
        # Crashes after the third that count, by the rule's own terms.
        self.counted = 0
        self.sent_through = None
        self.signalled_at: dict[str, float] = {}
        self.restarts: set[asyncio.Task] = set()
        self.cut_by_crashes = 0
        self.proper: dict[object, int] = {}
        self.stopped = False

    async def work(self, server: Server, request: Request) -> bytes | None:
        if request.body != b"poison":
            await asyncio.sleep(PROPER_WORK_S)
            return b"done"
        self.crashed_at.append(self.record.now())
        entry = self.sent_through
        counts = (
            len(self.crashed_at) > 3
            and self.is_in_touch(entry)
            and (self.record.now() > self.crashed_at[2] + LIVENESS_S)
        )
        self.counted += counts
        self.record.add(
            f"{server.server_id} runs {request.attempt_id} from {entry.name} and crashes: crash "
            f"{len(self.crashed_at)}{', counts' if counts else ''}"
        )
        self.cut_by_crashes += server.running - 1
        task = asyncio.create_task(self.crash(server))
        self.restarts.add(task)
        return None

    async def crash(self, server: Server) -> None:
        await server.end()
        await asyncio.sleep(RESTART_S)
        server.new_boot()
        await server.start()

    def is_in_touch(self, entry) -> bool:
        """Return whether nothing was done to the entry's machine for `livenessMs`."""
        touched_at = max(entry.started_at, self.signalled_at.get(entry.name, 0.0))
        return self.record.now() - touched_at > LIVENESS_S

    async def send(self, entry, number: int, body: bytes, tell: bool = True) -> Answer | None:
        attempt = f"{number:016x}"
        headers = {
            "host": "fair.example",
            PREFIX + "attempt-id": attempt,
            PREFIX + "deadline-ms": "3000",
            "authorization": "Bearer key-1",
        }
        try:
            return await http(entry.ip, FRONTEND_PORT, "POST", "/charge/1", body, headers, 3.5)
        except (TimeoutError, OSError, EOFError) as error:
            if tell:
                self.record.add(f"client: {attempt} to {entry.name} fails: {type(error).__name__}")
            return None

    async def traffic(self) -> None:
        """Send proper requests through the entries that the platform has in rotation."""
        tasks = set()
        number = 0
        while not self.stopped:
            number += 1
            task = asyncio.create_task(self.proper_request(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(PROPER_A_SECOND))
        await asyncio.gather(*tasks)

    async def proper_request(self, number: int) -> None:
        open_entries = [one for one in self.deployment.entries if self.is_in_touch(one)]
        if not open_entries:
            return
        answer = await self.send(random.choice(open_entries), number << 32, b"proper", False)
        status = answer.status if answer is not None else None
        self.proper[status] = self.proper.get(status, 0) + 1

    async def come_again(self, label: str) -> None:
        """Send the request some times, at one machine after the other, as a requester does."""
        for number in range(ATTEMPTS):
            entry = self.deployment.entries[number % len(self.deployment.entries)]
            self.sent_through = entry
            answer = await self.send(entry, random.getrandbits(63), b"poison")
            status = answer.status if answer is not None else None
            self.record.add(f"client: {label}, attempt {number + 1} at {entry.name}: {status}")
            await asyncio.sleep(ATTEMPT_GAP_S)

    async def roll(self) -> None:
        """Stop and start the entries in turn."""

        async def restart(entry) -> None:
            self.signalled_at[entry.name] = self.record.now()
            await self.deployment.terminate(entry)
            self.deployment.start(entry)

        tasks = []
        for entry in self.deployment.entries:
            tasks.append(asyncio.create_task(restart(entry)))
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.gather(*tasks)
        await self.deployment.wait_until_ready()
        await asyncio.sleep(LIVENESS_S + 0.5)

    async def run(self, trouble: bool) -> bool:
        traffic = None
        try:
            self.deployment.start_all()
            await self.deployment.publish(MANIFEST)
            for number in range(SERVERS):
                server = Server(self.deployment, number, "app", self.work)
                self.servers.append(server)
                await server.start()
            await self.deployment.wait_until_ready()
            await asyncio.sleep(LIVENESS_S + 0.5)
            traffic = asyncio.create_task(self.traffic())
            await asyncio.sleep(3.0)
            await self.come_again("first time")
            for number in range(ROLLS):
                if trouble:
                    await self.roll()
                else:
                    await asyncio.sleep(8.0)
                await self.come_again(f"after roll {number + 1}")
            self.stopped = True
            await traffic
            self.record.add(f"answers to proper requests: {self.proper}")
            self.record.add(f"proper requests cut by the crashes: {self.cut_by_crashes}")
            self.record.add(f"crashes: {len(self.crashed_at)}, retries that count: {self.counted}")
            return self.counted > MAX_RETRIES
        finally:
            self.stopped = True
            if traffic is not None:
                traffic.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await traffic
            for server in self.servers:
                await server.end()
            self.deployment.end_all()


sys.exit(
    run_case(Path(__file__).resolve().parent, lambda record, trouble: Case(record).run(trouble))
)
