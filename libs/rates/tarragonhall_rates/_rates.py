"""The eventlet layer of the rate limiter: calls that wait for tokens, and messages to peers."""

from __future__ import annotations

import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore
from tarragonhall_decisions import (
    LEASE_S,
    Admitted,
    Deadline,
    PeerMessage,
    RateLimiter,
    RateOutput,
    RateRefused,
    RateReserve,
    RateShares,
    RateSlack,
    TokenRequest,
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
from tarragonhall_wire import ProcessContext, repeat

# Timeout of a request to a peer. The limiter repeats an unanswered request sooner, but a late reply
# still brings its tokens.
PEER_TIMEOUT_S = 0.25
# The tick loop runs at least this often: `next_wake` does not cover the removal of holders that are
# no longer used.
MAX_IDLE_S = 1.0
# Wait before the reserve is used. A token arrives within two round trips, so after this time its
# owner is probably unreachable.
RESERVE_AFTER_S = 0.1


class Rates:
    """One entry's part in the rate and burst of the organisations over all entries."""

    __slots__ = (
        "_context",
        "_event_by_id",
        "_limiter",
        "_loop_wakeup",
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
        self._loop_wakeup = Semaphore(0)
        self._stopped = False
        self._view = View(0, [], [])
        for message_class in (TakeTokens, ReturnTokens, HandOver):
            context.hub.handle(message_class, self._on_message)
        eventlet.spawn_n(repeat, self._tick, lambda: not self._stopped)

    def set_policy(self, policy: OrganisationPolicy) -> None:
        """Set the rate in force for an organisation."""
        self._rate_by_org[policy.org_id] = policy.rate
        self._limiter.set_policy(policy, self._context.monotonic())

    def remove_organisation(self, org_id: str) -> None:
        """Remove an organisation."""
        self._rate_by_org.pop(org_id, None)
        self._limiter.remove_organisation(org_id)

    def on_view(self, view: View) -> None:
        """Apply a view."""
        self._view = view
        self._reserve.entries = max(1, len(view.entries))
        self._perform(self._limiter.on_view(view, self._context.monotonic()))
        self._loop_wakeup.release()

    def renew_lease(self, sent_at: float) -> None:
        """Extend the lease after control confirmed the view.

        `sent_at` is when the confirmed heartbeat was sent.
        """
        self._limiter.renew_lease(sent_at)

    def settled_owners(self) -> int:
        """Return the version of the view's owners once all previous ones are waited out, else 0."""
        return self._limiter.settled_owners(self._context.monotonic())

    def owner_of(self, org_id: str) -> str | None:
        """Return the entry that owns the organisation's bucket in the current view."""
        return self._limiter.owner_of(org_id)

    def is_exhausted(self, org_id: str) -> bool:
        """Return whether the organisation is known to have used up its rate."""
        return self._limiter.is_exhausted(org_id, self._context.monotonic())

    def take(
        self,
        org_id: str,
        call_id: str,
        deadline: Deadline,
        program_started: bool,
        run_s: float | None = None,
    ) -> Refusal | None:
        """Wait for a token; return the refusal if the call gets none.

        `program_started` says whether the call's program had a call before, and `run_s` is the
        usual run time of such calls, if known.
        """
        started_at = self._context.monotonic()
        event = Event()
        self._event_by_id[call_id] = event
        self._perform(
            self._limiter.offer(org_id, call_id, deadline, program_started, started_at, run_s)
        )
        if not event.ready():
            self._loop_wakeup.release()
        try:
            result = self._wait(event, org_id)
        finally:
            # A caller that disconnected while waiting must not get a token that others need.
            if self._event_by_id.pop(call_id, None) is not None:
                self._limiter.withdraw(call_id)
        waited_ms = (self._context.monotonic() - started_at) * 1000
        self._context.metrics.timing("rates.wait_ms", waited_ms)
        return result

    def return_token(self, org_id: str) -> None:
        """Return the token of an admitted call that certainly did not run."""
        if self._limiter.return_token(org_id, self._context.monotonic()):
            self._context.metrics.count("rates.given_back")
            self._loop_wakeup.release()

    def _wait(self, event: Event, org_id: str) -> Refusal | None:
        """Wait for the token; admit the call from the reserve if no owner is reachable."""
        with eventlet.Timeout(RESERVE_AFTER_S, False):
            return self._try_reserve(event.wait(), org_id)
        now = self._context.monotonic()
        if not self._limiter.is_exhausted(org_id, now) and self._take_reserve(org_id, now):
            return None
        return self._try_reserve(event.wait(), org_id)

    def _try_reserve(self, refusal: Refusal | None, org_id: str) -> Refusal | None:
        """Return the refusal, or None if no owner was reachable and the reserve admits the call."""
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
            if isinstance(output, PeerMessage):
                # Sent from this green thread, because the process ends when this returns.
                self._send(output.entry_id, output.message)

    def stop(self) -> None:
        """Stop the tick loop."""
        self._stopped = True

    def _perform(self, outputs: list[RateOutput]) -> None:
        for output in outputs:
            match output:
                case Admitted(call_id=call_id):
                    self._complete(call_id, None)
                case RateRefused(call_id=call_id, refusal=refusal):
                    self._complete(call_id, refusal)
                case TokenRequest():
                    eventlet.spawn_n(self._request_tokens, output)
                case PeerMessage(entry_id=entry_id, message=message):
                    eventlet.spawn_n(self._send, entry_id, message)

    def _complete(self, call_id: str, result: Refusal | None) -> None:
        event = self._event_by_id.pop(call_id, None)
        if event is not None:
            event.send(result)

    def _request_tokens(self, request: TokenRequest) -> None:
        try:
            link = self._link_to(request.entry_id)
            reply = link.request(request.message, PEER_TIMEOUT_S)
        except LinkError:
            self._context.metrics.count("rates.ask_failed")
            now = self._context.monotonic()
            self._perform(self._limiter.on_no_reply(request.org_id, request.sent_at, now))
        else:
            now = self._context.monotonic()
            self._perform(
                self._limiter.on_reply(
                    request.entry_id, request.org_id, reply, request.sent_at, now
                )
            )
        self._loop_wakeup.release()

    def _send(self, entry_id: str, message: ReturnTokens | HandOver) -> None:
        try:
            self._link_to(entry_id).send(message)
        except LinkError:
            # Lost tokens come back when their slice expires; after a lost hand-over the next owner
            # waits out this one.
            self._context.metrics.count("rates.tell_failed")

    def _link_to(self, entry_id: str):
        for entry in self._view.entries:
            if entry.entry_id == entry_id:
                return self._context.hub.wait_for_link(entry.address, PEER_TIMEOUT_S)
        raise LinkError(f"{entry_id} is not in the view")

    def _on_message(self, _link: object, message: TakeTokens | ReturnTokens | HandOver) -> object:
        reply = self._limiter.handle(message, self._context.monotonic())
        if isinstance(message, HandOver):
            self._loop_wakeup.release()
        return reply

    def _tick(self) -> None:
        """Wait until the limiter has something to do, then let it."""
        wake = self._limiter.next_wake()
        now = self._context.monotonic()
        pause = MAX_IDLE_S if wake is None else max(0.001, wake - now)
        self._loop_wakeup.acquire(timeout=min(pause, MAX_IDLE_S))
        self._perform(self._limiter.tick(self._context.monotonic()))
