"""The context that all roles of a process share."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from tarragonhall_decisions import ClientRoomLimits, peer_room_limits_for
from tarragonhall_model import EntryRecord

from tarragonhall_wire._clock import elapsed_seconds
from tarragonhall_wire._handshake import Peer
from tarragonhall_wire._hub import Hub
from tarragonhall_wire._inbound import Inbound
from tarragonhall_wire._metrics import Metrics
from tarragonhall_wire._timeline import HybridClock, Timeline
from tarragonhall_wire._traffic import Traffic


@dataclass(slots=True)
class ProcessContext:
    """The links, clients, metrics, timeline and clocks of one process.

    `seed_addresses` are the link addresses of control members from the settings,
    `control_addresses` those currently known. `started_at` is the start of this process by
    `monotonic`: any earlier process at `link_address` had ended by then. `monotonic` counts the
    time for which the machine is suspended.
    """

    instance: str
    incarnation: str
    availability_zone: str
    link_address: str
    control_addresses: list[str]
    hub: Hub
    metrics: Metrics
    timeline: Timeline
    rng: random.Random
    seed_addresses: list[str] = field(default_factory=list)
    monotonic: Callable[[], float] = elapsed_seconds
    wall_ms: Callable[[], int] = lambda: int(time.time() * 1000)
    started_at: float = field(default_factory=elapsed_seconds)
    inbound: Inbound = field(default_factory=Inbound)

    def entry_record(self) -> EntryRecord:
        """Return the record by which an entry in this process announces itself."""
        return EntryRecord(
            self.instance, self.incarnation, self.link_address, self.availability_zone
        )


class Role(Protocol):
    """The interface through which the daemon runs a role of a process."""

    def ready(self) -> bool:
        """Return whether the role can serve requests now."""

    def drain(self, timeout_s: float) -> bool:
        """Reject new work and finish work in flight; return whether all of it ended in time."""

    def stop(self) -> None:
        """Release all resources at once."""


def make_context(
    instance: str,
    availability_zone: str,
    link_address: str,
    control_addresses: list[str],
    secret: bytes,
    metrics: Metrics,
    started_at: float | None = None,
    client_limits: ClientRoomLimits | None = None,
    peer_limits: ClientRoomLimits | None = None,
) -> ProcessContext:
    """Return the context of a new incarnation of this process, with its listener open.

    `started_at` is the start of the process and defaults to now. `client_limits` bound what all
    clients of the process take, `peer_limits` what peers take until they are authenticated.
    """
    incarnation = secrets.token_hex(8)
    rng = random.Random(secrets.randbits(64))
    timeline = Timeline(HybridClock(instance))
    local_peer = Peer(instance, incarnation, link_address, availability_zone)
    traffic = Traffic(availability_zone, metrics.exposition)
    inbound = Inbound(client_limits, metrics)
    handshakes = Inbound(peer_limits or peer_room_limits_for(0), metrics, name="handshakes")
    hub = Hub(local_peer, secret, timeline, rng, traffic, handshakes)
    hub.problems.watch("clients", inbound.problem)
    hub.problems.watch("handshakes", handshakes.problem)
    hub.listen(link_address)
    return ProcessContext(
        instance=instance,
        incarnation=incarnation,
        availability_zone=availability_zone,
        link_address=link_address,
        control_addresses=list(control_addresses),
        hub=hub,
        metrics=metrics,
        timeline=timeline,
        rng=rng,
        seed_addresses=list(control_addresses),
        started_at=elapsed_seconds() if started_at is None else started_at,
        inbound=inbound,
    )
