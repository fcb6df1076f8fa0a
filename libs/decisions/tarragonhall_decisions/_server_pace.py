"""Learns the pace of each server of services whose servers differ in speed.

Load patterns:
- Engines differ in speed, some nearly threefold. With equal shares the slow ones build queues while
  the fast ones idle.
- A server turns five times slower and recovers later. It must lose its calls within a second and
  get them back.
- A server is 2.5 times slower for a moment. If all entries avoided it, the others would be crowded
  for nothing.

The pace is 1.0 at the mean speed of the service. Each sample is a ratio: what a call took at the
server to what it takes on average, by the tokens that were read and the calls that ran there. The
mean is learnt from times that are multiplied by the pace of their server, so that entries which use
different servers agree on it.

Entries tell each other the number of their samples by server and the sum of the ratios. The sums
fade: after `RARE_HALF_LIFE_S` where samples are few, earlier where there are many, so that the pace
follows a change within about 20 calls. Without news of the others the own samples count.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonhall_model import LoadDetail

from tarragonhall_decisions._linear_time import LinearTime
from tarragonhall_decisions._prompt_holders import PREFILL_TOKENS_PER_MS

# Half-lives in seconds of samples of servers with at least `MANY_SAMPLES` over all entries, and of
# those with fewer.
HALF_LIFE_S = 1.2
RARE_HALF_LIFE_S = 8.0
MANY_SAMPLES = 12.0
# Samples at the mean pace that each server starts with, so that one slow call proves little.
PRIOR_SAMPLES = 3.0
# Bounds of one ratio; a moment at 2.5 times the usual weighs little, five times the usual fully.
MIN_RATIO = 0.25
MAX_RATIO = 5.0
# Servers that one load message tells about, those with the most samples first.
MAX_TOLD = 128
# Fraction of a sample below which a server is forgotten.
MIN_SAMPLES = 0.1
# Change of the pace, as a ratio, that operators are told.
REPORTED_CHANGE = 1.25
# Least seconds between two reports on one server, longer than a moment in which it is slow.
REPORT_INTERVAL_S = 5.0
# Starting values: time to the first event by 1,000 unread tokens and by call that runs there, and
# time between events. They are as of a slow engine.
FIRST_BASE_MS, FIRST_MS_PER_KTOKEN, FIRST_MS_PER_CALL = 15.0, 1000 / PREFILL_TOKENS_PER_MS, 4.0
GAP_BASE_MS, GAP_MS_PER_CALL = 25.0, 1.0
# Weight of a new run time of a plain call in the mean of its kind, which starts as a plain mean.
RUN_SMOOTHING = 0.05
# Plain calls after which the mean of their kind is reliable.
MIN_RUNS = 10


@dataclass(slots=True)
class _Samples:
    """Faded samples of one server: their number and the sum of their ratios."""

    at: float
    count: float = 0.0
    ratios: float = 0.0
    reported_pace: float = 1.0
    reported_at: float = float("-inf")

    def fade(self, half_life_s: float, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / half_life_s)
        self.count *= factor
        self.ratios *= factor
        self.at = now


@dataclass(slots=True)
class _MeanRun:
    value: float = 0.0
    count: int = 0


class _ServiceTimes:
    """Mean times of one service at a pace of 1.0."""

    __slots__ = ("first_event", "gap", "run_by_kind")

    def __init__(self) -> None:
        self.first_event = LinearTime(FIRST_BASE_MS, FIRST_MS_PER_KTOKEN, FIRST_MS_PER_CALL)
        self.gap = LinearTime(GAP_BASE_MS, 0.0, GAP_MS_PER_CALL)
        self.run_by_kind: dict[str, _MeanRun] = {}


class ServerPaces:
    """The pace of servers as one entry knows it; durations in milliseconds, instants in seconds.

    `services` are those whose servers differ in speed; for others, nothing is learnt.
    """

    __slots__ = ("_others", "_own_by_server", "_pace_by_server", "_times_by_service", "services")

    def __init__(self) -> None:
        self.services: frozenset[str] = frozenset()
        self._times_by_service: dict[str, _ServiceTimes] = {}
        self._own_by_server: dict[str, _Samples] = {}
        self._others = LoadDetail()
        # Results of `pace`, which a choice needs several times for each server.
        self._pace_by_server: dict[str, float] = {}

    def set_services(self, services: Iterable[str]) -> None:
        """Replace the services whose servers differ in speed."""
        self.services = frozenset(services)
        self._times_by_service = {
            one: self._times_by_service.get(one) or _ServiceTimes() for one in self.services
        }
        if not self.services:
            self._own_by_server.clear()
            self._pace_by_server.clear()

    def set_others(self, detail: LoadDetail) -> None:
        """Replace the sums of the other entries' samples."""
        self._others = detail
        self._pace_by_server.clear()

    def forget(self, known: set[str]) -> None:
        """Forget the servers that are no longer known."""
        for server_id in self._own_by_server.keys() - known:
            del self._own_by_server[server_id]
        self._pace_by_server.clear()

    def pace(self, server_id: str) -> float:
        """Return the pace of a server, 1.0 where nothing is known."""
        pace = self._pace_by_server.get(server_id)
        if pace is None:
            count, ratios = self._sums(server_id)
            pace = (PRIOR_SAMPLES + count) / (PRIOR_SAMPLES + ratios)
            self._pace_by_server[server_id] = pace
        return pace

    def on_first_event(
        self,
        service: str,
        server_id: str,
        unread_tokens: int,
        running: int,
        taken_ms: float,
        now: float,
    ) -> None:
        """Record the time from sending a call to its first event."""
        times = self._times_by_service.get(service)
        if times is not None:
            units = unread_tokens / 1000
            self._learn(times.first_event, server_id, units, running, taken_ms, now)

    def on_gap(
        self, service: str, server_id: str, running: int, taken_ms: float, now: float
    ) -> None:
        """Record the mean time between the events of a stream."""
        times = self._times_by_service.get(service)
        if times is not None:
            self._learn(times.gap, server_id, 0.0, running, taken_ms, now)

    def on_plain_call(
        self, service: str, server_id: str, kind: str, taken_ms: float, now: float
    ) -> None:
        """Record the run time of a plain call; calls of one `kind` take about the same time."""
        times = self._times_by_service.get(service)
        if times is None:
            return
        mean = times.run_by_kind.setdefault(kind, _MeanRun())
        if mean.count >= MIN_RUNS and mean.value > 0:
            self._add(server_id, taken_ms / mean.value, now)
        mean.count += 1
        weight = max(RUN_SMOOTHING, 1 / mean.count)
        mean.value += weight * (taken_ms * self.pace(server_id) - mean.value)

    def report_load(self, detail: LoadDetail, now: float) -> None:
        """Add this entry's sums to what it tells the others."""
        for server_id, samples in list(self._own_by_server.items()):
            samples.fade(self._half_life_s(server_id), now)
            if samples.count < MIN_SAMPLES:
                del self._own_by_server[server_id]
        self._pace_by_server.clear()
        told = self._own_by_server.items()
        if len(told) > MAX_TOLD:
            told = sorted(told, key=lambda item: -item[1].count)[:MAX_TOLD]
        for server_id, samples in told:
            if samples.count >= MIN_SAMPLES:
                detail.pace_weight_by_server[server_id] = round(samples.ratios, 2)
                detail.pace_sum_by_server[server_id] = round(samples.count, 2)

    def changes(self, now: float) -> list[tuple[str, float, float]]:
        """Return the servers whose pace has changed by a quarter, with the paces before and now."""
        changed = []
        for server_id, samples in self._own_by_server.items():
            before, pace = samples.reported_pace, self.pace(server_id)
            if max(before, pace) < REPORTED_CHANGE * min(before, pace):
                continue
            if now - samples.reported_at < REPORT_INTERVAL_S:
                continue
            samples.reported_pace, samples.reported_at = pace, now
            changed.append((server_id, before, pace))
        return changed

    def _learn(
        self,
        time: LinearTime,
        server_id: str,
        units: float,
        running: int,
        taken_ms: float,
        now: float,
    ) -> None:
        self._add(server_id, taken_ms / max(1.0, time.at(units, running)), now)
        time.add(units, running, taken_ms * self.pace(server_id))

    def _add(self, server_id: str, ratio: float, now: float) -> None:
        samples = self._own_by_server.get(server_id)
        if samples is None:
            samples = self._own_by_server[server_id] = _Samples(now)
        samples.fade(self._half_life_s(server_id), now)
        samples.count += 1.0
        samples.ratios += min(MAX_RATIO, max(MIN_RATIO, ratio))
        self._pace_by_server.pop(server_id, None)

    def _sums(self, server_id: str) -> tuple[float, float]:
        count = self._others.pace_sum_by_server.get(server_id, 0.0)
        ratios = self._others.pace_weight_by_server.get(server_id, 0.0)
        if ratios <= 0.0 or count <= 0.0:
            # A difference of sums of different age may say only one of the two.
            count = ratios = 0.0
        own = self._own_by_server.get(server_id)
        if own is not None:
            count, ratios = count + own.count, ratios + own.ratios
        return count, ratios

    def _half_life_s(self, server_id: str) -> float:
        is_many = self._sums(server_id)[0] >= MANY_SAMPLES
        return HALF_LIFE_S if is_many else RARE_HALF_LIFE_S
