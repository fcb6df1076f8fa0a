"""Settings of the entry role."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import Address, Group, Integer


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """`listen` is the address for callers, behind the platform's load balancer."""

    listen: str
    queue_per_organisation: int
    drain_grace_ms: int


OPTIONS = Group(
    EntrySettings,
    {
        "listen": Address(),
        "queue_per_organisation": Integer(1_000, minimum=1),
        # Time for the load balancer to see that `readyz` fails before the listener closes.
        "drain_grace_ms": Integer(2_000),
    },
)
