"""Changes of the relay document while links fail and members stop, over real links, seeded.

Two seeds run by default; `TARRAGONHALL_SOAK_SEEDS` sets how many do.
"""

from __future__ import annotations

import os
import random

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_model import RelayDocument

SEEDS = range(int(os.environ.get("TARRAGONHALL_SOAK_SEEDS", "2")))
NAMES = ("one", "two", "three")
FOLLOWERS = 4
HEARTBEAT_SECONDS = 0.4
STEPS = 12
# How long after the last fault a deployment counts its processes as connected again, and the bound
# that it states for a change.
CONNECTED_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0


@pytest.fixture
def group_class(relayed_group_class):
    return relayed_group_class


class Soak:
    """A group with followers, whose versions are recorded as they are applied."""

    def __init__(self, group, seed: int) -> None:
        self.group = group
        self.rng = random.Random(seed)
        self.followers = [
            group.relay_follower(f"entry-{n}", HEARTBEAT_SECONDS) for n in range(FOLLOWERS)
        ]
        self.version = 0
        self.acknowledged = 0

    def publish(self) -> None:
        """Publish the next version at any member, as often as it takes."""
        self.version += self.rng.randint(1, 3)
        document = RelayDocument(self.version, str(self.version).encode())
        while True:
            role = self.rng.choice(list(self.group.role_by_name.values()))
            try:
                role.relay.publish(document)
            except NoLeaderError:
                continue
            self.acknowledged = max(self.acknowledged, self.version)
            return

    def publish_at_once(self) -> None:
        """Publish two documents of one version and an older one at the same time."""
        older = self.version
        threads = [eventlet.spawn(self.publish) for _ in range(2)]
        for thread in threads:
            thread.wait()
        if older:
            role = next(iter(self.group.role_by_name.values()))
            try:
                held = role.relay.publish(RelayDocument(older, b"older")).version
            except NoLeaderError:
                return
            assert held >= self.acknowledged

    def silence_all(self) -> None:
        self.group.silence()

    def silence_one(self) -> None:
        self.rng.choice(list(self.group.relay_by_name.values())).silence()

    def silence_one_way(self) -> None:
        self.rng.choice(list(self.group.relay_by_name.values())).silence(
            forth=self.rng.random() < 0.5, back=False
        )

    def reset_one(self) -> None:
        self.rng.choice(list(self.group.relay_by_name.values())).reset()

    def restart_one(self) -> None:
        name = self.rng.choice(NAMES)
        self.group.stop(name)
        self.group.start(name)

    def wait_until_in_force(self) -> None:
        with eventlet.Timeout(CONNECTED_SECONDS + IN_FORCE_SECONDS):
            while any(one.relay_version < self.acknowledged for one in self.followers):
                eventlet.sleep(0.01)


@pytest.mark.parametrize("seed", SEEDS)
def test_changes_are_in_force_and_never_older_again_while_links_fail(start_group, seed):
    # Guards against changes that are late, lost or older again after faults that overlap.
    soak = Soak(start_group(*NAMES), seed)
    held: dict[int, list[int]] = {number: [0] for number in range(FOLLOWERS)}

    def watch() -> None:
        while True:
            for number, follower in enumerate(soak.followers):
                if held[number][-1] != follower.relay_version:
                    held[number].append(follower.relay_version)
            eventlet.sleep(0.002)

    watcher = eventlet.spawn(watch)
    soak.publish()
    faults = [
        soak.silence_all,
        soak.silence_one,
        soak.silence_one_way,
        soak.reset_one,
        soak.restart_one,
    ]
    for _ in range(STEPS):
        soak.rng.choice(faults)()
        eventlet.sleep(soak.rng.choice([0.0, 0.0, 0.1, 0.5]))
        soak.rng.choice([soak.publish, soak.publish, soak.publish_at_once])()
        if soak.rng.random() < 0.4:
            soak.wait_until_in_force()
    soak.wait_until_in_force()
    watcher.kill()
    for versions in held.values():
        assert versions == sorted(versions)
    document = RelayDocument(soak.acknowledged, str(soak.acknowledged).encode())
    assert all(one.relay == document for one in soak.followers)
    role = next(iter(soak.group.role_by_name.values()))
    assert role.relay.document_in_force().document == document
