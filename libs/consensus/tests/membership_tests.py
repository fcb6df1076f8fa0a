"""Members that join, leave, are replaced or lost their folder, with failures at the same time."""

from __future__ import annotations

from dataclasses import replace

import pytest
from consensus_cluster import SMALL, Cluster, carries_entries
from tarragonhall_consensus import ChangeMember, Member, limits_for_election_timeout
from tarragonhall_consensus._messages import AppendReply

ODD = replace(SMALL, max_voters=3, unresponsive_seconds=1.0)


def test_second_member_lost_right_after_a_repair():
    """A member's disk is replaced, and right after the repair another member dies.

    The replaced member must have all entries by then; otherwise changes are lost, or none is
    accepted until it has caught up.
    """
    cluster = Cluster(3)
    for number in range(40):
        cluster.commit(b"%d" % number)
    lost, second = cluster.followers()
    cluster.wipe(lost)
    token = cluster.replace(lost)
    cluster.run_until(lambda: cluster.outcome(token))
    assert cluster.outcome(token) == "done"
    cluster.kill(second, wipe=True)
    cluster.commit(b"after")
    cluster.kill(cluster.leader())
    cluster.run(5)
    for member_id, node in cluster.node_by_id.items():
        if node.replica is None and member_id != second:
            cluster.start(member_id)
    cluster.commit(b"with two")
    cluster.check_convergence()


@pytest.mark.parametrize("link", ["dead", "drops entries"])
def test_a_learner_does_not_vote_before_it_has_caught_up(link):
    """A member with a bad link is added, and then another member is lost.

    If the new member voted at once, no majority would be left and every change would hang.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.add_node("m9")
    if link == "dead":
        cluster.cut(list(cluster.node_by_id), "m9")
    cluster.is_dropped = lambda target, message: target == "m9" and carries_entries(message)
    token = cluster.change(member=Member("m9", "", "a9"))
    cluster.run(3)
    assert cluster.outcome(token) == ""
    cluster.kill(next(member_id for member_id in cluster.followers() if member_id != "m9"))
    cluster.commit(b"b")
    cluster.heal()
    cluster.run_until(lambda: cluster.outcome(token) == "done")
    cluster.check_convergence()


def test_wiped_folder_does_not_vote_under_its_old_identity():
    """A change is accepted by two of three members; one dies, and the other loses its folder.

    The wiped member and the third, which never received the change, would form a majority without
    it: an accepted change would be lost.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    holder, behind = cluster.followers()
    cluster.isolate(behind)
    cluster.commit(b"accepted")
    cluster.kill(leader)
    cluster.wipe(holder)
    cluster.heal()
    cluster.run(30)
    assert cluster.leader() is None
    assert cluster.node_by_id[holder].replica.status().role == "outside"
    cluster.start(leader)
    cluster.check_convergence()
    token = cluster.replace(holder)
    cluster.run_until(lambda: cluster.outcome(token) == "done")
    cluster.check_convergence()


def test_wiped_member_does_not_count_for_commits():
    """One of three members is isolated, and another loses its folder and restarts.

    The leader must not count the wiped one as the former member: a change would be acknowledged as
    stored on two disks, of which one belongs to a member that may have voted for another leader.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    away, wiped = cluster.followers()
    leader = cluster.leader()
    cluster.isolate(away)
    cluster.wipe(wiped)
    token = cluster.propose(b"b", leader)
    cluster.run(5)
    assert cluster.outcome(token) == "lost"
    cluster.check_convergence()


def test_status_shows_unresponsive_and_wiped_members():
    """Operators find the member to replace in the status."""
    cluster = Cluster(3)
    cluster.commit(b"a")
    unresponsive, wiped = cluster.followers()
    cluster.kill(unresponsive)
    cluster.wipe(wiped)
    cluster.run(0.9)
    status = cluster.node_by_id[cluster.leader() or "m0"].replica.status()
    identity = cluster.node_by_id[wiped].replica.status().identity
    assert status.peer_by_id[wiped].other_identity == identity
    assert status.peer_by_id[unresponsive].other_identity == ""
    assert status.peer_by_id[unresponsive].seconds_since_contact >= 0.85


def test_wiped_initial_member_bootstraps_no_second_group():
    """The member that bootstrapped the group loses its folder and restarts with the same settings.

    It must not bootstrap a second group: some callers would reach an empty one.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.wipe("m0")
    cluster.run(10)
    assert cluster.node_by_id["m0"].replica.status().role == "outside"
    cluster.check_convergence()


