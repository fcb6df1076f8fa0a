"""Relayed calls that wait for slots: order, refusals, and programs under overload."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st
from tarragonhall_decisions import (
    Deadline,
    Dropped,
    Prospect,
    QueuedCall,
    ServiceQueue,
    Tier,
    UrgentTier,
)
from tarragonhall_model import Execution, RefusalCode

STARTED = Tier(begins=False, urgency=4)
FIRST_CALL = Tier(begins=True, urgency=4)
SEED = 11


def make_queue() -> ServiceQueue:
    """Return an empty queue."""
    return ServiceQueue(random.Random(SEED))


def call(name: str, org: str = "org-1", **more) -> QueuedCall:
    """Return a call of half a second with a deadline far in the future."""
    deadline = more.pop("deadline", Deadline(1e9))
    return QueuedCall(name, org, f"program-{name}", 1.0, deadline, run_s=0.5, **more)


def taken(queue: ServiceQueue, now: float = 0.0) -> list[str]:
    """Return the names of all waiting calls in the order in which they are taken."""
    names = []
    while (popped := queue.take(now)) is not None:
        queue.on_slot_assigned(popped)
        names.append(popped.call_id)
    return names


def test_started_program_goes_before_new_ones():
    # The engines are full. In order of arrival, the turn of a program that has nearly ended would
    # wait behind the first turns of others, and its caller would get its answer late.
    queue = make_queue()
    for number in range(3):
        queue.offer(call(f"new-{number}"), FIRST_CALL, 0.0)
    queue.offer(call("under-way"), STARTED, 0.1)
    assert taken(queue, 0.2)[0] == "under-way"


def test_calls_of_a_higher_priority_go_first():
    # Servers that admit in order of arrival know no priorities: calls of the highest priority would
    # wait with all others.
    queue = make_queue()
    queue.offer(call("plain"), Tier(False, 5), 0.0)
    queue.offer(call("urgent"), Tier(False, 1), 0.0)
    assert taken(queue) == ["urgent", "plain"]


def test_endless_programs_do_not_starve_new_ones():
    # A few programs call in an endless loop and always have a call waiting. Without a reserved
    # share, no other program would ever start.
    queue = make_queue()
    queue.offer(call("new"), FIRST_CALL, 0.0)
    for number in range(40):
        queue.offer(call(f"loop-{number}"), STARTED, 0.0)
    assert "new" in taken(queue)[:8]


def test_organisations_take_turns_among_calls_of_a_tier():
    # One organisation sends twenty calls at once, then another sends two, which must not wait for
    # all twenty.
    queue = make_queue()
    for number in range(20):
        queue.offer(call(f"hot-{number}", "hot"), STARTED, 0.0)
    for number in range(2):
        queue.offer(call(f"calm-{number}", "calm"), STARTED, 0.0)
    assert {"calm-0", "calm-1"} <= set(taken(queue)[:4])


def test_call_without_a_slot_in_time_is_refused_at_once_with_a_retry_time():
    # One call runs for half a second and three wait. A first call that can wait for 50 ms cannot be
    # served in time; queueing it would only delay its caller's retry.
    queue = make_queue()
    queue.offer(call("runs"), STARTED, 0.0)
    queue.on_slot_assigned(queue.take(0.0))
    for number in range(3):
        queue.offer(call(f"waits-{number}"), STARTED, 0.0)
    refusal = queue.reject_early(call("new", max_wait_s=0.05), FIRST_CALL, 0.0)
    assert (refusal.code, refusal.execution) == (RefusalCode.OVERLOADED, Execution.NOT_RUN)
    assert 1_500 <= refusal.retry_after_ms <= 3_000
    assert len(queue) == 3


def test_failed_attempts_to_find_a_slot_change_nothing():
    # No server has room, and the entry tries every few milliseconds. If these attempts counted,
    # calls of started programs would use up the turn of the first call, which would wait for ever.
    queue = make_queue()
    queue.offer(call("new"), FIRST_CALL, 0.0)
    for number in range(20):
        queue.offer(call(f"under-way-{number}"), STARTED, 0.0)
    order = []
    while (popped := queue.take(0.0)) is not None:
        for _ in range(3):
            queue.requeue(popped)
            popped = queue.take(0.0)
        queue.on_slot_assigned(popped)
        order.append(popped.call_id)
    assert order.index("new") == 7


def test_retry_times_of_calls_refused_together_are_spread():
    queue = make_queue()
    queue.offer(call("runs"), STARTED, 0.0)
    queue.on_slot_assigned(queue.take(0.0))
    queue.offer(call("waits"), STARTED, 0.0)
    times = set()
    for number in range(20):
        refusal = queue.reject_early(call(f"new-{number}", max_wait_s=0.01), FIRST_CALL, 0.0)
        times.add(refusal.retry_after_ms)
    assert max(times) - min(times) >= 250


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "take", "end", "back", "again", "remove", "expire"]),
        st.sampled_from("ab"),
        st.sampled_from(
            [
                STARTED,
                FIRST_CALL,
                UrgentTier(1, Prospect.IN_TIME, begins=True),
                UrgentTier(7, Prospect.LATE, begins=False),
            ]
        ),
        st.sampled_from([0.0, 0.3, float("inf")]),
    ),
    max_size=150,
)


@settings(max_examples=150, deadline=None)
@given(steps=STEPS)
def test_each_call_is_taken_or_refused_once(steps):
    """A call dropped silently waits until its timeout; a call taken twice would run twice. Whenever
    a call waits, a free slot must get it.
    """
    queue = make_queue()
    waiting: dict[str, QueuedCall] = {}
    running: list[QueuedCall] = []
    for number, (step, org, tier, max_wait_s) in enumerate(steps):
        now = number * 0.1
        dropped = []
        match step:
            case "offer":
                one = call(f"{org}{number}", org, max_wait_s=max_wait_s)
                waiting[one.call_id] = one
                dropped = queue.offer(one, tier, now)
            case "take":
                popped = queue.take(now)
                assert (popped is None) == (not waiting)
                if popped is not None:
                    queue.on_slot_assigned(popped)
                    running.append(waiting.pop(popped.call_id))
            case "end" if running:
                queue.on_end(running.pop(0))
            case "back" if waiting:
                one = queue.take(now)
                queue.requeue(one)
            case "again" if running:
                one = running.pop()
                queue.requeue(one)
                waiting[one.call_id] = one
            case "remove" if waiting:
                queue.remove(waiting.pop(min(waiting)))
            case "expire":
                dropped = queue.expire(now)
        for one in dropped:
            assert one.refusal.execution is Execution.NOT_RUN
            del waiting[one.call.call_id]
        assert len(queue) == len(waiting)


SLOTS = 24
TURNS = 4
RUN_S = 0.5
TOOL_S = 0.2
# Latency objective of a program: half as long again as on idle servers, plus 0.2 s.
IDLE_S = TURNS * RUN_S + (TURNS - 1) * TOOL_S
OBJECTIVE_S = 1.5 * IDLE_S + 0.2
MAX_WAIT_S = 0.1
LOAD_SECONDS = 60.0
# Maximum number of retries of a refused call, each at the time stated in the refusal.
MAX_RETURNS = 2


@dataclass(slots=True)
class Program:
    """A sequence of turns with a tool call after each but the last."""

    name: str
    started_at: float
    done: int = 0
    refusals: int = 0
    ended: float | None = None


class FifoQueue:
    """Baseline: all calls wait in one FIFO queue, as in the servers' own queues."""

    def __init__(self) -> None:
        self.calls: list[QueuedCall] = []

    def reject_early(self, _one: QueuedCall, _tier: Tier, _now: float) -> None:
        """Refuse no call."""

    def offer(self, one: QueuedCall, _tier: Tier, _now: float) -> list:
        """Add a call."""
        self.calls.append(one)
        return []

    def take(self, _now: float) -> QueuedCall | None:
        """Return the first call."""
        return self.calls.pop(0) if self.calls else None

    def on_slot_assigned(self, _one: QueuedCall) -> None:
        """Do nothing."""

    def expire(self, _now: float) -> list:
        """Refuse no call."""
        return []

    def on_end(self, _one: QueuedCall) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Engines:
    """Slots that run one call each, fed from a queue, in simulated time."""

    waiting: object
    rng: random.Random
    events: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)
    running: int = 0
    program_by_call: dict[str, Program] = field(default_factory=dict)

    def at(self, when: float, what, *arguments) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.order), what, arguments))

    def turn(self, now: float, program: Program) -> None:
        """Send a program's next turn."""
        begins = program.done == 0
        one = QueuedCall(
            f"{program.name}/{program.done}",
            "org",
            program.name,
            1.0,
            Deadline(now + 10.0),
            run_s=RUN_S,
            started=not begins,
            max_wait_s=MAX_WAIT_S if begins else float("inf"),
        )
        self.program_by_call[one.call_id] = program
        tier = FIRST_CALL if begins else STARTED
        refusal = self.waiting.reject_early(one, tier, now)
        if refusal is not None:
            self.refuse(now, [Dropped(one, refusal)])
            return
        self.refuse(now, self.waiting.offer(one, tier, now))
        self.fill(now)

    def refuse(self, now: float, dropped: list[Dropped]) -> None:
        """Let the callers of refused calls retry up to `MAX_RETURNS` times."""
        for one in dropped:
            program = self.program_by_call.pop(one.call.call_id)
            program.refusals += 1
            if program.refusals <= MAX_RETURNS:
                back_at = now + one.refusal.retry_after_ms / 1000
                self.at(back_at, self.turn, program)

    def fill(self, now: float) -> None:
        """Start waiting calls on free slots."""
        self.refuse(now, self.waiting.expire(now))
        while self.running < SLOTS:
            one = self.waiting.take(now)
            if one is None:
                return
            self.waiting.on_slot_assigned(one)
            self.running += 1
            self.at(now + RUN_S * self.rng.uniform(0.5, 1.5), self.end, one)

    def end(self, now: float, one: QueuedCall) -> None:
        """End a turn; its program continues after a tool call."""
        self.running -= 1
        self.waiting.on_end(one)
        program = self.program_by_call.pop(one.call_id)
        program.done += 1
        if program.done == TURNS:
            program.ended = now
        else:
            self.at(now + TOOL_S * self.rng.uniform(0.5, 1.5), self.turn, program)
        self.fill(now)

    def run(self) -> None:
        """Process all events."""
        while self.events:
            now, _, what, arguments = heapq.heappop(self.events)
            what(now, *arguments)


