"""Rate and burst of each organisation over all entries together.

Load pattern: a tenant sends ten times its rate through every entry at once; another sends a few
calls a minute, each through a different entry. A split of the rate by instance refuses the second
although it is far inside its rate; counting at each entry alone lets the first have its rate times
the number of entries.

One entry owns the bucket of an organisation: the rendezvous choice over the entries in the view.
The others (and the owner for itself) draw slices for the calls that wait, and spend each slice
within `valid_ms` of the instant at which they asked for it. A call waits for its token as long as
that leaves half of its time to run; a call that would wait longer is refused at once, with the time
after which there is room. Calls of programs under way come before calls that start a program, so
that a tenant over its rate finishes programs rather than starting ever more.

Owner changes: an owner grants only while the control group has confirmed its view within a lease,
so every owner has stopped one lease after the entries changed. A new owner starts with an empty
bucket one lease and one slice after it learnt of the change, or at once with the bucket that the
earlier owner hands over. An entry that comes back at its address owns what its earlier life owned;
where the owners before were waited out already, it waits for that life's slices alone. Without this
a killed entry that is back after a second cost its organisations another second and a half.

Control counts these changes (`View.owners_version`): an entry that missed one gives up all its
buckets, since another may have owned them and started them afresh.

What stays: a tenant's calls wait while a dead owner is waited out; they are admitted afterwards if
half of their time is not over by then.

Only what is in use is computed: an owner is looked up when its organisation calls, so a change of
the view costs nothing for the thousands of organisations that are quiet.

The figures and their grounds are in `_bucket` and `_rate_holder`; the owner's part is in
`_owned_buckets`, and how long earlier owners are waited out is decided in `_earlier_owners`.
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
from tarragonhall_decisions._owned_buckets import OwnedBuckets, Tell
from tarragonhall_decisions._rate_holder import (
    ASK_TIMEOUT_S,
    MIN_PAUSE_S,
    Admitted,
    Holder,
    RateRefused,
)


@dataclass(slots=True, frozen=True)
class Ask:
    """Send a request to a peer entry; its reply goes to `on_reply` with this `sent_at`.

    Where the request cannot be sent or is not answered, `on_no_reply` is called in its place.
    """

    entry_id: str
    org_id: str
    message: TakeTokens
    sent_at: float


# An owner grants only while control confirmed its view within this time. Entries hear from control
# once a second; when a heartbeat is later than half a second, calls wait until it comes. A longer
# lease would spare that wait, but when an owner dies all its callers wait for the whole of it.
LEASE_S = 1.5
# What an owner granted at the end of its lease is spent or void after this.
OWNERSHIP_S = LEASE_S + SLICE_VALID_S

RateOutput = Admitted | RateRefused | Ask | Tell


class RateLimiter:
    """The part of one entry in the rates of all organisations, as holder and as owner.

    The shell calls `tick` when `next_wake` comes, sends what is returned, and passes on replies.
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
        self._fresh_until = float("-inf")
        self._epoch = -1
        self._rate_by_org: dict[str, Rate] = {}
        self._holder_by_org: dict[str, Holder] = {}
        self._owners = BucketOwners()
        earlier = EarlierOwners(lease_s, started_at)
        self._owned = OwnedBuckets(
            entry_id, incarnation, rng, earlier, self._owners, self._rate_by_org
        )

    def set_policy(self, policy: OrganisationPolicy, now: float) -> None:
        """Take over the rate in force for an organisation."""
        rate = policy.rate
        self._rate_by_org[policy.org_id] = rate
        holder = self._holder_by_org.get(policy.org_id)
        if holder is not None:
            holder.rate = rate
        self._owned.set_rate(policy.org_id, rate, now)

    def remove_organisation(self, org_id: str) -> None:
        """Forget an organisation that no longer exists."""
        self._rate_by_org.pop(org_id, None)
        self._holder_by_org.pop(org_id, None)

    def on_view(self, view: View, now: float) -> list[RateOutput]:
        """Take over a view. Call this before `on_fresh` where one reply carries both."""
        if view.epoch <= self._epoch:
            return []
        self._epoch = view.epoch
        if self._owned.has_entries_of(view):
            self._owned.on_same_entries(view, now)
            return self.tick(now)
        outputs: list[RateOutput] = list(self._owned.on_entries_changed(view, now))
        for holder in self._holder_by_org.values():
            holder.on_owner_change()
        outputs.extend(self.tick(now))
        return outputs

    def settled_owners(self, now: float) -> int:
        """Return the version of the view's owners whose predecessors were waited out, or 0."""
        return self._owned.settled_owners(now)

    def on_fresh(self, sent_at: float) -> None:
        """Note that control confirmed the view; `sent_at` is when that heartbeat was sent."""
        self._fresh_until = max(self._fresh_until, sent_at + self._lease_s)

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
        holder = self._holder(org_id)
        decided = holder.offer(call_id, deadline, started, now, run_s)
        if decided is not None:
            return [decided]
        return self._pump(org_id, holder, now)

    def owner_of(self, org_id: str) -> str | None:
        """Return the entry that owns the bucket of an organisation in the view held."""
        return self._owners.owner(org_id)

    def is_dry(self, org_id: str, now: float) -> bool:
        """Return whether, by its owner's last word, the organisation has used up its rate."""
        holder = self._holder_by_org.get(org_id)
        return holder is not None and holder.is_dry(now)

    def give_back(self, org_id: str, now: float) -> bool:
        """Return the token of a call that was admitted and did not run, where that is possible."""
        holder = self._holder_by_org.get(org_id)
        return holder is not None and holder.give_back(now)

    def is_shut(self, org_id: str, now: float) -> bool:
        """Return whether the owner grants nothing now: it is not heard, or its bucket not begun."""
        holder = self._holder_by_org.get(org_id)
        return holder is not None and holder.is_shut(now)

    def expected_wait_s(self, org_id: str, now: float) -> float:
        """Return after which time a call that is offered now may hope for its token."""
        holder = self._holder_by_org.get(org_id)
        return 0.0 if holder is None else holder.expected_wait_s(now)

    def withdraw(self, org_id: str, call_id: str) -> None:
        """Forget a waiting call whose caller has gone."""
        if org_id in self._holder_by_org:
            self._holder_by_org[org_id].withdraw(call_id)

    def tick(self, now: float) -> list[RateOutput]:
        """Do what is due: give up calls, ask again, report spent slices."""
        outputs: list[RateOutput] = []
        for org_id, holder in list(self._holder_by_org.items()):
            if holder.asked_at is not None and now >= holder.asked_at + ASK_TIMEOUT_S:
                holder.on_no_reply(holder.asked_at, now)
            outputs.extend(self._pump(org_id, holder, now))
            if holder.idle() and not holder.is_dry(now) and not holder.is_shut(now):
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
        """Take the reply of an entry to an `Ask`."""
        holder = self._holder(org_id)
        holder.on_reply(reply, entry_id, sent_at, now)
        return self._pump(org_id, holder, now)

    def on_no_reply(self, org_id: str, sent_at: float, now: float) -> None:
        """Note that an `Ask` will not be answered; what it was granted runs out by itself."""
        if org_id in self._holder_by_org:
            self._holder_by_org[org_id].on_no_reply(sent_at, now)

    def handle(
        self, message: TakeTokens | ReturnTokens | HandOver, now: float
    ) -> TokensGranted | NotOwner | None:
        """Take a message of a peer as the owner of a bucket; return the reply, if it needs one."""
        match message:
            case TakeTokens():
                return self._take(message, now)
            case ReturnTokens():
                self._owned.give_back(message, now)
                return None
            case HandOver():
                self._owned.adopt(message, now)
                return None

    def _take(self, message: TakeTokens, now: float) -> TokensGranted | NotOwner:
        if message.view_epoch > self._epoch or now >= self._fresh_until:
            return NotOwner(self._epoch, int(MIN_PAUSE_S * 1000))
        return self._owned.take(message, self._epoch, now)

    def _pump(self, org_id: str, holder: Holder, now: float) -> list[RateOutput]:
        outputs: list[RateOutput] = list(holder.serve(now))
        outputs.extend(holder.give_up(now))
        if holder.wants_to_ask(now):
            outputs.extend(self._ask(org_id, holder, now))
        if holder.report_at is not None and now >= holder.report_at:
            outputs.extend(self._report(org_id, holder, now))
        return outputs

    def _ask(self, org_id: str, holder: Holder, now: float) -> list[RateOutput]:
        owner = self._owners.owner(org_id)
        if owner is None:
            holder.ask_after = now + MIN_PAUSE_S
            return []
        spent = [e for e in holder.ended if e.owner == owner and not e.unspent]
        holder.ended = [e for e in holder.ended if e not in spent]
        if not holder.ended:
            holder.report_at = None
        message = TakeTokens(
            org_id,
            self._holder_id,
            float(len(holder.waiting)),
            self._epoch,
            tuple(ended.slice_id for ended in spent),
            holder.patience_ms(now),
        )
        holder.asked_at = now
        if owner != self.entry_id:
            return [Ask(owner, org_id, message, now)]
        holder.on_reply(self._take(message, now), owner, now, now)
        outputs: list[RateOutput] = list(holder.serve(now))
        outputs.extend(holder.give_up(now))
        return outputs

    def _report(self, org_id: str, holder: Holder, now: float) -> list[RateOutput]:
        outputs: list[RateOutput] = []
        for ended in holder.ended:
            message = ReturnTokens(org_id, self._holder_id, ended.unspent, ended.slice_id)
            if ended.owner == self.entry_id:
                self.handle(message, now)
                continue
            outputs.append(Tell(ended.owner, message))
        holder.ended = []
        holder.report_at = None
        return outputs

    def _holder(self, org_id: str) -> Holder:
        holder = self._holder_by_org.get(org_id)
        if holder is None:
            holder = Holder(self._rate_by_org.get(org_id, Rate(0.0, 0.0)))
            self._holder_by_org[org_id] = holder
        return holder
