"""Sharing one leadership confirmation among many heartbeats."""

from __future__ import annotations

import eventlet
from tarragonhall_control._confirmation import BATCH_SECONDS, SharedConfirmation


def test_concurrent_heartbeats_share_one_round():
    rounds = []
    shared = SharedConfirmation(lambda: rounds.append(1) or True)
    waiting = [eventlet.spawn(shared.join) for _ in range(80)]
    assert all(one.wait() for one in waiting)
    assert len(rounds) == 1


def test_caller_during_a_round_waits_for_the_next_one():
    # Otherwise a leader partitioned before the request came could report its settings as fresh.
    answers = [True, False]

    def confirm() -> bool:
        answer = answers.pop(0)
        eventlet.sleep(0.05)
        return answer

    shared = SharedConfirmation(confirm)
    first = eventlet.spawn(shared.join)
    eventlet.sleep(BATCH_SECONDS + 0.02)
    second = eventlet.spawn(shared.join)
    assert (first.wait(), second.wait()) == (True, False)


def test_failed_round_releases_all_callers():
    # Otherwise heartbeats would hang after an error in the log.
    def confirm() -> bool:
        raise ValueError("broken")

    assert SharedConfirmation(confirm).join() is False
