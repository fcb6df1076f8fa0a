"""Which members must hold an entry before it is committed, and which may elect a leader.

Members under a listed identity hold copies, whether they vote or not; a learner without one may
have lost its folder unnoticed. An entry is committed once a majority of the voters holds it, and as
many members as leave a copy if `losses` of them lose their folders.

A group whose voters have lost their folders has no majority. It goes on if every identity of the
list is accounted for: either it grants its vote, or its folder is known to be lost. Then no other
member can hold an entry or a vote, and the grants, one from each remaining folder, come from a
holder of every committed entry as long as enough of them remain.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from tarragonhall_consensus._messages import Member


def identified(members: tuple[Member, ...]) -> list[Member]:
    """Return the members that hold copies under a listed identity."""
    return [member for member in members if member.identity]


def has_majority(members: tuple[Member, ...], identities: Collection[str]) -> bool:
    """Return whether the identities are a majority of the voters of a list."""
    voters = [member for member in members if member.voting]
    return sum(member.identity in identities for member in voters) >= len(voters) // 2 + 1


def required_copies(members: tuple[Member, ...], losses: int) -> int:
    """Return how many identities hold each entry that is committed under a list, at least."""
    # One member may be down without blocking every change.
    return max(1, min(losses + 1, len(identified(members)) - 1))


def copied_index(
    members: tuple[Member, ...],
    losses: int,
    lost: Collection[str],
    index_of: Callable[[Member], int],
) -> float:
    """Return up to which index enough identities of a list hold the log.

    A lost copy is one of the losses that the others are to outlive, so it counts for any index.
    """
    indexes = [
        math.inf if member.identity in lost else index_of(member) for member in identified(members)
    ]
    indexes.sort(reverse=True)
    return indexes[required_copies(members, losses) - 1]


def is_recoverable(
    members: tuple[Member, ...], losses: int, granted: Collection[str], lost: Collection[str]
) -> bool:
    """Return whether the identities in `granted` are all that remain, and hold each entry."""
    remaining = [member for member in identified(members) if member.identity not in lost]
    if any(member.identity not in granted for member in remaining):
        return False
    missing = len(identified(members)) - len(remaining)
    return bool(remaining) and missing < required_copies(members, losses)
