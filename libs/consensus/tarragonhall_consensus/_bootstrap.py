"""Bootstrap of a group by the initial member whose id sorts first.

It queries all initial members and creates the group, with their identities, only after every one
has answered from a new folder. If it has lost its own folder, at least one of the others already
belongs to the group, so it creates nothing and waits to be replaced. A second group would have a
leader of its own: both would accept changes, and those of one would be lost.
"""

from __future__ import annotations

from tarragonhall_consensus._core import NEVER, Core
from tarragonhall_consensus._membership import members_entry
from tarragonhall_consensus._messages import FoundingQuery, FoundingReply, Member
from tarragonhall_consensus._storage import generate_identity

BOOTSTRAP_TERM = 1


class Bootstrap:
    """Sends and answers bootstrap queries until the member belongs to a group."""

    __slots__ = ("_core", "_identity_by_id", "_initial_members", "_may_bootstrap", "_queried_at")

    def __init__(self, core: Core, initial_members: list[Member]) -> None:
        self._core = core
        self._initial_members = sorted(initial_members, key=lambda member: member.member_id)
        self._identity_by_id = {core.member_id: core.identity}
        self._queried_at = NEVER
        self._may_bootstrap = (
            bool(initial_members) and self._initial_members[0].member_id == core.member_id
        )

    def tick(self) -> None:
        """Query the initial members that have not answered, or bootstrap the group if all have."""
        core = self._core
        if core.group or not self._may_bootstrap:
            return
        missing = [m for m in self._initial_members if m.member_id not in self._identity_by_id]
        if not missing:
            self._bootstrap_group()
            return
        if core.now - self._queried_at < core.limits.retry_seconds:
            return
        self._queried_at = core.now
        for member in missing:
            core.send(member.member_id, FoundingQuery(core.envelope("")))

    def on_query(self, peer: str, query: FoundingQuery) -> None:
        """Report whether this folder is new; the envelope names the group if not."""
        core = self._core
        core.send(peer, FoundingReply(core.envelope(query.envelope.from_identity)))

    def on_reply(self, peer: str, reply: FoundingReply) -> None:
        """Record the identity of an initial member; stop if it already has a group."""
        if reply.envelope.to_identity != self._core.identity:
            return
        if reply.envelope.group:
            self._may_bootstrap = False
            return
        self._identity_by_id[peer] = reply.envelope.from_identity

    def _bootstrap_group(self) -> None:
        core = self._core
        members = tuple(
            Member(m.member_id, self._identity_by_id[m.member_id], m.address)
            for m in self._initial_members
        )
        core.join_group(generate_identity(core.rng))
        core.save_vote(BOOTSTRAP_TERM, "")
        core.append(members_entry(BOOTSTRAP_TERM, members))
        core.election_at = core.now
