"""One confirmation of the lead by a majority for all heartbeats of a short time."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from eventlet.event import Event

# Seconds. Each round of a confirmation is a message to each member and back, for hundreds of
# heartbeats a second; leases of followers end many times later than this.
GATHER_SECONDS = 0.05


class SharedConfirmation:
    """Gathers callers and confirms once for all of them, after the last one has joined."""

    __slots__ = ("_confirm", "_next")

    def __init__(self, confirm: Callable[[], bool]) -> None:
        self._confirm = confirm
        self._next: Event | None = None

    def join(self) -> bool:
        """Return whether a majority confirmed the lead at some time after this was called."""
        if self._next is None:
            self._next = Event()
            eventlet.spawn_n(self._run, self._next)
        return self._next.wait()

    def _run(self, event: Event) -> None:
        eventlet.sleep(GATHER_SECONDS)
        # Whoever comes from here on waits for the next one: this one may be answered by then.
        self._next = None
        confirmed = False
        try:
            confirmed = self._confirm()
        finally:
            event.send(confirmed)
