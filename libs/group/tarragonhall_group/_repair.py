"""Chooses the next membership change of a leader, so that a group recovers without an operator.

Without it, a machine that is replaced by another or returns without its disk would leave the group
one member short. The next loss would then end the group: no write is accepted any more, and data
that only two members held may be lost.

A group has no more members than it needs, since each is one more copy of every commit. A process
that requests to join a full group is a standby: it repeats the request and is added as soon as a
member is unresponsive or is to leave.

A member that answers from a data folder with an unlisted identity has lost its disk and is
replaced. A process that is not listed and requests to join is added. An unresponsive member is
removed only once enough others are present: removing it earlier would turn an outage that may be
over in seconds into a smaller group.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tarragonhall_consensus import ChangeMember, Member, Status


@dataclass(slots=True, frozen=True)
class RepairLimits:
    """Sizes in members, times in seconds."""

    # Three members survive the loss of one; each further pair costs every commit two more copies.
    voters: int = 3
    # Whether to prefer members in the leader's availability zone, if no zone loss need be survived.
    prefer_leader_zone: bool = False
    # Sufficient number of members, not counting unresponsive and leaving ones. Every process that
    # operators and backend servers may contact should hold the log; from the tenth on, members only
    # add copies.
    target_members: int = 9
    # How long the removal of a leaving member waits for a standby to request its place. A standby
    # sends requests after 2.5 s without a leader.
    leave_wait_s: float = 0.0
    # Above the time after which an unresponsive link is closed and redialled, so that a dead
    # connection is not mistaken for a dead machine; below the time in which a lost machine must be
    # replaced (a few seconds).
    unresponsive_s: float = 2.5
    # Join requests come about every half second; without one for this long, the process is gone.
    join_request_valid_s: float = 2.0


def limits_for_tolerated_losses(tolerated_losses: int) -> RepairLimits:
    """Return limits for a group that survives this many simultaneous losses."""
    defaults = RepairLimits()
    voters = 2 * tolerated_losses + 1
    return replace(defaults, voters=voters, target_members=max(defaults.target_members, voters + 1))


def minimal_limits_for_losses(
    tolerated_losses: int, tolerated_zone_losses: int = 0
) -> RepairLimits:
    """Return limits for the smallest group that survives the losses; others are standbys."""
    voters = 2 * tolerated_losses + 1
    return RepairLimits(
        voters=voters,
        target_members=voters,
        prefer_leader_zone=not tolerated_zone_losses,
        leave_wait_s=3.5,
    )


@dataclass(slots=True)
class _JoinRequest:
    address: str
    at: float
    same_zone: bool = False


@dataclass(slots=True)
class MemberRepair:
    """Records join requests and decides the next change, of one member at a time."""

    limits: RepairLimits = RepairLimits()
    _request_by_id: dict[str, _JoinRequest] = field(default_factory=dict)
    _leaving_since: float | None = None
    # Since when this leader knows each learner.
    _learner_since_by_id: dict[str, float] = field(default_factory=dict)

    def add_request(
        self, member_id: str, address: str, now: float, same_zone: bool = False
    ) -> None:
        """Record the join request of a process.

        `same_zone` says that it is in the leader's availability zone.
        """
        self._request_by_id[member_id] = _JoinRequest(address, now, same_zone)

    def next_change(
        self, status: Status, leaving: frozenset[str], token: int, now: float
    ) -> ChangeMember | None:
        """Return the change to make now, None if there is none; `leaving` ids are to be removed.

        A leader that is itself to leave is removed last, when no other leaving member is left.
        """
        return (
            self._replace_wiped(status, leaving, token)
            or self._remove_lost_learner(status, leaving, token, now)
            or self._add_joiner(status, leaving, token, now)
            or self._remove_leaving(status, leaving, token, now)
            or self._remove_unresponsive(status, token)
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
        if self._has_enough_members(status, leaving):
            return None
        for member_id, request in self._pending_requests(known, leaving, now):
            return ChangeMember(token, Member(member_id, "", request.address, voting=False))
        return None

    def _pending_requests(
        self, known: set[str], leaving: frozenset[str], now: float
    ) -> list[tuple[str, _JoinRequest]]:
        """Return the requests of processes that may be added, in order, and drop outdated ones."""
        pending = []
        for member_id, request in list(self._request_by_id.items()):
            if member_id in known or now - request.at > self.limits.join_request_valid_s:
                del self._request_by_id[member_id]
                continue
            if member_id not in leaving:
                pending.append((member_id, request))
        return sorted(pending, key=lambda item: self._is_in_other_zone(item[1]))

    def _remove_lost_learner(
        self, status: Status, leaving: frozenset[str], token: int, now: float
    ) -> ChangeMember | None:
        """Make room for a process that asks to join; a learner counts for no majority."""
        learners = {member.member_id for member in status.members if not member.voting}
        for member_id in list(self._learner_since_by_id):
            if member_id not in learners:
                del self._learner_since_by_id[member_id]
        for member_id in learners:
            self._learner_since_by_id.setdefault(member_id, now)
        known = {member.member_id for member in status.members}
        if not self._pending_requests(known, leaving, now):
            return None
        for member in status.members:
            if member.member_id not in learners:
                continue
            added_s = now - self._learner_since_by_id[member.member_id]
            if added_s <= self.limits.unresponsive_s:
                # One that was just added has not reported yet.
                continue
            if self._is_unresponsive(status, member.member_id):
                return ChangeMember(token, member, remove=True)
        return None

    def _is_in_other_zone(self, request: _JoinRequest) -> bool:
        """Return whether to add this process after those in the leader's availability zone."""
        return self.limits.prefer_leader_zone and not request.same_zone

    def _has_enough_members(self, status: Status, leaving: frozenset[str]) -> bool:
        enough = self.limits.target_members
        if len(status.members) >= enough + enough // 2:
            # Replacements for as many members as may be lost at once have been added already.
            return True
        staying = 0
        for member in status.members:
            if member.member_id in leaving:
                continue
            # A learner that was just added has not reported yet.
            if not member.voting or not self._is_unresponsive(status, member.member_id):
                staying += 1
        return staying >= enough

    def _remove_leaving(
        self, status: Status, leaving: frozenset[str], token: int, now: float
    ) -> ChangeMember | None:
        responsive = self._responsive_voters(status)
        departing = [m for m in status.members if m.member_id in leaving]
        if not departing:
            self._leaving_since = None
            return None
        if self._leaving_since is None:
            self._leaving_since = now
        departing.sort(key=lambda member: member.member_id == status.member_id)
        for member in departing:
            staying = [one for one in responsive if one not in leaving]
            if len(staying) < 2:
                return None
            waited_s = now - self._leaving_since
            if len(staying) < self.limits.voters and waited_s < self.limits.leave_wait_s:
                # Removed now, it would leave a group that the next loss ends.
                return None
            return ChangeMember(token, member, remove=True)
        return None

    def _remove_unresponsive(self, status: Status, token: int) -> ChangeMember | None:
        if len(self._responsive_voters(status)) < self.limits.voters:
            return None
        for member in status.members:
            peer = status.peer_by_id.get(member.member_id)
            # A new leader has had no contact with healthy members yet.
            if peer is None or peer.silent_s <= self.limits.unresponsive_s:
                continue
            return ChangeMember(token, member, remove=True)
        return None

    def _responsive_voters(self, status: Status) -> list[str]:
        return [
            member.member_id
            for member in status.members
            if member.voting and not self._is_unresponsive(status, member.member_id)
        ]

    def _is_unresponsive(self, status: Status, member_id: str) -> bool:
        if member_id == status.member_id:
            return False
        peer = status.peer_by_id.get(member_id)
        if peer is None:
            return True
        return (
            peer.seconds_since_contact is None
            or peer.seconds_since_contact > self.limits.unresponsive_s
        )
