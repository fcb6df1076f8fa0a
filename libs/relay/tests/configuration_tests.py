"""Which version of the relay document decides about a call, and how old it may be."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/none/1", "key-1", 404), ("/look/1", "other", 401)]
)
def test_a_refusal_tells_the_version_it_was_decided_by_and_its_age(relay, path, key, status):
    # Guards against refusals of which nobody can tell afterwards whether they were out of date.
    relay.state.config_age_s = lambda: 1.25
    with capture_logs() as lines:
        assert relay.call(path, attempt="a-7", key=key)[0] == status
    (end,) = [line for line in lines if line["event"] == "call.end"]
    assert (end["id"], end["status"]) == ("a-7", status)
    assert (end["config_version"], end["config_age_ms"]) == (1, 1250.0)
