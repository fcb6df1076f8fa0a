"""The fair queue: no call is lost or starved, no slot stays empty, the order is right."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from tarragonhall_decisions import Deadline, FairQueue, QueuedCall
from tarragonhall_model import Execution, RefusalCode


def call(org: str, name: str, cost: float = 10.0, **more) -> QueuedCall:
    """Return a call with a deadline far in the future."""
    return QueuedCall(
        name, org, f"program-{name}", cost, more.pop("deadline", Deadline(1e9)), **more
    )


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("offer"), st.sampled_from("abc"), st.floats(1, 500)),
        st.tuples(st.just("take"), st.just(""), st.just(0.0)),
        st.tuples(st.just("end"), st.just(""), st.floats(0, 1000)),
        st.tuples(st.just("back"), st.just(""), st.just(0.0)),
        st.tuples(st.just("remove"), st.just(""), st.just(0.0)),
    ),
    max_size=200,
)


@settings(max_examples=100, deadline=None)
@given(steps=STEPS, bound=st.integers(1, 20))
def test_each_call_is_served_or_refused_once(steps, bound):
    """A call dropped silently makes its caller wait until its timeout; a call served twice is
    charged twice. The queue must also return a call whenever it has one.
    """
    queue = FairQueue(per_organisation=bound, total=2 * bound)
    waiting: set[str] = set()
    taken: list[QueuedCall] = []
    for number, (step, org, size) in enumerate(steps):
        now = float(number)
        match step:
            case "offer":
                name = f"{org}{number}"
                dropped = queue.offer(call(org, name, size), now)
                waiting.add(name)
                waiting -= {item.call.call_id for item in dropped}
                assert all(item.refusal.execution is Execution.NOT_RUN for item in dropped)
            case "take":
                item = queue.take(now)
                assert (item is None) == (not waiting)
                if item is not None:
                    waiting.remove(item.call_id)
                    taken.append(item)
            case "end" if taken:
                queue.on_end(taken.pop(0), size)
            case "back" if taken:
                item = taken.pop()
                queue.requeue(item)
                waiting.add(item.call_id)
            case "remove" if waiting:
                name = min(waiting)
                assert queue.remove(name, name[0]).call_id == name
                waiting.remove(name)
        assert len(queue) == len(waiting)


@settings(max_examples=60, deadline=None)
@given(
    weights=st.lists(st.sampled_from([0.5, 1.0, 4.0]), min_size=2, max_size=5),
    costs=st.lists(st.floats(1, 300), min_size=5, max_size=5),
    claims=st.lists(st.sampled_from([0.1, 1.0]), min_size=5, max_size=5),
)
def test_backlogged_organisations_get_their_share(weights, costs, claims):
    """Organisations that always have calls waiting get tokens by their weights, including one that
    states a tenth of its calls' real use. None may starve.
    """
    queue = FairQueue()
    used = dict.fromkeys(range(len(weights)), 0.0)
    for org, weight in enumerate(weights):
        queue.set_weight(str(org), weight)
        queue.offer(call(str(org), f"{org}-0", costs[org] * claims[org]), 0.0)
    for number in range(1, 3_000):
        item = queue.take(0.0)
        org = int(item.org_id)
        used[org] += costs[org]
        queue.on_end(item, costs[org])
        queue.offer(call(item.org_id, f"{org}-{number}", costs[org] * claims[org]), 0.0)
    shares = [used[org] / weight for org, weight in enumerate(weights)]
    largest_step = max(cost / weight for cost, weight in zip(costs, weights, strict=False))
    assert max(shares) - min(shares) <= 2.1 * largest_step


def next_by_full_scan(queue: FairQueue) -> str | None:
    """Return the next organisation, found by scanning all of them."""
    tags = [
        (max(queue._virtual, queue._by_org[org].finish), org)
        for org in {item.org_id for one in queue._by_org.values() for item in one.waiting.values()}
    ]
    return min(tags)[1] if tags else None


@settings(max_examples=150, deadline=None)
@given(
    steps=STEPS,
    weights=st.tuples(*[st.sampled_from([0.5, 1.0, 4.0])] * 3),
    backlog=st.sampled_from([0, 20]),
)
def test_next_organisation_has_the_least_start_tag(steps, weights, backlog):
    """An order that misses a changed charge serves an organisation beyond its share, and the
    callers of the others wait without a visible reason.
    """
    queue = FairQueue()
    for org, weight in zip("abc", weights, strict=True):
        queue.set_weight(org, weight)
        # The order only matters while several organisations have a backlog.
        for number in range(backlog):
            queue.offer(call(org, f"{org}-first-{number}", 10.0 + 3 * number), 0.0)
    taken: list[QueuedCall] = []
    for number, (step, org, size) in enumerate(steps):
        match step:
            case "offer":
                queue.offer(call(org, f"{org}{number}", size), 0.0)
            case "take":
                expected = next_by_full_scan(queue)
                item = queue.take(0.0)
                assert (item.org_id if item else None) == expected
                taken.extend([item] if item else [])
            case "end" if taken:
                queue.on_end(taken.pop(0), size)
            case "back" if taken:
                queue.requeue(taken.pop())
            case "remove" if len(queue):
                name = min(name for one in queue._by_org.values() for name in one.waiting)
                assert queue.remove(name, name[0]).call_id == name
    while len(queue):
        expected = next_by_full_scan(queue)
        assert queue.take(0.0).org_id == expected


def test_stale_heap_elements_do_not_accumulate():
    """One organisation waits while another is served for days. Memory must not grow with the number
    of finished calls.
    """
    queue = FairQueue()
    queue.set_weight("slow", 1e-6)
    queue.offer(call("slow", "slow-0"), 0.0)
    queue.offer(call("slow", "slow-1"), 0.0)
    queue.on_end(queue.take(0.0), 1e9)
    for number in range(2_000):
        queue.offer(call("busy", f"a{number}"), 0.0)
        queue.requeue(queue.take(0.0))
        queue.on_end(queue.take(0.0), 10.0 + number % 3)
    order = queue._organisation_order
    assert len(order._later) + len(order._due) <= 100


def test_long_program_is_not_starved_by_new_ones():
    """A program has used many tokens, and new programs keep arriving. Its next call must be served
    within a bounded time.
    """
    queue = FairQueue()
    queue.offer(call("org", "long", attained=1e6, started=True), 0.0)
    for number in range(1_000):
        now = number * 0.1
        queue.offer(call("org", f"new-{number}"), now)
        if queue.take(now).call_id == "long":
            break
    assert now < 11.0


def test_overload_drops_from_the_organisation_furthest_over_its_share():
    """The queue is full of one organisation's calls when another's first call arrives. Refusing the
    new call would penalise the caller that kept to its share.
    """
    queue = FairQueue(per_organisation=100, total=10)
    for number in range(10):
        queue.offer(call("hog", f"hog-{number}", started=number == 9), 0.0)
    dropped = queue.offer(call("small", "small-1"), 0.0)
    assert [item.call.org_id for item in dropped] == ["hog"]
    assert not dropped[0].call.started
    assert dropped[0].refusal.code is RefusalCode.OVERLOADED


def test_refusal_says_when_the_queue_has_room():
    """Calls of one second each wait for one server. A caller with three seconds left is refused at
    once while ten wait, and is accepted when it retries at the time stated in the refusal.
    """
    queue = FairQueue()
    queue.offer(call("org", "running", run_s=1.0), 0.0)
    running = queue.take(0.0)
    for number in range(10):
        queue.offer(call("org", f"c{number}", run_s=1.0), 0.0)
    refused = queue.offer(call("org", "late", run_s=1.0, deadline=Deadline(3.0)), 0.0)
    assert refused[0].refusal.code is RefusalCode.DEADLINE
    back_at = refused[0].refusal.retry_after_ms / 1000
    now = 0.0
    while now + 1.0 <= back_at:
        now += 1.0
        queue.on_end(running, 10.0)
        running = queue.take(now)
    assert now > 5.0
    again = call("org", "again", run_s=1.0, deadline=Deadline(back_at + 3.2))
    assert not queue.offer(again, back_at)


def test_call_too_late_to_start_is_refused_before_its_deadline():
    """Servers hang and nothing drains. A waiting caller is told that its call did not run as soon
    as that is certain, before its own timeout.
    """
    queue = FairQueue()
    queue.offer(call("org", "a", run_s=1.0, deadline=Deadline(5.0)), 0.0)
    assert not queue.expire(3.9)
    dropped = queue.expire(4.0)
    assert dropped[0].refusal.execution is Execution.NOT_RUN
    assert len(queue) == 0
