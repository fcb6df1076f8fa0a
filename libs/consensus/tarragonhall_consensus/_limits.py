"""Times, sizes and counts of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Interval between `Tick` events; the times below are accurate to about this.
TICK_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one member; the suffixes `_seconds` and `_bytes` give the units.

    The defaults are for production; tests use smaller ones.
    """

    # Election timeout: a member starts an election after this long without a leader, up to twice as
    # long at random so that two candidates seldom compete. A slow sync blocks the whole loop of a
    # member, so this is far above the slowest sync. A change must take effect within 5 s, so a
    # failover (2 s, then two round trips and two syncs) must leave time for distribution.
    election_seconds: float = 1.0
    # Members reject vote requests for `election_seconds` after contact with the leader. The lease
    # ends a tenth earlier, to allow for clocks that run at different speeds.
    lease_seconds: float = 0.9
    # A follower that no entries have told of a commit gets a heartbeat at the first step this long
    # after the last message to it; without other events, that step comes with a `Tick`. A message
    # for each commit would be half of all messages under load, and nobody waits for it: the leader
    # answers callers.
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
    # Maximum number of voters; 0 means no limit, for groups whose members operators choose. Further
    # members hold the log as learners and are promoted when a voter is unresponsive. The number is
    # kept odd: four voters that are partitioned into two halves have no majority on either side,
    # and three survive the same single loss.
    max_voters: int = 0
    # How many members may lose their data folders at once without the loss of a committed entry.
    # More of them than vote by majority then hold each entry, if `max_voters` allows fewer votes.
    tolerated_losses: int = 0
    # A learner may be promoted to make up for a voter without contact for this long. Shorter than
    # `RECEIVE_TIMEOUT_SECONDS` of the links, after which one is closed and redialled.
    unresponsive_seconds: float = 2.5
    # Bounds memory while there is no majority and nothing commits: beyond this a proposal is
    # rejected without being logged.
    uncommitted_bytes: int = 8 * 1024 * 1024
    # A snapshot transfer to a peer without contact for this long is abandoned, since its bytes are
    # held in memory. Long enough for a peer to load the whole state.
    transfer_timeout_seconds: float = 10.0
    # A snapshot is due once the entries applied since the last one reach this size, and also the
    # size of the last snapshot, since its cost grows with the state. The entries take up to twice
    # their size in memory, and a control process with a small state is to stay within 64 MB.
    snapshot_bytes: int = 4 * 1024 * 1024
    # A snapshot is due after this many entries too, even if they are below `snapshot_bytes`, but
    # not below the size of the last snapshot. Replaying them at a restart takes well under a
    # second.
    snapshot_entries: int = 20_000
    # Members that take a snapshot at the same entry would all block at once, and no majority would
    # be left to commit. Each raises its thresholds for a snapshot by a fraction of up to this,
    # drawn at random when it starts.
    snapshot_jitter: float = 0.5
    # Entries up to the snapshot that are retained, so that a member slightly behind does not need
    # the snapshot; the limit that is reached first applies.
    trailing_entries: int = 1_000
    trailing_bytes: int = 1024 * 1024
    # The last segment is rewritten at each start: some tens of milliseconds at this size.
    segment_bytes: int = 4 * 1024 * 1024


def limits_for_election_timeout(election_s: float, base: Limits | None = None) -> Limits:
    """Return limits for another election timeout, with lease, heartbeat and retry in proportion.

    `unresponsive_seconds` and `transfer_timeout_seconds` are unchanged; the latter depends on the
    time to load the state.

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
