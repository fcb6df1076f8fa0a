"""The core under any order of messages: nothing runs twice, everything ends, slots hold."""

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
    Arrived,
    Broke,
    CommitEnd,
    Committed,
    DrainChanged,
    Finished,
    PeerClosed,
    Probed,
    Produced,
    ProgramGone,
    Reply,
    Send,
    ServerCrashed,
    StartRun,
    StopRun,
    Tick,
)
from tarragonhall_sidecar._execution import UNACKNOWLEDGED_SECONDS, Execution
from tarragonhall_sidecar._memory import AttemptMemory

SLOTS = 2
SERVER = "s1"
LIFE = "life-1"


def make_core(kept: int = 100) -> Execution:
    identity = Identity(SERVER, LIFE, ServerKind.MODEL, SLOTS)
    return Execution(identity, {"m"}, AttemptMemory(kept))


def attempt_of(program: str, seq: int = 1, number: int = 1, life: str = LIFE) -> AttemptId:
    return AttemptId(program, seq, number, SERVER, life)


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
    st.sampled_from([LIFE, LIFE, LIFE, "life-0"]),
)
peers = st.integers(1, 3)


class AnyOrder(RuleBasedStateMachine):
    """Feeds the core any messages and keeps book of what it did."""

    def __init__(self) -> None:
        super().__init__()
        self.core = make_core(kept=3)
        self.now = 0.0
        self.running: set[str] = set()
        self.started: set[str] = set()
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.outcome_by_key: dict[str, AttemptOutcome] = {}

    def feed(self, happened) -> None:
        for output in self.core.handle(happened, self.now):
            self.note(happened, output)

    def note(self, happened, output) -> None:
        match output:
            case Reply(Accepted()):
                assert happened.message.attempt.incarnation == LIFE
            case Reply(Rejected(reason)):
                name = self.name_of(happened.message.attempt)
                self.refused.add(name)
                if reason is not RejectReason.INCARNATION:
                    assert name not in self.started, "said never to have run"
            case StartRun(dispatch):
                name = self.name_of(dispatch.attempt)
                assert name not in self.started, "started twice"
                assert name not in self.refused, "started after it was refused"
                self.started.add(name)
                self.running.add(dispatch.attempt.key)
                assert len(self.running) <= SLOTS
            case StopRun(key, True):
                self.running.discard(key)
            case ServerCrashed(sends=sends):
                for send in sends:
                    self.note(happened, send)
            case Send(_, AttemptEnded(attempt, outcome)):
                known = self.outcome_by_key.setdefault(attempt.key, outcome)
                assert known is outcome, "ended in two ways"
                if outcome is AttemptOutcome.NOT_RUN:
                    assert self.name_of(attempt) not in self.started

    @staticmethod
    def name_of(attempt: AttemptId) -> str:
        return f"{attempt.key}@{attempt.incarnation}"

    @rule(attempt=attempts, peer=peers, priority=st.integers(0, 2), repeatable=st.booleans())
    def dispatch(self, attempt, peer, priority, repeatable):
        self.feed(Arrived(peer, dispatch_of(attempt, priority, repeatable)))

    @rule(attempt=attempts, peer=peers)
    def attach(self, attempt, peer):
        self.feed(Arrived(peer, Attach(attempt)))

    @rule(attempt=attempts, peer=peers)
    def cancel(self, attempt, peer):
        self.feed(Arrived(peer, CancelAttempt(attempt)))

    @rule(attempt=attempts, peer=peers)
    def acknowledge(self, attempt, peer):
        self.feed(Arrived(peer, AttemptAck(attempt)))

    @precondition(lambda self: self.outcome_by_key)
    @rule(data=st.data(), peer=peers)
    def acknowledge_an_end_and_send_again(self, data, peer):
        key = data.draw(st.sampled_from(sorted(self.outcome_by_key)))
        program, seq, number = key.split("/")
        attempt = attempt_of(program, int(seq), int(number))
        self.feed(Arrived(peer, AttemptAck(attempt)))
        self.feed(Arrived(peer, dispatch_of(attempt)))

    @rule(peer=peers)
    def close_peer(self, peer):
        self.feed(PeerClosed(peer))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), outcome=st.sampled_from([AttemptOutcome.ANSWERED, AttemptOutcome.FAILED]))
    def finish(self, data, outcome):
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(key)
        self.feed(Produced(key, "text"))
        self.feed(Finished(key, outcome))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def break_off(self, data):
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(key)
        self.feed(Broke(key, "reset"))

    @rule(up=st.booleans(), refused=st.booleans(), life=st.sampled_from(["", "a", "b"]))
    def probe(self, up, refused, life):
        self.feed(Probed(up, refused and not up, life if up else ""))

    @rule(draining=st.booleans())
    def drain(self, draining):
        self.feed(DrainChanged(draining))

    @rule(seconds=st.sampled_from([0.1, 4.0, 11.0]))
    def wait(self, seconds):
        self.now += seconds
        self.feed(Tick())

    @rule(attempt=attempts)
    def commit(self, attempt):
        self.feed(Committed(attempt.key))

    @invariant()
    def slots_hold(self):
        assert self.core.count(State.RUNNING, State.BROKEN) <= SLOTS
        assert self.core.count(State.RUNNING) == len(self.running)

    def teardown(self):
        for _ in range(20):
            for key in sorted(self.running):
                self.running.discard(key)
                self.feed(Broke(key, "reset"))
            self.now += 11.0
            self.feed(Probed(True))
            self.feed(Tick())
        assert self.core.count(State.WAITING, State.RUNNING, State.BROKEN) == 0


