"""Groups that lose more data folders at once than leave a majority of the voters."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest
from consensus_cluster import SMALL, Cluster, carries_entries
from tarragonhall_consensus import ChangeMember, Member

TWO_LOSSES = replace(SMALL, max_voters=5, tolerated_losses=2, unresponsive_seconds=1.0)
FOUNDERS = ["m0", "m1", "m2", "m3"]


def _all_found(seed=0):
    """Four members that vote from the start."""
    return Cluster(4, seed, TWO_LOSSES)


def _one_joins(seed=0):
    """Three members that vote, and one that holds each entry without a vote."""
    cluster = Cluster(3, seed, TWO_LOSSES)
    cluster.await_leader()
    cluster.add_node("m3")
    cluster.change(member=Member("m3", "", "a3"))
    cluster.run_until(lambda: len(_identities(cluster)) == 4)
    return cluster


FORMED = pytest.mark.parametrize("form", [_all_found, _one_joins])
LOST_PAIRS = pytest.mark.parametrize("lost", list(itertools.combinations(FOUNDERS, 2)))


def _identities(cluster):
    members = cluster.node_by_id[cluster.await_leader()].replica.status().members
    return {member.identity for member in members if member.identity}


def _replace_wiped(cluster):
    """Replace a member that answers under another identity, as the group's repair does."""
    leader = cluster.leader()
    if leader is None:
        return
    for member_id, peer in cluster.node_by_id[leader].replica.status().peer_by_id.items():
        if peer.other_identity:
            cluster.tokens += 1
            member = Member(member_id, "", f"a{member_id[1:]}", voting=False)
            cluster.step(leader, ChangeMember(cluster.tokens, member, replace=True))
            return


def _all_hold_copies(cluster):
    """Return whether each running member is listed under its identity and up to date."""
    leader = cluster.leader()
    if leader is None:
        return False
    status = cluster.node_by_id[leader].replica.status()
    identity_by_id = {member.member_id: member.identity for member in status.members}
    for member_id, node in cluster.node_by_id.items():
        if node.replica is None:
            return False
        own = node.replica.status()
        if identity_by_id.get(member_id) != own.identity or own.last_index < status.last_index:
            return False
    return status.commit_index == status.last_index


def _recover(cluster, seconds=20.0):
    cluster.restore_all()
    end = cluster.now + seconds
    while not _all_hold_copies(cluster):
        assert cluster.now < end, "the members were not restored in time"
        _replace_wiped(cluster)
        cluster.run(0.25)


@FORMED
@LOST_PAIRS
def test_two_lost_folders_of_four_members_cost_no_acknowledged_entry(form, lost):
    """Two of four members come back with empty folders; the group had no majority any more."""
    cluster = form()
    for number in range(5):
        cluster.commit(b"%d" % number)
    for member_id in lost:
        cluster.kill(member_id, wipe=True)
    cluster.run(1)
    for member_id in lost:
        cluster.start(member_id)
    _recover(cluster)
    cluster.check_convergence()


@FORMED
@LOST_PAIRS
def test_two_lost_folders_while_the_others_lose_power(form, lost):
    """Two of four members lose their folders while the others restart, which know no commit."""
    cluster = form()
    cluster.commit(b"a")
    for member_id in FOUNDERS:
        cluster.kill(member_id, power=True, wipe=member_id in lost)
    cluster.run(1)
    for member_id in FOUNDERS:
        cluster.start(member_id)
    _recover(cluster)
    cluster.check_convergence()


@FORMED
@LOST_PAIRS
@pytest.mark.parametrize("away", [0, 1])
def test_nobody_is_elected_without_each_remaining_folder(form, lost, away):
    """Two folders are lost while one of the other two members is cut off.

    That one may be the only holder of an acknowledged entry. With the help of the empty members,
    the other one would lose it.
    """
    cluster = form()
    cluster.commit(b"a")
    remaining = [member_id for member_id in FOUNDERS if member_id not in lost]
    behind = remaining[1 - away]
    cluster.isolate(behind)
    cluster.run(0.1)
    if cluster.leader() in (None, behind):
        cluster.await_leader(without=behind)
    cluster.commit(b"held by three")
    cluster.heal()
    cluster.isolate(remaining[away])
    for member_id in lost:
        cluster.wipe(member_id)
    cluster.run(10)
    assert cluster.leader() is None
    _recover(cluster)
    cluster.check_convergence()


@FORMED
def test_an_entry_that_two_of_four_members_hold_is_not_acknowledged(form):
    """Both members that hold an entry may lose their folders; two hold the log of each half."""
    cluster = form()
    cluster.commit(b"a")
    leader = cluster.leader()
    follower = next(one for one in cluster.followers() if one != "m3")
    others = [one for one in FOUNDERS if one not in (leader, follower)]
    cluster.cut([leader, follower], others, both=True)
    token = cluster.propose(b"b", leader)
    cluster.run(0.6)
    assert cluster.outcome(token) != "done"
    cluster.heal()
    cluster.check_convergence()


