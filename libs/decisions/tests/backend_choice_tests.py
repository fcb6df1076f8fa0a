"""Choice of servers for relayed calls: shared prompts, bursts, full, failing and remote servers."""

from __future__ import annotations

import collections
import random

from tarragonhall_decisions import BackendChooser, CallRequirements, PromptPart
from tarragonhall_decisions._backend_choice import OVERCOMMIT
from tarragonhall_decisions._other_loads import OTHER_LOAD_VALID_S
from tarragonhall_decisions._server_load import AVOID_S, MAX_AVOID_S
from tarragonhall_decisions._service_run_times import RATIO_HALF_LIFE_S
from tarragonhall_model import BackendRecord

SUBJECT = PromptPart("subject", 2_560)
ZONES = ("zona-a", "zona-b", "zona-c")


def engines(count: int = 6) -> list[BackendRecord]:
    return [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[n % 3], 32, 1, 1)
        for n in range(count)
    ]


def plain_servers(count: int) -> list[BackendRecord]:
    return [BackendRecord(f"d-{n}", "desk", f"a:{n}", ZONES[0], 6, 1, 1) for n in range(count)]


def make_chooser(
    records: list[BackendRecord], zone: str = "zona-a", seed: int = 1
) -> BackendChooser:
    chooser = BackendChooser(zone, random.Random(seed))
    chooser.set_servers(records, 0.0)
    return chooser


def requirements(
    *parts: PromptPart, last: str = "", avoid: frozenset[str] = frozenset()
) -> CallRequirements:
    return CallRequirements("models", parts, last_server=last, avoid=avoid)


def test_a_turn_goes_to_the_server_of_the_previous_turn():
    # Any other engine would read the whole conversation again while the caller waits.
    chooser = make_chooser(engines())
    history = requirements(SUBJECT, PromptPart("talk", 3_000), PromptPart("new", 200), last="i-4")
    assert chooser.choose(history, 0.0).server_id == "i-4"


def test_entries_without_known_holders_send_one_subject_to_one_engine():
    # No entry knows yet what engines hold. If each sent a subject to another engine, every engine
    # would read every subject.
    chosen = {
        make_chooser(engines(), zone, seed).choose(requirements(SUBJECT), 0.0).server_id
        for zone in ZONES
        for seed in range(5)
    }
    assert len(chosen) == 1


def test_a_hot_subject_spreads_before_its_engine_builds_a_queue():
    # All calls are about one subject. Sent only to the engine that holds it, they would queue there
    # while the others are idle.
    chooser = make_chooser(engines())
    counts = collections.Counter()
    for _ in range(60):
        server_id = chooser.choose(requirements(SUBJECT, PromptPart("own", 100)), 0.0).server_id
        chooser.started(server_id, 0.0)
        counts[server_id] += 1
    assert len(counts) == 6
    assert max(counts.values()) < 30


def test_a_burst_on_plain_servers_is_spread():
    # Calls that the servers cannot start soon are not sent: in the servers' queues they could no
    # longer be removed or overtaken.
    chooser = make_chooser(plain_servers(5))
    counts = collections.Counter()
    for _ in range(50):
        server = chooser.choose(CallRequirements("desk"), 0.0)
        if server is None:
            continue
        chooser.started(server.server_id, 0.0)
        counts[server.server_id] += 1
    assert max(counts.values()) - min(counts.values()) <= 2
    assert 6 * 5 <= counts.total() <= (OVERCOMMIT * 6 + 1) * 5


