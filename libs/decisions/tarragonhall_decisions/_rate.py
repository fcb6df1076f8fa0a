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

Owner changes: an owner grants only while the control group has confirmed its view within the
freshness lease. A new owner starts with an empty bucket once every earlier owner must have stopped
and its slices have ended: two leases and one slice after it learnt that it is the owner. Two,
because an owner of a view in between that nobody else saw can act for one lease longer. When the
earlier owner hands its bucket over there is no wait.

What stays: a tenant's calls wait while a dead owner is waited out; they are admitted afterwards if
half of their time is not over by then.

Grounds for the figures: `MAX_WAIT_S` bounds the queue of a tenant that keeps above its rate: its
calls would else all wait until half of their deadline, holding a connection each. `REPORT_AFTER_S`
is a few round trips: the owner refills only what is not granted, so spent slices are reported soon.
`ASK_TIMEOUT_S` is far above a round trip and below the patience of any caller.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonhall_model import (
    HandOver,
    NotOwner,
    OrganisationPolicy,
    Rate,
    Refusal,
    ReturnTokens,
    TakeTokens,
    TokensGranted,
    View,
)

from tarragonhall_decisions._bucket import Bucket
from tarragonhall_decisions._deadlines import Deadline

MAX_WAIT_S = 10.0
WAIT_SHARE = 0.5
REPORT_AFTER_S = 0.02
ASK_TIMEOUT_S = 0.25
NOT_OWNER_PAUSE_MS = 50


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
class Ask:
    """Send a request to a peer entry; its reply goes to `on_reply` with this `sent_at`.

    Where no reply comes, `on_no_reply` is called in its place.
    """

    entry_id: str
    org_id: str
    message: TakeTokens
    sent_at: float


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a message to a peer entry; a lost one costs tokens, never correctness."""

    entry_id: str
    message: ReturnTokens | HandOver


RateOutput = Admitted | RateRefused | Ask | Tell


@dataclass(slots=True)
class _Waiting:
    call_id: str
    started: bool
    give_up_at: float


@dataclass(slots=True)
class _HeldSlice:
    slice_id: str
    owner: str
    tokens: float
    usable_until: float


@dataclass(slots=True)
class _Holder:
    """What this entry holds of one organisation's tokens, and who waits for more."""

    rate: Rate
    waiting: list[_Waiting] = field(default_factory=list)
    slices: list[_HeldSlice] = field(default_factory=list)
    asked_at: float | None = None
    ask_after: float = 0.0
    backlog: float = 0.0
    backlog_at: float = 0.0
    dry: bool = False
    finished: list[tuple[str, str]] = field(default_factory=list)
    report_at: float | None = None


@dataclass(slots=True)
class _Owned:
    """A bucket that this entry owns in its view. Without `bucket` it waits out earlier owners."""

    since_epoch: int
    usable_from: float
    bucket: Bucket | None = None


class RateLimiter:
    """The part of one entry in the rates of all organisations, as holder and as owner."""

    def __init__(
        self, entry_id: str, incarnation: str, rng: random.Random, freshness_lease_s: float
    ) -> None:
        self.entry_id = entry_id
        self.holder = f"{entry_id}@{incarnation}"
        self._rng = rng
        self._lease_s = freshness_lease_s
        self._fresh_until = float("-inf")
        self._epoch = -1
        self._entry_ids: list[str] = []
        self._rate_by_org: dict[str, Rate] = {}
        self._holder_by_org: dict[str, _Holder] = {}
        self._owned_by_org: dict[str, _Owned] = {}
        self._owner_by_org: dict[str, str | None] = {}

    # What is in force.

    def set_policy(self, policy: OrganisationPolicy, now: float) -> None:
        """Take over the rate in force for an organisation."""
        raise NotImplementedError

    def remove_organisation(self, org_id: str) -> None:
        """Forget an organisation that no longer exists."""
        raise NotImplementedError

    def on_view(self, view: View, now: float) -> list[RateOutput]:
        """Take over a view. Call this before `on_fresh` where one reply carries both."""
        raise NotImplementedError

    def on_fresh(self, sent_at: float) -> None:
        """Note that control confirmed the view; `sent_at` is when that heartbeat was sent."""
        raise NotImplementedError

    # Calls.

    def offer(
        self, org_id: str, call_id: str, deadline: Deadline, started: bool, now: float
    ) -> list[RateOutput]:
        """Ask for a token for a call; `started` says whether its program had a call before."""
        raise NotImplementedError

    def withdraw(self, org_id: str, call_id: str) -> None:
        """Forget a waiting call whose caller has gone."""
        raise NotImplementedError

    def tick(self, now: float) -> list[RateOutput]:
        """Do what is due: give up calls, ask again, report spent slices."""
        raise NotImplementedError

    def next_wake(self) -> float | None:
        """Return when `tick` should run next."""
        raise NotImplementedError

    def leave(self, now: float) -> list[RateOutput]:
        """Return unspent tokens and hand the buckets over; call it with the view without us."""
        raise NotImplementedError

    # Messages of peers.

    def on_reply(
        self, org_id: str, reply: TokensGranted | NotOwner, sent_at: float, now: float
    ) -> list[RateOutput]:
        """Take the reply to an `Ask`."""
        raise NotImplementedError

    def on_no_reply(self, org_id: str, sent_at: float, now: float) -> list[RateOutput]:
        """Note that an `Ask` was not answered; what it was granted runs out by itself."""
        raise NotImplementedError

    def handle(
        self, message: TakeTokens | ReturnTokens | HandOver, now: float
    ) -> TokensGranted | NotOwner | None:
        """Take a message of a peer as the owner of a bucket; return the reply, if it needs one."""
        raise NotImplementedError
