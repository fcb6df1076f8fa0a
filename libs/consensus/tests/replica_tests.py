"""Failures of members and links that a group must survive."""

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
def test_members_bootstrap_a_group_elect_a_leader_and_commit(count):
    cluster = Cluster(count)
    for number in range(60):
        cluster.commit(b"%d" % number)
    cluster.check_convergence()
    assert len(cluster.leader_by_term) == 1


def test_a_proposal_takes_four_messages_until_it_is_answered():
    """No separate message reports the commit to each member.

    Such messages would be half of all messages: members on slow links would fall behind, and users
    would wait longer for every change.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.commit(b"before")
    cluster.run(1)
    # Exclude heartbeats in flight and the replies to them.
    cluster.deliver()
    cluster.sent.clear()
    token = cluster.propose(b"one", leader)
    cluster.deliver()
    assert cluster.outcome(token) == "done"
    kinds = [(source == leader, type(message)) for source, _, message in cluster.sent]
    expected = [(True, AppendRequest)] * 2 + [(False, AppendReply)] * 2
    assert kinds == expected


def test_one_way_cut_of_the_leader():
    """For a minute the leader's messages arrive, but all replies to it are lost.

    Its heartbeats prevent an election. Unless it steps down, every change hangs until the
    partition ends.
    """
    cluster = Cluster(3)
    old = cluster.await_leader()
    cluster.commit(b"before")
    cluster.cut(cluster.followers(), old)
    hanging = cluster.propose(b"hanging", old)
    new = cluster.await_leader(without=old)
    assert cluster.outcome(hanging) == "lost"
    cluster.commit(b"during")
    cluster.run(60)
    assert cluster.leader() == new
    cluster.check_convergence()


def test_diverged_logs_converge():
    """A leader is isolated with a change that nobody else has, and two other leaders follow.

    Its change was never accepted. If it remained in this member's log, the member would later
    serve a state that never existed.
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
    cluster.check_convergence()


def test_full_cut_of_the_leader():
    """The leader's network fails for a minute.

    It must not confirm a read in that time: users would see a state that others have changed.
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
    assert [cluster.outcome(early), cluster.outcome(late)] == ["lost", "lost"]
    term = max(cluster.leader_by_term)
    cluster.check_convergence()
    assert max(cluster.leader_by_term) == term


def test_a_returning_member_does_not_depose_the_leader():
    """A member receives no messages for a minute and then all messages again.

    If it had raised its term in that time, its return would depose a healthy leader, and users
    would see a pause each time.
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
    """The leader's machine pauses for some seconds, and another leader accepts changes.

    On resuming it still has the leader role. Reads confirmed by it would return settings that have
    been changed since.
    """
    cluster = Cluster(3)
    old = cluster.await_leader()
    cluster.pause(old, 10)
    cluster.run(0.1)
    read_token = cluster.read(cluster.await_leader(without=old))
    cluster.commit(b"new")
    assert cluster.outcome(read_token) == "done"
    cluster.node_by_id[old].paused_until = 0
    assert not cluster.node_by_id[old].replica.is_leader(cluster.now)
    late = cluster.read(old)
    assert cluster.outcome(late) == "lost"


def test_lost_entries_are_sent_again_while_heartbeats_are_answered():
    """A message with an entry is lost on its way to one member, and no further change follows.

    The member continues to answer heartbeats. If that counted as progress, it would not receive
    the entry until the next change.
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

    It receives a snapshot in parts over a bad network and must then have the newest state.
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
    cluster.check_convergence()
    assert any(type(message).__name__ == "SnapshotChunk" for _, _, message in cluster.sent)
    assert len(cluster.node_by_id[away].machine.entries) == 302


def test_messages_of_unknown_kinds_are_ignored():
    """A newer or faulty member sends messages that this version does not know."""
    cluster = Cluster(3)
    cluster.commit(b"a")
    cluster.step(cluster.leader(), Received("m1", Member("x", "", "")), Received("m1", None))
    cluster.check_convergence()


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """A leader loses an election, wins a later one, and its old entry reaches a majority.

    A leader whose last entry has a later term may still overwrite that entry. If it counted as
    committed, an acknowledged change would be lost.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.isolate(leader)
    cluster.propose(b"old", leader)
    core = cluster.node_by_id[leader].replica._core
    old_index = core.storage.log.last_index
    core.become_follower(core.term + 1, None)
    core.become_leader(Leadership(core))
    for peer in cluster.followers():
        if peer != leader:
            core.leadership._replication._progress_by_id[peer].record_match(old_index)
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
    """A member grants its vote and loses power right after.

    If the vote was not stored, the member could vote again in the same term; two leaders would
    accept changes.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    voter, other = cluster.followers()
    cluster.isolate(voter)
    cluster.run(2.5)
    term = 50
    assert _granted(cluster.step(voter, _vote_request(cluster, other, voter, term))) == [True]
    cluster.kill(voter, power=True)
    cluster.start(voter)
    cluster.run(1.05)
    request = _vote_request(cluster, leader, voter, term)
    assert _granted(cluster.step(voter, request)) == [False]


def test_a_member_that_lacks_committed_entries_is_not_elected():
    """The leader dies, and a member that was isolated until then is the first candidate.

    Elected, it would overwrite committed entries that it lacks; accepted changes would be lost.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    holder, behind = cluster.followers()
    cluster.isolate(behind)
    cluster.commit(b"accepted")
    cluster.kill(leader)
    cluster.heal()
    cluster.node_by_id[holder].replica._core.leader_contact_at = -100.0
    cluster.node_by_id[behind].replica._core.election_at = 0.0
    cluster.run(0.1)
    assert cluster.leader() != behind
    cluster.check_convergence()


