"""Take each guard away and see that the test named for it fails.

The pairs are listed in docs/dev-guide/invariants-consensus.md.
"""

from __future__ import annotations

import contextlib
import importlib.util
from pathlib import Path

import pytest
from tarragonhall_consensus._core import Core, Role
from tarragonhall_consensus._election import Election
from tarragonhall_consensus._following import Following
from tarragonhall_consensus._founding import Founding
from tarragonhall_consensus._leadership import Leadership
from tarragonhall_consensus._membership import Membership
from tarragonhall_consensus._messages import Member
from tarragonhall_consensus._progress import Progress
from tarragonhall_consensus._replication import Replication
from tarragonhall_consensus._segments import HardState, SegmentReader
from tarragonhall_consensus._storage import Storage
from tarragonhall_model import StorageError


def load(name):
    """Load a file of tests without letting pytest collect it twice."""
    spec = importlib.util.spec_from_file_location(f"guarded_{name}", _path(name))
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _path(name):
    return Path(__file__).parent / f"{name}.py"


membership = load("membership_tests")
replica = load("replica_tests")
storage = load("storage_tests")


def vote_not_stored(patch):
    def forget(self, term, vote):
        self.storage.state = HardState(term, vote, self.group)

    patch.setattr(Core, "save_vote", forget)


def no_pre_vote(patch):
    patch.setattr(Election, "_wants_pre_vote", lambda self: False)


def vote_while_the_leader_is_alive(patch):
    patch.setattr(Core, "leader_is_alive", lambda self: self.leadership is not None)


def restart_forgets_the_leader(patch):
    init = Core.__init__

    def forgetful(self, *args):
        init(self, *args)
        self.heard_at = float("-inf")

    patch.setattr(Core, "__init__", forgetful)


def vote_for_a_shorter_log(patch):
    patch.setattr(Election, "_is_up_to_date", lambda self, request: True)


def no_check_of_the_majority(patch):
    patch.setattr(Leadership, "has_majority", lambda self: True)


def read_without_majority(patch):
    patch.setattr(Leadership, "_answered_round", lambda self: 1 << 60)


def read_confirmed_by_older_answers(patch):
    patch.setattr(Leadership, "_round_after_now", lambda self: self._rounds.current)


def lease_without_end(patch):
    patch.setattr(Leadership, "holds_lease", lambda self, now: True)


def commit_by_counting(patch):
    patch.setattr(Leadership, "_may_commit", lambda self, index: True)


def old_identity_after_a_wipe(patch):
    patch.setattr(Core, "is_for_this_identity", lambda self, envelope: True)
    patch.setattr(Membership, "is_voter", lambda self, peer, identity: _votes(self, peer))
    patch.setattr(Election, "_counts", lambda self, peer, reply: self._core.role == Role.CANDIDATE)


def _votes(membership, peer):
    member = membership.member_by_id.get(peer)
    return member is not None and member.voting


def wiped_founder_founds_again(patch):
    def take_any(self, peer, reply):
        self._identity_by_id[peer] = reply.envelope.from_identity

    patch.setattr(Founding, "on_reply", take_any)


def vote_before_catching_up(patch):
    def with_voter_at_once(members, joining):
        return (*members, Member(joining.member_id, joining.identity, joining.address))

    patch.setattr("tarragonhall_consensus._leadership.with_learner", with_voter_at_once)


def change_before_the_first_commit(patch):
    patch.setattr(Leadership, "_why_not", lambda self, event: "")


def entries_taken_without_comparing_terms(patch):
    def meet_anywhere(self, request):
        known = request.previous_index <= self._core.storage.log.last_index
        return request.previous_index if known else None

    patch.setattr(Following, "_where_logs_meet", meet_anywhere)


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


def heartbeat_answers_taken_for_progress(patch):
    accept = Progress.accept

    def accept_anything(self, index):
        accept(self, index)
        self.waiting_since = self.sent_at

    patch.setattr(Progress, "accept", accept_anything)


def no_bound_on_what_waits(patch):
    patch.setattr("tarragonhall_consensus._leadership.entry_bytes", lambda entry: 0)


def sync_left_out(patch):
    patch.setattr("consensus_disk._File.sync", lambda self: None)


def folder_sync_left_out(patch):
    patch.setattr("consensus_disk.Disk.sync_folder", lambda self, path: self.step())


