"""Entries that are killed and restart at their address: which may grant, and from when on."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from rate_load import inject_faults, offer_evenly, worst_excess
from tarragonhall_decisions import OWNERSHIP_S
from tarragonhall_model import Rate, rendezvous

ORG = "org-1"
RATE = Rate(20.0, 10.0)
# By then all entries have joined, and control has confirmed that every previous owner was waited
# out.
SETTLED_S = 6.0
# Time between a kill and the restart, and the lifetime of a slice that the old process granted.
RESTART_S = 0.7
SLICE_S = 0.5


def _longest_gap(admitted_at, since):
    times = [since, *sorted(at for at in admitted_at if at >= since)]
    return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))


def test_restarted_owner_grants_at_once(rate_model):
    """The entry that owns an organisation's rate is killed and restarts within a second.

    Meanwhile every call of the organisation, through any entry, waits for a token. If the new
    process waited for the lease of the old one, calls with a timeout of one second would be
    refused.
    """
    model = rate_model(RATE, 4)
    model.run(SETTLED_S)
    offer_evenly(model, 15.0, SETTLED_S + 8.0)
    killed_at = SETTLED_S + 2.0
    owner = rendezvous(ORG, model.entry_ids)
    model.at(killed_at, lambda: model.restart(owner, RESTART_S))
    model.run(SETTLED_S + 12.0)
    assert _longest_gap(model.admitted_at, killed_at) < RESTART_S + SLICE_S + 0.1
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


def test_restarted_entries_grant_at_once(rate_model):
    """Every entry is killed. Once all have restarted, no process is left that could spend an old
    token.
    """
    model = rate_model(RATE, 4)
    model.run(SETTLED_S)
    offer_evenly(model, 15.0, SETTLED_S + 8.0)
    killed_at = SETTLED_S + 2.0
    for number, entry_id in enumerate(model.entry_ids):
        down_s = RESTART_S + 0.1 * number
        model.at(killed_at, lambda i=entry_id, s=down_s: model.restart(i, s))
    model.run(SETTLED_S + 12.0)
    assert _longest_gap(model.admitted_at, killed_at) < RESTART_S + 0.3 + SLICE_S + 0.1
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


def test_next_owner_does_not_wait_for_one_that_was_unresponsive_long_enough(rate_model):
    """The entry that owns an organisation's rate loses power. It is removed as unresponsive, and by
    then it can no longer grant: waiting for another lease would refuse calls needlessly.
    """
    model = rate_model(RATE, 4)
    model.run(SETTLED_S)
    offer_evenly(model, 15.0, SETTLED_S + 10.0)
    killed_at = SETTLED_S + 2.0
    owner = rendezvous(ORG, model.entry_ids)
    model.at(killed_at, lambda: model.kill(owner))
    model.run(SETTLED_S + 14.0)
    assert _longest_gap(model.admitted_at, killed_at) < OWNERSHIP_S + SLICE_S + 0.3
    assert worst_excess(model.admitted_at, RATE) <= 1e-6


@given(
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.05, 0.3]),
    slow=st.sampled_from([0.0, 0.2]),
    views=st.sampled_from([0.0, 0.3]),
    down_s=st.sampled_from([0.0, 0.1, 0.6, 2.0]),
    mean_interval_s=st.sampled_from([0.3, 1.0, 3.0]),
)
# A removed owner learned of its removal only together with the next incarnation of its successor.
@example(seed=33118367, loss=0.0, slow=0.0, views=0.0, down_s=0.0, mean_interval_s=1.0)
@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_restarts_create_no_tokens(
    rate_model, faults, seed, loss, slow, views, down_s, mean_interval_s
):
    """Entries are killed and restarted repeatedly while others are paused, isolated, removed and
    added. A new process that took over too soon would grant the old one's tokens again, and the
    organisation would take capacity from others.
    """
    fault_mix = faults(loss, slow, 0.4, pause=0.2, isolated=0.2, views=views)
    model = rate_model(RATE, 4, seed, fault_mix)
    offer_evenly(model, 60.0, 18.0, timeout_s=8.0)
    inject_faults(model, 18.0)
    rng = random.Random(seed)
    at = 0.0
    while at < 18.0:
        at += rng.expovariate(1 / mean_interval_s)
        entry_id = rng.choice(model.entry_ids)
        model.at(at, lambda i=entry_id: model.restart(i, down_s))
    model.run(28.0)
    assert worst_excess(model.admitted_at, RATE) <= 1e-6
