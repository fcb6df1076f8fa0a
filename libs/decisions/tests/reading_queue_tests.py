"""Engines with many places whose queue is of prompts to read, not of places to come free."""

from __future__ import annotations

import collections
import random

from tarragonhall_decisions import BackendChooser, CallNeed, LoadDigest, PromptPart
from tarragonhall_decisions._backend_choice import PREFILL_TOKENS_PER_MS
from tarragonhall_model import BackendRecord, EntryLoad, EntryRecord, LoadElsewhere, ServerSigns

SUBJECT = PromptPart("subject", 2_560)


def chooser(count: int = 4) -> BackendChooser:
    made = BackendChooser("tx-waco", random.Random(3))
    engines = [
        BackendRecord(f"i-{n}", "models", f"a:{n}", "tx-waco", 96, 1, 1) for n in range(count)
    ]
    made.set_servers(engines, 0.0)
    return made


def need(name: str) -> CallNeed:
    return CallNeed("models", (SUBJECT, PromptPart(name, 1_000)))


def start(made: BackendChooser, name: str, now: float = 0.0) -> str:
    wanted = need(name)
    record = made.choose(wanted, now)
    made.started(record.server_id, now)
    made.awaits(record, name, wanted, now)
    return record.server_id


def test_a_burst_on_one_subject_spreads_though_engines_have_places_for_all():
    """Ninety-six places are free, and each new prompt waits for those before it to be read."""
    made = chooser()
    made.answered("i-0", CallNeed("models", (SUBJECT,)))
    counts = collections.Counter(start(made, f"talk-{n}") for n in range(24))
    assert len(counts) == 4
    # Each engine has about as much to read; the one that holds the subject gets more calls for it.
    unread = made.own_signs(0.0).unread_by_server.values()
    assert max(unread) <= 1.4 * min(unread)


def test_what_was_read_is_no_queue_any_more():
    made = chooser(2)
    made.answered("i-0", CallNeed("models", (SUBJECT,)))
    holder = made.servers("models")[0]
    for n in range(8):
        made.awaits(holder, f"talk-{n}", need(f"talk-{n}"), 0.0)
    assert made.choose(need("next"), 0.0).server_id == "i-1"
    for n in range(8):
        made.began("i-0", f"talk-{n}", 0.1)
    assert made.choose(need("next"), 0.0).server_id == "i-0"


def test_what_other_entries_have_to_read_counts_as_long_as_it_takes():
    """Told half a second ago, a queue of a tenth of a second is over by now."""
    made = chooser(2)
    made.answered("i-0", CallNeed("models", (SUBJECT,)))
    long = int(PREFILL_TOKENS_PER_MS * 1_000)
    made.on_entry_load("entry-2", {"i-0": 1}, 0.0, ServerSigns({"i-0": long}))
    assert made.choose(need("next"), 0.1).server_id == "i-1"
    assert made.choose(need("next"), 0.99).server_id == "i-0"
    made.on_load_elsewhere(LoadElsewhere(3, {"i-0": 1}, ServerSigns({"i-0": long})), 1.0)
    assert made.choose(need("next"), 1.1).server_id == "i-1"


def test_collectors_add_up_what_entries_have_to_read():
    entries = [EntryRecord(f"e-{n}", "1", f"a:{n}", f"z-{n % 2}") for n in range(40)]
    digests = {one.entry_id: LoadDigest(one) for one in entries}
    for digest in digests.values():
        digest.on_view(entries)
    collector = next(name for name, one in digests.items() if one.is_collector())
    zone = next(one.availability_zone for one in entries if one.entry_id == collector)
    other = next(
        one.entry_id
        for one in entries
        if one.availability_zone == zone and one.entry_id != collector
    )
    digests[collector].on_entry_load(
        EntryLoad(other, {"s": 1}, ServerSigns({"s": 700}, {"s": 1}, {"s": 4})), 0.0
    )
    elsewhere = digests[collector].elsewhere({"s": 2}, 0.1, ServerSigns({"s": 50}, {"s": 2}))
    assert elsewhere.running_by_server == {"s": 1}
    assert elsewhere.signs == ServerSigns({"s": 700}, {"s": 1}, {"s": 4})
