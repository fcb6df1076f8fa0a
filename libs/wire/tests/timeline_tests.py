from __future__ import annotations

from tarragonhall_model import QueryTimeline
from tarragonhall_wire import HybridClock, Timeline


def test_an_effect_is_stamped_after_its_cause_although_its_clock_is_behind():
    # The clock of one instance is a minute behind. Ordered by wall time alone, the timeline would
    # show an answer before its request.
    ahead = HybridClock("a", wall_source=lambda: 160.0)
    behind = HybridClock("b", wall_source=lambda: 100.0)
    cause = ahead.now()
    behind.observe(cause.wall_ms, cause.counter)
    assert behind.now().sort_key() > cause.sort_key()


def test_stamps_increase_while_the_wall_clock_stands_still_or_steps_back():
    readings = iter([5.0, 5.0, 4.0])
    clock = HybridClock("a", wall_source=lambda: next(readings))
    keys = [clock.now().sort_key() for _ in range(3)]
    assert keys == sorted(set(keys))


def test_the_timeline_keeps_the_newest_events_and_counts_dropped_ones():
    timeline = Timeline(HybridClock("a"), capacity=2)
    for number in range(3):
        timeline.add("step", f"prog-{number}")
    found = timeline.find(QueryTimeline())
    assert [event.program_id for event in found.events] == ["prog-1", "prog-2"]
    assert found.dropped == 1


def test_events_are_found_by_program():
    timeline = Timeline(HybridClock("a"))
    timeline.add("opened", "prog-1", seq=1)
    timeline.add("opened", "prog-2")
    found = timeline.find(QueryTimeline(program_id="prog-1"))
    assert [event.fields for event in found.events] == [{"seq": "1"}]
