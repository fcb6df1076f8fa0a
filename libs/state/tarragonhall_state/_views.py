"""The members of the system: entries, backend servers and store members, in epochs."""

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

STAYS, RETIRING, RETIRED = "stays", "retiring", "retired"


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
    store_by_id: dict[str, StoreRecord] = field(default_factory=dict)
    # Decided once and never changed: two groups of stores would each keep half of the turns.
    store_founders: list[str] = field(default_factory=list)
    # Every store member that was ever announced; its value says how far its retirement is.
    retirement_by_store: dict[str, str] = field(default_factory=dict)
    # See `View.owners_version` and `View.settled_version`.
    owners_version: int = 0
    settled_version: int = 0
    # Lives of entries that may own by an earlier choice, as long as nothing says that they stopped.
    unsettled_by_life: dict[str, EntryRecord] = field(default_factory=dict)
    # Operators' orders, kept apart from the servers: one that registers later is in it as well.
    evacuated_zones: list[str] = field(default_factory=list)

    def announce_entry(self, entry: EntryRecord, at_ms: int) -> Recorded:
        """Take in an entry, in place of an earlier life of it."""
        known = self.entry_by_id.get(entry.entry_id)
        if known == entry:
            return Recorded(self.epoch)
        if known is None:
            # Any of those that are there may lose what it owns to the new one.
            self._owners_changed(list(self.entry_by_id.values()))
        elif known.address != entry.address:
            self._owners_changed([known])
        self.entry_by_id[entry.entry_id] = entry
        self.entries_version += 1
        self._earlier_lives_ended(entry)
        self._changed(at_ms)
        return Recorded(self.epoch)

    def remove_entry(
        self, entry_id: str, incarnation: str, at_ms: int, stopped: bool = False
    ) -> Recorded:
        """Take out one life of an entry; a later life stays.

        `stopped` says that it cannot act as an owner any more, not even cut off.
        """
        entry = self.entry_by_id.get(entry_id)
        if entry is not None and entry.incarnation == incarnation:
            self._owners_changed([] if stopped else [entry])
            del self.entry_by_id[entry_id]
            self.entries_version += 1
            self._changed(at_ms)
        return Recorded(self.epoch)

    def settle_owners(self, version: int, at_ms: int) -> Recorded:
        """Note that every owner by a choice before this version has stopped."""
        if self.settled_version < version == self.owners_version:
            self.unsettled_by_life.clear()
            self.settled_version = version
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

    def announce_store(self, store: StoreRecord, at_ms: int) -> Recorded:
        """Take in a store member, in place of an earlier life of it."""
        if self.store_by_id.get(store.store_id) != store:
            self.store_by_id[store.store_id] = store
            self.retirement_by_store.setdefault(store.store_id, STAYS)
            self._changed(at_ms)
        return Recorded(self.epoch)

    def remove_store(self, store_id: str, incarnation: str, at_ms: int) -> Recorded:
        """Take out one life of a store member; a later life stays."""
        store = self.store_by_id.get(store_id)
        if store is not None and store.incarnation == incarnation:
            del self.store_by_id[store_id]
            self._changed(at_ms)
        return Recorded(self.epoch)

    def found_stores(self, store_ids: list[str], at_ms: int) -> Recorded:
        """Name the store members that found their group, unless that was decided before."""
        if not self.store_founders:
            self.store_founders = list(store_ids)
            self._changed(at_ms)
        return Recorded(self.epoch)

    def retire_store(self, store_id: str, keep: int, at_ms: int) -> StoreRetiring | Refusal:
        """Have a store member leave its group for good, where `keep` others remain."""
        known = self.retirement(store_id)
        if isinstance(known, Refusal):
            return known
        if self.retirement_by_store[store_id] != STAYS:
            return known
        staying = [
            other
            for other in self.store_by_id
            if other != store_id and self.retirement_by_store[other] == STAYS
        ]
        if len(staying) < keep:
            message = f"{len(staying)} store members would remain, {keep} are needed"
            return Refusal(RefusalCode.CONFLICT, message)
        self.retirement_by_store[store_id] = RETIRING
        self._changed(at_ms)
        return StoreRetiring(done=False)

    def confirm_retired(self, store_id: str, at_ms: int) -> Recorded:
        """Note that the group of stores goes on without this member."""
        if self.retirement_by_store.get(store_id) == RETIRING:
            self.retirement_by_store[store_id] = RETIRED
            self._changed(at_ms)
        return Recorded(self.epoch)

    def retirement(self, store_id: str) -> StoreRetiring | Refusal:
        """Return how far the retirement of a store member is."""
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
            self._changed(at_ms)
        return Recorded(self.epoch)

    def evacuate_zone(self, availability_zone: str, evacuated: bool, at_ms: int) -> Recorded:
        """Start or end the evacuation of an availability zone."""
        if evacuated != (availability_zone in self.evacuated_zones):
            others = [one for one in self.evacuated_zones if one != availability_zone]
            self.evacuated_zones = [*others, availability_zone] if evacuated else others
            self._changed(at_ms)
        return Recorded(self.epoch)

    def view(self) -> View:
        """Return the view of this epoch, with operators' drains and evacuations marked."""
        servers = [
            replace(server, draining=True) if self._gets_no_work(server) else server
            for server in self.server_by_id.values()
        ]
        entries = list(self.entry_by_id.values())
        retiring = [one for one, state in self.retirement_by_store.items() if state != STAYS]
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

    def _gets_no_work(self, server: ServerRecord) -> bool:
        return (
            server.server_id in self.drained_by_id
            or server.availability_zone in self.evacuated_zones
        )

    def _owners_changed(self, losers: list[EntryRecord]) -> None:
        """Count a change of which entry owns what; those who lose may still act on the old one."""
        self.owners_version += 1
        for entry in losers:
            self.unsettled_by_life[f"{entry.entry_id}@{entry.incarnation}"] = entry
        self._settle_if_all_ended()

    def _earlier_lives_ended(self, entry: EntryRecord) -> None:
        """Drop the lives that this one succeeds.

        Only one process at a time listens at an address, so whoever had it before has ended. One
        that was merely paused still holds its address, and no successor could be announced there.
        """
        for life, earlier in list(self.unsettled_by_life.items()):
            if (earlier.entry_id, earlier.address) != (entry.entry_id, entry.address):
                continue
            if earlier.incarnation != entry.incarnation:
                del self.unsettled_by_life[life]
        self._settle_if_all_ended()

    def _settle_if_all_ended(self) -> None:
        if not self.unsettled_by_life:
            self.settled_version = self.owners_version

    def _changed(self, at_ms: int) -> None:
        self.epoch += 1
        self.changed_at_ms = at_ms
