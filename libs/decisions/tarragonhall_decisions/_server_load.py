"""What one entry knows of a backend server from its own calls."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_decisions._server_window import ServerWindow

# Seconds for which a server is avoided after its first failure in a row, a fraction of a heartbeat
# interval; doubled with each further failure up to `MAX_AVOID_S`, by when a crashed server has
# restarted.
AVOID_S = 0.2
MAX_AVOID_S = 3.0


@dataclass(slots=True)
class ServerLoad:
    """This entry's calls and failures at one server.

    `started_at` are the calls in flight, oldest first.
    """

    started_at: list[float] = field(default_factory=list)
    failures: int = 0
    avoid_until: float = float("-inf")
    window: ServerWindow = field(default_factory=ServerWindow)
    service: str = ""

    @property
    def running(self) -> int:
        """Return how many calls of this entry are in flight there."""
        return len(self.started_at)

    def oldest_call_s(self, now: float) -> float:
        """Return the age of the oldest call in flight, in seconds."""
        return now - self.started_at[0] if self.started_at else 0.0

    def on_answered(self) -> None:
        """Record that the server answered."""
        self.failures = 0
        self.avoid_until = float("-inf")
        self.window.answered()

    def on_failed(self, now: float) -> None:
        """Record that the server could not be reached or broke the connection."""
        self.failures += 1
        pause_s = min(MAX_AVOID_S, AVOID_S * 2 ** (self.failures - 1))
        self.avoid_until = now + pause_s