def test_an_entry_with_few_calls_may_send_though_others_fill_the_servers():
    # Other entries report all slots as taken. If that blocked this entry, its calls would wait
    # until the report expires, and again after the next one.
    chooser = make_chooser(engines(2))
    for entry in ("entry-2", "entry-3"):
        chooser.on_entry_load(entry, {"i-0": 32, "i-1": 32}, 0.0)
    for _ in range(2 * 32 // 3):
        chooser.started(chooser.choose(requirements(), 0.0).server_id, 0.0)
    chooser.started("i-0", 0.0)
    assert chooser.choose(requirements(), 0.0) is None


def test_a_full_server_gets_no_call_for_a_short_time():
    chooser = make_chooser(engines(2), zone="zona-a")
    first = chooser.choose(requirements(), 0.0).server_id
    chooser.started(first, 0.0)
    chooser.refused(first, 0.0)
    chooser.ended(first, 0.0)
    assert chooser.choose(requirements(), 0.001).server_id != first
    assert chooser.choose(requirements(), 0.15).server_id == first


def test_no_server_is_chosen_while_all_are_full():
    # A call that tried one full server after another would cost each of them a refusal.
    chooser = make_chooser(engines(2))
    for server in chooser.servers("models"):
        chooser.started(server.server_id, 0.0)
        chooser.refused(server.server_id, 0.0)
        chooser.ended(server.server_id, 0.0)
    assert chooser.choose(requirements(), 0.001) is None
    assert chooser.choose(requirements(), 0.15) is not None


def test_a_server_that_fails_is_avoided_longer_each_time_and_tried_again():
    # A server does not answer. If every call tried it, each would wait for it; if none did, it
    # would stay unused after its recovery.
    chooser = make_chooser(engines(3))
    server_id = chooser.choose(requirements(), 0.0).server_id
    now = 0.0
    for number in range(8):
        chooser.failed(server_id, now)
        pause = min(MAX_AVOID_S, AVOID_S * 2**number)
        assert chooser.choose(requirements(), now + pause / 2).server_id != server_id
        now += pause + 0.01
    assert chooser.choose(requirements(), now).server_id == server_id


def test_the_only_server_is_tried_although_it_failed():
    chooser = make_chooser(engines(1))
    chooser.failed("i-0", 0.0)
    assert chooser.choose(requirements(), 0.0).server_id == "i-0"


def test_one_success_ends_the_avoidance():
    chooser = make_chooser(engines(1))
    chooser.failed("i-0", 0.0)
    chooser.answered("i-0", requirements(SUBJECT))
    assert chooser.load("i-0").failures == 0


def test_servers_that_drain_or_left_get_no_calls():
    # A leaving server may exit two seconds after the request to drain; calls that arrive later are
    # lost.
    records = engines(3)
    gone = BackendRecord("i-9", "models", "a:1", "zona-a", 32, 1, 1, gone=True)
    drains = BackendRecord("i-8", "models", "a:2", "zona-a", 32, 1, 1, draining=True)
    chooser = make_chooser([gone, drains, *records])
    assert {one.server_id for one in chooser.servers("models")} == {"i-0", "i-1", "i-2"}


def test_servers_of_the_own_zone_win_near_ties():
    # Traffic between availability zones is paid for.
    assert (
        make_chooser(engines(), "zona-b").choose(requirements(), 0.0).availability_zone == "zona-b"
    )


def test_servers_already_tried_are_left_out():
    chooser = make_chooser(engines(2))
    tried = frozenset({"i-0"})
    assert chooser.choose(requirements(avoid=tried), 0.0).server_id == "i-1"
    assert chooser.choose(requirements(avoid=frozenset({"i-0", "i-1"})), 0.0) is None


def test_running_calls_of_other_entries_count():
    # Each entry sees only its own calls. Without the others' counts, each would take the engine
    # that all of them use for idle.
    chooser = make_chooser(engines(3))
    server_id = chooser.choose(requirements(), 0.0).server_id
    chooser.on_entry_load("entry-2", {server_id: 12}, 0.0)
    assert chooser.choose(requirements(), 0.1).server_id != server_id
    assert chooser.choose(requirements(), 0.1 + OTHER_LOAD_VALID_S).server_id == server_id


def test_a_few_calls_do_not_move_a_conversation():
    # Its engine runs three calls more than another one. Moving the conversation for that would read
    # thousands of tokens again, which takes longer than the three calls cost.
    chooser = make_chooser(engines(6))
    conversation = requirements(
        SUBJECT, PromptPart("talk", 2_000), PromptPart("new", 500), last="i-4"
    )
    for _ in range(3):
        chooser.started("i-4", 0.0)
    assert chooser.choose(conversation, 0.0).server_id == "i-4"
    for _ in range(60):
        chooser.started("i-4", 0.0)
    assert chooser.choose(conversation, 0.0).server_id != "i-4"


def test_an_engine_without_a_free_slot_loses_to_one_that_has_to_read_the_prompt():
    # An engine of six slots runs six calls. Waiting there until one ends takes longer than reading
    # a short prompt on an idle engine.
    records = [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[0], 6, 1, 1) for n in range(3)
    ]
    chooser = make_chooser(records)
    for _ in range(40):
        chooser.run_times("models").stream_ended(190.0)
    conversation = requirements(PromptPart("talk", 1_000), PromptPart("new", 300), last="i-1")
    chooser.answered("i-1", requirements(PromptPart("talk", 1_000)))
    chooser.started("i-1", 0.0)
    assert chooser.choose(conversation, 0.0).server_id == "i-1"
    for _ in range(5):
        chooser.started("i-1", 0.0)
    assert chooser.choose(conversation, 0.0).server_id != "i-1"


