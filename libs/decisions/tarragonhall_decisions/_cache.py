"""KV cache: what an engine should release, and when a program's cache is moved.

Load pattern: programs pause for tools and their prefixes fill the engines' limited memory; ended
programs hold memory that nobody asks for again. Without a choice the engine drops what it used
least lately, which after a burst is the long history that is dearest to recompute.

Ended programs are released first, always. Under pressure the program with the lowest cost of
recomputing for each second until it is likely to come back goes next. A program's cache is moved to
another server when recomputing there would take longer than the transfer, by `MOVE_GAIN`.
"""

from __future__ import annotations

from dataclasses import dataclass

# Share of an engine's memory in use from which on programs are released.
PRESSURE = 0.9
# Share of memory in use at which releasing stops.
RELIEF = 0.8
# How many times cheaper than reading again a transfer must be.
MOVE_GAIN = 2.0
# Shortest tool pause, in seconds, that is assumed.
MIN_PAUSE_S = 0.1


@dataclass(slots=True, frozen=True)
class HeldPrefix:
    """A program's tokens in an engine's memory; `idle_s` since its last call, None if running."""

    program_id: str
    tokens: int
    idle_s: float | None
    living: bool = True


def to_release(held: list[HeldPrefix], capacity_tokens: int) -> list[str]:
    """Return the programs whose memory should be freed now, first those that have ended."""
    released = [item.program_id for item in held if not item.living and item.idle_s is not None]
    used = sum(item.tokens for item in held if item.living or item.idle_s is None)
    if used <= capacity_tokens * PRESSURE:
        return released
    pausing = [item for item in held if item.living and item.idle_s is not None]
    for item in sorted(pausing, key=_keep_value):
        if used <= capacity_tokens * RELIEF:
            break
        released.append(item.program_id)
        used -= item.tokens
    return released


def should_move(
    tokens: int, prefill_s_per_token: float, bytes_per_token: int, bytes_per_s: float
) -> bool:
    """Return whether moving a program's cache beats recomputing it on the other server."""
    recompute_s = tokens * prefill_s_per_token
    transfer_s = tokens * bytes_per_token / bytes_per_s
    return recompute_s > MOVE_GAIN * transfer_s


def _keep_value(item: HeldPrefix) -> float:
    return item.tokens / max(MIN_PAUSE_S, item.idle_s or 0.0)
