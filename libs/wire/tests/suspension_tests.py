"""Leases of a process whose machine is suspended, which the monotonic clock does not count."""

from __future__ import annotations

import time

import pytest
from tarragonhall_fakes import free_address
from tarragonhall_model import Fresh
from tarragonhall_state import Follower
from tarragonhall_wire import make_context, make_metrics


class Machine:
    """The clocks of a machine that can be suspended."""

    def __init__(self, monkeypatch) -> None:
        self.suspended_s = 0.0
        self._clock_gettime = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", self._read)

    def _read(self, clock: int) -> float:
        if clock == time.CLOCK_BOOTTIME:
            return self._clock_gettime(clock) + self.suspended_s
        return self._clock_gettime(clock)


@pytest.fixture
def machine(monkeypatch) -> Machine:
    return Machine(monkeypatch)


def test_a_lease_ends_while_its_machine_is_suspended(machine):
    # Guards against an entry that wakes up and refuses calls by a version of before.
    context = make_context(
        "entry-1", "zona-a", free_address(), [], b"secret", make_metrics(None, 0, "entry-1")
    )
    follower = Follower()
    follower.confirm(Fresh(0, 0, 1), context.monotonic())
    assert follower.is_fresh(context.monotonic())
    machine.suspended_s += 3_600.0
    assert not follower.is_fresh(context.monotonic())
    context.hub.stop()


def test_a_process_that_started_before_a_suspension_has_started_by_the_same_clock(machine):
    # Guards against two clocks that are compared: a member would owe its silence for ever, or not.
    machine.suspended_s = 60.0
    context = make_context(
        "entry-1", "zona-a", free_address(), [], b"secret", make_metrics(None, 0, "entry-1")
    )
    assert 0.0 <= context.monotonic() - context.started_at < 10.0
    context.hub.stop()