AnyOrder.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
TestAnyOrder = AnyOrder.TestCase


def test_a_dispatch_that_arrives_after_an_attach_never_runs():
    """An entry is paused between the journal and the dispatch, and another entry asks for its
    attempt meanwhile. It is told that the attempt never ran and starts a further one. Without the
    tombstone, the paused entry's dispatch would then bill the district a second time.
    """
    core = make_core()
    attempt = attempt_of("p1")
    attached = core.handle(Arrived(1, Attach(attempt)), 0.0)
    assert reply_in(attached) == Rejected(RejectReason.TOMBSTONE)
    late = core.handle(Arrived(2, dispatch_of(attempt)), 60.0)
    assert late == [Reply(Rejected(RejectReason.TOMBSTONE))]


def test_a_dispatch_of_a_forgotten_program_is_refused():
    """A dispatch lies in a paused entry for hours, until the sidecar has seen so many programs that
    its mark is gone. Were forgetting an attempt the same as never having seen it, it would run.
    """
    core = make_core(kept=2)
    core.handle(Arrived(1, Attach(attempt_of("p1"))), 0.0)
    for name in ("p2", "p3", "p4"):
        core.handle(Arrived(1, Attach(attempt_of(name))), 1.0)
    late = core.handle(Arrived(2, dispatch_of(attempt_of("p1"))), 2.0)
    assert late == [Reply(Rejected(RejectReason.INCARNATION))]


def test_a_dispatch_for_an_earlier_life_is_refused_as_unknown():
    """The sidecar was restarted while a call ran. A resend of its dispatch must not run it again,
    and the new life cannot vouch for what the old one did.
    """
    late = make_core().handle(Arrived(1, dispatch_of(attempt_of("p1", life="life-0"))), 0.0)
    assert late == [Reply(Rejected(RejectReason.INCARNATION))]


def test_a_duplicate_joins_the_run_and_gets_its_end_again():
    """The reply to a dispatch is lost and the entry sends it again. Its caller must get the one
    answer, and a second run would charge it twice.
    """
    core = make_core()
    dispatch = dispatch_of(attempt_of("p1"))
    core.handle(Arrived(1, dispatch), 0.0)
    core.handle(Produced(dispatch.attempt.key, "half"), 0.1)
    again = core.handle(Arrived(2, dispatch), 0.2)
    assert kinds(again) == [Reply, Send]
    ended = core.handle(Finished(dispatch.attempt.key, AttemptOutcome.ANSWERED), 0.3)
    assert [output.peer for output in ended] == [1, 2]
    once_more = core.handle(Arrived(3, dispatch), 0.4)
    assert reply_in(once_more) == Accepted()
    assert once_more[-1].message == ended[0].message


