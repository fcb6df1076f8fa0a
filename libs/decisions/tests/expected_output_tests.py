"""The expected output of calls: what is learnt, and what callers state."""

from __future__ import annotations

from tarragonhall_decisions import ExpectedOutput
from tarragonhall_decisions._expected_output import MAX_KINDS


def test_before_any_answer_the_statements_of_the_caller_count():
    output = ExpectedOutput()
    assert output.tokens("talk", 400, None) == 400
    assert output.tokens("talk", 400, 60) == 60
    assert output.tokens("talk", 0, None) == 0


def test_the_middle_of_mean_and_estimate_limits_the_error_of_both():
    # Callers' estimates are often far off: a hundred times the usual output would keep memory free.
    output = ExpectedOutput()
    for tokens in (30, 50):
        output.record("talk", tokens)
    assert output.tokens("talk", 0, None) == 40
    assert output.tokens("talk", 0, 60) == 50
    assert output.tokens("talk", 100, 4_000) == 100


def test_a_change_of_the_output_is_followed():
    # A new version of a program writes five times as much.
    output = ExpectedOutput()
    for _ in range(100):
        output.record("talk", 20)
    for _ in range(60):
        output.record("talk", 100)
    assert 90 < output.tokens("talk", 0, None) <= 100


def test_the_number_of_kinds_is_bounded():
    # Each new document may name other routes.
    output = ExpectedOutput()
    for n in range(MAX_KINDS + 10):
        output.record(f"talk-{n}", 20)
    assert len(output._mean_by_kind) <= MAX_KINDS
