"""Load and faults for the rate tests, and the check of what was admitted."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from tarragonhall_model import Rate

# Hypothesis strategies for the bound: the rate, and the faults between the entries.
RATES_AND_FAULTS = {
    "seed": st.integers(0, 2**32),
    "per_second": st.sampled_from([3.0, 20.0, 60.0]),
    "burst": st.sampled_from([1.0, 5.0, 40.0]),
    "loss": st.sampled_from([0.0, 0.05, 0.3]),
    "slow": st.sampled_from([0.0, 0.2, 0.8]),
    "max_delay_s": st.sampled_from([0.01, 0.4, 5.0]),
    "views": st.sampled_from([0.0, 0.3, 0.6]),
}


def worst_excess(admitted_at: list[float], rate: Rate) -> float:
    """Return by how much any window exceeds rate * window + burst, in calls."""
    level = rate.burst
    last = 0.0
    worst = 0.0
    for at in sorted(admitted_at):
        level = min(rate.burst, level + (at - last) * rate.per_second) - 1.0
        last = at
        worst = max(worst, -level)
    return worst


def offer_evenly(model, per_second: float, until: float, timeout_s: float = 20.0) -> int:
    """Send calls at even intervals, each through a random entry; return their number."""
    rng = random.Random(model.seed)
    count = round((until - model.now) * per_second)
    start = model.now
    for number in range(count):
        entry = rng.choice(model.entry_ids)
        call_id = f"call-{start}-{number}"
        model.at(
            start + number / per_second,
            lambda entry=entry, call_id=call_id: model.offer(entry, call_id, timeout_s),
        )
    return count


def inject_faults(model, until: float) -> None:
    """Pause, isolate and replace entries at random."""
    rng = random.Random(model.seed + 1)
    at = model.now
    while at < until:
        at += rng.uniform(0.05, 1.0)
        entry = rng.choice(model.entry_ids)
        chance = rng.random()
        if chance < model.faults.pause:
            length = rng.choice([0.1, 0.6, 1.5, 4.0])
            model.at(at, lambda e=entry, t=at + length: model.paused_until.update({e: t}))
        elif chance < model.faults.pause + model.faults.isolated:
            length = rng.choice([0.5, 2.5, 6.0])
            model.at(at, lambda e=entry: model.isolated.add(e))
            model.at(at + length, lambda e=entry: model.isolated.discard(e))
        elif chance < model.faults.pause + model.faults.isolated + model.faults.views:
            members = [e for e in model.entry_ids if rng.random() < 0.6] or [entry]
            model.at(at, lambda m=members: model.set_entries(m))
            if rng.random() < 0.5:
                # A second change soon after the first: some entries never see the view between.
                again = [e for e in model.entry_ids if rng.random() < 0.6] or [entry]
                model.at(at + rng.uniform(0.0, 2.0), lambda m=again: model.set_entries(m))
