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

# Enough samples to answer with one that is `load_lag_seconds` old, at a bounded memory.
MAX_LOAD_SAMPLES = 100
PING_SECONDS = 1.0


class Engine:
    """The state and the routes of one fake engine."""

    __slots__ = ("_highest_fencing", "_loads", "_route_by_path", "batch", "faults", "incarnation",
                 "loaded", "options", "orders", "role")  # fmt: skip

    def __init__(self, options: EngineOptions | None = None) -> None:
        self.options = options or EngineOptions()
        self.batch = Batch(self.options)
        self.faults = Faults()
        self.incarnation = uuid.uuid4().hex
        self.role = "serve"
        self.loaded: dict[str, str] = {}
        self.orders: list[dict] = []
        self._highest_fencing = 0
        self._loads: collections.deque = collections.deque(maxlen=MAX_LOAD_SAMPLES)
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
        request = exchange.current_request
        path = urllib.parse.urlsplit(request.path).path
        route = self._route_by_path.get((request.method, path))
        if route is None:
            exchange.reply({"error": "not found"}, status=404)
            return
        route(exchange)

    def _generate(self, exchange: Exchange) -> None:
        request = exchange.current_request.json()
        fault = self.faults.take(exchange.current_request.body.decode())
        kind = fault.kind if fault else None
        if kind is FaultKind.SILENT:
            exchange.hang()
        if kind is FaultKind.CRASH:
            # Delayed, so that other requests are running when the crash ends them.
            eventlet.sleep(0.05)
            exchange.crash()
        text = "\n".join(message["content"] for message in request["messages"])
        answer = answer_to(text, int(request["max_tokens"]))
        run = Run(request["attempt"], request["program"], text.split(), answer, request["priority"])
        self.batch.submit(run)
        exchange.start_event_stream()
        exchange.send_event("started", {"attempt": run.attempt})
        try:
            self._stream(exchange, run, fault)
        except OSError:
            # The client disconnected, so the run stops instead of generating an unread answer.
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
            exchange.send_event("token", token)
            if kind is FaultKind.DOUBLED:
                exchange.send_event("token", token)
            if kind is FaultKind.HANG and len(words) > 1:
                exchange.hang()
        if kind is FaultKind.TRUNCATED:
            return
        if kind is FaultKind.RESET:
            exchange.reset()
        if kind is FaultKind.LATE:
            eventlet.sleep(fault.seconds)
        end = {
            "attempt": attempt,
            "reason": "cancelled" if run.cancelled else "stop",
            "tokens": len(words),
            "characters": len(" ".join(words)),
            "prompt_tokens": len(run.prompt),
            "cached_tokens": run.cached_tokens,
        }
        exchange.send_event("done", end)
        if kind is FaultKind.DOUBLED:
            exchange.send_event("done", end)

    def _next_token(self, exchange: Exchange, run: Run) -> str | None:
        """Wait for the next token; send a ping event for each second without one."""
        while True:
            try:
                return run.tokens.get(timeout=PING_SECONDS)
            except Empty:
                exchange.send_event("ping", {"attempt": run.attempt})

    def _cancel(self, exchange: Exchange) -> None:
        attempt = exchange.current_request.json()["attempt"]
        exchange.reply({"cancelled": self.batch.cancel(attempt)})

    def _running(self, exchange: Exchange) -> None:
        waiting = [run.attempt for run in self.batch.waiting]
        exchange.reply({"attempts": [*self.batch.running, *waiting]})

    def _held(self, exchange: Exchange) -> None:
        held = self.batch.cache.held.items()
        programs = [{"program": name, "tokens": len(tokens)} for name, tokens in reversed(held)]
        exchange.reply({"programs": programs, "capacity": self.options.cache_tokens})

    def _release(self, exchange: Exchange) -> None:
        # A fault that matches the program makes the engine ignore the release.
        if self.faults.take(exchange.current_request.body.decode()):
            exchange.reply({"tokens": 0})
            return
        tokens = self.batch.cache.release(exchange.current_request.json()["program"])
        exchange.reply({"tokens": tokens})

    def _load(self, exchange: Exchange) -> None:
        now = time.monotonic()
        sample = {"running": len(self.batch.running), "waiting": len(self.batch.waiting)}
        self._loads.append((now, sample))
        old = [entry for entry in self._loads if now - entry[0] >= self.options.load_lag_seconds]
        sampled_at, sample = old[-1] if old else self._loads[0]
        exchange.reply({**sample, "age_ms": int((now - sampled_at) * 1000)})

    def _cache_events(self, exchange: Exchange) -> None:
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(exchange.current_request.path).query)
        after = int(query.get("after", ["0"])[0])
        gap = self.options.cache_event_gap
        # The newest event is always reported late, and every `gap`-th is never reported.
        reported = self.batch.cache.events[after:-1]
        exchange.reply({"events": [event for event in reported if event["sequence"] % gap]})

    def _export(self, exchange: Exchange) -> None:
        program = exchange.current_request.json()["program"]
        tokens = self.batch.cache.held.get(program)
        status = 404 if tokens is None else 200
        exchange.reply({"program": program, "tokens": tokens}, status=status)

    def _import(self, exchange: Exchange) -> None:
        value = exchange.current_request.json()
        self.batch.cache.put(value["program"], value["tokens"])
        exchange.reply({"tokens": len(value["tokens"])})

    def _order(self, exchange: Exchange) -> None:
        order = exchange.current_request.json()
        fault = self.faults.take(exchange.current_request.body.decode())
        if fault is not None and fault.kind is FaultKind.LATE:
            # Applies the order only after its sender has timed out.
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
        exchange.reply({"life": self.incarnation, "role": self.role, "loaded": self.loaded})


def start_engine(
    address: str = "127.0.0.1:0", options: EngineOptions | None = None
) -> tuple[Engine, FakeServer]:
    """Start an engine in this process."""
    engine = Engine(options)
    server = FakeServer(engine.respond, address)
    server.start()
    return engine, server
