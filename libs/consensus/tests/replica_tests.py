"""Failures that a group of members must survive, one by one."""

from __future__ import annotations

import pytest
from consensus_cluster import Cluster
from tarragonhall_consensus import Member


@pytest.mark.parametrize("count", [3, 5])
def test_members_found_a_group_elect_a_leader_and_commit(count):
    cluster = Cluster(count)
    for number in range(60):
        cluster.commit(b"%d" % number)
    cluster.settle()
    assert len(cluster.leader_by_term) == 1


def test_one_way_cut_of_the_leader():
    """The leader is heard by all and hears nobody, for a minute.

    Nobody stands against it, since its heartbeats arrive. Users would see every change hang until
    the cut is mended.
    """
    cluster = Cluster(3)
    old = cluster.await_leader()
    cluster.commit(b"before")
    cluster.cut(cluster.followers(), old)
    hanging = cluster.propose(b"hanging", old)
    new = cluster.await_leader(without=old)
    assert cluster.ended(hanging) == "lost"
    cluster.commit(b"during")
    cluster.run(60)
    assert cluster.leader() == new
    cluster.settle()


def test_full_cut_of_the_leader():
    """The leader's network card dies and comes back after a minute.

    It must not answer a read in between: users would see a state that others have changed.
    """
    cluster = Cluster(3)
    old = cluster.await_leader()
    cluster.isolate(old)
    early = cluster.read(old)
    cluster.run(0.3)
    cluster.await_leader(without=old)
    cluster.commit(b"new")
    late = cluster.read(old)
    cluster.run(60)
    assert [cluster.ended(early), cluster.ended(late)] == ["lost", "lost"]
    term = max(cluster.leader_by_term)
    cluster.settle()
    assert max(cluster.leader_by_term) == term


def test_a_returning_member_does_not_depose_the_leader():
    """A member hears nobody for a minute and then everybody again.

    If it had raised its term all the while, its return would end the lead of one that serves well;
    users would see a pause in every such case.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    away = cluster.followers()[0]
    cluster.cut([leader, *cluster.followers()], away)
    cluster.run(60)
    cluster.heal()
    cluster.run(5)
    assert cluster.leader() == leader
    assert len(cluster.leader_by_term) == 1


def test_paused_leader_with_an_expired_lease_does_not_answer_a_read():
    """The leader's machine freezes for some seconds, and another takes over and accepts changes.

    When it wakes it still believes that it leads. Users who ask it would be shown settings that
    have been changed since.
    """
    cluster = Cluster(3)
    old = cluster.await_leader()
    cluster.pause(old, 10)
    cluster.run(0.1)
    asked = cluster.read(cluster.await_leader(without=old))
    cluster.commit(b"new")
    assert cluster.ended(asked) == "done"
    cluster.node_by_id[old].paused_until = 0
    assert not cluster.node_by_id[old].replica.is_leader(cluster.now)
    late = cluster.read(old)
    assert cluster.ended(late) == "lost"


def test_second_member_lost_right_after_a_repair():
    """A member's disk is replaced, and right after the repair another member dies.

    The repaired one must hold everything by then: users would lose changes, or see none accepted
    until it has caught up.
    """
    cluster = Cluster(3)
    for number in range(40):
        cluster.commit(b"%d" % number)
    lost, second = cluster.followers()
    cluster.wipe(lost)
    token = cluster.replace(lost)
    cluster.run_until(lambda: cluster.ended(token))
    assert cluster.ended(token) == "done"
    cluster.kill(second, wipe=True)
    cluster.commit(b"after")
    cluster.kill(cluster.leader())
    cluster.run(5)
    for member_id, node in cluster.node_by_id.items():
        if node.replica is None and member_id != second:
            cluster.start(member_id)
    cluster.commit(b"with two")
    cluster.settle()


def test_a_learner_does_not_vote_before_it_has_caught_up():
    """A new member is added whose link is dead, and then another member is lost.

    If the new one voted at once, no majority would be left and every change would hang.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.add_node("m9")
    cluster.cut(list(cluster.node_by_id), "m9")
    token = cluster.change(member=Member("m9", "", "a9"))
    cluster.run(3)
    assert cluster.ended(token) == ""
    cluster.kill(cluster.followers()[0])
    cluster.commit(b"b")
    cluster.heal()
    cluster.run_until(lambda: cluster.ended(token) == "done")
    cluster.settle()


