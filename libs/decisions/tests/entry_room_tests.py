"""An entry in a crowd says that it is not ready before it is choked, but seldom, not with all."""

from __future__ import annotations

import pytest
from tarragonhall_decisions import EntryCapacity, EntryRoom, cores_differ
from tarragonhall_decisions._entry_room import MAX_PAUSE_S, PAUSE_INTERVAL_S

ROUND_S = 0.4


class Crowd:
    """One entry of 0.29 core in a zone with 2 cores; `used` is the share of the core in use."""

    def __init__(self) -> None:
        self.room = EntryRoom(EntryCapacity(cores=0.29, descriptors=1_000))
        self.now = 0.0
        self.processor_s = 0.0
        self.paused_s = 0.0

    def run(
        self,
        seconds: float,
        used: float,
        zone_cores: float = 2.0,
        descriptors: int = 0,
        differs: bool = True,
    ) -> bool:
        """Return whether the entry pauses at the end."""
        for _ in range(round(seconds / ROUND_S)):
            self.now += ROUND_S
            self.processor_s += ROUND_S * used * 0.29
            self.room.update(self.processor_s, descriptors, zone_cores, differs, self.now)
            self.paused_s += ROUND_S * self.room.is_paused
        return self.room.is_paused


def test_a_choked_entry_pauses_and_returns_when_it_has_room():
    crowd = Crowd()
    assert not crowd.run(4.0, used=0.6)
    assert crowd.run(2.0, used=0.97)
    assert crowd.run(0.8, used=0.8)
    assert not crowd.run(0.8, used=0.5)


def test_a_burst_of_half_a_second_is_no_reason_to_pause():
    crowd = Crowd()
    crowd.run(4.0, used=0.5)
    assert not crowd.run(0.8, used=1.0)
    assert not crowd.run(0.4, used=0.5)


def test_an_entry_near_its_limit_of_descriptors_pauses():
    crowd = Crowd()
    crowd.run(2.0, used=0.2)
    assert crowd.run(2.0, used=0.2, descriptors=950)


def test_an_entry_that_stays_full_is_ready_most_of_the_time():
    # The balancer would take it for lost, and its callers would crowd the others for good.
    crowd = Crowd()
    crowd.run(2.0, used=0.5)
    crowd.run(4 * PAUSE_INTERVAL_S, used=1.0)
    assert MAX_PAUSE_S <= crowd.paused_s <= 4 * PAUSE_INTERVAL_S / 8


@pytest.mark.parametrize("zone_cores", [0.0, 0.9])
def test_an_entry_serves_on_while_half_of_its_zone_is_not_ready(zone_cores):
    # In a crowd all entries are full; if all paused, no caller would be served.
    crowd = Crowd()
    crowd.run(4.0, used=0.5)
    assert not crowd.run(3.0, used=1.0, zone_cores=zone_cores)


def test_an_entry_that_pauses_serves_again_as_soon_as_others_stop():
    crowd = Crowd()
    crowd.run(4.0, used=0.5)
    assert crowd.run(2.0, used=1.0)
    assert not crowd.run(0.4, used=1.0, zone_cores=0.5)


def test_lost_news_of_the_others_leave_an_entry_ready():
    crowd = Crowd()
    assert not crowd.run(4.0, used=1.0, zone_cores=0.0)


def test_entries_of_one_size_do_not_pause():
    crowd = Crowd()
    assert not crowd.run(4.0, used=1.0, differs=False)
    assert not cores_differ(0.4, 2.0, 5)
    assert not cores_differ(0.4, 0.0, 0)
    assert cores_differ(0.29, 2.0, 4)
