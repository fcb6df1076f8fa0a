"""Timeline events, and the queries that collect them from all processes."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model._codec import record


@record
class Stamp:
    """A hybrid logical clock reading: wall time in ms, a counter, and the instance as tie-break.

    Stamps order an effect after its cause even if the clocks of two instances differ.
    """

    wall_ms: int
    counter: int
    instance: str

    def sort_key(self) -> tuple[int, int, str]:
        """Return the key that orders stamps."""
        return (self.wall_ms, self.counter, self.instance)


@record
class TimelineEvent:
    """An event in one process. `program_id` is empty for events that concern no program."""

    stamp: Stamp
    kind: str
    program_id: str = ""
    fields: dict[str, str] = field(default_factory=dict)


@record
class QueryTimeline:
    """Query the events of a process. Reply: `TimelineEvents`."""

    program_id: str = ""
    since_ms: int = 0
    limit: int = 1_000


@record
class TimelineEvents:
    """The newest matching events, oldest first. `dropped` counts those lost to the buffer limit.

    `problems` are those that the process has at present, `None` from a process that does not tell.
    """

    events: list[TimelineEvent]
    dropped: int = 0
    problems: list[str] | None = None
