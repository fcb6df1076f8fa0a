from __future__ import annotations

from tarragonhall_model import (
    Fresh,
    KeyPolicy,
    OrganisationPolicy,
    PolicyDelta,
    RelayDocument,
    View,
)
from tarragonhall_state import FRESHNESS_LEASE_SECONDS, Follower

KEY = KeyPolicy("ab" * 32, "school")
SCHOOL = OrganisationPolicy("school", "/school")


def test_the_lease_starts_at_the_request_not_at_the_reply():
    # A reply that was queued for two seconds describes the state of two seconds ago. With a lease
    # from its arrival, a withdrawn key would work for two seconds longer than the lease.
    follower = Follower()
    follower.confirm(Fresh(0, 0, 1), sent_at=10.0)
    assert follower.is_fresh(10.0 + FRESHNESS_LEASE_SECONDS - 0.01)
    assert not follower.is_fresh(10.0 + FRESHNESS_LEASE_SECONDS)


def test_a_process_is_not_fresh_after_a_long_pause():
    # A process is paused for a minute with requests in flight. When it resumes, its settings are a
    # minute old, and it must detect that before it uses them.
    follower = Follower()
    follower.confirm(Fresh(0, 0, 1), sent_at=10.0)
    assert not follower.is_fresh(70.0)


def test_a_reply_whose_delta_was_lost_does_not_extend_the_lease():
    # The leader is at revision 5, but the delta to it never arrived. The old settings must not pass
    # for current ones.
    follower = Follower()
    follower.confirm(Fresh(5, 0, 1), sent_at=10.0)
    assert not follower.is_fresh(10.0)
    follower.confirm(Fresh(5, 0, 1, PolicyDelta(0, 5, keys=(KEY,))), sent_at=11.0)
    assert follower.is_fresh(11.0)
    assert follower.key_by_hash == {KEY.key_hash: KEY}


def test_a_late_reply_to_an_old_request_does_not_shorten_the_lease():
    follower = Follower()
    follower.confirm(Fresh(0, 0, 1), sent_at=12.0)
    follower.confirm(Fresh(0, 0, 1), sent_at=10.0)
    assert follower.is_fresh(14.0)


def test_neither_settings_nor_view_nor_fencing_go_back():
    # Messages from a former leader arrive after those of the new one.
    follower = Follower()
    follower.apply_policy(PolicyDelta(0, 7, full=True, organisations=(SCHOOL,)))
    assert not follower.apply_policy(PolicyDelta(0, 6, full=True))
    assert not follower.apply_policy(PolicyDelta(7, 7))
    assert follower.organisation_by_id == {"school": SCHOOL}
    assert follower.apply_view(View(3, [], []))
    assert not follower.apply_view(View(2, [], []))
    follower.confirm(Fresh(7, 3, 9), sent_at=1.0)
    follower.confirm(Fresh(7, 3, 8), sent_at=2.0)
    assert (follower.settings_revision, follower.view.epoch, follower.fencing) == (7, 3, 9)


def test_a_delta_with_another_base_is_not_applied():
    # The previous push was lost. If this one were merged, the lost changes would be missing for
    # good, although the revision claims to include them.
    follower = Follower()
    assert not follower.apply_policy(PolicyDelta(3, 4, keys=(KEY,)))
    assert follower.settings_revision == 0


def test_a_full_set_replaces_the_previous_policy():
    follower = Follower()
    follower.apply_policy(PolicyDelta(0, 1, keys=(KEY,), organisations=(SCHOOL,)))
    follower.apply_policy(PolicyDelta(0, 9, full=True, organisations=(SCHOOL,)))
    assert follower.key_by_hash == {}
    assert follower.organisation_by_id == {"school": SCHOOL}


def test_a_follower_that_admits_callers_ignores_a_delta_with_models_only():
    # An entry shares its process, and so its link, with a sidecar. Only the sidecar has reported to
    # a new leader, which pushes the subset for sidecars. Applied as a complete delta, it would
    # raise the revision past the withdrawal of a key that goes on working.
    delta = PolicyDelta(0, 1, models_only=True)
    entry, sidecar = Follower(), Follower(models_only=True)
    assert (entry.apply_policy(delta), entry.settings_revision) == (False, 0)
    assert (sidecar.apply_policy(delta), sidecar.settings_revision) == (True, 1)


def test_a_relay_document_never_goes_back():
    # Documents pushed by two members arrive out of order. The older one would restore routes and
    # keys that were removed.
    follower = Follower()
    newer, older = RelayDocument(5, b"5"), RelayDocument(4, b"4")
    assert follower.relay_version == 0
    assert follower.apply_relay(newer)
    assert not follower.apply_relay(older)
    assert not follower.apply_relay(RelayDocument(5, b"other"))
    assert follower.relay == newer
