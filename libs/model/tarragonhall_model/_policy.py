"""What is in force: the resolved settings that entries and sidecars act on."""

from __future__ import annotations

import enum
from dataclasses import field

from tarragonhall_model._calls import Budget
from tarragonhall_model._codec import record


@record
class Rate:
    """Calls a second and burst of one organisation over all entries together."""

    per_second: float = 10.0
    burst: float = 20.0


@record
class OrganisationPolicy:
    """All that is in force for one organisation, with inheritance already resolved."""

    org_id: str
    path: str
    rate: Rate = Rate()
    weight: float = 1.0
    budget: Budget = Budget()
    idle_seconds: int = 600
    enabled: bool = True


@record
class KeyPolicy:
    """One caller key, by its hash. Absent or withdrawn keys are refused."""

    key_hash: str
    org_id: str
    expires_at_ms: int | None = None


@record
class ModelPolicy:
    """One model and the version in force for it."""

    name: str
    version: str
    min_replicas: int = 1
    max_tokens: int = 4_096


@record
class PolicyDelta:
    """Changes that lead from one settings revision to another.

    With `full` set, the lists hold everything and replace what the receiver had; `base` is then
    ignored. Removed entries are named by id, hash or model name. With `models_only`, organisations
    and keys were left out, for a receiver that admits nobody.
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
    """What a backend server is: a model engine or a plain service."""

    MODEL = "model"
    SERVICE = "service"


@record
class ServerRecord:
    """A backend server as its sidecar announced it. `serves` names models or services.

    `loaded` maps what the engine itself says it has loaded to the version; services leave it empty.
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
    """An entry process as it announced itself; `address` is where its peers' links reach it."""

    entry_id: str
    incarnation: str
    address: str
    availability_zone: str


@record
class StoreRecord:
    """A store member as it announced itself; `address` is where links reach it.

    `fresh` says that its data folder was empty when it started for the first time together with
    the whole deployment: only such members may found the group.
    """

    store_id: str
    incarnation: str
    address: str
    availability_zone: str
    fresh: bool = False


@record
class View:
    """The members of the system in one epoch. Each change of membership raises the epoch by one.

    `changed_at_ms` is the leader's clock when this epoch was committed; it is for display only.
    `entries_version` grows by one with each change of the entries alone: a process that missed
    views can tell whether it also missed a change of the entries. `store_founders` are the store
    members that found their group, decided once; `retiring_stores` must leave it for good.

    `evacuated_zones` are the availability zones whose backend servers must get no calls.

    `owners_version` grows with each change of which entries there are or where they listen, so of
    which one owns an organisation's rate; a new life of an entry at its old address owns what the
    earlier one did. Every owner by a choice before `settled_version` has stopped.
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
