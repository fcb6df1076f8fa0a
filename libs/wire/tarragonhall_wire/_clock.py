"""The clock by which leases, timeouts and deadlines are counted."""

from __future__ import annotations

import time

# `time.monotonic` stands still while a machine is suspended; elsewhere than on Linux there is no
# other clock that never goes back.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def elapsed_seconds() -> float:
    """Return seconds since some start of the machine, including those of suspensions.

    A lease is a promise to other machines, which go on while this one is suspended.
    """
    return time.clock_gettime(_CLOCK)
