"""Where passed-on calls go: shared prompts, bursts, full, failing and distant servers."""

from __future__ import annotations

import collections
import random

from tarragonhall_decisions import BackendChooser, CallNeed, PromptPart
from tarragonhall_decisions._backend_choice import (
    AVOID_S,
    FILLED,
    MOST_AVOID_S,
    OTHERS_VALID_S,
)
from tarragonhall_decisions._service_pace import FORGET_S
from tarragonhall_model import BackendRecord

SUBJECT = PromptPart("subject", 2_560)
ZONES = ("zona-a", "zona-b", "zona-c")


def engines(count: int = 6) -> list[BackendRecord]:
    return [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[n % 3], 32, 1, 1)
        for n in range(count)
    ]


def desks(count: int) -> list[BackendRecord]:
    return [BackendRecord(f"d-{n}", "desk", f"a:{n}", ZONES[0], 6, 1, 1) for n in range(count)]


def chooser(records: list[BackendRecord], zone: str = "zona-a", seed: int = 1) -> BackendChooser:
    made = BackendChooser(zone, random.Random(seed))
    made.set_servers(records, 0.0)
    return made


def need(*parts: PromptPart, last: str = "", avoid: frozenset[str] = frozenset()) -> CallNeed:
    return CallNeed("models", parts, last_server=last, avoid=avoid)


def test_a_turn_goes_where_the_turn_before_ran():
    # Elsewhere the engine would read the whole conversation again while the caller waits.
    made = chooser(engines())
    history = need(SUBJECT, PromptPart("talk", 3_000), PromptPart("new", 200), last="i-4")
    assert made.choose(history, 0.0).server_id == "i-4"


def test_entries_that_know_nothing_send_one_subject_to_one_engine():
    # Each entry starts without knowledge of what engines hold. If each sent a subject elsewhere,
    # every engine would read every subject.
    chosen = {
        chooser(engines(), zone, seed).choose(need(SUBJECT), 0.0).server_id
        for zone in ZONES
        for seed in range(5)
    }
    assert len(chosen) == 1


def test_a_hot_subject_spreads_before_its_engine_builds_a_queue():
    # Every caller asks about one subject at once. Always the engine that holds it would make them
    # wait for each other while the others stand idle.
    made = chooser(engines())
    counts = collections.Counter()
    for _ in range(60):
        server_id = made.choose(need(SUBJECT, PromptPart("own", 100)), 0.0).server_id
        made.started(server_id, 0.0)
        counts[server_id] += 1
    assert len(counts) == 6
    assert max(counts.values()) < 30


def test_a_burst_on_plain_servers_is_spread():
    # The calls that the servers cannot start soon are not sent: in their queues nobody could take
    # them out or let another one go first.
    made = chooser(desks(5))
    counts = collections.Counter()
    for _ in range(50):
        server = made.choose(CallNeed("desk"), 0.0)
        if server is None:
            continue
        made.started(server.server_id, 0.0)
        counts[server.server_id] += 1
    assert max(counts.values()) - min(counts.values()) <= 2
    assert 6 * 5 <= counts.total() <= (FILLED * 6 + 1) * 5


