"""Entries that are killed and come back at their old address: who may grant, and from when on."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from rate_load import offer_evenly, stir, worst_excess
from tarragonhall_decisions import OWNERSHIP_S
from tarragonhall_model import Rate, rendezvous

ORG = "org-1"
RATE = Rate(20.0, 10.0)
# All entries joined and every earlier owner was waited out, told to control and told back.
CALM_S = 6.0
# What a start takes after a kill, and until the next slice that the old process granted has ended.
DOWN_S = 0.7
SLICE_S = 0.5


def _longest_gap(admitted_at, since):
    times = [since, *sorted(at for at in admitted_at if at >= since)]
    return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))


def test_an_owner_that_comes_back_at_its_address_grants_at_once(rate_model):
    """The entry that owns an organisation's rate is killed and is back within a second.

    Every call of the organisation, through whichever entry, waits for a token meanwhile. Were the
    new process to wait for the lease of the old one, calls that last a second would be refused.
    """
    model = rate_model(RATE, 4)
    model.run(CALM_S)
    offer_evenly(model, 15.0, CALM_S + 8.0)
    killed_at = CALM_S + 2.0
    owner = rendezvous(ORG, model.entry_ids)
    model.at(killed_at, lambda: model.restart(owner, DOWN_S))
    model.run(CALM_S + 12.0)
    assert _longest_gap(model.admitted_at, killed_at) < DOWN_S + SLICE_S + 0.1
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


def test_all_entries_that_come_back_grant_at_once(rate_model):
    """Every entry is killed. Once all are back nobody is left who could spend an old token."""
    model = rate_model(RATE, 4)
    model.run(CALM_S)
    offer_evenly(model, 15.0, CALM_S + 8.0)
    killed_at = CALM_S + 2.0
    for number, entry_id in enumerate(model.entry_ids):
        down_s = DOWN_S + 0.1 * number
        model.at(killed_at, lambda i=entry_id, s=down_s: model.restart(i, s))
    model.run(CALM_S + 12.0)
    assert _longest_gap(model.admitted_at, killed_at) < DOWN_S + 0.3 + SLICE_S + 0.1
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


def test_the_next_owner_need_not_wait_for_one_that_was_silent_long_enough(rate_model):
    """The entry that owns an organisation's rate loses its power. It is taken out for its silence,
    and by then it cannot grant any more: another lease of waiting would refuse calls for nothing.
    """
    model = rate_model(RATE, 4)
    model.run(CALM_S)
    offer_evenly(model, 15.0, CALM_S + 10.0)
    killed_at = CALM_S + 2.0
    owner = rendezvous(ORG, model.entry_ids)
    model.at(killed_at, lambda: model.kill(owner))
    model.run(CALM_S + 14.0)
    assert _longest_gap(model.admitted_at, killed_at) < OWNERSHIP_S + SLICE_S + 0.3
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


@given(
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.05, 0.3]),
    slow=st.sampled_from([0.0, 0.2]),
    views=st.sampled_from([0.0, 0.3]),
    down_s=st.sampled_from([0.0, 0.1, 0.6, 2.0]),
    often=st.sampled_from([0.3, 1.0, 3.0]),
)
# An owner that was taken out heard of it only with the next life of its successor.
@example(seed=33118367, loss=0.0, slow=0.0, views=0.0, down_s=0.0, often=1.0)
@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_restarts_create_no_tokens(rate_model, faults, seed, loss, slow, views, down_s, often):
    """Entries are killed and come back again and again while others are paused, cut off, taken out
    and put back. A new process that took over too soon would grant what the old one had granted,
    and the organisation would crowd out others.
    """
    bad = faults(loss, slow, 0.4, pause=0.2, cut=0.2, views=views)
    model = rate_model(RATE, 4, seed, bad)
    offer_evenly(model, 60.0, 18.0, timeout_s=8.0)
    stir(model, 18.0)
    rng = random.Random(seed)
    at = 0.0
    while at < 18.0:
        at += rng.expovariate(1 / often)
        entry_id = rng.choice(model.entry_ids)
        model.at(at, lambda i=entry_id: model.restart(i, down_s))
    model.run(28.0)
    assert worst_excess(model.admitted_at, RATE) <= 1e-6
