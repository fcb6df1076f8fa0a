"""Requests that crash backend servers, across restarts of entries, over real links."""

from __future__ import annotations

from types import SimpleNamespace

import eventlet
import pytest
from tarragonhall_decisions import BrokenRun, CrashSuspects
from tarragonhall_fakes import free_address
from tarragonhall_model import View
from tarragonhall_relay import _followers
from tarragonhall_relay._followers import PeerUpdates
from tarragonhall_wire import make_context, make_metrics


class Entry:
    """The parts of an entry that exchange what they know with the other entries."""

    def __init__(self, name: str, address: str) -> None:
        self.context = make_context(
            name, "zona-a", address, [], b"secret", make_metrics(None, 0, name)
        )
        self.suspects = CrashSuspects()
        self.follower = SimpleNamespace(view=View(0, [], []))
        state = SimpleNamespace(crash_suspects=self.suspects, metrics=self.context.metrics)
        self.peers = PeerUpdates(self.context, state, self.follower)
        self.record = self.context.entry_record()

    def knows(self, fingerprint: str) -> bool:
        return self.suspects.is_quarantined(fingerprint, self.context.monotonic())

    def inform(self, entries) -> None:
        self.follower.view = View(1, [one.record for one in entries], [])
        for _ in range(40):
            self.peers._inform_new_entries()
            eventlet.sleep(0.02)


@pytest.fixture
def start():
    started = []

    def make(name: str, address: str | None = None) -> Entry:
        started.append(Entry(name, address or free_address()))
        return started[-1]

    yield make
    for entry in started:
        entry.context.hub.stop()


def crash(entry: Entry, fingerprint: str, runs: int = 3) -> None:
    """Let a request crash servers one after the other, a second apart, until now."""
    now = entry.context.monotonic()
    for number in range(runs):
        ended_at = now - (runs - 1 - number)
        run = BrokenRun(f"server-{number}", ended_at - 0.1, ended_at)
        entry.suspects.on_broken_run(fingerprint, run)


def test_an_entry_that_restarts_learns_which_requests_crash_servers(start):
    # Entries forgot it at their start. Each rolling restart let a request that all of them refused
    # crash three more servers.
    one, two = start("entry-1"), start("entry-2")
    crash(one, "bad")
    one.inform([one, two])
    assert two.knows("bad")
    two.context.hub.stop()
    eventlet.sleep(0.1)
    again = start("entry-2", two.context.link_address)
    one.inform([one, again])
    assert again.knows("bad")


def test_runs_that_both_entries_know_are_not_counted_twice(start):
    # An innocent request would be refused after two runs that broke.
    one, two = start("entry-1"), start("entry-2")
    crash(one, "bad", 2)
    crash(two, "bad", 2)
    one.inform([one, two])
    two.inform([one, two])
    assert not two.knows("bad")
    assert not one.knows("bad")


def test_suspects_are_sent_once_to_each_incarnation_and_in_bounded_number(start, monkeypatch):
    # Hundreds of entries start at once, and a request is a suspect for two minutes.
    monkeypatch.setattr(_followers, "MAX_SENT_SUSPECTS", 2)
    one, two = start("entry-1"), start("entry-2")
    for number in range(5):
        crash(one, f"bad-{number}")
    one.inform([one, two])
    one.inform([one, two])
    assert [two.knows(f"bad-{number}") for number in range(5)] == [False] * 3 + [True] * 2
    assert one.peers._informed == {one.record.incarnation, two.record.incarnation}


def test_an_answer_clears_a_suspect_at_every_entry(start):
    # An entry that was told of broken runs, and not of the answers to other calls with the same
    # text, refused a request that all servers answered.
    one, two = start("entry-1"), start("entry-2")
    crash(one, "unlucky")
    one.inform([one, two])
    assert two.knows("unlucky")
    one.suspects.on_response("unlucky", one.context.monotonic())
    one.peers.report_cleared("unlucky")
    for _ in range(40):
        eventlet.sleep(0.02)
    assert not two.knows("unlucky")
    crash(one, "unlucky", 1)
    one.inform([one, two])
    assert not two.knows("unlucky")
