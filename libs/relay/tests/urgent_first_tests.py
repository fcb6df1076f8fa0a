"""Urgent calls first at one entry: counts, news of others, refusals, and nothing while off."""

from __future__ import annotations

import dataclasses

import eventlet
import pytest
from relay_doubles import Relay, answers, event, stream, wait_until
from tarragonhall_decisions import (
    Deadline,
    EntryCapacity,
    Features,
    Prospect,
    QueuedCall,
    UrgentTier,
)
from tarragonhall_model import LoadDetail
from tarragonhall_relay._routes import RouteTable
from tarragonhall_relay._urgent_first import UrgentFirst

URGENT, CALM = "desk/1", "desk/3"


@pytest.fixture
def urgent_relay():
    """A relay where `talk` is the most urgent route and `chat` the least urgent one."""
    relay = Relay()
    set_priorities(relay, chat=2)
    switch_on(relay)
    yield relay
    relay.stop()


def set_priorities(relay, chat: int) -> None:
    config = relay.state.table.config
    talk = next(route for route in config.routes if route.name == "talk")
    talk = dataclasses.replace(talk, objective_ms=200)
    chat_route = dataclasses.replace(talk, name="chat", path_prefix="/chat/", priority=chat)
    config = dataclasses.replace(config, routes=(talk, chat_route))
    relay.state.table = RouteTable(config)


def switch_on(relay) -> None:
    part = UrgentFirst(relay.state)
    relay.state.urgent_first = part
    relay.state.slots.yields = part.yields
    relay.state.load_reporters.append(part)


def told(relay) -> LoadDetail:
    detail = LoadDetail()
    for reporter in relay.state.load_reporters:
        reporter.report_load(detail, relay.state.monotonic())
    return detail


def hear(relay, **tables) -> None:
    """Let another entry tell its load."""
    now = relay.state.monotonic()
    relay.state.chooser.on_entry_load("entry-2", {}, now, detail=LoadDetail(**tables))


def talks(_backend, received):
    received.connection.sendall(stream(received, event(1)))


def test_off_by_default():
    assert not Features().urgent_first
    assert Features().capacity == EntryCapacity()
    relay = Relay()
    set_priorities(relay, chat=2)
    relay.backend(talks)
    assert relay.call("/chat/", program="p-1")[0] == 200
    assert relay.state.urgent_first is None
    assert not relay.state.load_reporters
    relay.stop()


def test_equal_priorities_change_nothing():
    relay = Relay()
    set_priorities(relay, chat=0)
    switch_on(relay)
    relay.backend(talks)
    assert relay.call("/chat/", program="p-1")[0] == 200
    assert told(relay) == LoadDetail()
    relay.stop()


def test_running_calls_are_told_by_class_and_leave_the_counts(urgent_relay):
    held = []

    def holds(_backend, received):
        held.append(received)
        received.connection.sendall(stream(received, event(1), end=False))

    urgent_relay.backend(holds)
    caller = eventlet.spawn(urgent_relay.call, "/talk/", program="p-1")
    wait_until(lambda: held and told(urgent_relay).running_by_class)
    detail = told(urgent_relay)
    assert detail.running_by_class == {URGENT: 1}
    assert not detail.ended_by_class
    assert detail.calls_by_organisation == {"desk/org-1": 1}
    held[0].connection.sendall(b"0\r\n\r\n")
    assert caller.wait()[0] == 200
    wait_until(lambda: not told(urgent_relay).running_by_class)
    assert told(urgent_relay).ended_by_class == {URGENT: 1}
    assert not told(urgent_relay).calls_by_organisation


def test_start_of_the_least_urgent_is_refused_while_the_urgent_wait_elsewhere(urgent_relay):
    """Failure: an idle entry lets a crowd in while urgent calls wait at the other entries."""
    urgent_relay.backend(talks)
    assert urgent_relay.call("/talk/", program="p-0")[0] == 200
    assert urgent_relay.call("/chat/", program="p-00")[0] == 200
    for _ in range(40):
        hear(
            urgent_relay,
            waiting_by_class={URGENT: 1_000},
            running_by_class={URGENT: 6},
        )
        told(urgent_relay)
        eventlet.sleep(0.05)
    began = urgent_relay.state.monotonic()
    status, headers, _body = urgent_relay.call("/chat/", attempt="late", program="p-1")
    assert status == 503
    assert float(headers["retry-after"]) > 0.1
    assert urgent_relay.state.monotonic() - began < 0.3
    assert urgent_relay.call("/talk/", attempt="first", program="p-2")[0] == 200


