"""Which version of the relay document decides about a call, and how old it may be."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs
from tarragonhall_model import Fresh, RelayConfig, RelayDocument


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


class UnreadableError(Exception):
    """What a reader of relay documents raises for one that it does not understand."""


def config(version: int) -> RelayConfig:
    return RelayConfig(version, (), ())


def test_a_version_that_cannot_be_read_is_not_held(relay, monkeypatch):
    # Guards against an entry that reports a version, and is never sent it again, while it goes on
    # with the table of the version before.
    follower = relay.role._follower
    monkeypatch.setattr(relay.state.dialect, "read_config", lambda one: config(one.version), False)
    assert follower.apply_relay(RelayDocument(2, b""))

    def fail(_document):
        raise UnreadableError("a field of a later release")

    monkeypatch.setattr(relay.state.dialect, "read_config", fail, False)
    assert not follower.apply_relay(RelayDocument(3, b""))
    assert (follower.relay_version, relay.state.table.config.version) == (2, 2)
    monkeypatch.setattr(relay.state.dialect, "read_config", lambda one: config(one.version), False)
    assert follower.apply_relay(RelayDocument(3, b""))
    assert (follower.relay_version, relay.state.table.config.version) == (3, 3)


def test_a_version_that_is_not_in_force_is_not_confirmed(relay):
    # Guards against a confirmation of settings and view that passes for one of the relay document.
    follower = relay.role._follower
    now = relay.state.monotonic()
    follower.confirm(Fresh(0, 0, 1, relay_version=4), now)
    assert not follower.is_fresh(now)
