"""The fake model engine's HTTP protocol; see `docs/dev-guide/engine-protocol.md`."""

from __future__ import annotations

import collections
import time
import urllib.parse
import uuid

import eventlet
from eventlet.queue import Empty

from tarragonhall_fakes._batch import Batch, EngineOptions, Run, answer_to
from tarragonhall_fakes._faults import Fault, FaultKind, Faults
from tarragonhall_fakes._server import Exchange, FakeServer

# A listing of load or cache events older than this tells nothing new.
LOAD_SAMPLES_KEPT = 100
PING_SECONDS = 1.0


class Engine:
    """One fake engine."""

    __slots__ = ("_highest_fencing", "_loads", "_route_by_path", "batch", "faults", "life",
                 "loaded", "options", "orders", "role")  # fmt: skip

    def __init__(self, options: EngineOptions | None = None) -> None:
        self.options = options or EngineOptions()
        self.batch = Batch(self.options)
        self.faults = Faults()
        self.life = uuid.uuid4().hex
        self.role = "serve"
        self.loaded: dict[str, str] = {}
        self.orders: list[dict] = []
        self._highest_fencing = 0
        self._loads: collections.deque = collections.deque(maxlen=LOAD_SAMPLES_KEPT)
        self._route_by_path = {
            ("POST", "/v1/generate"): self._generate,
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/v1/running"): self._running,
            ("GET", "/v1/held"): self._held,
            ("POST", "/v1/release"): self._release,
            ("GET", "/v1/load"): self._load,
            ("GET", "/v1/cache-events"): self._cache_events,
            ("POST", "/v1/kv/export"): self._export,
            ("POST", "/v1/kv/import"): self._import,
            ("POST", "/v1/orders"): self._order,
            ("GET", "/health"): self._health,
        }

    def respond(self, exchange: Exchange) -> None:
        """Serve one request."""
        if self.faults.handle(exchange):
            return
        request = exchange.request_seen
        path = urllib.parse.urlsplit(request.path).path
        route = self._route_by_path.get((request.method, path))
        if route is None:
            exchange.reply({"error": "not found"}, status=404)
            return
        route(exchange)

    def _generate(self, exchange: Exchange) -> None:
        request = exchange.request_seen.json()
        fault = self.faults.take(exchange.request_seen.body.decode())
        kind = fault.kind if fault else None
        if kind is FaultKind.SILENT:
            exchange.hang()
        if kind is FaultKind.CRASH:
            # A little later, so that the request runs beside others when it brings them down.
            eventlet.sleep(0.05)
            exchange.crash()
        text = "\n".join(message["content"] for message in request["messages"])
        answer = answer_to(text, int(request["max_tokens"]))
        run = Run(request["attempt"], request["program"], text.split(), answer, request["priority"])
        self.batch.submit(run)
        exchange.start_events()
        exchange.event("started", {"attempt": run.attempt})
        try:
            self._stream(exchange, run, fault)
        except OSError:
            # The client went away: an engine stops to generate for no one.
            run.cancelled = True
            raise

    def _stream(self, exchange: Exchange, run: Run, fault: Fault | None) -> None:
        kind = fault.kind if fault else None
        words: list[str] = []
        attempt = "someone-else/1/1" if kind is FaultKind.CROSSED else run.attempt
        while (word := self._next_token(exchange, run)) is not None:
            if kind is FaultKind.SLOW:
                eventlet.sleep(fault.seconds)
            text = word if not words else f" {word}"
            token = {"attempt": attempt, "index": len(words), "text": text}
            words.append(word)
            exchange.event("token", token)
            if kind is FaultKind.DOUBLED:
                exchange.event("token", token)
            if kind is FaultKind.HANG and len(words) > 1:
                exchange.hang()
        if kind is FaultKind.TRUNCATED:
            return
        if kind is FaultKind.LATE:
            eventlet.sleep(fault.seconds)
        end = {
            "attempt": attempt,
            "reason": "cancelled" if run.cancelled else "stop",
            "tokens": len(words),
            "characters": len(" ".join(words)),
            "prompt_tokens": len(run.prompt),
            "cached_tokens": run.cached,
        }
        exchange.event("done", end)
        if kind is FaultKind.DOUBLED:
            exchange.event("done", end)

    def _next_token(self, exchange: Exchange, run: Run) -> str | None:
        """Wait for the next token, telling the client each second that the request still waits."""
        while True:
            try:
                return run.tokens.get(timeout=PING_SECONDS)
            except Empty:
                exchange.event("ping", {"attempt": run.attempt})

    def _cancel(self, exchange: Exchange) -> None:
        attempt = exchange.request_seen.json()["attempt"]
        exchange.reply({"cancelled": self.batch.cancel(attempt)})

    def _running(self, exchange: Exchange) -> None:
        waiting = [run.attempt for run in self.batch.waiting]
        exchange.reply({"attempts": [*self.batch.running, *waiting]})

    def _held(self, exchange: Exchange) -> None:
        held = self.batch.cache.held.items()
        programs = [{"program": name, "tokens": len(tokens)} for name, tokens in reversed(held)]
        exchange.reply({"programs": programs, "capacity": self.options.cache_tokens})

    def _release(self, exchange: Exchange) -> None:
        # A fault that matches the program makes this engine forget to release, as some do.
        if self.faults.take(exchange.request_seen.body.decode()):
            exchange.reply({"tokens": 0})
            return
        tokens = self.batch.cache.release(exchange.request_seen.json()["program"])
        exchange.reply({"tokens": tokens})

    def _load(self, exchange: Exchange) -> None:
        now = time.monotonic()
        sample = {"running": len(self.batch.running), "waiting": len(self.batch.waiting)}
        self._loads.append((now, sample))
        old = [taken for taken in self._loads if now - taken[0] >= self.options.load_lag_seconds]
        at, sample = old[-1] if old else self._loads[0]
        exchange.reply({**sample, "age_ms": int((now - at) * 1000)})

    def _cache_events(self, exchange: Exchange) -> None:
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(exchange.request_seen.path).query)
        after = int(query.get("after", ["0"])[0])
        gap = self.options.cache_event_gap
        # The newest event is always late, and every `gap`-th is lost for good.
        late = self.batch.cache.events[after:-1]
        exchange.reply({"events": [event for event in late if event["sequence"] % gap]})

    def _export(self, exchange: Exchange) -> None:
        program = exchange.request_seen.json()["program"]
        tokens = self.batch.cache.held.get(program)
        status = 404 if tokens is None else 200
        exchange.reply({"program": program, "tokens": tokens}, status=status)

    def _import(self, exchange: Exchange) -> None:
        value = exchange.request_seen.json()
        self.batch.cache.put(value["program"], value["tokens"])
        exchange.reply({"tokens": len(value["tokens"])})

    def _order(self, exchange: Exchange) -> None:
        order = exchange.request_seen.json()
        fault = self.faults.take(exchange.request_seen.body.decode())
        if fault is not None and fault.kind is FaultKind.LATE:
            # It acts on the order only after whoever gave it has stopped to wait.
            eventlet.sleep(fault.seconds)
        if self.options.fencing_enforced and order["fencing"] < self._highest_fencing:
            exchange.reply({"error": "old fencing number"}, status=409)
            return
        self._highest_fencing = max(self._highest_fencing, order["fencing"])
        self.orders.append(order)
        if order["action"] == "role":
            self.role = order["model"]
        elif order["action"] == "unload":
            self.loaded.pop(order["model"], None)
        else:
            self.loaded[order["model"]] = order["version"]
        if fault is not None and fault.kind is FaultKind.HANG:
            exchange.hang()
        exchange.reply({"done": True})

    def _health(self, exchange: Exchange) -> None:
        exchange.reply({"life": self.life, "role": self.role, "loaded": self.loaded})


def start_engine(
    address: str = "127.0.0.1:0", options: EngineOptions | None = None
) -> tuple[Engine, FakeServer]:
    """Start an engine in this process."""
    engine = Engine(options)
    server = FakeServer(engine.respond, address)
    server.start()
    return engine, server
