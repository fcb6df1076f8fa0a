"""The log in memory: the entries after a base that the snapshot covers."""

from __future__ import annotations

from tarragonhall_consensus._messages import Entry

# An entry costs a little beside its data on a link and in a file.
ENTRY_OVERHEAD_BYTES = 32


class Log:
    """Entries `base_index + 1` to `last_index`. The base itself is known only by its term."""

    __slots__ = ("_entries", "base_index", "base_term", "bytes")

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.reset(base_index, base_term)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or the base where there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base where there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    def reset(self, index: int, term: int) -> None:
        """Forget every entry; the log starts after `index`."""
        self.base_index = index
        self.base_term = term
        self.bytes = 0
        self._entries: list[Entry] = []

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None where it is before the base or after the end."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return one entry, which must be here."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry) -> int:
        """Add an entry at the end and return its index."""
        self._entries.append(entry)
        self.bytes += entry_bytes(entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Forget the entry at `index` and all after it."""
        start = index - self.base_index - 1
        self.bytes -= sum(entry_bytes(entry) for entry in self._entries[start:])
        del self._entries[start:]

    def compact(self, index: int) -> None:
        """Forget the entries up to and including `index`, which becomes the base."""
        count = index - self.base_index
        if count <= 0:
            return
        self.base_term = self._entries[count - 1].term
        self.base_index = index
        self.bytes -= sum(entry_bytes(entry) for entry in self._entries[:count])
        del self._entries[:count]

    def slice(self, start: int, max_bytes: int) -> list[Entry]:
        """Return entries from `start` up to about `max_bytes`, at least one where there is one."""
        taken = []
        size = 0
        for position in range(start - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size += entry_bytes(entry)
            if taken and size > max_bytes:
                break
            taken.append(entry)
        return taken

    def compaction_index(self, applied: int, max_entries: int, max_bytes: int) -> int:
        """Return up to where to compact, to keep some entries before and at `applied`."""
        index = applied
        size = 0
        while index > max(self.base_index, applied - max_entries):
            size += entry_bytes(self.entry(index))
            if size > max_bytes:
                break
            index -= 1
        return index

    def first_of_term(self, index: int) -> int:
        """Return the first index, at or before `index`, of the run of entries of one term."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index


def entry_bytes(entry: Entry) -> int:
    """Return about how many bytes the entry takes."""
    return ENTRY_OVERHEAD_BYTES + len(entry.data)
