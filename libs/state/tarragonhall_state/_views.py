"""System membership by epoch: entries, backend servers and store members."""

from __future__ import annotations

from dataclasses import field, replace

from tarragonhall_model import (
    EntryRecord,
    Recorded,
    Refusal,
    RefusalCode,
    ServerRecord,
    StoreRecord,
    StoreRetiring,
    View,
    mutable_record,
)

ACTIVE, RETIRING, RETIRED = "stays", "retiring", "retired"


@mutable_record
class Views:
    """Processes as they announced themselves. Each change increments the epoch."""

    epoch: int = 0
    changed_at_ms: int = 0
    entry_by_id: dict[str, EntryRecord] = field(default_factory=dict)
    server_by_id: dict[str, ServerRecord] = field(default_factory=dict)
    # Separate from the announcements: a restarted sidecar must not end the operators' drain.
    drained_by_id: dict[str, bool] = field(default_factory=dict)
    # Number of changes of the entries; see `View.entries_version`.
    entries_version: int = 0
    store_by_id: dict[str, StoreRecord] = field(default_factory=dict)
    # Members that bootstrap the store group. Never changed once set: with two groups, each would
    # hold half of the turns.
    store_founders: list[str] = field(default_factory=list)
    # Retirement state of every store member that was ever announced.
    retirement_by_store: dict[str, str] = field(default_factory=dict)
    # See `View.owners_version` and `View.settled_version`.
    owners_version: int = 0
    settled_version: int = 0
    # Incarnations of entries that may still act as owners by an earlier assignment, because nothing
    # shows that they have stopped.
    unsettled_by_life: dict[str, EntryRecord] = field(default_factory=dict)
    # Separate from the servers, so that servers that register later are included.
    evacuated_zones: list[str] = field(default_factory=list)

    def announce_entry(self, entry: EntryRecord, at_ms: int) -> Recorded:
        """Add an entry, replacing its earlier incarnation."""
        known = self.entry_by_id.get(entry.entry_id)
        if known == entry:
            return Recorded(self.epoch)
        if known is None:
            # Ownership may move from any existing entry to the new one.
            self._advance_owners_version(list(self.entry_by_id.values()))
        elif known.address != entry.address:
            self._advance_owners_version([known])
        self.entry_by_id[entry.entry_id] = entry
        self.entries_version += 1
        self._drop_ended_incarnations(entry)
        self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def remove_entry(
        self, entry_id: str, incarnation: str, at_ms: int, stopped: bool = False
    ) -> Recorded:
        """Remove one incarnation of an entry; a later one stays.

        `stopped` means that it can no longer act as an owner, even behind a partition.
        """
        entry = self.entry_by_id.get(entry_id)
        if entry is not None and entry.incarnation == incarnation:
            self._advance_owners_version([] if stopped else [entry])
            del self.entry_by_id[entry_id]
            self.entries_version += 1
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def settle_owners(self, version: int, at_ms: int) -> Recorded:
        """Record that every owner by an assignment before this version has stopped."""
        if self.settled_version < version == self.owners_version:
            self.unsettled_by_life.clear()
            self.settled_version = version
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def announce_server(self, server: ServerRecord, at_ms: int) -> Recorded:
        """Add a backend server, replacing its earlier incarnation."""
        if self.server_by_id.get(server.server_id) != server:
            self.server_by_id[server.server_id] = server
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def remove_server(self, server_id: str, incarnation: str, at_ms: int) -> Recorded:
        """Remove one incarnation of a backend server; a later one stays."""
        server = self.server_by_id.get(server_id)
        if server is not None and server.incarnation == incarnation:
            del self.server_by_id[server_id]
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def announce_store(self, store: StoreRecord, at_ms: int) -> Recorded:
        """Add a store member, replacing its earlier incarnation."""
        if self.store_by_id.get(store.store_id) != store:
            self.store_by_id[store.store_id] = store
            self.retirement_by_store.setdefault(store.store_id, ACTIVE)
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def remove_store(self, store_id: str, incarnation: str, at_ms: int) -> Recorded:
        """Remove one incarnation of a store member; a later one stays."""
        store = self.store_by_id.get(store_id)
        if store is not None and store.incarnation == incarnation:
            del self.store_by_id[store_id]
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def bootstrap_stores(self, store_ids: list[str], at_ms: int) -> Recorded:
        """Set the store members that bootstrap their group, unless they are already set."""
        if not self.store_founders:
            self.store_founders = list(store_ids)
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def retire_store(self, store_id: str, keep: int, at_ms: int) -> StoreRetiring | Refusal:
        """Start the retirement of a store member, if at least `keep` others remain."""
        known = self.retirement(store_id)
        if isinstance(known, Refusal):
            return known
        if self.retirement_by_store[store_id] != ACTIVE:
            return known
        remaining = [
            other
            for other in self.store_by_id
            if other != store_id and self.retirement_by_store[other] == ACTIVE
        ]
        if len(remaining) < keep:
            message = f"{len(remaining)} store members would remain, {keep} are needed"
            return Refusal(RefusalCode.CONFLICT, message)
        self.retirement_by_store[store_id] = RETIRING
        self._advance_epoch(at_ms)
        return StoreRetiring(done=False)

    def confirm_retired(self, store_id: str, at_ms: int) -> Recorded:
        """Record that this member has left the store group."""
        if self.retirement_by_store.get(store_id) == RETIRING:
            self.retirement_by_store[store_id] = RETIRED
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def retirement(self, store_id: str) -> StoreRetiring | Refusal:
        """Return the progress of the retirement of a store member."""
        state = self.retirement_by_store.get(store_id)
        if state is None:
            return Refusal(RefusalCode.NOT_FOUND, f"no store member {store_id!r}")
        return StoreRetiring(done=state == RETIRED)

    def drain_server(self, server_id: str, draining: bool, at_ms: int) -> Recorded:
        """Start or end the operators' drain of a backend server."""
        if draining != (server_id in self.drained_by_id):
            if draining:
                self.drained_by_id[server_id] = True
            else:
                del self.drained_by_id[server_id]
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def evacuate_zone(self, availability_zone: str, evacuated: bool, at_ms: int) -> Recorded:
        """Start or end the evacuation of an availability zone."""
        if evacuated != (availability_zone in self.evacuated_zones):
            others = [one for one in self.evacuated_zones if one != availability_zone]
            self.evacuated_zones = [*others, availability_zone] if evacuated else others
            self._advance_epoch(at_ms)
        return Recorded(self.epoch)

    def view(self) -> View:
        """Return the view of this epoch; drained and evacuated servers are marked as draining."""
        servers = [
            replace(server, draining=True) if self._is_draining(server) else server
            for server in self.server_by_id.values()
        ]
        entries = list(self.entry_by_id.values())
        retiring = [one for one, state in self.retirement_by_store.items() if state != ACTIVE]
        return View(
            self.epoch,
            entries,
            servers,
            self.changed_at_ms,
            self.entries_version,
            list(self.store_by_id.values()),
            self.store_founders,
            retiring,
            self.owners_version,
            self.settled_version,
            self.evacuated_zones,
        )

    def _is_draining(self, server: ServerRecord) -> bool:
        return (
            server.server_id in self.drained_by_id
            or server.availability_zone in self.evacuated_zones
        )

    def _advance_owners_version(self, previous_owners: list[EntryRecord]) -> None:
        """Increment the owners version; the previous owners may still act by the old assignment."""
        self.owners_version += 1
        for entry in previous_owners:
            self.unsettled_by_life[f"{entry.entry_id}@{entry.incarnation}"] = entry
        self._settle_if_all_ended()

    def _drop_ended_incarnations(self, entry: EntryRecord) -> None:
        """Drop the unsettled incarnations that this one replaces at the same address.

        Only one process at a time can listen at an address, so the earlier one has ended. One that
        was merely paused would still hold the address, and no successor could be announced there.
        """
        for key, earlier in list(self.unsettled_by_life.items()):
            if (earlier.entry_id, earlier.address) != (entry.entry_id, entry.address):
                continue
            if earlier.incarnation != entry.incarnation:
                del self.unsettled_by_life[key]
        self._settle_if_all_ended()

    def _settle_if_all_ended(self) -> None:
        if not self.unsettled_by_life:
            self.settled_version = self.owners_version

    def _advance_epoch(self, at_ms: int) -> None:
        self.epoch += 1
        self.changed_at_ms = at_ms
