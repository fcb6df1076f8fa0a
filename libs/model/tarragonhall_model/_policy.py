"""Resolved settings that entries and sidecars apply, and the view of the system's members."""

from __future__ import annotations

import enum
from dataclasses import field

from tarragonhall_model._calls import Budget
from tarragonhall_model._codec import record


@record
class Rate:
    """Calls per second and burst of one organisation over all entries together."""

    per_second: float = 10.0
    burst: float = 20.0


@record
class OrganisationPolicy:
    """The effective settings of one organisation, with inheritance already resolved."""

    org_id: str
    path: str
    rate: Rate = Rate()
    weight: float = 1.0
    budget: Budget = Budget()
    idle_seconds: int = 600
    enabled: bool = True


@record
class KeyPolicy:
    """One caller key, by its hash. Unknown or revoked keys are rejected."""

    key_hash: str
    org_id: str
    expires_at_ms: int | None = None


@record
class ModelPolicy:
    """One model and its version in force."""

    name: str
    version: str
    min_replicas: int = 1
    max_tokens: int = 4_096


@record
class PolicyDelta:
    """Changes between two settings revisions.

    With `full` set, the lists are complete and replace those of the receiver; `base` is then
    ignored. Removed items are identified by id, hash or model name. With `models_only`,
    organisations and keys are omitted, for a receiver that authenticates no callers.
    """

    base: int
    revision: int
    full: bool = False
    organisations: tuple[OrganisationPolicy, ...] = ()
    keys: tuple[KeyPolicy, ...] = ()
    models: tuple[ModelPolicy, ...] = ()
    removed_organisations: tuple[str, ...] = ()
    removed_keys: tuple[str, ...] = ()
    removed_models: tuple[str, ...] = ()
    models_only: bool = False


class ServerKind(enum.Enum):
    """Whether a backend server is a model engine or a plain service."""

    MODEL = "model"
    SERVICE = "service"


@record
class ServerRecord:
    """A backend server as announced by its sidecar. `serves` names models or services.

    `loaded` maps the models that the engine reports as loaded to their versions; it is empty for
    services.
    """

    server_id: str
    incarnation: str
    address: str
    availability_zone: str
    kind: ServerKind
    serves: list[str]
    slots: int = 8
    draining: bool = False
    loaded: dict[str, str] = field(default_factory=dict)


@record
class EntryRecord:
    """An entry process as it announced itself; `address` is its link address."""

    entry_id: str
    incarnation: str
    address: str
    availability_zone: str


@record
class StoreRecord:
    """A store member as it announced itself; `address` is its link address.

    `fresh` means that its data folder was empty at the first start of the whole deployment: only
    such members may bootstrap the group.
    """

    store_id: str
    incarnation: str
    address: str
    availability_zone: str
    fresh: bool = False


@record
class View:
    """The members of the system in one epoch. Each membership change increments the epoch.

    `changed_at_ms` is the leader's clock when this epoch was committed, for display only.
    `entries_version` is incremented by changes of the entries alone, so that a process that missed
    views can detect whether it also missed a change of the entries. `store_founders` are the store
    members that bootstrap their group, decided once; `retiring_stores` must leave it permanently.

    `evacuated_zones` are the availability zones whose backend servers must get no calls.

    `owners_version` increases when the set of entries or one of their addresses changes, and with
    it possibly the owner of an organisation's rate; a new incarnation of an entry at its old
    address owns the same rates. All owners chosen before `settled_version` have stopped.
    """

    epoch: int
    entries: list[EntryRecord]
    servers: list[ServerRecord]
    changed_at_ms: int = 0
    entries_version: int = 0
    stores: list[StoreRecord] = field(default_factory=list)
    store_founders: list[str] = field(default_factory=list)
    retiring_stores: list[str] = field(default_factory=list)
    owners_version: int = 0
    settled_version: int = 0
    evacuated_zones: list[str] = field(default_factory=list)
