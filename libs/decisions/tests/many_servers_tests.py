"""Thousands of backend servers: comparing all of them for each choice costs more than the call."""

from __future__ import annotations

import collections
import random

from tarragonhall_decisions import BackendChooser, CallRequirements, PromptPart
from tarragonhall_decisions._known_servers import MAX_CANDIDATES
from tarragonhall_model import BackendRecord

ZONES = ("tx-austin", "tx-waco", "tx-temple")
SUBJECT = PromptPart("subject", 2_560)


def make_chooser(count: int, seed: int = 1) -> BackendChooser:
    chooser = BackendChooser("tx-waco", random.Random(seed))
    records = [
        BackendRecord(f"i-{n}", "models", f"a:{n}", ZONES[n % 3], 16, 1, 1) for n in range(count)
    ]
    chooser.set_servers(records, 0.0)
    return chooser


def test_a_choice_among_thousands_compares_a_few_dozen(monkeypatch):
    compared = []
    original = BackendChooser._cost_ms

    def counted(self, record, *rest):
        compared.append(record.server_id)
        return original(self, record, *rest)

    monkeypatch.setattr(BackendChooser, "_cost_ms", counted)
    chooser = make_chooser(3_000)
    for n in range(20):
        assert chooser.choose(
            CallRequirements("models", (SUBJECT, PromptPart(f"own-{n}", 500))), 0.0
        )
    assert len(compared) <= 20 * (MAX_CANDIDATES + 10)


def test_a_conversation_stays_with_its_engine_among_thousands():
    """If the engine that holds a history is not compared, another one reads the history again."""
    chooser = make_chooser(3_000)
    talk = PromptPart("talk", 4_000)
    for n in range(30):
        requirements = CallRequirements(
            "models", (SUBJECT, talk, PromptPart(f"new-{n}", 200)), last_server="i-7"
        )
        assert chooser.choose(requirements, 0.0).server_id == "i-7"
    chooser.answered("i-1234", CallRequirements("models", (SUBJECT, talk)))
    requirements = CallRequirements("models", (SUBJECT, talk, PromptPart("next", 200)))
    assert chooser.choose(requirements, 0.0).server_id == "i-1234"


def test_a_burst_spreads_over_many_servers_and_none_is_filled():
    chooser = make_chooser(600)
    counts = collections.Counter()
    for n in range(600):
        record = chooser.choose(CallRequirements("models", (PromptPart(f"own-{n}", 500),)), 0.0)
        chooser.started(record.server_id, 0.0)
        counts[record.server_id] += 1
    assert max(counts.values()) <= 6
    assert len(counts) > 150


def test_evacuated_servers_are_not_chosen_as_prompt_holders():
    """Prompt holders are remembered for longer than the servers get calls."""
    chooser = make_chooser(300)
    chooser.answered("i-1", CallRequirements("models", (SUBJECT,)))
    chooser.set_evacuated(["tx-waco"], 0.0)
    for n in range(50):
        requirements = CallRequirements(
            "models", (SUBJECT, PromptPart(f"own-{n}", 500)), last_server="i-4"
        )
        assert chooser.choose(requirements, 0.0).availability_zone != "tx-waco"
