"""How a group heals: wiped, replaced, added, retired and silent members."""

from __future__ import annotations

from tarragonhall_consensus import Member, PeerStatus, Status
from tarragonhall_group import MemberRepair, RepairLimits, smallest_for_losses

LIMITS = RepairLimits()
SILENT = LIMITS.silent_s + 1


def status(silent_by_id: dict[str, float | None], wiped: str = "", led_s: float = 60.0) -> Status:
    """Return what the leader `a` sees of its peers."""
    members = [Member("a", "ia", "a:1")]
    peers = {}
    for member_id, silent in silent_by_id.items():
        members.append(Member(member_id, f"i{member_id}", f"{member_id}:1"))
        other = "new" if member_id == wiped else ""
        peers[member_id] = PeerStatus(1, silent, other)
    return Status("a", "leader", 2, "a", 9, 9, 9, members, "ia", "a:1", peers, 0.0, led_s)


def change(made: MemberRepair, seen: Status, leaving=frozenset(), now: float = 0.0):
    return made.next_change(seen, leaving, 1, now)


def test_a_healthy_group_is_left_alone():
    assert change(MemberRepair(), status({"b": 0.1, "c": 0.1})) is None


def test_a_member_that_lost_its_disk_is_replaced_at_once():
    # The machine came back at its address with an empty folder. Left as it is, the group could not
    # lose another member, and the empty one must not vote as the member it was.
    found = change(MemberRepair(), status({"b": 0.1, "c": 9.0}, wiped="c"))
    assert found.replace
    assert found.member.member_id == "c"


def test_a_new_machine_is_added_before_the_dead_one_is_taken_out():
    # A machine is gone for good and another one asks to join. Taken out first, the group of two
    # would stop at the next loss, with half of its commits on one disk.
    made = MemberRepair()
    made.ask("d", "d:1", now=0.0)
    found = change(made, status({"b": 0.1, "c": SILENT}))
    assert (found.member.member_id, found.remove) == ("d", False)
    after = status({"b": 0.1, "c": SILENT, "d": 0.1})
    found = change(made, after)
    assert (found.member.member_id, found.remove) == ("c", True)


def test_a_silent_member_stays_while_nobody_can_take_its_place():
    assert change(MemberRepair(), status({"b": 0.1, "c": SILENT})) is None


def test_a_new_leader_takes_nobody_for_silent():
    # It has heard from nobody yet; taking healthy members out would leave the group with too few.
    seen = status({"b": 0.1, "c": 0.1, "d": None}, led_s=0.5)
    assert change(MemberRepair(), seen) is None


def test_who_stopped_asking_is_not_added():
    made = MemberRepair()
    made.ask("d", "d:1", now=0.0)
    assert change(made, status({"b": 0.1, "c": 0.1}), now=LIMITS.joiner_valid_s + 1) is None


def test_a_leaving_member_goes_and_is_not_taken_back():
    made = MemberRepair()
    seen = status({"b": 0.1, "c": 0.1, "d": 0.1})
    found = change(made, seen, leaving=frozenset({"d"}))
    assert (found.member.member_id, found.remove) == ("d", True)
    made.ask("d", "d:1", now=0.0)
    assert change(made, status({"b": 0.1, "c": 0.1}), leaving=frozenset({"d"})) is None


def test_the_leader_itself_leaves_last():
    seen = status({"b": 0.1, "c": 0.1, "d": 0.1})
    leaving = frozenset({"a", "d"})
    assert change(MemberRepair(), seen, leaving).member.member_id == "d"
    assert change(MemberRepair(), status({"b": 0.1, "c": 0.1}), leaving).member.member_id == "a"


def test_a_leaving_member_stays_while_too_few_others_live():
    seen = status({"b": 0.1, "c": SILENT})
    assert change(MemberRepair(), seen, leaving=frozenset({"a"})) is None


def test_a_group_that_bears_its_losses_takes_no_more_members():
    # Seven stores stand by beside a group of three. Each that is taken in is one more copy of every
    # turn that is kept, and commits wait for more disks.
    made = MemberRepair(smallest_for_losses(1))
    made.ask("d", "d:1", now=0.0)
    assert change(made, status({"b": 0.1, "c": 0.1})) is None


def test_a_store_that_stands_by_takes_the_place_of_a_silent_member():
    made = MemberRepair(smallest_for_losses(1))
    made.ask("d", "d:1", now=0.0)
    assert change(made, status({"b": 0.1, "c": SILENT})).member.member_id == "d"
    made.ask("e", "e:1", now=0.0)
    found = change(made, status({"b": 0.1, "c": SILENT, "d": 0.1}))
    assert (found.member.member_id, found.remove) == ("c", True)


def test_a_store_that_stands_by_is_taken_in_before_a_member_leaves():
    # A member is to be emptied and taken away. Gone first, the group of two would stop at the next
    # loss.
    made = MemberRepair(smallest_for_losses(1))
    made.ask("d", "d:1", now=0.0)
    leaving = frozenset({"c"})
    seen = status({"b": 0.1, "c": 0.1})
    found = change(made, seen, leaving)
    assert (found.member.member_id, found.remove) == ("d", False)
    found = change(made, status({"b": 0.1, "c": 0.1, "d": 0.1}), leaving)
    assert (found.member.member_id, found.remove) == ("c", True)


def test_members_that_come_and_go_do_not_let_a_group_grow_without_end():
    # A cut hides two members; those that stand by are added, and so on at each cut.
    made = MemberRepair(smallest_for_losses(1))
    made.ask("e", "e:1", now=0.0)
    assert change(made, status({"b": SILENT, "c": SILENT, "d": 0.1})) is None


def test_a_member_that_leaves_waits_for_one_that_is_about_to_ask():
    # A store was just started and another one is to be emptied. Had the old one gone before the new
    # one asked, the group of two would have stopped at the next loss.
    made = MemberRepair(smallest_for_losses(1))
    seen = status({"b": 0.1, "c": 0.1})
    leaving = frozenset({"c"})
    assert change(made, seen, leaving, now=0.0) is None
    assert change(made, seen, leaving, now=1.0) is None
    # Nobody asks; the operator is not kept waiting for ever.
    assert change(made, seen, leaving, now=4.0).member.member_id == "c"


def test_a_member_of_the_leaders_zone_is_taken_in_first():
    # Guards against a group that strays over all zones, one lost member after the other.
    made = MemberRepair(smallest_for_losses(1))
    made.ask("d", "d:1", now=0.0, near=False)
    made.ask("e", "e:1", now=0.0, near=True)
    assert change(made, status({"b": 0.1, "c": SILENT})).member.member_id == "e"


def test_whoever_asked_first_is_taken_in_where_zones_may_be_lost():
    # Guards against a group in one zone that goes with it.
    made = MemberRepair(smallest_for_losses(1, zone_losses_borne=1))
    made.ask("d", "d:1", now=0.0, near=False)
    made.ask("e", "e:1", now=0.0, near=True)
    assert change(made, status({"b": 0.1, "c": SILENT})).member.member_id == "d"
