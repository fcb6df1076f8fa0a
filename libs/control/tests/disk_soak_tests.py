"""Changes while disks of control members fail, overlap and come back, over real links, seeded.

Two seeds run by default; `TARRAGONHALL_SOAK_SEEDS` sets how many do.
"""

from __future__ import annotations

import os
import random

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_control._member import LOG_FOLDER
from tarragonhall_fakes import Disks
from tarragonhall_model import RelayDocument

SEEDS = range(int(os.environ.get("TARRAGONHALL_SOAK_SEEDS", "2")))
NAMES = ("one", "two", "three")
STEPS = 14
# For a change while too many disks fail; it may or may not be in force then.
ATTEMPT_SECONDS = 1.0
# Members open their folders within a second of a repair, and then elect and catch up.
RECOVERY_SECONDS = 12.0


@pytest.fixture
def disks():
    made = Disks()
    made.install()
    yield made
    made.restore()


class DiskSoak:
    """A group, what it has acknowledged, and faults of its disks and processes."""

    def __init__(self, group, disks: Disks, seed: int) -> None:
        self.group = group
        self.disks = disks
        self.rng = random.Random(seed)
        self.version = 0
        self.acknowledged = 0

    def folder(self, name: str):
        return self.group.folder / name / LOG_FOLDER

    def publish(self) -> None:
        """Publish the next version at any member; it need not succeed."""
        self.version += 1
        document = RelayDocument(self.version, str(self.version).encode())
        with eventlet.Timeout(ATTEMPT_SECONDS, False):
            while True:
                role = self.rng.choice(list(self.group.role_by_name.values()))
                try:
                    held = role.relay.publish(document).version
                except NoLeaderError:
                    eventlet.sleep(0.02)
                    continue
                assert held >= self.acknowledged
                self.acknowledged = max(self.acknowledged, self.version)
                return

    def fill_one(self) -> None:
        self.disks.fill(self.folder(self.rng.choice(NAMES)))

    def break_one(self) -> None:
        self.disks.break_down(self.folder(self.rng.choice(NAMES)))

    def repair_one(self) -> None:
        self.disks.repair(self.folder(self.rng.choice(NAMES)))

    def repair_all(self) -> None:
        for name in NAMES:
            self.disks.repair(self.folder(name))

    def restart_one(self) -> None:
        """Kill a process and start it again, perhaps on a disk that refuses writes."""
        name = self.rng.choice(NAMES)
        self.group.stop(name)
        self.group.start(name)

    def take_snapshots(self) -> None:
        """Let every member write a snapshot, which a full disk ends half-way."""
        for role in self.group.role_by_name.values():
            role.member.loop.take_snapshot()

    def is_recovered(self) -> bool:
        """Return whether all members take part and hold what was acknowledged."""
        roles = self.group.role_by_name.values()
        return self.group.leader() is not None and all(
            role.member.loop.failure is None
            and role.member.state.relay_version >= self.acknowledged
            for role in roles
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_acknowledged_change_is_lost_while_disks_fail(start_group, disks, seed):
    # Guards against a member that stays out, or comes back with less than it had acknowledged.
    soak = DiskSoak(start_group(*NAMES), disks, seed)
    soak.publish()
    faults = [
        soak.fill_one,
        soak.fill_one,
        soak.break_one,
        soak.repair_one,
        soak.repair_all,
        soak.restart_one,
        soak.take_snapshots,
    ]
    for _ in range(STEPS):
        soak.rng.choice(faults)()
        eventlet.sleep(soak.rng.choice([0.0, 0.05, 0.3, 0.9]))
        soak.publish()
    soak.repair_all()
    soak.group.wait_until(soak.is_recovered, RECOVERY_SECONDS)
    before = soak.acknowledged
    soak.publish()
    assert soak.acknowledged > before
