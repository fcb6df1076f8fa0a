"""The replicated log as its user sees it: events in, outputs out, one state machine on top.

`Replica.step(events, now)` takes a batch, syncs storage once for the whole batch, and only then
returns the outputs, so that nothing leaves a member before what it promises is on disk. `now` is
the monotonic clock in seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol

from tarragonhall_consensus._messages import Member


class Machine(Protocol):
    """What the log drives. `apply` must give the same result on every member."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply one committed entry and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Role(enum.StrEnum):
    """What a member is at the moment."""

    OUTSIDE = "outside"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed. Feed one every `TICK_SECONDS` or so."""


@dataclass(slots=True, frozen=True)
class Received:
    """A message of this library arrived from a peer."""

    peer: str
    message: object


@dataclass(slots=True, frozen=True)
class ProposeData:
    """Put data in the log. Ends in `ProposalDone` or `ProposalLost` with the same token."""

    token: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ConfirmRead:
    """Confirm the lead with a majority. Ends in `ReadConfirmed` or `ReadLost`."""

    token: int


@dataclass(slots=True, frozen=True)
class ChangeMember:
    """Add, remove or replace one member. Ends like a proposal, once an added one votes.

    `replace` is for a member that lost its data folder: the old identity loses its vote at once,
    the new one is caught up first. Leave the identity empty to take the one that answers at the
    address.
    """

    token: int
    member: Member
    remove: bool = False
    replace: bool = False


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """Write a snapshot of what is applied and shorten the log, without waiting for its size."""


Event = Tick | Received | ProposeData | ConfirmRead | ChangeMember | TakeSnapshot


@dataclass(slots=True, frozen=True)
class SendTo:
    """Send the message to the peer; loss is allowed."""

    peer: str
    message: object


@dataclass(slots=True, frozen=True)
class ProposalDone:
    """The proposal was committed at `index` and applied here with this result."""

    token: int
    index: int
    result: object


@dataclass(slots=True, frozen=True)
class ProposalLost:
    """This member cannot tell what becomes of the proposal. `not_logged` says it never will be."""

    token: int
    leader: str | None
    not_logged: bool
    reason: str = ""


@dataclass(slots=True, frozen=True)
class ReadConfirmed:
    """A majority confirmed the lead after the read was asked; state is at least that new."""

    token: int


@dataclass(slots=True, frozen=True)
class ReadLost:
    """The lead could not be confirmed."""

    token: int
    leader: str | None


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """This member's role, term or known leader changed. `role` is the field's usual name."""

    role: str
    term: int
    leader: str | None

    @property
    def leads(self) -> bool:
        """Return whether this member leads now."""
        return self.role == Role.LEADER


Output = SendTo | ProposalDone | ProposalLost | ReadConfirmed | ReadLost | RoleChanged


@dataclass(slots=True, frozen=True)
class PeerStatus:
    """What the leader knows of a peer.

    `silent_seconds` is None before the peer has answered. `other_identity` is set while the peer
    answers from another data folder than the member list names: it must be replaced.
    """

    match_index: int
    silent_seconds: float | None
    other_identity: str = ""


@dataclass(slots=True, frozen=True)
class Status:
    """What operators see of a member. `peer_by_id` is filled on the leader alone.

    `unled_seconds` is how long no leader has been heard, 0 on the leader; `leading_seconds` is how
    long this member has led, 0 on the others.
    """

    member_id: str
    role: str
    term: int
    leader: str | None
    commit_index: int
    last_index: int
    applied_index: int
    members: list[Member]
    identity: str
    address: str
    peer_by_id: dict[str, PeerStatus] = field(default_factory=dict)
    unled_seconds: float = 0.0
    leading_seconds: float = 0.0


class ReplicaApi(Protocol):
    """One member of the group."""

    def step(self, events: list[Event], now: float) -> list[Output]:
        """Handle a batch of events and return what is to be done, after one sync at most."""

    def status(self) -> Status:
        """Return what operators see."""

    def is_leader(self, now: float) -> bool:
        """Return whether this member leads and its lease has not run out by `now`."""

    def close(self) -> None:
        """Release the data folder."""
