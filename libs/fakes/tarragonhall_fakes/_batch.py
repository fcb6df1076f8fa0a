"""Continuous batching over a prefix cache of limited size, as the fake engine runs it."""

from __future__ import annotations

import collections
import hashlib
import re
from dataclasses import dataclass, field

import eventlet
from eventlet.queue import LightQueue

REQUESTED_TOKENS = re.compile(r"\[tokens=(\d+)\]")
DEFAULT_ANSWER_TOKENS = 12


@dataclass(slots=True)
class EngineOptions:
    """Speeds and sizes; times are in seconds, cache sizes and lengths in tokens (words)."""

    max_batch: int = 8
    step_seconds: float = 0.002
    step_seconds_per_run: float = 0.0005
    prefill_seconds_per_token: float = 0.0002
    cache_tokens: int = 20_000
    cache_event_gap: int = 5
    load_lag_seconds: float = 0.5
    fencing_enforced: bool = False


@dataclass(slots=True)
class Run:
    """One request in the engine; generated tokens are queued in `tokens`, and None ends them."""

    attempt: str
    program: str
    prompt: list[str]
    answer: list[str]
    priority: int
    cached_tokens: int = 0
    generated_tokens: int = 0
    cancelled: bool = False
    tokens: LightQueue = field(default_factory=LightQueue)


def answer_to(prompt: str, max_tokens: int) -> list[str]:
    """Return the answer's tokens; the first holds a hash of the prompt, so that tests can match."""
    prompt_hash = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    requested = REQUESTED_TOKENS.findall(prompt)
    length = int(requested[-1]) if requested else DEFAULT_ANSWER_TOKENS
    words = [f"answer-{prompt_hash}"] + [f"w{index}" for index in range(1, length)]
    return words[: min(length, max_tokens)]


class PrefixCache:
    """Cached tokens of each program; the least recently used program is evicted first."""

    __slots__ = ("_capacity", "events", "held")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self.held: collections.OrderedDict[str, list[str]] = collections.OrderedDict()
        self.events: list[dict] = []

    def shared_prefix_tokens(self, program: str, prompt: list[str]) -> int:
        """Return how many leading tokens of the prompt are cached."""
        count = 0
        for held, wanted in zip(self.held.get(program, []), prompt, strict=False):
            if held != wanted:
                break
            count += 1
        return count

    def put(self, program: str, tokens: list[str]) -> None:
        """Cache a program's tokens, evicting the least recently used programs as needed."""
        self.held[program] = tokens
        self.held.move_to_end(program)
        self._record_event("held", program)
        while sum(map(len, self.held.values())) > self._capacity:
            evicted, _tokens = self.held.popitem(last=False)
            self._record_event("evicted", evicted)

    def release(self, program: str) -> int:
        """Free a program's tokens and return their number."""
        tokens = self.held.pop(program, None)
        if tokens is None:
            return 0
        self._record_event("released", program)
        return len(tokens)

    def _record_event(self, kind: str, program: str) -> None:
        self.events.append({"sequence": len(self.events) + 1, "kind": kind, "program": program})


class Batch:
    """Runs up to `max_batch` requests at once; each step generates one token for each of them."""

    __slots__ = ("_options", "_stepping", "cache", "running", "waiting")

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._stepping = False
        self.cache = PrefixCache(options.cache_tokens)
        self.running: dict[str, Run] = {}
        self.waiting: list[Run] = []

    def submit(self, run: Run) -> None:
        """Queue a request; the lowest priority number runs first."""
        self.waiting.append(run)
        self.waiting.sort(key=lambda waiting: waiting.priority)
        if not self._stepping:
            self._stepping = True
            eventlet.spawn_n(self._step_loop)

    def cancel(self, attempt: str) -> bool:
        """Cancel a request; return whether it was running or waiting."""
        for run in [*self.running.values(), *self.waiting]:
            if run.attempt == attempt:
                run.cancelled = True
                return True
        return False

    def _step_loop(self) -> None:
        while self.running or self.waiting:
            seconds = self._admit()
            seconds += self._options.step_seconds
            seconds += self._options.step_seconds_per_run * len(self.running)
            eventlet.sleep(seconds)
            for run in list(self.running.values()):
                self._step(run)
        self._stepping = False

    def _admit(self) -> float:
        seconds = 0.0
        while self.waiting and len(self.running) < self._options.max_batch:
            run = self.waiting.pop(0)
            run.cached_tokens = self.cache.shared_prefix_tokens(run.program, run.prompt)
            uncached = len(run.prompt) - run.cached_tokens
            seconds += uncached * self._options.prefill_seconds_per_token
            self.running[run.attempt] = run
        return seconds

    def _step(self, run: Run) -> None:
        if run.generated_tokens < len(run.answer) and not run.cancelled:
            run.tokens.put(run.answer[run.generated_tokens])
            run.generated_tokens += 1
        if run.generated_tokens == len(run.answer) or run.cancelled:
            self.running.pop(run.attempt, None)
            self.cache.put(run.program, run.prompt + run.answer[: run.generated_tokens])
            run.tokens.put(None)
