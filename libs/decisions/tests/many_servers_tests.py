"""Thousands of backend servers: a choice that looks at each of them costs more than the call."""

from __future__ import annotations

import collections
import random

from tarragonhall_decisions import BackendChooser, CallNeed, PromptPart
from tarragonhall_decisions import _backend_choice as choice
from tarragonhall_model import BackendRecord

ZONES = ("tx-austin", "tx-waco", "tx-temple")
SUBJECT = PromptPart("subject", 2_560)


def chooser(count: int, seed: int = 1) -> BackendChooser:
    made = BackendChooser("tx-waco", random.Random(seed))
    records = [
        BackendRecord(f"i-{n}", "models", f"a:{n}", ZONES[n % 3], 16, 1, 1) for n in range(count)
    ]
    made.set_servers(records, 0.0)
    return made


def test_a_choice_among_thousands_looks_at_a_few_dozen(monkeypatch):
    looks = []
    plain = BackendChooser._cost_ms

    def counted(self, record, *rest):
        looks.append(record.server_id)
        return plain(self, record, *rest)

    monkeypatch.setattr(BackendChooser, "_cost_ms", counted)
    made = chooser(3_000)
    for n in range(20):
        assert made.choose(CallNeed("models", (SUBJECT, PromptPart(f"own-{n}", 500))), 0.0)
    assert len(looks) <= 20 * (choice.MOST_LOOKED_AT + 10)


def test_a_conversation_stays_with_its_engine_among_thousands():
    """Not looked at, the engine that holds a history would lose it to one that reads it again."""
    made = chooser(3_000)
    talk = PromptPart("talk", 4_000)
    for n in range(30):
        need = CallNeed("models", (SUBJECT, talk, PromptPart(f"new-{n}", 200)), last_server="i-7")
        assert made.choose(need, 0.0).server_id == "i-7"
    made.answered("i-1234", CallNeed("models", (SUBJECT, talk)))
    need = CallNeed("models", (SUBJECT, talk, PromptPart("next", 200)))
    assert made.choose(need, 0.0).server_id == "i-1234"


def test_a_burst_spreads_over_many_servers_and_none_is_filled():
    made = chooser(600)
    counts = collections.Counter()
    for n in range(600):
        record = made.choose(CallNeed("models", (PromptPart(f"own-{n}", 500),)), 0.0)
        made.started(record.server_id, 0.0)
        counts[record.server_id] += 1
    assert max(counts.values()) <= 6
    assert len(counts) > 150


def test_servers_that_leave_or_are_evacuated_are_not_looked_at_either():
    """What a prompt was read on is remembered longer than the server gets calls."""
    made = chooser(300)
    made.answered("i-1", CallNeed("models", (SUBJECT,)))
    made.set_evacuated(["tx-waco"], 0.0)
    for n in range(50):
        need = CallNeed("models", (SUBJECT, PromptPart(f"own-{n}", 500)), last_server="i-4")
        assert made.choose(need, 0.0).availability_zone != "tx-waco"
