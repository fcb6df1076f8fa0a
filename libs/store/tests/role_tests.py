"""Store members with real links and folders: bootstrap, failover, lost disks, replaced machines."""

from __future__ import annotations

import shutil

import pytest
from store_deployment import Deployment
from tarragonhall_fakes import Disks
from tarragonhall_model import (
    EndTurn,
    FoundStores,
    KeepTurn,
    NotLeader,
    Propose,
    RefusalCode,
    ReserveTurn,
    TurnRecorded,
    TurnReserved,
    UnknownTurn,
)
from tarragonhall_state import TurnRoom

RETENTION_MS = 60_000


def store_turn(deployment, attempt, previous=None):
    command = KeepTurn(
        attempt, "org", "p", previous, b"in " + attempt.encode(), b"out", 5, "i-1", RETENTION_MS
    )
    return deployment.stores_client().propose(command, 8.0)


def reserve_turn(deployment, previous):
    command = ReserveTurn("probe", "org", "p", None, 1, previous, RETENTION_MS)
    return deployment.stores_client().propose(command, 8.0)


@pytest.fixture
def deployment(tmp_path):
    running = Deployment(tmp_path)
    for name in ("s1", "s2", "s3"):
        running.start_store(name)
    running.wait_until(lambda: running.leader() is not None)
    yield running
    running.stop()


def test_three_stores_bootstrap_one_group_and_store_turns(deployment):
    assert store_turn(deployment, "a") == TurnRecorded()
    assert store_turn(deployment, "b", "a") == TurnRecorded()
    assert reserve_turn(deployment, "b") == TurnReserved(["a", "b"], "i-1", 14)
    assert reserve_turn(deployment, "nothing") == UnknownTurn()


def test_turns_survive_the_loss_of_the_leader_and_a_power_cut_of_all_stores(deployment):
    # The leading store dies, and later all stores lose power. A caller that received a complete
    # answer must be able to continue its conversation.
    store_turn(deployment, "a")
    deployment.stop_store(deployment.leader())
    deployment.wait_until(lambda: deployment.leader() is not None)
    store_turn(deployment, "b", "a")
    for name in list(deployment.store_by_name):
        deployment.stop_store(name)
    for name in ("s1", "s2", "s3"):
        deployment.start_store(name)
    deployment.wait_until(lambda: deployment.leader() is not None)
    assert reserve_turn(deployment, "b") == TurnReserved(["a", "b"], "i-1", 14)


def test_a_store_that_lost_its_disk_is_restored_automatically(deployment):
    # A machine restarts with an empty disk. Until it holds all turns again, the loss of another
    # disk would lose turns that were acknowledged as stored.
    store_turn(deployment, "a")
    lost = next(name for name in deployment.store_by_name if name != deployment.leader())
    deployment.stop_store(lost)
    shutil.rmtree(deployment.folder / lost)
    deployment.start_store(lost, first_start=False)
    deployment.wait_until(lambda: ("org", "a") in deployment.store_by_name[lost].state.turn_by_key)
    deployment.wait_until(lambda: deployment.voters() == {"s1", "s2", "s3"})


def test_a_new_machine_replaces_a_lost_one(deployment):
    # A machine is lost permanently and an empty one starts at another address. Then a second one of
    # the first three loses its disk: the stored turns must still be available.
    store_turn(deployment, "a")
    gone = next(name for name in deployment.store_by_name if name != deployment.leader())
    deployment.stop_store(gone)
    deployment.start_store("s4", first_start=False)
    remaining = {"s1", "s2", "s3", "s4"} - {gone}
    deployment.wait_until(lambda: deployment.voters() == remaining, 12.0)
    assert ("org", "a") in deployment.store_by_name["s4"].state.turn_by_key
    wiped = next(name for name in remaining - {"s4"})
    deployment.stop_store(wiped)
    shutil.rmtree(deployment.folder / wiped)
    deployment.wait_until(lambda: deployment.leader() is not None)
    assert reserve_turn(deployment, "a") == TurnReserved(["a"], "i-1", 7)


def _known_stores(control_role):
    return {store.store_id for store in control_role.member.state.view().stores}


def test_a_store_is_retired_only_while_enough_others_stay(deployment):
    # An operator retires a store and destroys its machine once the retirement is reported as done.
    role = deployment.control
    assert type(role.relay.retire("s1")).__name__ == "Refusal"
    assert type(role.relay.retire("unknown")).__name__ == "Refusal"
    store_turn(deployment, "a")
    deployment.start_store("s4", first_start=False)
    deployment.wait_until(lambda: "s4" in _known_stores(role), 12.0)
    # It is a standby: three members suffice for the configured number of losses.
    assert len(deployment.voters()) == 3
    leader = deployment.leader()
    assert not role.relay.retire(leader).done
    deployment.wait_until(lambda: role.relay.retirement_status(leader).done, 12.0)
    deployment.stop_store(leader)
    deployment.wait_until(lambda: deployment.leader() is not None)
    assert leader not in deployment.voters()
    assert "s4" in deployment.voters()
    assert len(deployment.voters()) == 3
    assert reserve_turn(deployment, "a") == TurnReserved(["a"], "i-1", 7)


