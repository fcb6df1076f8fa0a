"""The in-memory log: the entries after a base index that the snapshot covers."""

from __future__ import annotations

from tarragonhall_consensus._messages import Entry

# Approximate size of an entry besides its data, on a link and in a file.
ENTRY_OVERHEAD_BYTES = 32


class Log:
    """Entries `base_index + 1` to `last_index`. Of the base entry only the term is known."""

    __slots__ = ("_entries", "base_index", "base_term", "bytes")

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.reset(base_index, base_term)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or the base index if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    def reset(self, index: int, term: int) -> None:
        """Drop every entry; the log starts after `index`."""
        self.base_index = index
        self.base_term = term
        self.bytes = 0
        self._entries: list[Entry] = []

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is before the base or after the end."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry) -> int:
        """Add an entry at the end and return its index."""
        self._entries.append(entry)
        self.bytes += entry_bytes(entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all later ones."""
        start = index - self.base_index - 1
        self.bytes -= sum(entry_bytes(entry) for entry in self._entries[start:])
        del self._entries[start:]

    def compact(self, index: int) -> None:
        """Drop the entries up to and including `index`, which becomes the base."""
        count = index - self.base_index
        if count <= 0:
            return
        self.base_term = self._entries[count - 1].term
        self.base_index = index
        self.bytes -= sum(entry_bytes(entry) for entry in self._entries[:count])
        del self._entries[:count]

    def slice(self, start: int, max_bytes: int) -> list[Entry]:
        """Return entries from `start` of at most `max_bytes` in total, at least one if any."""
        entries = []
        size = 0
        for position in range(start - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size += entry_bytes(entry)
            if entries and size > max_bytes:
                break
            entries.append(entry)
        return entries

    def compaction_index(self, applied: int, max_entries: int, max_bytes: int) -> int:
        """Return the index up to which to compact, retaining some entries up to `applied`."""
        index = applied
        size = 0
        while index > max(self.base_index, applied - max_entries):
            size += entry_bytes(self.entry(index))
            if size > max_bytes:
                break
            index -= 1
        return index

    def first_of_term(self, index: int) -> int:
        """Return the first index of the run of entries of one term that contains `index`."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index


def entry_bytes(entry: Entry) -> int:
    """Return the approximate size of the entry in bytes."""
    return ENTRY_OVERHEAD_BYTES + len(entry.data)
