"""How long calls of one service run, and which of its servers are slower than the others.

Load patterns and what happens without an answer to them:
- One server of ten turns five times slower, and its heartbeats go on as before. By its count of
  running calls alone it looks busy only once calls have piled up there; each of them is late, and a
  late call of a tool makes its whole program late.
- A server takes calls and answers none, because its machine has lost power or its program hangs.
  Nothing breaks off for seconds, and until then every call that is sent there is lost.
- A server runs a look-up and its answer is lost without a word. The caller waits until its time is
  over, and its program fails; another server would have answered within the usual time.
- Deployments differ: a call runs for 40 ms here and for 700 ms there, so what a waiting call or one
  more running call costs cannot be a figure that is written down.

What is learnt: the run time of a service as a moving mean, and for each plain server the moving
mean of the run times of its calls over the means of their routes. A call that is under way for
several run times counts before it ends.
"""

from __future__ import annotations

from dataclasses import dataclass

# Run time of a call until the first ones have ended.
PRIOR_RUN_MS = 500.0
# Weight of a new run time in the moving mean.
SMOOTH_RUN = 0.05
# Weight of a new ratio of a server's run times to the usual.
SMOOTH_RATIO = 0.2
# Ratio up to which a server does not count as slow.
TOLERATED = 2.0
# Seconds in which half of a learnt ratio is forgotten.
FORGET_S = 2.0
# Usual run times after which a call under way counts against its server.
OVERDUE = 4.0
# Run times after which a call that may run twice is sent to another server.
PATIENCE = 5.0
LEAST_PATIENCE_MS = 100.0
# Calls from which on a mean run time is relied on.
LEAST_SAMPLES = 20
# One measure must not outweigh all that was seen before.
MOST_RATIO = 10.0


@dataclass(slots=True)
class _Mean:
    """A moving mean that takes its first values in full."""

    smooth: float
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        self.value += max(self.smooth, 1.0 / self.count) * (value - self.value)


@dataclass(slots=True)
class _Ratio:
    value: float
    at: float


class ServicePace:
    """What calls of one service take at its servers. Times are milliseconds, instants seconds."""

    __slots__ = ("_mean_by_kind", "_ratio_by_server", "_run")

    def __init__(self) -> None:
        self._run = _Mean(SMOOTH_RUN)
        self._mean_by_kind: dict[str, _Mean] = {}
        self._ratio_by_server: dict[str, _Ratio] = {}

    @property
    def run_ms(self) -> float:
        """Return for how long a call keeps its place at a server."""
        return self._run.value if self._run.count else PRIOR_RUN_MS

    def call_ended(self, server_id: str, kind: str, run_ms: float, now: float) -> None:
        """Note how long a plain call ran; calls of one `kind` take about the same time."""
        self._run.add(run_ms)
        self._compare(server_id, kind, run_ms, now)

    def stream_ended(self, run_ms: float) -> None:
        """Note how long a stream ran; how long depends on what was asked for more than on whom."""
        self._run.add(run_ms)

    def patience_s(self, kind: str, left_s: float) -> float | None:
        """Return after which silence a call that may run twice is to be sent to another server.

        None where it is to wait: the usual run time is not known, or too little would be left of
        the call's time (`left_s`) for another run.
        """
        mean = self._mean_by_kind.get(kind)
        if mean is None or mean.count < LEAST_SAMPLES:
            return None
        patience_s = max(LEAST_PATIENCE_MS, PATIENCE * mean.value) / 1000
        needed_s = PATIENCE / 2 * mean.value / 1000
        return patience_s if patience_s + needed_s <= left_s else None

    def run_of_s(self, kind: str) -> float | None:
        """Return for how long plain calls of one kind run; None where too few were seen."""
        mean = self._mean_by_kind.get(kind)
        if mean is None or mean.count < LEAST_SAMPLES:
            return None
        return mean.value / 1000

    def slowness(self, server_id: str, oldest_s: float, now: float) -> float:
        """Return how many times longer than usual a call takes, 1 within the usual spread.

        `oldest_s` is for how long the oldest call there has been under way.
        """
        seen = 1.0
        ratio = self._ratio_by_server.get(server_id)
        if ratio is not None:
            seen = self._now(ratio, now)
        overdue = oldest_s * 1000 / (OVERDUE * self.run_ms)
        return max(1.0, max(seen, overdue) / TOLERATED)

    def forget(self, known: set[str]) -> None:
        """Forget the servers that are not known any more."""
        for server_id in self._ratio_by_server.keys() - known:
            del self._ratio_by_server[server_id]

    def _compare(self, server_id: str, kind: str, run_ms: float, now: float) -> None:
        mean = self._mean_by_kind.setdefault(kind, _Mean(SMOOTH_RUN))
        mean.add(run_ms)
        if mean.value <= 0.0:
            return
        new = min(MOST_RATIO, run_ms / mean.value)
        earlier = self._ratio_by_server.get(server_id)
        before = self._now(earlier, now) if earlier is not None else 1.0
        self._ratio_by_server[server_id] = _Ratio(before + SMOOTH_RATIO * (new - before), now)

    def _now(self, ratio: _Ratio, now: float) -> float:
        return 1.0 + (ratio.value - 1.0) * 0.5 ** ((now - ratio.at) / FORGET_S)
