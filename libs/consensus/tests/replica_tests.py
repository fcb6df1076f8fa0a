"""Failures that a group of members must survive, one by one."""

from __future__ import annotations

import pytest
from consensus_cluster import Cluster
from tarragonhall_consensus import ChangeMember, Member, Received, Tick
from tarragonhall_consensus._leadership import Leadership
from tarragonhall_consensus._messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)


@pytest.mark.parametrize("count", [3, 5])
def test_members_found_a_group_elect_a_leader_and_commit(count):
    cluster = Cluster(count)
    for number in range(60):
        cluster.commit(b"%d" % number)
    cluster.settle()
    assert len(cluster.leader_by_term) == 1


def test_a_proposal_takes_four_messages_until_it_is_answered():
    """A further message to each member at each commit once made half of all traffic.

    Members on slow links would fall behind, and users would wait longer for every change.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.commit(b"before")
    cluster.run(1)
    # Heartbeats on their way, and the answers to them, are no part of the proposal.
    cluster.deliver()
    cluster.sent.clear()
    token = cluster.propose(b"one", leader)
    cluster.deliver()
    assert cluster.ended(token) == "done"
    kinds = [(source == leader, type(message)) for source, _, message in cluster.sent]
    expected = [(True, AppendRequest)] * 2 + [(False, AppendReply)] * 2
    assert kinds == expected


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


def test_logs_that_have_parted_are_made_one():
    """A leader is cut off with a change that nobody else has, and two others lead after it.

    Its change was never accepted. If it stayed in the middle of its log, users who ask this
    member later would be shown a state that never was.
    """
    cluster = Cluster(5)
    old = cluster.await_leader()
    cluster.isolate(old)
    cluster.propose(b"hanging", old)
    second = cluster.await_leader(without=old)
    for number in range(3):
        cluster.commit(b"%d" % number)
    cluster.kill(second)
    cluster.await_leader()
    cluster.heal()
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


def _carries_entries(message):
    return bool(getattr(message, "entries", ())) or isinstance(message, SnapshotChunk)


@pytest.mark.parametrize("link", ["dead", "too thin for entries"])
def test_a_learner_does_not_vote_before_it_has_caught_up(link):
    """A new member is added whose link is bad, and then another member is lost.

    If the new one voted at once, no majority would be left and every change would hang.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.add_node("m9")
    if link == "dead":
        cluster.cut(list(cluster.node_by_id), "m9")
    cluster.is_dropped = lambda target, message: target == "m9" and _carries_entries(message)
    token = cluster.change(member=Member("m9", "", "a9"))
    cluster.run(3)
    assert cluster.ended(token) == ""
    cluster.kill(next(member_id for member_id in cluster.followers() if member_id != "m9"))
    cluster.commit(b"b")
    cluster.heal()
    cluster.run_until(lambda: cluster.ended(token) == "done")
    cluster.settle()


def test_lost_entries_are_sent_again_while_heartbeats_are_answered():
    """One message with a change is lost on the way to one member, and then callers are quiet.

    That member goes on answering heartbeats. Users who ask it would not see the change until
    somebody makes another one.
    """
    cluster = Cluster(3)
    cluster.await_leader()
    cluster.run(1)
    missing = cluster.followers()[0]
    cluster.is_dropped = lambda target, message: target == missing and _carries_entries(message)
    cluster.commit(b"a")
    cluster.heal()
    cluster.run(2)
    assert cluster.node_by_id[missing].machine.entries == [b"a"]


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