def programs_in_time(waiting: object, factor: float) -> tuple[float, float]:
    """Simulate programs that demand `factor` times what the slots can run.

    Return the share of programs that ended within their objective, and of those that ended at all.
    """
    rng = random.Random(SEED)
    engines = Engines(waiting, rng)
    programs = []
    now = 0.0
    while now < LOAD_SECONDS:
        now += rng.expovariate(factor * SLOTS / (TURNS * RUN_S))
        program = Program(f"p-{len(programs)}", now)
        programs.append(program)
        engines.at(now, engines.turn, program)
    engines.run()
    ended = [one.ended - one.started_at for one in programs if one.ended is not None]
    in_time = sum(latency <= OBJECTIVE_S for latency in ended)
    return in_time / len(programs), len(ended) / len(programs)


def test_programs_end_in_time_at_twice_the_capacity():
    # Twice as many programs arrive as the engines can run. In one FIFO queue all of them start,
    # wait at each turn, and hardly any ends in time. At least three quarters of what the slots can
    # finish must finish in time.
    in_time, ended = programs_in_time(make_queue(), 2.0)
    in_time_fifo, _ = programs_in_time(FifoQueue(), 2.0)
    assert in_time >= 0.75 / 2.0
    assert in_time >= 0.9 * ended
    assert in_time_fifo < 0.1


