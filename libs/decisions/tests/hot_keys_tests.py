"""Hot subjects and objects: more servers by need, the same ones at all entries, given up again."""

from __future__ import annotations

import collections
import random

from tarragonhall_decisions import BackendChooser, CallRequirements, PromptPart
from tarragonhall_decisions._preferred_servers import KEPT_HOLDERS
from tarragonhall_model import BackendRecord, LoadElsewhere

SLOTS = 24
SERVERS = 12
ENTRIES = 8
NEWS_S = 0.4
STEP_S = 0.05
SUBJECT = PromptPart("subject", 2_560)


def make_choosers(spread: bool = True, count: int = ENTRIES) -> list[BackendChooser]:
    records = [
        BackendRecord(f"i-{n}", "models", f"a:{n}", "zona-a", SLOTS, 1, 1) for n in range(SERVERS)
    ]
    choosers = []
    for n in range(count):
        chooser = BackendChooser("zona-a", random.Random(n))
        chooser.set_servers(records, 0.0)
        for _ in range(20):
            chooser.run_times("models").stream_ended(1_000)
        chooser.on_load_elsewhere(LoadElsewhere(count - 1, {}), 0.0)
        if spread:
            chooser.preferred.spread_hot_keys()
        choosers.append(chooser)
    return choosers


class Crowd:
    """Calls on one subject at many entries, with news between them 0.4 s late."""

    def __init__(self, choosers: list[BackendChooser], seed: int) -> None:
        self.choosers = choosers
        self.rng = random.Random(seed)
        self.running: list[tuple[float, BackendChooser, str, float, str, CallRequirements]] = []
        self.now = 0.0
        self.sent = 0

    def run(self, seconds: float, calls_per_s: float) -> int:
        """Send calls for some time; return the most that ran at one server at once."""
        most = 0
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._end_calls()
            for _ in range(int(calls_per_s * STEP_S + self.rng.random())):
                self._send()
            most = max([most, *self.by_server().values()])
            if step % round(NEWS_S / STEP_S) == 0:
                self._exchange()
        return most

    def by_server(self) -> collections.Counter[str]:
        return collections.Counter(one[2] for one in self.running)

    def _send(self) -> None:
        chooser = self.rng.choice(self.choosers)
        self.sent += 1
        call_id = f"c-{self.sent}"
        requirements = CallRequirements("models", (SUBJECT, PromptPart(call_id, 600)))
        record = chooser.choose(requirements, self.now)
        if record is None:
            return
        chooser.started(record.server_id, self.now)
        chooser.preferred.started(call_id, requirements)
        ends_at = self.now + self.rng.uniform(0.6, 1.4)
        self.running.append((ends_at, chooser, record.server_id, self.now, call_id, requirements))

    def _end_calls(self) -> None:
        for one in [one for one in self.running if one[0] <= self.now]:
            _ends_at, chooser, server_id, started_at, call_id, requirements = one
            chooser.ended(server_id, started_at)
            chooser.preferred.ended(call_id)
            chooser.answered(server_id, requirements)
            self.running.remove(one)

    def _exchange(self) -> None:
        total = collections.Counter()
        for chooser in self.choosers:
            total.update(chooser.own_load())
        for chooser in self.choosers:
            elsewhere = total - collections.Counter(chooser.own_load())
            chooser.on_load_elsewhere(
                LoadElsewhere(len(self.choosers) - 1, dict(elsewhere)), self.now
            )


def test_a_sudden_hot_subject_does_not_queue_at_one_engine_while_others_idle():
    # 120 calls a second on one subject arrive at eight entries, which learn of each other's calls
    # 0.4 s late. By their own counts alone they put twice an engine's slots on the holder.
    for seed in range(3):
        crowd = Crowd(make_choosers(), seed)
        crowd.run(2.0, 12)
        assert crowd.run(2.0, 120) <= 1.25 * SLOTS


def test_entries_agree_on_the_engines_of_a_hot_subject_and_use_no_more_than_needed():
    # 60 calls at once need five half-filled engines of 24 slots. If each entry chose others by
    # itself, all twelve would read the subject.
    crowd = Crowd(make_choosers(), 1)
    crowd.run(4.0, 60)
    assert 3 <= len(crowd.by_server()) <= 9
    ranked = crowd.choosers[0].known.first_ids("models", "subject", SERVERS)
    first = sum(crowd.by_server()[one] for one in ranked[:6])
    assert first >= 0.8 * len(crowd.running)