def test_turns_of_started_programs_are_not_refused_by_the_level(urgent_relay):
    """Failure: a program that has cost something is broken off for the start of another one."""
    urgent_relay.backend(talks)
    assert urgent_relay.call("/talk/", program="p-0")[0] == 200
    assert urgent_relay.call("/chat/", program="p-00")[0] == 200
    for _ in range(40):
        hear(
            urgent_relay,
            running_by_class={URGENT: 2},
            waiting_by_class={URGENT: 1_000},
        )
        told(urgent_relay)
        eventlet.sleep(0.05)
    assert urgent_relay.call("/chat/", attempt="start", program="p-1")[0] == 503
    status, _headers, _body = urgent_relay.call(
        "/chat/", attempt="turn", program="p-2", previous="t-1"
    )
    assert status == 200


def test_news_that_are_no_longer_valid_do_not_hold_the_level(urgent_relay):
    """Failure: an entry that told of a crowd has frozen; its news end after 1.5 s."""
    urgent_relay.backend(talks)
    assert urgent_relay.call("/talk/", program="p-0")[0] == 200
    assert urgent_relay.call("/chat/", program="p-00")[0] == 200
    level = urgent_relay.state.urgent_first.service("desk").level
    for _ in range(10):
        hear(
            urgent_relay,
            running_by_class={URGENT: 2},
            waiting_by_class={URGENT: 1_000},
        )
        told(urgent_relay)
        eventlet.sleep(0.1)
    assert level.level > 0.5
    for _ in range(45):
        told(urgent_relay)
        eventlet.sleep(0.1)
    assert level.level == 0.0
    assert urgent_relay.call("/chat/", attempt="start", program="p-1")[0] == 200


def test_change_of_priorities_keeps_the_counts_of_calls_under_way(urgent_relay):
    """Failure: a new document rebuilds the classes, and an ended call makes a count negative."""
    urgent_relay.backend(answers())
    held = []

    def holds(_backend, received):
        held.append(received)
        received.connection.sendall(stream(received, event(1), end=False))

    urgent_relay.backends[0].script = holds
    caller = eventlet.spawn(urgent_relay.call, "/chat/", program="p-1")
    wait_until(lambda: held and told(urgent_relay).running_by_class)
    set_priorities(urgent_relay, chat=1)
    held[0].connection.sendall(b"0\r\n\r\n")
    assert caller.wait()[0] == 200
    wait_until(lambda: not told(urgent_relay).running_by_class)
    urgent_relay.backends[0].script = talks
    assert urgent_relay.call("/chat/", attempt="a-2", program="p-2")[0] == 200


def test_calls_of_a_lost_engine_leave_the_counts(urgent_relay):
    """Failure: an engine breaks off with urgent calls on it, whose counts would block starts."""
    urgent_relay.backend(lambda _backend, _received: "close")
    calls = [
        eventlet.spawn(urgent_relay.call, "/talk/", attempt=f"a-{n}", program=f"p-{n}")
        for n in range(5)
    ]
    assert [one.wait()[0] for one in calls] == [502] * 5
    detail = told(urgent_relay)
    assert not detail.running_by_class
    assert not detail.waiting_by_class
    assert not detail.calls_by_organisation


def test_time_until_the_last_event_counts(urgent_relay):
    """Load: engines are short of time, and stretch answers instead of letting calls wait."""

    def hesitates(_backend, received):
        eventlet.sleep(0.15)
        received.connection.sendall(stream(received, event(1)))

    urgent_relay.backend(hesitates)
    assert urgent_relay.call("/talk/", program="p-1")[0] == 200
    assert told(urgent_relay).taken_ms_by_class[URGENT] >= 140


def test_call_yields_to_more_urgent_ones_elsewhere_for_a_bounded_time(urgent_relay):
    """Failure: news of urgent calls that wait elsewhere keep coming, and a call yields for ever."""
    urgent_relay.backend(talks)
    assert urgent_relay.call("/talk/", program="p-0")[0] == 200
    part = urgent_relay.state.urgent_first
    hear(urgent_relay, waiting_by_class={URGENT: 3}, running_by_class={URGENT: 6})
    eventlet.sleep(0.11)
    told(urgent_relay)
    now = urgent_relay.state.monotonic()
    calm = UrgentTier(3, Prospect.IN_TIME, begins=False)
    urgent = UrgentTier(1, Prospect.LATE, begins=True)
    call = QueuedCall("call", "org-1", "p-1", 1.0, Deadline(now + 4.0), arrived=now)
    assert part.yields("desk", call, calm)
    assert not part.yields("desk", call, urgent)
    call.arrived = now - 1.1
    assert not part.yields("desk", call, calm)