def test_a_member_that_alone_misses_the_leader_does_not_depose_it():
    """One link of the leader drops everything; all others work.

    The member behind it starts elections again and again. The leader must not change.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.cut(leader, cluster.followers()[0], both=True)
    cluster.run(30)
    assert cluster.leader() == leader
    assert len(cluster.leader_by_term) == 1


def test_a_restarted_member_does_not_vote_while_the_leader_may_hold_its_lease():
    """A follower answers the leader, restarts at once, and receives a vote request.

    The leader's lease relies on that answer. With a second leader, users would read two different
    states at the same time.
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
    """Replies are delayed, and a read is requested while some are in flight.

    They prove nothing about the time since they were sent; the read could return a stale state.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    node = cluster.node_by_id[leader]
    cluster.now += 0.3
    cluster.step(leader, Tick())
    cluster.pause(leader, 1)
    cluster.deliver()
    late, node.inbox, node.paused_until = node.inbox, [], 0.0
    assert late
    token = cluster.read(leader)
    cluster.step(leader, *late)
    assert cluster.outcome(token) == ""
    cluster.run(0.1)
    assert cluster.outcome(token) == "done"


def test_late_reply_of_a_member_whose_entries_are_compacted():
    """An isolated member answers an old message; the entries that it needs next are compacted.

    The leader must probe for the matching index instead of continuing after an entry that it no
    longer has: such a message has no previous term and would stop the receiver.
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
    cluster.step(leader, Received(late, AppendReply(envelope, 0, True, matched, matched)))
    cluster.check_convergence()


@pytest.mark.parametrize("failure", ["disk full", "sync failed"])
def test_a_leader_whose_disk_fails_stops_and_another_takes_over(failure):
    """The leader's disk fills up, or fails a sync, while callers make changes.

    It must stop with a clear error and acknowledge nothing more; the others continue.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    old = cluster.leader()
    node = cluster.node_by_id[old]
    if failure == "disk full":
        node.disk.free_bytes = 10
    else:
        node.disk.fail_syncs = 1
    token = cluster.propose(b"b", old)
    assert node.replica is None
    assert str(node.failure) == failure
    cluster.await_leader(without=old)
    cluster.commit(b"c")
    assert cluster.outcome(token) == ""
    node.disk.free_bytes = 1 << 30
    cluster.check_convergence()


def test_a_snapshot_for_an_unresponsive_member_is_not_held_in_memory():
    """A member is down permanently after the log was compacted.

    A leader that held a snapshot for it would need twice the memory of the state.
    """
    cluster = Cluster(3)
    cluster.commit(b"a")
    unresponsive = cluster.followers()[0]
    cluster.isolate(unresponsive)
    for number in range(60):
        cluster.commit(b"%d" % number)
    replication = cluster.node_by_id[cluster.leader()].replica._core.leadership._replication
    progress = replication._progress_by_id[unresponsive]
    assert progress.transfer is None
    cluster.heal()
    cluster.is_dropped = lambda target, message: isinstance(message, SnapshotChunk)
    cluster.run(2)
    assert progress.transfer is not None
    cluster.isolate(unresponsive)
    cluster.run(15)
    assert progress.transfer is None
    cluster.check_convergence()


def test_uncommitted_bytes_are_limited():
    """A leader that has just lost its majority receives many proposals.

    It must reject them beyond a limit instead of filling its memory, and not log the rejected ones.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    cluster.isolate(leader)
    tokens = [cluster.propose(bytes(1 << 20), leader) for _ in range(12)]
    assert cluster.outcome(tokens[0]) == ""
    assert cluster.outcome(tokens[-1]) == "refused"
