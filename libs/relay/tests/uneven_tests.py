"""Calls to services whose servers differ in speed: what is learnt and told, and the channels."""

from __future__ import annotations

import pytest
from relay_doubles import Relay, answers, event, stream
from tarragonhall_model import LoadDetail, RelayConfig, RelayDocument, Service


@pytest.fixture
def relay():
    one = Relay()
    yield one
    one.stop()


def stream_of(count: int):
    """Return a script that streams some events."""

    def script(_backend, received):
        received.connection.sendall(stream(received, *(event(n) for n in range(count))))

    return script


def told(relay: Relay) -> LoadDetail:
    detail = LoadDetail()
    for reporter in relay.state.load_reporters + relay.state.uneven_reporters:
        reporter.report_load(detail, relay.context.monotonic())
    return detail


def test_streams_of_uneven_services_teach_the_pace(relay):
    relay.state.chooser.uneven.paces.set_services({"desk"})
    backend = relay.backend(stream_of(6))
    assert relay.call("/tell/x")[0] == 200
    # The time to the first event and the time between events.
    assert told(relay).pace_sum_by_server[backend.server_id] == pytest.approx(2.0, abs=0.1)


def test_plain_calls_of_uneven_services_teach_the_pace(relay):
    relay.state.chooser.uneven.paces.set_services({"desk"})
    backend = relay.backend(answers())
    for n in range(12):
        assert relay.call("/buy/x", f"a-{n}")[0] == 200
    assert told(relay).pace_sum_by_server[backend.server_id] > 1.0


def test_nothing_is_learnt_or_told_for_even_services(relay):
    relay.backend(stream_of(6))
    assert relay.call("/tell/x")[0] == 200
    assert told(relay) == LoadDetail()


def test_a_stream_that_breaks_off_teaches_no_time_between_events(relay):
    # A server that crashes in the middle of its events is no fast server.
    relay.state.chooser.uneven.paces.set_services({"desk"})

    def script(_backend, received):
        events = (event(n) for n in range(6))
        received.connection.sendall(stream(received, *events, end=False))
        return "close"

    backend = relay.backend(script)
    relay.call("/tell/x")
    assert told(relay).pace_sum_by_server[backend.server_id] == pytest.approx(1.0, abs=0.1)


def test_channels_are_reused_between_programs_and_counted(relay):
    backend = relay.backend(answers())
    for n in range(5):
        assert relay.call("/buy/x", f"a-{n}", program=f"p-{n}")[0] == 200
    assert backend.connections == 1
    assert relay.state.metrics.counts["relay.channels_opened"] == 1


def test_the_relay_document_says_which_services_are_uneven(relay):
    services = (Service("desk", uneven=True), Service("shop"))
    relay.state.dialect.read_config = lambda document: RelayConfig(document.version, (), services)
    follower = relay.role._follower
    assert follower.apply_relay(RelayDocument(7, b""))
    assert relay.state.chooser.uneven.paces.services == {"desk"}
    services = (Service("desk"), Service("shop"))
    assert follower.apply_relay(RelayDocument(8, b""))
    assert not relay.state.chooser.uneven.paces.services


def test_an_entry_that_is_nearly_full_is_not_ready_and_serves_on(relay):
    # A caller that still connects must not be lost.
    relay.backend(answers())
    relay.state.chooser.uneven.paces.set_services({"desk"})
    assert relay.role.ready()
    relay.role._room.room.is_paused = True
    assert not relay.role.ready()
    assert relay.call("/buy/x")[0] == 200


def test_entries_of_even_services_do_not_pause(relay):
    # A new document may say that services are no longer uneven while the entry is paused.
    relay.backend(answers())
    relay.role._room.room.is_paused = True
    assert relay.role.ready()
    told(relay)
    assert not relay.role._room.room.is_paused
