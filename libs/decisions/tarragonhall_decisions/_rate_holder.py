"""One entry's part in the rate of one organisation: the calls that wait, and the slices it holds.

See `_rate` for the whole. A call waits for its token while that leaves half of its time to run. It
is refused at once where the wait would be longer, so that its caller hears when to come back
instead of holding a connection for nothing. Calls of programs under way come before calls that
start a program: a tenant over its rate then finishes programs rather than starting ever more. Among
those under way the one that gives up first goes first, here and at the owner: a look-up of a second
would else wait behind turns that have five.

A rate limits what runs. A call that got its token and was then refused, because the budget of its
program is spent or no server took it, gives the token back while its owner does not know that it
was spent.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tarragonhall_model import Execution, NotOwner, Rate, Refusal, RefusalCode, TokensGranted

from tarragonhall_decisions._deadlines import Deadline, bounded_retry_ms

# Longest wait of any call for a token, in seconds.
MAX_WAIT_S = 10.0
# Share of its time that a call may wait for a token.
WAIT_SHARE = 0.5
# A call of a program under way may wait longer where this many times its run fit in what is left.
RUN_MARGIN = 4.0
# Seconds after which the owner is told of a spent slice, unless a request tells it.
REPORT_AFTER_S = 0.02
# Seconds after which an unanswered request counts as lost.
ASK_TIMEOUT_S = 0.08
# Seconds for which an owner that did not answer is passed over.
SILENT_S = 1.0
# Shortest and longest pause, in seconds, before an owner that cannot grant is asked again.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.25
MIN_RATE = 1e-6
# What an owner said of an empty bucket is forgotten after about the time of one call.
DRY_S = 0.3


@dataclass(slots=True, frozen=True)
class Admitted:
    """A token was spent for this call; it may go on now."""

    call_id: str


@dataclass(slots=True, frozen=True)
class RateRefused:
    """The call did not get a token and waits no longer."""

    call_id: str
    refusal: Refusal


@dataclass(slots=True, frozen=True)
class EndedSlice:
    """A slice of this owner with nothing left to spend; `unspent` tokens of it go back."""

    owner: str
    slice_id: str
    unspent: float
    spent: float = 0.0


@dataclass(slots=True)
class WaitingCall:
    """A call that waits for a token."""

    call_id: str
    started: bool
    give_up_at: float


@dataclass(slots=True)
class _HeldSlice:
    owner: str
    slice_id: str
    tokens: float
    usable_until: float
    spent: float = 0.0


@dataclass(slots=True)
class Holder:
    """The calls of one organisation that wait at this entry, and what it may spend on them."""

    rate: Rate
    waiting: list[WaitingCall] = field(default_factory=list)
    asked_at: float | None = None
    ask_after: float = float("-inf")
    # Slices that the owner should hear about, and when at the latest.
    ended: list[EndedSlice] = field(default_factory=list)
    report_at: float | None = None
    # Whether the owner said that it granted less than was asked for.
    dry: bool = False
    _slices: list[_HeldSlice] = field(default_factory=list)
    _backlog: float = 0.0
    _backlog_at: float = 0.0
    # When the owner, by its last word, may grant again after waiting out earlier owners.
    _usable_at: float = float("-inf")
    # Until when an owner that did not answer is passed over where there are others to ask.
    _silent_until: float = float("-inf")

    def offer(
        self,
        call_id: str,
        deadline: Deadline,
        started: bool,
        now: float,
        run_s: float | None = None,
    ) -> Admitted | RateRefused | None:
        """Admit or refuse a call at once, or let it wait.

        `run_s` is for how long calls of its kind run, where that is known.
        """
        if not self.waiting and self._spend(now):
            return Admitted(call_id)
        left_s = deadline.at - now
        allowed_s = WAIT_SHARE * left_s
        if started and run_s is not None:
            allowed_s = max(allowed_s, left_s - RUN_MARGIN * run_s)
        give_up_at = now + allowed_s
        ahead = self._ahead_of(started, give_up_at)
        wait_s = self._expected_wait_s(ahead, now)
        limit_s = min(MAX_WAIT_S, allowed_s)
        if wait_s > limit_s:
            return RateRefused(call_id, self._refusal(wait_s - limit_s, now))
        self.waiting.insert(ahead, WaitingCall(call_id, started, give_up_at))
        return None

    def patience_ms(self, now: float) -> int | None:
        """Return after which time the first call of a program under way gives up, if one waits."""
        if not self.waiting or not self.waiting[0].started:
            return None
        return max(0, int((self.waiting[0].give_up_at - now) * 1000))

    def _ahead_of(self, started: bool, give_up_at: float) -> int:
        """Return how many calls go before one: those under way first, by when they give up."""
        if not started:
            return len(self.waiting)
        return sum(1 for call in self.waiting if call.started and call.give_up_at <= give_up_at)

    def withdraw(self, call_id: str) -> None:
        """Forget a waiting call."""
        self.waiting = [call for call in self.waiting if call.call_id != call_id]

    def give_back(self, now: float) -> bool:
        """Return the token of a call that did not run; False where its owner was told already."""
        for number, ended in enumerate(self.ended):
            if ended.spent < 1.0:
                continue
            self.ended[number] = replace(
                ended, unspent=ended.unspent + 1.0, spent=ended.spent - 1.0
            )
            self.report_at = now
            return True
        return False

    def serve(self, now: float) -> list[Admitted]:
        """Spend what may be spent on the calls that wait; end the slices nobody needs."""
        admitted = []
        while self.waiting and self._spend(now):
            admitted.append(Admitted(self.waiting.pop(0).call_id))
        for held in self._slices:
            # Nobody waits, or it is too late to spend the rest: others may need the tokens.
            self._end(held, now)
        self._slices.clear()
        return admitted

    def give_up(self, now: float) -> list[RateRefused]:
        """Refuse the calls whose time to wait is over, or whose turn cannot come in time."""
        refused = []
        kept = []
        for call in self.waiting:
            soonest_s = (len(kept) + 1) / max(self.rate.per_second, MIN_RATE) if self.dry else 0.0
            if now < call.give_up_at and now + soonest_s <= call.give_up_at:
                kept.append(call)
                continue
            wait_s = self._expected_wait_s(len(kept), now)
            refused.append(RateRefused(call.call_id, self._refusal(wait_s, now)))
        self.waiting = kept
        return refused

    def wants_to_ask(self, now: float) -> bool:
        """Return whether the owner should be asked for tokens now."""
        return bool(self.waiting) and self.asked_at is None and now >= self.ask_after

    def on_reply(
        self, reply: TokensGranted | NotOwner, owner: str, sent_at: float, now: float
    ) -> None:
        """Take the owner's reply; a reply to an earlier request brings its tokens all the same."""
        if self.asked_at == sent_at:
            self.asked_at = None
        self._silent_until = float("-inf")
        match reply:
            case TokensGranted():
                if reply.tokens > 0:
                    usable_until = sent_at + reply.valid_ms / 1000
                    self._slices.append(
                        _HeldSlice(owner, reply.slice_id, reply.tokens, usable_until)
                    )
                self.dry = reply.retry_after_ms > 0
                self._usable_at = now
                self._backlog = reply.backlog
                self._backlog_at = now
                self.ask_after = now + reply.retry_after_ms / 1000
            case NotOwner():
                self.dry = False
                self._usable_at = now + reply.retry_after_ms / 1000
                pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, reply.retry_after_ms / 1000))
                self.ask_after = now + pause_s

    def on_no_reply(self, sent_at: float, now: float) -> None:
        """Note that a request was lost; the owner counts what it granted as spent."""
        if self.asked_at == sent_at:
            self.asked_at = None
            self.ask_after = now + MIN_PAUSE_S
            self._silent_until = now + SILENT_S

    def on_owner_change(self) -> None:
        """Ask the new owner soon; what was known of the old one's backlog is void."""
        self.asked_at = None
        self.ask_after = float("-inf")
        self._usable_at = float("-inf")
        self._silent_until = float("-inf")
        self.dry = False
        self._backlog = 0.0

    def next_wake(self) -> float | None:
        """Return when something is due."""
        times = [call.give_up_at for call in self.waiting]
        if self.report_at is not None:
            times.append(self.report_at)
        if self.asked_at is not None:
            times.append(self.asked_at + ASK_TIMEOUT_S)
        elif self.waiting:
            times.append(self.ask_after)
        return min(times, default=None)

    def is_dry(self, now: float) -> bool:
        """Return whether the owner granted less than was asked for, and that still holds."""
        return self.dry and (bool(self.waiting) or now < self.ask_after + DRY_S)

    def is_shut(self, now: float) -> bool:
        """Return whether the owner was not heard lately, or waits out earlier owners."""
        return now < self._silent_until or now < self._usable_at

    def expected_wait_s(self, now: float) -> float:
        """Return after which time one more call may hope for its token."""
        opens_s = max(0.0, max(self._usable_at, self._silent_until) - now)
        return opens_s + self._expected_wait_s(len(self.waiting), now)

    def idle(self) -> bool:
        """Return whether there is nothing to do."""
        return not self.waiting and not self.ended and self.asked_at is None

    def _spend(self, now: float) -> bool:
        while self._slices:
            held = self._slices[0]
            if now < held.usable_until and held.tokens >= 1.0:
                held.tokens -= 1.0
                held.spent += 1.0
                return True
            self._end(self._slices.pop(0), now)
        return False

    def _end(self, held: _HeldSlice, now: float) -> None:
        self.ended.append(EndedSlice(held.owner, held.slice_id, held.tokens, held.spent))
        # Unspent tokens go back at once; spent ones can wait for the next request to carry them.
        report_at = now if held.tokens else now + REPORT_AFTER_S
        self.report_at = report_at if self.report_at is None else min(self.report_at, report_at)

    def _expected_wait_s(self, ahead: int, now: float) -> float:
        per_second = max(self.rate.per_second, MIN_RATE)
        if not self.dry:
            # Nothing is known of the bucket: it may be full.
            return max(0.0, (ahead + 1 - self.rate.burst) / per_second)
        others = max(0.0, self._backlog - per_second * (now - self._backlog_at))
        return (ahead + 1 + others) / per_second

    def _refusal(self, retry_after_s: float, now: float) -> Refusal:
        # A bucket's new owner grants nothing for seconds; to come back sooner would be for nothing.
        retry_after_s = max(retry_after_s, self._usable_at - now)
        retry_after_s = max(retry_after_s, 1.0 / max(self.rate.per_second, MIN_RATE))
        if self.dry:
            code, message = RefusalCode.RATE_EXCEEDED, "the organisation is over its rate"
        elif self._expected_wait_s(len(self.waiting), 0.0) > 0:
            code, message = RefusalCode.RATE_EXCEEDED, "more calls wait than the burst allows"
        else:
            code, message = RefusalCode.UNAVAILABLE, "the rate could not be checked in time"
        return Refusal(code, message, Execution.NOT_RUN, bounded_retry_ms(retry_after_s))
