"""Which clients are ended when what waits for them exceeds the bound."""

from __future__ import annotations

from tarragonhall_decisions import ReaderLimits, SlowReader, reader_limits_for, readers_to_end

LIMITS = ReaderLimits(total_bytes=1_000)


def test_nobody_is_ended_below_the_bound():
    # Load: many callers that read slowly, with little waiting for each.
    readers = [SlowReader(number, 10, 0, 5.0) for number in range(100)]
    assert readers_to_end(readers, LIMITS) == []


def test_those_that_hold_most_and_move_least_are_ended_first():
    # Load: a few callers read nothing of large responses, others read them steadily.
    stalled = SlowReader(1, 600, 0, 5.0)
    small = SlowReader(2, 100, 0, 5.0)
    steady = SlowReader(3, 600, 5_000, 5.0)
    assert readers_to_end([steady, small, stalled], LIMITS) == [stalled]


def test_as_many_are_ended_as_the_bound_needs():
    # Load: hundreds of callers that stopped reading at once.
    readers = [SlowReader(number, 100, 0, 1.0 + number) for number in range(50)]
    ended = readers_to_end(readers, LIMITS)
    assert len(ended) == 40


def test_caller_that_has_just_begun_to_read_has_no_pace():
    assert SlowReader(1, 100, 0, 0.0).remaining_s == 100.0


def test_bound_follows_the_memory_of_the_machine():
    # Load: slow callers at an entry with little memory, at one with much, and at an unknown one.
    assert reader_limits_for(128).total_bytes == 32 * 1024 * 1024
    assert reader_limits_for(64_000).total_bytes == ReaderLimits().total_bytes
    assert reader_limits_for(0) == ReaderLimits()
