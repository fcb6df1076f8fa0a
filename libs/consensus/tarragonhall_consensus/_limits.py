"""Times and sizes of the replicated log, with the grounds for each."""

from __future__ import annotations

from dataclasses import dataclass, replace

# The shell feeds a `Tick` this often; every time below is kept to about this accuracy.
TICK_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class Limits:
    """Times in seconds, sizes in bytes. Tests make them small; the defaults are for service."""

    # A member stands for election after this long without a leader, up to twice as long at random
    # so that two seldom stand together. A slow sync stops the whole loop of a member, so the time
    # lies far above the slowest sync; and a change must be in force within 5 s, so a
    # failover (2 s, then two round trips and two syncs) must leave time for distribution.
    election_seconds: float = 1.0
    # Members refuse to vote for `election_seconds` after they heard the leader. The lease ends a
    # tenth earlier, for clocks that run at different speeds.
    lease_seconds: float = 0.9
    # Members that only apply learn of a commit with the next entries, or this much later. Nobody
    # waits for it: callers are answered by the leader.
    commit_notice_seconds: float = 0.02
    # Three may be lost before anyone stands for election.
    heartbeat_seconds: float = 0.25
    # Messages not acknowledged within this time are taken for lost and sent again.
    retry_seconds: float = 0.5
    # A batch large enough to share one sync among hundreds of entries, small enough that a
    # heartbeat behind it is not late on a link of 10 MB/s (26 ms).
    message_bytes: int = 256 * 1024
    # Enough to keep a peer busy over one round trip; bounds what waits for one peer at 2 MB.
    in_flight_messages: int = 8
    # How many members vote at the most; 0 lets all of them. Further ones hold the log as learners
    # and are promoted when a voter is silent. An even number is never reached: four voters that are
    # cut in two halves have no majority on either side, and three bear the same single loss.
    most_voters: int = 0
    # A voter that was not heard for this long may be made up for. Above the silence after which a
    # link is closed and dialled again.
    silent_seconds: float = 2.5
    # Without a majority nothing commits; beyond this a proposal is refused, known not logged.
    uncommitted_bytes: int = 8 * 1024 * 1024
    # A snapshot on its way to a peer that has been silent for this long is given up, since its
    # bytes are held in memory meanwhile. Long enough for a peer to take the whole state in.
    transfer_seconds: float = 10.0
    # A snapshot costs time in proportion to the state, so the log must have grown by as much as
    # the last snapshot took. Beyond that it is due after this much: the log is held in memory at
    # up to twice its bytes, and a control process with a small state is to stay within 64 MB.
    snapshot_bytes: int = 4 * 1024 * 1024
    # Or after this many entries: replaying them is a restart of well under a second.
    snapshot_entries: int = 20_000
    # Members that snapshot at the same entry would all stand still at once, and no majority would
    # be left to commit. Each puts it off by a share of its own, drawn up to this.
    snapshot_spread: float = 0.5
    # Kept behind a snapshot, so that a member a moment behind needs no whole snapshot.
    trailing_entries: int = 1_000
    trailing_bytes: int = 1024 * 1024
    # The last segment is written again at each start: some tens of milliseconds at this size.
    segment_bytes: int = 4 * 1024 * 1024


def limits_for(election_s: float, base: Limits | None = None) -> Limits:
    """Return limits for another election time, with all times that depend on it in proportion.

    A shorter one ends a pause sooner when a leader dies, and takes a leader for dead sooner that
    is only slow: below about ten times a slow sync and a busy process's longest step it would not
    stay leader for long.
    """
    base = base or Limits()
    share = election_s / base.election_seconds
    return replace(
        base,
        election_seconds=election_s,
        lease_seconds=base.lease_seconds * share,
        heartbeat_seconds=base.heartbeat_seconds * share,
        retry_seconds=base.retry_seconds * share,
        # Heartbeats are close enough then; a message of its own for each commit would be a fifth
        # of the bytes between members.
        commit_notice_seconds=base.heartbeat_seconds * share,
    )
