"""The token bucket of one organisation, as its owner keeps it.

Tokens leave the bucket in slices that a holder may spend for a short time. The sum of the level and
of all slices that may still be spent never exceeds the burst: a slice that was granted from a full
bucket and spent late would otherwise come on top of the tokens refilled meanwhile, and a window
would see more than rate * window + burst.

Holders that got less than they want queue: each is promised a turn, so that an entry which asks
rarely is not starved by one that asks all the time, and no entry polls in vain.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from tarragonhall_model import Rate, TokensGranted, new_id

# Seconds for which a holder may spend the tokens of a slice.
SLICE_VALID_S = 0.5
# Seconds of refill that one holder may take at its turn.
TURN_S = 0.02
# Seconds for which a promised turn is kept for a holder that is late.
TURN_SLACK_S = 0.1
MIN_RETRY_MS = 5
# Sums of fractions fall short of a whole token by rounding alone.
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
    # When the first of the holder's calls gives up; the turns of others go by it.
    gives_up_at: float


@dataclass(slots=True)
class Bucket:
    """Level, slices that may still be spent, and the holders that wait for more."""

    rate: Rate
    level: float
    filled_at: float
    _slice_by_id: dict[str, _Slice] = field(default_factory=dict)
    _turn_by_holder: dict[str, _Turn] = field(default_factory=dict)

    def set_rate(self, rate: Rate, now: float) -> None:
        """Take over a changed rate; what was refilled so far was refilled at the old one."""
        self._refill(now)
        self.rate = rate
        self._cap()

    def grant(
        self,
        holder: str,
        wanted: float,
        now: float,
        rng: random.Random,
        patience_s: float = math.inf,
    ) -> TokensGranted:
        """Grant whole tokens, as many as are free after the turns of others that go first.

        `patience_s` is after which time the first of the holder's calls gives up. Whoever gives up
        sooner goes first, and whoever asked first among equals.
        """
        self._refill(now)
        gives_up_at = now + patience_s
        ahead, backlog = self._ahead_of(holder, gives_up_at, now)
        free = self.level - ahead
        tokens = float(max(0, math.floor(min(wanted, free) + EPSILON)))
        slice_id = ""
        if tokens:
            slice_id = new_id("slice", rng)
            self.level -= tokens
            self._slice_by_id[slice_id] = _Slice(holder, tokens, now + SLICE_VALID_S)
        retry_ms = self._promise(holder, wanted - tokens, ahead, tokens > 0, now, gives_up_at)
        return TokensGranted(
            org_id="",
            tokens=tokens,
            valid_ms=int(SLICE_VALID_S * 1000),
            retry_after_ms=retry_ms,
            slice_id=slice_id,
            backlog=backlog,
        )

    def end_slice(self, slice_id: str, unspent: float, now: float) -> None:
        """Note that a slice is spent but for `unspent`, which goes back. Unknown ids are ignored.

        Each id counts once: a doubled message must not create tokens.
        """
        self._refill(now)
        ended = self._slice_by_id.pop(slice_id, None)
        if ended is not None:
            self.level += min(max(0.0, unspent), ended.tokens)
            self._cap()

    def adopt(self, tokens: float, now: float) -> None:
        """Count tokens that an earlier owner granted in slices which have not ended."""
        if tokens > 0:
            self._slice_by_id["adopted"] = _Slice("", tokens, now + SLICE_VALID_S)
        self._cap()

    def outstanding(self, now: float) -> float:
        """Return how many tokens are in slices that may still be spent."""
        self._refill(now)
        return self._outstanding()

    def _outstanding(self) -> float:
        return sum(item.tokens for item in self._slice_by_id.values())

    def _refill(self, now: float) -> None:
        # The cap holds at each instant, also at the end of each slice on the way, so refill up
        # to each of them in turn.
        ends = sorted((item.expires_at, key) for key, item in self._slice_by_id.items())
        for expires_at, key in ends:
            if expires_at >= now:
                break
            self._add(expires_at)
            del self._slice_by_id[key]
        self._add(now)

    def _add(self, until: float) -> None:
        if until > self.filled_at:
            self.level += (until - self.filled_at) * self.rate.per_second
            self.filled_at = until
        self._cap()

    def _cap(self) -> None:
        self.level = max(0.0, min(self.level, self.rate.burst - self._outstanding()))

    def _ahead_of(self, holder: str, gives_up_at: float, now: float) -> tuple[float, float]:
        """Return the tokens promised before this holder's turn, and all that others wait for.

        Those who can wait longer than this holder count for neither.
        """
        late = [h for h, turn in self._turn_by_holder.items() if turn.due + TURN_SLACK_S < now]
        for other in late:
            del self._turn_by_holder[other]
        ahead = 0.0
        backlog = 0.0
        found = False
        for other, turn in self._turn_by_holder.items():
            if other == holder:
                found = True
                continue
            if turn.gives_up_at > gives_up_at:
                continue
            backlog += turn.wanted
            if not found or turn.gives_up_at < gives_up_at:
                ahead += min(turn.wanted, self._turn_size())
        return ahead, backlog

    def _promise(
        self,
        holder: str,
        missing: float,
        ahead: float,
        served: bool,
        now: float,
        gives_up_at: float,
    ) -> int:
        if missing < 1.0:
            self._turn_by_holder.pop(holder, None)
            return 0
        if served:
            # To the end of the queue: the others have their turn first.
            self._turn_by_holder.pop(holder, None)
            ahead = sum(
                min(turn.wanted, self._turn_size())
                for turn in self._turn_by_holder.values()
                if turn.gives_up_at <= gives_up_at
            )
        needed = ahead + min(missing, self._turn_size()) - self.level
        wait_s = max(0.0, needed) / max(self.rate.per_second, EPSILON)
        wait_ms = max(MIN_RETRY_MS, math.ceil(wait_s * 1000))
        self._turn_by_holder[holder] = _Turn(missing, now + wait_ms / 1000, gives_up_at)
        return wait_ms

    def _turn_size(self) -> float:
        return max(1.0, math.floor(self.rate.per_second * TURN_S))
