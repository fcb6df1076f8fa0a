"""Shares one leadership confirmation by a majority among heartbeats of a short period."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from eventlet.event import Event

# A confirmation costs a round trip to each member, and there are hundreds of heartbeats a second.
# Far below the leases of followers, which a late reply must not let expire.
BATCH_SECONDS = 0.05


class SharedConfirmation:
    """Batches callers and confirms once for all of them, after the last one has joined."""

    __slots__ = ("_confirm", "_next")

    def __init__(self, confirm: Callable[[], bool]) -> None:
        self._confirm = confirm
        self._next: Event | None = None

    def join(self) -> bool:
        """Return whether a majority confirmed the leadership at some time after this call."""
        if self._next is None:
            self._next = Event()
            eventlet.spawn_n(self._run, self._next)
        return self._next.wait()

    def _run(self, event: Event) -> None:
        eventlet.sleep(BATCH_SECONDS)
        # Later callers wait for the next round: members may already have answered this one.
        self._next = None
        confirmed = False
        try:
            confirmed = self._confirm()
        finally:
            event.send(confirmed)
