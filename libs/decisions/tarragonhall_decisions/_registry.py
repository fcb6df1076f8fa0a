"""Which backend servers of the relay there are, from announcements that come late or twice.

Load pattern: thousands of servers announce themselves every second or so, at any control member,
and move on to another one after a failure. An announcement that was held up by a partition arrives
after its sender crashed and another server took its address; a server restarts under its old id
and counts its sequence anew. Taking whatever came last would send calls to servers that are gone,
and callers would wait for connections that nobody answers.

Order: of one id, the later start wins, and within one life the higher sequence. Of one address, the
later start wins. A server that left stays known as gone, so that a late announcement of the same
life does not bring it back.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from tarragonhall_model import BackendRecord

# Seconds after which a server that did not announce itself is marked as unheard.
SILENT_S = 5.0
# Milliseconds by which the warm-up that a server still needs may differ from what followers work
# out themselves before they are told.
WARMUP_SLACK_MS = 300
# Seconds after which it is forgotten.
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


def says_the_same(record: BackendRecord, known: BackendRecord) -> bool:
    """Return whether two announcements differ in their sequence and warm-up alone."""
    return replace(record, sequence=0, warmup_ms=0) == replace(known, sequence=0, warmup_ms=0)


@dataclass(slots=True)
class _Heard:
    record: BackendRecord
    at: float


class Registry:
    """What one control member has heard of the backend servers. Times are monotonic seconds."""

    __slots__ = ("_heard_by_id", "version")

    def __init__(self) -> None:
        self.version = 0
        self._heard_by_id: dict[str, _Heard] = {}

    def hear(self, record: BackendRecord, now: float) -> BackendRecord | None:
        """Take an announcement; return it where it changes what followers should know."""
        heard = self._heard_by_id.get(record.server_id)
        if heard is None:
            self._heard_by_id[record.server_id] = _Heard(record, now)
            return self._changed(record)
        if not is_newer(record, heard.record):
            return None
        changed = not says_the_same(record, heard.record)
        changed |= abs(record.warmup_ms - _warmup_left(heard, now)) > WARMUP_SLACK_MS
        heard.record = record
        heard.at = now
        return self._changed(record) if changed else None

    def leave(self, server_id: str, born_ms: int | None, now: float) -> BackendRecord:
        """Take a server's word that it leaves for good; `born_ms` names its life, where given."""
        heard = self._heard_by_id.get(server_id)
        if heard is None:
            # Heard by another member alone: the mark is merged with what that one knows.
            record = BackendRecord(server_id, "", "", "", 0, born_ms or 0, 0, gone=True)
            self._heard_by_id[server_id] = _Heard(record, now)
            return self._changed(record)
        if born_ms is not None and born_ms < heard.record.born_ms:
            return heard.record
        heard.record = replace(heard.record, gone=True)
        heard.at = now
        return self._changed(heard.record)

    def tick(self, now: float) -> list[BackendRecord]:
        """Return the servers that fell silent since the last time; forget those long gone."""
        silent = []
        for server_id, heard in list(self._heard_by_id.items()):
            if now - heard.at > FORGET_S:
                del self._heard_by_id[server_id]
                continue
            if heard.record.heard and not heard.record.gone and now - heard.at > SILENT_S:
                heard.record = replace(heard.record, heard=False)
                silent.append(self._changed(heard.record))
        return silent

    def records(self, now: float) -> list[BackendRecord]:
        """Return all that is known, for a follower that has nothing yet."""
        return [
            replace(heard.record, warmup_ms=_warmup_left(heard, now))
            for heard in self._heard_by_id.values()
        ]

    def _changed(self, record: BackendRecord) -> BackendRecord:
        self.version += 1
        return record


def _warmup_left(heard: _Heard, now: float) -> int:
    """Return for how much longer a server stays cold by its last announcement, milliseconds."""
    passed_ms = int((now - heard.at) * 1000)
    return max(0, heard.record.warmup_ms - passed_ms)


