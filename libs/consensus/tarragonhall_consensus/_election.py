"""Elections: pre-vote, vote, and who may be voted for."""

from __future__ import annotations

from tarragonhall_consensus._core import Core, Role
from tarragonhall_consensus._messages import VoteReply, VoteRequest


class Election:
    """Stands for election when no leader is heard, and answers others that do."""

    __slots__ = ("_core", "_granted", "_pre")

    def __init__(self, core: Core) -> None:
        self._core = core
        self._pre = True
        self._granted: set[str] = set()

    def tick(self) -> bool:
        """Stand for election where it is time; return whether this member has won."""
        core = self._core
        if core.leadership is not None or not core.is_voter:
            return False
        alone = len(core.membership.voters()) == 1
        if not alone and core.now < core.election_at:
            return False
        return self._begin(pre=self._wants_pre_vote())

    def on_request(self, peer: str, request: VoteRequest) -> None:
        """Answer a candidate."""
        granted = self._is_granted(request)
        if granted and not request.pre:
            self._core.save_vote(request.for_term, request.envelope.from_identity)
            self._core.put_off_election()
        envelope = self._core.envelope(request.envelope.from_identity)
        self._core.send(peer, VoteReply(envelope, request.pre, request.for_term, granted))

    def on_reply(self, peer: str, reply: VoteReply) -> bool:
        """Count an answer; return whether this member has won."""
        core = self._core
        if not self._counts(peer, reply):
            return False
        if reply.envelope.term > core.term:
            core.follow(reply.envelope.term, None)
            return False
        if not reply.granted or reply.pre != self._pre or reply.for_term != self._for_term():
            return False
        self._granted.add(peer)
        return self._go_on()

    def _begin(self, pre: bool) -> bool:
        core = self._core
        core.stand()
        if pre:
            core.ask_again_soon()
        else:
            core.put_off_election()
        self._pre = pre
        if not pre:
            core.save_vote(core.term + 1, core.identity)
        self._granted = {core.member_id}
        log = core.storage.log
        for voter in core.membership.voters():
            if voter.member_id == core.member_id:
                continue
            envelope = core.envelope(voter.identity)
            request = VoteRequest(envelope, pre, self._for_term(), log.last_index, log.last_term)
            core.send(voter.member_id, request)
        return self._go_on()

    def _go_on(self) -> bool:
        """Move from the pre-vote to the vote, and from that to the lead, given a majority."""
        if len(self._granted) < self._core.membership.majority():
            return False
        if self._pre:
            return self._begin(pre=False)
        return True

    def _for_term(self) -> int:
        return self._core.term + 1 if self._pre else self._core.term

    def _wants_pre_vote(self) -> bool:
        """Return whether to ask for votes without raising the term first: always.

        A member behind a one-way cut hears no leader and would raise its term again and again.
        Back among the others, its higher term would depose a leader that serves well; callers
        would see a pause at every such return.
        """
        return True

    def _counts(self, peer: str, reply: VoteReply) -> bool:
        """Return whether an answer comes from a voter of the group under its known identity."""
        core = self._core
        if core.role is not Role.CANDIDATE:
            return False
        return core.membership.is_voter(peer, reply.envelope.from_identity)

    def _is_granted(self, request: VoteRequest) -> bool:
        core = self._core
        if core.leader_is_alive() or request.for_term < core.term:
            return False
        if not self._is_up_to_date(request):
            return False
        if request.for_term > core.term:
            if not request.pre:
                core.follow(request.for_term, None)
            return True
        return core.storage.state.vote in ("", request.envelope.from_identity)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        """Return whether the candidate holds all that this member does.

        Committed entries are on a majority; a leader without them would overwrite them. A removed
        member is kept out by this too: its log lacks its own removal, which a majority holds.
        """
        log = self._core.storage.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)
