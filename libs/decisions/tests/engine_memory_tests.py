"""Engine memory: calls go where they fit until their end, under load and with late or lost news."""

from __future__ import annotations

import itertools
import random

from tarragonhall_decisions import BackendChooser, CallRequirements, LoadDigest, PromptPart
from tarragonhall_decisions._engine_memory import FULL_SHARE, MAX_EXCESS, ROOM_SHARE
from tarragonhall_decisions._other_loads import OTHER_LOAD_VALID_S
from tarragonhall_model import BackendRecord, EntryLoad, EntryRecord, LoadDetail

MEMORY = 168_000
SLOTS = 24
SUBJECT = PromptPart("subject", 2_560)
NEWS_S = 0.4

_call_ids = itertools.count()


def engines(count: int, born_ms: int = 1) -> list[BackendRecord]:
    return [
        BackendRecord(f"i-{n}", "models", f"10.0.0.{n}:80", "zona-a", SLOTS, born_ms, 1)
        for n in range(count)
    ]


def make_chooser(count: int = 1, seed: int = 1, memory: int = MEMORY) -> BackendChooser:
    chooser = BackendChooser("zona-a", random.Random(seed))
    chooser.memory.set_limits({"models": memory})
    chooser.set_servers(engines(count), 0.0)
    return chooser


def call(tokens: int, shared: PromptPart | None = None) -> CallRequirements:
    """Return a call that holds `tokens` until its end, with the shared part if it has one."""
    own = PromptPart(f"own-{next(_call_ids)}", tokens - (shared.tokens if shared else 0))
    parts = (shared, own) if shared else (own,)
    return CallRequirements("models", parts, memory_tokens=tokens)


class Entry:
    """An entry that sends calls while servers accept them; `sent` maps each to its server."""

    def __init__(self, name: str, chooser: BackendChooser) -> None:
        self.name = name
        self.chooser = chooser
        self.sent: dict[str, tuple[str, float, int]] = {}

    def send(self, requirements: CallRequirements, now: float = 0.0) -> str | None:
        record = self.chooser.choose(requirements, now)
        if record is None:
            return None
        call_id = f"c-{next(_call_ids)}"
        self.chooser.started(record.server_id, now)
        self.chooser.memory.started(call_id, record, requirements)
        self.sent[call_id] = (record.server_id, now, requirements.memory_tokens)
        return call_id

    def end(self, call_id: str) -> None:
        server_id, started_at, _tokens = self.sent.pop(call_id)
        self.chooser.ended(server_id, started_at)
        self.chooser.memory.ended(call_id)

    def held(self, server_id: str) -> int:
        return sum(tokens for one, _at, tokens in self.sent.values() if one == server_id)

    def occupied(self, server_id: str) -> float:
        """Return the tokens of the calls that have a slot, on average."""
        return occupied([self], server_id)

    def detail(self) -> LoadDetail:
        detail = LoadDetail()
        self.chooser.memory.report_load(detail, 0.0)
        return detail


def occupied(entries: list[Entry], server_id: str) -> float:
    """Return the tokens of the calls of all entries that have a slot at a server, on average."""
    held = [one for entry in entries for one in entry.sent.values() if one[0] == server_id]
    return sum(tokens for _id, _at, tokens in held) * min(1.0, SLOTS / max(1, len(held)))


def exchange(entries: list[Entry], now: float) -> None:
    loads = [(one.name, one.chooser.own_load(), one.detail()) for one in entries]
    for entry in entries:
        for name, load, detail in loads:
            if name != entry.name:
                entry.chooser.on_entry_load(name, load, now, detail=detail)


def fill(entry: Entry, tokens: int, count: int = 100, now: float = 0.0) -> int:
    """Send calls until none is accepted; return how many were sent."""
    for sent in range(count):
        if entry.send(call(tokens), now) is None:
            return sent
    return count


def test_long_histories_at_24_slots_wait_for_memory_and_not_for_slots():
    # Twelve calls of 14,000 tokens fill an engine of 24 slots. The engine would preempt the others
    # in the middle of their streams and read their prompts again.
    entry = Entry("entry-1", make_chooser())
    sent = fill(entry, 14_000)
    assert sent == MEMORY // 14_000
    assert entry.chooser.memory.lacked_room
    entry.end(next(iter(entry.sent)))
    assert entry.send(call(14_000)) is not None
    assert entry.send(call(14_000)) is None