def test_engines_of_a_subject_are_given_up_as_it_cools():
    # A subject is hot for five seconds. If each entry remembered the engines that it turned to,
    # the subject would stay in the memory of all of them.
    crowd = Crowd(make_choosers(), 2)
    crowd.run(5.0, 120)
    assert len(crowd.by_server()) > KEPT_HOLDERS
    crowd.run(3.0, 12)
    used = set()
    for _ in range(40):
        crowd.run(0.1, 12)
        used |= set(crowd.by_server())
    assert len(used) <= KEPT_HOLDERS


def test_a_conversation_on_a_hot_subject_stays_with_its_engine():
    # Its turns carry the whole history and name no earlier server. If only the engines of the
    # subject counted as holders, each turn could read the history at another one.
    chooser = make_choosers(count=100)[0]
    others = chooser.known.first_ids("models", "subject", SERVERS)[6:]
    for engine in others:
        history = PromptPart(f"talk-{engine}", 4_000)
        turn = CallRequirements("models", (SUBJECT, history, PromptPart("new", 200)))
        for n in range(3):
            chooser.preferred.started(f"c-{n}", turn)
        assert len(chooser.preferred.of(turn, 100)) == 2
        chooser.answered(engine, CallRequirements("models", (SUBJECT, history)))
        for _ in range(20):
            assert chooser.choose(turn, 0.0).server_id == engine


def test_a_hot_object_of_a_plain_service_is_spread():
    # Nine of ten calls are about one object. Servers that handled it are faster, but not while a
    # queue builds there.
    records = [BackendRecord(f"d-{n}", "desk", f"a:{n}", "zona-a", 6, 1, 1) for n in range(10)]
    counts = collections.Counter()
    for entry in range(6):
        chooser = BackendChooser("zona-a", random.Random(entry))
        chooser.set_servers(records, 0.0)
        chooser.on_load_elsewhere(LoadElsewhere(5, {}), 0.0)
        chooser.preferred.spread_hot_keys()
        for n in range(4):
            requirements = CallRequirements("desk", object_key="order-7")
            server_id = chooser.choose(requirements, 0.0).server_id
            chooser.started(server_id, 0.0)
            chooser.preferred.started(f"c-{n}", requirements)
            counts[server_id] += 1
    assert max(counts.values()) <= 2 * 6
    assert counts.total() == 24


def test_a_few_calls_on_one_subject_need_no_further_engine():
    # Three calls at each of two entries are no crowd for 24 slots; their engine is not left.
    chooser = make_choosers(count=2)[0]
    chosen = set()
    for n in range(3):
        requirements = CallRequirements("models", (SUBJECT, PromptPart(f"own-{n}", 600)))
        record = chooser.choose(requirements, 0.0)
        chooser.started(record.server_id, 0.0)
        chooser.preferred.started(f"c-{n}", requirements)
        chosen.add(record.server_id)
    assert chosen == {chooser.known.preferred_id("models", "subject")}


def test_a_call_that_ends_twice_is_not_counted_twice():
    # A call whose client leaves while its server breaks the connection ends on two paths.
    chooser = make_choosers(count=100)[0]
    requirements = CallRequirements("models", (SUBJECT, PromptPart("own", 600)))
    for n in range(2):
        chooser.preferred.started(f"c-{n}", requirements)
    assert len(chooser.preferred.of(requirements, 100)) == 2
    for _ in range(3):
        chooser.preferred.ended("c-0")
    chooser.preferred.started("c-2", requirements)
    assert len(chooser.preferred.of(requirements, 100)) == 2
    chooser.preferred.ended("c-1")
    chooser.preferred.ended("c-2")
    assert len(chooser.preferred.of(requirements, 100)) == 1


def test_the_engine_of_a_hot_subject_that_is_gone_is_replaced_by_the_next():
    # The first engine of the order crashes. All entries turn to the next one, not each to another.
    chooser = make_choosers(count=100)[0]
    before = chooser.known.first_ids("models", "subject", 3)
    records = [one for one in chooser.servers("models") if one.server_id != before[0]]
    chooser.set_servers(records, 0.0)
    assert chooser.known.first_ids("models", "subject", 2) == before[1:]
    assert chooser.known.preferred_id("models", "subject") == before[1]


def test_nothing_is_spread_while_the_part_is_off():
    chooser = make_choosers(spread=False, count=100)[0]
    requirements = CallRequirements("models", (SUBJECT, PromptPart("own", 600)))
    for n in range(10):
        chooser.preferred.started(f"c-{n}", requirements)
    preferred_id = chooser.known.preferred_id("models", "subject")
    assert chooser.preferred.of(requirements, 100) == (preferred_id,)
    chooser.answered("i-3", requirements)
    assert chooser.preferred.of(requirements, 100) == ()
    assert chooser.preferred.parts_to_remember("i-3", requirements) == requirements.parts