def test_an_entry_with_few_calls_may_send_though_others_fill_the_servers():
    # Other entries told of all places as taken. Kept to that, this entry's calls would wait until
    # its news of them is too old to be believed, and again after the next.
    made = chooser(engines(2))
    for entry in ("entry-2", "entry-3"):
        made.on_entry_load(entry, {"i-0": 32, "i-1": 32}, 0.0)
    for _ in range(2 * 32 // 3):
        made.started(made.choose(need(), 0.0).server_id, 0.0)
    made.started("i-0", 0.0)
    assert made.choose(need(), 0.0) is None


def test_a_full_server_is_left_alone_for_a_moment():
    made = chooser(engines(2), zone="zona-a")
    first = made.choose(need(), 0.0).server_id
    made.started(first, 0.0)
    made.refused(first, 0.0)
    made.ended(first, 0.0)
    assert made.choose(need(), 0.001).server_id != first
    assert made.choose(need(), 0.15).server_id == first


def test_no_server_is_chosen_while_all_are_full():
    # Sent on from one full server to the next, a call costs each of them the work of a refusal.
    made = chooser(engines(2))
    for server in made.servers("models"):
        made.started(server.server_id, 0.0)
        made.refused(server.server_id, 0.0)
        made.ended(server.server_id, 0.0)
    assert made.choose(need(), 0.001) is None
    assert made.choose(need(), 0.15) is not None


def test_a_server_that_fails_is_avoided_longer_each_time_and_tried_again():
    # A server does not answer. Tried by every call it would cost each of them the wait; never tried
    # again it would stay unused after it has come back.
    made = chooser(engines(3))
    home = made.choose(need(), 0.0).server_id
    now = 0.0
    for number in range(8):
        made.failed(home, now)
        pause = min(MOST_AVOID_S, AVOID_S * 2**number)
        assert made.choose(need(), now + pause / 2).server_id != home
        now += pause + 0.01
    assert made.choose(need(), now).server_id == home


def test_the_only_server_is_tried_although_it_failed():
    made = chooser(engines(1))
    made.failed("i-0", 0.0)
    assert made.choose(need(), 0.0).server_id == "i-0"


def test_one_success_ends_the_avoidance():
    made = chooser(engines(1))
    made.failed("i-0", 0.0)
    made.answered("i-0", need(SUBJECT))
    assert made.load("i-0").failures == 0


def test_servers_that_drain_or_left_get_nothing():
    # A leaving server may end two seconds after it was told so; what reaches it later is lost.
    records = engines(3)
    gone = BackendRecord("i-9", "models", "a:1", "zona-a", 32, 1, 1, gone=True)
    drains = BackendRecord("i-8", "models", "a:2", "zona-a", 32, 1, 1, draining=True)
    made = chooser([gone, drains, *records])
    assert {one.server_id for one in made.servers("models")} == {"i-0", "i-1", "i-2"}


def test_near_equals_are_chosen_in_the_own_zone():
    # Bytes between availability zones are paid for.
    assert chooser(engines(), "zona-b").choose(need(), 0.0).availability_zone == "zona-b"


def test_servers_already_tried_are_left_out():
    made = chooser(engines(2))
    tried = frozenset({"i-0"})
    assert made.choose(need(avoid=tried), 0.0).server_id == "i-1"
    assert made.choose(need(avoid=frozenset({"i-0", "i-1"})), 0.0) is None


def test_what_other_entries_have_running_counts():
    # Each entry sees only its own calls. Without the others' each would take the engine that they
    # all use for idle.
    made = chooser(engines(3))
    home = made.choose(need(), 0.0).server_id
    made.on_entry_load("entry-2", {home: 12}, 0.0)
    assert made.choose(need(), 0.1).server_id != home
    assert made.choose(need(), 0.1 + OTHERS_VALID_S).server_id == home


def test_a_few_calls_do_not_move_a_conversation():
    # Its engine runs three calls more than another one. Moved for that, thousands of tokens would
    # be read again, which takes longer than the three calls cost.
    made = chooser(engines(6))
    talk = need(SUBJECT, PromptPart("talk", 2_000), PromptPart("new", 500), last="i-4")
    for _ in range(3):
        made.started("i-4", 0.0)
    assert made.choose(talk, 0.0).server_id == "i-4"
    for _ in range(60):
        made.started("i-4", 0.0)
    assert made.choose(talk, 0.0).server_id != "i-4"


def test_an_engine_without_a_free_place_is_passed_over_for_one_that_has_to_read():
    # An engine of six places runs six calls. The next one would wait there until one of them ends,
    # which takes longer than reading a short prompt elsewhere. A user sees a first word that comes
    # late although other engines stand idle.
    records = [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[0], 6, 1, 1) for n in range(3)
    ]
    made = chooser(records)
    for _ in range(40):
        made.pace("models").stream_ended(190.0)
    talk = need(PromptPart("talk", 1_000), PromptPart("new", 300), last="i-1")
    made.answered("i-1", need(PromptPart("talk", 1_000)))
    made.started("i-1", 0.0)
    assert made.choose(talk, 0.0).server_id == "i-1"
    for _ in range(5):
        made.started("i-1", 0.0)
    assert made.choose(talk, 0.0).server_id != "i-1"


