from __future__ import annotations

import eventlet
from tarragonhall_model import (
    EntryRecord,
    Fresh,
    Heartbeat,
    Leaving,
    News,
    NodeLoad,
    PolicyDelta,
    Proposed,
    ServerKind,
    ServerRecord,
    View,
)
from tarragonhall_wire import ControlClient, make_context, make_metrics

ENTRY = EntryRecord("entry-1", "life", "127.0.0.1:1", "zone")
SERVER = ServerRecord("desk-1", "life", "127.0.0.1:1", "zone", ServerKind.SERVICE, ["desk"])


class PassiveFollower:
    """A follower that ignores all updates."""

    settings_revision = 0

    def __init__(self) -> None:
        self.view = View(0, [], [])


def test_an_entry_that_leaves_does_not_stop_the_heartbeats_of_the_sidecar_of_its_process():
    # One process runs an entry and a sidecar, and the entry is drained first. If leaving stopped
    # the sidecar's heartbeats as well, the server would be considered dead while it still works.
    nodes = []

    def on_heartbeat(_link, heartbeat: Heartbeat) -> Proposed:
        nodes.append(heartbeat.node)
        return Proposed(None)

    context = make_context(
        "one", "zone", "127.0.0.1:0", [], b"s" * 32, make_metrics(None, 0, "one")
    )
    context.hub.handle(Heartbeat, on_heartbeat)
    context.hub.handle(Leaving, lambda _link, _message: Proposed(None))
    port = context.hub.port
    context.control_addresses.append(f"127.0.0.1:{port}")
    client = ControlClient(context)
    client.follow(lambda: ENTRY, PassiveFollower())
    client.follow(lambda: SERVER, PassiveFollower())
    # A first heartbeat that waits for the link would arrive after the entry has left.
    with eventlet.Timeout(5.0):
        while {type(node) for node in nodes} != {EntryRecord, ServerRecord}:
            eventlet.sleep(0.01)
    client.leave(ENTRY, 1.0)
    nodes.clear()
    eventlet.sleep(1.2)
    context.hub.stop()
    assert {type(node) for node in nodes} == {ServerRecord}


def test_heartbeats_go_on_after_an_update_that_could_not_be_applied():
    # Guards against a process that never hears of a change again, since an error of one update has
    # ended its heartbeats.
    heartbeats = []

    class FailingFollower(PassiveFollower):
        def confirm(self, _fresh, _sent_at) -> None:
            raise ValueError("cannot be applied")

    def on_heartbeat(_link, heartbeat: Heartbeat) -> Fresh:
        heartbeats.append(heartbeat)
        return Fresh(0, 0, 1)

    context = make_context(
        "one", "zone", "127.0.0.1:0", [], b"s" * 32, make_metrics(None, 0, "one")
    )
    context.hub.handle(Heartbeat, on_heartbeat)
    context.control_addresses.append(f"127.0.0.1:{context.hub.port}")
    ControlClient(context, 0.05).follow(lambda: ENTRY, FailingFollower())
    eventlet.sleep(0.5)
    context.hub.stop()
    assert len(heartbeats) >= 3
    assert context.metrics.counts["control.update_failed"] >= 3


def test_heartbeats_go_on_after_one_that_could_not_be_made():
    # Guards against a process that leaves the view for good while it works.
    heartbeats, loads = [], []

    def load() -> NodeLoad:
        loads.append(1)
        if len(loads) == 1:
            raise ZeroDivisionError("no slots")
        return NodeLoad()

    def on_heartbeat(_link, heartbeat: Heartbeat) -> Fresh:
        heartbeats.append(heartbeat)
        return Fresh(0, 0, 1)

    context = make_context(
        "one", "zone", "127.0.0.1:0", [], b"s" * 32, make_metrics(None, 0, "one")
    )
    context.hub.handle(Heartbeat, on_heartbeat)
    context.control_addresses.append(f"127.0.0.1:{context.hub.port}")
    ControlClient(context, 0.05).follow(lambda: ENTRY, PassiveFollower(), load)
    eventlet.sleep(0.6)
    context.hub.stop()
    assert len(heartbeats) >= 2


def test_an_update_that_one_follower_cannot_apply_reaches_the_others():
    # Guards against sidecars that keep old settings since the entry of their process fails.
    applied = []

    class FailingFollower(PassiveFollower):
        def apply_policy(self, _delta) -> bool:
            raise ValueError("cannot be applied")

    class SoundFollower(PassiveFollower):
        def apply_policy(self, delta) -> bool:
            applied.append(delta)
            return True

    context = make_context(
        "one", "zone", "127.0.0.1:0", [], b"s" * 32, make_metrics(None, 0, "one")
    )
    client = ControlClient(context)
    client.followers += [FailingFollower(), SoundFollower()]
    link = context.hub.wait_for_link(f"127.0.0.1:{context.hub.port}", 2.0)
    link.send(News(PolicyDelta(0, 1)))
    eventlet.sleep(0.1)
    context.hub.stop()
    assert len(applied) == 1
