"""The connections of all clients of a process, and their eviction when it runs out of room.

Every listener takes part: those for callers, operators, readiness and metrics, and in a room of
their own the links whose peers are not authenticated yet. The decision is `ClientRoom`.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import greenlet
import structlog
from eventlet import hubs
from tarragonhall_decisions import (
    CONNECTION_BYTES,
    ClientPhase,
    ClientRoom,
    ClientRoomLimits,
    RoomClient,
)
from tarragonhall_model import TarragonhallError

from tarragonhall_wire._clock import elapsed_seconds
from tarragonhall_wire._metrics import Metrics

log = structlog.get_logger(__name__)

# For how long after the last refusal the process counts as overloaded, and the least time between
# two lines about it.
OVERLOADED_SECONDS = 10.0
LOG_INTERVAL_SECONDS = 1.0


class NoRoomError(TarragonhallError):
    """There is no room for a client's connection or request, or it was evicted for others."""


class InboundClient:
    """One connection of a client. Its methods raise `NoRoomError` once it is evicted."""

    __slots__ = ("_address_group", "_error", "_inbound", "_waiting", "state")

    def __init__(self, inbound: Inbound, state: RoomClient) -> None:
        self._inbound = inbound
        self._address_group = state.group
        self.state = state
        # Why the client was evicted. An error object would keep the frames that raised it, and all
        # that was read with them.
        self._error = ""
        # The green thread that waits for the client.
        self._waiting: greenlet.greenlet | None = None

    @property
    def large_bytes(self) -> int:
        """Return what a request may hold if there is no other client."""
        return self._inbound.room.limits.large_bytes - CONNECTION_BYTES

    @property
    def parsed_bytes(self) -> int:
        """Return what a body may take while it is parsed."""
        return self._inbound.room.limits.parsed_bytes

    def now(self) -> float:
        """Return the current time in monotonic seconds."""
        return self._inbound.now()

    def receive(self) -> None:
        """Note that a request begins to arrive; whose it is, is not known yet."""
        self.state.group = self._address_group
        self._enter(ClientPhase.RECEIVING)

    def arrive(self) -> None:
        """Note that the request has arrived whole; it is not evicted until its response.

        Raises `NoRoomError` if the running requests of its group leave too little for others.
        """
        self.run()
        if self.state.group != self._address_group:
            self._inbound.check_share(self)

    def run(self) -> None:
        """Note that the request runs."""
        self._enter(ClientPhase.RUNNING)

    def write(self) -> None:
        """Note that the response is being written."""
        self._enter(ClientPhase.WRITING)

    def rest(self) -> None:
        """Note that the request has ended; nothing of it is held any more."""
        self._enter(ClientPhase.IDLE)

    def move(self, size: int) -> None:
        """Note that the client has sent or taken bytes."""
        self._check()
        self._inbound.room.move(self.state, size, self._inbound.now())

    def hold(self, size: int) -> None:
        """Set how many bytes the client holds besides its connection."""
        self._check()
        self._inbound.hold(self, size)

    def join(self, group: str) -> None:
        """Share the room with the clients of a group until the next request.

        Raises `NoRoomError` as `arrive` does, if the request has arrived whole.
        """
        self._check()
        if group == self.state.group:
            return
        self.state.group = group
        if self.state.phase is ClientPhase.RUNNING:
            self._inbound.check_share(self)

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for the client; `NoRoomError` is raised in the block as soon as it is evicted."""
        self._check()
        self._waiting = greenlet.getcurrent()
        try:
            yield
        finally:
            self._waiting = None

    @contextlib.contextmanager
    def lingering(self) -> Iterator[int]:
        """Count a connection that stays open behind its last response; give how many others do."""
        self._inbound.lingering += 1
        try:
            yield self._inbound.lingering - 1
        finally:
            self._inbound.lingering -= 1

    def close(self) -> None:
        """Remove the connection, which is closed."""
        self._inbound.remove(self)

    def evict(self, error: str) -> None:
        """Evict the client: its green thread gets the error where it waits, or at its next step."""
        if not self._error:
            self._error = error
            hubs.get_hub().schedule_call_global(0, self._interrupt)

    def _interrupt(self) -> None:
        if self._waiting is not None:
            self._waiting.throw(NoRoomError(self._error))

    def _enter(self, phase: ClientPhase) -> None:
        self._check()
        self._inbound.room.enter(self.state, phase, self._inbound.now())

    def _check(self) -> None:
        if self._error:
            raise NoRoomError(self._error)


class Inbound:
    """All clients of one process; `room` holds their account, and `name` begins its metrics."""

    __slots__ = (
        "_client_by_state",
        "_overloaded_at",
        "_evicted",
        "_logged_at",
        "_metrics",
        "_refused",
        "_name",
        "lingering",
        "now",
        "room",
    )

    def __init__(
        self,
        limits: ClientRoomLimits | None = None,
        metrics: Metrics | None = None,
        monotonic: Callable[[], float] = elapsed_seconds,
        name: str = "inbound",
    ) -> None:
        self.room = ClientRoom(limits or ClientRoomLimits())
        self.now = monotonic
        self._name = name
        self.lingering = 0
        self._metrics = metrics or Metrics()
        self._client_by_state: dict[RoomClient, InboundClient] = {}
        # Counts since the process is overloaded, and when it last refused or evicted a client.
        self._refused = self._evicted = 0
        self._overloaded_at = self._logged_at = float("-inf")
        self._metrics.exposition.add_gauges(self._gauges)

    def open(self, group: str) -> InboundClient:
        """Return the account of a new connection; raise `NoRoomError` if there is no room."""
        client = InboundClient(self, RoomClient(group, self.now()))
        self._client_by_state[client.state] = client
        self._evict(client, self.room.open(client.state, self.now()), "connection")
        return client

    def hold(self, client: InboundClient, size: int) -> None:
        """Set what a client holds; raise `NoRoomError` if there is no room for it."""
        self._evict(client, self.room.hold(client.state, size, self.now()), "request")

    def check_share(self, client: InboundClient) -> None:
        """Raise `NoRoomError` if the requests that run for a client's group take too much."""
        if not self.room.may_run(client.state):
            self._count_refused("request")
            raise NoRoomError("too many requests of the organisation are running; try again later")

    def remove(self, client: InboundClient) -> None:
        """Remove a client, if it is still there."""
        if self._client_by_state.pop(client.state, None) is not None:
            self.room.close(client.state)

    def problem(self) -> str:
        """Return what operators must know of the clients; empty if there was room for all."""
        if self.now() - self._overloaded_at > OVERLOADED_SECONDS:
            return ""
        return (
            f"no room for all clients: {self._refused} refused and {self._evicted} evicted,"
            f" {self._summary()}"
        )

    def _evict(self, client: InboundClient, evicted: list[RoomClient], what: str) -> None:
        """Evict clients; if the client itself is among them, it is refused."""
        for state in evicted:
            other = self._client_by_state[state]
            self.remove(other)
            if other is client:
                self._count_refused(what)
                error = f"there is no room for the {what}; try again later"
                client.evict(error)
                raise NoRoomError(error)
            self._count_evicted(state)
            other.evict(f"evicted to make room for others ({state.phase.value})")

    def _count_refused(self, what: str) -> None:
        self._metrics.count(f"{self._name}.refused", labels=(("what", what),))
        self._note_overload()
        self._refused += 1
        self._log()

    def _count_evicted(self, state: RoomClient) -> None:
        self._metrics.count(f"{self._name}.evicted", labels=(("phase", state.phase.value),))
        self._note_overload()
        self._evicted += 1
        self._log()

    def _note_overload(self) -> None:
        now = self.now()
        if now - self._overloaded_at > OVERLOADED_SECONDS:
            self._refused = self._evicted = 0
        self._overloaded_at = now

    def _log(self) -> None:
        """Log the counts, at most once in an interval."""
        now = self.now()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        log.warning(
            "inbound.overloaded",
            clients=self._name,
            refused=self._refused,
            evicted=self._evicted,
            connections=self.room.connections,
            held_bytes=self.room.held_bytes,
        )

    def _summary(self) -> str:
        room, limits = self.room, self.room.limits
        return (
            f"{room.held_bytes} of {limits.total_bytes} bytes held,"
            f" {room.connections} of {limits.connections} connections"
        )

    def _gauges(self) -> dict[str, float]:
        return {
            f"{self._name}.connections": self.room.connections,
            f"{self._name}.held_bytes": self.room.held_bytes,
        }