def test_short_calls_at_24_slots_are_limited_by_slots_only():
    # Calls of 3,000 tokens fill the slots long before the memory.
    entry = Entry("entry-1", make_chooser())
    assert fill(entry, 3_000) == 1.25 * SLOTS
    assert not entry.chooser.memory.lacked_room


def test_a_mixture_of_short_and_long_calls_fits_at_each_engine():
    # One call in three is long. By running calls alone, an engine can get more long ones than it
    # holds while another one has room.
    rng = random.Random(3)
    entry = Entry("entry-1", make_chooser(4))
    for _ in range(200):
        entry.send(call(rng.choice((3_000, 3_000, 14_000))))
    for server in entry.chooser.servers("models"):
        assert 0.9 * MEMORY <= entry.occupied(server.server_id) <= MEMORY


def test_a_shared_first_part_is_counted_once_while_any_call_uses_it():
    # 20 calls on one subject share 20,000 tokens. Counted for each call, they would fill the engine
    # although most of it is free.
    entry = Entry("entry-1", make_chooser())
    subject = PromptPart("subject", 20_000)
    calls = [entry.send(call(22_000, subject)) for _ in range(20)]
    assert None not in calls
    assert entry.chooser.memory.held("i-0") == 20_000 + 20 * 2_000
    for call_id in calls[1:]:
        entry.end(call_id)
    assert entry.chooser.memory.held("i-0") == 22_000
    entry.end(calls[0])
    assert entry.chooser.memory.held("i-0") == 0


def test_a_subject_that_all_entries_use_is_told_once_between_them():
    # 12 entries have two calls each on one subject at one engine. If each told the whole subject,
    # they would count 12 times its tokens and leave a fifth of the engine idle.
    entries = [Entry(f"entry-{n}", make_chooser(seed=n)) for n in range(12)]
    now = 0.0
    for _ in range(12):
        for entry in entries:
            while len(entry.sent) < 2 and entry.send(call(5_000, SUBJECT), now):
                pass
        exchange(entries, now)
        now += NEWS_S
        for entry in entries:
            entry.end(next(iter(entry.sent)))
    for entry in entries:
        entry.send(call(5_000, SUBJECT), now)
    exchange(entries, now)
    held = entries[0].chooser.memory.held("i-0")
    actual = SUBJECT.tokens + sum(len(one.sent) for one in entries) * (5_000 - SUBJECT.tokens)
    assert actual <= held <= actual + 3 * SUBJECT.tokens


def test_two_entries_with_late_news_exceed_an_engine_by_one_round_of_news_at_most():
    # Each entry learns of the other's calls 0.4 s late, and both want all the room. What they send
    # in between exceeds the memory; after the next news it must not grow further.
    entries = [Entry(f"entry-{n}", make_chooser(2, seed=n)) for n in range(2)]
    worst = 0
    rng = random.Random(7)
    for step in range(200):
        now = step * 0.05
        for entry in entries:
            for call_id in list(entry.sent):
                if rng.random() < 0.06:
                    entry.end(call_id)
            for _ in range(3):
                entry.send(call(rng.choice((3_000, 14_000))), now)
        if step % 8 == 7:
            exchange(entries, now)
        if step > 40:
            worst = max(worst, *(occupied(entries, f"i-{n}") for n in range(2)))
    # `MAX_EXCESS`, and what the other entry sent in the last 0.4 s; without limits it is 1.7 times.
    assert worst <= 1.25 * MEMORY


def test_a_server_that_restarted_under_its_id_holds_nothing():
    # The calls of the process that ended are still running at the entry. Their memory counted on,
    # the new process would idle; subtracted from it later, its count would become negative.
    entry = Entry("entry-1", make_chooser())
    lost = [entry.send(call(14_000)) for _ in range(10)]
    entry.chooser.set_servers(engines(1, born_ms=2), 1.0)
    memory = entry.chooser.memory
    assert memory.held("i-0") == 0
    running = entry.send(call(14_000), 1.0)
    for call_id in lost:
        entry.end(call_id)
    assert memory.held("i-0") == 14_000
    entry.end(running)
    assert memory.held("i-0") == 0
    assert memory.own_tokens() == 0


