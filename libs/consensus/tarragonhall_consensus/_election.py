"""Elections: pre-votes, votes, and the conditions for granting them."""

from __future__ import annotations

from tarragonhall_consensus._core import Core, Role
from tarragonhall_consensus._messages import Member, OtherIdentity, VoteReply, VoteRequest
from tarragonhall_consensus._quorums import has_majority, identified, is_recoverable

# Voters that lost their folders may have elected leaders that the remaining members never heard of.
# A term that goes on from theirs is beyond any of those.
RECOVERY_TERM_STEP = 1 << 20


class Election:
    """Starts an election when the leader is unreachable, and answers the requests of others."""

    __slots__ = (
        "_asked_at_by_id",
        "_core",
        "_granted",
        "_is_pre_vote",
        "_is_recovery",
        "_lost",
        "_refused",
        "_reported_at_by_id",
    )

    def __init__(self, core: Core) -> None:
        self._core = core
        self._is_pre_vote = True
        # Whether this round asks for votes to go on without the identities in `_lost`.
        self._is_recovery = False
        self._lost: set[str] = set()
        self._granted: dict[str, str] = {}
        self._refused: set[str] = set()
        # When each voter was first asked that has sent nothing since: by this member, and by those
        # that have answered it.
        self._asked_at_by_id: dict[str, float] = {}
        self._reported_at_by_id: dict[str, float] = {}

    def tick(self) -> bool:
        """Start an election if it is due; return whether this member has won."""
        core = self._core
        if core.leadership is not None or not self._may_be_elected():
            return False
        alone = core.is_voter and len(core.membership.voters()) == 1
        if not alone and core.now < core.election_at:
            return False
        return self._start_round(pre=self._uses_pre_vote())

    def lost(self) -> frozenset[str]:
        """Return the identities without which this member had to win the current round."""
        if self._has_majority() or not self._is_recovery:
            return frozenset()
        return frozenset(self._lost_identities())

    def _lost_identities(self) -> set[str]:
        return self._lost | self._core.membership.lost_identities()

    def granted_by(self) -> tuple[str, ...]:
        """Return the members that have granted their vote in the current round, sorted."""
        return tuple(sorted(self._granted))

    def refused_by(self) -> tuple[str, ...]:
        """Return the members that have refused their vote in the current round, sorted."""
        return tuple(sorted(self._refused))

    def silent_since(self) -> dict[str, float]:
        """Return since when each voter has left requests for votes unanswered, by id."""
        reported = self._reported_at_by_id
        return {peer: min(at, reported.get(peer, at)) for peer, at in self._asked_at_by_id.items()}

    def _silent_s_by_id(self) -> dict[str, float]:
        """Return for how long voters have left this member's requests unanswered."""
        core = self._core
        return {
            peer: core.now - at
            for peer, at in self._asked_at_by_id.items()
            if at > core.leader_contact_at
        }

    def on_request(self, peer: str, request: VoteRequest) -> None:
        """Answer a vote request of a candidate."""
        self._asked_at_by_id.pop(peer, None)
        granted = self._is_granted(request)
        if granted and not request.pre:
            self._core.save_vote(request.for_term, request.envelope.from_identity)
            self._core.restart_election_timer()
        core = self._core
        envelope = core.envelope(request.envelope.from_identity)
        reply = VoteReply(envelope, request.pre, request.for_term, granted, self._silent_s_by_id())
        core.send(peer, reply)

    def on_reply(self, peer: str, reply: VoteReply) -> bool:
        """Count a vote reply; return whether this member has won."""
        core = self._core
        if not self._is_valid_reply(peer, reply):
            return False
        self._asked_at_by_id.pop(peer, None)
        for voter, seconds in reply.silent_s_by_id.items():
            self._reported_at_by_id[voter] = core.now - seconds
        if reply.envelope.term > core.term:
            core.become_follower(reply.envelope.term, None)
            return False
        if reply.pre != self._is_pre_vote or reply.for_term != self._for_term():
            return False
        if not reply.granted:
            self._refused.add(peer)
            return False
        self._granted[peer] = reply.envelope.from_identity
        return self._advance()

    def on_other_identity(self, peer: str, message: OtherIdentity) -> bool:
        """Record that a member has lost its folder; return whether this member has won."""
        core = self._core
        if core.role is not Role.CANDIDATE or message.envelope.to_identity != core.identity:
            return False
        if not any(
            member.member_id == peer and member.identity == message.lost_identity
            for member in self._listed()
        ):
            return False
        self._lost.add(message.lost_identity)
        return self._advance()

    def _may_be_elected(self) -> bool:
        """Return whether to start an election.

        A learner that holds each entry may be the only one that can be elected, if the voters have
        lost their folders. It leaves them the time to elect one of themselves.
        """
        core = self._core
        if core.is_voter:
            return True
        member = core.membership.member_by_id.get(core.member_id)
        if member is None or member.identity != core.identity:
            return False
        return core.now - core.leader_contact_at >= core.limits.unresponsive_seconds

    def _listed(self) -> list[Member]:
        """Return the identities that the undecided member lists name."""
        lists = self._core.membership.undecided_lists(self._core.commit_index)
        return [member for members in lists for member in identified(members)]

    def _start_round(self, pre: bool, is_recovery: bool = False) -> bool:
        core = self._core
        if core.role is not Role.CANDIDATE:
            self._asked_at_by_id.clear()
            self._reported_at_by_id.clear()
            self._lost.clear()
        core.become_candidate()
        if pre:
            core.schedule_pre_vote_retry()
        else:
            core.restart_election_timer()
        self._is_pre_vote = pre
        self._is_recovery = is_recovery
        if not pre:
            step = RECOVERY_TERM_STEP if is_recovery else 1
            core.save_vote(core.term + step, core.identity)
        self._granted = {core.member_id: core.identity}
        self._refused = set()
        self._send_requests()
        return self._advance()

    def _send_requests(self) -> None:
        """Ask the voters, and all that hold copies where a round may go on without the voters."""
        core = self._core
        log = core.storage.log
        asks_all = self._is_pre_vote or self._is_recovery
        asked: set[str] = set()
        for member in self._listed() if asks_all else core.membership.voters():
            if member.identity in asked or member.identity == core.identity:
                continue
            if member.member_id == core.member_id:
                self._lost.add(member.identity)
                continue
            asked.add(member.identity)
            request = VoteRequest(
                core.envelope(member.identity),
                self._is_pre_vote,
                self._for_term(),
                log.last_index,
                log.last_term,
            )
            if core.membership.is_voter(member.member_id, member.identity):
                self._asked_at_by_id.setdefault(member.member_id, core.now)
            core.send(member.member_id, request)

    def _advance(self) -> bool:
        """With enough votes, move from pre-vote to vote; return whether the vote is won."""
        if self._has_majority():
            return self._start_round(pre=False) if self._is_pre_vote else True
        if not self._is_recoverable():
            return False
        if self._is_pre_vote:
            return self._start_round(pre=False, is_recovery=True)
        return self._is_recovery

    def _has_majority(self) -> bool:
        return has_majority(self._core.membership.members, set(self._granted.values()))

    def _is_recoverable(self) -> bool:
        core = self._core
        granted = set(self._granted.values())
        losses = core.limits.tolerated_losses
        lost = self._lost_identities()
        return all(
            is_recoverable(members, losses, granted, lost)
            for members in core.membership.undecided_lists(core.commit_index)
        )

    def _for_term(self) -> int:
        return self._core.term + 1 if self._is_pre_vote else self._core.term

    def _uses_pre_vote(self) -> bool:
        """Return whether to run a pre-vote before raising the term; always true.

        Behind a one-way partition a member receives no heartbeats and would raise its term again
        and again. After the partition its higher term would depose a healthy leader, and callers
        would see a pause each time.
        """
        return True

    def _is_valid_reply(self, peer: str, reply: VoteReply) -> bool:
        """Return whether this is a candidate and the reply is from a listed identity."""
        if self._core.role is not Role.CANDIDATE:
            return False
        identity = reply.envelope.from_identity
        return any(
            member.member_id == peer and member.identity == identity for member in self._listed()
        )

    def _is_granted(self, request: VoteRequest) -> bool:
        core = self._core
        if core.leader_may_hold_lease() or request.for_term < core.term:
            return False
        if not self._is_up_to_date(request):
            return False
        if request.for_term > core.term:
            if not request.pre:
                core.become_follower(request.for_term, None)
            return True
        return core.storage.state.vote in ("", request.envelope.from_identity)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this member's.

        Committed entries are on a majority; a leader without them would overwrite them. This also
        excludes removed members: their log lacks the removal, which a majority holds.
        """
        log = self._core.storage.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)
