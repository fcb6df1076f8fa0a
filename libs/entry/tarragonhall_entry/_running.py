"""A call that runs in this entry, and its listeners."""

from __future__ import annotations

from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event
from eventlet.queue import Empty, LightQueue
from tarragonhall_model import AttemptId, CallClosed

from tarragonhall_entry._effects import Call


@dataclass(slots=True, frozen=True)
class TextPart:
    """The next chunk of a streamed answer."""

    index: int
    text: str


@dataclass(slots=True, frozen=True)
class StreamReset:
    """The chunks so far are discarded; the answer starts again."""


@dataclass(slots=True)
class RunningCall:
    """A call that this entry runs, independently of the connections of its callers."""

    call: Call
    end: Event = field(default_factory=Event)
    parts: list[str] = field(default_factory=list)
    listeners: list[LightQueue] = field(default_factory=list)
    attempts: list[AttemptId] = field(default_factory=list)

    def add_text(self, text: str) -> None:
        """Send a chunk to every listener."""
        part = TextPart(len(self.parts), text)
        self.parts.append(text)
        for listener in self.listeners:
            listener.put(part)

    def reset(self) -> None:
        """Discard the chunks so far and notify the listeners."""
        if not self.parts:
            return
        self.parts = []
        for listener in self.listeners:
            listener.put(StreamReset())

    def close(self, closed: CallClosed) -> None:
        """Send the end to every listener."""
        self.end.send(closed)
        for listener in self.listeners:
            listener.put(closed)

    def wait(self, timeout_s: float) -> CallClosed | None:
        """Return the end, or None after `timeout_s`."""
        with eventlet.Timeout(max(0.0, timeout_s), False):
            return self.end.wait()
        return None

    def listen(self) -> LightQueue:
        """Return a queue that gets all chunks from the first on, and then the end."""
        queue = LightQueue()
        for index, text in enumerate(self.parts):
            queue.put(TextPart(index, text))
        if self.end.ready():
            queue.put(self.end.wait())
        self.listeners.append(queue)
        return queue


def next_item(queue: LightQueue, timeout_s: float) -> object | None:
    """Return the next item of a listener's queue, or None after `timeout_s`."""
    try:
        return queue.get(timeout=max(0.0, timeout_s))
    except Empty:
        return None
