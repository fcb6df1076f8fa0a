"""A crowd of programs at a few entries that share servers, for tests of decisions under load.

Entries decide by news of the others that are `NEWS_S` old. Each turn holds a slot for `RUN_S`;
after a pause the next turn waits again. A refused start returns once after its retry time.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tarragonhall_decisions import (
    AdmissionLevel,
    ClassLoad,
    Deadline,
    FairParts,
    Prospect,
    QueuedCall,
    ServiceLoad,
    ServiceQueue,
    UrgentTier,
)

TICK_S = 0.05
NEWS_S = 0.4
RUN_S = 0.3
PAUSE_S = 0.1
URGENT, CALM = 1, 3
TURNS = {URGENT: 4, CALM: 11}
# Both kinds may wait this long for a slot on average, and as long again before a start is refused.
TARGET_S = 0.1


@dataclass(slots=True)
class Program:
    """A program; `late_at` is twice its time on idle servers after its arrival."""

    name: str
    org: str
    urgency: int
    arrived: float
    turns_left: int
    tries: int = 2
    waited_s: float = 0.0

    @property
    def late_at(self) -> float:
        return self.arrived + 2.0 * TURNS[self.urgency] * (RUN_S + PAUSE_S)


@dataclass(slots=True)
class Entry:
    """One entry: its queue, level and organisations, and the news that it last got."""

    queue: ServiceQueue
    level: AdmissionLevel
    parts: FairParts = field(default_factory=FairParts)
    waiting: Counter = field(default_factory=Counter)
    running: Counter = field(default_factory=Counter)
    ended: list = field(default_factory=list)
    news: list = field(default_factory=list)
    is_cut_off: bool = False
    gone: bool = False


class Crowd:
    """Entries, servers and programs; `run` plays a load given as programs by second."""

    def __init__(self, slots: int = 40, entries: int = 4, seed: int = 7) -> None:
        self.rng = random.Random(seed)
        self.slots = slots
        self.entries = [
            Entry(ServiceQueue(self.rng), AdmissionLevel(self.rng)) for _ in range(entries)
        ]
        self.now = 0.0
        self.events = defaultdict(list)
        self.by_call = {}
        self.offered, self.in_time, self.refused = Counter(), Counter(), Counter()
        self.wait_s, self.turns = Counter(), Counter()
        self.levels = []

    def run(self, seconds: float, rate_by_kind) -> None:
        """Play; `rate_by_kind(now)` gives programs a second by (organisation, urgency)."""
        ticks = round(seconds / TICK_S)
        for _ in range(ticks):
            self.now += TICK_S
            tick = round(self.now / TICK_S)
            for action, *args in self.events.pop(tick, []):
                action(*args)
            for (org, urgency), per_s in rate_by_kind(self.now).items():
                for _ in range(self._poisson(per_s * TICK_S)):
                    self._arrive(org, urgency)
            if tick % round(NEWS_S / TICK_S) == 0:
                self._tell()
            for entry in self.rng.sample(self.entries, len(self.entries)):
                self._step(entry)
            self._dispatch()
            self.levels.append(max(one.level.level for one in self.entries))

    def end(self) -> None:
        """Play until all programs have ended, without further ones."""
        self.run(15.0, lambda _now: {})

    def mean_wait_s(self, org: str) -> float:
        """Return the mean wait of an organisation's turns for a slot."""
        return self.wait_s[org] / max(1, self.turns[org])

    def _poisson(self, mean: float) -> int:
        count, left = 0, self.rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    def _arrive(self, org: str, urgency: int) -> None:
        self.offered[org, urgency] += 1
        name = f"{org}-{urgency}-{sum(self.offered.values())}"
        self._start(Program(name, org, urgency, self.now, TURNS[urgency]))

    def _start(self, program: Program) -> None:
        entry = self._live_entry()
        entry.parts.seen(program.org, 1.0, self.now)
        elsewhere = Counter()
        for other in entry.news:
            elsewhere.update(other["orgs"])
        calls = sum(sum(other["load"].values()) for other in entry.news)
        calls += sum((entry.waiting + entry.running).values())
        excess = entry.parts.excess(program.org, elsewhere, program.org, calls)
        refused = entry.level.refuse_start(program.urgency, excess, program.tries < 2)
        if refused is not None:
            self._refuse(program, refused.retry_s)
            return
        self._wait(entry, program)

    def _refuse(self, program: Program, retry_s: float) -> None:
        program.tries -= 1
        if not program.tries:
            self.refused[program.org, program.urgency] += 1
            return
        self._at(self.now + retry_s, self._start, program)

    def _wait(self, entry: Entry, program: Program) -> None:
        begins = program.turns_left == TURNS[program.urgency]
        rest_s = program.turns_left * (RUN_S + PAUSE_S)
        slack_s = program.late_at - self.now - rest_s
        call = QueuedCall(
            f"{program.name}/{program.turns_left}",
            program.org,
            program.name,
            1.0,
            Deadline(self.now + 4.0),
            run_s=RUN_S,
            slack_s=slack_s,
            started=not begins,
            max_wait_s=2 * TARGET_S if begins else 4.0,
        )
        prospect = Prospect.IN_TIME if slack_s >= 0.0 else Prospect.LATE
        tier = UrgentTier(program.urgency, prospect, begins)
        refusal = entry.queue.reject_early(call, tier, self.now)
        if refusal is not None:
            self._refuse(program, refusal.retry_after_ms / 1000)
            return
        self.by_call[call.call_id] = (entry, program, call)
        entry.waiting[program.urgency] += 1
        entry.parts.began(program.org)
        self._drop(entry.queue.offer(call, tier, self.now))

    def _drop(self, dropped) -> None:
        for one in dropped:
            entry, program, call = self.by_call.pop(one.call.call_id)
            entry.waiting[program.urgency] -= 1
            entry.ended.append((self.now, program.urgency, self.now - call.arrived))
            entry.parts.ended(program.org)
            self._refuse(program, one.refusal.retry_after_ms / 1000)

    def _dispatch(self) -> None:
        for entry in self.entries:
            self._drop(entry.queue.expire(self.now))
        while sum(sum(one.running.values()) for one in self.entries) < self.slots:
            waiting = [one for one in self.entries if len(one.queue)]
            if not waiting:
                return
            entry = self.rng.choice(waiting)
            call = entry.queue.take(self.now)
            entry.queue.on_slot_assigned(call)
            _, program, _ = self.by_call[call.call_id]
            wait_s = self.now - call.arrived
            entry.waiting[program.urgency] -= 1
            entry.running[program.urgency] += 1
            self.wait_s[program.org] += wait_s
            self.turns[program.org] += 1
            self._at(self.now + RUN_S * self.rng.uniform(0.7, 1.3), self._end, call)

    def _end(self, call: QueuedCall) -> None:
        entry, program, _ = self.by_call.pop(call.call_id)
        entry.ended.append((self.now, program.urgency, self.now - call.arrived))
        entry.queue.on_end(call)
        entry.running[program.urgency] -= 1
        entry.parts.ended(program.org)
        program.turns_left -= 1
        if program.turns_left:
            self._at(self.now + PAUSE_S, lambda: self._wait(self._live_entry(), program))
        elif self.now <= program.late_at:
            self.in_time[program.org, program.urgency] += 1

    def _tell(self) -> None:
        messages = [
            {
                "load": Counter(one.waiting + one.running),
                "waiting": Counter(one.waiting),
                "running": Counter(one.running),
                "ended": [item for item in one.ended if self.now - item[0] < 1.0],
                "orgs": dict(one.parts.largest()),
            }
            for one in self.entries
        ]
        for index, entry in enumerate(self.entries):
            if entry.is_cut_off:
                entry.news = []
                continue
            entry.news = [
                message
                for other, message in enumerate(messages)
                if other != index
                and not self.entries[other].is_cut_off
                and not self.entries[other].gone
            ]

    def _step(self, entry: Entry) -> None:
        if not entry.level.is_due(self.now):
            return
        entry.ended = [item for item in entry.ended if self.now - item[0] < 1.0]
        load = ServiceLoad(self.slots)
        for urgency in (URGENT, CALM):
            ended = [item for item in entry.ended if item[1] == urgency]
            for message in entry.news:
                ended += [item for item in message["ended"] if item[1] == urgency]
            load.class_by_urgency[urgency] = ClassLoad(
                0.0,
                TARGET_S,
                entry.waiting[urgency] + sum(one["waiting"][urgency] for one in entry.news),
                entry.running[urgency] + sum(one["running"][urgency] for one in entry.news),
                len(ended),
                sum(taken_s for _, _, taken_s in ended),
            )
        entry.level.step(load, [URGENT, CALM], RUN_S, self.now)
        running = sum(one.running for one in load.class_by_urgency.values())
        entry.queue.least_drain_per_s = running / RUN_S / (1 + len(entry.news))

    def _live_entry(self) -> Entry:
        return self.rng.choice([one for one in self.entries if not one.gone])

    def _at(self, when: float, action, *args) -> None:
        tick = max(round(when / TICK_S), round(self.now / TICK_S) + 1)
        self.events[tick].append((action, *args))
