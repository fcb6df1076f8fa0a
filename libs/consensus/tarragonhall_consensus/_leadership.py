"""One term as leader: proposals, commits, majority contact, reads and member changes."""

from __future__ import annotations

from tarragonhall_consensus._core import NEVER, Core
from tarragonhall_consensus._interface import (
    ChangeMember,
    ConfirmRead,
    PeerStatus,
    ProposalDone,
    ProposalLost,
    ProposeData,
    ReadConfirmed,
    ReadLost,
)
from tarragonhall_consensus._log import entry_bytes
from tarragonhall_consensus._membership import (
    members_entry,
    recovered_list,
    with_identity,
    with_learner,
    with_voter,
    without,
)
from tarragonhall_consensus._messages import (
    AppendReply,
    Entry,
    EntryKind,
    Member,
    OtherIdentity,
    SnapshotReply,
)
from tarragonhall_consensus._quorums import copied_index, required_copies
from tarragonhall_consensus._reads import Reads, Rounds
from tarragonhall_consensus._replication import Replication


class Leadership:
    """Created when an election is won, dropped when leadership is lost."""

    __slots__ = (
        "_core",
        "_elected_at",
        "_join_token_by_id",
        "_lost",
        "_reads",
        "_replication",
        "_rounds",
        "_start_index",
        "_token_by_index",
        "_voter_silent_since",
        "_uncommitted_bytes",
    )

    def __init__(
        self,
        core: Core,
        voter_silent_since: dict[str, float] | None = None,
        lost: frozenset[str] = frozenset(),
    ) -> None:
        """Begin a term; `lost` are the identities without which the leader had to be elected."""
        self._core = core
        self._lost = lost
        self._elected_at = core.now
        # Of voters that did not answer the candidate.
        self._voter_silent_since = voter_silent_since or {}
        self._rounds = Rounds(retention_seconds=10 * core.limits.election_seconds)
        self._reads = Reads()
        self._replication = Replication(core, self._rounds)
        self._token_by_index: dict[int, int] = {}
        self._join_token_by_id: dict[str, int] = {}
        self._uncommitted_bytes = 0
        # Entries of earlier terms are committed by committing this one; see `_may_commit`.
        self._start_index = core.append(Entry(core.term, EntryKind.NOOP, b""))
        if lost:
            self._append_members(recovered_list(core.membership.members, lost))

    def propose(self, event: ProposeData) -> None:
        """Append data to the log, or reject it if too many bytes are uncommitted."""
        core = self._core
        entry = Entry(core.term, EntryKind.DATA, event.data)
        size = entry_bytes(entry)
        if size > core.limits.uncommitted_bytes:
            self._reject(event.token, f"too large: {size} bytes")
            return
        if self._uncommitted_bytes + size > core.limits.uncommitted_bytes:
            self._reject(event.token, "too many bytes wait to be committed; try again")
            return
        self._uncommitted_bytes += size
        self._token_by_index[core.append(entry)] = event.token

    def queue_read(self, event: ConfirmRead) -> None:
        """Queue a read until a majority has answered a message that is sent after this call."""
        # Until the first entry of this term is committed, the commit index may be behind what an
        # earlier leader has acknowledged to callers.
        index = max(self._core.commit_index, self._start_index)
        self._reads.add(event.token, index, self._next_round())

    def change_member(self, event: ChangeMember) -> None:
        """Start to add, replace or remove a member, or reject the change."""
        reason = self._rejection_reason(event)
        if reason:
            self._reject(event.token, reason)
            return
        members = self._core.membership.members
        member = event.member
        if event.remove:
            index = self._append_members(without(members, member.member_id))
            self._token_by_index[index] = event.token
            return
        self._append_members(with_learner(members, member))
        self._join_token_by_id[member.member_id] = event.token

    def on_append_reply(self, peer: str, reply: AppendReply) -> None:
        """Update a peer's progress from its reply to entries or a heartbeat."""
        self._replication.on_append_reply(peer, reply)

    def on_snapshot_reply(self, peer: str, reply: SnapshotReply) -> None:
        """Update a peer's progress from its reply to a snapshot chunk."""
        self._replication.on_snapshot_reply(peer, reply)

    def on_other_identity(self, peer: str, message: OtherIdentity) -> None:
        """Record, for operators, that a peer has lost its data folder."""
        self._replication.on_other_identity(peer, message)

    def duration_seconds(self) -> float:
        """Return for how many seconds this member has been leader."""
        return self._core.now - self._elected_at

    def peer_status(self) -> dict[str, PeerStatus]:
        """Return the status of each peer for operators."""
        return self._replication.peer_status(self._silent_since)

    def has_majority(self) -> bool:
        """Return whether a majority has answered recently; a leader without it must step down.

        Behind a one-way partition a leader receives no replies, but its heartbeats arrive, so no
        election starts. It would stay leader without committing anything, and every change would
        hang.
        """
        since_contact = self._core.now - max(self._elected_at, self._majority_contact_at())
        return since_contact <= self._core.limits.election_seconds

    def holds_lease(self, now: float) -> bool:
        """Return whether no other leader can exist at `now` and this one's state is up to date.

        It is up to date once an entry of this term is committed.
        """
        core = self._core
        if core.commit_index < self._start_index:
            return False
        # `core.now`, the time of the last step, may be long ago if the process was paused since.
        return now < self._majority_contact_at(now) + core.limits.lease_seconds

    def update_members(self) -> None:
        """Change what learners that have caught up count for, one change at a time."""
        core = self._core
        if core.commit_index < self._start_index or self._change_is_pending():
            # As for a change on request, see `_rejection_reason`.
            return
        if not core.membership.is_repeated():
            # Without a second entry, a restarted member would not know that the list is committed
            # and would need members of the list before it, which may be gone.
            self._append_members(core.membership.members)
            return
        self._promote_learners()

    def _promote_learners(self) -> None:
        core = self._core
        ready: dict[str, str] = {}
        for member in core.membership.members:
            if member.voting:
                continue
            identity = self._replication.caught_up_identity(member.member_id)
            if identity is not None:
                ready[member.member_id] = identity
        for member_id, identity in ready.items():
            members = core.membership.members
            if self._needs_voter(len(ready)):
                self._append_members(with_voter(members, member_id, identity))
                return
            listed = with_identity(members, member_id, identity)
            if listed != members and self._adds_copy(listed):
                self._append_members(listed)
                return

    def _adds_copy(self, listed: tuple[Member, ...]) -> bool:
        """Return whether more members hold each entry than vote by majority, with this list."""
        losses = self._core.limits.tolerated_losses
        return required_copies(listed, losses) > self._core.membership.majority()

    def _needs_voter(self, ready: int) -> bool:
        """Return whether one of `ready` learners should become a voter."""
        max_voters = self._core.limits.max_voters
        if max_voters == 0:
            return True
        live = sum(
            1 for voter in self._core.membership.voters() if not self._is_unresponsive(voter)
        )
        wanted = min(max_voters, live + ready)
        if wanted % 2 == 0:
            wanted -= 1
        return live < wanted

    def _is_unresponsive(self, voter: Member) -> bool:
        core = self._core
        if voter.member_id == core.member_id:
            return False
        return core.now - self._silent_since(voter.member_id) > core.limits.unresponsive_seconds

    def _silent_since(self, peer: str) -> float:
        """Return since when a peer has been silent for all that this leader knows.

        The time for which it left the votes of this member's candidacy unanswered counts, but for
        an election timeout: a process that starts just after an election needs time to answer. A
        lost voter is so replaced before the next loss may come.
        """
        limits = self._core.limits
        earliest = self._elected_at - max(
            0.0, limits.unresponsive_seconds - limits.election_seconds
        )
        known = max(earliest, self._voter_silent_since.get(peer, self._elected_at))
        return max(known, self._replication.contact_at(peer))

    def advance_commit(self) -> None:
        """Commit what a majority has synced. To be called only after this member's own sync."""
        core = self._core
        log = core.storage.log
        index = self._index_to_commit()
        if index <= core.commit_index or not self._may_commit(index):
            return
        for committed in range(core.commit_index + 1, index + 1):
            entry = log.entry(committed)
            if entry.kind is EntryKind.DATA and entry.term == core.term:
                self._uncommitted_bytes -= entry_bytes(entry)
        core.commit_index = index

    def _index_to_commit(self) -> int:
        """Return the highest index that a majority and as many members as are required hold."""
        core = self._core
        membership = core.membership
        matches = sorted(self._match_index_of(voter) for voter in membership.voters())
        index = matches[len(matches) - membership.majority()]
        if index <= core.commit_index:
            return core.commit_index
        losses = core.limits.tolerated_losses
        lost = self._lost_identities()
        for members in membership.undecided_lists(core.commit_index):
            index = min(index, copied_index(members, losses, lost, self._match_index_of))
        return index

    def report_applied(self, index: int, result: object) -> None:
        """Report to the proposer of an entry, if it was proposed here, that it was applied."""
        token = self._token_by_index.pop(index, None)
        if token is not None:
            self._core.outputs.append(ProposalDone(token, index, result))

    def finish_step(self) -> None:
        """Complete member additions and confirmed reads, and send what is due to the peers."""
        self._finish_joins()
        core = self._core
        for token in self._reads.take_confirmed(self._answered_round(), core.applied_index):
            core.outputs.append(ReadConfirmed(token))
        self._replication.send_all(self._reads.required_round)

    def is_removed(self) -> bool:
        """Return whether this leader's own removal is committed."""
        core = self._core
        return not core.is_voter and core.membership.index <= core.commit_index

    def abandon(self) -> None:
        """Report to all waiting callers that this member is no longer the leader."""
        core = self._core
        tokens = [*self._token_by_index.values(), *self._join_token_by_id.values()]
        for token in tokens:
            lost = ProposalLost(token, core.leader, not_logged=False, reason="leadership lost")
            core.outputs.append(lost)
        for token in self._reads.take_all():
            core.outputs.append(ReadLost(token, core.leader))

    def _reject(self, token: int, reason: str) -> None:
        lost = ProposalLost(token, self._core.member_id, not_logged=True, reason=reason)
        self._core.outputs.append(lost)

    def _rejection_reason(self, event: ChangeMember) -> str:
        """Return why a member change is rejected, or an empty string if it is not."""
        core = self._core
        present = core.membership.member_by_id.get(event.member.member_id)
        if core.commit_index < self._start_index:
            # Two leaders in turn that each change the member list before they commit an entry could
            # end with majorities that do not overlap.
            return "the leader has just been elected; try again"
        if self._change_is_pending():
            return "another member change is in progress; try again"
        if present is None and (event.remove or event.replace):
            return f"{event.member.member_id} is not a member"
        if present is not None and not event.remove and not event.replace:
            return f"{event.member.member_id} is already a member; replace it if its disk was lost"
        if present is not None and present.voting and len(core.membership.voters()) == 1:
            return f"{event.member.member_id} is the only voter"
        if event.replace and event.member.member_id == core.member_id:
            return f"{event.member.member_id} is the leader; its folder is not lost"
        return ""

    def _change_is_pending(self) -> bool:
        return self._core.membership.index > self._core.commit_index

    def _append_members(self, members: tuple[Member, ...]) -> int:
        core = self._core
        listed = {member.identity for member in core.membership.members}
        lost = tuple(sorted(listed & self._lost_identities()))
        return core.append(members_entry(core.term, members, lost))

    def _lost_identities(self) -> set[str]:
        """Return the identities that are known to have no folder any more."""
        reported = self._replication.lost_identities()
        return reported | self._lost | self._core.membership.lost_identities()

    def _finish_joins(self) -> None:
        """Complete additions whose member is a voter and has all entries up to its promotion."""
        core = self._core
        for member_id, token in list(self._join_token_by_id.items()):
            member = core.membership.member_by_id.get(member_id)
            if member is None:
                del self._join_token_by_id[member_id]
                reason = "removed before it had caught up"
                lost = ProposalLost(token, core.member_id, not_logged=False, reason=reason)
                core.outputs.append(lost)
                continue
            index = core.membership.index
            if not member.voting or index > core.commit_index:
                continue
            if self._match_index_of(member) < index:
                continue
            del self._join_token_by_id[member_id]
            core.outputs.append(ProposalDone(token, index, None))

    def _match_index_of(self, member: Member) -> int:
        """Return up to which index the identity of a member holds the log."""
        core = self._core
        if member.member_id == core.member_id:
            return core.storage.log.last_index if member.identity == core.identity else 0
        return self._replication.match_index(member.member_id, member.identity)

    def _may_commit(self, index: int) -> bool:
        """Return whether an entry on a majority is committed: only if it is of this term.

        An entry of an earlier term may be on a majority and still be overwritten by a leader whose
        last entry has a later term; changes that were acknowledged would be lost.
        """
        return self._core.storage.log.term_at(index) == self._core.term

    def _next_round(self) -> int:
        return self._rounds.current + 1

    def _answered_round(self) -> int:
        """Return the latest round that a majority has answered; any round for a sole voter."""
        own = self._rounds.current + 1
        rounds = [self._replication.acked_round(voter.member_id) for voter in self._others()]
        return self._majority_value(rounds, own)

    def _majority_contact_at(self, now: float | None = None) -> float:
        """Return the latest time at which a majority is known to have followed this leader."""
        own = self._core.now if now is None else now
        times = [self._replication.contact_at(voter.member_id) for voter in self._others()]
        return self._majority_value(times, own)

    def _others(self) -> list[Member]:
        core = self._core
        return [voter for voter in core.membership.voters() if voter.member_id != core.member_id]

    def _majority_value(self, others: list, own: float) -> float:
        """Return the highest value that a majority of the voters reaches."""
        values = [*others, own] if self._core.is_voter else list(others)
        values.sort(reverse=True)
        majority = self._core.membership.majority()
        return values[majority - 1] if len(values) >= majority else NEVER
