"""Who belongs to the group: the member list in force at each index of the log.

A list is in force from the moment its entry is in the log, committed or not, and goes when the
entry is dropped. Lists that follow one another differ by one voter at most, so that any majority
of one meets any majority of the next.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import decode, encode

from tarragonhall_consensus._log import Log
from tarragonhall_consensus._messages import Entry, EntryKind, Member, MemberList, SnapshotMeta


@dataclass(slots=True, frozen=True)
class _InForce:
    index: int
    members: tuple[Member, ...]


class Membership:
    """Member lists by the index that brought each."""

    __slots__ = ("_lists", "_voters", "member_by_id")

    def __init__(self) -> None:
        self._lists: list[_InForce] = []
        self._voters: list[Member] = []
        self.member_by_id: dict[str, Member] = {}

    @property
    def index(self) -> int:
        """Return the index of the entry that brought the list in force; 0 without any."""
        return self._lists[-1].index if self._lists else 0

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the list in force."""
        return self._lists[-1].members if self._lists else ()

    def voters(self) -> list[Member]:
        """Return the members whose votes and acknowledgements count."""
        return self._voters

    def majority(self) -> int:
        """Return how many voters make a majority."""
        return len(self._voters) // 2 + 1

    def is_voter(self, member_id: str, identity: str) -> bool:
        """Return whether this identity of the member votes."""
        member = self.member_by_id.get(member_id)
        return member is not None and member.voting and member.identity == identity

    def is_member(self, member_id: str, identity: str) -> bool:
        """Return whether this identity belongs to the group; a learner may be unknown yet."""
        member = self.member_by_id.get(member_id)
        return member is not None and member.identity in ("", identity)

    def load(self, snapshot: SnapshotMeta | None, log: Log) -> None:
        """Take the lists of the snapshot and of the entries after it."""
        self._lists = []
        start = log.base_index + 1
        if snapshot is not None:
            self._lists.append(_InForce(snapshot.index, snapshot.members))
            start = snapshot.index + 1
        for index in range(start, log.last_index + 1):
            self.take(index, log.entry(index))
        self._refresh()

    def take(self, index: int, entry: Entry) -> None:
        """Put the list of an entry in force, where the entry holds one."""
        if entry.kind is EntryKind.MEMBERS:
            self._lists.append(_InForce(index, decode(entry.data).members))
            self._refresh()

    def drop_from(self, index: int) -> None:
        """Go back to the list in force before `index`."""
        if self.index < index:
            return
        while self._lists and self._lists[-1].index >= index:
            self._lists.pop()
        self._refresh()

    def at(self, index: int) -> tuple[Member, ...]:
        """Return the list in force at an index."""
        for in_force in reversed(self._lists):
            if in_force.index <= index:
                return in_force.members
        return ()

    def _refresh(self) -> None:
        self._voters = [member for member in self.members if member.voting]
        self.member_by_id = {member.member_id: member for member in self.members}


def members_entry(term: int, members: tuple[Member, ...]) -> Entry:
    """Return the entry that puts a member list in force."""
    return Entry(term, EntryKind.MEMBERS, encode(MemberList(members)))


def with_learner(members: tuple[Member, ...], joining: Member) -> tuple[Member, ...]:
    """Return the list with the member as a learner, in place of one of the same name."""
    learner = Member(joining.member_id, joining.identity, joining.address, voting=False)
    return (*without(members, joining.member_id), learner)


def with_voter(members: tuple[Member, ...], member_id: str, identity: str) -> tuple[Member, ...]:
    """Return the list with a learner made a voter under the identity that was caught up."""
    promoted = []
    for member in members:
        if member.member_id == member_id:
            member = Member(member_id, identity, member.address, voting=True)
        promoted.append(member)
    return tuple(promoted)


def without(members: tuple[Member, ...], member_id: str) -> tuple[Member, ...]:
    """Return the list without the member."""
    return tuple(member for member in members if member.member_id != member_id)
