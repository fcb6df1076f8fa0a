"""Tests of the core: in any order of events, attempts run at most once and end within the slots."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from tarragonhall_model import (
    Accepted,
    Answer,
    Attach,
    AttemptAck,
    AttemptEnded,
    AttemptId,
    AttemptOutcome,
    CallKind,
    CallSpec,
    CancelAttempt,
    Dispatch,
    Rejected,
    RejectReason,
    ServerKind,
)
from tarragonhall_sidecar._attempt import Identity, State
from tarragonhall_sidecar._events import (
    CommitEnd,
    ConnectionLost,
    DrainChanged,
    EndCommitted,
    MessageReceived,
    PeerClosed,
    ProbeResult,
    ProgramEnded,
    Reply,
    RunFinished,
    Send,
    ServerCrashed,
    StartRun,
    StopRun,
    TextGenerated,
    Tick,
)
from tarragonhall_sidecar._execution import ACKNOWLEDGE_TIMEOUT_SECONDS, Execution
from tarragonhall_sidecar._memory import AttemptMemory

SLOTS = 2
SERVER = "s1"
INCARNATION = "life-1"


def make_core(max_marks: int = 100) -> Execution:
    identity = Identity(SERVER, INCARNATION, ServerKind.MODEL, SLOTS)
    return Execution(identity, {"m"}, AttemptMemory(max_marks))


def attempt_of(
    program: str, seq: int = 1, number: int = 1, incarnation: str = INCARNATION
) -> AttemptId:
    return AttemptId(program, seq, number, SERVER, incarnation)


def dispatch_of(attempt: AttemptId, priority: int = 1, repeatable: bool = True) -> Dispatch:
    spec = CallSpec(attempt.seq, CallKind.MODEL, "m", "body", repeatable, max_tokens=10)
    return Dispatch(attempt, "org", spec, [], priority, 10_000)


def reply_in(outputs: list) -> object:
    return next(output.message for output in outputs if isinstance(output, Reply))


def kinds(outputs: list) -> list[type]:
    return [type(output) for output in outputs]


attempts = st.builds(
    attempt_of,
    st.sampled_from(["p1", "p2", "p3", "p4", "p5"]),
    st.integers(1, 3),
    st.integers(1, 2),
    st.sampled_from([INCARNATION, INCARNATION, INCARNATION, "life-0"]),
)
peers = st.integers(1, 3)


class ExecutionMachine(RuleBasedStateMachine):
    """Feeds events to the core in any order and checks its outputs against a model."""

    def __init__(self) -> None:
        super().__init__()
        self.core = make_core(max_marks=3)
        self.now = 0.0
        self.running: set[str] = set()
        self.started: set[str] = set()
        self.accepted: set[str] = set()
        self.rejected: set[str] = set()
        self.outcome_by_key: dict[str, AttemptOutcome] = {}

    def feed(self, event) -> None:
        for output in self.core.handle(event, self.now):
            self.note(event, output)

    def note(self, event, output) -> None:
        match output:
            case Reply(Accepted()):
                assert event.message.attempt.incarnation == INCARNATION
            case Reply(Rejected(reason)):
                name = self.name_of(event.message.attempt)
                self.rejected.add(name)
                if reason is not RejectReason.INCARNATION:
                    assert name not in self.started, "rejected as never run after its start"
            case StartRun(dispatch):
                name = self.name_of(dispatch.attempt)
                assert name not in self.started, "started twice"
                assert name not in self.rejected, "started after it was rejected"
                self.started.add(name)
                self.running.add(dispatch.attempt.key)
                assert len(self.running) <= SLOTS
            case StopRun(key, True):
                self.running.discard(key)
            case ServerCrashed(sends=sends):
                for send in sends:
                    self.note(event, send)
            case Send(_, AttemptEnded(attempt, outcome)):
                known = self.outcome_by_key.setdefault(attempt.key, outcome)
                assert known is outcome, "ended with two outcomes"
                if outcome is AttemptOutcome.NOT_RUN:
                    assert self.name_of(attempt) not in self.started

    @staticmethod
    def name_of(attempt: AttemptId) -> str:
        return f"{attempt.key}@{attempt.incarnation}"

    @rule(attempt=attempts, peer=peers, priority=st.integers(0, 2), repeatable=st.booleans())
    def dispatch(self, attempt, peer, priority, repeatable):
        self.feed(MessageReceived(peer, dispatch_of(attempt, priority, repeatable)))

    @rule(attempt=attempts, peer=peers)
    def attach(self, attempt, peer):
        self.feed(MessageReceived(peer, Attach(attempt)))

    @rule(attempt=attempts, peer=peers)
    def cancel(self, attempt, peer):
        self.feed(MessageReceived(peer, CancelAttempt(attempt)))

    @rule(attempt=attempts, peer=peers)
    def acknowledge(self, attempt, peer):
        self.feed(MessageReceived(peer, AttemptAck(attempt)))

    @precondition(lambda self: self.outcome_by_key)
    @rule(data=st.data(), peer=peers)
    def acknowledge_an_end_and_send_again(self, data, peer):
        key = data.draw(st.sampled_from(sorted(self.outcome_by_key)))
        program, seq, number = key.split("/")
        attempt = attempt_of(program, int(seq), int(number))
        self.feed(MessageReceived(peer, AttemptAck(attempt)))
        self.feed(MessageReceived(peer, dispatch_of(attempt)))

    @rule(peer=peers)
    def close_peer(self, peer):
        self.feed(PeerClosed(peer))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), outcome=st.sampled_from([AttemptOutcome.ANSWERED, AttemptOutcome.FAILED]))
    def finish(self, data, outcome):
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(key)
        self.feed(TextGenerated(key, "text"))
        self.feed(RunFinished(key, outcome))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def lose_connection(self, data):
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(key)
        self.feed(ConnectionLost(key, "reset"))

    @rule(
        up=st.booleans(), refused=st.booleans(), server_incarnation=st.sampled_from(["", "a", "b"])
    )
    def probe(self, up, refused, server_incarnation):
        self.feed(ProbeResult(up, refused and not up, server_incarnation if up else ""))

    @rule(draining=st.booleans())
    def drain(self, draining):
        self.feed(DrainChanged(draining))

    @rule(seconds=st.sampled_from([0.1, 4.0, 11.0]))
    def wait(self, seconds):
        self.now += seconds
        self.feed(Tick())

    @rule(attempt=attempts)
    def commit(self, attempt):
        self.feed(EndCommitted(attempt.key))

    @invariant()
    def slots_are_not_exceeded(self):
        assert self.core.count(State.RUNNING, State.BROKEN) <= SLOTS
        assert self.core.count(State.RUNNING) == len(self.running)

    def teardown(self):
        for _ in range(20):
            for key in sorted(self.running):
                self.running.discard(key)
                self.feed(ConnectionLost(key, "reset"))
            self.now += 11.0
            self.feed(ProbeResult(True))
            self.feed(Tick())
        assert self.core.count(State.WAITING, State.RUNNING, State.BROKEN) == 0


ExecutionMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
TestExecutionMachine = ExecutionMachine.TestCase


def test_a_dispatch_that_arrives_after_an_attach_never_runs():
    """An entry is paused between journaling and dispatching an attempt. Another entry attaches
    to the attempt, learns that it never ran, and starts a new one. Without the tombstone, the
    paused entry's dispatch would then bill the district a second time.
    """
    core = make_core()
    attempt = attempt_of("p1")
    attached = core.handle(MessageReceived(1, Attach(attempt)), 0.0)
    assert reply_in(attached) == Rejected(RejectReason.TOMBSTONE)
    late = core.handle(MessageReceived(2, dispatch_of(attempt)), 60.0)
    assert late == [Reply(Rejected(RejectReason.TOMBSTONE))]


def test_a_dispatch_of_an_evicted_program_is_rejected():
    """A paused entry delays a dispatch for hours, until the mark of its program is evicted. If an
    evicted program were treated as a new one, the dispatch would run.
    """
    core = make_core(max_marks=2)
    core.handle(MessageReceived(1, Attach(attempt_of("p1"))), 0.0)
    for name in ("p2", "p3", "p4"):
        core.handle(MessageReceived(1, Attach(attempt_of(name))), 1.0)
    late = core.handle(MessageReceived(2, dispatch_of(attempt_of("p1"))), 2.0)
    assert late == [Reply(Rejected(RejectReason.INCARNATION))]


def test_a_dispatch_for_an_earlier_incarnation_is_rejected_as_unknown():
    """The sidecar was restarted while a call ran. A resend of its dispatch must not run it again,
    because the new incarnation does not know whether the old one ran it.
    """
    late = make_core().handle(
        MessageReceived(1, dispatch_of(attempt_of("p1", incarnation="life-0"))), 0.0
    )
    assert late == [Reply(Rejected(RejectReason.INCARNATION))]


def test_a_duplicate_joins_the_run_and_gets_its_end_again():
    """The reply to a dispatch is lost and the entry resends it. The caller must get the answer of
    the first run; a second run would charge it twice.
    """
    core = make_core()
    dispatch = dispatch_of(attempt_of("p1"))
    core.handle(MessageReceived(1, dispatch), 0.0)
    core.handle(TextGenerated(dispatch.attempt.key, "half"), 0.1)
    again = core.handle(MessageReceived(2, dispatch), 0.2)
    assert kinds(again) == [Reply, Send]
    ended = core.handle(RunFinished(dispatch.attempt.key, AttemptOutcome.ANSWERED), 0.3)
    assert [output.peer for output in ended] == [1, 2]
    once_more = core.handle(MessageReceived(3, dispatch), 0.4)
    assert reply_in(once_more) == Accepted()
    assert once_more[-1].message == ended[0].message


def test_a_crash_names_all_running_attempts_and_returns_waiting_ones_as_not_run():
    """One request crashes the engine, and all requests that ran on it end as crashed and are
    suspects. A waiting one ends as not run, so that it can run on another server.
    """
    core = make_core()
    for name in ("p1", "p2", "p3"):
        core.handle(MessageReceived(1, dispatch_of(attempt_of(name))), 0.0)
    core.handle(ConnectionLost("p1/1/1", "reset"), 1.0)
    outputs = core.handle(ProbeResult(False, refused=True), 1.1)
    crash = next(output for output in outputs if isinstance(output, ServerCrashed))
    assert [one.attempt.program_id for one in crash.dispatches] == ["p1", "p2"]
    ends = [send.message for send in (*crash.sends, *outputs) if isinstance(send, Send)]
    outcome_by_program = {end.attempt.program_id: end.outcome for end in ends}
    assert outcome_by_program == {
        "p1": AttemptOutcome.CRASHED,
        "p2": AttemptOutcome.CRASHED,
        "p3": AttemptOutcome.NOT_RUN,
    }


def test_a_server_that_restarted_immediately_counts_as_crashed():
    """A supervisor restarts the engine within a second, so the next probe finds it healthy. Only
    the changed incarnation distinguishes the crash from a broken connection.
    """
    core = make_core()
    core.handle(ProbeResult(True, server_incarnation="a"), 0.0)
    core.handle(MessageReceived(1, dispatch_of(attempt_of("p1"))), 0.1)
    core.handle(ConnectionLost("p1/1/1", "reset"), 1.0)
    outputs = core.handle(ProbeResult(True, server_incarnation="b"), 1.1)
    assert ServerCrashed in kinds(outputs)


def test_an_unacknowledged_end_is_committed_once():
    """The entry dies after its dispatch. The answer was charged, and the caller will request it
    through another entry, so the sidecar commits it to the journal.
    """
    core = make_core()
    core.handle(MessageReceived(1, dispatch_of(attempt_of("p1"))), 0.0)
    core.handle(PeerClosed(1), 0.5)
    core.handle(RunFinished("p1/1/1", AttemptOutcome.ANSWERED), 1.0)
    assert core.handle(Tick(), 1.0 + ACKNOWLEDGE_TIMEOUT_SECONDS / 2) == []
    assert kinds(core.handle(Tick(), 1.1 + ACKNOWLEDGE_TIMEOUT_SECONDS)) == [CommitEnd]
    assert core.handle(Tick(), 9.0) == []
    core.handle(EndCommitted("p1/1/1"), 9.1)
    assert core.count(*State) == 0


def test_a_cancel_is_repeated_until_the_run_ends():
    """The cancel of a run is lost on the network path to the engine. Without a retry the engine
    would go on generating, and using up the budget, after the caller has gone.
    """
    core = make_core()
    core.handle(MessageReceived(1, dispatch_of(attempt_of("p1"))), 0.0)
    core.handle(MessageReceived(1, CancelAttempt(attempt_of("p1"))), 1.0)
    assert core.handle(Tick(), 1.5) == []
    assert core.handle(Tick(), 2.1) == [StopRun("p1/1/1", abandon=False)]
    core.handle(RunFinished("p1/1/1", AttemptOutcome.CANCELLED), 2.2)
    assert core.handle(Tick(), 3.3) == []


def test_unacknowledged_answers_stop_new_work_before_they_fill_the_memory():
    """Control is unreachable and the entries are dead, so answers accumulate here. Without a limit
    the process would run out of memory and lose every answer that was charged.
    """
    core = make_core()
    for number in range(9):
        attempt = attempt_of(f"p{number}")
        reply = reply_in(core.handle(MessageReceived(1, dispatch_of(attempt)), 0.0))
        assert reply == Accepted()
        answer = Answer("x" * 1024 * 1024)
        core.handle(RunFinished(attempt.key, AttemptOutcome.ANSWERED, answer), 0.0)
    rejected = core.handle(MessageReceived(1, dispatch_of(attempt_of("p9"))), 0.0)
    assert rejected == [Reply(Rejected(RejectReason.FULL))]
    core.handle(MessageReceived(1, AttemptAck(attempt_of("p0"))), 0.0)
    core.handle(MessageReceived(1, AttemptAck(attempt_of("p1"))), 0.0)
    taken = core.handle(MessageReceived(1, dispatch_of(attempt_of("p10"))), 0.0)
    assert reply_in(taken) == Accepted()


def test_the_attempts_of_an_ended_program_are_stopped():
    """A program is cancelled while one of its calls runs, another waits and a third is in flight.
    They would occupy slots without a caller and keep the program's memory held.
    """
    core = make_core()
    for name in ("a", "b", "c"):
        core.handle(MessageReceived(1, dispatch_of(attempt_of(name))), 0.0)
    assert core.handle(ProgramEnded(attempt_of("a")), 1.0) == [StopRun("a/1/1", abandon=False)]
    returned = core.handle(ProgramEnded(attempt_of("c")), 1.0)
    assert [output.message.outcome for output in returned] == [AttemptOutcome.NOT_RUN]
    assert core.handle(ProgramEnded(attempt_of("late")), 1.0) == []
    late = core.handle(MessageReceived(1, dispatch_of(attempt_of("late"))), 1.1)
    assert late == [Reply(Rejected(RejectReason.TOMBSTONE))]


def test_an_unresponsive_server_is_down_after_three_probes_but_not_crashed():
    """A frozen backend server accepts connections but does not answer. Its runs may still end, so
    they do not count as crashed; waiting attempts end as not run and new ones are rejected.
    """
    core = make_core()
    for name in ("a", "b", "c"):
        core.handle(MessageReceived(1, dispatch_of(attempt_of(name))), 0.0)
    assert core.handle(ProbeResult(False), 1.0) == []
    assert core.handle(ProbeResult(False), 2.0) == []
    returned = core.handle(ProbeResult(False), 3.0)
    assert [output.message.outcome for output in returned] == [AttemptOutcome.NOT_RUN]
    rejected = core.handle(MessageReceived(1, dispatch_of(attempt_of("d"))), 3.1)
    assert rejected == [Reply(Rejected(RejectReason.SERVER_DOWN))]
    core.handle(ProbeResult(True), 4.0)
    assert core.up


def test_the_most_urgent_waiting_attempt_starts_first_and_the_queue_is_bounded():
    """Calls accumulate at a busy server. An entry can neither reorder this queue nor move its calls
    to another server, so it is short, and the rest is rejected while it can run elsewhere.
    """
    core = make_core()
    for name, priority in (("a", 1), ("b", 1), ("c", 5), ("d", 2), ("e", 3), ("f", 4)):
        core.handle(MessageReceived(1, dispatch_of(attempt_of(name), priority)), 0.0)
    full = core.handle(MessageReceived(1, dispatch_of(attempt_of("g"), 0)), 0.0)
    assert full == [Reply(Rejected(RejectReason.FULL))]
    outputs = core.handle(RunFinished("a/1/1", AttemptOutcome.ANSWERED), 1.0)
    started = [output for output in outputs if isinstance(output, StartRun)]
    assert [one.dispatch.attempt.program_id for one in started] == ["d"]


def test_a_draining_server_returns_waiting_attempts_and_finishes_running_ones():
    """An operator drains a server. Calls that have not started must end as not run, so that another
    server takes them, and running calls must not be interrupted.
    """
    core = make_core()
    for name in ("a", "b", "c"):
        core.handle(MessageReceived(1, dispatch_of(attempt_of(name))), 0.0)
    returned = core.handle(DrainChanged(True), 1.0)
    assert [output.message.outcome for output in returned] == [AttemptOutcome.NOT_RUN]
    rejected = core.handle(MessageReceived(1, dispatch_of(attempt_of("d"))), 1.1)
    assert rejected == [Reply(Rejected(RejectReason.DRAINING))]
    ended = core.handle(RunFinished("a/1/1", AttemptOutcome.ANSWERED), 2.0)
    assert ended[0].message.outcome is AttemptOutcome.ANSWERED
