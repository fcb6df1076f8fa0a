"""A plain service in which each request that arrives takes effect once."""

from __future__ import annotations

import json
import uuid
from dataclasses import dataclass, field

import eventlet

from tarragonhall_fakes._faults import Fault, FaultKind, Faults
from tarragonhall_fakes._server import Exchange, FakeServer

ATTEMPT_HEADER = "X-Attempt-Id"


@dataclass(slots=True)
class Service:
    """Records each effect in a ledger; it is not idempotent: two requests are two effects."""

    seconds_per_call: float = 0.0
    faults: Faults = field(default_factory=Faults)
    ledger: list[dict] = field(default_factory=list)
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex)

    def respond(self, exchange: Exchange) -> None:
        """Serve one request."""
        request = exchange.current_request
        if self.faults.handle(exchange):
            return
        if request.path == "/ledger":
            exchange.reply({"effects": self.ledger})
            return
        if request.path == "/health":
            exchange.reply({"life": self.incarnation})
            return
        if request.method != "POST":
            exchange.reply({"error": "not found"}, status=404)
            return
        self._call(exchange, self.faults.take(request.body.decode()))

    def _call(self, exchange: Exchange, fault: Fault | None) -> None:
        request = exchange.current_request
        kind = fault.kind if fault else None
        if kind is FaultKind.SILENT:
            exchange.hang()
        if kind is FaultKind.CRASH:
            exchange.crash()
        if kind is FaultKind.SLOW:
            eventlet.sleep(fault.seconds)
        eventlet.sleep(self.seconds_per_call)
        attempt = request.headers.get(ATTEMPT_HEADER.lower(), "")
        name = request.path.lstrip("/")
        text = request.body.decode()
        self.ledger.append({"name": name, "attempt": attempt, "body": text})
        if kind is FaultKind.HANG:
            exchange.hang()
        if kind is FaultKind.LATE:
            eventlet.sleep(fault.seconds)
        self._answer(exchange, kind, attempt, {"service": name, "did": text})

    def _answer(
        self, exchange: Exchange, kind: FaultKind | None, attempt: str, value: dict
    ) -> None:
        if kind is FaultKind.CROSSED:
            attempt, value = "someone-else/1/1", {**value, "did": "the work of someone else"}
        headers = {ATTEMPT_HEADER: attempt}
        body = json.dumps(value).encode()
        if kind is FaultKind.TRUNCATED:
            exchange.reply_bytes(body[: len(body) // 2], headers=headers, missing=len(body) // 2)
            return
        if kind is FaultKind.UNFRAMED:
            exchange.reply_unframed(body, headers)
            return
        if kind is FaultKind.RESET:
            exchange.reply_unframed(body[: len(body) // 2], headers)
            exchange.reset()
        exchange.reply_bytes(body, headers=headers)
        if kind is FaultKind.DOUBLED:
            exchange.reply_bytes(body, headers=headers)


def start_service(address: str = "127.0.0.1:0", **options) -> tuple[Service, FakeServer]:
    """Start a service in this process."""
    service = Service(**options)
    server = FakeServer(service.respond, address)
    server.start()
    return service, server
