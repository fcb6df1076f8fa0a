"""Change of the owner of a bucket, step by step: each case in which two could grant at once."""

from __future__ import annotations

import random

import pytest
from tarragonhall_decisions import Admitted, Ask, Deadline, RateLimiter, RateRefused, Tell
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
# One more entry that takes nothing from the owner.
MORE = next(f"z{n}" for n in range(100) if rendezvous(ORG, [*IDS, f"z{n}"]) == OWNER)


def view(epoch: int, ids: list[str], version: int | None = None, life: str = "1") -> View:
    """Return a view of these entries, by default after a change of the entries in each epoch."""
    return View(epoch, _entries(ids, life), [], entries_version=version or 10 + epoch)


def _entries(ids: list[str], life: str = "1") -> list[EntryRecord]:
    return [EntryRecord(i, life, i, "zone") for i in ids]


def limiter(entry_id: str, now: float = 0.0) -> RateLimiter:
    """Return the limiter of an entry that knows the organisation."""
    made = RateLimiter(entry_id, "1", random.Random(1), lease_s=2.0)
    made.set_policy(OrganisationPolicy(ORG, ORG, rate=RATE), now)
    return made


def ask(owner: RateLimiter, epoch: int, now: float, wanted: float = 10.0) -> float | None:
    """Return the tokens that an owner grants, or None if it grants from no bucket."""
    reply = owner.handle(TakeTokens(ORG, "holder@1", wanted, epoch), now)
    if isinstance(reply, NotOwner):
        return None
    assert isinstance(reply, TokensGranted)
    return reply.tokens


def running_owner() -> RateLimiter:
    """Return the first owner with a full bucket at time 20."""
    owner = limiter(OWNER)
    owner.on_view(view(1, IDS), 0.0)
    owner.on_fresh(19.9)
    return owner


def test_new_owner_waits_a_lease_and_a_slice():
    """The earlier owner was cut off and still grants. Were the new owner to start before it surely
    stopped and its slices ended, callers would see twice the rate for a moment.
    """
    new = limiter(NEXT)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, OTHERS), 10.0)
    new.on_fresh(12.3)
    assert ask(new, 2, 12.4) is None
    assert ask(new, 2, 12.6) is not None


def test_owner_that_missed_a_change_of_the_entries_starts_anew():
    """An owner misses that another entry owned its bucket for a while. It never heard of the other
    owner, whose grants may still be spent.
    """
    owner = running_owner()
    assert ask(owner, 1, 20.0, 1.0) == 1.0
    owner.on_view(view(3, IDS), 30.0)
    owner.on_fresh(32.4)
    assert ask(owner, 3, 32.4) is None
    assert ask(owner, 3, 32.6) is not None


def test_owner_keeps_its_bucket_when_servers_change():
    """Servers come and go and an entry misses views of them. Callers must not wait."""
    owner = running_owner()
    owner.on_view(view(7, IDS, version=11), 20.5)
    owner.on_fresh(20.4)
    assert ask(owner, 7, 20.6) == 10.0


def test_earlier_life_of_an_entry_stops():
    """An entry was paused and replaced by a new process of the same name. Both would own the same
    buckets; the earlier one must see that it is not meant.
    """
    owner = running_owner()
    owner.on_view(view(2, IDS, life="2"), 20.0)
    owner.on_fresh(30.0)
    assert ask(owner, 2, 20.1) is None
    assert ask(owner, 2, 30.0) is None


def test_very_first_entry_needs_not_wait():
    """A deployment starts for the first time; nobody can have granted anything before."""
    first = limiter(OWNER)
    first.on_view(view(1, [OWNER], version=1), 0.0)
    first.on_fresh(0.0)
    assert ask(first, 1, 0.0) == RATE.burst


def test_owner_without_fresh_view_grants_nothing():
    """An owner is cut off from control; it cannot know whether it still owns the bucket."""
    owner = running_owner()
    assert ask(owner, 1, 21.8, 1.0) == 1.0
    assert ask(owner, 1, 22.0, 1.0) is None