def test_removed_member_cannot_lead_or_depose_the_leader():
    """A member is removed while it is isolated, and returns without knowing of its removal.

    It must neither lead nor depose the leader; users would see pauses, or a stale state.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    leader = cluster.leader()
    removed, remaining = cluster.followers()
    cluster.isolate(removed)
    token = cluster.change(member=Member(removed, "", ""), remove=True)
    cluster.run_until(lambda: cluster.outcome(token) == "done")
    cluster.commit(b"b")
    cluster.heal()
    cluster.run(10)
    assert cluster.leader() == leader
    cluster.kill(leader)
    cluster.run(10)
    assert cluster.leader() is None
    cluster.start(leader)
    assert cluster.await_leader() in (leader, remaining)
    assert len(cluster.node_by_id[leader].replica.status().members) == 2


def test_a_leader_that_removes_itself_hands_over():
    cluster = Cluster(3)
    old = cluster.await_leader()
    token = cluster.change(member=Member(old, "", ""), remove=True)
    cluster.run_until(lambda: cluster.outcome(token) == "done")
    assert cluster.await_leader() != old
    cluster.commit(b"a")


def test_no_member_change_before_the_first_commit_of_a_term():
    """Two leaders in turn each start a member change that the other has not received.

    Their majorities need not overlap: both could commit, and changes would be lost.
    """
    cluster = Cluster(3)
    cluster.kill(cluster.await_leader())
    cluster.jitter = 0.4
    leading = []
    while not leading:
        cluster.run(0.05)
        for member_id, node in cluster.node_by_id.items():
            if node.replica is not None and node.replica.status().role == "leader":
                leading.append(member_id)
    assert not cluster.node_by_id[leading[0]].replica.is_leader(cluster.now)
    change = ChangeMember(77, Member("m9", "", "a"))
    cluster.step(leading[0], change)
    assert cluster.outcome(77) == "refused"


def _voters(cluster):
    status = cluster.node_by_id[cluster.await_leader()].replica.status()
    return [member.member_id for member in status.members if member.voting]


def _add(cluster, member_id):
    cluster.add_node(member_id)
    cluster.change(member=Member(member_id, "", f"a{member_id}"))
    cluster.run(3)


def test_four_members_that_are_cut_in_two_halves_still_have_a_leader():
    """Four control members are partitioned into two halves for some seconds.

    With four voters neither half would have a majority of three: no owner of a rate would be
    confirmed, and every call of every organisation would be rejected until the partition ends.
    """
    cluster = Cluster(3, limits=ODD)
    cluster.commit(b"a")
    _add(cluster, "m9")
    first = [cluster.await_leader(), "m9"]
    second = [member_id for member_id in cluster.node_by_id if member_id not in first]
    cluster.cut(first, second, both=True)
    cluster.run(6)
    # The half with the learner has one of three votes, the other has two.
    assert cluster.leader() in second
    cluster.commit(b"b")
    cluster.heal()
    cluster.check_convergence()


def test_a_learner_votes_once_a_voter_is_lost():
    """One of three voters dies permanently while a learner holds the log.

    If the learner were not promoted, the next loss would end the group.
    """
    cluster = Cluster(3, limits=ODD)
    cluster.commit(b"a")
    _add(cluster, "m9")
    assert len(_voters(cluster)) == 3 and "m9" not in _voters(cluster)
    dead, second = [one for one in cluster.followers() if one != "m9"]
    cluster.kill(dead, wipe=True)
    cluster.run(5)
    assert "m9" in _voters(cluster)
    token = cluster.change(member=Member(dead, "", f"a{dead}"), remove=True)
    cluster.run_until(lambda: cluster.outcome(token) == "done")
    cluster.kill(second)
    cluster.commit(b"b")


@pytest.mark.parametrize(("seed", "leads"), [(1, "down"), (0, "third")])
def test_a_voter_lost_before_an_election_is_replaced_soon_after_it(seed, leads):
    """A machine is gone for good; before its successor votes, a second one is down for seconds.

    The new leader asked the lost one in vain before its election. If it waits as long again, the
    next lost disk leaves no majority, although the successor has every entry.
    """
    replacement_s = 1.5
    limits = replace(limits_for_election_timeout(0.45), max_voters=3)
    cluster = Cluster(3, seed, limits)
    cluster.commit(b"a")
    lost, down = cluster.followers()
    expected_leader = {"down": down, "third": cluster.leader()}[leads]
    cluster.kill(lost)
    cluster.add_node("m9")
    cluster.change(member=Member("m9", "", "a9"))
    cluster.run(0.5)
    cluster.kill(down)
    cluster.run(5.0)
    cluster.start(down, loading_s=2.4)
    cluster.run(replacement_s)
    assert cluster.await_leader() == expected_leader
    members = cluster.node_by_id[expected_leader].replica.status().members
    assert "m9" in {member.member_id for member in members if member.voting}


def test_a_new_leader_promotes_no_learner_before_it_has_committed_an_entry():
    """Two leaders in turn that each change the list first may end with separate majorities.

    Both then commit, and accepted changes of one are lost. A change on request is refused until
    then; the promotion of a learner was not.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.add_node("m9")
    cluster.is_dropped = lambda target, message: target == "m9" and carries_entries(message)
    cluster.change(member=Member("m9", "", "a9"))
    cluster.run(0.5)
    voters = [member_id for member_id in cluster.followers() if member_id != "m9"]
    identities = {cluster.node_by_id[one].replica.status().identity for one in voters}
    cluster.kill(cluster.leader())

    def is_dropped(target, message):
        sender = message.envelope.from_identity
        return target in voters and isinstance(message, AppendReply) and sender in identities

    cluster.is_dropped = is_dropped
    cluster.run(4)
    for one in voters:
        members = cluster.node_by_id[one].replica.status().members
        assert "m9" not in {member.member_id for member in members if member.voting}
