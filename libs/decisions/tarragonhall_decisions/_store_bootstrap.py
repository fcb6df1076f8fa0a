"""Which stores bootstrap their group, decided once by the leader of control.

Load pattern: every stored turn goes from the leader to each other member. Members in other
availability zones cause most of the traffic between zones of a deployment, and commits wait for the
round trip. A group is therefore no larger and no more spread out than the tolerated losses require:
of 2 n + 1 members n may be lost, and members are in different zones only if zones may be lost. The
other stores are standbys that replace a lost member.

No process knows how many stores a deployment has; they start within moments of each other. The
leader waits until there are enough to tolerate the losses. If the members may all be in one zone,
it then waits a little for stores that start at the same time, until one zone has enough of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import StoreRecord, View

# Seconds without a new store after which the deployment is assumed to have no more; the group is
# then bootstrapped with fewer members.
DISCOVERY_WAIT_S = 4.0
# Seconds without a new store after which a group is bootstrapped even if it spans several zones.
SAME_ZONE_WAIT_S = 1.5


@dataclass(slots=True, frozen=True)
class ToleratedLosses:
    """How many machines, or whole availability zones, may be lost at once."""

    machines: int = 1
    zones: int = 0

    @property
    def members(self) -> int:
        """Return the group size that tolerates the loss of so many machines."""
        return 2 * self.machines + 1


class StoreBootstrap:
    """Watches the leader's view until the initial members can be named."""

    __slots__ = ("_count_changed_at", "_fresh_count", "_losses")

    def __init__(self, losses: ToleratedLosses) -> None:
        self._losses = losses
        self._fresh_count = 0
        self._count_changed_at = 0.0

    def initial_members(self, view: View, now: float) -> list[str]:
        """Return the initial members to commit now; empty if it is too early or already decided."""
        if view.store_founders:
            return []
        fresh = [store for store in view.stores if store.fresh]
        if len(fresh) != self._fresh_count:
            self._fresh_count = len(fresh)
            self._count_changed_at = now
        wanted = self._losses.members
        unchanged_s = now - self._count_changed_at
        if len(fresh) < wanted:
            return _spread(fresh) if fresh and unchanged_s > DISCOVERY_WAIT_S else []
        if self._losses.zones:
            return _spread(fresh)[:wanted]
        packed = _packed(fresh)[:wanted]
        zones = {store.availability_zone for store in fresh if store.store_id in packed}
        return packed if len(zones) == 1 or unchanged_s > SAME_ZONE_WAIT_S else []


def _spread(stores: list[StoreRecord]) -> list[str]:
    """Return the store ids ordered so that the first ones cover as many zones as possible."""
    rank_in_zone: dict[str, int] = {}
    ranked = []
    for store in sorted(stores, key=lambda store: store.store_id):
        rank = rank_in_zone.get(store.availability_zone, 0)
        rank_in_zone[store.availability_zone] = rank + 1
        ranked.append((rank, store.store_id))
    return [store_id for _rank, store_id in sorted(ranked)]


def _packed(stores: list[StoreRecord]) -> list[str]:
    """Return the store ids ordered so that the first ones cover as few zones as possible."""
    ids_by_zone: dict[str, list[str]] = {}
    for store in sorted(stores, key=lambda store: store.store_id):
        ids_by_zone.setdefault(store.availability_zone, []).append(store.store_id)
    largest_first = sorted(ids_by_zone.items(), key=lambda item: (-len(item[1]), item[0]))
    return [store_id for _zone, ids in largest_first for store_id in ids]
