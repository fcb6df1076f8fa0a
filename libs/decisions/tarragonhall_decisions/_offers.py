"""Servers that accept a call, with their costs, and the choice of the cheapest."""

from __future__ import annotations

import random
from dataclasses import dataclass

from tarragonhall_model import BackendRecord

from tarragonhall_decisions._engine_memory import RoomCheck

# Servers whose costs differ by no more are chosen among at random; less than the cost of one more
# running call, so that it still counts.
TIE_MS = 3.0


@dataclass(slots=True)
class Offer:
    """A server that accepts a call, its cost, the calls in flight there, and what it must read."""

    record: BackendRecord
    cost_ms: float
    running: int
    unread_tokens: int


def choose_cheapest(
    offers: list[Offer], rng: random.Random, room: RoomCheck | None = None
) -> BackendRecord | None:
    """Return the server with the lowest cost, drawn among near ties; None without offers.

    With `room`, only servers where the call fits are chosen; it is checked for those alone that
    would be the best so far.
    """
    best: list[BackendRecord] = []
    lowest = float("inf")
    for offer in offers:
        if offer.cost_ms > lowest + TIE_MS:
            continue
        if room is not None and not room.fits(offer.record):
            continue
        if offer.cost_ms < lowest - TIE_MS:
            best = []
        best.append(offer.record)
        lowest = min(lowest, offer.cost_ms)
    return rng.choice(best) if best else None