def failed_sync_tried_again(patch):
    sync = Storage.sync

    def forgiving(self):
        self._failed = False
        sync(self)

    patch.setattr(Storage, "sync", forgiving)


def last_segment_used_as_found(patch):
    def use(self, path, good):
        self._file = self._files.file_by_name[path]
        del self._file.data[len(good) :]

    patch.setattr(Storage, "_write_anew", use)


def torn_end_kept(patch):
    def use(self, path, good):
        self._file = self._files.file_by_name[path]

    patch.setattr(Storage, "_write_anew", use)


def damage_cut_like_a_torn_end(patch):
    patch.setattr(SegmentReader, "_check", lambda self, path, found, last: None)


def log_cut_behind_replaced_entries(patch):
    def removable(self, index):
        bases = [segment.base_index for segment in self._segments]
        return max((at for at, base in enumerate(bases) if base <= index), default=0)

    patch.setattr(Storage, "_removable", removable)


def full_disk_ignored(patch):
    sync = Storage.sync

    def careless(self):
        with contextlib.suppress(StorageError):
            sync(self)

    patch.setattr(Storage, "sync", careless)


PAIRS = [
    (vote_not_stored, replica.test_a_vote_survives_a_power_cut),
    (no_pre_vote, replica.test_a_returning_member_does_not_depose_the_leader),
    (
        vote_while_the_leader_is_alive,
        replica.test_a_member_that_alone_misses_the_leader_does_not_depose_it,
    ),
    (
        restart_forgets_the_leader,
        replica.test_a_restarted_member_keeps_its_silence_towards_the_leader,
    ),
    (vote_for_a_shorter_log, replica.test_a_member_that_lacks_committed_entries_is_not_elected),
    (no_check_of_the_majority, replica.test_one_way_cut_of_the_leader),
    (read_without_majority, replica.test_full_cut_of_the_leader),
    (
        read_confirmed_by_older_answers,
        replica.test_a_read_is_not_confirmed_by_an_answer_to_an_older_message,
    ),
    (
        lease_without_end,
        replica.test_paused_leader_with_an_expired_lease_does_not_answer_a_read,
    ),
    (commit_by_counting, replica.test_entry_of_an_earlier_term_is_not_committed_by_counting),
    (
        old_identity_after_a_wipe,
        membership.test_wiped_folder_does_not_vote_under_its_old_identity,
    ),
    (wiped_founder_founds_again, membership.test_wiped_founder_founds_no_second_group),
    (
        vote_before_catching_up,
        lambda: membership.test_a_learner_does_not_vote_before_it_has_caught_up("dead"),
    ),
    (
        promotion_not_awaited,
        lambda: membership.test_a_learner_does_not_vote_before_it_has_caught_up("too thin"),
    ),
    (
        change_before_the_first_commit,
        membership.test_no_member_change_before_the_first_commit_of_a_term,
    ),
    (entries_taken_without_comparing_terms, replica.test_logs_that_have_parted_are_made_one),
    (old_identity_counts_for_commits, membership.test_wiped_member_does_not_count_for_commits),
    (
        heartbeat_answers_taken_for_progress,
        replica.test_lost_entries_are_sent_again_while_heartbeats_are_answered,
    ),
    (no_bound_on_what_waits, replica.test_a_proposal_without_majority_is_bounded),
    (sync_left_out, storage.test_power_cut_between_any_two_steps),
    (folder_sync_left_out, storage.test_power_cut_between_any_two_steps),
    (failed_sync_tried_again, storage.test_a_failed_sync_is_never_tried_again_on_the_same_file),
    (
        last_segment_used_as_found,
        storage.test_what_a_killed_process_left_unsynced_is_synced_before_use,
    ),
    (torn_end_kept, storage.test_torn_tail_is_cut_and_writing_goes_on),
    (
        damage_cut_like_a_torn_end,
        lambda: storage.test_damage_in_the_middle_is_reported(0),
    ),
    (log_cut_behind_replaced_entries, storage.test_replaced_entries_and_compaction),
    (full_disk_ignored, storage.test_disk_full_stops_the_member_and_loses_nothing),
]


@pytest.mark.parametrize(
    ("mutation", "check"), PAIRS, ids=[mutation.__name__ for mutation, _ in PAIRS]
)
def test_the_named_test_notices_that_the_guard_is_gone(mutation, check, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises((AssertionError, StorageError, pytest.fail.Exception)):
        check()