def test_no_call_is_refused_below_capacity():
    # The load is 60% of the capacity. The admission control that protects programs under overload
    # may only refuse calls during short random peaks.
    in_time, ended = programs_in_time(make_queue(), 0.6)
    assert ended >= 0.95
    assert in_time >= 0.95


def urgent(urgency: int, prospect: Prospect = Prospect.IN_TIME, begins: bool = False) -> UrgentTier:
    return UrgentTier(urgency, prospect, begins)


def test_first_turn_of_the_urgent_goes_before_later_turns_of_the_least_urgent():
    """Load: a crowd of the least urgent kind has many turns waiting, and the most urgent starts."""
    queue = make_queue()
    for number in range(6):
        queue.offer(call(f"crowd-{number}"), urgent(7), 0.0)
    queue.offer(call("urgent"), urgent(1, begins=True), 0.1)
    assert taken(queue)[0] == "urgent"


def test_late_and_endless_programs_go_last_of_their_urgency():
    """Load: more calls than slots. A slot for a program that is late makes another one late."""
    queue = make_queue()
    queue.offer(call("endless"), urgent(4, Prospect.ENDLESS), 0.0)
    queue.offer(call("late"), urgent(4, Prospect.LATE), 0.0)
    queue.offer(call("in-time"), urgent(4), 0.1)
    queue.offer(call("less-urgent"), urgent(5), 0.0)
    assert taken(queue) == ["in-time", "late", "endless", "less-urgent"]


