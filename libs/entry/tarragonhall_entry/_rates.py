"""Calls a second of each organisation at this entry."""

from __future__ import annotations

import math

from tarragonhall_model import OrganisationPolicy, Rate, Refusal, RefusalCode


class LocalRates:
    """One bucket for each organisation in this process alone."""

    __slots__ = ("_level_by_org",)

    def __init__(self) -> None:
        self._level_by_org: dict[str, tuple[float, float]] = {}

    def take(self, organisation: OrganisationPolicy, now: float) -> float:
        """Take a token; return 0, or the seconds until there is one."""
        rate = organisation.rate
        level = self._level(organisation.org_id, rate, now)
        if level >= 1:
            self._level_by_org[organisation.org_id] = (level - 1, now)
            return 0.0
        self._level_by_org[organisation.org_id] = (level, now)
        return (1 - level) / rate.per_second if rate.per_second else math.inf

    def _level(self, org_id: str, rate: Rate, now: float) -> float:
        level, since = self._level_by_org.get(org_id, (rate.burst, now))
        return min(rate.burst, level + (now - since) * rate.per_second)


def rate_refusal(pause_s: float) -> Refusal:
    """Return the refusal of a call above its organisation's rate."""
    retry_after_ms = None if math.isinf(pause_s) else math.ceil(pause_s * 1000)
    return Refusal(
        RefusalCode.RATE_EXCEEDED,
        "the organisation is above its rate",
        retry_after_ms=retry_after_ms,
    )
