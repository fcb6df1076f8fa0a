"""A replica leaves, the core restarts, and a heartbeat of the replica arrives late."""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness"))

from harness import (
    CONTROL_PORT,
    FRONTEND_PORT,
    PREFIX,
    CannotRunError,
    Deployment,
    Record,
    Request,
    Server,
    http,
    run_case,
)

LIVENESS_S = 3.0
DRAIN_S = 2.0
SERVERS = 4
CALLS_A_SECOND = 30.0
# The heartbeat that is late arrives this long after it was sent.
LATE_S = 6.0
# The replica serves on for this long after the confirmation that it leaves.
SERVES_ON_S = 9.0
DOWN_S = 0.5

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "book",
            "host": "fair.example",
            "pathPrefix": "/book/",
            "type": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 500,
            "service": "app",
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "app", "healthPath": "/healthz", "maxConnections": 130}],
    "tenants": [{"name": "org", "apiKeys": ["key-1"], "ratePerS": 500, "burst": 500}],
}


class Case:
    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record)
        self.servers: list[Server] = []
        self.leaving: Server | None = None
        self.confirmed_at: float | None = None
        self.in_touch_from = float("inf")
        # Requests that reach the replica too late: (time, attempt, time at which they were sent).
        self.late: list[str] = []
        self.sent_at: dict[str, float] = {}
        self.status_by_attempt: dict[str, object] = {}
        self.stopped = False

    async def work(self, server: Server, request: Request) -> bytes | None:
        now = self.record.now()
        if server is self.leaving and self.confirmed_at is not None:
            sent_at = self.sent_at[request.attempt_id]
            counts = now > self.confirmed_at + DRAIN_S and sent_at > self.in_touch_from
            if counts:
                self.late.append(request.attempt_id)
            if counts and len(self.late) <= 20:
                after_s = now - self.confirmed_at
                self.record.add(
                    f"{server.server_id} runs {request.attempt_id}, {after_s:.2f} s after the "
                    "confirmation that it leaves: too late"
                )
        await asyncio.sleep(random.uniform(0.05, 0.2))
        return b"booked"

    async def call(self, number: int) -> None:
        attempt = f"{number:08x}{random.getrandbits(32):08x}"
        entry = random.choice(self.deployment.entries)
        headers = {
            "host": "fair.example",
            PREFIX + "attempt-id": attempt,
            PREFIX + "deadline-ms": "3000",
            "authorization": "Bearer key-1",
        }
        self.sent_at[attempt] = self.record.now()
        self.record.note(f"client sends {attempt} to {entry.name}")
        try:
            answer = await http(entry.ip, FRONTEND_PORT, "POST", "/book/1", b"{}", headers, 4.0)
            self.status_by_attempt[attempt] = answer.status
        except (TimeoutError, OSError, EOFError) as error:
            self.status_by_attempt[attempt] = type(error).__name__
        self.record.note(f"{attempt} is answered {self.status_by_attempt[attempt]}")

    async def traffic(self) -> None:
        tasks = set()
        number = 0
        while not self.stopped:
            number += 1
            tasks.add(asyncio.create_task(self.call(number)))
            await asyncio.sleep(random.expovariate(CALLS_A_SECOND))
        await asyncio.gather(*tasks)

    async def late_heartbeat(self, body: dict, control) -> None:
        """Deliver a heartbeat that was sent in time and is held up on its way."""
        await asyncio.sleep(LATE_S)
        answer = await http(
            control.ip,
            CONTROL_PORT,
            "PUT",
            f"/api/replicas/{self.leaving.server_id}",
            json.dumps(body).encode(),
            {"content-type": "application/json"},
            2.0,
        )
        self.record.add(
            f"the late heartbeat, seq {body['seq']}, arrives at {control.name}: {answer.status}"
        )

    async def leave(self) -> None:
        """Take a replica out: it sends its DELETE, serves on, and ends."""
        server = self.leaving = self.servers[0]
        await server.stop_heartbeats()
        # The last heartbeat gets no confirmation within a second; the next one goes to other nodes.
        held_up = server.heartbeat()
        self.record.add(f"{server.server_id} sends heartbeat {held_up['seq']}, which is held up")
        late = asyncio.create_task(self.late_heartbeat(held_up, self.deployment.controls[0]))
        await asyncio.sleep(1.0)
        await self.deployment.call_control(
            "PUT", f"/api/replicas/{server.server_id}", server.heartbeat()
        )
        answer = await self.deployment.call_control(
            "DELETE", f"/api/replicas/{server.server_id}", {"born": server.born_ms}
        )
        if answer is None or answer.status != 200:
            raise CannotRunError("the leave notice is not confirmed")
        self.confirmed_at = self.record.now()
        self.record.add(f"{server.server_id} leaves: its notice is confirmed")
        self.late_task = late

    async def kill_core(self) -> None:
        """Kill all control processes at the same moment; they are back within a second."""
        await asyncio.gather(*(self.deployment.kill(one) for one in self.deployment.controls))
        await asyncio.sleep(DOWN_S)
        for one in self.deployment.controls:
            self.deployment.start(one)

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
            traffic = asyncio.create_task(self.traffic())
            await asyncio.sleep(LIVENESS_S + 1.0)
            await self.leave()
            self.in_touch_from = self.record.now()
            if trouble:
                await asyncio.sleep(0.3)
                await self.kill_core()
                self.in_touch_from = self.record.now() + LIVENESS_S
            await asyncio.sleep(self.confirmed_at + SERVES_ON_S - self.record.now())
            self.record.add(
                f"{self.leaving.server_id} ends, {self.leaving.running} requests are running there"
            )
            running = self.leaving.running
            await self.leaving.end()
            await asyncio.sleep(4.0)
            self.stopped = True
            await traffic
            await self.late_task
            counts: dict[object, int] = {}
            for status in self.status_by_attempt.values():
                counts[status] = counts.get(status, 0) + 1
            self.record.add(f"answers: {counts}; requests cut at the replica's end: {running}")
            self.record.add(f"requests that reached the replica too late: {len(self.late)}")
            return bool(self.late)
        finally:
            self.stopped = True
            for server in self.servers:
                await server.end()
            self.deployment.end_all()


sys.exit(
    run_case(Path(__file__).resolve().parent, lambda record, trouble: Case(record).run(trouble))
)
