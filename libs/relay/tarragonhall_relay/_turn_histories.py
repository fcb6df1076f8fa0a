"""The histories of turns that calls of this entry hold while they wait and run.

Load pattern: hundreds of small calls continue one long turn at once, or many long ones. Each call
holds its whole history until it ends, some thousand times the bytes of its request.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import TurnContent

# Bytes that the histories of all calls take at the most and at the least, and their part of the
# memory. A turn that several calls continue counts once.
MAX_HISTORY_BYTES = 32 * 1024 * 1024
MIN_HISTORY_BYTES = 8 * 1024 * 1024
MEMORY_FRACTION = 0.06

TurnKey = tuple[str, str]


@dataclass(slots=True)
class _Held:
    content: TurnContent
    calls: int = 0


class TurnHistories:
    """The turns that calls hold, each once, by organisation and id."""

    __slots__ = ("_held_by_key", "_limit", "held_bytes")

    def __init__(self, limit: int = MAX_HISTORY_BYTES) -> None:
        self._limit = limit
        self._held_by_key: dict[TurnKey, _Held] = {}
        # Of turns that are held, and of those that are being read.
        self.held_bytes = 0

    def get(self, key: TurnKey) -> TurnContent | None:
        """Return a turn that a call holds."""
        held = self._held_by_key.get(key)
        return held.content if held is not None else None

    def has_room(self, size: int) -> bool:
        """Return whether another call may hold this many bytes; a single one always may."""
        return self.held_bytes == 0 or self.held_bytes + size <= self._limit

    def hold(self, turn_by_key: dict[TurnKey, TurnContent]) -> None:
        """Hold turns for one call, until `release`."""
        for key, content in turn_by_key.items():
            held = self._held_by_key.get(key)
            if held is None:
                held = self._held_by_key[key] = _Held(content)
                self.held_bytes += size_of(content)
            held.calls += 1

    def release(self, keys: tuple[TurnKey, ...]) -> None:
        """Release the turns that one call held."""
        for key in keys:
            held = self._held_by_key[key]
            held.calls -= 1
            if held.calls == 0:
                del self._held_by_key[key]
                self.held_bytes -= size_of(held.content)


def size_of(content: TurnContent) -> int:
    """Return the bytes of a turn's texts."""
    return len(content.input) + len(content.output)


def history_limit_for(memory_mb: int) -> int:
    """Return the bytes that histories may take on a machine; 0 means that it is unknown."""
    if memory_mb <= 0:
        return MAX_HISTORY_BYTES
    part = int(memory_mb * MEMORY_FRACTION * 1024 * 1024)
    return min(MAX_HISTORY_BYTES, max(MIN_HISTORY_BYTES, part))