def test_wiped_member_does_not_count_for_commits():
    """One of three members is cut off and another one loses its folder and starts again.

    The leader must not count the emptied one in place of what it was: users would be told that a
    change is safe on two disks, of which one may have promised itself to another leader before.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    away, emptied = cluster.followers()
    leader = cluster.leader()
    cluster.isolate(away)
    cluster.wipe(emptied)
    token = cluster.propose(b"b", leader)
    cluster.run(5)
    assert cluster.ended(token) == "lost"
    cluster.settle()


def test_status_tells_which_member_is_behind_silent_or_emptied():
    """Operators look for the member that has to be replaced."""
    cluster = Cluster(3)
    cluster.commit(b"a")
    silent, emptied = cluster.followers()
    cluster.kill(silent)
    cluster.wipe(emptied)
    cluster.run(0.9)
    status = cluster.node_by_id[cluster.leader() or "m0"].replica.status()
    identity = cluster.node_by_id[emptied].replica.status().identity
    assert status.peer_by_id[emptied].other_identity == identity
    assert status.peer_by_id[silent].other_identity == ""
    assert status.peer_by_id[silent].silent_seconds >= 0.85


def test_messages_of_other_kinds_are_passed_over():
    """A newer member, or one that has gone wrong, sends what this program does not know."""
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.give(cluster.leader(), Received("m1", Member("x", "", "")), Received("m1", None))
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
    """A leader loses the lead, wins it again, and its old entry reaches a majority.

    Another member with a later term may still overwrite that entry. If it had been counted as
    committed, users would lose a change that they were told was accepted.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.isolate(leader)
    cluster.propose(b"old", leader)
    core = cluster.node_by_id[leader].replica._core
    old_index = core.storage.log.last_index
    core.follow(core.term + 1, None)
    core.lead(Leadership(core))
    for peer in cluster.followers():
        if peer != leader:
            core.leadership._replication._progress_by_id[peer].accept(old_index)
    core.leadership.advance_commit()
    assert core.commit_index < old_index


def _vote_request(cluster, candidate, voter, for_term, pre=False):
    """Return the request of a candidate whose log is as long as the voter's."""
    core = cluster.node_by_id[candidate].replica._core
    log = cluster.node_by_id[voter].replica._core.storage.log
    identity = cluster.node_by_id[voter].replica.status().identity
    envelope = Envelope(core.group, core.identity, identity, for_term)
    request = VoteRequest(envelope, pre, for_term, log.last_index, log.last_term)
    return Received(candidate, request)


def _granted(outputs):
    replies = [getattr(output, "message", None) for output in outputs]
    return [reply.granted for reply in replies if isinstance(reply, VoteReply)]


def test_a_vote_survives_a_power_cut():
    """A member gives its vote, and its power goes right after.

    If it had forgotten the vote it could give a second one in the same term; two leaders would
    each accept changes.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    voter, other = cluster.followers()
    cluster.isolate(voter)
    cluster.run(2.5)
    term = 50
    assert _granted(cluster.give(voter, _vote_request(cluster, other, voter, term))) == [True]
    cluster.kill(voter, power=True)
    cluster.start(voter)
    cluster.run(1.05)
    request = _vote_request(cluster, leader, voter, term)
    assert _granted(cluster.give(voter, request)) == [False]


def test_a_member_that_lacks_committed_entries_is_not_elected():
    """The leader dies, and the member that was cut off until now is the first to stand.

    Elected, it would overwrite what it never heard of; users would lose accepted changes.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    holder, behind = cluster.followers()
    cluster.isolate(behind)
    cluster.commit(b"accepted")
    cluster.kill(leader)
    cluster.heal()
    cluster.node_by_id[holder].replica._core.heard_at = -100.0
    cluster.node_by_id[behind].replica._core.election_at = 0.0
    cluster.run(0.1)
    assert cluster.leader() != behind
    cluster.settle()


