"""Public interface of the replicated log: events, outputs and the state machine that it drives.

`Replica.step(events, now)` handles a batch of events, syncs all their changes to the log together,
and only then returns the outputs, so no message leaves a member before the data that it
acknowledges is on disk. `now` is the monotonic clock in seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol

from tarragonhall_consensus._messages import Member


class StateMachine(Protocol):
    """The replicated state machine. `apply` must be deterministic: equal on every member."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply one committed entry and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Role(enum.StrEnum):
    """The current role of a member.

    OUTSIDE: not in the member list under the identity of its data folder. LEARNER: holds the log
    but does not vote. OFFLINE: its data folder cannot be used at present.
    """

    OFFLINE = "offline"
    OUTSIDE = "outside"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; to be sent about every `TICK_SECONDS` (see `_limits`)."""


@dataclass(slots=True, frozen=True)
class Received:
    """A message of the consensus protocol was received from a peer."""

    peer: str
    message: object


@dataclass(slots=True, frozen=True)
class ProposeData:
    """Append data to the log. Ends in `ProposalDone` or `ProposalLost` with the same token."""

    token: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ConfirmRead:
    """Confirm leadership with a majority. Ends in `ReadConfirmed` or `ReadLost`."""

    token: int


@dataclass(slots=True, frozen=True)
class ChangeMember:
    """Add, remove or replace one member. Ends like a proposal.

    An addition or replacement ends only when the new member votes, so it does not end while the
    limit on voters keeps that member a learner.

    `replace` is for a member that lost its data folder: the old identity loses its vote at once,
    the new one votes after it has caught up. If `member.identity` is empty, the identity
    that answers at the address is used.
    """

    token: int
    member: Member
    remove: bool = False
    replace: bool = False


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """Write a snapshot of the applied state and compact the log now, whatever its size."""


Event = Tick | Received | ProposeData | ConfirmRead | ChangeMember | TakeSnapshot


@dataclass(slots=True, frozen=True)
class SendTo:
    """Send the message to the peer; it may be lost."""

    peer: str
    message: object


@dataclass(slots=True, frozen=True)
class ProposalDone:
    """The proposal was committed at `index` and applied on this member with this result."""

    token: int
    index: int
    result: object


@dataclass(slots=True, frozen=True)
class ProposalLost:
    """A proposal or member change ended without a result.

    Its outcome is unknown, unless `not_logged`: then it was never logged. `reason` is a text for
    the caller.
    """

    token: int
    leader: str | None
    not_logged: bool
    reason: str = ""


@dataclass(slots=True, frozen=True)
class ReadConfirmed:
    """A majority confirmed leadership after the read was requested; the state is that recent."""

    token: int


@dataclass(slots=True, frozen=True)
class ReadLost:
    """Leadership could not be confirmed."""

    token: int
    leader: str | None


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """This member's role, term or known leader changed. `role` is a value of `Role`."""

    role: str
    term: int
    leader: str | None

    @property
    def leads(self) -> bool:
        """Return whether the role is leader; unlike `is_leader`, this does not check the lease."""
        return self.role == Role.LEADER


@dataclass(slots=True, frozen=True)
class MessageRejected:
    """A peer's message was malformed, or of a newer version, and changed nothing."""

    peer: str
    reason: str


Output = (
    MessageRejected | SendTo | ProposalDone | ProposalLost | ReadConfirmed | ReadLost | RoleChanged
)


@dataclass(slots=True, frozen=True)
class PeerStatus:
    """What the leader knows of a peer.

    `seconds_since_contact` is the time since the last contact, None before the first one.
    `silent_s` is for how long the peer is known to be silent; before the first contact, that is
    since the election or, if it left the votes before it unanswered, a little longer.
    `other_identity` is set while the peer answers from a data folder with an identity other than
    the listed one: it must be replaced.
    """

    match_index: int
    seconds_since_contact: float | None
    other_identity: str = ""
    silent_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Status:
    """The status of a member for operators. `peer_by_id` is filled only on the leader.

    `leaderless_seconds` is the time since the last contact with a leader, 0 on the leader itself;
    `leading_seconds` is how long this member has been leader, 0 on the others. `granted_by` and
    `refused_by` are the voters that have answered a candidate in its current round, itself
    included; both are empty in other roles.
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
    leaderless_seconds: float = 0.0
    leading_seconds: float = 0.0
    granted_by: tuple[str, ...] = ()
    refused_by: tuple[str, ...] = ()


class ReplicaApi(Protocol):
    """One member of the group."""

    def step(self, events: list[Event], now: float) -> list[Output]:
        """Handle a batch of events and return the outputs after syncing the log."""

    def status(self) -> Status:
        """Return the status of this member."""

    def members(self) -> tuple[Member, ...]:
        """Return the members."""

    def address_of(self, member_id: str) -> str | None:
        """Return the link address of a member, None if it is none."""

    def leader(self) -> str | None:
        """Return the id of the leader, None if it is unknown."""

    def term(self) -> int:
        """Return the current term."""

    def is_leader(self, now: float) -> bool:
        """Return whether this member is the leader and its lease is valid at `now`."""

    def close(self) -> None:
        """Release the data folder."""
