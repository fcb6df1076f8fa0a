"""Whether a stream without its end waits, is sent again, or ends.

Load pattern: servers crash, restart, reset connections or lose their power in the middle of
streams that their callers allow to be resumed. Each broken stream costs its program a whole turn,
although another server could send the rest. Where a route allows only one server for a call, a
second one may run it only if the first is gone: a server that merely broke a connection, or is
slow, is asked again itself.

Inputs: what broke, the servers that may still run the call, what is known of the last one, and the
time left. Times are seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

# Time that a server needs to read a prompt and generate an event; with less left, the rest of a
# stream comes too late for its caller.
MIN_LEFT_S = 0.1
# Assumed objectives of routes that state none, in milliseconds.
DEFAULT_GAP_OBJECTIVE_MS = 1_000
DEFAULT_OBJECTIVE_MS = 1_000
# Multiple of the objective for the first event after which a server is checked. It is larger than
# for gaps, since calls may wait in the queue of their server before they start.
FIRST_EVENT_FACTOR = 2.0
# Multiple of the gap objective after which a server is checked. Each check opens a connection, and
# servers that are slow for a moment end most silences by then.
GAP_FACTOR = 2.0
# Multiple of the gap objective after which a stream leaves a server that is reachable. Shorter
# silences are preemptions and moments of slowness, which end sooner than a prompt is read again.
MOVE_FACTOR = 4.0
# Multiple of the usual time to the first event that a silence must exceed for such a move.
RESTART_FACTOR = 2.0
# Broken runs from which on a server is not asked again before its health is checked.
MIN_RUNS_TO_CHECK = 2


class BreakCause(enum.Enum):
    """Why a stream has no end."""

    CUT = "cut"
    INVALID = "invalid"
    SILENT = "silent"
    FAILED = "failed"


class NextStep(enum.Enum):
    """What to do with a stream that broke off.

    `SAME_SERVER` asks the last server for the rest; if it cannot be reached, it is gone.
    `CHECK_SERVER` asks whether that server is healthy: if so, the stream ends, else the server is
    gone.
    """

    MOVE = "move"
    SAME_SERVER = "same_server"
    CHECK_SERVER = "check_server"
    END = "end"


@dataclass(slots=True, frozen=True)
class BrokenStream:
    """A stream without its end.

    It broke off in each of `runs` runs. `servers` may have run it and may still exist; the last one
    is among them unless `server_gone`.
    `resumable` says whether it is known at which event the rest begins. `suspect` says that the
    request seems to crash its servers.
    """

    runs: int
    servers: int
    max_servers: int
    server_gone: bool
    resumable: bool
    suspect: bool
    left_s: float


@dataclass(slots=True, frozen=True)
class SilenceLimits:
    """Silence after which the server is checked, and after which the stream leaves it anyway.

    `move_after_s` is None where it must stay at a server that can be reached.
    """

    check_after_s: float
    move_after_s: float | None = None


def after_break(stream: BrokenStream) -> NextStep:
    """Return how a stream goes on that broke off."""
    if not stream.resumable or stream.suspect or stream.left_s < MIN_LEFT_S:
        return NextStep.END
    if stream.server_gone or stream.servers < stream.max_servers:
        return NextStep.MOVE
    if stream.runs < MIN_RUNS_TO_CHECK:
        return NextStep.SAME_SERVER
    return NextStep.CHECK_SERVER


def first_event_silence(objective_ms: int) -> SilenceLimits:
    """Return the limits before the first event: a queued call is moved only from a lost server."""
    return SilenceLimits(FIRST_EVENT_FACTOR * (objective_ms or DEFAULT_OBJECTIVE_MS) / 1000)


def gap_silence(gap_objective_ms: int, may_move: bool, restart_s: float) -> SilenceLimits:
    """Return the limits between events; `restart_s` is the usual time to a first event."""
    gap_s = (gap_objective_ms or DEFAULT_GAP_OBJECTIVE_MS) / 1000
    check_after_s = GAP_FACTOR * gap_s
    if not may_move:
        return SilenceLimits(check_after_s)
    return SilenceLimits(check_after_s, max(MOVE_FACTOR * gap_s, RESTART_FACTOR * restart_s))
