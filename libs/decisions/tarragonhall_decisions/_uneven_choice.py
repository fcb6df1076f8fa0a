"""The part of the choice of servers that is for services whose servers differ in speed.

Load patterns:
- Engines run at 0.6, 1 and 1.6 of the usual speed. Calls go where they are expected to be answered
  first, which keeps the fast engines busier than the slow ones.
- Many entries with the same news choose at once. If each took the best server, it would be crowded
  until the next news. Each compares two servers that it draws at random, the more likely the faster
  they are and the more free slots they have, and one that holds the call's history.
- The demand of zones rises and falls at different times. Calls leave a zone once servers elsewhere
  have been expected to answer earlier for a while, with the way there (`ZoneExit`).
"""

from __future__ import annotations

import math
import random

from tarragonhall_model import BackendRecord

from tarragonhall_decisions._call_requirements import CallRequirements
from tarragonhall_decisions._offers import Offer
from tarragonhall_decisions._server_pace import ServerPaces
from tarragonhall_decisions._zone_exit import ZoneExit

# Share of the run time at a server that counts beside the time to the first event: most for a
# program with less than `SHORT_SLACK_MS` to spare, none for one with `LONG_SLACK_MS`. With more,
# the fast servers are crowded under high load while the slow ones idle.
MAX_RUN_WEIGHT = 0.15
SHORT_SLACK_MS = 200.0
LONG_SLACK_MS = 1_000.0
# Where the slack of a program is not known.
RUN_WEIGHT = 0.05
# Servers that are drawn at random and compared. With more, entries whose news are equally old crowd
# the same fast servers; with one, its expected time would not matter.
DRAWN = 2
# Pace below which a server gets fewer calls than it has slots, so that they do not all end late.
SLOW_PACE = 0.5


class UnevenChoice:
    """Costs of servers by their pace, and the draw of one of them."""

    __slots__ = ("_exit_by_service", "_rng", "_zone", "paces")

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._exit_by_service: dict[str, ZoneExit] = {}
        self.paces = ServerPaces()

    def covers(self, service: str) -> bool:
        """Return whether the servers of a service differ in speed."""
        return service in self.paces.services

    def room(self, record: BackendRecord, overcommit: float) -> float:
        """Return the calls that a server may have: its slots, and a queue that fits its pace."""
        pace = self.paces.pace(record.server_id)
        usable = min(1.0, pace / SLOW_PACE)
        return max(1, record.slots) * (usable + (overcommit - 1.0) * pace)

    def scaled_ms(
        self, server_id: str, requirements: CallRequirements, serve_ms: float, run_ms: float
    ) -> float:
        """Return the part of the cost that depends on the pace: wait, read, and a part of the run.

        `serve_ms` is the expected wait and read at the mean pace, `run_ms` the mean run time.
        """
        weight = run_weight(requirements.slack_ms) if requirements.parts else 1.0
        return (serve_ms + weight * run_ms) / self.paces.pace(server_id)

    def draw(
        self, offers: list[Offer], requirements: CallRequirements, keeps_zone: bool, now: float
    ) -> BackendRecord | None:
        """Return the cheapest of a few servers that are drawn at random; None without offers.

        The draw is among the servers of the own zone if that `keeps_zone`, unless calls leave it,
        and includes a server that holds the call's history.
        """
        if not offers:
            return None
        local = offers
        if keeps_zone:
            local = [one for one in offers if one.record.availability_zone == self._zone]
        chosen = self._cheapest_of_few(local)
        if len(local) < len(offers):
            remote = self._cheapest_of_few(
                [one for one in offers if one.record.availability_zone != self._zone]
            )
            exit_ = self._exit_by_service.setdefault(requirements.service, ZoneExit())
            if exit_.leaves(chosen.cost_ms if chosen else None, remote.cost_ms, now):
                chosen = remote
        holder = self._holder(offers, requirements)
        if chosen is None or (holder is not None and holder.cost_ms <= chosen.cost_ms):
            chosen = holder
        return chosen.record if chosen is not None else None

    def _cheapest_of_few(self, offers: list[Offer]) -> Offer | None:
        if not offers:
            return None
        weights = [self._weight(offer) for offer in offers]
        few = self._rng.choices(offers, weights, k=DRAWN)
        return min(few, key=lambda offer: offer.cost_ms)

    def _holder(self, offers: list[Offer], requirements: CallRequirements) -> Offer | None:
        """Return one of the servers that must read no more than the last part of the prompt."""
        if not requirements.parts:
            return None
        new_tokens = requirements.parts[-1].tokens
        holders = [offer for offer in offers if offer.unread_tokens <= new_tokens]
        if not holders or len(holders) == len(offers):
            return None
        return self._rng.choice(holders)

    def _weight(self, offer: Offer) -> float:
        free = max(1, offer.record.slots - offer.running)
        return free * math.sqrt(self.paces.pace(offer.record.server_id))


def run_weight(slack_ms: float | None) -> float:
    """Return the share of the run time that counts, by the time that a program has to spare."""
    if slack_ms is None:
        return RUN_WEIGHT
    spare = (slack_ms - SHORT_SLACK_MS) / (LONG_SLACK_MS - SHORT_SLACK_MS)
    return MAX_RUN_WEIGHT * (1.0 - min(1.0, max(0.0, spare)))
