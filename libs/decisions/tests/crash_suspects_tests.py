"""Requests that crash the servers that run them."""

from __future__ import annotations

from tarragonhall_decisions import CrashSuspects
from tarragonhall_decisions._crash_suspects import FORGET_S, MAX_BROKEN_RUNS, MAX_SUSPECTS


def test_a_request_whose_runs_all_break_is_refused_for_a_while():
    # Its caller keeps retrying, and each server that runs it is down for seconds.
    suspects = CrashSuspects()
    for number in range(MAX_BROKEN_RUNS):
        assert not suspects.is_quarantined("bad", number)
        suspects.on_broken_run("bad", number)
    assert suspects.is_quarantined("bad", MAX_BROKEN_RUNS)
    assert not suspects.is_quarantined("other", MAX_BROKEN_RUNS)
    assert not suspects.is_quarantined("bad", MAX_BROKEN_RUNS + FORGET_S)


def test_an_answer_clears_the_suspicion():
    # Servers lose answers now and then; a request that met two such losses is not the cause.
    suspects = CrashSuspects()
    suspects.on_broken_run("unlucky", 0.0)
    suspects.on_broken_run("unlucky", 1.0)
    suspects.on_response("unlucky")
    suspects.on_broken_run("unlucky", 2.0)
    assert not suspects.is_quarantined("unlucky", 2.0)


def test_old_broken_runs_do_not_count():
    suspects = CrashSuspects()
    for number in range(MAX_BROKEN_RUNS + 2):
        suspects.on_broken_run("rare", number * (FORGET_S + 1))
    assert not suspects.is_quarantined("rare", (MAX_BROKEN_RUNS + 1) * (FORGET_S + 1))


def test_remembered_suspects_are_limited():
    suspects = CrashSuspects()
    for number in range(MAX_SUSPECTS + 10):
        suspects.on_broken_run(f"r-{number}", 0.0)
    assert len(suspects._by_fingerprint) == MAX_SUSPECTS
