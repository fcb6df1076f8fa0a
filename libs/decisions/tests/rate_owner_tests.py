"""Changes of a bucket's owner, step by step: each case in which two owners could grant at once."""

from __future__ import annotations

import random

import pytest
from tarragonhall_decisions import (
    Admitted,
    Deadline,
    PeerMessage,
    RateLimiter,
    RateRefused,
    TokenRequest,
)
from tarragonhall_model import (
    EntryRecord,
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

ORG = "org-1"
RATE = Rate(100.0, 10.0)
IDS = ["a", "b", "c"]
OWNER = rendezvous(ORG, IDS)
OTHERS = [entry for entry in IDS if entry != OWNER]
NEXT = rendezvous(ORG, OTHERS)
# An additional entry that does not take over the organisation.
ADDED = next(f"z{n}" for n in range(100) if rendezvous(ORG, [*IDS, f"z{n}"]) == OWNER)


def view(epoch: int, ids: list[str], version: int | None = None, incarnation: str = "1") -> View:
    """Return a view of these entries, by default with a change of the entries at each epoch."""
    return View(epoch, _entries(ids, incarnation), [], entries_version=version or 10 + epoch)


def _entries(ids: list[str], incarnation: str = "1") -> list[EntryRecord]:
    return [EntryRecord(i, incarnation, i, "zone") for i in ids]


def limiter(entry_id: str, now: float = 0.0) -> RateLimiter:
    """Return the limiter of an entry that knows the organisation."""
    created = RateLimiter(entry_id, "1", random.Random(1), lease_s=2.0)
    created.set_policy(OrganisationPolicy(ORG, ORG, rate=RATE), now)
    return created


def request_tokens(
    owner: RateLimiter, epoch: int, now: float, wanted: float = 10.0
) -> float | None:
    """Return the tokens that an owner grants, or None if it does not grant from a bucket."""
    reply = owner.handle(TakeTokens(ORG, "holder@1", wanted, epoch), now)
    if isinstance(reply, NotOwner):
        return None
    assert isinstance(reply, TokensGranted)
    return reply.tokens


def running_owner() -> RateLimiter:
    """Return the initial owner with a full bucket at time 20."""
    owner = limiter(OWNER)
    owner.on_view(view(1, IDS), 0.0)
    owner.renew_lease(19.9)
    return owner


def test_new_owner_waits_a_lease_and_a_slice():
    """The previous owner is disconnected and still grants. If the new owner started before the
    previous one has certainly stopped and its slices have expired, callers would briefly see twice
    the rate.
    """
    new = limiter(NEXT)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, OTHERS), 10.0)
    new.renew_lease(12.3)
    assert request_tokens(new, 2, 12.4) is None
    assert request_tokens(new, 2, 12.6) is not None


def test_owner_that_missed_a_change_of_the_entries_starts_a_new_bucket():
    """An owner misses that another entry owned its bucket for a while, whose grants may still be
    spent.
    """
    owner = running_owner()
    assert request_tokens(owner, 1, 20.0, 1.0) == 1.0
    owner.on_view(view(3, IDS), 30.0)
    owner.renew_lease(32.4)
    assert request_tokens(owner, 3, 32.4) is None
    assert request_tokens(owner, 3, 32.6) is not None


def test_owner_keeps_its_bucket_when_servers_change():
    """Servers join and leave, and an entry misses views of them. Callers must not wait."""
    owner = running_owner()
    owner.on_view(view(7, IDS, version=11), 20.5)
    owner.renew_lease(20.4)
    assert request_tokens(owner, 7, 20.6) == 10.0


def test_previous_incarnation_of_an_entry_stops():
    """An entry was paused and replaced by a new process of the same name. Both would own the same
    buckets, so the previous incarnation must stop when it sees the new one in the view.
    """
    owner = running_owner()
    owner.on_view(view(2, IDS, incarnation="2"), 20.0)
    owner.renew_lease(30.0)
    assert request_tokens(owner, 2, 20.1) is None
    assert request_tokens(owner, 2, 30.0) is None


def test_very_first_entry_does_not_wait():
    """A deployment starts for the first time, so no entry can have granted anything before."""
    first = limiter(OWNER)
    first.on_view(view(1, [OWNER], version=1), 0.0)
    first.renew_lease(0.0)
    assert request_tokens(first, 1, 0.0) == RATE.burst


