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
class WayCost:
    """What the way of a call to another availability zone costs, in milliseconds of waiting.

    `base_ms` is the round trip and the price of a small call, by default as much as reading 500
    prompt tokens again. A call that leaves a zone with servers of its own adds `ms_per_kb` for each
    1,000 bytes that it sends, up to `max_ms` in all.
    """

    base_ms: float = 15.0
    ms_per_kb: float = 3.0
    max_ms: float = 150.0

    def of_call_ms(self, size: int) -> float:
        """Return the cost of a call of `size` bytes that leaves a zone with servers of its own."""
        return min(self.max_ms, self.base_ms + self.ms_per_kb * size / 1000)


@dataclass(slots=True, frozen=True)
class Features:
    """Which parts are on.

    `urgent_first`: calls wait and programs start by urgency and remaining time, over all entries.
    `engine_memory`: calls go where the engine's memory holds them until their end, and entries
    agree on more servers for a prompt part or object that many calls share.
    `capacity`: entries take parts of the slots of uneven services by their cores.
    `way`: what calls between availability zones cost, for the choice of servers.
    """

    urgent_first: bool = False
    engine_memory: bool = False
    capacity: EntryCapacity = EntryCapacity()
    way: WayCost = WayCost()
