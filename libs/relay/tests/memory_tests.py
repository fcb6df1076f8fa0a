"""Calls whose engines have a limit of memory: they wait for it, free it, or are too large."""

from __future__ import annotations

import eventlet
import pytest
from relay_doubles import Relay, answer, answers, event, request, stream, wait_until
from slots_tests import SlowBackend
from tarragonhall_decisions import Features
from tarragonhall_model import EngineProfile, LoadDetail, RelayConfig, RelayDocument, Service
from tarragonhall_relay._call_memory import EngineMemoryReport

MEMORY = 10_000


@pytest.fixture
def limited(relay):
    """Return a relay whose engines hold `MEMORY` tokens."""
    relay.state.chooser.memory.set_limits({"desk": MEMORY})
    return relay


def start_calls(relay, count: int, prompt: int):
    return [
        eventlet.spawn(relay.call, "/buy/", attempt=f"a-{n}", prompt=prompt) for n in range(count)
    ]


def test_calls_wait_for_memory_and_are_served_as_it_becomes_free(limited):
    # Three calls arrive for an engine with six slots and memory for two. Sent at once, the engine
    # would preempt one of them.
    slow = SlowBackend()
    backend = limited.backend(slow)
    calls = start_calls(limited, 3, 4_000)
    wait_until(lambda: len(slow.held) == 2 and limited.state.slots.waiting() == 1)
    slow.respond(1)
    wait_until(lambda: len(backend.received) == 3)
    slow.respond()
    assert [one.wait()[0] for one in calls] == [200] * 3
    assert limited.state.chooser.memory.own_tokens() == 0


def test_a_call_that_waits_for_memory_is_counted_once(limited):
    # The queue tries the waiting call fifty times a second.
    slow = SlowBackend()
    limited.backend(slow)
    calls = start_calls(limited, 3, 4_000)
    wait_until(lambda: limited.state.slots.waiting() == 1)
    eventlet.sleep(0.1)
    report = EngineMemoryReport(limited.state.chooser.memory, limited.state.metrics)
    detail = LoadDetail()
    for _ in range(2):
        report.report_load(detail, 0.0)
    assert limited.state.metrics.counts["relay.engine_memory_full"] == 1
    assert detail.tokens_by_server == {"i-0": 8_000}
    while any(not one.dead for one in calls):
        slow.respond()
        eventlet.sleep(0.01)


def test_clients_that_disconnect_leave_no_memory_taken(limited):
    # Clients disconnect while their calls run or wait. Memory that is not freed is lost for as long
    # as the entry runs.
    slow = SlowBackend()
    limited.backend(slow)
    connections = [limited.connect() for _ in range(3)]
    for number, connection in enumerate(connections):
        connection.sendall(request("/buy/", f"left-{number}", prompt=4_000))
    wait_until(lambda: len(slow.held) == 2 and limited.state.slots.waiting() == 1)
    for connection in connections:
        connection.close()
    wait_until(lambda: limited.state.slots.waiting() == 0)
    wait_until(lambda: limited.state.chooser.memory.own_tokens() == 0)


def test_a_broken_server_leaves_no_memory_taken(limited):
    limited.backend(lambda _backend, _received: "close")
    assert limited.call("/buy/", prompt=4_000)[0] == 502
    assert limited.state.chooser.memory.own_tokens() == 0


def test_a_prompt_larger_than_any_engine_is_rejected_at_once(limited):
    # No engine can ever run it. Waiting for room, it would be held until its deadline; with a time
    # for a retry, its caller would come back in vain.
    backend = limited.backend(answers())
    started = limited.context.monotonic()
    status, headers, body = limited.call("/buy/", prompt=MEMORY)
    assert (status, "retry-after" in headers) == (503, False)
    assert b"too_large" in body
    assert str(MEMORY).encode() in body
    assert limited.context.monotonic() - started < 0.5
    assert not backend.received
    assert limited.call("/buy/", prompt=MEMORY - 1)[0] == 200


def test_the_output_of_complete_streams_is_learnt(limited):
    # Calls state no maximum, so only what earlier ones generated tells what they will hold.
    def streams(_backend, received):
        received.connection.sendall(stream(received, *(event(n) for n in range(1, 41))))

    limited.backend(streams)
    assert limited.call("/tell/", prompt=1_000)[0] == 200
    assert limited.state.expected_output.tokens("tell", 0, None) == 40


def make_document(relay: Relay) -> RelayDocument:
    services = (Service("models", engine=EngineProfile(24, MEMORY)), Service("desk"))
    relay.state.dialect.read_config = lambda _document: RelayConfig(2, (), services)
    return RelayDocument(2, b"")


def test_the_memory_of_engines_is_read_from_the_relay_document(relay):
    relay.state.features = Features(engine_memory=True)
    relay.role._follower.apply_relay(make_document(relay))
    assert relay.state.chooser.memory.has_limit("models")
    assert not relay.state.chooser.memory.has_limit("desk")


def test_calls_on_a_hot_object_leave_nothing_behind():
    # Calls end in several ways. A key that stayed counted would keep its servers spread for as long
    # as the entry runs.
    relay = Relay(Features(engine_memory=True))
    try:
        relay.backend(answers())
        for number in range(4):
            assert relay.call("/book/", attempt=f"a-{number}", object="order-7")[0] == 200
        relay.backends[0].script = lambda _backend, _received: "close"
        assert relay.call("/book/", attempt="a-5", object="order-7")[0] == 502
        hot_keys = relay.state.chooser.preferred._hot_keys
        assert hot_keys is not None
        assert hot_keys._key_by_call == {}
        assert not hot_keys._running_by_key
        assert len(relay.state.load_reporters) == 1
    finally:
        relay.stop()


def test_nothing_is_counted_while_the_part_is_off(relay):
    # Deployments that did not ask for it must not see their calls wait or be rejected.
    relay.role._follower.apply_relay(make_document(relay))
    assert not relay.state.chooser.memory.has_limit("models")
    assert relay.state.load_reporters == []
    assert relay.state.chooser.preferred._hot_keys is None
    relay.configure()

    def responds(_backend, received):
        received.connection.sendall(answer(received))

    relay.backend(responds)
    assert relay.call("/buy/", prompt=10 * MEMORY)[0] == 200
    assert relay.state.chooser.memory.own_tokens() == 0