def test_a_call_that_ends_twice_is_subtracted_once():
    # A call whose client leaves while its server breaks the connection ends on two paths.
    entry = Entry("entry-1", make_chooser())
    first, _second = entry.send(call(14_000, SUBJECT)), entry.send(call(14_000, SUBJECT))
    entry.chooser.memory.ended(first)
    entry.chooser.memory.ended(first)
    entry.chooser.memory.ended("never-sent")
    assert entry.chooser.memory.held("i-0") == 14_000


def test_counts_are_never_negative_and_end_at_zero_whatever_happens():
    # Calls end twice or not at all before a restart, servers vanish and return, the memory is
    # configured anew. One token too many or too few would stay for as long as the entry runs.
    for seed in range(20):
        rng = random.Random(seed)
        entry = Entry("entry-1", make_chooser(3))
        memory = entry.chooser.memory
        born_ms, ended = 1, []
        for _ in range(300):
            match rng.randrange(8):
                case 0 | 1 | 2 | 3:
                    entry.send(call(rng.randrange(3_000, 15_000), rng.choice((SUBJECT, None))))
                case 4 | 5 if entry.sent:
                    ended.append(rng.choice(list(entry.sent)))
                    entry.end(ended[-1])
                case 6 if ended:
                    memory.ended(rng.choice(ended))
                case 7:
                    born_ms += rng.randrange(2)
                    shown = rng.sample(engines(3, born_ms), rng.randrange(1, 4))
                    entry.chooser.set_servers(shown, 0.0)
                    memory.set_limits({"models": MEMORY} if rng.random() < 0.9 else {})
            assert memory.own_tokens() >= 0
            assert min(memory.held(f"i-{n}") for n in range(3)) >= 0
            assert all(tokens >= 0 for tokens in entry.detail().tokens_by_server.values())
        for call_id in list(entry.sent):
            entry.end(call_id)
        assert memory.own_tokens() == 0
        assert [memory.held(f"i-{n}") for n in range(3)] == [0, 0, 0]


def test_a_server_missing_from_one_list_keeps_its_calls():
    # While control is elected anew, a list may lack servers whose calls go on.
    entry = Entry("entry-1", make_chooser(2))
    server_id = entry.sent[entry.send(call(14_000))][0]
    entry.chooser.set_servers([one for one in engines(2) if one.server_id != server_id], 0.0)
    entry.chooser.set_servers(engines(2), 0.0)
    assert entry.chooser.memory.held(server_id) == 14_000


def test_the_memory_of_an_entry_that_is_gone_counts_until_its_news_end():
    # A third of the entries is gone at once. Their calls end with them, and nobody subtracts them.
    entry = Entry("entry-1", make_chooser())
    gone = LoadDetail(tokens_by_server={"i-0": MEMORY})
    entry.chooser.on_entry_load("entry-2", {"i-0": 12}, 0.0, detail=gone)
    entry.chooser.on_entry_load("entry-3", {"i-0": 12}, 0.0, detail=gone)
    assert entry.send(call(14_000), 0.1) is None
    assert entry.send(call(14_000), OTHER_LOAD_VALID_S + 0.1) is not None