def test_a_learner_that_holds_copies_leaves_the_leader_in_peace():
    """A learner that was cut off must not depose the leader that the voters have."""
    cluster = _one_joins()
    leader = cluster.leader()
    term = cluster.node_by_id[leader].replica.term()
    cluster.isolate("m3")
    cluster.run(10)
    cluster.heal()
    cluster.run(5)
    assert cluster.leader() == leader
    assert cluster.node_by_id[leader].replica.term() == term


def test_a_folder_that_only_the_member_list_says_is_lost_does_not_vote():
    """A member lost its folder and went down; the list that says so still names it as a voter."""
    cluster = _all_found()
    cluster.commit(b"a")
    leader = cluster.leader()
    first, second, third = cluster.followers()
    dead = cluster.node_by_id[first].replica.status().identity
    cluster.wipe(first)
    cluster.run(0.4)
    cluster.change(member=Member("m9", "", "a9"))
    cluster.run(0.4)
    cluster.kill(first)
    cluster.wipe(second)
    cluster.run(8)
    assert cluster.await_leader() in (leader, third)
    cluster.commit(b"b")
    members = cluster.node_by_id[cluster.leader()].replica.status().members
    assert dead not in {member.identity for member in members}


def test_a_learner_that_loses_its_folder_starts_over():
    """A learner that lost its folder before it counted for anything got nothing any more."""
    cluster = Cluster(3, limits=SMALL)
    cluster.commit(b"a")
    cluster.add_node("m3")
    cluster.is_dropped = lambda target, message: target == "m3" and carries_entries(message)
    token = cluster.change(member=Member("m3", "", "a3"))
    cluster.run(1)
    cluster.wipe("m3")
    cluster.is_dropped = lambda target, message: False
    cluster.run_until(lambda: cluster.outcome(token) == "done")
    cluster.check_convergence()


def test_one_lost_folder_and_one_member_down_do_not_block_changes():
    """A member of four is down and another one lost its folder: both losses are in use by now."""
    cluster = _one_joins()
    cluster.commit(b"a")
    leader = cluster.leader()
    down = next(one for one in cluster.followers() if one != "m3")
    cluster.kill(down)
    cluster.wipe("m3")
    cluster.run(0.5)
    cluster.commit(b"b")
    assert cluster.leader() == leader
    _recover(cluster)
    cluster.check_convergence()


class _Schedule:
    """Random faults on four members, with never more than two folders lost at once."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.lost: set[str] = set()

    def run(self, steps):
        for _ in range(steps):
            if self.lost and _all_hold_copies(self.cluster):
                self.lost.clear()
            self._act()
            self._propose()
            if self.rng.random() < 0.5:
                _replace_wiped(self.cluster)
            self.cluster.run(self.rng.choice([0.05, 0.1, 0.3, 1.0]))

    def _act(self):
        cluster, rng = self.cluster, self.rng
        one, other = rng.sample(FOUNDERS, 2)
        match rng.randrange(12):
            case 0 | 1 | 2:
                for member_id in (one, other)[: rng.choice([1, 2])]:
                    self._lose(member_id)
            case 3:
                cluster.isolate(one)
            case 4:
                rest = [member_id for member_id in FOUNDERS if member_id not in (one, other)]
                cluster.cut([one, other], rest, both=True)
            case 5:
                cluster.cut(one, other, both=rng.random() < 0.5)
            case 6:
                cluster.pause(one, rng.choice([0.5, 2.0, 4.0]))
            case 7:
                for member_id in FOUNDERS:
                    self._restart(member_id, power=True)
            case 8:
                self._restart(one, power=rng.random() < 0.5)
            case 9:
                cluster.loss, cluster.duplicates, cluster.jitter = 0.2, 0.3, 0.3
            case _:
                cluster.heal()

    def _lose(self, member_id):
        if len(self.lost | {member_id}) > 2 or not _is_formed(self.cluster):
            return
        self.lost.add(member_id)
        self.cluster.wipe(member_id)

    def _restart(self, member_id, power):
        self.cluster.kill(member_id, power=power)
        self.cluster.start(member_id)

    def _propose(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.propose(b"%d" % self.cluster.tokens, leader)


def _is_formed(cluster):
    """Return whether each member holds a copy; a folder lost before that has nothing to lose."""
    nodes = [node for node in cluster.node_by_id.values() if node.replica is not None]
    return bool(cluster.acknowledged) or all(
        node.replica.status().role != "outside" for node in nodes
    )


def run_random_schedule(form, seed):
    """Run random faults, then check that the group goes on with all that it acknowledged."""
    cluster = form(seed)
    cluster.commit(b"first")
    cluster.run(3)
    _Schedule(cluster, random.Random(seed)).run(40)
    _recover(cluster, 40.0)
    cluster.check_convergence()


@FORMED
@pytest.mark.parametrize("seed", range(12))
def test_no_order_of_lost_folders_and_partitions_costs_an_acknowledged_entry(form, seed):
    """An empty member must never help to elect one that lacks an acknowledged entry."""
    run_random_schedule(form, seed)