def test_owner_without_fresh_view_grants_nothing():
    """An owner that lost its connection to control cannot know whether it still owns the bucket."""
    owner = running_owner()
    assert request_tokens(owner, 1, 21.8, 1.0) == 1.0
    assert request_tokens(owner, 1, 22.0, 1.0) is None


def test_hand_over_from_an_earlier_ownership_is_ignored():
    """A hand-over is delayed on a slow link while the bucket moves away and back. Accepted then, it
    would restore tokens that have been spent since.
    """
    owner = limiter(OWNER)
    owner.on_view(view(5, IDS), 0.0)
    owner.on_view(view(6, OTHERS), 1.0)
    owner.on_view(view(7, IDS), 2.0)
    owner.renew_lease(2.0)
    owner.handle(HandOver(ORG, 10.0, 15), 2.1)
    assert request_tokens(owner, 7, 2.2) is None
    owner.handle(HandOver(ORG, 10.0, 17), 2.3)
    assert request_tokens(owner, 7, 2.4) == 10.0


def test_hand_over_is_accepted_after_more_entries_were_added():
    """Two entries return one after the other, and the first receives its buckets after it has seen
    both. If it ignored the hand-over, the bucket would be lost and its organisation would wait.
    """
    new = limiter(OWNER)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, [*IDS, ADDED]), 0.1)
    new.renew_lease(0.1)
    assert request_tokens(new, 2, 0.1) is None
    new.handle(HandOver(ORG, 7.0, 11), 0.2)
    assert request_tokens(new, 2, 0.2) == 7.0


def test_hand_over_from_before_a_removal_is_ignored():
    """An entry is removed and another owns its buckets for a while. A late hand-over from before
    that would restore tokens that the other has granted.
    """
    new = limiter(OWNER)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, [*IDS, ADDED]), 0.1)
    new.on_view(view(3, IDS), 0.2)
    new.renew_lease(0.2)
    new.handle(HandOver(ORG, 7.0, 12), 0.3)
    assert request_tokens(new, 3, 0.3) is None


def test_hand_over_that_comes_before_the_view_is_kept():
    """The previous owner gets the new view first. If its early hand-over were dropped, callers
    would wait for seconds needlessly.
    """
    new = limiter(NEXT)
    new.on_view(view(1, IDS), 0.0)
    new.handle(HandOver(ORG, 7.0, 12), 10.0)
    new.on_view(view(2, OTHERS), 10.1)
    new.renew_lease(10.0)
    assert request_tokens(new, 2, 10.1) == 7.0


def test_hand_over_includes_tokens_in_slices():
    """The bucket is handed over while a holder has all its tokens in an unspent slice. The new
    owner must count them, or the holder's calls would exceed the burst.
    """
    owner = running_owner()
    assert request_tokens(owner, 1, 20.0) == 10.0
    (sent,) = owner.on_view(view(2, OTHERS), 20.0)
    assert isinstance(sent, PeerMessage)
    assert sent.entry_id == NEXT
    new = limiter(NEXT)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, OTHERS), 20.0)
    new.renew_lease(20.0)
    new.handle(sent.message, 20.001)
    assert request_tokens(new, 2, 20.4) == 0.0
    # After the slice expires, its tokens count as spent and the bucket refills at the rate.
    assert request_tokens(new, 2, 20.6) == 9.0


def test_owner_that_missed_a_change_hands_nothing_over():
    """An owner reconnects after a long partition; the next owner has waited it out and is active
    already, or even a later one.
    """
    owner = running_owner()
    request_tokens(owner, 1, 20.0)
    assert owner.on_view(view(3, OTHERS), 30.0) == []


def test_owner_that_missed_an_incarnation_of_its_successor_hands_nothing_over():
    """An owner is removed while it is paused, and learns of it only after its successor owned the
    bucket, was killed and restarted. The successor would accept the old bucket besides its own.
    """
    owner = limiter(OWNER)
    owner.on_view(View(1, _entries(IDS), [], entries_version=11, owners_version=5), 0.0)
    owner.renew_lease(19.9)
    assert request_tokens(owner, 1, 20.0, 1.0) == 1.0
    late = View(3, _entries(OTHERS, incarnation="2"), [], entries_version=13, owners_version=6)
    assert not [one for one in owner.on_view(late, 21.0) if isinstance(one, PeerMessage)]


