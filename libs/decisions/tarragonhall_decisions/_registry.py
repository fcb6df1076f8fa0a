"""The relay's backend servers, from announcements that may be late or duplicated.

Load pattern: thousands of servers announce themselves every second or so, at any control member,
and move on to another one after a failure. An announcement delayed by a partition arrives after its
sender crashed and another server took its address; a server restarts under its old id and counts
its sequence anew. If the last arrival won, calls would be sent to servers that are gone and wait
for connections that nobody accepts.

Order: of one id, the later start wins, and within one incarnation the higher sequence. Of one
address, the later start wins. A server that left stays known as gone, so that a late announcement
of the same incarnation does not bring it back.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from tarragonhall_model import BackendRecord

# Seconds after which a server that has not announced itself is marked as unreachable: three
# heartbeat intervals and a margin for late ones. It stays listed, as it may be cut off from the
# control members alone while entries still reach it.
UNREACHABLE_AFTER_S = 5.0
# Milliseconds by which a server's remaining warm-up may differ from what followers compute
# themselves before they are sent an update.
WARMUP_TOLERANCE_MS = 300
# Seconds after which a server is forgotten, which limits the table to those of the last minutes.
FORGET_S = 120.0


def is_newer(record: BackendRecord, known: BackendRecord) -> bool:
    """Return whether an announcement is later than the one known under the same id."""
    if record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if known.gone:
        return False
    if record.gone:
        return True
    return record.sequence > known.sequence


def is_departure(record: BackendRecord) -> bool:
    """Return whether a known incarnation left or drains, not just one that nobody knows."""
    return (record.gone or record.draining) and bool(record.born_ms or record.address)


def is_unchanged(record: BackendRecord, known: BackendRecord) -> bool:
    """Return whether two announcements differ in their sequence and warm-up alone."""
    return replace(record, sequence=0, warmup_ms=0) == replace(known, sequence=0, warmup_ms=0)


@dataclass(slots=True)
class _Announced:
    """A server's latest record, when it came, and the registry's version that last changed it."""

    record: BackendRecord
    received_at: float
    version: int = 0


class Registry:
    """The backend servers that one control member knows; times are monotonic seconds."""

    __slots__ = ("_known_by_id", "version")

    def __init__(self) -> None:
        self.version = 0
        self._known_by_id: dict[str, _Announced] = {}

    def on_announcement(self, record: BackendRecord, now: float) -> BackendRecord | None:
        """Store an announcement; return it if followers need an update, else None."""
        known = self._known_by_id.get(record.server_id)
        if known is None:
            self._known_by_id[record.server_id] = _Announced(record, now)
            return self._changed(record)
        if not is_newer(record, known.record):
            return None
        changed = not is_unchanged(record, known.record)
        changed |= abs(record.warmup_ms - _warmup_left(known, now)) > WARMUP_TOLERANCE_MS
        known.record = record
        known.received_at = now
        return self._changed(record) if changed else None

    def mark_gone(self, server_id: str, born_ms: int | None, now: float) -> BackendRecord:
        """Mark a server as gone after its leave notice; `born_ms` names its incarnation."""
        known = self._known_by_id.get(server_id)
        if known is None:
            # Only another member knows this server: the mark is merged with that member's record.
            record = BackendRecord(server_id, "", "", "", 0, born_ms or 0, 0, gone=True)
            self._known_by_id[server_id] = _Announced(record, now)
            return self._changed(record)
        if born_ms is not None and born_ms < known.record.born_ms:
            return known.record
        if born_ms is not None and born_ms > known.record.born_ms:
            # The incarnation that leaves has announced itself elsewhere only.
            known.record = replace(known.record, born_ms=born_ms, sequence=0)
        known.record = replace(known.record, gone=True)
        known.received_at = now
        return self._changed(known.record)

    def departures(self) -> list[BackendRecord]:
        """Return the servers that left or drain, except those of which nothing else is known."""
        return [one.record for one in self._known_by_id.values() if is_departure(one.record)]

    def is_departed(self, record: BackendRecord) -> bool:
        """Return whether the incarnation of an announcement is known to have left, or a later."""
        known = self._known_by_id.get(record.server_id)
        return known is not None and known.record.gone and record.born_ms <= known.record.born_ms

    def changes_since(self, version: int, now: float) -> list[BackendRecord]:
        """Return the records that changed after a version, for a follower that has the others.

        Servers that were forgotten since are not among them: they had been gone or silent for long,
        and followers were told so.
        """
        return [
            replace(known.record, warmup_ms=_warmup_left(known, now))
            for known in self._known_by_id.values()
            if known.version > version
        ]

    def tick(self, now: float) -> list[BackendRecord]:
        """Return servers that became unreachable since the last tick; forget those long gone."""
        unreachable = []
        for server_id, known in list(self._known_by_id.items()):
            if now - known.received_at > FORGET_S:
                del self._known_by_id[server_id]
                continue
            if (
                known.record.heard
                and not known.record.gone
                and now - known.received_at > UNREACHABLE_AFTER_S
            ):
                known.record = replace(known.record, heard=False)
                unreachable.append(self._changed(known.record))
        return unreachable

    def records(self, now: float) -> list[BackendRecord]:
        """Return all records, for a follower that has none yet."""
        return [
            replace(known.record, warmup_ms=_warmup_left(known, now))
            for known in self._known_by_id.values()
        ]

    def _changed(self, record: BackendRecord) -> BackendRecord:
        self.version += 1
        self._known_by_id[record.server_id].version = self.version
        return record


def _warmup_left(known: _Announced, now: float) -> int:
    """Return for how many more milliseconds a server stays cold by its last announcement."""
    passed_ms = int((now - known.received_at) * 1000)
    return max(0, known.record.warmup_ms - passed_ms)


class BackendTable:
    """The backend servers that one entry knows, merged from several control members.

    A server that one member cannot reach may be reachable for another: it counts as reachable while
    any member reports it so. `gone` and `draining` count as soon as any member reports them for the
    current incarnation, and go on to count after all members have forgotten them: a restarted
    member knows a server by nothing but the next announcement, which may be late.
    """

    __slots__ = (
        "_departed_by_id",
        "_departed_listed_at",
        "_ids_by_address",
        "_records_by_source",
        "by_id",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, BackendRecord] = {}
        # Looked up for changed servers alone: a scan of all servers at each change would take the
        # square of their number when they all start at once.
        self._ids_by_address: dict[str, set[str]] = {}
        self._records_by_source: dict[str, dict[str, BackendRecord]] = {}
        self._departed_by_id: dict[str, BackendRecord] = {}
        self._departed_listed_at: dict[str, float] = {}

    def replace_source(self, source: str, records: list[BackendRecord]) -> set[str]:
        """Replace all that a member knows; return the ids whose merged record changed."""
        ids = set(self._records_by_source.get(source, {})) | {
            record.server_id for record in records
        }
        self._records_by_source[source] = {record.server_id: record for record in records}
        return self._merge(ids)

    def update_source(self, source: str, records: list[BackendRecord]) -> set[str]:
        """Store some changes of a member; return the ids whose merged record changed."""
        record_by_id = self._records_by_source.setdefault(source, {})
        for record in records:
            record_by_id[record.server_id] = record
        return self._merge({record.server_id for record in records})

    def drop_source(self, source: str) -> set[str]:
        """Remove a former member; servers that no other member lists stay, as unreachable."""
        dropped = self._records_by_source.pop(source, {})
        return self._merge(set(dropped))

    def _merge(self, ids: set[str]) -> set[str]:
        changed = set()
        for server_id in ids:
            known = [
                record_by_id[server_id]
                for record_by_id in self._records_by_source.values()
                if server_id in record_by_id
            ]
            merged = self._with_departure(_merged(known)) if known else None
            before = self.by_id.get(server_id)
            if merged is None and before is not None:
                # All members forgot it or restarted: the server may still run.
                merged = replace(before, heard=False)
            if merged is None or merged == before:
                continue
            self._put(merged)
            self._keep_departure(merged, known)
            changed.add(server_id)
        for address in {self.by_id[server_id].address for server_id in changed}:
            changed |= self._drop_replaced_at(address)
        return changed

    def _with_departure(self, merged: BackendRecord) -> BackendRecord:
        """Return a record as it counts given that its server left or began to drain before."""
        departed = self._departed_by_id.get(merged.server_id)
        if departed is None or departed.born_ms < merged.born_ms:
            return merged
        if departed.gone or departed.born_ms > merged.born_ms:
            return replace(merged, gone=True)
        if merged.sequence <= departed.sequence:
            return replace(merged, draining=True)
        return merged

    def _keep_departure(self, merged: BackendRecord, known: list[BackendRecord]) -> None:
        if not merged.gone and not merged.draining:
            self._departed_by_id.pop(merged.server_id, None)
            self._departed_listed_at.pop(merged.server_id, None)
            return
        kept = self._departed_by_id.get(merged.server_id)
        if kept is not None and _order(kept) > _order(merged):
            # A late announcement that counts as draining is older than the one that said so.
            return
        # A mark without an incarnation may be of an earlier one than this.
        if merged.draining or any(r.gone and r.born_ms == merged.born_ms for r in known):
            self._departed_by_id[merged.server_id] = merged

    def _put(self, record: BackendRecord) -> None:
        before = self.by_id.get(record.server_id)
        if before is not None and before.address != record.address:
            self._ids_by_address[before.address].discard(record.server_id)
        self._ids_by_address.setdefault(record.address, set()).add(record.server_id)
        self.by_id[record.server_id] = record

    def _drop_replaced_at(self, address: str) -> set[str]:
        """Mark the older servers at one address as gone, and return their ids."""
        present = [self.by_id[server_id] for server_id in self._ids_by_address[address]]
        present = [record for record in present if not record.gone]
        if len(present) < 2:
            return set()
        newest = max(present, key=lambda record: (record.born_ms, record.server_id))
        replaced = {one.server_id for one in present if one is not newest}
        for server_id in replaced:
            self._put(replace(self.by_id[server_id], gone=True))
        return replaced

    def forget_gone(self, now: float) -> None:
        """Drop the servers that no source lists any more, and later their departures."""
        named = {
            server_id
            for record_by_id in self._records_by_source.values()
            for server_id in record_by_id
        }
        for server_id in list(self.by_id):
            if server_id not in named:
                self._ids_by_address[self.by_id.pop(server_id).address].discard(server_id)
        for server_id in list(self._departed_by_id):
            if server_id in named:
                self._departed_listed_at[server_id] = now
            elif now - self._departed_listed_at.setdefault(server_id, now) > FORGET_S:
                del self._departed_by_id[server_id]
                del self._departed_listed_at[server_id]


def _merged(records: list[BackendRecord]) -> BackendRecord:
    """Return the merged record of one server from several members."""
    latest = records[0]
    for record in records[1:]:
        if is_newer(record, latest):
            latest = record
    same_incarnation = [r for r in records if r.born_ms == latest.born_ms]
    # A mark without an incarnation comes from a member that never knew the server.
    gone = any(r.gone for r in same_incarnation) or any(r.gone and not r.born_ms for r in records)
    heard = any(r.heard and not r.gone for r in same_incarnation)
    draining = any(r.draining for r in same_incarnation)
    named = latest if latest.address else next((r for r in records if r.address), latest)
    return replace(named, gone=gone, heard=heard, draining=draining)


def _order(record: BackendRecord) -> tuple[int, bool, int]:
    """Return what a later record of a server has more of; an incarnation is gone for good."""
    return record.born_ms, record.gone, record.sequence