def test_a_server_that_turned_slow_gets_less_and_is_tried_again():
    # One plain server turns five times slower while its heartbeats go on. Each program that calls
    # it ends late. It is to lose its share within a few calls and to get it back once it is well.
    records = desks(4)
    made = chooser(records)
    for number in range(40):
        made.pace("desk").call_ended(f"d-{number % 4}", "lookup", 60.0, 0.0)
    for _ in range(3):
        made.pace("desk").call_ended("d-2", "lookup", 300.0, 1.0)
    assert {made.choose(CallNeed("desk"), 1.1).server_id for _ in range(200)} == {
        "d-0",
        "d-1",
        "d-3",
    }
    later = {made.choose(CallNeed("desk"), 1.0 + 8 * FORGET_S).server_id for _ in range(200)}
    assert "d-2" in later


def test_a_server_that_answers_nothing_loses_its_share_before_a_call_breaks_off():
    # A machine loses its power. Connections to it stay open without a word, and every call sent
    # there is lost, until its missing heartbeats are noticed seconds later.
    records = desks(4)
    made = chooser(records)
    for number in range(40):
        made.pace("desk").call_ended(f"d-{number % 4}", "lookup", 60.0, 0.0)
    made.started("d-1", 1.0)
    chosen = {made.choose(CallNeed("desk"), 1.6).server_id for _ in range(200)}
    assert "d-1" not in chosen


def zoned(count: int, zones: int = 3) -> list[BackendRecord]:
    """Return this many engines in each of some zones."""
    return [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[n % zones], 16, 1, 1)
        for n in range(count * zones)
    ]


def test_programs_stay_in_a_zone_with_servers_enough():
    # Guards against turns that carry their history between zones although the zone has room.
    made = chooser(zoned(5), zone="zona-b")
    for n in range(40):
        first = CallNeed("models", (SUBJECT, PromptPart(f"own-{n}", 500)), size=20_000)
        server = made.choose(first, 0.0)
        assert server.availability_zone == "zona-b"
        made.started(server.server_id, 0.0)


def test_a_zone_reads_a_shared_beginning_once_for_itself():
    # Guards against programs that leave their zone for as long as another zone holds their subject.
    made = chooser(zoned(5), zone="zona-b")
    subject = CallNeed("models", (SUBJECT, PromptPart("own", 500)), size=20_000)
    made.answered("i-0", subject)
    chosen = {chooser(zoned(5), "zona-b", seed).choose(subject, 0.0).server_id for seed in range(5)}
    assert len(chosen) == 1
    near = made.choose(subject, 0.0)
    assert near.availability_zone == "zona-b"
    made.answered(near.server_id, subject)
    assert made.choose(subject, 0.0).server_id == near.server_id


def test_a_zone_that_is_full_sends_its_programs_elsewhere():
    # Guards against a hot zone whose calls wait while other zones stand idle.
    made = chooser(zoned(5), zone="zona-b")
    zones = collections.Counter()
    for n in range(150):
        first = CallNeed("models", (SUBJECT, PromptPart(f"own-{n}", 500)), size=20_000)
        server = made.choose(first, 0.0)
        if server is None:
            break
        made.started(server.server_id, 0.0)
        zones[server.availability_zone] += 1
    assert 80 <= zones["zona-b"] <= 100
    assert zones["zona-a"] and zones["zona-c"]


def test_a_zone_with_few_servers_shares_those_of_others():
    # Guards against a zone's only engine that is kept busy while those of other zones are idle.
    made = chooser(engines(6), zone="zona-a")
    zones = collections.Counter()
    for n in range(30):
        server = made.choose(CallNeed("models", (PromptPart(f"own-{n}", 500),), size=20_000), 0.0)
        made.started(server.server_id, 0.0)
        zones[server.availability_zone] += 1
    assert zones["zona-a"] < 16


def test_a_turn_follows_its_program_into_another_zone():
    # Guards against a client that comes through another zone: the conversation is read once more.
    made = chooser(zoned(5), zone="zona-b")
    parts = (SUBJECT, PromptPart("talk", 6_000), PromptPart("new", 200))
    moved = CallNeed("models", parts, last_server="i-0", size=20_000)
    assert made.choose(moved, 0.0).server_id == "i-0"
