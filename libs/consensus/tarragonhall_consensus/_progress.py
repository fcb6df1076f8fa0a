"""What the leader knows of one peer, and what is on its way there."""

from __future__ import annotations

import collections
import enum
from dataclasses import dataclass, field

from tarragonhall_consensus._core import NEVER
from tarragonhall_consensus._messages import SnapshotMeta


class Mode(enum.StrEnum):
    """How entries are sent to a peer."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Transfer:
    """A snapshot on its way. `data` is held until it has arrived; one chunk is out at a time."""

    meta: SnapshotMeta
    data: bytes
    offset: int = 0


@dataclass(slots=True)
class Progress:
    """One peer as the leader sees it.

    PROBE: the place where the logs meet is unknown; one message is out at a time.
    REPLICATE: messages follow one another without waiting, up to a bound.
    SNAPSHOT: the entries it needs are gone; it is sent a snapshot.
    """

    # The identity that answers, empty until it has; and the one in the member list.
    identity: str
    listed: str
    next_index: int
    match_index: int = 0
    mode: Mode = Mode.PROBE
    in_flight: collections.deque[int] = field(default_factory=collections.deque)
    waiting_since: float = NEVER
    is_waiting: bool = False
    sent_at: float = NEVER
    sent_round: int = 0
    sent_commit: int = 0
    acked_round: int = 0
    # When the latest message that the peer has answered was sent, on the leader's clock.
    contact_at: float = NEVER
    transfer: Transfer | None = None
    is_caught_up: bool = False
    # The identity under which the peer refuses what is meant for `identity`.
    other_identity: str = ""

    def accept(self, index: int) -> None:
        """Note that the peer's log matches, synced, up to `index`."""
        if index > self.match_index:
            self.match_index = index
            self.waiting_since = self.sent_at
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        # An answer to a heartbeat brings nothing new. Taken for an answer to the entries sent
        # before it, it would keep lost ones from ever being sent again.
        self.is_waiting = bool(self.in_flight)

    def probe_from(self, index: int) -> None:
        """Look for the place where the logs meet, from `index` downwards."""
        self.mode = Mode.PROBE
        self.next_index = max(index, self.match_index + 1)
        self.in_flight.clear()
        self.is_waiting = False
        self.transfer = None

    def start_transfer(self, transfer: Transfer) -> None:
        """Send a snapshot instead of entries."""
        self.mode = Mode.SNAPSHOT
        self.transfer = transfer
        self.in_flight.clear()
        self.is_waiting = False
