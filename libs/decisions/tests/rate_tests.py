"""Rate and burst over all entries, judged by when calls are admitted and which are refused."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, example, given, settings
from rate_load import RATES_AND_FAULTS, inject_faults, offer_evenly, worst_excess
from tarragonhall_model import Rate, RefusalCode, rendezvous

ORG = "org-1"
WAIT_OUT_S = 3.5


@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
@given(**RATES_AND_FAULTS)
@example(seed=1, per_second=20.0, burst=5.0, loss=0.3, slow=0.8, max_delay_s=5.0, views=0.6)
def test_no_window_sees_more_than_rate_and_burst(
    rate_model, faults, seed, per_second, burst, loss, slow, max_delay_s, views
):
    """Entries are paused, isolated from control and replaced while messages between them are lost
    or arrive seconds late. If tokens were granted twice, an organisation would exceed its rate and
    take capacity from the others.
    """
    rate = Rate(per_second, burst)
    fault_mix = faults(loss, slow, max_delay_s, pause=0.2, isolated=0.2, views=views)
    model = rate_model(rate, 4, seed, fault_mix)
    offer_evenly(model, per_second * 2 + 4, 18.0, timeout_s=8.0)
    inject_faults(model, 18.0)
    model.run(28.0)
    assert worst_excess(model.admitted_at, rate) <= 1e-6


def test_many_entries_share_few_tokens(rate_model):
    """An organisation of two calls a second sends each call through another one of twenty entries.
    With its rate split by entry, nearly every call would be refused although it keeps to its rate.
    """
    rate = Rate(2.0, 2.0)
    model = rate_model(rate, 20)
    model.run(WAIT_OUT_S + 2)
    sent = offer_evenly(model, 1.9, model.now + 30)
    model.run(model.now + 60)
    assert len(model.admitted_at) == sent
    assert max(model.waits) < 0.6
    assert split_by_entry_admits(model, rate) < 0.6 * sent


def split_by_entry_admits(model, rate: Rate) -> int:
    """Baseline: each entry has its share of rate and burst and refuses at once."""
    share = Rate(rate.per_second / len(model.entry_ids), rate.burst / len(model.entry_ids))
    rng = random.Random(model.seed)
    level_by_entry = dict.fromkeys(model.entry_ids, share.burst)
    seen_by_entry = dict.fromkeys(model.entry_ids, 0.0)
    admitted = 0
    for at in sorted(model.offered_at.values()):
        entry = rng.choice(model.entry_ids)
        grown = (at - seen_by_entry[entry]) * share.per_second
        level_by_entry[entry] = min(max(1.0, share.burst), level_by_entry[entry] + grown)
        seen_by_entry[entry] = at
        if level_by_entry[entry] >= 1.0:
            level_by_entry[entry] -= 1.0
            admitted += 1
    return admitted


def test_whole_burst_is_admitted_at_once(rate_model):
    """An idle organisation sends its whole burst at once; each call is within its rate and must
    neither be refused nor wait noticeably.
    """
    rate = Rate(10.0, 50.0)
    model = rate_model(rate, 5)
    model.run(WAIT_OUT_S + 10)
    offer_evenly(model, 5000.0, model.now + 0.01)
    model.run(model.now + 10)
    assert len(model.admitted_at) == 50
    assert max(model.waits) < 0.1
    assert not model.refused


def test_organisation_at_ten_times_its_rate_gets_its_rate(rate_model):
    """An organisation sends ten times its rate through every entry. It gets its rate and no less;
    the rest is refused at once with a retry time instead of being queued until it times out.
    """
    rate = Rate(20.0, 20.0)
    model = rate_model(rate, 6)
    model.run(WAIT_OUT_S + 5)
    start = model.now
    offer_evenly(model, 200.0, start + 30, timeout_s=60.0)
    model.run(start + 30)
    inside = [at for at in model.admitted_at if at <= start + 30]
    assert len(inside) >= 0.97 * (20.0 * 30 + 20)
    assert worst_excess(model.admitted_at, rate) <= 1e-6
    assert model.refused
    for refused in model.refused:
        assert refused.refusal.code is RefusalCode.RATE_EXCEEDED
        assert refused.refusal.retry_after_ms


def test_owner_dies_and_calls_wait_it_out(rate_model):
    """The entry that owns an organisation's bucket is killed. The organisation's callers wait until
    its last grants have certainly expired, and are then served; none within the rate is refused.
    """
    rate = Rate(10.0, 10.0)
    model = rate_model(rate, 4)
    model.run(WAIT_OUT_S + 5)
    owner = rendezvous(ORG, model.entry_ids)
    model.kill(owner)
    model.entry_ids = [entry for entry in model.entry_ids if entry != owner]
    model.at(model.now + 3.0, lambda: model.set_entries(model.entry_ids))
    offer_evenly(model, 5.0, model.now + 20, timeout_s=60.0)
    model.run(model.now + 40)
    assert not model.refused
    assert len(model.admitted_at) == 100
    assert worst_excess(model.admitted_at, rate) <= 1e-6


def test_leaving_owner_hands_its_bucket_over(rate_model):
    """Entries are restarted one after the other. A caller within its rate notices nothing: the
    owner that leaves sends the next one the number of tokens left.
    """
    rate = Rate(10.0, 10.0)
    model = rate_model(rate, 4)
    model.run(WAIT_OUT_S + 5)
    owner = rendezvous(ORG, model.entry_ids)
    staying = [entry for entry in model.entry_ids if entry != owner]
    model.at(model.now + 1.0, lambda: model.set_entries(staying))
    model.entry_ids = staying
    offer_evenly(model, 9.0, model.now + 10)
    model.run(model.now + 20)
    assert not model.refused
    assert len(model.admitted_at) == 90
    assert max(model.waits) < 0.2


def test_started_programs_come_first(rate_model):
    """An organisation over its rate has started programs and starts more. In order of arrival,
    every program would wait at every turn and hardly any would finish.
    """
    rate = Rate(5.0, 1.0)
    model = rate_model(rate, 1)
    model.run(WAIT_OUT_S + 5)
    for number in range(20):
        model.offer("entry-0", f"new-{number}", 60.0)
    model.offer("entry-0", "under-way", 60.0, started=True)
    offered = model.now
    model.run(model.now + 10)
    wait = model.waits[1]
    assert wait <= 0.41
    assert offered + wait == model.admitted_at[1]
