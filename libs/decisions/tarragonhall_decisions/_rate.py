"""Rate and burst of each organisation, enforced over all entries together.

Load pattern: one organisation sends ten times its rate through every entry at once; another sends a
few calls a minute, each through a different entry. Splitting the rate by instance refuses the
second although it is far within its rate; counting at each entry alone grants the first its rate
times the number of entries.

One entry owns the bucket of an organisation, chosen by rendezvous hashing over the entries in the
view. Every entry with waiting calls, the owner included, is a holder: it requests tokens from the
owner, gets them in slices, and spends each slice within `valid_ms` of its request for it. A call
waits for its token as long as that leaves half of its time to run. A call that would wait longer is
refused at once, with the time after which there is room. Calls of programs that have started go
before calls that start a program, so that an organisation over its rate finishes programs instead
of starting more.

Owner changes: an owner grants only within a lease after the control group confirmed its view, so
every previous owner has stopped one lease after the entries changed. A new owner starts with an
empty bucket one lease and one slice after it received the change, or at once with the bucket that
the previous owner hands over. An entry that restarts at its address owns what its previous
incarnation owned; if all owners before that one were already waited out, it waits only for that
incarnation's slices. Without this rule, an entry killed and back after one second would stop its
organisations for another second and a half.

The control group counts the changes of owners (`View.owners_version`). An entry that missed one
drops all its buckets, because another entry may have owned them and started new ones.

Known limit: an organisation's calls wait while a dead owner is waited out. They are admitted
afterwards if less than half of their time has passed.

State exists only for organisations in use: an owner is computed when its organisation calls, so a
change of the view costs nothing for thousands of idle organisations.

`_bucket` and `_rate_holder` hold the constants and their reasons, `_owned_buckets` the owner's
part, and `_earlier_owners` decides how long previous owners are waited out.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from tarragonhall_model import (
    HandOver,
    NotOwner,
    OrganisationPolicy,
    Rate,
    ReturnTokens,
    TakeTokens,
    TokensGranted,
    View,
)

from tarragonhall_decisions._bucket import SLICE_VALID_S
from tarragonhall_decisions._bucket_owners import BucketOwners
from tarragonhall_decisions._deadlines import Deadline
from tarragonhall_decisions._earlier_owners import EarlierOwners
from tarragonhall_decisions._owned_buckets import OwnedBuckets, PeerMessage
from tarragonhall_decisions._rate_holder import (
    MIN_PAUSE_S,
    REQUEST_TIMEOUT_S,
    Admitted,
    Holder,
    RateRefused,
)


@dataclass(slots=True, frozen=True)
class TokenRequest:
    """Send a request to a peer entry and pass its reply, with this `sent_at`, to `on_reply`.

    If the request cannot be sent or is not answered, call `on_no_reply` instead.
    """

    entry_id: str
    org_id: str
    message: TakeTokens
    sent_at: float


# An owner grants only within this time after control confirmed its view. Entries send a heartbeat
# to control once a second; if its reply is more than half a second late, calls wait for it. A
# longer lease would avoid that wait, but when an owner dies, all its callers wait for the whole
# lease.
LEASE_S = 1.5
# Tokens granted at the end of a lease are spent or void after this time.
OWNERSHIP_S = LEASE_S + SLICE_VALID_S

RateOutput = Admitted | RateRefused | TokenRequest | PeerMessage


class RateLimiter:
    """One entry's part in the rates of all organisations, as holder and as owner.

    The caller runs `tick` when `next_wake` is due, sends the outputs, and passes on the replies.
    """

    def __init__(
        self,
        entry_id: str,
        incarnation: str,
        rng: random.Random,
        lease_s: float = LEASE_S,
        started_at: float = float("inf"),
    ) -> None:
        self.entry_id = entry_id
        self._holder_id = f"{entry_id}@{incarnation}"
        self._lease_s = lease_s
        self._lease_until = float("-inf")
        self._epoch = -1
        self._rate_by_org: dict[str, Rate] = {}
        self._holder_by_org: dict[str, Holder] = {}
        self._owners = BucketOwners()
        earlier = EarlierOwners(lease_s, started_at)
        self._owned_buckets = OwnedBuckets(
            entry_id, incarnation, rng, earlier, self._owners, self._rate_by_org
        )

    def set_policy(self, policy: OrganisationPolicy, now: float) -> None:
        """Set the rate in force for an organisation."""
        rate = policy.rate
        self._rate_by_org[policy.org_id] = rate
        holder = self._holder_by_org.get(policy.org_id)
        if holder is not None:
            holder.rate = rate
        self._owned_buckets.set_rate(policy.org_id, rate, now)

    def remove_organisation(self, org_id: str) -> None:
        """Remove an organisation that no longer exists."""
        self._rate_by_org.pop(org_id, None)
        self._holder_by_org.pop(org_id, None)

    def on_view(self, view: View, now: float) -> list[RateOutput]:
        """Apply a view. Call this before `renew_lease` if one reply carries both."""
        if view.epoch <= self._epoch:
            return []
        self._epoch = view.epoch
        if self._owned_buckets.has_entries_of(view):
            self._owned_buckets.on_same_entries(view, now)
            return self.tick(now)
        outputs: list[RateOutput] = list(self._owned_buckets.on_entries_changed(view, now))
        for holder in self._holder_by_org.values():
            holder.on_owner_change()
        outputs.extend(self.tick(now))
        return outputs

    def settled_owners(self, now: float) -> int:
        """Return the version of the view's owners once all previous ones are waited out, else 0."""
        return self._owned_buckets.settled_owners(now)

    def renew_lease(self, sent_at: float) -> None:
        """Extend the lease after control confirmed the view.

        `sent_at` is when the confirmed heartbeat was sent.
        """
        self._lease_until = max(self._lease_until, sent_at + self._lease_s)

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
        holder = self._holder(org_id)
        decided = holder.offer(call_id, deadline, started, now, run_s)
        if decided is not None:
            return [decided]
        return self._process(org_id, holder, now)

    def owner_of(self, org_id: str) -> str | None:
        """Return the entry that owns the organisation's bucket in the current view."""
        return self._owners.owner(org_id)

    def is_exhausted(self, org_id: str, now: float) -> bool:
        """Return whether, by its owner's last reply, the organisation has used up its rate."""
        holder = self._holder_by_org.get(org_id)
        return holder is not None and holder.is_exhausted(now)

    def return_token(self, org_id: str, now: float) -> bool:
        """Return the token of an admitted call that did not run; False if it is too late."""
        holder = self._holder_by_org.get(org_id)
        return holder is not None and holder.return_token(now)

    def is_unavailable(self, org_id: str, now: float) -> bool:
        """Return whether the owner is unreachable or its bucket has not started."""
        holder = self._holder_by_org.get(org_id)
        return holder is not None and holder.is_unavailable(now)

    def expected_wait_s(self, org_id: str, now: float) -> float:
        """Return the expected wait for a token of a call offered now."""
        holder = self._holder_by_org.get(org_id)
        return 0.0 if holder is None else holder.expected_wait_s(now)

    def withdraw(self, org_id: str, call_id: str) -> None:
        """Remove a waiting call whose caller disconnected."""
        if org_id in self._holder_by_org:
            self._holder_by_org[org_id].withdraw(call_id)

    def tick(self, now: float) -> list[RateOutput]:
        """Do what is due: refuse expired calls, repeat requests, report ended slices."""
        outputs: list[RateOutput] = []
        for org_id, holder in list(self._holder_by_org.items()):
            if holder.requested_at is not None and now >= holder.requested_at + REQUEST_TIMEOUT_S:
                holder.on_no_reply(holder.requested_at, now)
            outputs.extend(self._process(org_id, holder, now))
            if holder.idle() and not holder.is_exhausted(now) and not holder.is_unavailable(now):
                del self._holder_by_org[org_id]
        return outputs

    def next_wake(self) -> float | None:
        """Return when `tick` should run next."""
        times = [holder.next_wake() for holder in self._holder_by_org.values()]
        return min((at for at in times if at is not None), default=None)

    def on_reply(
        self,
        entry_id: str,
        org_id: str,
        reply: TokensGranted | NotOwner,
        sent_at: float,
        now: float,
    ) -> list[RateOutput]:
        """Process an entry's reply to a `TokenRequest`."""
        holder = self._holder(org_id)
        holder.on_reply(reply, entry_id, sent_at, now)
        return self._process(org_id, holder, now)

    def on_no_reply(self, org_id: str, sent_at: float, now: float) -> None:
        """Record that a `TokenRequest` gets no reply; tokens granted for it expire on their own."""
        if org_id in self._holder_by_org:
            self._holder_by_org[org_id].on_no_reply(sent_at, now)

    def handle(
        self, message: TakeTokens | ReturnTokens | HandOver, now: float
    ) -> TokensGranted | NotOwner | None:
        """Process a peer's message as the owner of a bucket; return the reply, if any."""
        match message:
            case TakeTokens():
                return self._grant(message, now)
            case ReturnTokens():
                self._owned_buckets.return_tokens(message, now)
                return None
            case HandOver():
                self._owned_buckets.accept_hand_over(message, now)
                return None

    def _grant(self, message: TakeTokens, now: float) -> TokensGranted | NotOwner:
        if message.view_epoch > self._epoch or now >= self._lease_until:
            return NotOwner(self._epoch, int(MIN_PAUSE_S * 1000))
        return self._owned_buckets.grant(message, self._epoch, now)

    def _process(self, org_id: str, holder: Holder, now: float) -> list[RateOutput]:
        outputs: list[RateOutput] = list(holder.serve(now))
        outputs.extend(holder.reject_expired(now))
        if holder.should_request(now):
            outputs.extend(self._request_tokens(org_id, holder, now))
        if holder.report_at is not None and now >= holder.report_at:
            outputs.extend(self._report(org_id, holder, now))
        return outputs

    def _request_tokens(self, org_id: str, holder: Holder, now: float) -> list[RateOutput]:
        owner = self._owners.owner(org_id)
        if owner is None:
            holder.request_after = now + MIN_PAUSE_S
            return []
        fully_spent = [e for e in holder.ended if e.owner == owner and not e.unspent]
        holder.ended = [e for e in holder.ended if e not in fully_spent]
        if not holder.ended:
            holder.report_at = None
        message = TakeTokens(
            org_id,
            self._holder_id,
            float(len(holder.waiting)),
            self._epoch,
            tuple(ended.slice_id for ended in fully_spent),
            holder.patience_ms(now),
        )
        holder.requested_at = now
        if owner != self.entry_id:
            return [TokenRequest(owner, org_id, message, now)]
        holder.on_reply(self._grant(message, now), owner, now, now)
        outputs: list[RateOutput] = list(holder.serve(now))
        outputs.extend(holder.reject_expired(now))
        return outputs

    def _report(self, org_id: str, holder: Holder, now: float) -> list[RateOutput]:
        outputs: list[RateOutput] = []
        for ended in holder.ended:
            message = ReturnTokens(org_id, self._holder_id, ended.unspent, ended.slice_id)
            if ended.owner == self.entry_id:
                self.handle(message, now)
                continue
            outputs.append(PeerMessage(ended.owner, message))
        holder.ended = []
        holder.report_at = None
        return outputs

    def _holder(self, org_id: str) -> Holder:
        holder = self._holder_by_org.get(org_id)
        if holder is None:
            holder = Holder(self._rate_by_org.get(org_id, Rate(0.0, 0.0)))
            self._holder_by_org[org_id] = holder
        return holder
