"""Group membership: the member list that is active at each index of the log.

A list is active as soon as its entry is in the log, committed or not, and until the entry is
dropped or a later list follows. Successive lists differ by at most one voter, so that any majority
of one overlaps any majority of the next; only the list of a leader elected by `is_recoverable` may
differ by more. Until a list is committed, entries need the copies that the list before it asks for.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from tarragonhall_model import decode, encode

from tarragonhall_consensus._log import Log
from tarragonhall_consensus._messages import Entry, EntryKind, Member, MemberList, SnapshotMeta


@dataclass(slots=True, frozen=True)
class _ActiveList:
    index: int
    members: tuple[Member, ...]
    lost: tuple[str, ...] = ()


class Membership:
    """The member lists, each with the index of its entry."""

    __slots__ = ("_lists", "_voters", "member_by_id")

    def __init__(self) -> None:
        self._lists: list[_ActiveList] = []
        self._voters: list[Member] = []
        self.member_by_id: dict[str, Member] = {}

    @property
    def index(self) -> int:
        """Return the index of the entry that holds the active list; 0 without any."""
        return self._lists[-1].index if self._lists else 0

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the active list."""
        return self._lists[-1].members if self._lists else ()

    def voters(self) -> list[Member]:
        """Return the members whose votes and acknowledgements count towards a majority."""
        return self._voters

    def majority(self) -> int:
        """Return how many voters make a majority."""
        return len(self._voters) // 2 + 1

    def undecided_lists(self, commit_index: int) -> list[tuple[Member, ...]]:
        """Return the active list and, unless it is committed, the one before it."""
        lists = [active.members for active in self._lists[-2:]]
        if self.index <= commit_index:
            return lists[-1:]
        return lists

    def lost_identities(self) -> set[str]:
        """Return the identities that the undecided lists say are lost."""
        return {identity for active in self._lists[-2:] for identity in active.lost}

    def is_repeated(self) -> bool:
        """Return whether the active list is that of the entry before it too, or the only one."""
        return len(self._lists) < 2 or self._lists[-1].members == self._lists[-2].members

    def is_voter(self, member_id: str, identity: str) -> bool:
        """Return whether the member is a voter under this identity."""
        member = self.member_by_id.get(member_id)
        return member is not None and member.voting and member.identity == identity

    def is_member(self, member_id: str, identity: str) -> bool:
        """Return whether this identity belongs to the group; any does while none is listed."""
        member = self.member_by_id.get(member_id)
        return member is not None and member.identity in ("", identity)

    def load(self, snapshot: SnapshotMeta | None, log: Log) -> None:
        """Load the lists of the snapshot and of the entries after it."""
        self._lists = []
        start = log.base_index + 1
        if snapshot is not None:
            self._lists.append(_ActiveList(snapshot.index, snapshot.members))
            start = snapshot.index + 1
        for index in range(start, log.last_index + 1):
            self.add_entry(index, log.entry(index))
        self._refresh()

    def add_entry(self, index: int, entry: Entry) -> None:
        """Activate the list of an entry, if the entry holds one."""
        if entry.kind is EntryKind.MEMBERS:
            listed = decode(entry.data)
            self._lists.append(_ActiveList(index, listed.members, listed.lost))
            self._refresh()

    def drop_from(self, index: int) -> None:
        """Return to the list that was active before `index`."""
        if self.index < index:
            return
        while self._lists and self._lists[-1].index >= index:
            self._lists.pop()
        self._refresh()

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Return the list that is active at an index."""
        for active in reversed(self._lists):
            if active.index <= index:
                return active.members
        return ()

    def _refresh(self) -> None:
        self._voters = [member for member in self.members if member.voting]
        self.member_by_id = {member.member_id: member for member in self.members}


def members_entry(term: int, members: tuple[Member, ...], lost: tuple[str, ...] = ()) -> Entry:
    """Return the entry that activates a member list; `lost` are identities without a folder."""
    return Entry(term, EntryKind.MEMBERS, encode(MemberList(members, lost)))


def with_learner(members: tuple[Member, ...], joining: Member) -> tuple[Member, ...]:
    """Return the list with the member as a learner, replacing a member of the same id."""
    learner = Member(joining.member_id, joining.identity, joining.address, voting=False)
    return (*without(members, joining.member_id), learner)


def with_voter(members: tuple[Member, ...], member_id: str, identity: str) -> tuple[Member, ...]:
    """Return the list with a learner promoted to voter under the identity that caught up."""
    promoted = []
    for member in members:
        if member.member_id == member_id:
            member = Member(member_id, identity, member.address, voting=True)
        promoted.append(member)
    return tuple(promoted)


def with_identity(members: tuple[Member, ...], member_id: str, identity: str) -> tuple[Member, ...]:
    """Return the list with the identity of a learner that has caught up."""
    return tuple(
        replace(member, identity=identity) if member.member_id == member_id else member
        for member in members
    )


def recovered_list(members: tuple[Member, ...], lost: frozenset[str]) -> tuple[Member, ...]:
    """Return the list of a group that goes on without the identities in `lost`.

    The other identities vote; the members under the lost ones start over as learners.
    """
    recovered = []
    for member in members:
        if member.identity and member.identity not in lost:
            recovered.append(replace(member, voting=True))
            continue
        recovered.append(replace(member, identity="", voting=False))
    return tuple(recovered)


def without(members: tuple[Member, ...], member_id: str) -> tuple[Member, ...]:
    """Return the list without the member."""
    return tuple(member for member in members if member.member_id != member_id)
