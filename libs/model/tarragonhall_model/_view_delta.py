"""Differences between two views: with hundreds of members a complete view is tens of kB."""

from __future__ import annotations

from dataclasses import field, replace

from tarragonhall_model._codec import record
from tarragonhall_model._policy import EntryRecord, ServerRecord, StoreRecord, View


@record
class ViewDelta:
    """The changes from the view of epoch `base` to that of `epoch`; applies to no other view.

    The lists hold the members that are new or changed, and the ids of those removed. All other
    fields are those of the later view.
    """

    base: int
    epoch: int
    changed_at_ms: int
    entries_version: int
    owners_version: int
    settled_version: int
    entries: list[EntryRecord] = field(default_factory=list)
    servers: list[ServerRecord] = field(default_factory=list)
    stores: list[StoreRecord] = field(default_factory=list)
    gone_entries: list[str] = field(default_factory=list)
    gone_servers: list[str] = field(default_factory=list)
    gone_stores: list[str] = field(default_factory=list)
    store_founders: list[str] = field(default_factory=list)
    retiring_stores: list[str] = field(default_factory=list)
    evacuated_zones: list[str] = field(default_factory=list)


def view_delta(earlier: View, later: View) -> ViewDelta:
    """Return the changes from one view to a later one."""
    entries, gone_entries = _difference(_entries_by_id(earlier), _entries_by_id(later))
    servers, gone_servers = _difference(_servers_by_id(earlier), _servers_by_id(later))
    stores, gone_stores = _difference(_stores_by_id(earlier), _stores_by_id(later))
    return ViewDelta(
        earlier.epoch,
        later.epoch,
        later.changed_at_ms,
        later.entries_version,
        later.owners_version,
        later.settled_version,
        entries,
        servers,
        stores,
        gone_entries,
        gone_servers,
        gone_stores,
        later.store_founders,
        later.retiring_stores,
        later.evacuated_zones,
    )


def apply_view_delta(view: View, delta: ViewDelta) -> View | None:
    """Return the later view, or None if the delta does not start at this one."""
    if view.epoch != delta.base:
        return None
    return replace(
        view,
        epoch=delta.epoch,
        changed_at_ms=delta.changed_at_ms,
        entries_version=delta.entries_version,
        owners_version=delta.owners_version,
        settled_version=delta.settled_version,
        entries=_apply_changes(_entries_by_id(view), delta.entries, delta.gone_entries, "entry_id"),
        servers=_apply_changes(
            _servers_by_id(view), delta.servers, delta.gone_servers, "server_id"
        ),
        stores=_apply_changes(_stores_by_id(view), delta.stores, delta.gone_stores, "store_id"),
        store_founders=delta.store_founders,
        retiring_stores=delta.retiring_stores,
        evacuated_zones=delta.evacuated_zones,
    )


def _entries_by_id(view: View) -> dict:
    return {entry.entry_id: entry for entry in view.entries}


def _servers_by_id(view: View) -> dict:
    return {server.server_id: server for server in view.servers}


def _stores_by_id(view: View) -> dict:
    return {store.store_id: store for store in view.stores}


def _difference(earlier: dict, later: dict) -> tuple[list, list[str]]:
    changed = [member for member_id, member in later.items() if earlier.get(member_id) != member]
    return changed, [member_id for member_id in earlier if member_id not in later]


def _apply_changes(by_id: dict, changed: list, removed: list[str], id_field: str) -> list:
    for member_id in removed:
        by_id.pop(member_id, None)
    for member in changed:
        by_id[getattr(member, id_field)] = member
    return list(by_id.values())
