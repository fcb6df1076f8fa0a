"""One confirmation of the lead for many heartbeats."""

from __future__ import annotations

import eventlet
from tarragonhall_control._confirmation import BATCH_SECONDS, SharedConfirmation


def test_heartbeats_of_a_moment_share_one_round():
    rounds = []
    shared = SharedConfirmation(lambda: rounds.append(1) or True)
    waiting = [eventlet.spawn(shared.join) for _ in range(80)]
    assert all(one.wait() for one in waiting)
    assert len(rounds) == 1


def test_whoever_comes_while_a_round_is_under_way_waits_for_the_next_one():
    # Guards against settings called fresh by a leader that was cut off before the question came.
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


def test_a_round_that_fails_lets_nobody_wait_for_ever():
    # Guards against heartbeats that hang after an error in the log.
    def confirm() -> bool:
        raise ValueError("broken")

    assert SharedConfirmation(confirm).join() is False
