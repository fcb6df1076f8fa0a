"""Divides an organisation's rate into shares, each with its own owner.

Load patterns and what happens without shares:
- The entry that owns the bucket of a busy organisation freezes, dies or is disconnected. Until this
  is detected and its last grants have expired, no tokens are granted, and an organisation far
  within its rate has its calls refused.
- Every call of an organisation needs the one entry that owns its bucket. On every other entry that
  costs a request and a reply for each call.

A rate and its burst are divided into equal shares. Each share is a bucket with an owner chosen by
the share's name, so losing an entry stops only the shares that it owns. Each share keeps to its
part of rate and burst across all hand-overs and restarts (see `_rate`), so together they keep to
the whole.

A call tries the shares that this entry owns first, which costs no message, then the others. It
moves on as soon as a share is exhausted or its owner is unreachable. If all are exhausted, it waits
at the share with the shortest expected wait.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tarragonhall_model import (
    HandOver,
    NotOwner,
    OrganisationPolicy,
    Rate,
    ReturnTokens,
    TakeTokens,
    TokensGranted,
    View,
    rendezvous,
)

from tarragonhall_decisions._deadlines import Deadline
from tarragonhall_decisions._rate import RateLimiter, RateOutput
from tarragonhall_decisions._rate_holder import Admitted, RateRefused

# Maximum shares of one rate: with six owners, the loss of one takes a sixth of the rate, less than
# organisations keep in reserve. It takes more where an entry owns several shares, or where
# `MIN_BURST` allows only fewer.
MAX_SHARES = 6
# Minimum burst of a share, in calls; a rate with a smaller burst is one share. Calls arrive several
# at a time, and a share must have tokens for all of them: with a burst of 2 per share, an
# organisation of 12 calls a second had nearly all calls refused that a single bucket would have
# admitted; with 8, it had no more refused than with a single bucket.
MIN_BURST = 8.0
# Never part of an organisation's id, so that no share has the same name as an organisation.
SEPARATOR = "\x1f"


def share_ids(org_id: str, rate: Rate) -> tuple[str, ...]:
    """Return the names of an organisation's shares."""
    count = max(1, min(MAX_SHARES, int(rate.burst / MIN_BURST)))
    return tuple(f"{org_id}{SEPARATOR}{number}" for number in range(count))


@dataclass(slots=True)
class _Call:
    """A call that has no token yet, and the shares that it was offered to.

    `queued` means that every share was tried and the call waits at one of them.
    """

    org_id: str
    call_id: str
    deadline: Deadline
    started: bool
    run_s: float | None = None
    share: str = ""
    queued: bool = False
    tried: set[str] = field(default_factory=set)


