"""Restart of a whole group: the time until it has a leader, and lease safety."""

from __future__ import annotations

import pytest
from consensus_cluster import Cluster

# Time that a member takes to import its modules on a small machine.
LOADING_SECONDS = 0.4
# Interval between the starts of the members of one deployment.
APART_SECONDS = 0.3


def _restart_all(cluster, loading_s):
    """Kill all members at once, restart them in turn; return when the last process started."""
    for member_id in cluster.node_by_id:
        cluster.kill(member_id, power=True)
    cluster.run(1.0)
    for member_id in cluster.node_by_id:
        cluster.run(APART_SECONDS)
        cluster.start(member_id, loading_s=loading_s)
    return cluster.now - loading_s


@pytest.mark.parametrize("seed", range(20))
def test_a_killed_group_elects_a_leader_soon_after_its_restart(seed):
    """All machines lose power and restart.

    Calls wait until there is a leader, and callers with a call in flight run out of retries: one
    more second without a leader would end their programs.
    """
    cluster = Cluster(3, seed)
    cluster.commit(b"before")
    began = _restart_all(cluster, LOADING_SECONDS)
    cluster.await_leader()
    waited = cluster.now - began
    assert waited <= 1.7 * cluster.limits.election_seconds, f"{waited:.2f} s"
    cluster.commit(b"after")
    cluster.check_convergence()


@pytest.mark.parametrize("loading_s", [0.0, LOADING_SECONDS])
def test_no_new_leader_within_an_election_timeout_of_a_restart(loading_s):
    """A follower is killed right after it answered the leader, and restarts at once.

    The leader's lease relies on that answer. A vote granted too early could elect a second leader,
    and the first one would serve stale reads.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    follower, other = cluster.followers()
    cluster.cut(leader, other, both=True)
    # The third member has no contact with the leader and requests votes, which are rejected so far.
    cluster.run(2.5 * cluster.limits.election_seconds)
    cluster.kill(follower)
    cluster.run(loading_s)
    cluster.cut(leader, follower, both=True)
    began = cluster.now - loading_s
    cluster.start(follower, loading_s=loading_s)
    while cluster.leader() in (None, leader):
        # `run` checks after every step that at most one member holds a lease.
        cluster.run(0.05)
    assert cluster.now - began >= cluster.limits.election_seconds
