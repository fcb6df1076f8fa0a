"""Decisions under load, without I/O: time and randomness are passed in, decisions are returned."""

from __future__ import annotations

from tarragonhall_model import lazy_exports

_NAMES_BY_MODULE = {
    "_backend_choice": (
        "BackendChooser",
        "CallNeed",
        "PromptPart",
    ),
    "_bucket": (
        "Bucket",
        "SLICE_VALID_S",
    ),
    "_cache": (
        "HeldPrefix",
        "should_move",
        "select_releases",
    ),
    "_cold_servers": (
        "ColdServers",
        "ColdSlack",
    ),
    "_crash_suspects": ("CrashSuspects",),
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
    "_home_regions": (
        "home_zones",
        "stays_home",
    ),
    "_load_digest": (
        "LoadDigest",
        "LoadTo",
    ),
    "_model_orders": (
        "EngineState",
        "LOADS_AT_ONCE",
        "LoadOrder",
        "ModelDemand",
        "ModelOrders",
    ),
    "_place_queue": (
        "PlaceQueue",
        "Tier",
    ),
    "_quarantine": (
        "Quarantine",
        "charged_by_crash",
    ),
    "_rate": (
        "Ask",
        "LEASE_S",
        "OWNERSHIP_S",
        "RateLimiter",
        "RateOutput",
        "Tell",
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
    ),
    "_retry": (
        "Failure",
        "GiveUp",
        "LinkLost",
        "Proof",
        "RetryBudget",
        "TryAgain",
        "after_failure",
        "backoff_s",
        "proof_of",
    ),
    "_routing": (
        "Need",
        "RouteChoice",
        "Router",
        "subset",
    ),
    "_silent_servers": ("SilentServers",),
    "_spent_programs": ("SpentPrograms",),
    "_store_founding": (
        "LossesBorne",
        "StoreFounding",
    ),
    "_urgency": ("urgency_of",),
}

__all__ = sorted(name for names in _NAMES_BY_MODULE.values() for name in names)

__getattr__ = lazy_exports(__name__, _NAMES_BY_MODULE)
