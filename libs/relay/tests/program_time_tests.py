"""What an entry tells of programs that are late."""

from __future__ import annotations

import pytest
from relay_doubles import answers
from structlog.testing import capture_logs


@pytest.mark.parametrize(("left", "late"), [("60000", "no"), ("0", "yes")])
def test_log_and_metrics_tell_whether_a_program_is_late(relay, left, late):
    # Failure: servers work for programs that are late, and no log or metric shows it.
    relay.backend(answers())
    with capture_logs() as lines:
        assert relay.call("/buy/", left=left)[0] == 200
    (end,) = [line for line in lines if line["event"] == "call.end"]
    assert not end["starts_program"]
    assert (end["program_left_ms"] < 0.0) == (late == "yes")
    text = relay.state.metrics.exposition.text()
    assert f'relay_program_calls_total{{late="{late}",status="200"}} 1' in text


def test_calls_without_a_time_of_their_program_are_not_counted(relay):
    # Failure: plain calls count as those of programs in time.
    relay.backend(answers())
    with capture_logs() as lines:
        relay.call("/buy/")
    (end,) = [line for line in lines if line["event"] == "call.end"]
    assert end["program_left_ms"] is None
    assert "program_calls" not in relay.state.metrics.exposition.text()
