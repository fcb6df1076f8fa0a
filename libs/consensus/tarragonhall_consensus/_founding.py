"""How a group begins: the first founding member by name asks all others whether they are new.

Only when every founding member has answered from a new folder does it found the group, with all
their identities. A founding member that has lost its folder meets at least one that belongs to the
group already, so it founds nothing and waits to be replaced. Were it to found another group, two
leaders would each accept changes, and callers would see one half of them vanish.
"""

from __future__ import annotations

from tarragonhall_consensus._core import NEVER, Core
from tarragonhall_consensus._membership import members_entry
from tarragonhall_consensus._messages import FoundingQuery, FoundingReply, Member
from tarragonhall_consensus._storage import draw_identity

FOUNDING_TERM = 1


class Founding:
    """Asks and answers until the member belongs to a group."""

    __slots__ = ("_asked_at", "_core", "_founders", "_identity_by_id", "_may_found")

    def __init__(self, core: Core, founders: list[Member]) -> None:
        self._core = core
        self._founders = sorted(founders, key=lambda member: member.member_id)
        self._identity_by_id = {core.member_id: core.identity}
        self._asked_at = NEVER
        self._may_found = bool(founders) and self._founders[0].member_id == core.member_id

    def tick(self) -> None:
        """Ask the other founding members again, or found the group once all have answered."""
        core = self._core
        if core.group or not self._may_found:
            return
        missing = [f for f in self._founders if f.member_id not in self._identity_by_id]
        if not missing:
            self._found()
            return
        if core.now - self._asked_at < core.limits.retry_seconds:
            return
        self._asked_at = core.now
        for founder in missing:
            core.send(founder.member_id, FoundingQuery(core.envelope("")))

    def on_query(self, peer: str, query: FoundingQuery) -> None:
        """Tell whether this folder is new; the envelope names the group if not."""
        core = self._core
        core.send(peer, FoundingReply(core.envelope(query.envelope.from_identity)))

    def on_reply(self, peer: str, reply: FoundingReply) -> None:
        """Note the identity of a new founding member; one with a group ends the founding."""
        if reply.envelope.to_identity != self._core.identity:
            return
        if reply.envelope.group:
            self._may_found = False
            return
        self._identity_by_id[peer] = reply.envelope.from_identity

    def _found(self) -> None:
        core = self._core
        members = tuple(
            Member(f.member_id, self._identity_by_id[f.member_id], f.address)
            for f in self._founders
        )
        core.join_group(draw_identity(core.rng))
        core.save_vote(FOUNDING_TERM, "")
        core.append(members_entry(FOUNDING_TERM, members))
        core.election_at = core.now
