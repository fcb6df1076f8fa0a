"""Requests that crash the servers that run them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_decisions import BrokenRun, CrashSuspects
from tarragonhall_decisions._crash_suspects import (
    FORGET_S,
    MAX_CRASHES,
    MAX_RUNS,
    MAX_SUSPECTS,
    TRY_AGAIN_S,
)

RUN_S = 0.5


def run(server: str, started_at: float) -> BrokenRun:
    return BrokenRun(server, started_at, started_at + RUN_S)


def crash(suspects: CrashSuspects, fingerprint: str, times: int) -> None:
    """Let a request crash one server each second."""
    for number in range(times):
        suspects.on_broken_run(fingerprint, run(f"s-{number}", number))


def test_a_request_whose_runs_all_break_is_refused_for_a_while():
    # Its caller keeps retrying, and each server that runs it is down for seconds.
    suspects = CrashSuspects()
    for number in range(MAX_CRASHES):
        assert not suspects.is_quarantined("bad", number)
        suspects.on_broken_run("bad", run(f"s-{number}", number))
    assert suspects.is_quarantined("bad", MAX_CRASHES)
    assert not suspects.is_quarantined("other", MAX_CRASHES)
    assert not suspects.is_quarantined("bad", MAX_CRASHES + FORGET_S)


def test_an_answer_clears_the_suspicion():
    # Servers lose answers now and then; a request that met two such losses is not the cause.
    suspects = CrashSuspects()
    crash(suspects, "unlucky", 2)
    assert suspects.on_response("unlucky", 2.0)
    suspects.on_broken_run("unlucky", run("s-2", 2.0))
    assert not suspects.is_quarantined("unlucky", 3.0)
    assert not suspects.on_response("other", 3.0)


def test_old_broken_runs_do_not_count():
    suspects = CrashSuspects()
    for number in range(MAX_CRASHES + 2):
        suspects.on_broken_run("rare", run(f"s-{number}", number * (FORGET_S + 1)))
    assert not suspects.is_quarantined("rare", (MAX_CRASHES + 1) * (FORGET_S + 1))


def test_remembered_suspects_and_their_runs_are_limited():
    suspects = CrashSuspects()
    for number in range(MAX_SUSPECTS + 10):
        suspects.on_broken_run(f"r-{number}", run(f"s-{number}", 0.0))
    assert len(suspects._by_fingerprint) == MAX_SUSPECTS
    assert len(suspects._suspected_by_server) == MAX_SUSPECTS
    crash(suspects, "bad", MAX_RUNS + 5)
    assert len(suspects._by_fingerprint["bad"].run_by_server) == MAX_RUNS
    assert suspects.is_quarantined("bad", MAX_RUNS + 5)


def test_runs_that_one_crash_breaks_are_one_crash():
    # Four calls with one text ran on a server that crashed: later calls with the text were refused.
    suspects = CrashSuspects()
    for number in range(4):
        suspects.on_broken_run("template", BrokenRun("s-1", 0.1 * number, 1.0))
    assert not suspects.is_quarantined("template", 2.0)


def test_servers_that_fail_together_are_one_crash():
    # A rack lost its power with all servers that ran a text; none of them was crashed by it.
    suspects = CrashSuspects()
    for number in range(5):
        suspects.on_broken_run("template", BrokenRun(f"s-{number}", 0.1 * number, 1.0 + number / 9))
    assert not suspects.is_quarantined("template", 2.0)


def test_a_server_that_goes_on_was_not_crashed():
    # Servers break off answers and go on; a request that met three such servers crashed none.
    suspects = CrashSuspects()
    crash(suspects, "unlucky", 3)
    assert suspects.is_quarantined("unlucky", 3.0)
    suspects.on_server_response("s-1", started_at=1.2)
    assert suspects.is_quarantined("unlucky", 3.0)
    suspects.on_server_response("s-1", started_at=2.0)
    assert not suspects.is_quarantined("unlucky", 3.0)


def test_one_call_at_a_time_is_let_through_to_clear_a_suspect():
    # Only an answer could clear it, and no call got through any more that could bring one.
    suspects = CrashSuspects()
    crash(suspects, "unlucky", 3)
    broken_at = 2.0 + RUN_S
    assert suspects.wait_s("unlucky", 3.0) == broken_at + TRY_AGAIN_S - 3.0
    assert suspects.wait_s("unlucky", broken_at + TRY_AGAIN_S) == 0.0
    assert suspects.wait_s("unlucky", broken_at + TRY_AGAIN_S) == TRY_AGAIN_S
    suspects.on_response("unlucky", broken_at + TRY_AGAIN_S + 1)
    assert suspects.wait_s("unlucky", broken_at + TRY_AGAIN_S + 1) == 0.0


RUNS = st.lists(
    st.builds(
        lambda server, start, length: BrokenRun(f"s-{server}", start, start + length),
        st.integers(0, 5),
        st.floats(0, 20),
        st.floats(0.01, 3),
    ),
    max_size=MAX_RUNS,
)


@given(RUNS, st.randoms(use_true_random=False))
def test_late_and_repeated_reports_lead_to_the_same_verdict(runs, rng):
    # Entries tell each other late, twice and after a restart; one of them refused what others took.
    reports = [*runs, *rng.sample(runs, len(runs) // 2)]
    verdicts = set()
    for _ in range(3):
        rng.shuffle(reports)
        suspects = CrashSuspects()
        for one in reports:
            suspects.on_broken_run("r", one)
        verdicts.add(suspects.is_quarantined("r", 25.0))
    assert len(verdicts) == 1


@given(st.integers(1, 4), st.floats(0.01, 2), st.floats(0.001, 1), st.randoms())
def test_a_request_that_crashes_each_server_is_refused_after_three(copies, run_s, pause_s, rng):
    # Its caller sends some copies at once and tries again after each crash, at any entry.
    entries = [CrashSuspects() for _ in range(3)]
    at = 0.0
    for wave in range(MAX_CRASHES):
        assert not any(entry.is_quarantined("bad", at) for entry in entries)
        for copy in range(copies):
            broken = BrokenRun(f"s-{wave}-{copy}", at, at + run_s)
            for entry in entries:
                entry.on_broken_run("bad", broken)
        at += run_s + pause_s
    assert all(entry.is_quarantined("bad", at) for entry in entries)


@given(RUNS)
def test_a_single_moment_of_shared_fate_never_condemns(runs):
    # All runs break at one moment, whatever their number and length.
    suspects = CrashSuspects()
    for one in runs:
        suspects.on_broken_run("r", BrokenRun(one.server, one.started_at, 30.0))
    assert not suspects.is_quarantined("r", 31.0)
