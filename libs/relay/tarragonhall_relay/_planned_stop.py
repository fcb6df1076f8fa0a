"""The planned stop of an entry: which late calls it refuses, and how it ends those still running.

A call that the end of the process cuts off gets no answer, and its caller cannot know whether it
ran. So from the moment at which clients connect elsewhere, only calls that end before the process
does are taken, and those that still run shortly before its end are answered then.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import greenlet
from eventlet import hubs

from tarragonhall_relay._errors import StoppingError


class PlannedStop:
    """Whether this entry is to stop, when its calls must have ended, and which ones run."""

    __slots__ = ("_ends_at", "_is_late", "_running")

    def __init__(self) -> None:
        self._ends_at = float("inf")
        self._is_late = False
        self._running: dict[object, greenlet.greenlet] = {}

    def begin(self, ends_at: float) -> None:
        """Begin the stop; running calls are ended at `ends_at` (monotonic seconds)."""
        self._ends_at = ends_at

    def refuse_late(self) -> None:
        """Refuse calls that may last longer than this entry from now on."""
        self._is_late = True

    def is_too_late(self, deadline_at: float) -> bool:
        """Return whether a call that arrives now may last longer than this entry."""
        return self._is_late and deadline_at > self._ends_at

    @contextmanager
    def running(self) -> Iterator[None]:
        """Note that a call runs in this green thread; `StoppingError` may be raised within."""
        key = object()
        self._running[key] = greenlet.getcurrent()
        try:
            yield
        finally:
            del self._running[key]

    def end_calls(self) -> int:
        """Raise `StoppingError` in the green threads of running calls; return their number."""
        for key in self._running:
            hubs.get_hub().schedule_call_global(0, self._end_call, key)
        return len(self._running)

    def _end_call(self, key: object) -> None:
        green_thread = self._running.get(key)
        if green_thread is not None:
            green_thread.throw(StoppingError("this process stops"))
