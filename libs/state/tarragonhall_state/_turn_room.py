"""Whether a store takes another turn, by the memory that all retained turns take.

Load pattern: clients inside their limits send turns of a megabyte, several a second, and each is
retained for a minute. The stores run out of memory together, restart, read the same turns again,
and end again. The turns of all organisations are lost to their programs meanwhile.

An organisation that holds most of the turns is refused while a part of the room is left for the
others. A leader decides before it proposes a command, so that members need not agree on their
memory.
"""

from __future__ import annotations

from dataclasses import dataclass

# Part of a machine's memory for the text of turns. Each byte of it takes about three: the state,
# the log since the last snapshot, and a snapshot that is written or read.
TURNS_FRACTION = 0.2
# For machines whose memory is not known.
DEFAULT_TURN_BYTES = 64 * 1024 * 1024
# What a turn takes besides its text: its objects, and its entries in tables.
TURN_OVERHEAD_BYTES = 1024
# Part of the room that an organisation with more than `LARGE_FRACTION` of all turns may fill up to.
SHARED_FRACTION = 0.75
LARGE_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class TurnRoom:
    """The bytes that retained turns may take together."""

    total_bytes: int = DEFAULT_TURN_BYTES

    def has_room(self, size: int, held_bytes: int, org_bytes: int) -> bool:
        """Return whether a turn of `size` bytes may be added to what all and its owner hold."""
        if held_bytes + size > self.total_bytes:
            return False
        if held_bytes + size <= self.total_bytes * SHARED_FRACTION:
            return True
        return org_bytes + size <= (held_bytes + size) * LARGE_FRACTION


def turn_bytes(text: int) -> int:
    """Return what a turn with this many bytes of text takes."""
    return text + TURN_OVERHEAD_BYTES


def turn_room_for(memory_mb: int) -> TurnRoom:
    """Return the room of a machine with this much memory; 0 means unknown."""
    if memory_mb <= 0:
        return TurnRoom()
    return TurnRoom(int(memory_mb * TURNS_FRACTION * 1024 * 1024))
