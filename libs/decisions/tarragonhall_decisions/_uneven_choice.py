"""The part of the choice of servers that is for services whose servers differ in speed.

Load patterns:
- Engines differ in speed, some nearly threefold. Calls go where they are expected to be answered
  first, which keeps the fast engines busier than the slow ones.
- Many entries with the same news choose at once. If each took the best server, it would be crowded
  until the next news. Each compares two servers that it draws at random, the more likely the faster
  they are and the more free slots they have, and one that holds the call's history. With more than
  two, the same fast servers would be crowded; with one, its expected time would not matter.
- Entries have different shares of a core. With equal shares of the slots, the large ones refuse
  calls while slots that the small ones cannot use stay free.
- Many entries talk to many servers, and opening a connection costs both sides. Servers to which one
  is idle are drawn more often.
- Callers of some programs send the whole history with each turn, through any entry. An entry that
  did not run the earlier turns looks for the history at the program's home, a server that all
  entries find by rendezvous hash, so that none must store or tell where it is.
- The demand of zones rises and falls at different times. Calls leave a zone once servers elsewhere
  have been expected to answer earlier for a while, with the way there (`ZoneExit`).
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

from tarragonhall_model import BackendRecord, LoadDetail

from tarragonhall_decisions._call_requirements import CallRequirements
from tarragonhall_decisions._entry_room import cores_differ
from tarragonhall_decisions._known_servers import KnownServers
from tarragonhall_decisions._offers import Offer
from tarragonhall_decisions._prompt_holders import PREFILL_TOKENS_PER_MS
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
# Cost beyond the lowest from which a server is not drawn: it failed recently or is out of reach.
MAX_EXCESS_MS = 200.0
# Weight in the draw of a server to which a connection would have to be opened. An entry with few
# calls thus uses a part of the servers, which grows with its load as its connections are busy.
NEW_CHANNEL_WEIGHT = 0.4
# Extra time for which a program starts at the server where other entries look for its history.
HOME_MS = 15.0
# Share of its prompt that a turn is expected to find at its home if the entry knows no holder.
HELD_AT_HOME = 0.3
# Pace below which a server is no home, and the servers tried as homes of one program.
MIN_HOME_PACE = 0.8
HOME_ATTEMPTS = 3
# Pace below which a server gets fewer calls than it has slots, so that they do not all end late.
SLOW_PACE = 0.5


class UnevenChoice:
    """Costs of servers by their pace, and the draw of one of them."""

    __slots__ = (
        "_exit_by_service",
        "_other_cores",
        "_other_entries",
        "_rng",
        "_zone",
        "_zone_cores",
        "cores",
        "has_channel",
        "is_ready",
        "left_zone",
        "paces",
    )

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._exit_by_service: dict[str, ZoneExit] = {}
        self.paces = ServerPaces()
        # Processor share of this entry and of all others; 0 where it is not known.
        self.cores = 0.0
        # Whether an open connection to a server is idle.
        self.has_channel: Callable[[str], bool] = lambda _server_id: True
        # Whether this entry takes new connections; if not, it tells no capacity.
        self.is_ready = True
        # Calls that went to servers of other zones, by reason.
        self.left_zone: Counter[str] = Counter()
        self._other_cores = 0.0
        self._zone_cores = 0.0
        self._other_entries = 0

    def covers(self, service: str) -> bool:
        """Return whether the servers of a service differ in speed."""
        return service in self.paces.services

    def set_others(self, detail: LoadDetail, entries: int) -> None:
        """Replace what the other entries told, and their number."""
        self.paces.set_others(detail)
        self._other_cores = sum(detail.capacity_by_zone.values())
        self._zone_cores = detail.capacity_by_zone.get(self._zone, 0.0)
        self._other_entries = entries

    def report_load(self, detail: LoadDetail, now: float) -> None:
        """Add what this entry tells the others."""
        if not self.paces.services:
            return
        self.paces.report_load(detail, now)
        if self.cores and self.is_ready:
            detail.capacity_by_zone[self._zone] = self.cores

    def zone_cores(self) -> float:
        """Return the cores of the other ready entries of the zone, 0 where none are known."""
        return self._zone_cores if self.paces.services else 0.0

    def cores_differ(self) -> bool:
        """Return whether the entries of uneven services have different processor shares."""
        if not self.paces.services:
            return False
        return cores_differ(self.cores, self._other_cores, self._other_entries)

    def entry_share(self) -> float:
        """Return this entry's share of the slots: its part of the cores, or an equal one."""
        if not self.cores or not self._other_cores:
            return 1.0 / (1 + self._other_entries)
        return self.cores / (self.cores + self._other_cores)

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
        self,
        offers: list[Offer],
        requirements: CallRequirements,
        keeps_zone: bool,
        home_id: str | None,
        now: float,
    ) -> BackendRecord | None:
        """Return the cheapest of a few servers that are drawn at random; None without offers.

        The draw is among the servers of the own zone if that `keeps_zone`, unless calls leave it,
        and includes a server that holds the call's history. `home_id` is the server that entries
        agree on for the program.
        """
        if not offers:
            return None
        local, reason = offers, ""
        if keeps_zone:
            local = [one for one in offers if one.record.availability_zone == self._zone]
        chosen = self._cheapest_of_few(local)
        if len(local) < len(offers):
            remote = self._cheapest_of_few(
                [one for one in offers if one.record.availability_zone != self._zone]
            )
            exit_ = self._exit_by_service.setdefault(requirements.service, ZoneExit())
            reason = "gain" if chosen is not None else "no_room"
            if exit_.leaves(chosen.cost_ms if chosen else None, remote.cost_ms, now):
                chosen = remote
        holder = self._holder(offers, local, requirements)
        if holder is not None and holder.cost_ms <= chosen.cost_ms:
            chosen, reason = holder, "history"
        home = self._by_id(offers, home_id)
        if home is not None:
            gain_ms = self._home_gain_ms(home, requirements, holder)
            if home.cost_ms - gain_ms <= chosen.cost_ms:
                chosen, reason = home, "history"
        if keeps_zone and chosen.record.availability_zone != self._zone:
            self.left_zone[reason] += 1
        return chosen.record

    def home_id(self, requirements: CallRequirements, known: KnownServers) -> str | None:
        """Return the server at which entries look for the history of a program, if any.

        It is found by rendezvous hash, and again where that yields a slow server.
        """
        if not requirements.history_key:
            return None
        for attempt in range(HOME_ATTEMPTS):
            key = f"{requirements.history_key}/{attempt}"
            server_id = known.preferred_id(requirements.service, key)
            if server_id is None or self.paces.pace(server_id) >= MIN_HOME_PACE:
                return server_id
        return server_id

    def _home_gain_ms(
        self, home: Offer, requirements: CallRequirements, holder: Offer | None
    ) -> float:
        """Return what a program gains at its home: other entries find its history there."""
        if holder is not None and holds_history(holder, requirements):
            return HOME_MS
        # Most likely earlier turns ran at other entries, which chose the home.
        read_ms = (
            home.unread_tokens / PREFILL_TOKENS_PER_MS / self.paces.pace(home.record.server_id)
        )
        return HOME_MS + HELD_AT_HOME * read_ms

    def _cheapest_of_few(self, offers: list[Offer]) -> Offer | None:
        """Return the cheaper of two servers drawn at random; None without offers."""
        if not offers:
            return None
        limit_ms = min(offer.cost_ms for offer in offers) + MAX_EXCESS_MS
        usable = [offer for offer in offers if offer.cost_ms <= limit_ms]
        first = self._draw_one(usable)
        others = [offer for offer in usable if offer is not first]
        if not others:
            return first
        second = self._draw_one(others)
        return second if second.cost_ms < first.cost_ms else first

    def _draw_one(self, offers: list[Offer]) -> Offer:
        return self._rng.choices(offers, [self._weight(offer) for offer in offers])[0]

    @staticmethod
    def _by_id(offers: list[Offer], server_id: str | None) -> Offer | None:
        if not server_id:
            return None
        return next((offer for offer in offers if offer.record.server_id == server_id), None)

    def _holder(
        self, offers: list[Offer], near: list[Offer], requirements: CallRequirements
    ) -> Offer | None:
        """Return the previous turn's server, or the one with the least to read.

        A shared part alone counts only at servers of `near`.
        """
        last = self._by_id(offers, requirements.last_server)
        if last is not None or not requirements.parts:
            return last
        least = min(offers, key=lambda offer: offer.unread_tokens)
        if not holds_history(least, requirements):
            least = min(near, key=lambda offer: offer.unread_tokens, default=least)
        holders = [offer for offer in near if offer.unread_tokens == least.unread_tokens]
        if holds_history(least, requirements):
            return least
        if not holders or len(holders) == len(near):
            return None
        return self._rng.choice(holders)

    def _weight(self, offer: Offer) -> float:
        server_id = offer.record.server_id
        weight = max(1, offer.record.slots - offer.running) * math.sqrt(self.paces.pace(server_id))
        return weight if self.has_channel(server_id) else weight * NEW_CHANNEL_WEIGHT


def holds_history(offer: Offer, requirements: CallRequirements) -> bool:
    """Return whether a server is believed to hold more of the prompt than its shared part."""
    parts = requirements.parts
    return len(parts) > 1 and offer.unread_tokens < sum(part.tokens for part in parts[1:])


def run_weight(slack_ms: float | None) -> float:
    """Return the share of the run time that counts, by the time that a program has to spare."""
    if slack_ms is None:
        return RUN_WEIGHT
    spare = (slack_ms - SHORT_SLACK_MS) / (LONG_SLACK_MS - SHORT_SLACK_MS)
    return MAX_RUN_WEIGHT * (1.0 - min(1.0, max(0.0, spare)))
