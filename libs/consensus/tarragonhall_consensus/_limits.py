"""Times and sizes of the replicated log, with the reason for each."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Interval between `Tick` events; the times below are accurate to about this.
TICK_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class Limits:
    """Times in seconds, sizes in bytes. The defaults are for production; tests use smaller ones."""

    # Election timeout: a member starts an election after this long without a leader, up to twice as
    # long at random so that two candidates seldom compete. A slow sync blocks the whole loop of a
    # member, so this is far above the slowest sync. A change must take effect within 5 s, so a
    # failover (2 s, then two round trips and two syncs) must leave time for distribution.
    election_seconds: float = 1.0
    # Members reject vote requests for `election_seconds` after contact with the leader. The lease
    # ends a tenth earlier, to allow for clocks that run at different speeds.
    lease_seconds: float = 0.9
    # Maximum delay until followers learn of a commit if no further entries carry it. Nobody waits
    # for it: the leader answers callers.
    commit_notice_seconds: float = 0.02
    # Three heartbeats may be lost before an election starts.
    heartbeat_seconds: float = 0.25
    # Messages not acknowledged within this time are treated as lost and sent again.
    retry_seconds: float = 0.5
    # A batch large enough to share one sync among hundreds of entries, small enough that a
    # heartbeat behind it is not late on a link of 10 MB/s (26 ms).
    message_bytes: int = 256 * 1024
    # Enough to keep a peer busy for one round trip; bounds the bytes in flight to a peer at 2 MB.
    in_flight_messages: int = 8
    # Maximum number of voters; 0 means no limit. Further members hold the log as learners and are
    # promoted when a voter is unresponsive. The number is kept odd: four voters that are
    # partitioned into two halves have no majority on either side, and three survive the same single
    # loss.
    max_voters: int = 0
    # A voter without contact for this long may be compensated for by a learner. Above the time
    # after which an unresponsive link is closed and redialled.
    unresponsive_seconds: float = 2.5
    # Without a majority nothing commits; beyond this a proposal is rejected without being logged.
    uncommitted_bytes: int = 8 * 1024 * 1024
    # A snapshot transfer to a peer without contact for this long is abandoned, since its bytes are
    # held in memory. Long enough for a peer to load the whole state.
    transfer_timeout_seconds: float = 10.0
    # The cost of a snapshot grows with the state, so the log must first have grown by the size of
    # the last snapshot. A snapshot is then due after this many bytes: the log takes up to twice its
    # size in memory, and a control process with a small state is to stay within 64 MB.
    snapshot_bytes: int = 4 * 1024 * 1024
    # Or after this many entries: replaying them at a restart takes well under a second.
    snapshot_entries: int = 20_000
    # Members that take a snapshot at the same entry would all block at once, and no majority would
    # be left to commit. Each delays its snapshots by a random fraction of up to this.
    snapshot_jitter: float = 0.5
    # Retained before a snapshot, so that a member slightly behind does not need the snapshot.
    trailing_entries: int = 1_000
    trailing_bytes: int = 1024 * 1024
    # The last segment is rewritten at each start: some tens of milliseconds at this size.
    segment_bytes: int = 4 * 1024 * 1024


def limits_for_election_timeout(election_s: float, base: Limits | None = None) -> Limits:
    """Return limits for another election timeout, with all dependent times in proportion.

    A shorter timeout replaces a dead leader sooner, but also one that is only slow: below about
    ten times a slow sync or the longest step of a busy process, no leader would last for long.
    """
    base = base or Limits()
    ratio = election_s / base.election_seconds
    return replace(
        base,
        election_seconds=election_s,
        lease_seconds=base.lease_seconds * ratio,
        heartbeat_seconds=base.heartbeat_seconds * ratio,
        retry_seconds=base.retry_seconds * ratio,
        # Heartbeats carry the commit index soon enough; separate messages for commits would be a
        # fifth of the bytes between members.
        commit_notice_seconds=base.heartbeat_seconds * ratio,
    )
