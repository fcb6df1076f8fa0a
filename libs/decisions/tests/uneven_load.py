"""Engines of different speed, entries with lagging news and random arrivals, for decision tests.

An engine reads prompts one after the other and then produces a call's events beside its other
calls; beyond its slots, calls wait.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from tarragonhall_decisions import BackendChooser, CallRequirements, PromptPart
from tarragonhall_model import BackendRecord, LoadDetail

NEWS_INTERVAL_S = 0.4
SUBJECT_TOKENS, OWN_TOKENS, SUBJECTS = 2_560, 500, 8
TOKENS_PER_MS = 33.0
BASE_MS, GAP_MS, GAP_MS_PER_CALL, EVENTS = 10.0, 25.0, 0.3, 8
SLOTS = 24


@dataclass
class Engine:
    record: BackendRecord
    speed: float
    reads_until: float = 0.0
    ends: list[float] = field(default_factory=list)
    held: set[str] = field(default_factory=set)

    def run(self, parts, speed: float, now: float) -> tuple[float, float]:
        """Return when the first event of a call comes, and its end."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        begin = (
            now if len(self.ends) < SLOTS else heapq.nsmallest(len(self.ends), self.ends)[-SLOTS]
        )
        tokens = sum(part.tokens for part in parts if part.part_id not in self.held)
        self.held.update(part.part_id for part in parts)
        self.reads_until = max(begin, self.reads_until) + tokens / TOKENS_PER_MS / 1000 / speed
        first = self.reads_until + BASE_MS / 1000 / speed
        running = min(SLOTS, len(self.ends) + 1)
        end = first + EVENTS * (GAP_MS + GAP_MS_PER_CALL * running) / 1000 / speed
        heapq.heappush(self.ends, end)
        return first, end


@dataclass
class Result:
    first_ms: list[tuple[float, float]] = field(default_factory=list)
    calls: Counter = field(default_factory=Counter)
    unplaced: int = 0

    def quantile_ms(self, share: float, after_s: float = 0.0) -> float:
        taken = sorted(ms for at, ms in self.first_ms if at >= after_s)
        return taken[min(len(taken) - 1, int(share * len(taken)))]


class UnevenLoad:
    """Entries and engines; `speed_at` gives an engine's speed at a time, its usual one or not."""

    def __init__(self, speeds, entries=6, seed=1, uneven=True, make_chooser=BackendChooser) -> None:
        self.rng = random.Random(seed)
        self.engines = {
            f"i-{n}": Engine(
                BackendRecord(f"i-{n}", "models", f"a:{n}", "zona-a", SLOTS, 1, 1), speed
            )
            for n, speed in enumerate(speeds)
        }
        self.speed_at = lambda engine, _now: engine.speed
        self.choosers = [make_chooser("zona-a", random.Random(seed + n)) for n in range(entries)]
        for chooser in self.choosers:
            self.prepare(chooser, uneven)

    def prepare(self, chooser: BackendChooser, uneven: bool = True) -> None:
        chooser.set_servers([one.record for one in self.engines.values()], 0.0)
        if uneven:
            chooser.uneven.paces.set_services({"models"})

    def run(self, calls_per_s: float, seconds: float, lost_news=lambda _now: False) -> Result:
        result = Result()
        order = itertools.count()
        events: list = []
        self._push(events, order, 0.0, self._arrive, result, calls_per_s)
        self._push(events, order, NEWS_INTERVAL_S, self._tell, lost_news)
        while events:
            now, _, action, arguments = heapq.heappop(events)
            if now < seconds or action not in (self._arrive, self._tell):
                for after_s, *rest in action(now, *arguments):
                    self._push(events, order, now + after_s, *rest)
        return result

    @staticmethod
    def _push(events, order, at, action, *arguments) -> None:
        heapq.heappush(events, (at, next(order), action, arguments))

    def _arrive(self, now, result, calls_per_s):
        yield self.rng.expovariate(calls_per_s), self._arrive, result, calls_per_s
        parts = (
            PromptPart(f"subject-{self.rng.randrange(SUBJECTS)}", SUBJECT_TOKENS),
            PromptPart(f"own-{self.rng.random()}", OWN_TOKENS),
        )
        chooser = self.rng.choice(self.choosers)
        requirements = CallRequirements("models", parts)
        record = chooser.choose(requirements, now)
        if record is None:
            result.unplaced += 1
            return
        engine = self.engines[record.server_id]
        unread = chooser.unread_tokens(record.server_id, requirements)
        chooser.started(record.server_id, now)
        running = chooser.running(record.server_id)
        first, end = engine.run(parts, self.speed_at(engine, now), now)
        result.calls[record.server_id] += 1
        result.first_ms.append((now, (first - now) * 1000))
        yield first - now, self._first, chooser, engine, unread, running, now
        yield end - now, self._end, chooser, engine, requirements, running, now, first

    def _first(self, now, chooser, engine, unread, running, started):
        chooser.uneven.paces.on_first_event(
            "models", engine.record.server_id, unread, running, (now - started) * 1000, now
        )
        return ()

    def _end(self, now, chooser, engine, requirements, running, started, first):
        server_id = engine.record.server_id
        gap_ms = (now - first) * 1000 / EVENTS
        chooser.uneven.paces.on_gap("models", server_id, running, gap_ms, now)
        chooser.run_times("models").stream_ended((now - started) * 1000)
        chooser.ended(server_id, started)
        chooser.answered(server_id, requirements)
        return ()

    def _tell(self, now, lost_news):
        yield NEWS_INTERVAL_S, self._tell, lost_news
        if lost_news(now):
            return
        told = []
        for chooser in self.choosers:
            detail = LoadDetail()
            chooser.uneven.paces.report_load(detail, now)
            told.append((chooser, chooser.own_load(), detail))
        for receiver in self.choosers:
            for n, (chooser, load, detail) in enumerate(told):
                if chooser is not receiver:
                    receiver.on_entry_load(f"e-{n}", load, now, detail=detail)
