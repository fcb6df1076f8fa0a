"""The rate of an organisation in several shares, each with an owner of its own.

Load patterns and what happens without an answer to them:
- The entry that owns the bucket of a busy organisation freezes, dies or is cut off. Until it is
  missed and its last grants have run out nobody grants a token, and calls of an organisation far
  inside its rate are refused.
- Every call of an organisation asks the one entry that owns its bucket. On all entries but one that
  costs a message each way for each call.

A rate and its burst are cut into equal shares. Each share is a bucket with an owner chosen by its
own name, so an entry that is lost takes one share with it, and the others go on. Each share alone
keeps to its part of rate and burst over all hand-overs and restarts (see `_rate`), so together they
keep to the whole.

A call asks the shares that this entry owns first, which costs no message, then the others. It goes
on to the next one as soon as a share has nothing left or its owner is not heard. Where none has
anything left it waits at the one that expects to serve it first.
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

# Shares of one rate at most.
MOST_SHARES = 6
# Burst of a share at least, in calls.
LEAST_BURST = 8.0
# Never part of an organisation's id, so that no share is named like another organisation.
SEPARATOR = "\x1f"


def share_ids(org_id: str, rate: Rate) -> tuple[str, ...]:
    """Return the names of an organisation's shares."""
    count = max(1, min(MOST_SHARES, int(rate.burst / LEAST_BURST)))
    return tuple(f"{org_id}{SEPARATOR}{number}" for number in range(count))


@dataclass(slots=True)
class _Call:
    """A call that has no token yet, and the shares that it was offered to.

    `parked` says that all have nothing left and the call waits for its turn at one of them.
    """

    org_id: str
    call_id: str
    deadline: Deadline
    started: bool
    run_s: float | None = None
    share: str = ""
    parked: bool = False
    tried: set[str] = field(default_factory=set)