def test_removed_owner_hands_over_at_once():
    """The same owner sees each change. Its bucket moves to the entry that now owns it."""
    owner = limiter(OWNER)
    owner.on_view(View(1, _entries(IDS), [], entries_version=11, owners_version=5), 0.0)
    owner.renew_lease(19.9)
    assert request_tokens(owner, 1, 20.0, 1.0) == 1.0
    next_view = View(2, _entries(OTHERS), [], entries_version=12, owners_version=6)
    sent = [one for one in owner.on_view(next_view, 21.0) if isinstance(one, PeerMessage)]
    assert [(one.entry_id, one.message.entries_version) for one in sent] == [(NEXT, 12)]


def test_duplicated_return_does_not_create_tokens():
    """A message that returns tokens arrives twice."""
    owner = running_owner()
    reply = owner.handle(TakeTokens(ORG, "holder@1", 10.0, 1), 20.0)
    back = ReturnTokens(ORG, "holder@1", 6.0, reply.slice_id)
    owner.handle(back, 20.0)
    owner.handle(back, 20.0)
    assert request_tokens(owner, 1, 20.0) == 6.0


def test_cached_owners_match_recomputed_ones():
    """Entries join and leave. If two entries disagreed on an owner, requests would go to entries
    that cannot grant, and calls would wait in vain.
    """
    rng = random.Random(4)
    names = [f"entry-{number}" for number in range(12)]
    organisations = [f"org-{number}" for number in range(40)]
    cached = limiter("entry-0")
    for epoch in range(1, 40):
        ids = sorted(rng.sample(names, rng.randint(1, 12)))
        cached.on_view(view(epoch, ids), float(epoch))
        for org_id in organisations:
            (asked,) = offer_one(cached, org_id, f"{epoch}/{org_id}", float(epoch))
            assert asked == rendezvous(org_id, ids)


def offer_one(entry: RateLimiter, org_id: str, call_id: str, now: float) -> list[str]:
    """Offer a call; return the entries that are asked for its token, or this one if none is."""
    entry.set_policy(OrganisationPolicy(org_id, org_id, rate=RATE), now)
    outputs = entry.offer(org_id, call_id, Deadline(now + 1e6), True, now)
    entry.withdraw(org_id, call_id)
    asked = [output.entry_id for output in outputs if isinstance(output, TokenRequest)]
    return asked or [entry.entry_id]


@pytest.mark.parametrize("requester", [OWNER, NEXT])
def test_refusal_before_a_bucket_is_usable_says_when_it_will_be(requester):
    """All entries have just been restarted and the bucket's owner waits out previous ones. Guards
    against a retry time of 20 ms, with which a caller would be refused again for seconds.
    """
    owner, holder = limiter(OWNER), limiter(requester)
    if requester == OWNER:
        holder = owner
    for one in (owner, holder):
        one.on_view(view(5, IDS), 0.0)
        one.renew_lease(0.0)
    outputs = holder.offer(ORG, "call-1", Deadline(0.5), False, 0.0)
    _deliver_requests(owner, holder, outputs, 0.0)
    refused = [one for one in holder.tick(0.25) if isinstance(one, RateRefused)]
    assert [one.call_id for one in refused] == ["call-1"]
    back_at = 0.25 + refused[0].refusal.retry_after_ms / 1000
    assert request_tokens(owner, 5, back_at - 0.05) is None
    owner.renew_lease(back_at)
    holder.renew_lease(back_at)
    outputs = holder.offer(ORG, "call-2", Deadline(back_at + 0.5), False, back_at)
    outputs += _deliver_requests(owner, holder, outputs, back_at)
    assert Admitted("call-2") in outputs


def _deliver_requests(owner: RateLimiter, holder: RateLimiter, outputs: list, now: float) -> list:
    """Deliver a holder's requests to the owner, and its replies."""
    answers = []
    for output in outputs:
        if isinstance(output, TokenRequest):
            reply = owner.handle(output.message, now)
            answers += holder.on_reply(output.entry_id, ORG, reply, output.sent_at, now)
    return answers
