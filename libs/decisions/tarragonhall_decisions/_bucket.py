"""The token bucket of one organisation, as its owner keeps it.

Tokens leave the bucket in slices that a holder may spend for a short time. The sum of the level and
of all unexpired slices never exceeds the burst. Without this limit, a slice granted from a full
bucket and spent late would add to the tokens refilled since, and a window would see more than
rate * window + burst.

Holders that got fewer tokens than they wanted are queued, and each is given a time for its turn.
Entries with few requests are then not starved by busy ones, and no entry polls in vain.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from tarragonhall_model import Rate, TokensGranted, new_id

# Seconds for which a holder may spend the tokens of a slice. Long enough that a short pause does
# not void replies (a hundred round trips between zones), short enough that tokens lost with a dead
# holder come back soon.
SLICE_VALID_S = 0.5
# Seconds of refill that one holder may take at its turn: a fast bucket then serves a holder's need
# in few round trips.
TURN_REFILL_S = 0.02
# Seconds for which a turn stays reserved for a holder that is late.
TURN_GRACE_S = 0.1
# Minimum `retry_after_ms` of a holder that is queued; 0 would mean that nothing is missing.
MIN_RETRY_MS = 5
# Tolerance for rounding: a sum of fractions may fall just short of a whole token.
EPSILON = 1e-9


@dataclass(slots=True)
class _Slice:
    holder: str
    tokens: float
    expires_at: float


@dataclass(slots=True)
class _Turn:
    wanted: float
    due: float
    # When the first of the holder's calls times out; turns are ordered by it.
    times_out_at: float


@dataclass(slots=True)
class Bucket:
    """Level, unexpired slices, and the holders that wait for more tokens."""

    rate: Rate
    level: float
    refilled_at: float
    _slice_by_id: dict[str, _Slice] = field(default_factory=dict)
    _turn_by_holder: dict[str, _Turn] = field(default_factory=dict)

    def set_rate(self, rate: Rate, now: float) -> None:
        """Apply a changed rate; the time until now is refilled at the old one."""
        self._refill(now)
        self.rate = rate
        self._cap()

    def grant(
        self,
        holder: str,
        wanted: float,
        now: float,
        rng: random.Random,
        timeout_s: float = math.inf,
    ) -> TokensGranted:
        """Grant as many whole tokens as are free after the turns of holders that go first.

        `timeout_s` is the time until the first of the holder's calls times out. Holders whose calls
        time out sooner go first, and equals go in order of their requests.
        """
        self._refill(now)
        times_out_at = now + timeout_s
        ahead, backlog = self._ahead_of(holder, times_out_at, now)
        free = self.level - ahead
        tokens = float(max(0, math.floor(min(wanted, free) + EPSILON)))
        slice_id = ""
        if tokens:
            slice_id = new_id("slice", rng)
            self.level -= tokens
            self._slice_by_id[slice_id] = _Slice(holder, tokens, now + SLICE_VALID_S)
        retry_ms = self._schedule_turn(
            holder, wanted - tokens, ahead, tokens > 0, now, times_out_at
        )
        return TokensGranted(
            org_id="",
            tokens=tokens,
            valid_ms=int(SLICE_VALID_S * 1000),
            retry_after_ms=retry_ms,
            slice_id=slice_id,
            backlog=backlog,
        )

    def end_slice(self, slice_id: str, unspent: float, now: float) -> None:
        """Close a slice and return its `unspent` tokens to the bucket. Unknown ids are ignored.

        Each id counts once: a duplicated message must not create tokens.
        """
        self._refill(now)
        ended = self._slice_by_id.pop(slice_id, None)
        if ended is not None:
            self.level += min(max(0.0, unspent), ended.tokens)
            self._cap()

    def add_outstanding(self, tokens: float, now: float) -> None:
        """Count tokens in unexpired slices that the previous owner granted."""
        if tokens > 0:
            self._slice_by_id["adopted"] = _Slice("", tokens, now + SLICE_VALID_S)
        self._cap()

    def outstanding(self, now: float) -> float:
        """Return the number of tokens in unexpired slices."""
        self._refill(now)
        return self._outstanding()

    def _outstanding(self) -> float:
        return sum(item.tokens for item in self._slice_by_id.values())

    def _refill(self, now: float) -> None:
        # The cap applies at each instant and changes whenever a slice expires, so refill up to each
        # expiry in turn.
        ends = sorted((item.expires_at, key) for key, item in self._slice_by_id.items())
        for expires_at, key in ends:
            if expires_at >= now:
                break
            self._refill_until(expires_at)
            del self._slice_by_id[key]
        self._refill_until(now)

    def _refill_until(self, until: float) -> None:
        if until > self.refilled_at:
            self.level += (until - self.refilled_at) * self.rate.per_second
            self.refilled_at = until
        self._cap()

    def _cap(self) -> None:
        self.level = max(0.0, min(self.level, self.rate.burst - self._outstanding()))

    def _ahead_of(self, holder: str, times_out_at: float, now: float) -> tuple[float, float]:
        """Return the tokens set aside for turns before this holder's, and the backlog of them all.

        Holders that can wait longer than this one count in neither.
        """
        expired = [h for h, turn in self._turn_by_holder.items() if turn.due + TURN_GRACE_S < now]
        for other in expired:
            del self._turn_by_holder[other]
        ahead = 0.0
        backlog = 0.0
        own_turn_seen = False
        for other, turn in self._turn_by_holder.items():
            if other == holder:
                own_turn_seen = True
                continue
            if turn.times_out_at > times_out_at:
                continue
            backlog += turn.wanted
            if not own_turn_seen or turn.times_out_at < times_out_at:
                ahead += min(turn.wanted, self._turn_size())
        return ahead, backlog

    def _schedule_turn(
        self,
        holder: str,
        missing: float,
        ahead: float,
        served: bool,
        now: float,
        times_out_at: float,
    ) -> int:
        if missing < 1.0:
            self._turn_by_holder.pop(holder, None)
            return 0
        if served:
            # Move to the end of the queue: the other holders go first.
            self._turn_by_holder.pop(holder, None)
            ahead = sum(
                min(turn.wanted, self._turn_size())
                for turn in self._turn_by_holder.values()
                if turn.times_out_at <= times_out_at
            )
        needed = ahead + min(missing, self._turn_size()) - self.level
        wait_s = max(0.0, needed) / max(self.rate.per_second, EPSILON)
        wait_ms = max(MIN_RETRY_MS, math.ceil(wait_s * 1000))
        self._turn_by_holder[holder] = _Turn(missing, now + wait_ms / 1000, times_out_at)
        return wait_ms

    def _turn_size(self) -> float:
        return max(1.0, math.floor(self.rate.per_second * TURN_REFILL_S))