def test_a_slow_server_gets_fewer_calls_and_is_tried_again():
    # One plain server becomes five times slower while its heartbeats go on, which delays each
    # program that calls it. It must lose its share within a few calls and regain it after its
    # recovery.
    records = plain_servers(4)
    chooser = make_chooser(records)
    for number in range(40):
        chooser.run_times("desk").call_ended(f"d-{number % 4}", "lookup", 60.0, 0.0)
    for _ in range(3):
        chooser.run_times("desk").call_ended("d-2", "lookup", 300.0, 1.0)
    assert {chooser.choose(CallRequirements("desk"), 1.1).server_id for _ in range(200)} == {
        "d-0",
        "d-1",
        "d-3",
    }
    later = {
        chooser.choose(CallRequirements("desk"), 1.0 + 8 * RATIO_HALF_LIFE_S).server_id
        for _ in range(200)
    }
    assert "d-2" in later


def test_an_unresponsive_server_loses_its_share_before_a_connection_breaks():
    # A machine loses power. Connections to it stay open, and every call sent there is lost until
    # its missing heartbeats are noticed seconds later.
    records = plain_servers(4)
    chooser = make_chooser(records)
    for number in range(40):
        chooser.run_times("desk").call_ended(f"d-{number % 4}", "lookup", 60.0, 0.0)
    chooser.started("d-1", 1.0)
    chosen = {chooser.choose(CallRequirements("desk"), 1.6).server_id for _ in range(200)}
    assert "d-1" not in chosen


def zoned(count: int, zones: int = 3) -> list[BackendRecord]:
    """Return this many engines in each of some zones."""
    return [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", ZONES[n % zones], 16, 1, 1)
        for n in range(count * zones)
    ]


def test_programs_stay_in_a_zone_with_enough_servers():
    # Guards against turns that carry their history to another zone although their own has room.
    chooser = make_chooser(zoned(5), zone="zona-b")
    for n in range(40):
        first = CallRequirements("models", (SUBJECT, PromptPart(f"own-{n}", 500)), size=20_000)
        server = chooser.choose(first, 0.0)
        assert server.availability_zone == "zona-b"
        chooser.started(server.server_id, 0.0)


def test_a_zone_reads_a_shared_prefix_once_for_itself():
    # Guards against programs that leave their zone because another zone holds their subject.
    chooser = make_chooser(zoned(5), zone="zona-b")
    subject = CallRequirements("models", (SUBJECT, PromptPart("own", 500)), size=20_000)
    chooser.answered("i-0", subject)
    chosen = {
        make_chooser(zoned(5), "zona-b", seed).choose(subject, 0.0).server_id for seed in range(5)
    }
    assert len(chosen) == 1
    near = chooser.choose(subject, 0.0)
    assert near.availability_zone == "zona-b"
    chooser.answered(near.server_id, subject)
    assert chooser.choose(subject, 0.0).server_id == near.server_id


def test_a_zone_that_is_full_sends_its_programs_elsewhere():
    # Guards against calls that wait in a hot zone while other zones are idle.
    chooser = make_chooser(zoned(5), zone="zona-b")
    zones = collections.Counter()
    for n in range(150):
        first = CallRequirements("models", (SUBJECT, PromptPart(f"own-{n}", 500)), size=20_000)
        server = chooser.choose(first, 0.0)
        if server is None:
            break
        chooser.started(server.server_id, 0.0)
        zones[server.availability_zone] += 1
    assert 80 <= zones["zona-b"] <= 100
    assert zones["zona-a"] and zones["zona-c"]


def test_a_zone_with_few_servers_shares_those_of_others():
    # Guards against overloading a zone's only engines while those of other zones are idle.
    chooser = make_chooser(engines(6), zone="zona-a")
    zones = collections.Counter()
    for n in range(30):
        server = chooser.choose(
            CallRequirements("models", (PromptPart(f"own-{n}", 500),), size=20_000), 0.0
        )
        chooser.started(server.server_id, 0.0)
        zones[server.availability_zone] += 1
    assert zones["zona-a"] < 16


def test_a_turn_follows_its_program_into_another_zone():
    # Guards against reading the conversation again when its client arrives through another zone.
    chooser = make_chooser(zoned(5), zone="zona-b")
    parts = (SUBJECT, PromptPart("talk", 6_000), PromptPart("new", 200))
    moved = CallRequirements("models", parts, last_server="i-0", size=20_000)
    assert chooser.choose(moved, 0.0).server_id == "i-0"


def test_call_that_yields_leaves_the_share_of_its_entry_to_urgent_calls_elsewhere():
    """Load: all servers are full, urgent calls wait at other entries, and this entry is idle. By
    its share of the slots, its least urgent call would go before them.
    """
    chooser = make_chooser(engines(2))
    running = {record.server_id: 40 for record in engines(2)}
    chooser.on_entry_load("entry-2", running, 0.0)
    assert chooser.choose(CallRequirements("models"), 0.1) is not None
    assert chooser.choose(CallRequirements("models", yields=True), 0.1) is None
    chooser.on_entry_load("entry-2", {"i-0": 30}, 0.2)
    assert chooser.choose(CallRequirements("models", yields=True), 0.3) is not None
