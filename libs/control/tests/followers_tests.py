from __future__ import annotations

from tarragonhall_control._followers import Followers, policy_for
from tarragonhall_model import (
    EntryRecord,
    KeyPolicy,
    ModelPolicy,
    OrganisationPolicy,
    PolicyDelta,
    ServerKind,
    ServerRecord,
    View,
)
from tarragonhall_wire import Metrics, Peer

ENTRY = EntryRecord("entry-1", "life-1", "127.0.0.1:1", "zona-a")
SERVER = ServerRecord(
    "engine-1", "life-1", "127.0.0.1:2", "zona-a", ServerKind.MODEL, ["negotiator-8b"]
)
POLICY = PolicyDelta(
    0,
    5,
    organisations=(OrganisationPolicy("org-1", "/org-1"),),
    keys=(KeyPolicy("hash", "org-1"),),
    models=(ModelPolicy("negotiator-8b", "v1"),),
    removed_keys=("old",),
)


class State:
    revision, epoch, relay_version, relay = 5, 1, 0, None

    def policy_since(self, _revision):
        return POLICY

    def view(self):
        return View(1, [], [])


class RecordingLink:
    def __init__(self) -> None:
        self.sent = []
        self.peer = Peer("instance-1", "life-1", "127.0.0.1:1")

    def send(self, message) -> None:
        self.sent.append(message)


def pushed_to(*nodes) -> PolicyDelta:
    followers, link = Followers(State(), Metrics()), RecordingLink()
    for node in nodes:
        followers.record_sent(link, node, 4, 1)
    followers.push()
    return link.sent[0].policy


def test_entry_gets_organisations_and_keys():
    assert policy_for(ENTRY, POLICY) == POLICY
    assert pushed_to(ENTRY) == POLICY


def test_sidecar_gets_models_without_organisations_and_keys():
    # A sidecar process is limited to 64 MB. The settings of 15,000 organisations, which it never
    # reads, would exceed that, and key hashes would be stored next to every backend server.
    for policy in (policy_for(SERVER, POLICY), pushed_to(SERVER)):
        assert policy.models == POLICY.models
        assert (policy.organisations, policy.keys, policy.removed_keys) == ((), (), ())
        assert policy.revision == POLICY.revision


def test_process_with_entry_and_sidecar_gets_all_settings():
    # Both share one link. An update reduced for the sidecar would leave the entry with old keys
    # under a new revision, and a withdrawn key would still work.
    assert pushed_to(ENTRY, SERVER) == pushed_to(SERVER, ENTRY) == POLICY


def test_follower_gets_view_delta_or_whole_view():
    # Otherwise each restart of one node among hundreds would send the whole view to all of them.
    class GrowingState(State):
        def view(self):
            return View(self.epoch, [ENTRY] * (self.epoch > 1), [])

    state = GrowingState()
    followers, link, outdated = Followers(state, Metrics()), RecordingLink(), RecordingLink()
    followers.record_sent(link, ENTRY, 5, 1)
    followers.record_sent(outdated, ENTRY, 5, 0)
    followers.push()
    assert outdated.sent[0].view == View(1, [], [])
    state.epoch = 2
    followers.push()
    assert link.sent[-1].view is None
    assert link.sent[-1].view_delta.entries == [ENTRY]
    assert followers.view_since(2) == (None, None)
