"""Configuration and messages of relayed calls: routes, services, callers, backends and load.

Operators publish the whole configuration as one numbered document. The log stores the document as
it was sent, so that reading it back returns the same bytes; each process that needs the content
decodes it into a `RelayConfig`.
"""

from __future__ import annotations

import enum
import zlib
from dataclasses import dataclass, field

import cbor2

from tarragonhall_model._codec import encode, from_plain, record
from tarragonhall_model._errors import CodecError
from tarragonhall_model._policy import Rate

# Fast; records that repeat their field names still shrink to a tenth.
PACK_LEVEL = 1


class CallType(enum.Enum):
    """Whether a call may be repeated. Only idempotent calls may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its share of a route's calls, relative to the sum of all weights."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """The services that handle calls to one host and path prefix.

    `priority` is a rank, 0 first. A route with `retained` stores its calls as turns, which later
    calls may continue for `retention_s`. `max_attempts` limits the number of backend servers on
    which one call may run. If `home_regions` names any, calls run only there.
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
    """Configured properties of a service's model engines.

    An engine runs `slots` requests at once in a cache of `cache_tokens`; each event of a stream
    carries `tokens_per_event`.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


@dataclass(slots=True, frozen=True)
class Service:
    """A group of equivalent backend servers; `engine` is set for model engines.

    A server that has just started handles `cold_calls_per_s` while it warms up; 0 means no limit.
    `uneven` says that its servers differ in speed, so that their pace is learnt.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    cold_calls_per_s: float = 0.0
    uneven: bool = False


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Size limits of client requests, and timeouts for their headers and idle connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(slots=True, frozen=True)
class RelayOrganisation:
    """An organisation, its caller keys and its rate; no rate means no limit.

    If `home_regions` names any, its calls run only there; those of the route apply as well.
    """

    org_id: str
    keys: tuple[str, ...]
    priority: int = 0
    rate: Rate | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class RelayConfig:
    """The configuration in force for relayed calls. Without `organisations` no key is required."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits = ClientLimits()
    organisations: tuple[RelayOrganisation, ...] | None = None


@record
class RelayDocument:
    """A versioned document as operators sent it, compressed; the highest version is in force."""

    version: int
    compressed: bytes


@record
class PublishRelay:
    """Put a document in force unless the same or a higher version is stored.

    Result: `RelayPublished`. Idempotent.
    """

    document: RelayDocument


@record
class RelayPublished:
    """The version in force after the command."""

    version: int


@record
class QueryRelay:
    """Query the document in force. Reply: `RelayHeld` or `NotLeader`. The read is linearizable."""


@record
class RelayHeld:
    """The document in force; None before the first."""

    document: RelayDocument | None = None


@record
class BackendRecord:
    """A backend server of the relay as it announced itself.

    `born_ms` (wall clock of its start) and `sequence` order its announcements: after a restart
    under the same id the sequence starts anew. `warmup_ms` is how much longer its warm-up lasts.
    `gone` means that it left permanently; `heard` is false once its heartbeats have stopped.
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
class RecordDepartures:
    """Store that incarnations of backend servers left or began to drain.

    Result: `Recorded`. Idempotent.
    """

    backends: list[BackendRecord]


@record
class FollowBackends:
    """Subscribe to the backend servers known to a control member.

    Reply: `BackendsKnown`; changes follow as `BackendsChanged`. Repeated about once a second;
    `version` is that of the last reply or notification, and the reply is empty if nothing has
    changed since. `takes_changes` is false for an earlier version, which needs the whole table.
    """

    version: int = -1
    takes_changes: bool = False


@record
class BackendsKnown:
    """The backend servers known to a control member.

    All of them if `complete`, else those that changed since the version in the request. Many are in
    `packed` in place of `records`; `unpacked` returns them in both cases.
    """

    version: int
    complete: bool
    records: list[BackendRecord] = field(default_factory=list)
    packed: bytes = b""

    def unpacked(self) -> list[BackendRecord]:
        """Return the records; raise `CodecError` if the packed ones cannot be read."""
        return unpack_records(self.packed) if self.packed else self.records


def pack_records(records: list[BackendRecord]) -> bytes:
    """Encode and compress many records.

    Thousands of records in the send queues of hundreds of links would fill a member's memory.
    """
    return zlib.compress(encode(records), PACK_LEVEL)


def unpack_records(packed: bytes) -> list[BackendRecord]:
    """Return the records of `pack_records`; raise `CodecError` for anything else."""
    try:
        plain = cbor2.loads(zlib.decompress(packed))
    except (
        zlib.error,
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        EOFError,
        RecursionError,
    ) as error:
        raise CodecError(f"not packed records: {error}") from error
    if not isinstance(plain, list):
        raise CodecError("expected a list of packed records")
    return [from_plain(one) for one in plain]


@record
class BackendsChanged:
    """Notification of backend servers that changed at a control member after version `base`."""

    version: int
    records: list[BackendRecord]
    base: int = -1


@record
class AdoptBackend:
    """A control member reports changed backend servers; the others notify their followers.

    A member of an earlier version ignores `more`; entries hear of those from the other members.
    """

    record: BackendRecord
    more: list[BackendRecord] = field(default_factory=list)


@record
class BackendAdopted:
    """The receiver has recorded the changes of backend servers.

    `stored` says that it committed the departures among them to the replicated log.
    """

    stored: bool = False


@record
class RetireStore:
    """Retire a store member: it leaves the store group permanently, if `keep` others remain.

    Result: `StoreRetiring` or `Refusal`.
    """

    store_id: str
    keep: int


@record
class QueryRetired:
    """Query the progress of a store member's retirement. Reply: `StoreRetiring`, `Refusal` or
    `NotLeader`.
    """

    store_id: str


@record
class StoreRetiring:
    """`done` means that the store member holds no data that the other members lack."""

    done: bool


@record
class ConfirmRetired:
    """The store group no longer includes this member."""

    store_id: str


@record
class FoundStores:
    """Set, once only, the store members that bootstrap their group. Result: `Recorded`."""

    store_ids: list[str]