def test_return_after_hundreds_of_changes():
    """A member is down while hundreds of changes are made and the log is compacted.

    It gets a snapshot in parts, while its disk works and changes go on. Users who ask it
    afterwards must see the newest state.
    """
    cluster = Cluster(3)
    cluster.commit(b"first")
    away = cluster.followers()[0]
    cluster.kill(away)
    for number in range(300):
        cluster.commit(b"%d" % number)
    cluster.start(away)
    cluster.loss, cluster.duplicates, cluster.jitter = 0.2, 0.2, 0.2
    cluster.run(10)
    cluster.settle()
    assert any(type(message).__name__ == "SnapshotChunk" for _, _, message in cluster.sent)
    assert len(cluster.node_by_id[away].machine.entries) == 302


def test_wiped_folder_does_not_vote_under_its_old_identity():
    """A change is accepted by two of three members; one dies, and the other loses its folder.

    With the third, which never heard of the change, the emptied member would make a majority that
    has lost the change. Users would see it accepted and then gone.
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
    cluster.settle()
    token = cluster.replace(holder)
    cluster.run_until(lambda: cluster.ended(token) == "done")
    cluster.settle()


def test_wiped_founder_founds_no_second_group():
    """The member that founded the group loses its folder and starts with its old settings.

    It must not found the group once more: some callers would talk to an empty one.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.wipe("m0")
    cluster.run(10)
    assert cluster.node_by_id["m0"].replica.status().role == "outside"
    cluster.settle()


def test_removed_member_cannot_disturb():
    """A member is removed while it is cut off, and comes back believing that it belongs.

    It must neither lead nor depose the leader; users would see pauses, or an old state.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    leader = cluster.leader()
    removed, kept = cluster.followers()
    cluster.isolate(removed)
    token = cluster.change(member=Member(removed, "", ""), remove=True)
    cluster.run_until(lambda: cluster.ended(token) == "done")
    cluster.commit(b"b")
    cluster.heal()
    cluster.run(10)
    assert cluster.leader() == leader
    cluster.kill(leader)
    cluster.run(10)
    assert cluster.leader() is None
    cluster.start(leader)
    assert cluster.await_leader() in (leader, kept)
    assert len(cluster.node_by_id[leader].replica.status().members) == 2


def test_a_leader_that_removes_itself_hands_over():
    cluster = Cluster(3)
    old = cluster.await_leader()
    token = cluster.change(member=Member(old, "", ""), remove=True)
    cluster.run_until(lambda: cluster.ended(token) == "done")
    assert cluster.await_leader() != old
    cluster.commit(b"a")


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """A leader of five comes back and copies its old, uncommitted entry to a majority.

    Another member with a later term may still overwrite that entry. If it had been counted as
    committed, users would lose a change that they were told was accepted.
    """
    cluster = Cluster(5)
    first = cluster.await_leader()
    a, b, c, d = cluster.followers()
    cluster.cut(first, [b, c, d])
    cluster.propose(b"old", first)
    cluster.run(0.1)
    old_index = cluster.node_by_id[a].replica.status().last_index
    core = cluster.node_by_id[first].replica._core
    core.follow(core.term + 1, None)
    core.follow(core.term + 1, None)
    leadership = _lead_without_noop(core)
    for voter in core.membership.voters():
        if voter.member_id in (a, b):
            progress = leadership._replication._progress_by_id[voter.member_id]
            progress.match_index = old_index
    leadership.advance_commit()
    assert core.commit_index < old_index


def _lead_without_noop(core):
    from tarragonhall_consensus._leadership import Leadership

    leadership = Leadership(core)
    core.storage.log.truncate_from(core.storage.log.last_index)
    return leadership


def test_a_proposal_without_majority_is_bounded():
    """A leader that has just lost its majority is flooded by callers.

    It must refuse at some point instead of filling its memory, and the refusal must be true.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.isolate(leader)
    tokens = [cluster.propose(bytes(1 << 20), leader) for _ in range(12)]
    assert cluster.ended(tokens[0]) == ""
    assert cluster.ended(tokens[-1]) == "refused"
