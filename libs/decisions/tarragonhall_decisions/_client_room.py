"""Which clients are evicted when the connections of all of them take too much of a process.

Load pattern: hundreds of clients open connections and send nothing, or send bodies that stop just
short of their end, and some send as fast as they are read. Memory or descriptors run out, and with
the process end the calls of all others.

Stalled clients are evicted before those that make progress: idle connections on which nothing was
ever received, and requests of which nothing arrives, those that have been stalled for longest
first. Among requests that make progress, one of the group that holds most is evicted, the slowest
first. A request that has arrived whole is never evicted, since it may run; so the running requests
of one group may take no more than they leave for all others. A new request that finds no room after
that is refused at once. Part of the memory is kept for small requests, so that they are served
while large ones fill the rest.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

# What a connection takes besides the bytes that it holds: its green thread, socket and buffers.
CONNECTION_BYTES = 16 * 1024
# Ordinary requests; larger ones find no room in the reserved part of the memory.
SMALL_REQUEST_BYTES = 64 * 1024
# Part of the memory that requests over `SMALL_REQUEST_BYTES` may use, and all others with them.
LARGE_FRACTION = 0.75
# Without a byte for so long, a client is stalled. An ordinary request arrives within a few round
# trips, and is evicted only while there is no room.
STALLED_S = 1.0
# The same while there are no connections for new clients, and nobody is stalled for longer.
PAUSED_S = 0.1
# Part of a machine's memory for the requests of clients, and for those of a process that only
# probes and other processes call. Responses of servers and the process itself need the rest.
MEMORY_FRACTION = 0.2
STORE_MEMORY_FRACTION = 0.1
# Part of it that one body may take while it is parsed, which takes no turns with other bodies.
PARSED_FRACTION = 0.3
# Part of a machine's descriptors for the connections of clients, and for peers whose handshake is
# under way. Links, servers and files need the rest.
DESCRIPTOR_FRACTION = 0.6
PEER_DESCRIPTOR_FRACTION = 0.1
# For machines whose memory or descriptors are not known.
DEFAULT_TOTAL_BYTES = 32 * 1024 * 1024
DEFAULT_PARSED_BYTES = 64 * 1024 * 1024
DEFAULT_CONNECTIONS = 2_048
DEFAULT_PEERS = 400
# What a peer may send before it is authenticated.
PEER_BYTES = 4 * 1024
# Part of the connections that one search for clients to evict may free, since it looks at all.
BATCH_FRACTION = 1 / 64


class ClientPhase(enum.Enum):
    """What a client's connection is at.

    Between requests; while one arrives; while it runs; while its response is written by a server
    that keeps no account of slow readers.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    WRITING = "writing"


@dataclass(slots=True, frozen=True)
class ClientRoomLimits:
    """Bounds on what the clients of a process take.

    All together may hold `total_bytes` and have `connections`. One body may take `parsed_bytes`
    while it is parsed.
    """

    total_bytes: int = DEFAULT_TOTAL_BYTES
    connections: int = DEFAULT_CONNECTIONS
    parsed_bytes: int = DEFAULT_PARSED_BYTES

    @property
    def large_bytes(self) -> int:
        """Return the memory in which a request of more than `SMALL_REQUEST_BYTES` must find room.

        All that is held counts, small requests and connections too.
        """
        return int(self.total_bytes * LARGE_FRACTION)


class RoomClient:
    """One connection of a client: what it holds, and since when it has made no progress.

    `group` shares with all clients of the same organisation or address. `moved_bytes` of the
    current request or response have arrived or left since `since`. Times are monotonic seconds.
    """

    __slots__ = (
        "group",
        "held_bytes",
        "is_served",
        "moved_at",
        "moved_bytes",
        "phase",
        "since",
    )

    def __init__(self, group: str, now: float) -> None:
        self.group = group
        self.phase = ClientPhase.IDLE
        self.held_bytes = CONNECTION_BYTES
        # Whether a request on this connection was answered before.
        self.is_served = False
        self.since = self.moved_at = now
        self.moved_bytes = 0

    def stalled_for_s(self, now: float) -> float:
        """Return for how many seconds nothing was sent or taken."""
        return now - self.moved_at

    def pace(self, now: float) -> float:
        """Return the bytes a second that have moved since the request or response began."""
        return self.moved_bytes / max(now - self.since, STALLED_S)


