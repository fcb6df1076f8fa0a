"""What operators decide about calls that are passed on as they are: routes, services, callers.

Operators publish one numbered document with all of it. The log keeps the document in the form in
which it was sent, so that reading it back gives what was sent; each process that needs the content
decodes it into a `RelayConfig`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tarragonhall_model._codec import record
from tarragonhall_model._policy import Rate


class CallType(enum.Enum):
    """What may be repeated. Only idempotent calls may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its share of a route's calls, against the sum of all weights."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Where calls to one host and path prefix go.

    `priority` is a rank, 0 first. A route with `retained` keeps what was said: its calls are turns
    and may continue earlier ones for `retention_s`. `max_attempts` bounds on how many backend
    servers one call may run. Calls run in `home_regions` alone, where any are named.
    """

    name: str
    host: str
    path_prefix: str
    call_type: CallType
    services: tuple[WeightedService, ...]
    timeout_ms: int
    objective_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    retained: bool = False
    retention_s: float = 0.0
    anonymous: bool = False
    affinity: bool = False
    resumable: bool = False
    gap_objective_ms: int = 0
    home_regions: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class EngineProfile:
    """What is known of a service's model engines beforehand.

    `slots` requests run at once in `cache_tokens` of memory; each event of a stream holds
    `tokens_per_event`.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


@dataclass(slots=True, frozen=True)
class Service:
    """A group of like backend servers; `engine` is set for model engines.

    A server that has just started bears `cold_calls_per_s` while it warms up; 0 means any number.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    cold_calls_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(slots=True, frozen=True)
class RelayOrganisation:
    """An organisation, its caller keys and its rate; no rate means no limit.

    Its calls run in `home_regions` alone, where any are named; a route's bind as well.
    """

    org_id: str
    keys: tuple[str, ...]
    priority: int = 0
    rate: Rate | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class RelayConfig:
    """Everything in force for passed-on calls. Without `organisations` no call needs a key."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits = ClientLimits()
    organisations: tuple[RelayOrganisation, ...] | None = None


@record
class RelayDocument:
    """A numbered document as operators sent it, compressed; the highest version is in force."""

    version: int
    compressed: bytes


@record
class PublishRelay:
    """Put a document in force unless one of the same or a higher version is held.

    Result: `RelayPublished`. Repeating it is harmless.
    """

    document: RelayDocument


@record
class RelayPublished:
    """The version in force after the command."""

    version: int


@record
class QueryRelay:
    """Ask for the document in force. Reply: `RelayHeld` or `NotLeader`; linearizable."""


@record
class RelayHeld:
    """The document in force; None before the first."""

    document: RelayDocument | None = None


@record
class BackendRecord:
    """A backend server of the relay as it announced itself.

    `born_ms` (wall clock of its start) and `sequence` order what it says: a restart under the same
    id counts its sequence anew. `warmup_ms` is how much longer it stays slow after its start.
    `gone` says that it left for good; `heard` is false once its heartbeats have stopped.
    """

    server_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    born_ms: int
    sequence: int
    draining: bool = False
    warmup_ms: int = 0
    gone: bool = False
    heard: bool = True


@record
class FollowBackends:
    """Ask a control member for all backend servers it hears, and for changes from now on.

    Reply: `BackendsKnown`. Asked again about once a second; `version` is that of the last reply or
    news, and the reply is empty where nothing has changed since.
    """

    version: int = -1


@record
class BackendsKnown:
    """All backend servers that a control member hears, or none where `version` is unchanged."""

    version: int
    complete: bool
    records: list[BackendRecord] = field(default_factory=list)


@record
class BackendsChanged:
    """Some backend servers changed at a control member, after the version `base`."""

    version: int
    records: list[BackendRecord]
    base: int = -1


@record
class AdoptBackend:
    """A control member heard a change of a backend server; the others tell their followers."""

    record: BackendRecord


@record
class BackendAdopted:
    """The change of a backend server has reached the receiver."""


@record
class RetireStore:
    """Empty a store member: it leaves the group of stores for good. Result: `StoreRetiring` or
    `Refusal`.
    """

    store_id: str
    keep: int


@record
class QueryRetired:
    """Ask how far the retirement of a store member is. Reply: `StoreRetiring`, `Refusal`,
    `NotLeader`.
    """

    store_id: str


@record
class StoreRetiring:
    """`done` says that the store member holds nothing any more that the others lack."""

    done: bool


@record
class ConfirmRetired:
    """The group of stores goes on without this member."""

    store_id: str


@record
class FoundStores:
    """Decide, once and for all, which store members found their group. Result: `Recorded`."""

    store_ids: list[str]


@record
class ServerSigns:
    """What calls show of backend servers besides their number, by server.

    `silent_by_server` are the calls that should have had an answer, `answered_by_server` those that
    were answered within the last second.
    """

    silent_by_server: dict[str, int] = field(default_factory=dict)
    answered_by_server: dict[str, int] = field(default_factory=dict)


@record
class EntryLoad:
    """An entry tells the others how many calls it has running on each backend server."""

    entry_id: str
    running_by_server: dict[str, int]
    signs: ServerSigns = ServerSigns()


@record
class ProgramSpent:
    """An entry tells those of its zone what a program that was refused for its budget has used."""

    org_id: str
    program_id: str
    spent: int
    retention_ms: int


@record
class ZoneLoad:
    """A collector tells those of other zones what the entries of its zone have running in sum."""

    availability_zone: str
    entries: int
    running_by_server: dict[str, int]
    signs: ServerSigns = ServerSigns()


@record
class LoadElsewhere:
    """A collector tells an entry how many others there are and what they have running in sum."""

    entries: int
    running_by_server: dict[str, int]
    signs: ServerSigns = ServerSigns()


@record
class SuspectCall:
    """An entry tells the others that a run of a request broke off without an answer."""

    fingerprint: str