def test_a_crash_names_all_that_ran_and_spares_what_waited():
    """One request brings the engine down and takes its neighbours with it. All of them are suspects
    together; what had not started is handed back as not run, so that its caller loses nothing.
    """
    core = make_core()
    for name in ("p1", "p2", "p3"):
        core.handle(Arrived(1, dispatch_of(attempt_of(name))), 0.0)
    core.handle(Broke("p1/1/1", "reset"), 1.0)
    outputs = core.handle(Probed(False, refused=True), 1.1)
    crash = next(output for output in outputs if isinstance(output, ServerCrashed))
    assert [one.attempt.program_id for one in crash.dispatches] == ["p1", "p2"]
    ends = [send.message for send in (*crash.sends, *outputs) if isinstance(send, Send)]
    outcome_by_program = {end.attempt.program_id: end.outcome for end in ends}
    assert outcome_by_program == {
        "p1": AttemptOutcome.CRASHED,
        "p2": AttemptOutcome.CRASHED,
        "p3": AttemptOutcome.NOT_RUN,
    }


def test_a_server_that_restarted_at_once_counts_as_crashed():
    """A supervisor restarts the engine within the second, so the probe finds it well. Its life has
    changed, and that tells the crash from a connection that merely broke.
    """
    core = make_core()
    core.handle(Probed(True, life="a"), 0.0)
    core.handle(Arrived(1, dispatch_of(attempt_of("p1"))), 0.1)
    core.handle(Broke("p1/1/1", "reset"), 1.0)
    outputs = core.handle(Probed(True, life="b"), 1.1)
    assert ServerCrashed in kinds(outputs)


def test_an_end_that_no_one_takes_is_committed_once():
    """The entry dies after its dispatch. The answer was paid for, and the caller will ask another
    entry for it, so the sidecar puts it in the journal itself.
    """
    core = make_core()
    core.handle(Arrived(1, dispatch_of(attempt_of("p1"))), 0.0)
    core.handle(PeerClosed(1), 0.5)
    core.handle(Finished("p1/1/1", AttemptOutcome.ANSWERED), 1.0)
    assert core.handle(Tick(), 1.0 + UNACKNOWLEDGED_SECONDS / 2) == []
    assert kinds(core.handle(Tick(), 1.1 + UNACKNOWLEDGED_SECONDS)) == [CommitEnd]
    assert core.handle(Tick(), 9.0) == []
    core.handle(Committed("p1/1/1"), 9.1)
    assert core.count(*State) == 0


def test_a_cancel_is_repeated_until_the_run_ends():
    """The request that cancels a run is lost on its way to the engine. The engine would go on to
    generate, and the budget to shrink, for a caller who has left.
    """
    core = make_core()
    core.handle(Arrived(1, dispatch_of(attempt_of("p1"))), 0.0)
    core.handle(Arrived(1, CancelAttempt(attempt_of("p1"))), 1.0)
    assert core.handle(Tick(), 1.5) == []
    assert core.handle(Tick(), 2.1) == [StopRun("p1/1/1", abandon=False)]
    core.handle(Finished("p1/1/1", AttemptOutcome.CANCELLED), 2.2)
    assert core.handle(Tick(), 3.3) == []


def test_answers_that_no_one_takes_stop_new_work_before_they_fill_the_memory():
    """Control is away and the entries are dead, so answers pile up here. Taking more calls would
    end in the loss of the process, and with it of every answer that was paid for.
    """
    core = make_core()
    for number in range(9):
        attempt = attempt_of(f"p{number}")
        reply = reply_in(core.handle(Arrived(1, dispatch_of(attempt)), 0.0))
        assert reply == Accepted()
        answer = Answer("x" * 1024 * 1024)
        core.handle(Finished(attempt.key, AttemptOutcome.ANSWERED, answer), 0.0)
    refused = core.handle(Arrived(1, dispatch_of(attempt_of("p9"))), 0.0)
    assert refused == [Reply(Rejected(RejectReason.FULL))]
    core.handle(Arrived(1, AttemptAck(attempt_of("p0"))), 0.0)
    core.handle(Arrived(1, AttemptAck(attempt_of("p1"))), 0.0)
    taken = core.handle(Arrived(1, dispatch_of(attempt_of("p10"))), 0.0)
    assert reply_in(taken) == Accepted()


