"""A group whose members were all killed: how soon one leads again, and what it may not skip."""

from __future__ import annotations

import pytest
from consensus_cluster import Cluster

# Reading its modules takes a member about this long on a small machine.
LOADING_SECONDS = 0.4
# Started by themselves, members of one deployment come up this far apart.
APART_SECONDS = 0.3


def _restart_all(cluster, loading_s):
    """Kill all members together, start them one after the other; return when the last began."""
    for member_id in cluster.node_by_id:
        cluster.kill(member_id, power=True)
    cluster.run(1.0)
    for member_id in cluster.node_by_id:
        cluster.run(APART_SECONDS)
        cluster.start(member_id, loading_s=loading_s)
    return cluster.now - loading_s


@pytest.mark.parametrize("seed", range(20))
def test_a_group_that_was_killed_leads_again_soon_after_its_members_began(seed):
    """Every machine loses power and comes back.

    Until there is a leader every call waits, and callers that had a call under way run out of
    tries: a second more without a leader ends their programs.
    """
    cluster = Cluster(3, seed)
    cluster.commit(b"before")
    began = _restart_all(cluster, LOADING_SECONDS)
    cluster.await_leader()
    waited = cluster.now - began
    assert waited <= 1.7 * cluster.limits.election_seconds, f"{waited:.2f} s"
    cluster.commit(b"after")
    cluster.settle()


@pytest.mark.parametrize("loading_s", [0.0, LOADING_SECONDS])
def test_a_restarted_member_keeps_the_silence_that_it_may_have_promised(loading_s):
    """A follower is killed right after it answered the leader, and comes back at once.

    The leader counts on that answer for its lease. A vote given too soon could make a second
    leader beside it: a reader would be shown an old state.
    """
    cluster = Cluster(3)
    leader = cluster.await_leader()
    follower, other = cluster.followers()
    cluster.cut(leader, other, both=True)
    # The third member hears no leader and asks for votes from now on, in vain as yet.
    cluster.run(2.5 * cluster.limits.election_seconds)
    cluster.kill(follower)
    cluster.run(loading_s)
    cluster.cut(leader, follower, both=True)
    began = cluster.now - loading_s
    cluster.start(follower, loading_s=loading_s)
    while cluster.leader() in (None, leader):
        # Checks at every step that no two hold the lease together.
        cluster.run(0.05)
    assert cluster.now - began >= cluster.limits.election_seconds