class ClientRoom:
    """The connections of all clients of a process, and what they hold in bytes."""

    __slots__ = (
        "_idle_served",
        "_idle_unserved",
        "_moving",
        "_running",
        "_running_bytes",
        "held_bytes",
        "limits",
    )

    def __init__(self, limits: ClientRoomLimits) -> None:
        self.limits = limits
        self.held_bytes = self._running_bytes = 0
        # Insertion order is the order in which they became idle.
        self._idle_unserved: dict[RoomClient, None] = {}
        self._idle_served: dict[RoomClient, None] = {}
        self._moving: dict[RoomClient, None] = {}
        self._running: dict[RoomClient, None] = {}

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return sum(len(clients) for clients in self._all())

    def open(self, client: RoomClient, now: float) -> list[RoomClient]:
        """Add a connection; return those to evict for it, or itself if there is no room."""
        self._clients_in(client)[client] = None
        self.held_bytes += client.held_bytes
        if self.connections > self.limits.connections:
            return self._make_connections(client, now)
        return self._make_room(client, now)

    def close(self, client: RoomClient) -> None:
        """Remove a connection and all that it holds."""
        clients = self._clients_in(client)
        if client in clients:
            del clients[client]
            self.held_bytes -= client.held_bytes
            if client.phase is ClientPhase.RUNNING:
                self._running_bytes -= client.held_bytes

    def enter(self, client: RoomClient, phase: ClientPhase, now: float) -> None:
        """Note that a connection is at another phase from now on."""
        del self._clients_in(client)[client]
        if client.phase is ClientPhase.RUNNING:
            self._running_bytes -= client.held_bytes
        if phase is ClientPhase.RUNNING:
            self._running_bytes += client.held_bytes
        if phase is ClientPhase.IDLE:
            client.is_served = True
        client.phase = phase
        client.since = client.moved_at = now
        client.moved_bytes = 0
        self._clients_in(client)[client] = None

    def move(self, client: RoomClient, size: int, now: float) -> None:
        """Note that bytes of a request have arrived, or that a client took some of a response."""
        client.moved_at = now
        client.moved_bytes += size

    def hold(self, client: RoomClient, size: int, now: float) -> list[RoomClient]:
        """Set the bytes that a client holds besides its connection.

        Returns the clients to evict for it, or itself if there is no room.
        """
        grown = CONNECTION_BYTES + size - client.held_bytes
        client.held_bytes += grown
        self.held_bytes += grown
        if client.phase is ClientPhase.RUNNING:
            self._running_bytes += grown
        return self._make_room(client, now) if grown > 0 else []

    def may_run(self, client: RoomClient) -> bool:
        """Return whether a request that has arrived whole leaves enough room for other groups.

        The running requests of its group may take as many connections and as much memory as all
        running requests leave free. The only one of its group always may run.
        """
        limits = self.limits
        free_connections = limits.connections - len(self._running)
        free_bytes = limits.total_bytes - self._running_bytes
        if len(self._running) <= free_connections and self._running_bytes <= free_bytes:
            return True
        group = [one for one in self._running if one.group == client.group]
        if len(group) <= 1:
            return True
        group_bytes = sum(one.held_bytes for one in group)
        return len(group) <= free_connections and group_bytes <= free_bytes

    def _all(self) -> tuple[dict[RoomClient, None], ...]:
        return self._idle_unserved, self._idle_served, self._moving, self._running

    def _clients_in(self, client: RoomClient) -> dict[RoomClient, None]:
        match client.phase:
            case ClientPhase.IDLE:
                return self._idle_served if client.is_served else self._idle_unserved
            case ClientPhase.RUNNING:
                return self._running
        return self._moving

    def _make_connections(self, newcomer: RoomClient, now: float) -> list[RoomClient]:
        """Return the clients to evict so that there are not too many connections."""
        excess = self.connections - self.limits.connections
        batch = max(excess, int(self.limits.connections * BATCH_FRACTION))
        idle = [one for one in self._first(self._idle_unserved, excess) if one is not newcomer]
        if len(idle) >= excess:
            return idle
        stalled = list(self._stalled(newcomer, now))[: batch - len(idle)]
        found = idle + stalled
        if len(found) < excess:
            found += self._first(self._idle_served, excess - len(found))
        if len(found) < excess:
            found += self._slowest(newcomer, found, now)[: batch - len(found)]
        return found if len(found) >= excess else [newcomer]

    def _slowest(
        self, newcomer: RoomClient, found: list[RoomClient], now: float
    ) -> list[RoomClient]:
        """Return the slowest requests first, then those that pause."""
        taken = {newcomer, *found}
        left = [one for one in self._moving if one not in taken]
        slow = [one for one in left if now - one.since >= STALLED_S]
        slow.sort(key=lambda one: one.pace(now))
        paused = [
            one
            for one in left
            if now - one.since < STALLED_S and one.stalled_for_s(now) >= PAUSED_S
        ]
        paused.sort(key=lambda one: one.moved_at)
        return slow + paused

    def _make_room(self, client: RoomClient, now: float) -> list[RoomClient]:
        """Return the clients to evict so that there is memory for what a client holds."""
        size = client.held_bytes - CONNECTION_BYTES
        is_small = size <= SMALL_REQUEST_BYTES
        excess = self.held_bytes - (
            self.limits.total_bytes if is_small else self.limits.large_bytes
        )
        if excess <= 0:
            return []
        found = []
        for other in self._in_order(client, is_small, now):
            found.append(other)
            excess -= other.held_bytes
            if excess <= 0:
                return found
        return [client]

    def _in_order(self, client: RoomClient, is_small: bool, now: float) -> Iterator[RoomClient]:
        """Return the clients that may be evicted for another one, in order.

        Connections that callers keep for their next request come last for a large request: it would
        take hundreds of them.
        """
        stalled = list(self._stalled(client, now))
        yield from stalled
        # The first request of a younger one may be on its way.
        yield from (
            one
            for one in self._idle_unserved
            if one is not client and one.stalled_for_s(now) >= STALLED_S
        )
        if is_small:
            yield from (one for one in self._idle_served if one is not client)
        group = self._largest_group()
        taken = {client, *stalled}
        others = [one for one in self._moving if one.group == group and one not in taken]
        if group == client.group:
            others = [one for one in others if one.pace(now) < client.pace(now)]
        yield from sorted(others, key=lambda one: one.pace(now))
        if not is_small:
            yield from (one for one in self._idle_served if one is not client)

    def _stalled(self, client: RoomClient, now: float) -> Iterable[RoomClient]:
        """Return the stalled requests, the one that has been stalled for longest first."""
        stalled = [
            one for one in self._moving if one is not client and one.stalled_for_s(now) >= STALLED_S
        ]
        return sorted(stalled, key=lambda one: one.moved_at)

    def _largest_group(self) -> str:
        """Return the group whose requests hold most."""
        held_by_group: dict[str, int] = {}
        for clients in (self._moving, self._running):
            for one in clients:
                held_by_group[one.group] = held_by_group.get(one.group, 0) + one.held_bytes
        return max(held_by_group, key=held_by_group.__getitem__, default="")

    @staticmethod
    def _first(clients: dict[RoomClient, None], count: int) -> list[RoomClient]:
        return [one for one, _number in zip(clients, range(count), strict=False)]


def client_room_limits_for(
    memory_mb: int, descriptors: int, memory_fraction: float = MEMORY_FRACTION
) -> ClientRoomLimits:
    """Return the limits of a process with this much memory and so many descriptors; 0: unknown."""
    limits = ClientRoomLimits()
    if memory_mb > 0:
        memory_bytes = memory_mb * 1024 * 1024
        limits = replace(
            limits,
            total_bytes=int(memory_bytes * memory_fraction),
            parsed_bytes=int(memory_bytes * PARSED_FRACTION),
        )
    if descriptors > 0:
        limits = replace(limits, connections=max(1, int(descriptors * DESCRIPTOR_FRACTION)))
    return limits


def peer_room_limits_for(descriptors: int) -> ClientRoomLimits:
    """Return the limits for peers whose handshake is under way; 0 means unknown."""
    connections = DEFAULT_PEERS
    if descriptors > 0:
        connections = max(1, int(descriptors * PEER_DESCRIPTOR_FRACTION))
    return ClientRoomLimits(connections * (CONNECTION_BYTES + PEER_BYTES), connections)