def test_the_attempts_of_a_program_that_is_gone_are_stopped():
    """A program is cancelled while a call of its sub-agent runs, another waits and a third is still
    on its way here. They would fill slots for nobody, and their program's memory would stay.
    """
    core = make_core()
    for name in ("a", "b", "c"):
        core.handle(Arrived(1, dispatch_of(attempt_of(name))), 0.0)
    assert core.handle(ProgramGone(attempt_of("a")), 1.0) == [StopRun("a/1/1", abandon=False)]
    handed_back = core.handle(ProgramGone(attempt_of("c")), 1.0)
    assert [output.message.outcome for output in handed_back] == [AttemptOutcome.NOT_RUN]
    assert core.handle(ProgramGone(attempt_of("late")), 1.0) == []
    late = core.handle(Arrived(1, dispatch_of(attempt_of("late"))), 1.1)
    assert late == [Reply(Rejected(RejectReason.TOMBSTONE))]


def test_a_server_that_stops_answering_is_down_after_a_few_probes_but_not_crashed():
    """A backend server is frozen: it accepts connections and answers nothing. What it runs may yet
    end, so it is not called crashed; what waits is handed back and no more is taken.
    """
    core = make_core()
    for name in ("a", "b", "c"):
        core.handle(Arrived(1, dispatch_of(attempt_of(name))), 0.0)
    assert core.handle(Probed(False), 1.0) == []
    assert core.handle(Probed(False), 2.0) == []
    handed_back = core.handle(Probed(False), 3.0)
    assert [output.message.outcome for output in handed_back] == [AttemptOutcome.NOT_RUN]
    refused = core.handle(Arrived(1, dispatch_of(attempt_of("d"))), 3.1)
    assert refused == [Reply(Rejected(RejectReason.SERVER_DOWN))]
    core.handle(Probed(True), 4.0)
    assert core.up


def test_the_most_urgent_waiting_attempt_starts_first_and_the_line_is_bounded():
    """The server is busy and calls pile up. A long line here would be one that no entry can reorder
    or hand to another server, so it is short, and the rest is refused while it can still go on.
    """
    core = make_core()
    for name, priority in (("a", 1), ("b", 1), ("c", 5), ("d", 2), ("e", 3), ("f", 4)):
        core.handle(Arrived(1, dispatch_of(attempt_of(name), priority)), 0.0)
    full = core.handle(Arrived(1, dispatch_of(attempt_of("g"), 0)), 0.0)
    assert full == [Reply(Rejected(RejectReason.FULL))]
    outputs = core.handle(Finished("a/1/1", AttemptOutcome.ANSWERED), 1.0)
    started = [output for output in outputs if isinstance(output, StartRun)]
    assert [one.dispatch.attempt.program_id for one in started] == ["d"]


def test_a_draining_server_hands_back_what_waits_and_finishes_what_runs():
    """An operator drains a server. Callers whose calls had not started must not wait for a server
    that is going away, and those that run must not be cut off.
    """
    core = make_core()
    for name in ("a", "b", "c"):
        core.handle(Arrived(1, dispatch_of(attempt_of(name))), 0.0)
    handed_back = core.handle(DrainChanged(True), 1.0)
    assert [output.message.outcome for output in handed_back] == [AttemptOutcome.NOT_RUN]
    refused = core.handle(Arrived(1, dispatch_of(attempt_of("d"))), 1.1)
    assert refused == [Reply(Rejected(RejectReason.DRAINING))]
    ended = core.handle(Finished("a/1/1", AttemptOutcome.ANSWERED), 2.0)
    assert ended[0].message.outcome is AttemptOutcome.ANSWERED
