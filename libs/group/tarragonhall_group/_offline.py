"""Stands in for the replica of a member whose data folder cannot be used at present."""

from __future__ import annotations

from dataclasses import replace

from tarragonhall_consensus import Event, Member, Output, Role, Status


def offline_replica(member_id: str, address: str) -> OfflineReplica:
    """Return the stand-in of a member whose data folder could not be read since the start."""
    status = Status(
        member_id=member_id,
        role=Role.OFFLINE,
        term=0,
        leader=None,
        commit_index=0,
        last_index=0,
        applied_index=0,
        members=[],
        identity="",
        address=address,
    )
    return OfflineReplica(status)


class OfflineReplica:
    """Takes no part in the group. The members known last are kept: others are reached at them."""

    __slots__ = ("_address_by_id", "_status")

    def __init__(self, last: Status) -> None:
        self._status = replace(
            last, role=Role.OFFLINE, leader=None, peer_by_id={}, leading_seconds=0.0
        )
        self._address_by_id = {member.member_id: member.address for member in last.members}

    def step(self, _events: list[Event], _now: float) -> list[Output]:
        """Return no outputs."""
        return []

    def status(self) -> Status:
        """Return the status at the failure, without role, leader and peers."""
        return self._status

    def members(self) -> tuple[Member, ...]:
        """Return the members known last."""
        return tuple(self._status.members)

    def address_of(self, member_id: str) -> str | None:
        """Return the link address of a member, None if it was none."""
        return self._address_by_id.get(member_id)

    def leader(self) -> str | None:
        """Return None: the leader is unknown."""
        return None

    def term(self) -> int:
        """Return the term known last."""
        return self._status.term

    def is_leader(self, _now: float) -> bool:
        """Return False."""
        return False

    def close(self) -> None:
        """Do nothing; the folder is closed already."""
