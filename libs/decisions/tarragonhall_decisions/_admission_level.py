"""Which programs may start at a service whose callers ask for more than its servers run.

Load patterns:
- A crowd of the least urgent kind starts more programs than the servers can run. Each of them goes
  on for many turns, so a crowd that is let in fills the servers long after it is gone. Starts are
  therefore refused from the least urgent class upwards, before they have cost anything.
- The most urgent kind comes right after the crowd. As many slots as it has needed lately at once
  stay free of less urgent starts.
- One organisation asks for many times its usual. Beyond `EXCESS` times its fair part, its starts
  are refused before those of all others.

The level is one number for a service. It follows what the calls that were admitted take: it is the
higher, the more those of a class exceed what their callers can bear, or their longest wait for a
slot, and 0 while none does. Waits for slots alone would not do, as engines that are short of time
accept calls and stretch their answers.

All entries know the same sums, at most 1.5 s old, so that their levels are close to each other
without a leader; an entry without news goes on from its last level by its own calls. Steps are
gradual, so that a step of load settles within two seconds and the level does not swing. Programs
that have started are never refused here.

From level 0 to `EXCESS_WIDTH`, organisations beyond their fair part are refused by chance, from
none of their starts to all. Each further step of 1 does the same to one more class, in the reverse
of `admission_order`; of the classes of the most urgent kind only excess is refused.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from tarragonhall_decisions._urgency import admission_order, kind_of

# Largest rates of the level as parts of its range a second: it reaches its top within about a
# second, and its bottom again within about two.
RISE_PER_S = 0.9
FALL_PER_S = 0.45
# Multiple of their target at which the level goes to its top: just before calls take twice their
# usual time, which makes most programs late. Programs that were let in go on for seconds, so that a
# level which rose for as long as calls take too long would go far beyond what is needed.
FULL_PRESSURE = 1.25
# Weights for each step by which the usual time of a class's calls follows lower and higher means: a
# crowd of some ten seconds must not become the usual.
USUAL_FALL = 0.01
USUAL_RISE = 0.001
# Steps with enough ended calls before the usual is learnt: right after a start, only short calls
# have ended.
UNSETTLED_STEPS = 10
# Multiple of their usual time that calls may take on average. Callers usually give a program twice
# its time on idle servers, a part of which are pauses that do not become longer.
BEARABLE_STRETCH = 1.5
# Calls of a class in the last second from which their mean is used: that of a few says little.
MIN_ENDED = 10
EXCESS_WIDTH = 0.3
# Seconds between two steps; more would not help, as the news of the others come every 0.4 s.
STEP_S = 0.1
# Longest time that one step makes up for, so that an entry that was frozen does not jump.
MAX_STEP_S = 0.5
# Multiple of its fair part beyond which an organisation is in excess: below it, an organisation's
# part varies by chance.
EXCESS = 2.0
# Calls of a service below which no organisation is in excess.
MIN_CALLS = 10
# Half-life in seconds of the recent peak of the most urgent calls: the length of a few programs, so
# that a burst that comes again soon finds its slots free.
PEAK_HALF_LIFE_S = 10.0
# Largest part of the slots that is kept free for urgent calls.
MAX_RESERVE = 0.5
# Retry times are spread over this multiple of the expected time, so that callers refused together
# do not return together.
RETRY_SPREAD = 1.0
# Least retry time in seconds: news of the others take as long.
MIN_RETRY_S = 0.3
# Avoids a division by zero for a class whose callers give no time.
MIN_TARGET_S = 1e-3


@dataclass(slots=True)
class ClassLoad:
    """The calls of one urgency at a service, over all entries that are heard.

    `ended` calls ended within the last second, and took `taken_s` seconds in total. `target_s` is
    the mean that their callers can bear, 0 if it is not known, and `max_wait_s` the mean wait for a
    slot.
    """

    target_s: float
    max_wait_s: float
    waiting: int = 0
    running: int = 0
    ended: int = 0
    taken_s: float = 0.0

    def expected_s(self) -> float:
        """Return how long calls are expected to take, if some have ended.

        What ended calls took tells of the load a turn ago; calls that run over calls that end in a
        second tell of what comes, and too much of it at the start of a crowd. This is their mean.
        """
        return (self.taken_s + self.running) / (2 * self.ended)


@dataclass(slots=True)
class ServiceLoad:
    """The calls of a service by urgency, and the slots of its servers; 0 slots if not known."""

    slots: int
    class_by_urgency: dict[int, ClassLoad] = field(default_factory=dict)

    def calls(self) -> int:
        """Return how many calls wait or run."""
        return sum(one.waiting + one.running for one in self.class_by_urgency.values())


@dataclass(slots=True, frozen=True)
class StartRefused:
    """A start that was refused; `reason` is `excess`, `level` or `reserve`."""

    reason: str
    retry_s: float


class AdmissionLevel:
    """The level of one service at one entry; times are monotonic seconds."""

    __slots__ = (
        "_drain_per_s",
        "_load",
        "_order",
        "_peak",
        "_peak_at",
        "_rng",
        "_stepped_at",
        "_steps_by_urgency",
        "_usual_s_by_urgency",
        "level",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._load = ServiceLoad(0)
        self._order: list[int] = []
        self._stepped_at: float | None = None
        self._drain_per_s = 0.0
        self._peak = 0.0
        self._peak_at = 0.0
        self._steps_by_urgency: Counter[int] = Counter()
        self._usual_s_by_urgency: dict[int, float] = {}
        self.level = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether it is time for a `step`."""
        return self._stepped_at is None or now - self._stepped_at >= STEP_S

    def step(self, load: ServiceLoad, urgencies: list[int], run_s: float, now: float) -> None:
        """Move the level by the calls of all entries.

        `urgencies` are the classes of the service, and `run_s` is how long a call holds a slot.
        """
        elapsed_s = min(MAX_STEP_S, now - self._stepped_at) if self._stepped_at is not None else 0.0
        self._stepped_at = now
        self._load = load
        self._order = admission_order(urgencies)
        running = sum(one.running for one in load.class_by_urgency.values())
        self._drain_per_s = running / run_s if run_s > 0.0 else 0.0
        self._update_peak(now)
        self._update_usual()
        highest = self._highest()
        wanted = highest * (self._pressure() - 1.0) / (FULL_PRESSURE - 1.0)
        rise, fall = RISE_PER_S * highest * elapsed_s, FALL_PER_S * highest * elapsed_s
        self.level = min(self.level + rise, max(self.level - fall, wanted))
        self.level = min(highest, max(0.0, self.level))

    def refuse_start(self, urgency: int, excess: float, waited: bool) -> StartRefused | None:
        """Return why a program must not start now, or None if it may.

        `excess` is the organisation's multiple of its fair part. `waited` says that the program was
        refused before; it then goes before those that come for the first time.
        """
        if excess > EXCESS and self._is_hit(self.level / EXCESS_WIDTH, waited):
            return StartRefused("excess", self._retry_s(urgency, self.level))
        above = self.level - EXCESS_WIDTH - self._rung(urgency)
        if urgency not in self._refusable():
            return None
        if self._is_hit(above, waited):
            return StartRefused("level", self._retry_s(urgency, above))
        if self._lacks_reserve():
            return StartRefused("reserve", self._retry_s(urgency, 0.0))
        return None

    def refused_urgency(self) -> int | None:
        """Return the class refused last of those of which starts are refused; None if none is."""
        hit = [one for one in self._refusable() if self.level > EXCESS_WIDTH + self._rung(one)]
        return hit[0] if hit else None

    def reserve(self) -> int:
        """Return how many slots stay free for the most urgent kind beyond those that it uses."""
        peak = min(round(self._peak), int(MAX_RESERVE * self._load.slots))
        return max(0, peak - self._used_by_most_urgent())

    def target_s(self, urgency: int) -> float:
        """Return how long the calls of a class may take on average; infinite if not known."""
        one = self._load.class_by_urgency.get(urgency)
        usual_s = self._usual_s_by_urgency.get(urgency)
        if one is None or usual_s is None:
            return float("inf")
        return max(one.target_s, BEARABLE_STRETCH * usual_s, MIN_TARGET_S)

    def _highest(self) -> float:
        return EXCESS_WIDTH + len(self._refusable())

    def _refusable(self) -> list[int]:
        """Return the classes whose starts may be refused, the first of them last.

        These are the less urgent kinds, or the less urgent organisations where all kinds are alike.
        """
        if not self._order:
            return []
        first = self._order[0]
        others = [one for one in self._order if kind_of(one) != kind_of(first)]
        return others or self._order[1:]

    def _update_usual(self) -> None:
        for urgency, one in self._load.class_by_urgency.items():
            if one.ended < MIN_ENDED:
                continue
            self._steps_by_urgency[urgency] += 1
            if self._steps_by_urgency[urgency] <= UNSETTLED_STEPS:
                continue
            mean_s = one.taken_s / one.ended
            usual_s = self._usual_s_by_urgency.setdefault(urgency, mean_s)
            weight = USUAL_FALL if mean_s < usual_s else USUAL_RISE
            self._usual_s_by_urgency[urgency] += weight * (mean_s - usual_s)

    def _pressure(self) -> float:
        """Return the largest ratio of what the calls of a class take to what they may take."""
        pressure = 0.0
        ahead = 0
        for urgency, one in sorted(self._load.class_by_urgency.items()):
            ahead += one.waiting
            if one.ended >= MIN_ENDED:
                pressure = max(pressure, one.expected_s() / self.target_s(urgency))
            if one.waiting and self._drain_per_s > 0.0:
                wait_s = ahead / self._drain_per_s
                pressure = max(pressure, wait_s / max(one.max_wait_s, MIN_TARGET_S))
        return pressure

    def _update_peak(self, now: float) -> None:
        decayed = self._peak * 0.5 ** ((now - self._peak_at) / PEAK_HALF_LIFE_S)
        self._peak = max(decayed, float(self._used_by_most_urgent()))
        self._peak_at = now

    def _used_by_most_urgent(self) -> int:
        return sum(
            one.running + one.waiting
            for urgency, one in self._load.class_by_urgency.items()
            if self._order and kind_of(urgency) == kind_of(self._order[0])
        )

    def _lacks_reserve(self) -> bool:
        if not self._load.slots:
            return False
        return self._load.calls() + self.reserve() >= self._load.slots

    def _rung(self, urgency: int) -> int:
        """Return how many classes are refused before this one."""
        return len(self._order) - 1 - self._order.index(urgency) if urgency in self._order else 0

    def _is_hit(self, share: float, waited: bool) -> bool:
        if share <= 0.0:
            return False
        if waited and share < 1.0:
            share *= share
        return self._rng.random() < share

    def _retry_s(self, urgency: int, above: float) -> float:
        """Return when there should be room: the level has fallen, and those ahead have ended."""
        ahead = sum(
            one.waiting for other, one in self._load.class_by_urgency.items() if other <= urgency
        )
        wait_s = ahead / self._drain_per_s if self._drain_per_s > 0.0 else 0.0
        wait_s += min(1.0, max(0.0, above)) / (FALL_PER_S * self._highest())
        return max(MIN_RETRY_S, wait_s) * self._rng.uniform(1.0, 1.0 + RETRY_SPREAD)
