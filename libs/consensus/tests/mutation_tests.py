"""Disables each safety check in turn and verifies that the paired test fails.

The pairs are listed in docs/dev-guide/invariants-consensus.md.
"""

from __future__ import annotations

import contextlib
import importlib.util
from pathlib import Path

import pytest
from tarragonhall_consensus import _election, _leadership, _quorums
from tarragonhall_consensus._bootstrap import Bootstrap
from tarragonhall_consensus._core import Core, Role
from tarragonhall_consensus._election import Election
from tarragonhall_consensus._follower import Follower
from tarragonhall_consensus._leadership import Leadership
from tarragonhall_consensus._membership import Membership
from tarragonhall_consensus._messages import Member
from tarragonhall_consensus._progress import Progress
from tarragonhall_consensus._replication import Replication
from tarragonhall_consensus._segments import HardState, SegmentReader
from tarragonhall_consensus._storage import Storage
from tarragonhall_model import StorageError


def load(name):
    """Load a test module under another name, so that pytest does not collect it twice."""
    spec = importlib.util.spec_from_file_location(f"guarded_{name}", _path(name))
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _path(name):
    return Path(__file__).parent / f"{name}.py"


membership = load("membership_tests")
recovery = load("recovery_tests")
replica = load("replica_tests")
storage = load("storage_tests")


def vote_not_stored(patch):
    def set_without_storing(self, term, vote):
        self.storage.state = HardState(term, vote, self.group)

    patch.setattr(Core, "save_vote", set_without_storing)


def no_pre_vote(patch):
    patch.setattr(Election, "_uses_pre_vote", lambda self: False)


def vote_while_the_leader_may_hold_its_lease(patch):
    patch.setattr(Core, "leader_may_hold_lease", lambda self: self.leadership is not None)


def restart_forgets_the_leader(patch):
    init = Core.__init__

    def init_without_contact(self, *args):
        init(self, *args)
        self.leader_contact_at = float("-inf")

    patch.setattr(Core, "__init__", init_without_contact)


def vote_for_a_shorter_log(patch):
    patch.setattr(Election, "_is_up_to_date", lambda self, request: True)


def no_majority_check(patch):
    patch.setattr(Leadership, "has_majority", lambda self: True)


def read_without_majority(patch):
    patch.setattr(Leadership, "_answered_round", lambda self: 1 << 60)


def read_confirmed_by_older_answers(patch):
    patch.setattr(Leadership, "_next_round", lambda self: self._rounds.current)


def lease_without_end(patch):
    patch.setattr(Leadership, "holds_lease", lambda self, now: True)


def commit_of_earlier_terms_by_counting(patch):
    patch.setattr(Leadership, "_may_commit", lambda self, index: True)


def old_identity_after_a_wipe(patch):
    patch.setattr(Core, "is_for_this_identity", lambda self, envelope: True)
    patch.setattr(Membership, "is_voter", lambda self, peer, identity: _votes(self, peer))
    patch.setattr(
        Election, "_is_valid_reply", lambda self, peer, reply: self._core.role == Role.CANDIDATE
    )
    patch.setattr(Election, "_has_majority", _has_majority_of_any_identity)


def copies_of_a_majority_alone(patch):
    patch.setattr(_quorums, "required_copies", lambda members, losses: 2)


def election_without_each_remaining_folder(patch):
    def is_recoverable(members, losses, granted, lost):
        return len(granted) + len(lost) > len(members) // 2

    for module in (_election, _quorums):
        patch.setattr(module, "is_recoverable", is_recoverable)


def lost_holder_counted_twice(patch):
    copied_index = _quorums.copied_index

    def counted(members, losses, lost, index_of):
        return copied_index(members, losses - len(lost), lost, index_of)

    patch.setattr(_leadership, "copied_index", counted)


def _has_majority_of_any_identity(election):
    membership = election._core.membership
    granted = [voter for voter in membership.voters() if voter.member_id in election._granted]
    return len(granted) >= membership.majority()


def _votes(membership, peer):
    member = membership.member_by_id.get(peer)
    return member is not None and member.voting


def wiped_member_bootstraps_again(patch):
    def accept_any_reply(self, peer, reply):
        self._identity_by_id[peer] = reply.envelope.from_identity

    patch.setattr(Bootstrap, "on_reply", accept_any_reply)


def vote_before_catching_up(patch):
    def with_voter_at_once(members, joining):
        return (*members, Member(joining.member_id, joining.identity, joining.address))

    patch.setattr("tarragonhall_consensus._leadership.with_learner", with_voter_at_once)


def change_before_the_first_commit(patch):
    patch.setattr(Leadership, "_rejection_reason", lambda self, event: "")


def entries_accepted_without_comparing_terms(patch):
    def accept_any_term(self, request):
        known = request.previous_index <= self._core.storage.log.last_index
        return request.previous_index if known else None

    patch.setattr(Follower, "_last_matching_index", accept_any_term)


def old_identity_counts_for_commits(patch):
    patch.setattr(Core, "is_for_this_identity", lambda self, envelope: True)
    patch.setattr(Membership, "is_member", lambda self, peer, identity: True)
    patch.setattr(
        Replication, "_progress_of", lambda self, peer, identity: self._progress_by_id.get(peer)
    )


def promotion_not_awaited(patch):
    patch.setattr(Replication, "caught_up_identity", _first_identity)


def _first_identity(self, peer):
    progress = self._progress_by_id.get(peer)
    return progress.identity or None if progress else None


def heartbeat_replies_treated_as_progress(patch):
    record_match = Progress.record_match

    def record_match_and_restart_timer(self, index):
        record_match(self, index)
        self.waiting_since = self.sent_at

    patch.setattr(Progress, "record_match", record_match_and_restart_timer)


