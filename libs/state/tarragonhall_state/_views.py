"""The members of the system: entries and backend servers, in epochs."""

from __future__ import annotations

from dataclasses import field, replace

from tarragonhall_model import EntryRecord, Recorded, ServerRecord, View, mutable_record


@mutable_record
class Views:
    """Entries and backend servers as they announced themselves. Each change raises the epoch."""

    epoch: int = 0
    changed_at_ms: int = 0
    entry_by_id: dict[str, EntryRecord] = field(default_factory=dict)
    server_by_id: dict[str, ServerRecord] = field(default_factory=dict)
    # Kept apart from the announcements: a sidecar that restarts must not end the operators' drain.
    drained_by_id: dict[str, bool] = field(default_factory=dict)
    # How often the entries changed; see `View.entries_version`.
    entries_version: int = 0

    def announce_entry(self, entry: EntryRecord, at_ms: int) -> Recorded:
        """Take in an entry, in place of an earlier life of it."""
        if self.entry_by_id.get(entry.entry_id) != entry:
            self.entry_by_id[entry.entry_id] = entry
            self.entries_version += 1
            self._changed(at_ms)
        return Recorded(self.epoch)

    def remove_entry(self, entry_id: str, incarnation: str, at_ms: int) -> Recorded:
        """Take out one life of an entry; a later life stays."""
        entry = self.entry_by_id.get(entry_id)
        if entry is not None and entry.incarnation == incarnation:
            del self.entry_by_id[entry_id]
            self.entries_version += 1
            self._changed(at_ms)
        return Recorded(self.epoch)

    def announce_server(self, server: ServerRecord, at_ms: int) -> Recorded:
        """Take in a backend server, in place of an earlier life of it."""
        if self.server_by_id.get(server.server_id) != server:
            self.server_by_id[server.server_id] = server
            self._changed(at_ms)
        return Recorded(self.epoch)

    def remove_server(self, server_id: str, incarnation: str, at_ms: int) -> Recorded:
        """Take out one life of a backend server; a later life stays."""
        server = self.server_by_id.get(server_id)
        if server is not None and server.incarnation == incarnation:
            del self.server_by_id[server_id]
            self._changed(at_ms)
        return Recorded(self.epoch)

    def drain_server(self, server_id: str, draining: bool, at_ms: int) -> Recorded:
        """Start or end the operators' drain of a backend server."""
        if draining != (server_id in self.drained_by_id):
            if draining:
                self.drained_by_id[server_id] = True
            else:
                del self.drained_by_id[server_id]
            self._changed(at_ms)
        return Recorded(self.epoch)

    def view(self) -> View:
        """Return the view of this epoch, with the operators' drains marked."""
        servers = [
            replace(server, draining=True) if server.server_id in self.drained_by_id else server
            for server in self.server_by_id.values()
        ]
        entries = list(self.entry_by_id.values())
        return View(self.epoch, entries, servers, self.changed_at_ms, self.entries_version)

    def _changed(self, at_ms: int) -> None:
        self.epoch += 1
        self.changed_at_ms = at_ms