class BackendTable:
    """What one entry knows of the backend servers, merged from several control members.

    A server that one member no longer hears may be heard by another: it counts as heard while any
    member says so. `gone` and `draining` count as soon as any member says so of this life.
    """

    __slots__ = ("_by_source", "_ids_by_address", "by_id")

    def __init__(self) -> None:
        self.by_id: dict[str, BackendRecord] = {}
        # Looked up for changed servers alone: going through all of them at each change takes the
        # square of their number where they all start at once.
        self._ids_by_address: dict[str, set[str]] = {}
        self._by_source: dict[str, dict[str, BackendRecord]] = {}

    def replace_source(self, source: str, records: list[BackendRecord]) -> set[str]:
        """Take everything that a member knows; return the ids whose merged record changed."""
        ids = set(self._by_source.get(source, {})) | {record.server_id for record in records}
        self._by_source[source] = {record.server_id: record for record in records}
        return self._merge(ids)

    def update_source(self, source: str, records: list[BackendRecord]) -> set[str]:
        """Take some changes of a member; return the ids whose merged record changed."""
        held = self._by_source.setdefault(source, {})
        for record in records:
            held[record.server_id] = record
        return self._merge({record.server_id for record in records})

    def drop_source(self, source: str) -> set[str]:
        """Forget a member that is none any more; what no other names stays unheard."""
        dropped = self._by_source.pop(source, {})
        return self._merge(set(dropped))

    def _merge(self, ids: set[str]) -> set[str]:
        changed = set()
        for server_id in ids:
            known = [held[server_id] for held in self._by_source.values() if server_id in held]
            merged = _merged(known) if known else None
            before = self.by_id.get(server_id)
            if merged is None and before is not None:
                # Every member forgot it, or they all restarted: it may still be there.
                merged = replace(before, heard=False)
            if merged is None or merged == before:
                continue
            self._put(merged)
            changed.add(server_id)
        for address in {self.by_id[server_id].address for server_id in changed}:
            changed |= self._drop_replaced_at(address)
        return changed

    def _put(self, record: BackendRecord) -> None:
        before = self.by_id.get(record.server_id)
        if before is not None and before.address != record.address:
            self._ids_by_address[before.address].discard(record.server_id)
        self._ids_by_address.setdefault(record.address, set()).add(record.server_id)
        self.by_id[record.server_id] = record

    def _drop_replaced_at(self, address: str) -> set[str]:
        """Mark as gone whatever stands at the address of a server that started later."""
        standing = [self.by_id[server_id] for server_id in self._ids_by_address[address]]
        standing = [record for record in standing if not record.gone]
        if len(standing) < 2:
            return set()
        newest = max(standing, key=lambda record: (record.born_ms, record.server_id))
        replaced = {one.server_id for one in standing if one is not newest}
        for server_id in replaced:
            self._put(replace(self.by_id[server_id], gone=True))
        return replaced

    def forget_gone(self) -> None:
        """Drop the servers that every source has forgotten or that left for good."""
        named = {server_id for held in self._by_source.values() for server_id in held}
        for server_id in list(self.by_id):
            if server_id not in named:
                self._ids_by_address[self.by_id.pop(server_id).address].discard(server_id)


def _merged(records: list[BackendRecord]) -> BackendRecord:
    """Return the latest word on one server from several members."""
    latest = records[0]
    for record in records[1:]:
        if is_newer(record, latest):
            latest = record
    same_life = [r for r in records if r.born_ms == latest.born_ms]
    # A mark without a life comes from a member that never heard the server itself.
    gone = any(r.gone for r in same_life) or any(r.gone and not r.born_ms for r in records)
    heard = any(r.heard and not r.gone for r in same_life)
    draining = any(r.draining for r in same_life)
    named = latest if latest.address else next((r for r in records if r.address), latest)
    return replace(named, gone=gone, heard=heard, draining=draining)