class RateShares:
    """The shares of all organisations at one entry; same interface as the `RateLimiter` it wraps.

    In messages between entries, and in the limiter's interface, the organisation is a share's name.
    """

    __slots__ = ("_call_by_id", "_limiter", "_shares_by_org")

    def __init__(self, limiter: RateLimiter) -> None:
        self._limiter = limiter
        self._shares_by_org: dict[str, tuple[str, ...]] = {}
        self._call_by_id: dict[str, _Call] = {}

    def set_policy(self, policy: OrganisationPolicy, now: float) -> None:
        """Set the rate in force for an organisation."""
        shares = self._rotated(share_ids(policy.org_id, policy.rate))
        for removed in set(self._shares_by_org.get(policy.org_id, ())) - set(shares):
            self._limiter.remove_organisation(removed)
        self._shares_by_org[policy.org_id] = shares
        part = Rate(policy.rate.per_second / len(shares), policy.rate.burst / len(shares))
        for share in shares:
            self._limiter.set_policy(replace(policy, org_id=share, rate=part), now)

    def remove_organisation(self, org_id: str) -> None:
        """Remove an organisation that no longer exists."""
        for share in self._shares_by_org.pop(org_id, ()):
            self._limiter.remove_organisation(share)

    def on_view(self, view: View, now: float) -> list[RateOutput]:
        """Apply a view. Call this before `renew_lease` if one reply carries both."""
        return self._process_outputs(self._limiter.on_view(view, now), now)

    def renew_lease(self, sent_at: float) -> None:
        """Extend the lease after control confirmed the view.

        `sent_at` is when the confirmed heartbeat was sent.
        """
        self._limiter.renew_lease(sent_at)

    def settled_owners(self, now: float) -> int:
        """Return the `owners_version` whose earlier owners must have stopped by now, else 0.

        They have stopped once their leases and the slices that they granted have expired.
        """
        return self._limiter.settled_owners(now)

    def offer(
        self,
        org_id: str,
        call_id: str,
        deadline: Deadline,
        started: bool,
        now: float,
        run_s: float | None = None,
    ) -> list[RateOutput]:
        """Request a token for a call; `started` says whether its program had a call before.

        `run_s` is the usual run time of such calls, if known.
        """
        call = _Call(org_id, call_id, deadline, started, run_s)
        self._call_by_id[call_id] = call
        return self._offer_next(call, now)

    def withdraw(self, call_id: str) -> None:
        """Remove a waiting call whose caller disconnected."""
        call = self._call_by_id.pop(call_id, None)
        if call is not None:
            self._limiter.withdraw(call.share, call_id)

    def return_token(self, org_id: str, now: float) -> bool:
        """Return the token of an admitted call that did not run; False if it is too late.

        It may go to another share than the one that granted it: that share takes a spent token of
        its own back, the granting one still counts one as spent, and the sum stays the same.
        """
        for share in self._shares_by_org.get(org_id, ()):
            if self._limiter.return_token(share, now):
                return True
        return False

    def owner_of(self, org_id: str) -> str | None:
        """Return the entry that owns the share which this entry tries first."""
        shares = self._by_preference(org_id)
        return self._limiter.owner_of(shares[0]) if shares else None

    def is_exhausted(self, org_id: str, now: float) -> bool:
        """Return whether, by their owners' last replies, all shares are exhausted."""
        shares = self._shares_by_org.get(org_id, ())
        return bool(shares) and all(self._limiter.is_exhausted(share, now) for share in shares)

    def tick(self, now: float) -> list[RateOutput]:
        """Do what is due: refuse expired calls, repeat requests, report ended slices.

        A slice is an amount of tokens that the owner of a bucket lent to an entry, with an end.
        """
        return self._process_outputs(self._limiter.tick(now), now)

    def next_wake(self) -> float | None:
        """Return when `tick` should run next."""
        return self._limiter.next_wake()

    def on_reply(
        self, entry_id: str, share: str, reply: TokensGranted | NotOwner, sent_at: float, now: float
    ) -> list[RateOutput]:
        """Process an entry's reply to a `TokenRequest`."""
        return self._process_outputs(
            self._limiter.on_reply(entry_id, share, reply, sent_at, now), now
        )

    def on_no_reply(self, share: str, sent_at: float, now: float) -> list[RateOutput]:
        """Record that a `TokenRequest` gets no reply; tokens granted for it expire on their own."""
        self._limiter.on_no_reply(share, sent_at, now)
        return self._process_outputs([], now)

    def handle(
        self, message: TakeTokens | ReturnTokens | HandOver, now: float
    ) -> TokensGranted | NotOwner | None:
        """Process a peer's message as the owner of a share; return the reply, if any."""
        return self._limiter.handle(message, now)

    def _process_outputs(self, outputs: list[RateOutput], now: float) -> list[RateOutput]:
        """Return the outputs for the caller.

        Calls that their share cannot serve are offered to their next share.
        """
        done, refused = self._split_refusals(outputs)
        for call_id in refused:
            call = self._call_by_id.get(call_id)
            if call is not None:
                done.extend(self._offer_next(call, now))
        for call in list(self._call_by_id.values()):
            if call.call_id not in self._call_by_id:
                continue
            if call.queued:
                done.extend(self._requeue(call, now))
                continue
            if self._cannot_serve(call.share, now):
                self._limiter.withdraw(call.share, call.call_id)
                done.extend(self._offer_next(call, now))
        return done

    def _requeue(self, call: _Call, now: float) -> list[RateOutput]:
        """Move a queued call to another share if the owner of its own became unreachable."""
        if not self._limiter.is_unavailable(call.share, now):
            return []
        best = self._shortest_wait(call.org_id, now)
        if self._limiter.is_unavailable(best, now):
            return []
        self._limiter.withdraw(call.share, call.call_id)
        return self._offer(call, best, now)

    def _split_refusals(self, outputs: list[RateOutput]) -> tuple[list[RateOutput], list[str]]:
        """Separate the outputs from the refusals of calls that can still try another share."""
        done: list[RateOutput] = []
        refused: list[str] = []
        for output in outputs:
            match output:
                case Admitted(call_id=call_id):
                    self._call_by_id.pop(call_id, None)
                case RateRefused(call_id=call_id):
                    call = self._call_by_id.get(call_id)
                    if call is not None and not call.queued:
                        refused.append(call_id)
                        continue
                    self._call_by_id.pop(call_id, None)
            done.append(output)
        return done, refused

    def _offer_next(self, call: _Call, now: float) -> list[RateOutput]:
        """Offer a call to the next share that may have a token.

        If there is none, queue it at the share with the shortest expected wait.
        """
        done: list[RateOutput] = []
        for share in self._by_preference(call.org_id):
            if share in call.tried or self._cannot_serve(share, now):
                continue
            done.extend(self._offer(call, share, now))
            if call.call_id not in self._call_by_id:
                return done
            if call.share and not self._cannot_serve(share, now):
                return done
            self._limiter.withdraw(share, call.call_id)
        call.queued = True
        done.extend(self._offer(call, self._shortest_wait(call.org_id, now), now))
        return done

    def _offer(self, call: _Call, share: str, now: float) -> list[RateOutput]:
        call.tried.add(share)
        call.share = share
        outputs = self._limiter.offer(
            share, call.call_id, call.deadline, call.started, now, call.run_s
        )
        done, refused = self._split_refusals(outputs)
        if call.call_id in refused:
            call.share = ""
        for call_id in refused:
            other = self._call_by_id[call_id]
            if other is not call:
                # The next `_process_outputs` offers it to another share; until then it waits at
                # none.
                other.share = ""
        return done

    def _cannot_serve(self, share: str, now: float) -> bool:
        return (
            not share
            or self._limiter.is_exhausted(share, now)
            or self._limiter.is_unavailable(share, now)
        )

    def _shortest_wait(self, org_id: str, now: float) -> str:
        # An organisation without a policy has no shares: no rate is known under its own id, so the
        # limiter grants the call no token.
        shares = self._by_preference(org_id) or [org_id]
        return min(shares, key=lambda share: self._limiter.expected_wait_s(share, now))

    def _rotated(self, shares: tuple[str, ...]) -> tuple[str, ...]:
        """Return the shares rotated to a first one chosen by this entry's id.

        If all entries started at the same share, its owner would get all the messages.
        """
        first = shares.index(rendezvous(self._limiter.entry_id, shares))
        return shares[first:] + shares[:first]

    def _by_preference(self, org_id: str) -> list[str]:
        """Return the shares in the order to try them: those that this entry owns come first."""
        own_id = self._limiter.entry_id
        shares = self._shares_by_org.get(org_id, ())
        return sorted(shares, key=lambda share: self._limiter.owner_of(share) != own_id)
