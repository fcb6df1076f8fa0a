"""Decisions on streams without their end: wait, ask the same server, move or end."""

from __future__ import annotations

from dataclasses import replace

import pytest
from tarragonhall_decisions import (
    BrokenStream,
    NextStep,
    after_break,
    first_event_silence,
    gap_silence,
)

# The first server broke the stream; the route allows one server for a call.
BROKEN = BrokenStream(
    runs=1,
    servers=1,
    max_servers=1,
    server_gone=False,
    resumable=True,
    suspect=False,
    left_s=2.0,
)


@pytest.mark.parametrize(
    ("changes", "step"),
    [
        # Load: servers that reset connections and live on, on routes that allow one server.
        ({}, NextStep.SAME_SERVER),
        # Load: servers that crash or lose their power under streams.
        ({"servers": 0, "server_gone": True}, NextStep.MOVE),
        # Load: the same on routes that allow two servers, whether the first one lives or not.
        ({"max_servers": 2}, NextStep.MOVE),
        ({"max_servers": 2, "servers": 1, "server_gone": True}, NextStep.MOVE),
        # Load: servers that accept connections and close them, since their program is down.
        ({"runs": 2}, NextStep.CHECK_SERVER),
        ({"runs": 2, "max_servers": 2, "servers": 2}, NextStep.CHECK_SERVER),
        # Load: a request that crashes each server that runs it.
        ({"servers": 0, "server_gone": True, "suspect": True}, NextStep.END),
        # Load: servers that crash when their callers have no time left.
        ({"servers": 0, "server_gone": True, "left_s": 0.05}, NextStep.END),
        # Load: servers that crash under streams whose events have no ids.
        ({"servers": 0, "server_gone": True, "resumable": False}, NextStep.END),
    ],
)
def test_step_after_a_break(changes, step):
    assert after_break(replace(BROKEN, **changes)) is step


def test_silent_server_that_may_not_be_left_is_only_checked():
    # Load: servers slow for moments, on routes that allow one server for a call.
    limits = gap_silence(300, may_move=False, restart_s=0.1)
    assert (limits.check_after_s, limits.move_after_s) == (0.6, None)


def test_stream_leaves_a_reachable_server_only_after_a_long_silence():
    # Load: servers slow for moments of 0.6 s; reading a prompt again takes 0.1 s, or 2 s where the
    # engines are full.
    assert gap_silence(300, may_move=True, restart_s=0.1).move_after_s == pytest.approx(1.2)
    assert gap_silence(300, may_move=True, restart_s=2.0).move_after_s == pytest.approx(4.0)


def test_call_in_the_queue_of_its_server_stays_there():
    # Load: engines so full that calls wait for longer than their objective before they start.
    limits = first_event_silence(200)
    assert (limits.check_after_s, limits.move_after_s) == (0.4, None)


def test_routes_without_objectives_have_limits():
    assert first_event_silence(0).check_after_s == 2.0
    assert gap_silence(0, may_move=False, restart_s=0.0).check_after_s == 2.0
