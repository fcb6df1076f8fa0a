"""Quarantine, judged by how many servers a crashing request takes and who is refused."""

from __future__ import annotations

import random

from tarragonhall_decisions import Quarantine


def test_culprit_is_found_and_bystanders_are_cleared():
    """A request crashes its server beside seven others, and all eight are tried again. It must cost
    at most two servers, and none of the innocent callers may be refused.
    """
    quarantine = Quarantine()
    requests = [f"r{number}" for number in range(8)]
    for item in requests:
        quarantine.on_start(item, "s0")
    quarantine.on_crash("s0", 0.0)
    rng = random.Random(3)
    crashed = 1
    running: dict[str, list[str]] = {f"s{n}": [] for n in range(1, 5)}
    waiting = list(requests)
    for step in range(100):
        now = float(step)
        for item in list(waiting):
            if quarantine.refusal(item, now):
                waiting.remove(item)
                continue
            free = [s for s in running if s not in quarantine.servers_to_avoid(item, now)]
            if not free:
                continue
            server = rng.choice(free)
            quarantine.on_start(item, server)
            running[server].append(item)
            waiting.remove(item)
        for server, items in running.items():
            if "r3" in items:
                crashed += 1
                quarantine.on_crash(server, now)
                waiting.extend(items)
            else:
                for item in items:
                    quarantine.on_end(item, server, answered=True)
            items.clear()
    assert crashed == 2
    assert not waiting
    assert [item for item in requests if quarantine.refusal(item, 100.0)] == ["r3"]


def test_single_crash_convicts_nobody():
    """A server dies by itself with calls on board. Their callers must not be locked out for it."""
    quarantine = Quarantine()
    quarantine.on_start("a", "s0")
    quarantine.on_crash("s0", 0.0)
    assert quarantine.refusal("a", 1.0) is None
    assert quarantine.is_suspect("a", 1.0)
    assert not quarantine.is_suspect("a", 1_000.0)


def test_conviction_of_the_journal_holds_here():
    """The caller sends the request again through another entry, which saw none of the crashes."""
    quarantine = Quarantine()
    quarantine.learn("a", 2, 0.0)
    assert quarantine.refusal("a", 1.0) is not None


def test_bystander_of_a_suspect_is_not_suspected():
    """A suspect crashes the next server as well. What ran there for the first time only had bad
    luck; charged with the crash, it would be refused after one more.
    """
    quarantine = Quarantine()
    quarantine.learn("culprit", 1, 0.0)
    quarantine.on_start("culprit", "s0")
    quarantine.on_start("bystander", "s0")
    assert quarantine.on_crash("s0", 1.0) == ["culprit"]
    assert not quarantine.is_suspect("bystander", 1.0)