def test_hand_over_of_an_earlier_turn_is_not_taken():
    """A hand-over is stuck on a slow link while the bucket moves away and back. Taken then, it
    would bring tokens to life that others have spent since.
    """
    owner = limiter(OWNER)
    owner.on_view(view(5, IDS), 0.0)
    owner.on_view(view(6, OTHERS), 1.0)
    owner.on_view(view(7, IDS), 2.0)
    owner.on_fresh(2.0)
    owner.handle(HandOver(ORG, 10.0, 15), 2.1)
    assert ask(owner, 7, 2.2) is None
    owner.handle(HandOver(ORG, 10.0, 17), 2.3)
    assert ask(owner, 7, 2.4) == 10.0


def test_hand_over_is_taken_after_others_were_added_too():
    """Two entries come back together, one after the other. The first is handed its buckets once it
    has heard of both. Passed over, the bucket would be gone, and its organisation would wait.
    """
    new = limiter(OWNER)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, [*IDS, MORE]), 0.1)
    new.on_fresh(0.1)
    assert ask(new, 2, 0.1) is None
    new.handle(HandOver(ORG, 7.0, 11), 0.2)
    assert ask(new, 2, 0.2) == 7.0


def test_hand_over_from_before_a_removal_is_not_taken():
    """An entry is taken out and another owns its buckets for a while; a hand-over from before that
    comes late. Taken, it would bring back tokens that the other has granted.
    """
    new = limiter(OWNER)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, [*IDS, MORE]), 0.1)
    new.on_view(view(3, IDS), 0.2)
    new.on_fresh(0.2)
    new.handle(HandOver(ORG, 7.0, 12), 0.3)
    assert ask(new, 3, 0.3) is None


def test_hand_over_that_comes_before_the_view_is_kept():
    """The earlier owner hears of the new view first. Were its hand-over dropped, callers would wait
    seconds for nothing.
    """
    new = limiter(NEXT)
    new.on_view(view(1, IDS), 0.0)
    new.handle(HandOver(ORG, 7.0, 12), 10.0)
    new.on_view(view(2, OTHERS), 10.1)
    new.on_fresh(10.0)
    assert ask(new, 2, 10.1) == 7.0


def test_tokens_in_slices_go_along_with_the_bucket():
    """The bucket is handed over while a holder has all its tokens and has not spent them yet. The
    new owner must count them, or the holder's calls come on top of the burst.
    """
    owner = running_owner()
    assert ask(owner, 1, 20.0) == 10.0
    (told,) = owner.on_view(view(2, OTHERS), 20.0)
    assert isinstance(told, Tell)
    assert told.entry_id == NEXT
    new = limiter(NEXT)
    new.on_view(view(1, IDS), 0.0)
    new.on_view(view(2, OTHERS), 20.0)
    new.on_fresh(20.0)
    new.handle(told.message, 20.001)
    assert ask(new, 2, 20.4) == 0.0
    # When the slice has ended, its tokens count as spent, and the bucket fills at the rate.
    assert ask(new, 2, 20.6) == 9.0


def test_owner_that_missed_a_change_hands_nothing_over():
    """An owner comes back after a long cut; the next one has waited it out and runs already, or the
    one after that.
    """
    owner = running_owner()
    ask(owner, 1, 20.0)
    assert owner.on_view(view(3, OTHERS), 30.0) == []


def test_owner_that_missed_a_life_of_its_successor_hands_nothing_over():
    """An owner is taken out while it stands still, and hears of it only after its successor owned
    the bucket, was killed and came back. The successor would take the old bucket besides its own.
    """
    owner = limiter(OWNER)
    owner.on_view(View(1, _entries(IDS), [], entries_version=11, owners_version=5), 0.0)
    owner.on_fresh(19.9)
    assert ask(owner, 1, 20.0, 1.0) == 1.0
    late = View(3, _entries(OTHERS, life="2"), [], entries_version=13, owners_version=6)
    assert not [one for one in owner.on_view(late, 21.0) if isinstance(one, Tell)]


