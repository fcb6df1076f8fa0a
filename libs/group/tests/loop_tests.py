from __future__ import annotations

import eventlet
import pytest
from tarragonhall_consensus import (
    ConfirmRead,
    ProposalDone,
    ProposalLost,
    ProposeData,
    ReadConfirmed,
    RoleChanged,
    SendTo,
)
from tarragonhall_group import _loop
from tarragonhall_group._loop import LogLoop, LoopBusyError, LoopHooks, OutcomeUnknownError


class Replica:
    """An in-memory log that commits at once, never answers, or loses every proposal."""

    def __init__(self) -> None:
        self.batches: list[int] = []
        self.lost: ProposalLost | None = None
        self.unresponsive = False
        self.closed = False

    def step(self, events, _now):
        outputs = []
        proposals = [event for event in events if isinstance(event, ProposeData)]
        if proposals:
            self.batches.append(len(proposals))
        for event in events:
            match event:
                case ProposeData(token) if self.unresponsive:
                    pass
                case ProposeData(token) if self.lost is not None:
                    lost = self.lost
                    outputs.append(ProposalLost(token, lost.leader, lost.not_logged, lost.reason))
                case ProposeData(token, data):
                    outputs.append(ProposalDone(token, 1, data.upper()))
                case ConfirmRead(token):
                    outputs.append(ReadConfirmed(token))
        return outputs

    def is_leader(self, _now):
        return True

    def close(self):
        self.closed = True


@pytest.fixture
def loop():
    hooks = LoopHooks(lambda _peer, _message: None, lambda _role: None, lambda: None)
    made = LogLoop(Replica(), lambda: 0.0, hooks)
    eventlet.spawn_n(made.run)
    yield made
    made.stop()
    eventlet.sleep(0.1)
    assert made.replica.closed


def test_queued_proposals_share_one_step(loop):
    # Each step takes a sync. With one step per proposal, a hundred callers would wait for a hundred
    # successive syncs.
    threads = [eventlet.spawn(loop.propose, b"a", 1.0) for _ in range(100)]
    assert [thread.wait() for thread in threads] == [b"A"] * 100
    assert loop.replica.batches == [100]
    assert loop.confirm(1.0)


def test_a_proposal_beyond_the_limit_is_rejected_at_once_and_not_logged(loop, monkeypatch):
    # The log hangs. Without a limit every proposal would wait in memory until long after its sender
    # has timed out. The error is "busy", since the proposal never reached the log.
    monkeypatch.setattr(_loop, "MAX_WAITING_PROPOSALS", 3)
    loop.replica.unresponsive = True
    waiting = [eventlet.spawn(loop.propose, b"a", 0.3) for _ in range(3)]
    eventlet.sleep(0.1)
    with pytest.raises(LoopBusyError):
        loop.propose(b"b", 0.3)
    for thread in waiting:
        with pytest.raises(OutcomeUnknownError):
            thread.wait()
    assert loop.waiting() == 0
    assert loop.replica.batches == [3]


def test_a_full_log_is_busy_and_lost_leadership_is_unknown(loop):
    loop.replica.lost = ProposalLost(0, "one", not_logged=True, reason="too much uncommitted")
    with pytest.raises(LoopBusyError, match="uncommitted"):
        loop.propose(b"a", 1.0)
    loop.replica.lost = ProposalLost(0, "two", not_logged=False)
    with pytest.raises(OutcomeUnknownError):
        loop.propose(b"a", 1.0)


def test_messages_and_roles_go_to_their_hooks():
    seen = []
    hooks = LoopHooks(lambda peer, _m: seen.append(peer), seen.append, lambda: seen.append("step"))
    replica = Replica()
    role = RoleChanged("leader", 1, "one")
    replica.step = lambda _events, _now: [SendTo("two", "hello"), role]
    made = LogLoop(replica, lambda: 0.0, hooks)
    eventlet.spawn_n(made.run)
    eventlet.sleep(0.1)
    made.stop()
    eventlet.sleep(0.1)
    assert seen[:3] == ["two", role, "step"]
