"""Parts of the relay that a deployment's settings switch on; all are off by default.

Parts that a route or a service asks for by itself, such as resumable streams, have their switch in
the relay document.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EntryCapacity:
    """What the machine of an entry offers to it.

    `cores` is the processor share, `memory_mb` and `descriptors` are limits of the process, and
    `link_mbps` is the bandwidth. 0 means unknown.
    """

    cores: float = 0.0
    memory_mb: int = 0
    descriptors: int = 0
    link_mbps: float = 0.0


@dataclass(slots=True, frozen=True)
class Features:
    """Which parts are on.

    `urgent_first`: calls wait and programs start by urgency and remaining time, over all entries.
    `engine_memory`: calls go where the engine's memory holds them until their end, and entries
    agree on more servers for a prompt part or object that many calls share.
    """

    urgent_first: bool = False
    engine_memory: bool = False
    capacity: EntryCapacity = EntryCapacity()
