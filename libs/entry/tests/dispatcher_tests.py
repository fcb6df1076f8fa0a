"""Dispatches to a sidecar that is about to stop, over real links."""

from __future__ import annotations

import eventlet
import pytest
from tarragonhall_entry._dispatcher import Dispatcher
from tarragonhall_entry._effects import NotSent
from tarragonhall_fakes import free_address
from tarragonhall_model import (
    AttemptId,
    CallKind,
    CallSpec,
    Dispatch,
    NoMoreDispatches,
    Rejected,
    RejectReason,
    ServerKind,
    ServerRecord,
    ServerStops,
)
from tarragonhall_state import Follower
from tarragonhall_wire import make_context, make_metrics


class Running:
    """The parts of a call under way that a dispatch uses."""

    def __init__(self) -> None:
        self.attempts = []
        self.call = self
        self.deadline = 1e9

    def add_text(self, _chunk) -> None:
        return


@pytest.fixture
def processes():
    started = [
        make_context(name, "zona-a", free_address(), [], b"secret", make_metrics(None, 0, name))
        for name in ("entry-1", "beside")
    ]
    yield started
    for context in started:
        context.hub.stop()


def dispatch(number: int) -> Dispatch:
    attempt = AttemptId(f"prog-{number}", 1, 1, "desk-1", "life-1")
    spec = CallSpec(1, CallKind.SERVICE, "desk", "{}", repeatable=False)
    return Dispatch(attempt, "org-1", spec, [], 0, 5_000)


def test_a_server_that_stops_hears_of_no_dispatch_after_the_reply(processes):
    # A dispatch that crosses the end of its link may have run or not. The sidecar closes its links
    # once the entry has replied, so none may be under way by then or follow.
    entry, beside = processes
    dispatcher = Dispatcher(entry, Follower())
    received = []

    def on_dispatch(_link, message):
        received.append(message.attempt.program_id)
        eventlet.sleep(0.3)
        return Rejected(RejectReason.DRAINING)

    beside.hub.handle(Dispatch, on_dispatch)
    server = ServerRecord(
        "desk-1", "life-1", beside.link_address, "zona-a", ServerKind.SERVICE, ["desk"], 2
    )
    replies = []
    first = eventlet.spawn(
        lambda: replies.append(dispatcher.dispatch(Running(), server, dispatch(1)))
    )
    with eventlet.Timeout(5.0):
        while not received:
            eventlet.sleep(0.01)
    link = beside.hub.accepted[0]
    assert link.request(ServerStops("desk-1", "life-1"), 2) == NoMoreDispatches()
    assert replies == [Rejected(RejectReason.DRAINING)]
    first.wait()
    assert dispatcher.dispatch(Running(), server, dispatch(2)) == NotSent()
    assert received == ["prog-1"]
    assert dispatcher._under_way_by_server == {}
