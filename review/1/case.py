"""Replicas send some answers twice, the second copy late, while their service is full."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness"))

from harness import PREFIX, Deployment, KeptChannel, Record, Request, Server, run_case

# The largest dose of the site file: for 5 s, 0.6 of the replicas send 0.03 of their answers twice.
SHARE, ANSWERS, FOR_S = 0.6, 0.03, 5.0
PAUSE_S = 1.0
SERVERS = 2
SLOTS, QUEUE, WORK_S = 2, 2, 0.015
ENTRIES, CLIENTS, SECONDS = 9, 72, 75.0
NOT_RUN = (408, 421, 429, 503)

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "dispatch",
            "host": "order.example",
            "pathPrefix": "/dispatch/",
            "type": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "service": "desk",
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 130}],
    "tenants": [{"name": "org", "apiKeys": ["key-1"]}],
}


class Case:
    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record, entries=ENTRIES)
        self.servers: list[Server] = []
        self.runs: dict[str, int] = {}
        self.status_by_attempt: dict[str, int] = {}
        self.ends_at = 0.0
        self.began_at = 0.0

    async def work(self, server: Server, request: Request) -> bytes | None:
        attempt = request.attempt_id
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        if self.runs[attempt] > 1:
            self.record.add(f"{server.server_id} runs {attempt}: run {self.runs[attempt]}")
        await asyncio.sleep(WORK_S * random.uniform(0.5, 1.5))
        return b"done"

    def is_garbled(self) -> bool:
        """Return whether an answer now is one that is sent twice."""
        since_s = self.record.now() - self.began_at
        return since_s % (FOR_S + PAUSE_S) < FOR_S and random.random() < ANSWERS

    async def client(self, number: int) -> None:
        entry = self.deployment.entries[number % ENTRIES]
        channel = KeptChannel(entry.ip)
        while self.record.now() < self.ends_at:
            attempt = f"{random.getrandbits(63):016x}"
            headers = {
                "host": "order.example",
                PREFIX + "attempt-id": attempt,
                PREFIX + "deadline-ms": "3000",
                "authorization": "Bearer key-1",
            }
            self.record.note(f"client {number} sends {attempt} to {entry.name}")
            status = await channel.send(f"/dispatch/{number}", b"x" * 600, headers, 5.0)
            self.status_by_attempt[attempt] = status
            self.record.note(f"{attempt} is answered {status or 'with a closed channel'}")
        channel.close()

    async def run(self, trouble: bool) -> bool:
        try:
            self.deployment.start_all()
            await self.deployment.publish(MANIFEST)
            for number in range(SERVERS):
                server = Server(self.deployment, number, "desk", self.work, SLOTS, QUEUE)
                if trouble and number < int(SHARE * SERVERS):
                    server.sends_twice = self.is_garbled
                self.servers.append(server)
                await server.start()
            await self.deployment.wait_until_ready()
            await asyncio.sleep(2.0)
            self.began_at = self.record.now()
            self.ends_at = self.began_at + SECONDS
            await asyncio.gather(*(self.client(number) for number in range(CLIENTS)))
            await asyncio.sleep(3.5)
            return self.judge()
        finally:
            for server in self.servers:
                await server.end()
            self.deployment.end_all()

    def judge(self) -> bool:
        statuses = self.status_by_attempt
        twice = [one for one, count in self.runs.items() if count > 1]
        refused = [one for one, s in statuses.items() if s in NOT_RUN and one in self.runs]
        cut = [one for one, s in statuses.items() if not s and one in self.runs]
        counts: dict[int, int] = {}
        for status in statuses.values():
            counts[status] = counts.get(status, 0) + 1
        self.record.add(f"answers, 0 for none: {counts}")
        for attempt in twice:
            self.record.add(
                f"{attempt} ran {self.runs[attempt]} times, answered {statuses[attempt]}"
            )
        for attempt in refused:
            self.record.add(f"{attempt} ran, answered {statuses[attempt]}")
        self.record.add(f"ran twice: {len(twice)}; refused though they ran: {len(refused)}")
        self.record.add(f"ran, and the channel was closed without an answer: {len(cut)}")
        return bool(twice)


sys.exit(
    run_case(Path(__file__).resolve().parent, lambda record, trouble: Case(record).run(trouble))
)
