"""Store members with real links and folders: founding, failover, lost disks, replaced machines."""

from __future__ import annotations

import shutil

import pytest
from store_stand_ins import Deployment
from tarragonhall_model import (
    EndTurn,
    KeepTurn,
    NotLeader,
    Propose,
    ReserveTurn,
    TurnRecorded,
    TurnReserved,
    UnknownTurn,
)

RETENTION_MS = 60_000


def keep(deployment, attempt, previous=None):
    command = KeepTurn(
        attempt, "org", "p", previous, b"in " + attempt.encode(), b"out", 5, "i-1", RETENTION_MS
    )
    return deployment.stores_client().propose(command, 8.0)


def chain(deployment, previous):
    command = ReserveTurn("probe", "org", "p", None, 1, previous, RETENTION_MS)
    return deployment.stores_client().propose(command, 8.0)


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    for name in ("s1", "s2", "s3"):
        made.start_store(name)
    made.until(lambda: made.leader() is not None)
    yield made
    made.stop()


def test_three_stores_found_one_group_and_keep_turns(deployment):
    assert keep(deployment, "a") == TurnRecorded()
    assert keep(deployment, "b", "a") == TurnRecorded()
    assert chain(deployment, "b") == TurnReserved(["a", "b"], "i-1")
    assert chain(deployment, "nothing") == UnknownTurn()


def test_turns_outlive_a_leader_and_a_power_cut_of_all(deployment):
    # The leading store dies, and later all of them lose power. A caller that was told the whole
    # answer continues its conversation.
    keep(deployment, "a")
    deployment.stop_store(deployment.leader())
    deployment.until(lambda: deployment.leader() is not None)
    keep(deployment, "b", "a")
    for name in list(deployment.store_by_name):
        deployment.stop_store(name)
    for name in ("s1", "s2", "s3"):
        deployment.start_store(name)
    deployment.until(lambda: deployment.leader() is not None)
    assert chain(deployment, "b") == TurnReserved(["a", "b"], "i-1")


def test_a_store_that_lost_its_disk_is_filled_again_by_itself(deployment):
    # A machine comes back with an empty disk. Until it holds everything again, the loss of another
    # disk would lose turns that callers were told are kept.
    keep(deployment, "a")
    lost = next(name for name in deployment.store_by_name if name != deployment.leader())
    deployment.stop_store(lost)
    shutil.rmtree(deployment.folder / lost)
    deployment.start_store(lost, first_start=False)
    deployment.until(lambda: "a" in deployment.store_by_name[lost].state.turn_by_id)
    deployment.until(lambda: deployment.voters() == {"s1", "s2", "s3"})


def test_another_machine_takes_the_place_of_one_that_is_gone(deployment):
    # A machine is gone for good; an empty one comes at another address. Then a second one of the
    # first three loses its disk: what was kept is still there.
    keep(deployment, "a")
    gone = next(name for name in deployment.store_by_name if name != deployment.leader())
    deployment.stop_store(gone)
    deployment.start_store("s4", first_start=False)
    staying = {"s1", "s2", "s3", "s4"} - {gone}
    deployment.until(lambda: deployment.voters() == staying, 12.0)
    assert "a" in deployment.store_by_name["s4"].state.turn_by_id
    wiped = next(name for name in staying - {"s4"})
    deployment.stop_store(wiped)
    shutil.rmtree(deployment.folder / wiped)
    deployment.until(lambda: deployment.leader() is not None)
    assert chain(deployment, "a") == TurnReserved(["a"], "i-1")


def _known_stores(control_role):
    return {store.store_id for store in control_role.member.state.view().stores}


def test_a_store_is_retired_only_while_enough_others_stay(deployment):
    # An operator empties a machine. Told that it is done, the operator destroys it.
    role = deployment.control
    assert type(role.relay.retire("s1")).__name__ == "Refusal"
    assert type(role.relay.retire("unknown")).__name__ == "Refusal"
    keep(deployment, "a")
    deployment.start_store("s4", first_start=False)
    deployment.until(lambda: "s4" in _known_stores(role), 12.0)
    # It stands by: three members bear the loss that the deployment is to bear.
    assert len(deployment.voters()) == 3
    leader = deployment.leader()
    assert not role.relay.retire(leader).done
    deployment.until(lambda: role.relay.retirement_status(leader).done, 12.0)
    deployment.stop_store(leader)
    deployment.until(lambda: deployment.leader() is not None)
    assert leader not in deployment.voters()
    assert "s4" in deployment.voters()
    assert len(deployment.voters()) == 3
    assert chain(deployment, "a") == TurnReserved(["a"], "i-1")


def test_a_store_that_waits_for_its_group_says_that_it_does_not_lead(tmp_path):
    # It has just started and does not know yet who founds the group. Entries ask every store; an
    # error in place of an answer would fill the logs and close nothing.
    waiting = Deployment(tmp_path)
    waiting.start_store("s1", first_start=False)
    context = waiting.context_by_name["s1"]
    link = waiting.control.member.context.hub.wait_for(context.link_address, 2.0)
    assert link.request(Propose("r-1", EndTurn("a", "org", "p", 0, 1)), 1.0) == NotLeader()
    waiting.stop()