def test_a_store_that_waits_for_the_bootstrap_replies_that_it_is_not_the_leader(tmp_path):
    # It has just started and does not know the bootstrap members yet. Entries send requests to
    # every store; an error in place of a reply would only flood the logs.
    waiting = Deployment(tmp_path)
    waiting.start_store("s1", first_start=False)
    context = waiting.context_by_name["s1"]
    link = waiting.control.member.context.hub.wait_for_link(context.link_address, 2.0)
    assert link.request(Propose("r-1", EndTurn("a", "org", "p", 0, 1)), 1.0) == NotLeader()
    waiting.stop()


def test_a_first_start_of_a_store_that_was_interrupted_creates_the_group(tmp_path):
    """Settings say only once that a store may create the group; it may be killed before it has.

    The other stores would wait for it for good, and no turn would ever be stored.
    """
    starting = Deployment(tmp_path)
    starting.wait_until(starting.control.member.is_leader)
    starting.control.member.commit(FoundStores(["s1", "s2", "s3"]))
    starting.start_store("s1")
    starting.stop_store("s1")
    starting.start_store("s1", first_start=False)
    starting.start_store("s2")
    starting.start_store("s3")
    starting.wait_until(lambda: starting.leader() is not None)
    assert store_turn(starting, "a") == TurnRecorded()
    starting.stop()


@pytest.fixture
def disks():
    made = Disks()
    made.install()
    yield made
    made.hanging_by_folder.clear()
    made.restore()


def test_a_store_started_on_a_full_disk_takes_part_once_there_is_room(deployment, disks):
    # The store stayed without its member although its process went on. With two of three stores
    # left, the next lost disk could take the only other whole copy of a stored turn.
    store_turn(deployment, "a")
    full = next(name for name in deployment.store_by_name if name != deployment.leader())
    deployment.stop_store(full)
    disks.fill(deployment.folder / full)
    deployment.start_store(full, first_start=False)
    store_turn(deployment, "b", "a")
    disks.repair(deployment.folder / full)
    deployment.wait_until(lambda: ("org", "b") in deployment.store_by_name[full].state.turn_by_key)


def test_a_store_whose_disk_was_full_holds_every_turn_again(deployment, disks):
    # Its member ended at the first write that was refused, and later turns were on two stores only.
    store_turn(deployment, "a")
    full = deployment.leader()
    disks.fill(deployment.folder / full)
    store_turn(deployment, "b", "a")
    disks.repair(deployment.folder / full)
    role = deployment.store_by_name[full]
    deployment.wait_until(lambda: {("org", "a"), ("org", "b")} <= set(role.state.turn_by_key))
    deployment.wait_until(lambda: role.member.loop.failure is None)


def test_a_store_whose_disk_hangs_stops_no_turn_and_catches_up(deployment, disks):
    # Guards against a store that keeps its links up or its lease while its disk hangs, so that
    # entries wait for it, and against one that comes back without the turns stored meanwhile.
    store_turn(deployment, "a")
    hung = deployment.leader()
    role = deployment.store_by_name[hung]
    disks.hang(deployment.folder / hung)
    store_turn(deployment, "b", "a")
    deployment.wait_until(role.member.loop.is_hung)
    assert not role.ready()
    assert not role.member.is_leader()
    store_turn(deployment, "c", "b")
    assert ("org", "c") not in role.state.turn_by_key
    disks.repair(deployment.folder / hung)
    deployment.wait_until(lambda: {("org", one) for one in "abc"} <= set(role.state.turn_by_key))
    deployment.wait_until(role.ready)
    assert reserve_turn(deployment, "c") == TurnReserved(["a", "b", "c"], "i-1", 21)


def test_a_full_store_refuses_turns_and_goes_on(tmp_path):
    # Large turns filled the memory of all stores at once; they ended, and again after each restart.
    room = TurnRoom(200_000)
    running = Deployment(tmp_path, turn_room=room)
    try:
        for name in ("s1", "s2", "s3"):
            running.start_store(name)
        running.wait_until(lambda: running.leader() is not None)
        client = running.stores_client()
        kept = 0
        for number in range(10):
            command = KeepTurn(
                f"t-{number}", "org", "p", None, b"x" * 50_000, b"", 1, "i-1", RETENTION_MS
            )
            result = client.propose(command, 8.0)
            kept += isinstance(result, TurnRecorded)
            assert isinstance(result, TurnRecorded) or result.code is RefusalCode.OVERLOADED
        assert 1 <= kept <= 3
        assert running.store_by_name[running.leader()].state.held_bytes <= room.total_bytes
        small = KeepTurn("small", "other", "p", None, b"in", b"out", 1, "i-1", RETENTION_MS)
        assert client.propose(small, 8.0) == TurnRecorded()
        assert reserve_turn(running, "t-0") == TurnReserved(["t-0"], "i-1", 50_000)
    finally:
        running.stop()
