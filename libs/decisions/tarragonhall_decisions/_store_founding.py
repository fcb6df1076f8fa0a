"""Which store members found their group, decided by the leader of control once and for all.

Load pattern: every kept turn goes from the leader to each other member. Members in other
availability zones make most of the bytes between zones of a deployment, and commits wait for the
way. A group is therefore no larger and no wider than the losses to be borne ask for: of 2 n + 1
members n may be lost, and members lie in different zones only where zones may be lost. The other
stores stand by to take the place of a member that is lost.

No process is told how many stores a deployment has; they start within moments of each other. The
leader waits for as many as bear the losses, and, where they are to lie together, for the rest of
the same start.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import StoreRecord, View

# Seconds without another store after which a deployment is taken to have no more of them.
PATIENCE_S = 4.0
# Seconds without another store after which a group that could be founded is not made narrower.
SETTLE_S = 1.5


@dataclass(slots=True, frozen=True)
class LossesBorne:
    """How many machines, or how many whole availability zones, may be lost at once."""

    machines: int = 1
    zones: int = 0

    @property
    def members(self) -> int:
        """Return how many members of a group bear the loss of so many machines."""
        return 2 * self.machines + 1


class StoreFounding:
    """Watches the view of a leader until the founders can be named."""

    __slots__ = ("_count", "_losses", "_since")

    def __init__(self, losses: LossesBorne) -> None:
        self._losses = losses
        self._count = 0
        self._since = 0.0

    def founders(self, view: View, now: float) -> list[str]:
        """Return the founders to commit now; empty where it is too early or decided already."""
        if view.store_founders:
            return []
        fresh = [store for store in view.stores if store.fresh]
        if len(fresh) != self._count:
            self._count = len(fresh)
            self._since = now
        wanted = self._losses.members
        quiet_s = now - self._since
        if len(fresh) < wanted:
            return _spread(fresh) if fresh and quiet_s > PATIENCE_S else []
        if self._losses.zones:
            return _spread(fresh)[:wanted]
        near = _packed(fresh)[:wanted]
        zones = {store.availability_zone for store in fresh if store.store_id in near}
        return near if len(zones) == 1 or quiet_s > SETTLE_S else []


def _spread(stores: list[StoreRecord]) -> list[str]:
    """Return the ids of stores so that the first ones lie in as many zones as there are."""
    rank_in_zone: dict[str, int] = {}
    ranked = []
    for store in sorted(stores, key=lambda store: store.store_id):
        rank = rank_in_zone.get(store.availability_zone, 0)
        rank_in_zone[store.availability_zone] = rank + 1
        ranked.append((rank, store.store_id))
    return [store_id for _rank, store_id in sorted(ranked)]


def _packed(stores: list[StoreRecord]) -> list[str]:
    """Return the ids of stores so that the first ones lie in as few zones as possible."""
    ids_by_zone: dict[str, list[str]] = {}
    for store in sorted(stores, key=lambda store: store.store_id):
        ids_by_zone.setdefault(store.availability_zone, []).append(store.store_id)
    largest_first = sorted(ids_by_zone.items(), key=lambda item: (-len(item[1]), item[0]))
    return [store_id for _zone, ids in largest_first for store_id in ids]
