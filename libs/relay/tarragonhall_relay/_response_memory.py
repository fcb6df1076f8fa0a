"""Bounds the memory that responses take together while an entry reads and relays them."""

from __future__ import annotations

from tarragonhall_relay._errors import NoMemoryError

# Bytes that each response may take without asking. Nearly all are smaller.
OWN_BYTES = 64 * 1024
# Bytes that larger responses share at the most and at the least, and their part of the memory.
# The parts of a response are joined once, which takes their size again.
MAX_SHARED_BYTES = 32 * 1024 * 1024
MIN_SHARED_BYTES = 16 * 1024 * 1024
MEMORY_FRACTION = 0.125


class ResponseMemory:
    """The memory that large responses share; `shared_bytes` is what they hold now.

    By default they may hold `MAX_SHARED_BYTES`.
    """

    __slots__ = ("_limit", "shared_bytes")

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self.shared_bytes = 0

    @property
    def limit(self) -> int:
        """Return the bytes that large responses may hold together."""
        return MAX_SHARED_BYTES if self._limit is None else self._limit

    def lease(self) -> ResponseLease:
        """Return the share of one response, empty at first."""
        return ResponseLease(self)


class ResponseLease:
    """The memory of one response, to be released once it was relayed or dropped."""

    __slots__ = ("_memory", "_shared_bytes", "_size")

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._size = 0
        self._shared_bytes = 0

    def grow(self, size: int) -> None:
        """Take more bytes; raise `NoMemoryError` if the responses of this entry have no room."""
        self.hold(self._size + size)

    def hold(self, size: int) -> None:
        """Take this many bytes in all; raise `NoMemoryError` as `grow` does."""
        self._size = size
        wanted = max(0, size - OWN_BYTES) - self._shared_bytes
        if wanted > 0 and self._memory.shared_bytes + wanted > self._memory.limit:
            raise NoMemoryError
        self._memory.shared_bytes += wanted
        self._shared_bytes += wanted

    def release(self) -> None:
        """Give the memory back."""
        self._memory.shared_bytes -= self._shared_bytes
        self._shared_bytes = 0
        self._size = 0


def response_memory_for(memory_mb: int) -> ResponseMemory:
    """Return the memory for responses of an entry with this much memory; 0 means unknown."""
    if memory_mb <= 0:
        return ResponseMemory()
    part = int(memory_mb * MEMORY_FRACTION * 1024 * 1024)
    return ResponseMemory(min(MAX_SHARED_BYTES, max(MIN_SHARED_BYTES, part)))
