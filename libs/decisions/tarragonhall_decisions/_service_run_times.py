"""Learns how long calls of one service run and which of its servers are slow.

Load patterns:
- One server of ten becomes five times slower, and its heartbeats go on as before. By its count of
  running calls alone it looks busy only once calls have piled up there; each of them is late, and a
  late tool call makes its whole program late.
- A server accepts calls and answers none, because its machine has lost power or its program hangs.
  No connection breaks for seconds, and every call sent there until then is lost.
- A server runs a look-up and its answer is lost. The caller waits for its timeout, and its program
  fails; another server would have answered within the usual time.
- Deployments differ: a call runs for 40 ms here and for 700 ms there, so what a waiting call or one
  more running call costs cannot be a constant.

What is learnt: the run time of a service as a moving mean, and for each plain server the moving
mean of the ratio of its calls' run times to the mean of their kind (in the relay, their route). A
call in flight for several run times counts before it ends.
"""

from __future__ import annotations

from dataclasses import dataclass

# Assumed run time, a turn of a model, until the first calls have ended.
INITIAL_RUN_MS = 500.0
# Weight of a new run time in the moving mean, which follows a change within about 20 calls.
RUN_SMOOTHING = 0.05
# Weight of a new ratio of a server's run time to the mean. Run times vary by as much as their mean;
# with this weight the error of the learnt ratio is about a third.
RATIO_SMOOTHING = 0.2
# Ratio up to which a server does not count as slow, above the error: a server that counted as slow
# by chance would lose its calls to others that are no better.
TOLERATED_RATIO = 2.0
# Half-life of a learnt ratio in seconds, about a heartbeat interval: a slow server still gets a
# call now and then, and counts as recovered once two are fast.
RATIO_HALF_LIFE_S = 2.0
# Mean run times after which a call in flight counts against its server; nearly all calls that are
# merely long stay below.
OVERDUE_RUNS = 4.0
# Mean run times after which an idempotent call is sent to another server, longer than look-ups take
# at a healthy server. The minimum covers a server's queue where calls are very short.
ANSWER_TIMEOUT_RUNS = 5.0
MIN_ANSWER_TIMEOUT_MS = 100.0
# Calls after which a mean run time is reliable.
MIN_SAMPLES = 20
# One sample must not outweigh all earlier ones.
MAX_RATIO = 10.0


@dataclass(slots=True)
class _Mean:
    """A moving mean that is the plain mean of its first values."""

    smoothing: float
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        self.value += max(self.smoothing, 1.0 / self.count) * (value - self.value)


@dataclass(slots=True)
class _Ratio:
    value: float
    at: float


class ServiceRunTimes:
    """Run times of one service at its servers; durations in milliseconds, instants in seconds."""

    __slots__ = ("_mean_by_kind", "_ratio_by_server", "_run")

    def __init__(self) -> None:
        self._run = _Mean(RUN_SMOOTHING)
        self._mean_by_kind: dict[str, _Mean] = {}
        self._ratio_by_server: dict[str, _Ratio] = {}

    @property
    def run_ms(self) -> float:
        """Return the mean time for which a call holds its slot at a server."""
        return self._run.value if self._run.count else INITIAL_RUN_MS

    def call_ended(self, server_id: str, kind: str, run_ms: float, now: float) -> None:
        """Record how long a plain call ran; calls of one `kind` take about the same time."""
        self._run.add(run_ms)
        self._update_ratio(server_id, kind, run_ms, now)

    def stream_ended(self, run_ms: float) -> None:
        """Record how long a stream ran, which depends on the request more than on the server."""
        self._run.add(run_ms)

    def answer_timeout_s(self, kind: str, left_s: float) -> float | None:
        """Return the seconds after which an unanswered idempotent call goes to another server.

        None where it should wait: the mean run time is not known, or too little would be left of
        the call's time (`left_s`) for another run.
        """
        mean = self._mean_by_kind.get(kind)
        if mean is None or mean.count < MIN_SAMPLES:
            return None
        answer_timeout_s = max(MIN_ANSWER_TIMEOUT_MS, ANSWER_TIMEOUT_RUNS * mean.value) / 1000
        needed_s = ANSWER_TIMEOUT_RUNS / 2 * mean.value / 1000
        return answer_timeout_s if answer_timeout_s + needed_s <= left_s else None

    def mean_run_s(self, kind: str) -> float | None:
        """Return the mean run time of one kind of plain calls; None after too few calls."""
        mean = self._mean_by_kind.get(kind)
        if mean is None or mean.count < MIN_SAMPLES:
            return None
        return mean.value / 1000

    def slowness(self, server_id: str, oldest_s: float, now: float) -> float:
        """Return how many times longer than the mean a call takes, 1 within the usual spread.

        `oldest_s` is the age of the oldest call in flight there.
        """
        learnt = 1.0
        ratio = self._ratio_by_server.get(server_id)
        if ratio is not None:
            learnt = self._decayed(ratio, now)
        overdue = oldest_s * 1000 / (OVERDUE_RUNS * self.run_ms)
        return max(1.0, max(learnt, overdue) / TOLERATED_RATIO)

    def forget(self, known: set[str]) -> None:
        """Forget the servers that are no longer known."""
        for server_id in self._ratio_by_server.keys() - known:
            del self._ratio_by_server[server_id]

    def _update_ratio(self, server_id: str, kind: str, run_ms: float, now: float) -> None:
        mean = self._mean_by_kind.setdefault(kind, _Mean(RUN_SMOOTHING))
        mean.add(run_ms)
        if mean.value <= 0.0:
            return
        new = min(MAX_RATIO, run_ms / mean.value)
        earlier = self._ratio_by_server.get(server_id)
        before = self._decayed(earlier, now) if earlier is not None else 1.0
        self._ratio_by_server[server_id] = _Ratio(before + RATIO_SMOOTHING * (new - before), now)

    def _decayed(self, ratio: _Ratio, now: float) -> float:
        return 1.0 + (ratio.value - 1.0) * 0.5 ** ((now - ratio.at) / RATIO_HALF_LIFE_S)
