"""Decisions under load, without I/O: time and randomness are passed in, decisions are returned."""

from __future__ import annotations

from tarragonhall_model import lazy_exports

_NAMES_BY_MODULE = {
    "_backend_choice": ("BackendChooser",),
    "_bucket": (
        "Bucket",
        "SLICE_VALID_S",
    ),
    "_cache": (
        "HeldPrefix",
        "should_move",
        "select_releases",
    ),
    "_call_requirements": (
        "CallRequirements",
        "PromptPart",
    ),
    "_client_room": (
        "ClientPhase",
        "ClientRoom",
        "ClientRoomLimits",
        "CONNECTION_BYTES",
        "PEER_BYTES",
        "RoomClient",
        "SMALL_REQUEST_BYTES",
        "STORE_MEMORY_FRACTION",
        "client_room_limits_for",
        "peer_room_limits_for",
    ),
    "_cold_servers": (
        "ColdServers",
        "ColdSlack",
    ),
    "_crash_suspects": ("BrokenRun", "CrashSuspects"),
    "_deadlines": (
        "Deadline",
        "RunTimes",
        "bounded_retry_ms",
        "can_meet",
        "deadline_refusal",
    ),
    "_drain": (
        "DrainPhase",
        "EntryDrain",
    ),
    "_fair_queue": (
        "Dropped",
        "FairQueue",
        "QueuedCall",
    ),
    "_features": (
        "EntryCapacity",
        "Features",
        "WayCost",
    ),
    "_home_regions": (
        "home_zones",
        "stays_in_regions",
    ),
    "_load_detail": ("is_empty",),
    "_load_digest": (
        "LoadDigest",
        "AddressedLoad",
    ),
    "_model_orders": (
        "EngineState",
        "MAX_CONCURRENT_LOADS",
        "LoadOrder",
        "ModelDemand",
        "ModelOrders",
    ),
    "_slow_readers": (
        "ReaderLimits",
        "SlowReader",
        "reader_limits_for",
        "readers_to_end",
    ),
    "_service_queue": ("ServiceQueue",),
    "_slack": ("ProgramSlack",),
    "_tiers": (
        "Prospect",
        "Tier",
        "UrgentTier",
    ),
    "_admission_level": (
        "AdmissionLevel",
        "ClassLoad",
        "ServiceLoad",
        "StartRefused",
    ),
    "_fair_parts": ("FairParts",),
    "_quarantine": (
        "Quarantine",
        "suspects_of_crash",
    ),
    "_rate": (
        "TokenRequest",
        "LEASE_S",
        "OWNERSHIP_S",
        "RateLimiter",
        "RateOutput",
        "PeerMessage",
    ),
    "_rate_holder": (
        "Admitted",
        "RateRefused",
    ),
    "_rate_reserve": (
        "RateReserve",
        "RateSlack",
    ),
    "_rate_shares": (
        "RateShares",
        "share_ids",
    ),
    "_registry": (
        "BackendTable",
        "Registry",
        "is_departure",
    ),
    "_resumption": (
        "BreakCause",
        "BrokenStream",
        "NextStep",
        "SilenceLimits",
        "after_break",
        "first_event_silence",
        "gap_silence",
    ),
    "_retry": (
        "Failure",
        "Abandon",
        "LinkLost",
        "Proof",
        "RetryBudget",
        "Retry",
        "after_failure",
        "backoff_s",
        "proof_of",
    ),
    "_routing": (
        "RoutingRequest",
        "RouteChoice",
        "Router",
        "subset",
    ),
    "_server_pace": ("ServerPaces",),
    "_uneven_choice": ("UnevenChoice",),
    "_unresponsive_servers": ("UnresponsiveServers",),
    "_engine_memory": (
        "EngineMemory",
        "MemoryChange",
    ),
    "_expected_output": ("ExpectedOutput",),
    "_entry_room": (
        "EntryRoom",
        "cores_differ",
    ),
    "_exhausted_programs": ("ExhaustedPrograms",),
    "_store_bootstrap": (
        "ToleratedLosses",
        "StoreBootstrap",
    ),
    "_urgency": (
        "admission_order",
        "kind_of",
        "urgency_of",
    ),
}

__all__ = sorted(name for names in _NAMES_BY_MODULE.values() for name in names)

__getattr__ = lazy_exports(__name__, _NAMES_BY_MODULE)
