"""The tiers of waiting calls, from which `ServiceQueue` takes the lowest first.

Load patterns:
- `Tier`: all callers want the same. Calls of programs that have started go first, so that these end
  in time, and then the operators' priorities count.
- `UrgentTier`: a crowd of the least urgent kind fills the servers. Each of its later turns would go
  before the first turn of the most urgent program, so urgency counts first. Within an urgency, a
  program that will be late in any case yields to those that can still end in time, and one that has
  had many more turns than usual yields to both.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Tier:
    """Calls of a lower tier go first.

    `begins` is true for the first call of a program; `urgency` is the operators' priority.
    """

    begins: bool
    urgency: int


class Prospect(enum.IntEnum):
    """Whether a program is expected to end in time."""

    IN_TIME = 0
    LATE = 1
    ENDLESS = 2


@dataclass(slots=True, frozen=True, order=True)
class UrgentTier:
    """Calls of a lower tier go first: by urgency, then by their program's prospect."""

    urgency: int
    prospect: Prospect
    begins: bool
