"""State that all calls of one entry share."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from tarragonhall_decisions import (
    BackendChooser,
    BrokenRun,
    ColdSlack,
    CrashSuspects,
    ExhaustedPrograms,
    ExpectedOutput,
    Features,
    RetryBudget,
)
from tarragonhall_model import LoadDetail, ProgramSpent
from tarragonhall_rates import Rates
from tarragonhall_wire import Metrics

from tarragonhall_relay._backend import BackendPool
from tarragonhall_relay._client_writer import WaitingBytes
from tarragonhall_relay._dialect import Dialect
from tarragonhall_relay._planned_stop import PlannedStop
from tarragonhall_relay._response_memory import ResponseMemory
from tarragonhall_relay._routes import RouteTable
from tarragonhall_relay._silence import ServerChecks
from tarragonhall_relay._slots import SlotAllocator
from tarragonhall_relay._turn_store import TurnStoreClient

if TYPE_CHECKING:
    from tarragonhall_relay._urgent_first import UrgentFirst


class LoadReporter(Protocol):
    """A part that tells the other entries about this entry's load."""

    def report_load(self, detail: LoadDetail, now: float) -> None:
        """Add to the tables of `detail`, which belong to this entry; `now` in seconds."""


@dataclass(slots=True)
class RelayState:
    """The components that a call uses.

    `table` is None until the first relay document has arrived. `is_fresh` returns whether control
    has confirmed recently that it is the latest, `config_age_s` for how many seconds control has
    not confirmed it, None before the first time. `store_zones` returns the availability zones of
    the stores. `load_reporters` are the parts that are switched on and add to the load messages,
    `uneven_reporters` those that do so while the relay document names uneven services.
    `urgent_first` is None unless it is switched on.
    """

    dialect: Dialect
    chooser: BackendChooser
    slots: SlotAllocator
    pool: BackendPool
    server_checks: ServerChecks
    waiting_bytes: WaitingBytes
    turn_store: TurnStoreClient
    rates: Rates
    crash_suspects: CrashSuspects
    report_suspect: Callable[[str, BrokenRun], None]
    report_cleared: Callable[[str], None]
    report_exhausted: Callable[[ProgramSpent], None]
    metrics: Metrics
    rng: random.Random
    monotonic: Callable[[], float]
    is_fresh: Callable[[], bool]
    availability_zone: str
    region_by_zone: Mapping[str, str]
    store_zones: Callable[[], set[str]]
    config_age_s: Callable[[], float | None] = lambda: None
    cold_slack: ColdSlack = ColdSlack()
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    exhausted_programs: ExhaustedPrograms = field(default_factory=ExhaustedPrograms)
    expected_output: ExpectedOutput = field(default_factory=ExpectedOutput)
    response_memory: ResponseMemory = field(default_factory=ResponseMemory)
    features: Features = Features()
    load_reporters: list[LoadReporter] = field(default_factory=list)
    uneven_reporters: list[LoadReporter] = field(default_factory=list)
    urgent_first: UrgentFirst | None = None
    table: RouteTable | None = None
    draining: bool = False
    planned_stop: PlannedStop = field(default_factory=PlannedStop)
    calls_in_flight: int = 0
