"""Which change of members a leader makes next, so that a group heals without an operator.

What goes wrong without it: a machine is gone for good and another takes its place, or a machine
comes back without its disk. The group then stays one short of what it can lose, and the next loss
ends it: no write is accepted any more, and what only two members held may be gone.

A group has no more members than it needs: each is one more copy of every commit. Who asks to join a
full group stands by, asks on, and is added as soon as a member is silent or is to leave.

A member that answers from another data folder than the list names has lost its disk and is
replaced. One that is not in the list and asks to join is added. A voter that has been silent is
taken out once enough others are there, never before: taking it out earlier would trade a loss that
may be over in seconds for a smaller group.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tarragonhall_consensus import ChangeMember, Member, Status


@dataclass(slots=True, frozen=True)
class RepairLimits:
    """Sizes in members, times in seconds."""

    # Three members bear the loss of one; each further pair costs every commit two more copies.
    voters: int = 3
    # Whether members of the leader's availability zone are preferred: no zone has to be borne.
    packed: bool = False
    # How many members, silent and leaving ones not counted, are enough. All that operators and
    # backend servers may turn to are to hold the log; from the tenth on it is only more copies.
    enough_members: int = 9
    # For how long a member that is to leave is kept while another may still ask to take its place.
    # One that stands by asks once it has followed no leader for 2.5 s.
    leave_patience_s: float = 0.0
    # Above the silence after which a link is closed and dialled again, so that a connection that
    # went dead is not taken for a dead machine; below the time in which a replaced machine must be
    # made up for (a few seconds).
    silent_s: float = 2.5
    # A joiner asks about every half second; one that stopped asking has gone again.
    joiner_valid_s: float = 2.0


def limits_for_losses(losses_borne: int) -> RepairLimits:
    """Return limits for a group that is to go on after so many losses at once."""
    plain = RepairLimits()
    voters = 2 * losses_borne + 1
    return replace(plain, voters=voters, enough_members=max(plain.enough_members, voters + 1))


def smallest_for_losses(losses_borne: int, zone_losses_borne: int = 0) -> RepairLimits:
    """Return limits for a group of as few members as bear the losses; other processes stand by."""
    voters = 2 * losses_borne + 1
    return RepairLimits(
        voters=voters,
        enough_members=voters,
        packed=not zone_losses_borne,
        leave_patience_s=3.5,
    )


@dataclass(slots=True)
class _Asked:
    address: str
    at: float
    near: bool = False


@dataclass(slots=True)
class MemberRepair:
    """Remembers who asks to join and decides the next change. One member at a time."""

    limits: RepairLimits = RepairLimits()
    _asked_by_id: dict[str, _Asked] = field(default_factory=dict)
    _leaving_since: float | None = None

    def ask(self, member_id: str, address: str, now: float, near: bool = False) -> None:
        """Note that a process that follows no leader wants to be a member.

        `near` says that it is in the leader's availability zone.
        """
        self._asked_by_id[member_id] = _Asked(address, now, near)

    def next_change(
        self, status: Status, leaving: frozenset[str], token: int, now: float
    ) -> ChangeMember | None:
        """Return the change to make now; `leaving` must not be members any more.

        A leader that is to leave itself is taken out last, when it is the only one left to go.
        """
        return (
            self._replace_wiped(status, leaving, token)
            or self._add_joiner(status, leaving, token, now)
            or self._remove_leaving(status, leaving, token, now)
            or self._remove_silent(status, token)
        )

    def _replace_wiped(
        self, status: Status, leaving: frozenset[str], token: int
    ) -> ChangeMember | None:
        for member in status.members:
            peer = status.peer_by_id.get(member.member_id)
            if peer is None or not peer.other_identity or member.member_id in leaving:
                continue
            joining = Member(member.member_id, "", member.address, voting=False)
            return ChangeMember(token, joining, replace=True)
        return None

    def _add_joiner(
        self, status: Status, leaving: frozenset[str], token: int, now: float
    ) -> ChangeMember | None:
        known = {member.member_id for member in status.members}
        if self._has_enough(status, leaving):
            return None
        asking = sorted(self._asked_by_id.items(), key=lambda item: self._is_farther(item[1]))
        for member_id, asked in asking:
            if member_id in known or now - asked.at > self.limits.joiner_valid_s:
                del self._asked_by_id[member_id]
                continue
            if member_id in leaving:
                continue
            return ChangeMember(token, Member(member_id, "", asked.address, voting=False))
        return None

    def _is_farther(self, asked: _Asked) -> bool:
        """Return whether others that ask go first; in their order otherwise."""
        return self.limits.packed and not asked.near

    def _has_enough(self, status: Status, leaving: frozenset[str]) -> bool:
        enough = self.limits.enough_members
        if len(status.members) >= enough + enough // 2:
            # As many as can be lost at once have been made up for already.
            return True
        staying = 0
        for member in status.members:
            if member.member_id in leaving:
                continue
            # A learner that was just added has not been heard yet.
            if not member.voting or not self._is_silent(status, member.member_id):
                staying += 1
        return staying >= enough

    def _remove_leaving(
        self, status: Status, leaving: frozenset[str], token: int, now: float
    ) -> ChangeMember | None:
        live = self._live_voters(status)
        going = [m for m in status.members if m.member_id in leaving]
        if not going:
            self._leaving_since = None
            return None
        if self._leaving_since is None:
            self._leaving_since = now
        going.sort(key=lambda member: member.member_id == status.member_id)
        for member in going:
            staying = [one for one in live if one not in leaving]
            if len(staying) < 2:
                return None
            waited_s = now - self._leaving_since
            if len(staying) < self.limits.voters and waited_s < self.limits.leave_patience_s:
                # Gone now, it would leave a group that the next loss ends.
                return None
            return ChangeMember(token, member, remove=True)
        return None

    def _remove_silent(self, status: Status, token: int) -> ChangeMember | None:
        if status.leading_seconds < self.limits.silent_s:
            # A new leader has heard nobody yet and would take healthy members for silent.
            return None
        if len(self._live_voters(status)) < self.limits.voters:
            return None
        for member in status.members:
            if not self._is_silent(status, member.member_id):
                continue
            return ChangeMember(token, member, remove=True)
        return None

    def _live_voters(self, status: Status) -> list[str]:
        return [
            member.member_id
            for member in status.members
            if member.voting and not self._is_silent(status, member.member_id)
        ]

    def _is_silent(self, status: Status, member_id: str) -> bool:
        if member_id == status.member_id:
            return False
        peer = status.peer_by_id.get(member_id)
        if peer is None:
            return True
        return peer.silent_seconds is None or peer.silent_seconds > self.limits.silent_s
