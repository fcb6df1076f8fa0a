"""What the parts of a replica share: term, vote, log, membership, role and the outputs at hand."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from tarragonhall_consensus._interface import Machine, Output, Role, RoleChanged, SendTo
from tarragonhall_consensus._limits import Limits
from tarragonhall_consensus._membership import Membership
from tarragonhall_consensus._messages import Entry, Envelope, Message, SnapshotMeta
from tarragonhall_consensus._storage import Storage

if TYPE_CHECKING:
    from tarragonhall_consensus._leadership import Leadership

NEVER = float("-inf")


# A member that was started stands within this share of an election timeout after it may: members
# that were killed together are started some tenths of a second apart by themselves.
_FIRST_SPREAD = 0.3
# Pre-votes are asked for again after this share of an election timeout, up to twice as long.
_PRE_VOTE_SHARE = 0.25


class Core:
    """The state of one member that every part reads, and the few ways in which it changes."""

    __slots__ = (
        "_reported",
        "_standing",
        "applied_index",
        "commit_index",
        "election_at",
        "heard_at",
        "leader",
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
        machine: Machine,
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
        self._standing = False
        self._reported: RoleChanged | None = None
        # This member may have promised the leader its silence right before it was restarted. The
        # leader still counts on that for its lease, so the start of this process counts as having
        # heard it: whatever an earlier one promised, it promised before.
        self.heard_at = started_at if storage.state.group else NEVER
        # All members may have been restarted. Whoever asks first may go on at once: the others
        # refuse as long as they may have promised their silence, and are asked again.
        self.election_at = started_at + limits.election_seconds * (1 + _FIRST_SPREAD * rng.random())

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.storage.state.term

    @property
    def identity(self) -> str:
        """Return the identity drawn with this data folder."""
        return self.storage.identity

    @property
    def group(self) -> str:
        """Return the group this folder belongs to, empty before it does."""
        return self.storage.state.group

    @property
    def is_voter(self) -> bool:
        """Return whether this member, under this identity, votes in the group."""
        return self.membership.is_voter(self.member_id, self.identity)

    @property
    def role(self) -> Role:
        """Return what this member is."""
        if self.leadership is not None:
            return Role.LEADER
        if self._standing:
            return Role.CANDIDATE
        if self.is_voter:
            return Role.FOLLOWER
        if self.membership.is_member(self.member_id, self.identity):
            return Role.LEARNER
        return Role.OUTSIDE

    def send(self, peer: str, message: Message) -> None:
        """Send a message once the step's sync is done."""
        self.outputs.append(SendTo(peer, message))

    def envelope(self, to_identity: str) -> Envelope:
        """Return the envelope of a message from this member."""
        return Envelope(self.group, self.identity, to_identity, self.term)

    def is_for_this_identity(self, envelope: Envelope) -> bool:
        """Return whether a message is meant for this data folder.

        A member that lost its folder has forgotten its votes and its log. If it answered for its
        old identity it could vote twice in one term, or let a majority form that has lost a
        committed entry; callers would see accepted changes vanish.
        """
        return envelope.to_identity in ("", self.identity)

    def is_from_this_group(self, envelope: Envelope) -> bool:
        """Return whether the sender belongs to this member's group, or may bring it into one."""
        if not envelope.group:
            return False
        return not self.group or envelope.group == self.group

    def join_group(self, group: str) -> None:
        """Belong to the group from now on, where this folder is still new."""
        if not self.group:
            self.storage.save_state(self.term, "", group)

    def save_vote(self, term: int, vote: str) -> None:
        """Remember term and vote; they are synced before any message of this step leaves."""
        self.storage.save_state(term, vote, self.group)

    def follow(self, term: int, leader: str | None) -> None:
        """Be a follower in the term, giving up whatever role there was."""
        if term > self.term:
            self.save_vote(term, "")
            self.leader = None
        if leader is not None:
            self.leader = leader
        self._standing = False
        if self.leadership is not None:
            leadership, self.leadership = self.leadership, None
            if self.leader == self.member_id:
                self.leader = None
            leadership.abandon()
            self.put_off_election()

    def stand(self) -> None:
        """Be a candidate, without a known leader."""
        self._standing = True
        self.leader = None

    def lead(self, leadership: Leadership) -> None:
        """Be the leader of the current term."""
        self._standing = False
        self.leadership = leadership
        self.leader = self.member_id

    def hear_leader(self) -> None:
        """Note a sign of life of the leader."""
        self.heard_at = self.now
        self.put_off_election()

    def leader_is_alive(self) -> bool:
        """Return whether the leader was heard so lately that it may hold its lease.

        A vote given now could make a second leader while the first still answers.
        """
        if self.leadership is not None:
            return True
        return self.now - self.heard_at < self.limits.election_seconds

    def put_off_election(self) -> None:
        """Wait a random time, from one to two election timeouts, before standing again."""
        self.election_at = self.now + self.limits.election_seconds * (1 + self.rng.random())

    def ask_again_soon(self) -> None:
        """Wait a random time, up to half an election timeout, before asking for pre-votes again.

        Asking changes nothing at the others. They refuse as long as a leader may have a lease,
        mostly for some tens of milliseconds after this member began to ask; waiting a whole
        election timeout for that would double the time without a leader.
        """
        wait = _PRE_VOTE_SHARE * (1 + self.rng.random())
        self.election_at = self.now + self.limits.election_seconds * wait

    def put(self, index: int, entry: Entry) -> None:
        """Put an entry of the leader in the log, dropping what was there and after it."""
        self.membership.drop_from(index)
        self.storage.put(index, entry)
        self.membership.take(index, entry)

    def append(self, entry: Entry) -> int:
        """Put an entry of this leader at the end of the log and return its index."""
        index = self.storage.append(entry)
        self.membership.take(index, entry)
        return index

    def install(self, meta: SnapshotMeta, data: bytes) -> None:
        """Take the leader's snapshot in place of state and log."""
        self.storage.save_snapshot(meta, data)
        self.membership.load(meta, self.storage.log)
        self.commit_index = meta.index
        self.applied_index = meta.index
        self.machine.restore(data)

    def report_role(self) -> None:
        """Add a `RoleChanged` where role, term or leader differ from the last one."""
        current = RoleChanged(self.role.value, self.term, self.leader)
        if current != self._reported:
            self._reported = current
            self.outputs.append(current)
