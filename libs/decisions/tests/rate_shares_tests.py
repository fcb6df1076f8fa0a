"""A rate divided into shares: callers' view of a stopped owner, and the bound over all shares."""

from __future__ import annotations

import random

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from rate_load import RATES_AND_FAULTS, inject_faults, offer_evenly, worst_excess
from tarragonhall_decisions import Deadline, RateLimiter, RateShares, TokenRequest, share_ids
from tarragonhall_model import OrganisationPolicy, Rate

ORG = "org-1"
# The organisation uses about two thirds of its rate.
RATE = Rate(60.0, 60.0)
USED_PER_S = 38.0
SETTLED_S = 6.0


def _slowest(model, since: float) -> float:
    return max(wait for wait, at in zip(model.waits, model.admitted_at, strict=True) if at > since)


@pytest.mark.parametrize("paused", range(8))
def test_no_call_is_refused_while_an_entry_is_frozen(rate_model, paused):
    """One of eight entries freezes for six seconds while an organisation uses two thirds of its
    rate through the others. With one owner for the whole rate, no tokens would be granted for three
    seconds: calls would be refused as unavailable and programs lost.
    """
    model = rate_model(RATE, 8, seed=paused, shared=True)
    model.run(SETTLED_S)
    paused_id = model.entry_ids[paused]
    model.at(model.now + 1.0, lambda: model.paused_until.update({paused_id: model.now + 6.0}))
    model.entry_ids = [one for one in model.entry_ids if one != paused_id]
    offer_evenly(model, USED_PER_S, SETTLED_S + 8.0, timeout_s=3.0)
    model.run(SETTLED_S + 12.0)
    assert not model.refused
    assert _slowest(model, SETTLED_S) < 0.25
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


def test_without_faults_nearly_the_whole_rate_is_used(rate_model):
    """An organisation requests half more than its rate. Dividing the rate must not reduce what it
    gets: 99 of 100 tokens that one bucket would grant.
    """
    model = rate_model(RATE, 8, shared=True)
    model.run(SETTLED_S)
    start = len(model.admitted_at)
    offer_evenly(model, RATE.per_second * 1.5, SETTLED_S + 20.0, timeout_s=1.0)
    model.run(SETTLED_S + 20.0)
    granted = len(model.admitted_at) - start
    assert granted >= 0.99 * (RATE.per_second * 20.0)
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    **RATES_AND_FAULTS,
    kills=st.integers(0, 6),
    returned_share=st.sampled_from([0.0, 0.3]),
)
@example(
    seed=1,
    per_second=60.0,
    burst=40.0,
    loss=0.3,
    slow=0.8,
    max_delay_s=5.0,
    views=0.6,
    kills=6,
    returned_share=0.3,
)
def test_all_shares_together_keep_to_rate_and_burst(
    rate_model,
    faults,
    seed,
    per_second,
    burst,
    loss,
    slow,
    max_delay_s,
    views,
    kills,
    returned_share,
):
    """Entries are paused, isolated, replaced, killed and restarted, and messages are lost or arrive
    seconds late. If a share were granted twice, the organisation would exceed its rate and take
    capacity from the others.
    """
    rate = Rate(per_second, burst)
    fault_mix = faults(loss, slow, max_delay_s, pause=0.2, isolated=0.2, views=views)
    model = rate_model(rate, 4, seed, fault_mix, shared=True)
    model.returned_share = returned_share
    offer_evenly(model, per_second * 2 + 4, 18.0, timeout_s=8.0)
    inject_faults(model, 18.0)
    rng = random.Random(seed)
    for _ in range(kills):
        entry_id = rng.choice(model.entry_ids)
        model.at(rng.uniform(0.0, 18.0), lambda one=entry_id: model.restart(one, 0.7))
    model.run(28.0)
    assert worst_excess(model.admitted_at, rate) <= 1e-6


def test_small_rate_is_not_divided():
    # Divided into shares of less than a token, a rate of two calls a second would grant nothing.
    assert len(share_ids(ORG, Rate(2.0, 2.0))) == 1
    assert len(share_ids(ORG, Rate(0.0, 0.0))) == 1


def _refused_share_of_groups(model, per_second: float) -> float:
    """Send small groups of calls through random entries; return the share refused."""
    model.run(SETTLED_S)
    rng = random.Random(3)
    at = SETTLED_S
    number = 0
    while at < SETTLED_S + 30.0:
        entry = rng.choice(model.entry_ids)
        for _ in range(rng.choice([1, 1, 2, 3, 4])):
            number += 1
            call_id = f"call-{number}"
            model.at(
                at, lambda entry=entry, call_id=call_id: model.offer(entry, call_id, 1.5, True)
            )
        at += 2.2 / per_second * rng.expovariate(1.0)
    model.run(SETTLED_S + 34.0)
    return len(model.refused) / number


@pytest.mark.parametrize("per_second", [6.0, 12.0, 20.0, 40.0])
def test_shares_refuse_a_small_organisation_no_more_than_one_bucket_would(rate_model, per_second):
    """An organisation uses four fifths of a small rate through 25 entries, a few calls at once.
    Divided into shares of two tokens, its rate would be refused to it although most of it is
    unused. At least 99 of 100 calls that one bucket serves must be served.
    """
    rate = Rate(per_second, per_second)
    whole = _refused_share_of_groups(rate_model(rate, 25), per_second * 0.8)
    shared = _refused_share_of_groups(rate_model(rate, 25, shared=True), per_second * 0.8)
    assert shared <= whole + 0.01


def test_no_share_is_named_like_another_organisation():
    # With equal names, two organisations would draw from one bucket.
    names = set(share_ids("shop", RATE)) | set(share_ids("shop/1", RATE))
    assert len(names) == 2 * len(share_ids("shop", RATE))


def test_lowered_burst_removes_the_surplus_shares():
    shares = RateShares(RateLimiter("a", "1", random.Random(1)))
    shares.set_policy(OrganisationPolicy(ORG, ORG, rate=RATE), 0.0)
    shares.set_policy(OrganisationPolicy(ORG, ORG, rate=Rate(1.0, 1.0)), 1.0)
    asked = shares.offer(ORG, "call", Deadline(9.0), True, 1.0)
    assert {request.org_id for request in asked if isinstance(request, TokenRequest)} <= set(
        share_ids(ORG, Rate(1.0, 1.0))
    )


def test_calls_that_do_not_run_cost_their_organisation_nothing(rate_model):
    """A looping program goes on calling after its budget is exhausted, so three of ten calls of its
    organisation are refused. If they kept their tokens, the organisation's other programs would be
    refused within its rate.
    """
    model = rate_model(RATE, 8, shared=True)
    model.run(SETTLED_S)
    model.returned_share = 0.3
    start = len(model.admitted_at)
    offer_evenly(model, RATE.per_second * 1.6, SETTLED_S + 20.0, timeout_s=1.0)
    model.run(SETTLED_S + 20.0)
    ran = len(model.admitted_at) - start
    assert ran >= 0.97 * (RATE.per_second * 20.0)
    assert worst_excess(model.admitted_at, RATE) <= 1e-6