def no_limit_on_uncommitted_bytes(patch):
    patch.setattr("tarragonhall_consensus._leadership.entry_bytes", lambda entry: 0)


def sync_left_out(patch):
    patch.setattr("consensus_disk._File.sync", lambda self: None)


def folder_sync_left_out(patch):
    patch.setattr("consensus_disk.Disk.sync_folder", lambda self, path: self.count_call())


def failed_sync_retried(patch):
    sync = Storage.sync

    def retrying_sync(self):
        self._failed = False
        sync(self)

    patch.setattr(Storage, "sync", retrying_sync)


def last_segment_used_as_found(patch):
    def reuse_file(self, path, good):
        self._file = self._files.file_by_name[path]
        del self._file.data[len(good) :]

    patch.setattr(Storage, "_rewrite_segment", reuse_file)


def torn_end_not_truncated(patch):
    def reuse_file(self, path, good):
        self._file = self._files.file_by_name[path]

    patch.setattr(Storage, "_rewrite_segment", reuse_file)


def damage_truncated_like_a_torn_end(patch):
    patch.setattr(SegmentReader, "_check", lambda self, path, found, last: None)


def needed_segments_removed(patch):
    def removable(self, index):
        bases = [segment.base_index for segment in self._segments]
        return max((at for at, base in enumerate(bases) if base <= index), default=0)

    patch.setattr(Storage, "_removable_segments", removable)


def full_disk_ignored(patch):
    sync = Storage.sync

    def sync_ignoring_errors(self):
        with contextlib.suppress(StorageError):
            sync(self)

    patch.setattr(Storage, "sync", sync_ignoring_errors)


PAIRS = [
    (vote_not_stored, replica.test_a_vote_survives_a_power_cut),
    (no_pre_vote, replica.test_a_returning_member_does_not_depose_the_leader),
    (
        vote_while_the_leader_may_hold_its_lease,
        replica.test_a_member_that_alone_misses_the_leader_does_not_depose_it,
    ),
    (
        restart_forgets_the_leader,
        replica.test_a_restarted_member_does_not_vote_while_the_leader_may_hold_its_lease,
    ),
    (vote_for_a_shorter_log, replica.test_a_member_that_lacks_committed_entries_is_not_elected),
    (no_majority_check, replica.test_one_way_cut_of_the_leader),
    (read_without_majority, replica.test_full_cut_of_the_leader),
    (
        read_confirmed_by_older_answers,
        replica.test_a_read_is_not_confirmed_by_an_answer_to_an_older_message,
    ),
    (
        lease_without_end,
        replica.test_paused_leader_with_an_expired_lease_does_not_answer_a_read,
    ),
    (
        commit_of_earlier_terms_by_counting,
        replica.test_entry_of_an_earlier_term_is_not_committed_by_counting,
    ),
    (
        old_identity_after_a_wipe,
        membership.test_wiped_folder_does_not_vote_under_its_old_identity,
    ),
    (
        copies_of_a_majority_alone,
        lambda: recovery.test_an_entry_that_two_of_four_members_hold_is_not_acknowledged(
            recovery._one_joins
        ),
    ),
    (
        election_without_each_remaining_folder,
        lambda: recovery.test_nobody_is_elected_without_each_remaining_folder(
            recovery._all_found, ("m1", "m3"), 0
        ),
    ),
    (
        lost_holder_counted_twice,
        lambda: recovery.run_random_schedule(recovery._all_found, 163),
    ),
    (
        wiped_member_bootstraps_again,
        membership.test_wiped_initial_member_bootstraps_no_second_group,
    ),
    (
        vote_before_catching_up,
        lambda: membership.test_a_learner_does_not_vote_before_it_has_caught_up("dead"),
    ),
    (
        promotion_not_awaited,
        lambda: membership.test_a_learner_does_not_vote_before_it_has_caught_up("drops entries"),
    ),
    (
        change_before_the_first_commit,
        membership.test_no_member_change_before_the_first_commit_of_a_term,
    ),
    (entries_accepted_without_comparing_terms, replica.test_diverged_logs_converge),
    (old_identity_counts_for_commits, membership.test_wiped_member_does_not_count_for_commits),
    (
        heartbeat_replies_treated_as_progress,
        replica.test_lost_entries_are_sent_again_while_heartbeats_are_answered,
    ),
    (no_limit_on_uncommitted_bytes, replica.test_uncommitted_bytes_are_limited),
    (sync_left_out, storage.test_power_cut_between_any_two_steps),
    (folder_sync_left_out, storage.test_power_cut_between_any_two_steps),
    (failed_sync_retried, storage.test_a_failed_sync_is_never_retried_on_the_same_file),
    (
        last_segment_used_as_found,
        storage.test_what_a_killed_process_left_unsynced_is_synced_before_use,
    ),
    (torn_end_not_truncated, storage.test_torn_end_is_truncated_and_writing_continues),
    (
        damage_truncated_like_a_torn_end,
        lambda: storage.test_damage_in_the_middle_is_reported(0),
    ),
    (needed_segments_removed, storage.test_replaced_entries_and_compaction),
    (full_disk_ignored, storage.test_disk_full_stops_the_member_and_loses_nothing),
]


@pytest.mark.parametrize(
    ("mutation", "check"), PAIRS, ids=[mutation.__name__ for mutation, _ in PAIRS]
)
def test_the_paired_test_fails_without_the_guard(mutation, check, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises((AssertionError, StorageError, pytest.fail.Exception)):
        check()
