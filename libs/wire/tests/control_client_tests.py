from __future__ import annotations

import eventlet
from tarragonhall_model import (
    EntryRecord,
    Heartbeat,
    Leaving,
    Proposed,
    ServerKind,
    ServerRecord,
    View,
)
from tarragonhall_wire import ControlClient, make_context, make_metrics

ENTRY = EntryRecord("entry-1", "life", "127.0.0.1:1", "zone")
SERVER = ServerRecord("desk-1", "life", "127.0.0.1:1", "zone", ServerKind.SERVICE, ["desk"])


class Silent:
    """A follower that takes nothing in."""

    settings_revision = 0

    def __init__(self) -> None:
        self.view = View(0, [], [])


def test_an_entry_that_leaves_does_not_silence_the_sidecar_of_its_process():
    # One process holds an entry and a sidecar, and the entry is drained first. If its leaving ended
    # the sidecar's heartbeats as well, the server would be taken for dead while it still works.
    beats = []

    def on_heartbeat(_link, beat: Heartbeat) -> Proposed:
        beats.append(beat.node)
        return Proposed(None)

    context = make_context(
        "one", "zone", "127.0.0.1:0", [], b"s" * 32, make_metrics(None, 0, "one")
    )
    context.hub.handle(Heartbeat, on_heartbeat)
    context.hub.handle(Leaving, lambda _link, _message: Proposed(None))
    port = context.hub.port
    context.control_addresses.append(f"127.0.0.1:{port}")
    client = ControlClient(context)
    client.follow(lambda: ENTRY, Silent())
    client.follow(lambda: SERVER, Silent())
    eventlet.sleep(0.1)
    client.leave(ENTRY, 1.0)
    beats.clear()
    eventlet.sleep(1.2)
    context.hub.stop()
    assert {type(node) for node in beats} == {ServerRecord}
