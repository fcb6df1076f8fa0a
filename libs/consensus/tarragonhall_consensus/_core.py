"""State shared by the parts of a replica: term, vote, log, membership, role, pending outputs."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from tarragonhall_consensus._interface import Output, Role, RoleChanged, SendTo, StateMachine
from tarragonhall_consensus._limits import Limits
from tarragonhall_consensus._membership import Membership
from tarragonhall_consensus._messages import Entry, Envelope, Message, SnapshotMeta
from tarragonhall_consensus._storage import Storage

if TYPE_CHECKING:
    from tarragonhall_consensus._leadership import Leadership

NEVER = float("-inf")


# Random delay of the first election after a start, as a fraction of the election timeout. It can be
# small: members that were killed together already restart some tenths of a second apart.
_FIRST_ELECTION_JITTER = 0.3
# Pre-votes are retried after this fraction of an election timeout, up to twice as long.
_PRE_VOTE_RETRY_FRACTION = 0.25


class Core:
    """The state of one member, read by every part, and the methods that change it."""

    __slots__ = (
        "_is_candidate",
        "_last_reported",
        "applied_index",
        "commit_index",
        "election_at",
        "leader",
        "leader_contact_at",
        "leadership",
        "limits",
        "machine",
        "member_id",
        "membership",
        "now",
        "outputs",
        "rng",
        "storage",
    )

    def __init__(
        self,
        storage: Storage,
        machine: StateMachine,
        rng: random.Random,
        limits: Limits,
        now: float,
        started_at: float,
    ) -> None:
        self.storage = storage
        self.machine = machine
        self.rng = rng
        self.limits = limits
        self.now = now
        self.member_id = storage.member_id
        self.membership = Membership()
        self.membership.load(storage.snapshot, storage.log)
        self.commit_index = storage.snapshot.index if storage.snapshot else 0
        self.applied_index = self.commit_index
        self.outputs: list[Output] = []
        self.leader: str | None = None
        self.leadership: Leadership | None = None
        self._is_candidate = False
        self._last_reported: RoleChanged | None = None
        # An earlier process of this member may have answered the leader right before the restart,
        # and the leader's lease relies on that answer. All such answers came before this process
        # started, so the start counts as the last contact with the leader.
        self.leader_contact_at = started_at if storage.state.group else NEVER
        # If all members were restarted, the first candidate should win without another election
        # timeout: the others reject it while a lease may still hold, and it retries soon after.
        self.election_at = started_at + limits.election_seconds * (
            1 + _FIRST_ELECTION_JITTER * rng.random()
        )

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.storage.state.term

    @property
    def identity(self) -> str:
        """Return the identity generated when this data folder was created."""
        return self.storage.identity

    @property
    def group(self) -> str:
        """Return the group that this folder belongs to, or an empty string if none yet."""
        return self.storage.state.group

    @property
    def is_voter(self) -> bool:
        """Return whether this member votes in the group under its current identity."""
        return self.membership.is_voter(self.member_id, self.identity)

    @property
    def role(self) -> Role:
        """Return the current role of this member."""
        if self.leadership is not None:
            return Role.LEADER
        if self._is_candidate:
            return Role.CANDIDATE
        if self.is_voter:
            return Role.FOLLOWER
        if self.membership.is_member(self.member_id, self.identity):
            return Role.LEARNER
        return Role.OUTSIDE

    def send(self, peer: str, message: Message) -> None:
        """Queue a message; it leaves after the sync of this step."""
        self.outputs.append(SendTo(peer, message))

    def envelope(self, to_identity: str) -> Envelope:
        """Return the envelope of a message from this member."""
        return Envelope(self.group, self.identity, to_identity, self.term)

    def is_for_this_identity(self, envelope: Envelope) -> bool:
        """Return whether a message is addressed to this data folder.

        A member that lost its folder has lost its votes and its log. If it answered under its old
        identity, it could vote twice in one term or complete a majority that lacks a committed
        entry, and accepted changes would be lost.
        """
        return envelope.to_identity in ("", self.identity)

    def is_from_this_group(self, envelope: Envelope) -> bool:
        """Return whether the sender is in this member's group, or this member has none yet."""
        if not envelope.group:
            return False
        return not self.group or envelope.group == self.group

    def join_group(self, group: str) -> None:
        """Store the group, unless this folder already belongs to one."""
        if not self.group:
            self.storage.save_state(self.term, "", group)

    def save_vote(self, term: int, vote: str) -> None:
        """Store term and vote; they are synced before any message of this step leaves."""
        self.storage.save_state(term, vote, self.group)

    def become_follower(self, term: int, leader: str | None) -> None:
        """Become a follower in the term, ending any candidacy or leadership."""
        if term > self.term:
            self.save_vote(term, "")
            self.leader = None
        if leader is not None:
            self.leader = leader
        self._is_candidate = False
        if self.leadership is not None:
            leadership, self.leadership = self.leadership, None
            if self.leader == self.member_id:
                self.leader = None
            leadership.abandon()
            self.restart_election_timer()

    def become_candidate(self) -> None:
        """Become a candidate, with no known leader."""
        self._is_candidate = True
        self.leader = None

    def become_leader(self, leadership: Leadership) -> None:
        """Become the leader of the current term."""
        self._is_candidate = False
        self.leadership = leadership
        self.leader = self.member_id

    def record_leader_contact(self) -> None:
        """Record contact with the leader and restart the election timer."""
        self.leader_contact_at = self.now
        self.restart_election_timer()

    def leader_may_hold_lease(self) -> bool:
        """Return whether the last contact is so recent that the leader may still hold its lease.

        A vote granted now could elect a second leader while the first still serves reads.
        """
        if self.leadership is not None:
            return True
        return self.now - self.leader_contact_at < self.limits.election_seconds

    def restart_election_timer(self) -> None:
        """Schedule the next election in one to two election timeouts, at random."""
        self.election_at = self.now + self.limits.election_seconds * (1 + self.rng.random())

    def schedule_pre_vote_retry(self) -> None:
        """Schedule the next pre-vote in a random time of at most half an election timeout.

        Pre-votes change no state at the peers. Peers reject them while a leader may hold a lease,
        mostly for some tens of milliseconds after the first request; waiting a whole election
        timeout would double the time without a leader.
        """
        wait = _PRE_VOTE_RETRY_FRACTION * (1 + self.rng.random())
        self.election_at = self.now + self.limits.election_seconds * wait

    def put(self, index: int, entry: Entry) -> None:
        """Write an entry of the leader at `index`, dropping existing entries from there on."""
        self.membership.drop_from(index)
        self.storage.put(index, entry)
        self.membership.add_entry(index, entry)

    def append(self, entry: Entry) -> int:
        """Append an entry as leader and return its index."""
        index = self.storage.append(entry)
        self.membership.add_entry(index, entry)
        return index

    def install_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Replace state and log with a snapshot of the leader."""
        # First, so that a snapshot that this version cannot read never replaces one that it can.
        self.machine.restore(data)
        self.storage.save_snapshot(meta, data)
        self.membership.load(meta, self.storage.log)
        self.commit_index = meta.index
        self.applied_index = meta.index

    def report_role(self) -> None:
        """Add a `RoleChanged` output if role, term or leader changed since the last one."""
        current = RoleChanged(self.role.value, self.term, self.leader)
        if current != self._last_reported:
            self._last_reported = current
            self.outputs.append(current)
