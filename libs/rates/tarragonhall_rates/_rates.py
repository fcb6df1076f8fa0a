"""The eventlet shell of the rate limiter: calls that wait for tokens, and messages to peers."""

from __future__ import annotations

import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore
from tarragonhall_decisions import (
    LEASE_S,
    Admitted,
    Ask,
    Deadline,
    RateLimiter,
    RateOutput,
    RateRefused,
    RateReserve,
    RateShares,
    RateSlack,
    Tell,
)
from tarragonhall_model import (
    HandOver,
    LinkError,
    OrganisationPolicy,
    Rate,
    Refusal,
    RefusalCode,
    ReturnTokens,
    TakeTokens,
    View,
)
from tarragonhall_wire import ProcessContext

# The limiter gives an unanswered question up after this time by itself.
ASK_SECONDS = 0.25
IDLE_SECONDS = 1.0
# A token comes within two round trips; after this long its owner is probably not there.
RESERVE_AFTER_SECONDS = 0.1


class Rates:
    """Rate and burst of the organisations over all entries, as far as this entry has a part."""

    __slots__ = (
        "_context",
        "_event_by_id",
        "_limiter",
        "_poke",
        "_rate_by_org",
        "_reserve",
        "_stopped",
        "_view",
    )

    def __init__(
        self,
        context: ProcessContext,
        slack: RateSlack | None = None,
        lease_s: float = LEASE_S,
    ) -> None:
        self._context = context
        self._reserve = RateReserve(slack or RateSlack())
        self._rate_by_org: dict[str, Rate] = {}
        limiter = RateLimiter(
            context.instance,
            context.incarnation,
            context.rng,
            lease_s,
            context.started_at,
        )
        self._limiter = RateShares(limiter)
        self._event_by_id: dict[str, Event] = {}
        self._poke = Semaphore(0)
        self._stopped = False
        self._view = View(0, [], [])
        for message_class in (TakeTokens, ReturnTokens, HandOver):
            context.hub.handle(message_class, self._on_message)
        eventlet.spawn_n(self._tick_loop)

    def set_policy(self, policy: OrganisationPolicy) -> None:
        """Take over the rate in force for an organisation."""
        self._rate_by_org[policy.org_id] = policy.rate
        self._limiter.set_policy(policy, self._context.monotonic())

    def remove_organisation(self, org_id: str) -> None:
        """Forget an organisation."""
        self._rate_by_org.pop(org_id, None)
        self._limiter.remove_organisation(org_id)

    def on_view(self, view: View) -> None:
        """Take over a view."""
        self._view = view
        self._reserve.entries = max(1, len(view.entries))
        self._perform(self._limiter.on_view(view, self._context.monotonic()))
        self._poke.release()

    def on_fresh(self, sent_at: float) -> None:
        """Note that control confirmed the view."""
        self._limiter.on_fresh(sent_at)

    def settled_owners(self) -> int:
        """Return the version of the view's owners whose predecessors were waited out, or 0."""
        return self._limiter.settled_owners(self._context.monotonic())

    def owner_of(self, org_id: str) -> str | None:
        """Return the entry that owns the bucket of an organisation in the view held."""
        return self._limiter.owner_of(org_id)

    def is_dry(self, org_id: str) -> bool:
        """Return whether the organisation is known to have used up its rate."""
        return self._limiter.is_dry(org_id, self._context.monotonic())

    def take(
        self,
        org_id: str,
        call_id: str,
        deadline: Deadline,
        under_way: bool,
        run_s: float | None = None,
    ) -> Refusal | None:
        """Wait for a token; return the refusal where the call gets none.

        `under_way` says that the call's program had a call before, and `run_s` for how long calls
        of its kind run, where that is known.
        """
        started = self._context.monotonic()
        event = Event()
        self._event_by_id[call_id] = event
        self._perform(self._limiter.offer(org_id, call_id, deadline, under_way, started, run_s))
        if not event.ready():
            self._poke.release()
        try:
            result = self._wait(event, org_id)
        finally:
            # A caller that left while it waited must not be given a token that others need.
            if self._event_by_id.pop(call_id, None) is not None:
                self._limiter.withdraw(call_id)
        waited_ms = (self._context.monotonic() - started) * 1000
        self._context.metrics.timing("rates.wait_ms", waited_ms)
        return result

    def give_back(self, org_id: str) -> None:
        """Return the token of a call that was admitted and surely did not run."""
        if self._limiter.give_back(org_id, self._context.monotonic()):
            self._context.metrics.count("rates.given_back")
            self._poke.release()

    def _wait(self, event: Event, org_id: str) -> Refusal | None:
        """Wait for the token; admit the call from the reserve where no owner is heard."""
        with eventlet.Timeout(RESERVE_AFTER_SECONDS, False):
            return self._or_reserve(event.wait(), org_id)
        now = self._context.monotonic()
        if not self._limiter.is_dry(org_id, now) and self._take_reserve(org_id, now):
            return None
        return self._or_reserve(event.wait(), org_id)

    def _or_reserve(self, refusal: Refusal | None, org_id: str) -> Refusal | None:
        """Return the refusal unless it says only that no owner was heard and the reserve holds."""
        if refusal is None or refusal.code is not RefusalCode.UNAVAILABLE:
            return refusal
        return None if self._take_reserve(org_id, self._context.monotonic()) else refusal

    def _take_reserve(self, org_id: str, now: float) -> bool:
        rate = self._rate_by_org.get(org_id)
        if rate is None or not self._reserve.take(org_id, rate, now):
            return False
        self._context.metrics.count("rates.admitted_from_reserve")
        return True

    def leave(self, view: View) -> None:
        """Hand the buckets over; `view` is the first one without this entry."""
        self.stop()
        self._view = view
        for output in self._limiter.on_view(view, self._context.monotonic()):
            if isinstance(output, Tell):
                # Not from another green thread: the process ends when this returns.
                self._tell(output.entry_id, output.message)

    def stop(self) -> None:
        """End the ticks."""
        self._stopped = True

    def _perform(self, outputs: list[RateOutput]) -> None:

        for output in outputs:
            match output:
                case Admitted(call_id=call_id):
                    self._wake(call_id, None)
                case RateRefused(call_id=call_id, refusal=refusal):
                    self._wake(call_id, refusal)
                case Ask():
                    eventlet.spawn_n(self._ask, output)
                case Tell(entry_id=entry_id, message=message):
                    eventlet.spawn_n(self._tell, entry_id, message)

    def _wake(self, call_id: str, result: Refusal | None) -> None:
        event = self._event_by_id.pop(call_id, None)
        if event is not None:
            event.send(result)

    def _ask(self, ask: Ask) -> None:
        try:
            link = self._link_to(ask.entry_id)
            reply = link.request(ask.message, ASK_SECONDS)
        except LinkError:
            self._context.metrics.count("rates.ask_failed")
            now = self._context.monotonic()
            self._perform(self._limiter.on_no_reply(ask.org_id, ask.sent_at, now))
        else:
            now = self._context.monotonic()
            self._perform(self._limiter.on_reply(ask.entry_id, ask.org_id, reply, ask.sent_at, now))
        self._poke.release()

    def _tell(self, entry_id: str, message: ReturnTokens | HandOver) -> None:
        try:
            self._link_to(entry_id).send(message)
        except LinkError:
            # Lost tokens come back when their slice ends; a lost hand-over costs its wait.
            self._context.metrics.count("rates.tell_failed")

    def _link_to(self, entry_id: str):
        for entry in self._view.entries:
            if entry.entry_id == entry_id:
                return self._context.hub.wait_for(entry.address, ASK_SECONDS)
        raise LinkError(f"{entry_id} is not in the view")

    def _on_message(self, _link: object, message: TakeTokens | ReturnTokens | HandOver) -> object:
        reply = self._limiter.handle(message, self._context.monotonic())
        if isinstance(message, HandOver):
            self._poke.release()
        return reply

    def _tick_loop(self) -> None:
        while not self._stopped:
            wake = self._limiter.next_wake()
            now = self._context.monotonic()
            pause = IDLE_SECONDS if wake is None else max(0.001, wake - now)
            self._poke.acquire(timeout=min(pause, IDLE_SECONDS))
            self._perform(self._limiter.tick(self._context.monotonic()))