def test_owner_that_is_taken_out_hands_over_at_once():
    """The same owner hears of each change. Its bucket goes on where its organisation is served."""
    owner = limiter(OWNER)
    owner.on_view(View(1, _entries(IDS), [], entries_version=11, owners_version=5), 0.0)
    owner.on_fresh(19.9)
    assert ask(owner, 1, 20.0, 1.0) == 1.0
    next_view = View(2, _entries(OTHERS), [], entries_version=12, owners_version=6)
    told = [one for one in owner.on_view(next_view, 21.0) if isinstance(one, Tell)]
    assert [(one.entry_id, one.message.entries_version) for one in told] == [(NEXT, 12)]


def test_doubled_return_does_not_create_tokens():
    """A message that gives tokens back arrives twice."""
    owner = running_owner()
    reply = owner.handle(TakeTokens(ORG, "holder@1", 10.0, 1), 20.0)
    back = ReturnTokens(ORG, "holder@1", 6.0, reply.slice_id)
    owner.handle(back, 20.0)
    owner.handle(back, 20.0)
    assert ask(owner, 1, 20.0) == 6.0


def test_owners_kept_over_changes_are_those_of_a_fresh_look():
    """Entries come and go. Were two entries to disagree on an owner, calls would be sent in circles
    and wait in vain.
    """
    rng = random.Random(4)
    names = [f"entry-{number}" for number in range(12)]
    organisations = [f"org-{number}" for number in range(40)]
    kept = limiter("entry-0")
    for epoch in range(1, 40):
        ids = sorted(rng.sample(names, rng.randint(1, 12)))
        kept.on_view(view(epoch, ids), float(epoch))
        for org_id in organisations:
            (asked,) = offer_one(kept, org_id, f"{epoch}/{org_id}", float(epoch))
            assert asked == rendezvous(org_id, ids)


def offer_one(entry: RateLimiter, org_id: str, call_id: str, now: float) -> list[str]:
    """Offer a call of an organisation that the entry does not serve itself; return who is asked."""
    entry.set_policy(OrganisationPolicy(org_id, org_id, rate=RATE), now)
    outputs = entry.offer(org_id, call_id, Deadline(now + 1e6), True, now)
    entry.withdraw(org_id, call_id)
    asked = [output.entry_id for output in outputs if isinstance(output, Ask)]
    return asked or [entry.entry_id]


@pytest.mark.parametrize("asks", [OWNER, NEXT])
def test_a_refusal_while_a_bucket_is_not_yet_usable_says_when_it_will_be(asks):
    """All entries have just been restarted and the bucket's owner waits out earlier ones. A caller
    with little time was told to come back after 20 ms, and came back for nothing for seconds.
    """
    owner, holder = limiter(OWNER), limiter(asks)
    if asks == OWNER:
        holder = owner
    for one in (owner, holder):
        one.on_view(view(5, IDS), 0.0)
        one.on_fresh(0.0)
    outputs = holder.offer(ORG, "call-1", Deadline(0.5), False, 0.0)
    _answer(owner, holder, outputs, 0.0)
    refused = [one for one in holder.tick(0.25) if isinstance(one, RateRefused)]
    assert [one.call_id for one in refused] == ["call-1"]
    back_at = 0.25 + refused[0].refusal.retry_after_ms / 1000
    assert ask(owner, 5, back_at - 0.05) is None
    owner.on_fresh(back_at)
    holder.on_fresh(back_at)
    outputs = holder.offer(ORG, "call-2", Deadline(back_at + 0.5), False, back_at)
    outputs += _answer(owner, holder, outputs, back_at)
    assert Admitted("call-2") in outputs


def _answer(owner: RateLimiter, holder: RateLimiter, outputs: list, now: float) -> list:
    """Let the owner answer what its peer asked."""
    answers = []
    for output in outputs:
        if isinstance(output, Ask):
            reply = owner.handle(output.message, now)
            answers += holder.on_reply(output.entry_id, ORG, reply, output.sent_at, now)
    return answers
