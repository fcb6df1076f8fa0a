"""One member of a replicated group: its log loop, its links to the peers, joining and repair."""

from __future__ import annotations

from tarragonhall_group._first_start import (
    forget_first_start,
    record_first_start,
    recorded_first_start,
)
from tarragonhall_group._join import Joiner, JoinGroup, JoinHeard
from tarragonhall_group._loop import (
    BUSY_RETRY_MS,
    LogLoop,
    LoopBusyError,
    LoopHooks,
    OutcomeUnknownError,
)
from tarragonhall_group._member import PROPOSE_TIMEOUT_SECONDS, GroupHooks, GroupMember
from tarragonhall_group._messages import LogMessage
from tarragonhall_group._repair import (
    MemberRepair,
    RepairLimits,
    limits_for_tolerated_losses,
    minimal_limits_for_losses,
)

__all__ = [
    "BUSY_RETRY_MS",
    "GroupHooks",
    "GroupMember",
    "JoinGroup",
    "JoinHeard",
    "Joiner",
    "LogLoop",
    "LogMessage",
    "LoopBusyError",
    "LoopHooks",
    "MemberRepair",
    "OutcomeUnknownError",
    "PROPOSE_TIMEOUT_SECONDS",
    "RepairLimits",
    "forget_first_start",
    "limits_for_tolerated_losses",
    "minimal_limits_for_losses",
    "record_first_start",
    "recorded_first_start",
]
