"""Failures that a group of members must survive, one by one."""

from __future__ import annotations

import pytest
from consensus_cluster import Cluster, carries_entries
from tarragonhall_consensus import Member, Received, Tick
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


def test_lost_entries_are_sent_again_while_heartbeats_are_answered():
    """One message with a change is lost on the way to one member, and then callers are quiet.

    That member goes on answering heartbeats. Users who ask it would not see the change until
    somebody makes another one.
    """
    cluster = Cluster(3)
    cluster.await_leader()
    cluster.run(1)
    missing = cluster.followers()[0]
    cluster.is_dropped = lambda target, message: target == missing and carries_entries(message)
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


def test_messages_of_other_kinds_are_passed_over():
    """A newer member, or one that has gone wrong, sends what this program does not know."""
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.give(cluster.leader(), Received("m1", Member("x", "", "")), Received("m1", None))
    cluster.settle()


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