def test_a_member_that_alone_misses_the_leader_does_not_depose_it():
    """One link of the leader drops everything; all others work.

    The member behind it stands for election again and again. Users would see the lead wander.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.cut(leader, cluster.followers()[0], both=True)
    cluster.run(30)
    assert cluster.leader() == leader
    assert len(cluster.leader_by_term) == 1


def test_a_restarted_member_keeps_its_silence_towards_the_leader():
    """A follower answers the leader, restarts in a moment, and is asked for its vote.

    The leader counts on that answer for its lease. With a second leader beside it, users would
    be told two different things at one time.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    voter, candidate = cluster.followers()
    cluster.cut(leader, candidate, both=True)
    cluster.run(3)
    assert cluster.leader() == leader
    cluster.isolate(leader)
    cluster.kill(voter)
    cluster.start(voter)
    cluster.node_by_id[candidate].replica._core.election_at = 0.0
    cluster.run(0.5)
    assert cluster.leader() == leader
    cluster.await_leader(without=leader)


def test_a_read_is_not_confirmed_by_an_answer_to_an_older_message():
    """Answers are slow, and a read is asked while some are on their way.

    They tell nothing of the time after they left; users could be shown an old state.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    node = cluster.node_by_id[leader]
    cluster.now += 0.3
    cluster.give(leader, Tick())
    cluster.pause(leader, 1)
    cluster.deliver()
    late, node.inbox, node.paused_until = node.inbox, [], 0.0
    assert late
    token = cluster.read(leader)
    cluster.give(leader, *late)
    assert cluster.ended(token) == ""
    cluster.run(0.1)
    assert cluster.ended(token) == "done"


def test_no_member_change_before_the_first_commit_of_a_term():
    """Two leaders in turn each begin a member change that the other has not heard of.

    Their majorities need not meet; both could commit, and users would lose changes.
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
    cluster.give(leading[0], change)
    assert cluster.ended(77) == "refused"


def test_late_answer_of_a_member_whose_entries_are_gone():
    """A member answers an old message after a long silence; what it needs next is compacted.

    The leader must look for the place where the logs meet, not send on from an entry that it no
    longer has. It once sent a message without a term, which stopped the member that got it.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    late = cluster.followers()[0]
    cluster.isolate(late)
    for number in range(60):
        cluster.commit(b"%d" % number)
    leader = cluster.leader()
    core = cluster.node_by_id[leader].replica._core
    progress = core.leadership._replication._progress_by_id[late]
    assert progress.match_index < core.storage.log.base_index
    identity = cluster.node_by_id[late].replica.status().identity
    envelope = Envelope(core.group, identity, core.identity, core.term)
    matched = progress.match_index
    cluster.heal()
    cluster.give(leader, Received(late, AppendReply(envelope, 0, True, matched, matched)))
    cluster.settle()


@pytest.mark.parametrize("failure", ["disk full", "sync failed"])
def test_a_leader_whose_disk_fails_stops_and_another_takes_over(failure):
    """The leader's disk fills up, or fails a sync, while callers make changes.

    It must stop with a clear error and promise nothing more; the others go on.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    old = cluster.leader()
    node = cluster.node_by_id[old]
    if failure == "disk full":
        node.disk.room = 10
    else:
        node.disk.fail_syncs = 1
    token = cluster.propose(b"b", old)
    assert node.replica is None
    assert str(node.failure) == failure
    cluster.await_leader(without=old)
    cluster.commit(b"c")
    assert cluster.ended(token) == ""
    node.disk.room = 1 << 30
    cluster.settle()


def test_a_snapshot_for_a_silent_member_is_not_held_in_memory():
    """A member is down for good after the log was compacted.

    A leader that kept a snapshot ready for it would need the memory of its state twice.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    silent = cluster.followers()[0]
    cluster.isolate(silent)
    for number in range(60):
        cluster.commit(b"%d" % number)
    replication = cluster.node_by_id[cluster.leader()].replica._core.leadership._replication
    progress = replication._progress_by_id[silent]
    assert progress.transfer is None
    cluster.heal()
    cluster.is_dropped = lambda target, message: isinstance(message, SnapshotChunk)
    cluster.run(2)
    assert progress.transfer is not None
    cluster.isolate(silent)
    cluster.run(15)
    assert progress.transfer is None
    cluster.settle()


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
