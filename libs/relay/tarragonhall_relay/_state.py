"""What all calls of one entry share."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from tarragonhall_decisions import (
    BackendChooser,
    ColdSlack,
    CrashSuspects,
    RetryBudget,
    SpentPrograms,
)
from tarragonhall_model import ProgramSpent
from tarragonhall_rates import Rates
from tarragonhall_wire import Metrics

from tarragonhall_relay._backend import BackendPool
from tarragonhall_relay._dialect import Dialect
from tarragonhall_relay._places import Places
from tarragonhall_relay._routes import RouteTable
from tarragonhall_relay._turns import Turns


@dataclass(slots=True)
class RelayState:
    """The parts that a call needs.

    `table` is None until the first document has arrived. `is_fresh` says whether control has
    confirmed lately that it is the newest. `store_zones` are the availability zones of the stores.
    """

    dialect: Dialect
    chooser: BackendChooser
    places: Places
    pool: BackendPool
    turns: Turns
    rates: Rates
    suspects: CrashSuspects
    tell_suspect: Callable[[str], None]
    tell_spent: Callable[[ProgramSpent], None]
    metrics: Metrics
    rng: random.Random
    monotonic: Callable[[], float]
    is_fresh: Callable[[], bool]
    availability_zone: str
    region_by_zone: Mapping[str, str]
    store_zones: Callable[[], set[str]]
    cold_slack: ColdSlack = ColdSlack()
    retries: RetryBudget = field(default_factory=RetryBudget)
    spent: SpentPrograms = field(default_factory=SpentPrograms)
    table: RouteTable | None = None
    draining: bool = False
    calls: int = 0
