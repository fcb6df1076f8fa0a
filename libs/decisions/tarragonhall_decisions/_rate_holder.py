"""One entry's part in the rate of one organisation: its waiting calls and the slices it holds.

See `_rate` for the whole protocol. A call waits for its token while that leaves half of its time to
run. If the wait would be longer, the call is refused at once, so that its caller learns when to
retry instead of holding a connection for nothing. Calls of programs that have started go before
calls that start a program: an organisation over its rate then finishes programs instead of starting
more. Among the former, the call that times out first goes first, here and at the owner; otherwise a
lookup with one second left would wait behind turns with five.

A rate limits the calls that run. A call may get its token and then be refused, because its
program's budget is exhausted or no server accepted it. It returns the token if the owner does not
know yet that it was spent. Otherwise one program that loops beyond its budget would delay the
organisation's other programs.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tarragonhall_model import Execution, NotOwner, Rate, Refusal, RefusalCode, TokensGranted

from tarragonhall_decisions._deadlines import Deadline, bounded_retry_ms

# Maximum wait for a token, in seconds. Without it, all calls of an organisation that stays above
# its rate would wait until half of their deadline, each holding a connection.
MAX_WAIT_S = 10.0
# Maximum share of its time that a call may wait for a token.
WAIT_SHARE = 0.5
# A call of a started program may wait longer than `WAIT_SHARE` allows, as long as this many times
# its run time is left afterwards.
RUN_MARGIN = 4.0
# Seconds after which a spent slice is reported to the owner, unless a request reports it sooner. A
# few round trips: the owner does not refill the tokens of a slice before it ends.
REPORT_AFTER_S = 0.02
# Seconds after which an unanswered request counts as lost: far above a round trip plus the delay of
# a busy entry. Calls wait at least this long before the request is repeated.
REQUEST_TIMEOUT_S = 0.08
# Seconds for which an owner that did not answer counts as unreachable.
UNREACHABLE_S = 1.0
# Bounds of the pause, in seconds, before the next request to an owner that cannot grant. The upper
# one limits how late a hand-over that ends the wait early is noticed, at four messages a second.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.25
# Avoids a division by zero for a rate of 0.
MIN_RATE = 1e-6
# Seconds for which a report of an exhausted bucket stays valid; about the time of one call.
EXHAUSTED_S = 0.3


@dataclass(slots=True, frozen=True)
class Admitted:
    """A token was spent for this call; it may proceed now."""

    call_id: str


@dataclass(slots=True, frozen=True)
class RateRefused:
    """The call got no token and no longer waits."""

    call_id: str
    refusal: Refusal


@dataclass(slots=True, frozen=True)
class EndedSlice:
    """A slice that is no longer used; its `unspent` tokens return to the owner."""

    owner: str
    slice_id: str
    unspent: float
    spent: float = 0.0


@dataclass(slots=True)
class WaitingCall:
    """A call that waits for a token."""

    call_id: str
    started: bool
    times_out_at: float


@dataclass(slots=True)
class _HeldSlice:
    owner: str
    slice_id: str
    tokens: float
    usable_until: float
    spent: float = 0.0


@dataclass(slots=True)
class Holder:
    """One organisation's waiting calls at this entry, and the slices held for them."""

    rate: Rate
    waiting: list[WaitingCall] = field(default_factory=list)
    requested_at: float | None = None
    request_after: float = float("-inf")
    # Slices to report to the owner, and when at the latest.
    ended: list[EndedSlice] = field(default_factory=list)
    report_at: float | None = None
    # Whether the owner granted less than was requested.
    exhausted: bool = False
    _slices: list[_HeldSlice] = field(default_factory=list)
    _backlog: float = 0.0
    _backlog_at: float = 0.0
    # When the owner, by its last reply, can grant again after waiting out previous owners.
    _usable_at: float = float("-inf")
    # Until when an owner that did not answer counts as unreachable.
    _unreachable_until: float = float("-inf")

    def offer(
        self,
        call_id: str,
        deadline: Deadline,
        started: bool,
        now: float,
        run_s: float | None = None,
    ) -> Admitted | RateRefused | None:
        """Admit or refuse a call at once, or queue it.

        `run_s` is the usual run time of such calls, if known.
        """
        if not self.waiting and self._spend(now):
            return Admitted(call_id)
        left_s = deadline.at - now
        allowed_s = WAIT_SHARE * left_s
        if started and run_s is not None:
            allowed_s = max(allowed_s, left_s - RUN_MARGIN * run_s)
        times_out_at = now + allowed_s
        ahead = self._ahead_of(started, times_out_at)
        wait_s = self._expected_wait_s(ahead, now)
        limit_s = min(MAX_WAIT_S, allowed_s)
        if wait_s > limit_s:
            return RateRefused(call_id, self._refusal(wait_s - limit_s, now))
        self.waiting.insert(ahead, WaitingCall(call_id, started, times_out_at))
        return None

    def patience_ms(self, now: float) -> int | None:
        """Return the time until the first waiting call times out.

        None if no call waits, or if the first one starts a program.
        """
        if not self.waiting or not self.waiting[0].started:
            return None
        return max(0, int((self.waiting[0].times_out_at - now) * 1000))

    def _ahead_of(self, started: bool, times_out_at: float) -> int:
        """Return how many calls go before one: those of started programs, by when they time out."""
        if not started:
            return len(self.waiting)
        return sum(1 for call in self.waiting if call.started and call.times_out_at <= times_out_at)

    def withdraw(self, call_id: str) -> None:
        """Remove a waiting call."""
        self.waiting = [call for call in self.waiting if call.call_id != call_id]

    def return_token(self, now: float) -> bool:
        """Return the token of a call that did not run; False if the slice was already reported."""
        for index, ended in enumerate(self.ended):
            if ended.spent < 1.0:
                continue
            self.ended[index] = replace(ended, unspent=ended.unspent + 1.0, spent=ended.spent - 1.0)
            self.report_at = now
            return True
        return False

    def serve(self, now: float) -> list[Admitted]:
        """Admit waiting calls with the available tokens; end the slices that no call needs."""
        admitted = []
        while self.waiting and self._spend(now):
            admitted.append(Admitted(self.waiting.pop(0).call_id))
        for held in self._slices:
            # No call waits, or the slice has expired: other holders may need the tokens.
            self._end_slice(held, now)
        self._slices.clear()
        return admitted

    def reject_expired(self, now: float) -> list[RateRefused]:
        """Refuse the calls whose wait has expired, or whose turn cannot come in time."""
        refused = []
        remaining = []
        for call in self.waiting:
            soonest_s = (
                (len(remaining) + 1) / max(self.rate.per_second, MIN_RATE)
                if self.exhausted
                else 0.0
            )
            if now < call.times_out_at and now + soonest_s <= call.times_out_at:
                remaining.append(call)
                continue
            wait_s = self._expected_wait_s(len(remaining), now)
            refused.append(RateRefused(call.call_id, self._refusal(wait_s, now)))
        self.waiting = remaining
        return refused

    def should_request(self, now: float) -> bool:
        """Return whether to request tokens from the owner now."""
        return bool(self.waiting) and self.requested_at is None and now >= self.request_after

    def on_reply(
        self, reply: TokensGranted | NotOwner, owner: str, sent_at: float, now: float
    ) -> None:
        """Process the owner's reply; a reply to an earlier request still brings its tokens."""
        if self.requested_at == sent_at:
            self.requested_at = None
        self._unreachable_until = float("-inf")
        match reply:
            case TokensGranted():
                if reply.tokens > 0:
                    usable_until = sent_at + reply.valid_ms / 1000
                    self._slices.append(
                        _HeldSlice(owner, reply.slice_id, reply.tokens, usable_until)
                    )
                self.exhausted = reply.retry_after_ms > 0
                self._usable_at = now
                self._backlog = reply.backlog
                self._backlog_at = now
                self.request_after = now + reply.retry_after_ms / 1000
            case NotOwner():
                self.exhausted = False
                self._usable_at = now + reply.retry_after_ms / 1000
                pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, reply.retry_after_ms / 1000))
                self.request_after = now + pause_s

    def on_no_reply(self, sent_at: float, now: float) -> None:
        """Record that a request was lost; the owner counts any tokens granted for it as spent."""
        if self.requested_at == sent_at:
            self.requested_at = None
            self.request_after = now + MIN_PAUSE_S
            self._unreachable_until = now + UNREACHABLE_S

    def on_owner_change(self) -> None:
        """Request from the new owner soon; the state of the old one no longer applies."""
        self.requested_at = None
        self.request_after = float("-inf")
        self._usable_at = float("-inf")
        self._unreachable_until = float("-inf")
        self.exhausted = False
        self._backlog = 0.0

    def next_wake(self) -> float | None:
        """Return when the next step is due, None if nothing is."""
        times = [call.times_out_at for call in self.waiting]
        if self.report_at is not None:
            times.append(self.report_at)
        if self.requested_at is not None:
            times.append(self.requested_at + REQUEST_TIMEOUT_S)
        elif self.waiting:
            times.append(self.request_after)
        return min(times, default=None)

    def is_exhausted(self, now: float) -> bool:
        """Return whether the owner granted less than was requested, and that still holds."""
        return self.exhausted and (bool(self.waiting) or now < self.request_after + EXHAUSTED_S)

    def is_unavailable(self, now: float) -> bool:
        """Return whether the owner was unreachable lately, or waits out previous owners."""
        return now < self._unreachable_until or now < self._usable_at

    def expected_wait_s(self, now: float) -> float:
        """Return the expected wait for a token of one more call."""
        available_in_s = max(0.0, max(self._usable_at, self._unreachable_until) - now)
        return available_in_s + self._expected_wait_s(len(self.waiting), now)

    def idle(self) -> bool:
        """Return whether there is nothing to do."""
        return not self.waiting and not self.ended and self.requested_at is None

    def _spend(self, now: float) -> bool:
        while self._slices:
            held = self._slices[0]
            if now < held.usable_until and held.tokens >= 1.0:
                held.tokens -= 1.0
                held.spent += 1.0
                return True
            self._end_slice(self._slices.pop(0), now)
        return False

    def _end_slice(self, held: _HeldSlice, now: float) -> None:
        self.ended.append(EndedSlice(held.owner, held.slice_id, held.tokens, held.spent))
        # Unspent tokens are returned at once; a spent slice can wait for the next request.
        report_at = now if held.tokens else now + REPORT_AFTER_S
        self.report_at = report_at if self.report_at is None else min(self.report_at, report_at)

    def _expected_wait_s(self, ahead: int, now: float) -> float:
        per_second = max(self.rate.per_second, MIN_RATE)
        if not self.exhausted:
            # The level of the bucket is unknown: it may be full.
            return max(0.0, (ahead + 1 - self.rate.burst) / per_second)
        others = max(0.0, self._backlog - per_second * (now - self._backlog_at))
        return (ahead + 1 + others) / per_second

    def _refusal(self, retry_after_s: float, now: float) -> Refusal:
        # A new owner grants nothing for seconds; an earlier retry would be refused again.
        retry_after_s = max(retry_after_s, self._usable_at - now)
        retry_after_s = max(retry_after_s, 1.0 / max(self.rate.per_second, MIN_RATE))
        if self.exhausted:
            code, message = RefusalCode.RATE_EXCEEDED, "the organisation is over its rate"
        elif self._expected_wait_s(len(self.waiting), 0.0) > 0:
            code, message = RefusalCode.RATE_EXCEEDED, "more calls wait than the burst allows"
        else:
            code, message = RefusalCode.UNAVAILABLE, "the rate could not be checked in time"
        return Refusal(code, message, Execution.NOT_RUN, bounded_retry_ms(retry_after_s))
