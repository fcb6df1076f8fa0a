"""The leader's view of one peer, and the messages in flight to it."""

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
    """A snapshot being sent. `data` is held until its end; one chunk is in flight at a time."""

    meta: SnapshotMeta
    data: bytes
    offset: int = 0


@dataclass(slots=True)
class Progress:
    """The replication state of one peer.

    PROBE: the last matching index is unknown; one message is in flight at a time.
    REPLICATE: messages are pipelined up to a limit.
    SNAPSHOT: the entries that the peer needs are compacted; it is sent a snapshot.
    """

    # The identity that replies, empty before the first reply; and the one in the member list.
    identity: str
    listed_identity: str
    next_index: int
    match_index: int = 0
    mode: Mode = Mode.PROBE
    in_flight: collections.deque[int] = field(default_factory=collections.deque)
    waiting_since: float = NEVER
    is_waiting: bool = False
    sent_at: float = NEVER
    sent_round: int = 0
    sent_commit_index: int = 0
    acked_round: int = 0
    # Send time, by the leader's clock, of the latest message that the peer has answered.
    contact_at: float = NEVER
    transfer: Transfer | None = None
    is_caught_up: bool = False
    # The identity under which the peer rejects messages addressed to `identity`.
    other_identity: str = ""
    # The listed identity that the peer has reported lost.
    lost_identity: str = ""

    def record_match(self, index: int) -> None:
        """Record that the peer's log matches and is synced up to `index`."""
        if index > self.match_index:
            self.match_index = index
            self.waiting_since = self.sent_at
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        # A reply to a heartbeat does not acknowledge entries in flight. If it counted as one, lost
        # entries would never be sent again.
        self.is_waiting = bool(self.in_flight)

    def probe_from(self, index: int) -> None:
        """Search for the last matching index, from `index` downwards."""
        self.mode = Mode.PROBE
        self.next_index = max(index, self.match_index + 1)
        self.in_flight.clear()
        self.is_waiting = False
        self.transfer = None

    def start_transfer(self, transfer: Transfer) -> None:
        """Switch to sending a snapshot instead of entries."""
        self.mode = Mode.SNAPSHOT
        self.transfer = transfer
        self.in_flight.clear()
        self.is_waiting = False