class RateShares:
    """The shares of all organisations at one entry; used like the `RateLimiter` that it wraps.

    Messages between entries name shares where the limiter's interface says organisation.
    """

    __slots__ = ("_call_by_id", "_limiter", "_shares_by_org")

    def __init__(self, limiter: RateLimiter) -> None:
        self._limiter = limiter
        self._shares_by_org: dict[str, tuple[str, ...]] = {}
        self._call_by_id: dict[str, _Call] = {}

    def set_policy(self, policy: OrganisationPolicy, now: float) -> None:
        """Take over the rate in force for an organisation."""
        shares = self._turned(share_ids(policy.org_id, policy.rate))
        for gone in set(self._shares_by_org.get(policy.org_id, ())) - set(shares):
            self._limiter.remove_organisation(gone)
        self._shares_by_org[policy.org_id] = shares
        part = Rate(policy.rate.per_second / len(shares), policy.rate.burst / len(shares))
        for share in shares:
            self._limiter.set_policy(replace(policy, org_id=share, rate=part), now)

    def remove_organisation(self, org_id: str) -> None:
        """Forget an organisation that no longer exists."""
        for share in self._shares_by_org.pop(org_id, ()):
            self._limiter.remove_organisation(share)

    def on_view(self, view: View, now: float) -> list[RateOutput]:
        """Take over a view. Call this before `on_fresh` where one reply carries both."""
        return self._pass_on(self._limiter.on_view(view, now), now)

    def on_fresh(self, sent_at: float) -> None:
        """Note that control confirmed the view; `sent_at` is when that heartbeat was sent."""
        self._limiter.on_fresh(sent_at)

    def settled_owners(self, now: float) -> int:
        """Return the version of the view's owners whose predecessors were waited out, or 0."""
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
        """Ask for a token for a call; `started` says whether its program had a call before.

        `run_s` is for how long calls of its kind run, where that is known.
        """
        call = _Call(org_id, call_id, deadline, started, run_s)
        self._call_by_id[call_id] = call
        return self._move(call, now)

    def withdraw(self, call_id: str) -> None:
        """Forget a waiting call whose caller has gone."""
        call = self._call_by_id.pop(call_id, None)
        if call is not None:
            self._limiter.withdraw(call.share, call_id)

    def give_back(self, org_id: str, now: float) -> bool:
        """Return the token of a call that was admitted and did not run, where that is possible.

        Which share it came from does not matter: the one that it came from counts it as spent.
        """
        for share in self._shares_by_org.get(org_id, ()):
            if self._limiter.give_back(share, now):
                return True
        return False

    def owner_of(self, org_id: str) -> str | None:
        """Return the entry that owns the share which this entry asks first."""
        shares = self._in_order(org_id)
        return self._limiter.owner_of(shares[0]) if shares else None

    def is_dry(self, org_id: str, now: float) -> bool:
        """Return whether, by their owners' last words, all shares are used up."""
        shares = self._shares_by_org.get(org_id, ())
        return bool(shares) and all(self._limiter.is_dry(share, now) for share in shares)

    def tick(self, now: float) -> list[RateOutput]:
        """Do what is due: give up calls, ask again, report spent slices."""
        return self._pass_on(self._limiter.tick(now), now)

    def next_wake(self) -> float | None:
        """Return when `tick` should run next."""
        return self._limiter.next_wake()

    def on_reply(
        self, entry_id: str, share: str, reply: TokensGranted | NotOwner, sent_at: float, now: float
    ) -> list[RateOutput]:
        """Take the reply of an entry to an `Ask`."""
        return self._pass_on(self._limiter.on_reply(entry_id, share, reply, sent_at, now), now)

    def on_no_reply(self, share: str, sent_at: float, now: float) -> list[RateOutput]:
        """Note that an `Ask` will not be answered; what it was granted runs out by itself."""
        self._limiter.on_no_reply(share, sent_at, now)
        return self._pass_on([], now)

    def handle(
        self, message: TakeTokens | ReturnTokens | HandOver, now: float
    ) -> TokensGranted | NotOwner | None:
        """Take a message of a peer as the owner of a share; return the reply, if it needs one."""
        return self._limiter.handle(message, now)

    def _pass_on(self, outputs: list[RateOutput], now: float) -> list[RateOutput]:
        """Return what the shell is to do; calls whose share cannot serve them go to the next."""
        done, refused = self._sort(outputs)
        for call_id in refused:
            call = self._call_by_id.get(call_id)
            if call is not None:
                done.extend(self._move(call, now))
        for call in list(self._call_by_id.values()):
            if call.call_id not in self._call_by_id:
                continue
            if call.parked:
                done.extend(self._park_elsewhere(call, now))
                continue
            if self._cannot_serve(call.share, now):
                self._limiter.withdraw(call.share, call.call_id)
                done.extend(self._move(call, now))
        return done

    def _park_elsewhere(self, call: _Call, now: float) -> list[RateOutput]:
        """Let a call wait at another share where the owner of its own is not heard any more."""
        if not self._limiter.is_shut(call.share, now):
            return []
        best = self._best_to_wait(call.org_id, now)
        if self._limiter.is_shut(best, now):
            return []
        self._limiter.withdraw(call.share, call.call_id)
        return self._offer(call, best, now)

    def _sort(self, outputs: list[RateOutput]) -> tuple[list[RateOutput], list[str]]:
        """Part the outputs from the refusals of calls that may turn to another share."""
        done: list[RateOutput] = []
        refused: list[str] = []
        for output in outputs:
            match output:
                case Admitted(call_id=call_id):
                    self._call_by_id.pop(call_id, None)
                case RateRefused(call_id=call_id):
                    call = self._call_by_id.get(call_id)
                    if call is not None and not call.parked:
                        refused.append(call_id)
                        continue
                    self._call_by_id.pop(call_id, None)
            done.append(output)
        return done, refused

    def _move(self, call: _Call, now: float) -> list[RateOutput]:
        """Offer a call to the next share that may have a token, at last to the best to wait at."""
        done: list[RateOutput] = []
        for share in self._in_order(call.org_id):
            if share in call.tried or self._cannot_serve(share, now):
                continue
            done.extend(self._offer(call, share, now))
            if call.call_id not in self._call_by_id:
                return done
            if call.share and not self._cannot_serve(share, now):
                return done
            self._limiter.withdraw(share, call.call_id)
        call.parked = True
        done.extend(self._offer(call, self._best_to_wait(call.org_id, now), now))
        return done

    def _offer(self, call: _Call, share: str, now: float) -> list[RateOutput]:
        call.tried.add(share)
        call.share = share
        outputs = self._limiter.offer(
            share, call.call_id, call.deadline, call.started, now, call.run_s
        )
        done, refused = self._sort(outputs)
        if call.call_id in refused:
            call.share = ""
        for call_id in refused:
            other = self._call_by_id[call_id]
            if other is not call:
                # It is moved on with the next event; until then it waits nowhere.
                other.share = ""
        return done

    def _cannot_serve(self, share: str, now: float) -> bool:
        return not share or self._limiter.is_dry(share, now) or self._limiter.is_shut(share, now)

    def _best_to_wait(self, org_id: str, now: float) -> str:
        shares = self._in_order(org_id) or [org_id]
        return min(shares, key=lambda share: self._limiter.expected_wait_s(share, now))

    def _turned(self, shares: tuple[str, ...]) -> tuple[str, ...]:
        """Return the shares from a place of this entry's own.

        If all entries began at the same share, its owner would get all the messages.
        """
        first = shares.index(rendezvous(self._limiter.entry_id, shares))
        return shares[first:] + shares[:first]

    def _in_order(self, org_id: str) -> list[str]:
        """Return the shares in the order of asking: those that this entry owns come first."""
        mine = self._limiter.entry_id
        shares = self._shares_by_org.get(org_id, ())
        return sorted(shares, key=lambda share: self._limiter.owner_of(share) != mine)
