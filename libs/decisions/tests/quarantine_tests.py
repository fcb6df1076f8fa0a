"""Quarantine, judged by how many servers a crashing request takes and which callers are refused."""

from __future__ import annotations

import random

from tarragonhall_decisions import Quarantine


def test_crashing_request_is_identified_and_others_are_cleared():
    """A request crashes its server beside seven others, and all eight are retried. It must cost at
    most two servers, and none of the other callers may be refused.
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


def test_single_crash_refuses_no_request():
    """A server crashes on its own; the callers of its running calls must not be refused."""
    quarantine = Quarantine()
    quarantine.on_start("a", "s0")
    quarantine.on_crash("s0", 0.0)
    assert quarantine.refusal("a", 1.0) is None
    assert quarantine.is_suspect("a", 1.0)
    assert not quarantine.is_suspect("a", 1_000.0)


def test_crash_counts_of_the_journal_refuse_a_request():
    """The caller sends the request again through another entry, which saw none of the crashes."""
    quarantine = Quarantine()
    quarantine.merge_crashes("a", 2, 0.0)
    assert quarantine.refusal("a", 1.0) is not None


def test_request_running_beside_a_suspect_is_not_suspected():
    """A suspect crashes the next server as well. A request that ran there for the first time is not
    the cause; if the crash counted against it, it would be refused after one more.
    """
    quarantine = Quarantine()
    quarantine.merge_crashes("culprit", 1, 0.0)
    quarantine.on_start("culprit", "s0")
    quarantine.on_start("bystander", "s0")
    assert quarantine.on_crash("s0", 1.0) == ["culprit"]
    assert not quarantine.is_suspect("bystander", 1.0)
