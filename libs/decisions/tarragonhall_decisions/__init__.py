"""Decisions under load. Each module stands alone: time and random come in, decisions go out."""

from __future__ import annotations

from tarragonhall_decisions._backend_choice import BackendChooser, CallNeed, PromptPart
from tarragonhall_decisions._bucket import SLICE_VALID_S, Bucket
from tarragonhall_decisions._cache import HeldPrefix, should_move, to_release
from tarragonhall_decisions._crash_suspects import CrashSuspects
from tarragonhall_decisions._deadlines import (
    Deadline,
    RunTimes,
    bounded_retry_ms,
    can_meet,
    deadline_refusal,
)
from tarragonhall_decisions._drain import DrainPhase, EntryDrain
from tarragonhall_decisions._fair_queue import Dropped, FairQueue, QueuedCall
from tarragonhall_decisions._load_digest import LoadDigest, LoadTo
from tarragonhall_decisions._model_orders import (
    LOADS_AT_ONCE,
    EngineState,
    LoadOrder,
    ModelDemand,
    ModelOrders,
)
from tarragonhall_decisions._place_queue import PlaceQueue, Tier
from tarragonhall_decisions._quarantine import Quarantine, charged_by_crash
from tarragonhall_decisions._rate import LEASE_S, OWNERSHIP_S, Ask, RateLimiter, RateOutput, Tell
from tarragonhall_decisions._rate_holder import Admitted, RateRefused
from tarragonhall_decisions._rate_reserve import RateReserve, RateSlack
from tarragonhall_decisions._rate_shares import RateShares, share_ids
from tarragonhall_decisions._registry import BackendTable, Registry
from tarragonhall_decisions._retry import (
    Failure,
    GiveUp,
    LinkLost,
    Proof,
    RetryBudget,
    TryAgain,
    after_failure,
    backoff_s,
    proof_of,
)
from tarragonhall_decisions._routing import Need, RouteChoice, Router, subset
from tarragonhall_decisions._store_founding import LossesBorne, StoreFounding
from tarragonhall_decisions._urgency import urgency_of

__all__ = [
    "CrashSuspects",
    "urgency_of",
    "LEASE_S",
    "LOADS_AT_ONCE",
    "OWNERSHIP_S",
    "RateReserve",
    "RateShares",
    "RateSlack",
    "BackendChooser",
    "CallNeed",
    "PromptPart",
    "BackendTable",
    "Registry",
    "LoadDigest",
    "LoadTo",
    "LossesBorne",
    "StoreFounding",
    "Admitted",
    "Ask",
    "Bucket",
    "Deadline",
    "DrainPhase",
    "Dropped",
    "EngineState",
    "EntryDrain",
    "Failure",
    "FairQueue",
    "PlaceQueue",
    "Tier",
    "GiveUp",
    "HeldPrefix",
    "LinkLost",
    "LoadOrder",
    "ModelDemand",
    "ModelOrders",
    "Need",
    "Proof",
    "Quarantine",
    "QueuedCall",
    "RateLimiter",
    "RateOutput",
    "RateRefused",
    "RetryBudget",
    "RouteChoice",
    "Router",
    "RunTimes",
    "SLICE_VALID_S",
    "Tell",
    "TryAgain",
    "after_failure",
    "backoff_s",
    "bounded_retry_ms",
    "can_meet",
    "charged_by_crash",
    "deadline_refusal",
    "proof_of",
    "should_move",
    "share_ids",
    "subset",
    "to_release",
]