def test_news_lost_for_two_seconds_leave_own_counts_in_force():
    # All messages of the others are lost for two seconds. By its own calls alone an entry must not
    # exceed the memory, and the first news afterwards apply again.
    entry = Entry("entry-1", make_chooser())
    other = LoadDetail(tokens_by_server={"i-0": MEMORY // 2})
    entry.chooser.on_entry_load("entry-2", {"i-0": 6}, 0.0, detail=other)
    assert fill(entry, 14_000, now=0.1) == 6
    assert fill(entry, 14_000, now=2.0) == 6
    assert entry.held("i-0") <= MEMORY
    entry.chooser.on_entry_load("entry-2", {"i-0": 6}, 2.1, detail=other)
    entry.end(next(iter(entry.sent)))
    assert entry.send(call(14_000), 2.1) is None


def test_an_entry_below_its_share_may_exceed_a_full_engine_by_little():
    # Two faster entries take all room as it becomes free. An entry that only ever got what they
    # leave would be starved.
    entry = Entry("entry-1", make_chooser())
    full = LoadDetail(tokens_by_server={"i-0": MEMORY // 2})
    for name in ("entry-2", "entry-3"):
        entry.chooser.on_entry_load(name, {"i-0": 6}, 0.0, detail=full)
    assert fill(entry, 5_000) == MEMORY * MAX_EXCESS // 5_000
    assert entry.chooser.memory.lacked_room


def test_an_entry_at_its_share_does_not_exceed_a_full_engine():
    entry = Entry("entry-1", make_chooser())
    assert fill(entry, 12_000) == 14
    others = LoadDetail(tokens_by_server={"i-0": 1_000})
    entry.chooser.on_entry_load("entry-2", {"i-0": 1}, 0.0, detail=others)
    assert entry.send(call(5_000)) is None


def test_a_call_that_needs_nearly_a_whole_engine_gets_an_empty_one():
    # Its prompt fits, its expected output does not. It must neither wait forever nor be refused.
    entry = Entry("entry-1", make_chooser(2))
    assert entry.send(call(MEMORY + 1_000)) is not None
    assert entry.send(call(MEMORY + 1_000)) is not None
    assert entry.send(call(3_000)) is None


def test_only_a_prompt_that_no_engine_can_hold_is_too_large():
    memory = make_chooser().memory
    assert memory.limit_exceeded("models", MEMORY) == MEMORY
    assert memory.limit_exceeded("models", MEMORY - 1) is None
    assert memory.limit_exceeded("desk", MEMORY) is None


def test_calls_that_wait_at_the_engine_hold_nothing_yet():
    # An engine of 24 slots gets up to 30 calls. Counted in full, the six that wait for a slot would
    # keep memory free that the running ones could use.
    entry = Entry("entry-1", make_chooser())
    assert fill(entry, MEMORY // SLOTS) > SLOTS


def test_an_entrys_own_part_of_a_sum_is_not_counted_twice():
    # Collectors send an entry the sum of all others. With its own part in it, each call would
    # count twice.
    records = [EntryRecord(f"entry-{n}", "1", f"10.1.0.{n}:1", "zona-a") for n in range(20)]
    digests = [LoadDigest(one) for one in records if one.entry_id != "entry-5"]
    for digest in digests:
        digest.on_view(records)
    collector = next(one for one in digests if one.is_collector())
    entry = Entry("entry-5", make_chooser())
    entry.send(call(14_000))
    load = EntryLoad("entry-5", entry.chooser.own_load(), detail=entry.detail())
    for name in ("entry-5", "entry-6"):
        collector.on_entry_load(EntryLoad(name, load.running_by_server, detail=load.detail), 0.0)
    told = [one.message for one in collector.digests({}, 0.1) if one.address == "10.1.0.5:1"]
    for message in told:
        entry.chooser.on_load_elsewhere(message, 0.1)
    assert told
    assert entry.chooser.memory.held("i-0") == 2 * 14_000


def test_a_server_is_reported_once_when_full_and_once_when_it_has_room():
    # Calls come and go near the limit; a line for each of them would flood the log.
    entry = Entry("entry-1", make_chooser())
    memory = entry.chooser.memory
    calls = [entry.send(call(1_000)) for _ in range(5)]
    big = [entry.send(call(int(FULL_SHARE * MEMORY) - 4_000))]
    changes = memory.changes()
    assert [(one.server_id, one.is_full) for one in changes] == [("i-0", True)]
    entry.end(calls[0])
    entry.send(call(1_000))
    assert memory.changes() == []
    entry.end(big[0])
    changes = memory.changes()
    assert [(one.is_full, one.held < ROOM_SHARE * MEMORY) for one in changes] == [(False, True)]
    assert memory.changes() == []


def test_without_limits_choices_are_the_same_and_nothing_is_told():
    # The part is off: calls carry no tokens, and services have no limit.
    plain = BackendChooser("zona-a", random.Random(5))
    plain.set_servers(engines(3), 0.0)
    limited = make_chooser(3, seed=5)
    for _ in range(60):
        requirements = CallRequirements("models", (SUBJECT, PromptPart("own", 9_000)))
        chosen = [one.choose(requirements, 0.0) for one in (plain, limited)]
        assert chosen[0] == chosen[1]
        if chosen[0] is None:
            continue
        for one in (plain, limited):
            one.started(chosen[0].server_id, 0.0)
            one.memory.started("c", chosen[0], requirements)
    unlimited = Entry("entry-1", plain)
    unlimited.send(call(14_000))
    assert unlimited.detail() == LoadDetail()