def test_program_with_less_time_to_spare_goes_first_until_the_other_has_aged():
    """Load: programs with little time come all the time; one with much time must not wait on."""
    queue = make_queue()
    queue.offer(call("spare", slack_s=5.0), urgent(4), 0.0)
    queue.offer(call("tight", slack_s=1.0), urgent(4), 3.0)
    queue.offer(call("tight-later", slack_s=1.0), urgent(4), 4.5)
    assert taken(queue) == ["tight", "spare", "tight-later"]


def test_calls_that_waited_through_a_change_of_priorities_are_served():
    """Failure: a new document gives routes different priorities while calls wait in old tiers."""
    queue = make_queue()
    queue.offer(call("before"), STARTED, 0.0)
    queue.offer(call("after"), urgent(1), 0.1)
    assert taken(queue) == ["before", "after"]


URGENT_TIERS = st.builds(
    UrgentTier, st.integers(1, 9), st.sampled_from(list(Prospect)), st.booleans()
)


@settings(max_examples=100, deadline=None)
@given(
    tiers=st.lists(URGENT_TIERS, min_size=1, max_size=6, unique=True),
    flood=URGENT_TIERS,
)
def test_no_tier_starves_and_inversions_are_bounded(tiers, flood):
    """Load: one tier always has calls waiting. Each other one gets a slot within eight slots for
    each waiting tier, and at most one slot in eight goes to a call while a lower tier waits.
    """
    queue = make_queue()
    tier_by_id = {}

    def offer(name: str, tier: UrgentTier) -> None:
        tier_by_id[name] = tier
        queue.offer(call(name), tier, 0.0)

    for number, tier in enumerate(tiers):
        offer(f"waits-{number}", tier)
    bound = 8 * (len(tiers) + 1)
    order = []
    inversions = 0
    for number in range(bound):
        offer(f"flood-{number}", flood)
        waiting = {name for name in tier_by_id if name not in order}
        one = queue.take(0.0)
        queue.on_slot_assigned(one)
        order.append(one.call_id)
        inversions += any(tier_by_id[name] < tier_by_id[one.call_id] for name in waiting)
    assert {f"waits-{number}" for number in range(len(tiers))} <= set(order)
    assert inversions <= bound / 8


@settings(max_examples=60, deadline=None)
@given(
    calls=st.lists(st.tuples(URGENT_TIERS, st.floats(-5.0, 20.0)), min_size=1, max_size=30),
    slower=st.floats(0.1, 50.0),
)
def test_order_does_not_depend_on_the_news_of_others(calls, slower):
    """Entries hear of each other late. What they hear changes refusals, but not the order."""
    orders = []
    for least_drain_per_s in (0.0, slower):
        queue = make_queue()
        queue.least_drain_per_s = least_drain_per_s
        for number, (tier, slack_s) in enumerate(calls):
            queue.offer(call(f"call-{number}", slack_s=slack_s), tier, 0.0)
        orders.append(taken(queue))
    assert orders[0] == orders[1]
    assert len(orders[0]) == len(calls)
