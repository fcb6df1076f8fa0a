"""Calls that one entry sends to a server that refuses, and how soon it finds free slots again."""

from __future__ import annotations

from tarragonhall_decisions._server_window import ServerWindow


def test_a_server_that_never_refused_has_no_limit():
    assert ServerWindow().has_room(1_000, 0.0)


def test_a_full_server_gets_a_call_when_one_has_ended():
    # The engine refused the fifth call. If refused calls went to the next server and back at once,
    # each would cost both sides a refusal; instead, the next one is sent when one of the four ends.
    window = ServerWindow()
    window.refused(4, 0.0)
    assert not window.has_room(4, 0.001)
    assert window.has_room(3, 0.001)


def test_a_server_that_has_room_again_is_used_in_full_within_seconds():
    # The burst is over. With a fixed window, this entry would leave slots idle.
    window = ServerWindow()
    window.refused(1, 0.0)
    assert window.has_room(11, 2.0)


def test_an_entry_without_calls_there_retries_less_often_with_each_refusal():
    # Other entries use all slots. A waiting call must not try again every few milliseconds.
    window = ServerWindow()
    now = 0.0
    refusals = 0
    while now < 5.0:
        if window.has_room(0, now):
            window.refused(0, now)
            refusals += 1
        now += 0.01
    assert 3 <= refusals <= 15


def test_an_answer_ends_the_pauses():
    # Slots do come free: the next call need not wait out a pause that earlier refusals caused.
    window = ServerWindow()
    for _ in range(4):
        window.refused(0, 0.0)
    window.answered()
    assert window.has_room(0, 0.0)
