"""KV cache: what an engine should release, and when a program's cache is moved.

Load pattern: programs pause for tools, and their prefixes fill the engines' limited memory; ended
programs hold memory that is never used again. Left to itself an engine evicts the least recently
used prefix, which after a burst is the long history that costs most to recompute.

Ended programs are always released first. Under memory pressure the program with the lowest cost of
recomputing per second until its expected return goes next; a tool pause is expected to last as long
again as it has lasted. A program's cache is moved to another server when recomputing there would
take `MOVE_GAIN` times as long as the transfer.
"""

from __future__ import annotations

from dataclasses import dataclass

# Share of an engine's memory in use above which programs are released, so that no call waits for
# memory.
HIGH_WATERMARK = 0.9
# Share of memory in use at which releasing stops, a few programs lower, so that not every call
# starts it.
LOW_WATERMARK = 0.8
# How many times faster than recomputing a transfer must be, since it takes bandwidth from both
# servers.
MOVE_GAIN = 2.0
# Shortest assumed tool pause in seconds.
MIN_PAUSE_S = 0.1


@dataclass(slots=True, frozen=True)
class HeldPrefix:
    """A program's tokens in an engine's memory.

    `idle_s` is the time since its last call, None while one runs; an ended program is not `active`.
    """

    program_id: str
    tokens: int
    idle_s: float | None
    active: bool = True


def select_releases(held: list[HeldPrefix], capacity_tokens: int) -> list[str]:
    """Return the programs whose memory should be freed now, ended ones first."""
    released = [item.program_id for item in held if not item.active and item.idle_s is not None]
    used = sum(item.tokens for item in held if item.active or item.idle_s is None)
    if used <= capacity_tokens * HIGH_WATERMARK:
        return released
    paused = [item for item in held if item.active and item.idle_s is not None]
    for item in sorted(paused, key=_recompute_value):
        if used <= capacity_tokens * LOW_WATERMARK:
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


def _recompute_value(item: HeldPrefix) -> float:
    return item.tokens / max(MIN_PAUSE_S, item.idle_s or 0.0)
