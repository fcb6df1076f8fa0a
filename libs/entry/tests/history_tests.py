"""Simulates random histories of one call: real flows and the real journal, with random faults.

Entries crash, links lose or delay messages, sidecars restart and commits lose their reply. Each
history is checked for the guarantees to callers.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import example, given, settings
from hypothesis import strategies as st
from tarragonhall_decisions import Abandon, Retry
from tarragonhall_entry import _effects as effects
from tarragonhall_entry._flow import call_flow
from tarragonhall_model import (
    Accepted,
    Answer,
    AttemptEnded,
    AttemptId,
    AttemptOutcome,
    Budget,
    CallClosed,
    CallKind,
    CallSpec,
    Execution,
    OpenProgram,
    Refusal,
    RefusalCode,
    Rejected,
    RejectReason,
    ServerKind,
    ServerRecord,
)
from tarragonhall_state._journal import Journal

ENTRIES = ("entry-1", "entry-2")
SERVERS = ("desk-1", "desk-2")
STEPS = 400
DEADLINE = Refusal(RefusalCode.DEADLINE, "late")


@dataclass(slots=True)
class Sidecar:
    """One incarnation of a sidecar; like the real one, it runs each attempt at most once."""

    server_id: str
    incarnation: int = 0
    running: dict[str, AttemptId] = field(default_factory=dict)
    end_by_key: dict[str, AttemptEnded] = field(default_factory=dict)
    known_keys: set[str] = field(default_factory=set)

    def record(self) -> ServerRecord:
        return ServerRecord(
            self.server_id, f"life-{self.incarnation}", "a:1", "zone", ServerKind.SERVICE, ["desk"]
        )

    def is_for_this_incarnation(self, attempt: AttemptId) -> bool:
        return attempt.incarnation == f"life-{self.incarnation}"

    def dispatch(self, attempt: AttemptId, full: bool) -> Accepted | Rejected:
        if not self.is_for_this_incarnation(attempt):
            return Rejected(RejectReason.INCARNATION)
        if attempt.key in self.running or attempt.key in self.end_by_key:
            return Accepted()
        if attempt.key in self.known_keys:
            return Rejected(RejectReason.TOMBSTONE)
        self.known_keys.add(attempt.key)
        if full:
            return Rejected(RejectReason.FULL)
        self.running[attempt.key] = attempt
        return Accepted()

    def attach(self, attempt: AttemptId) -> Accepted | Rejected:
        if not self.is_for_this_incarnation(attempt):
            return Rejected(RejectReason.INCARNATION)
        if attempt.key in self.running or attempt.key in self.end_by_key:
            return Accepted()
        self.known_keys.add(attempt.key)
        return Rejected(RejectReason.TOMBSTONE)

    def may_still_run(self, attempt: AttemptId) -> bool:
        return self.is_for_this_incarnation(attempt) and attempt.key not in self.known_keys


@dataclass(slots=True)
class Flow:
    """One request at one entry. `result` is what its caller got."""

    entry_id: str
    steps: object
    effect: object = None
    result: CallClosed | None = None


class Simulation:
    """The journal, entries, sidecars and links around the flows; `rng` decides what fails."""

    def __init__(self, rng: random.Random, repeatable: bool) -> None:
        self.rng = rng
        self.spec = CallSpec(1, CallKind.SERVICE, "desk", "{}", repeatable=repeatable)
        self.journal = Journal()
        self.journal.apply(OpenProgram("prog", "org", Budget(), 600), (), 0)
        self.sidecar_by_id = {name: Sidecar(name) for name in SERVERS}
        self.live_entries = set(ENTRIES)
        self.flows: list[Flow] = []
        self.delayed: list[AttemptId] = []
        self.executions = 0
        self.results: list[CallClosed] = []
        self.faults = True

    def happens(self, probability: float) -> bool:
        return self.faults and self.rng.random() < probability

    def send_call(self) -> None:
        entry_id = self.rng.choice(sorted(self.live_entries))
        call = effects.Call("c", "prog", "org", "key", self.spec, entry_id, 60.0)
        steps = call_flow(call)
        self.flows.append(Flow(entry_id, steps, steps.send(None)))

    def step(self) -> None:
        if self.flows and self.rng.random() < 0.7:
            self.advance(self.rng.choice(self.flows))
        elif self.happens(0.1):
            self.kill_entry()
        elif self.happens(0.1):
            self.restart_sidecar()
        elif self.delayed and self.rng.random() < 0.3:
            attempt = self.delayed.pop()
            self.sidecar_by_id[attempt.server_id].dispatch(attempt, False)
        else:
            self.run_attempts()

    def kill_entry(self) -> None:
        if len(self.live_entries) < 2:
            self.live_entries = set(ENTRIES)
            return
        dead = self.rng.choice(sorted(self.live_entries))
        self.live_entries.discard(dead)
        self.flows = [flow for flow in self.flows if flow.entry_id != dead]

    def restart_sidecar(self) -> None:
        old = self.sidecar_by_id[self.rng.choice(SERVERS)]
        self.sidecar_by_id[old.server_id] = Sidecar(old.server_id, old.incarnation + 1)

    def run_attempts(self) -> None:
        sidecar = self.sidecar_by_id[self.rng.choice(SERVERS)]
        for attempt in list(sidecar.running.values()):
            del sidecar.running[attempt.key]
            self.executions += 1
            answer, outcome = Answer(f"execution {self.executions}"), AttemptOutcome.ANSWERED
            if self.happens(0.3):
                answer, outcome = None, AttemptOutcome.FAILED
            sidecar.end_by_key[attempt.key] = AttemptEnded(attempt, outcome, answer)

    def advance(self, flow: Flow) -> None:
        result = self.perform(flow, flow.effect)
        if result is NOT_YET:
            return
        try:
            flow.effect = flow.steps.send(result)
        except StopIteration as stop:
            flow.result = stop.value
            self.flows.remove(flow)
            self.results.append(stop.value)
            self.check_not_run(stop.value)

    def perform(self, flow: Flow, effect: object) -> object:
        match effect:
            case effects.Commit(body=body):
                return self.commit(body)
            case effects.QueryControl(query=query):
                if self.happens(0.2):
                    return effects.Unavailable("lost")
                return self.journal.call(
                    query.program_id, query.seq, query.org_id, self.live_entries
                )
            case effects.TakeToken() | effects.CheckKey() | effects.CheckQuarantine():
                return DEADLINE if self.happens(0.1) else None
            case effects.TryAcquireSlot():
                return self.assign() if self.rng.random() < 0.5 else None
            case effects.AcquireSlot():
                return DEADLINE if self.happens(0.1) else self.assign()
            case effects.SendDispatch(message=message):
                return self.dispatch(message.attempt)
            case effects.Reattach(attempt=attempt):
                if self.happens(0.3):
                    return effects.LinkLost()
                return self.sidecar_by_id[attempt.server_id].attach(attempt)
            case effects.AwaitEnd(attempt=attempt):
                return self.await_end(attempt)
            case effects.DecideRetry():
                return self.decide(effect)
            case effects.EntryInView(entry_id=entry_id):
                return entry_id in self.live_entries
            case effects.FindServer(attempt=attempt):
                sidecar = self.sidecar_by_id[attempt.server_id]
                return sidecar.record() if sidecar.is_for_this_incarnation(attempt) else None
            case effects.Pause() | effects.AwaitPredecessor():
                return not self.happens(0.05)
        return None

    def commit(self, body: object) -> object:
        if self.happens(0.05):
            return effects.Unavailable("command lost")
        result = self.journal.apply(body, self.live_entries, 1_000)
        return effects.Unavailable("reply lost") if self.happens(0.05) else result

    def assign(self) -> effects.SlotAssigned:
        return effects.SlotAssigned(self.sidecar_by_id[self.rng.choice(SERVERS)].record())

    def dispatch(self, attempt: AttemptId) -> object:
        if self.happens(0.1):
            return effects.NotSent()
        if self.happens(0.2):
            self.delayed.append(attempt)
            return effects.LinkLost()
        reply = self.sidecar_by_id[attempt.server_id].dispatch(attempt, self.happens(0.2))
        return effects.LinkLost() if self.happens(0.2) else reply

    def await_end(self, attempt: AttemptId) -> object:
        if self.happens(0.05):
            return effects.Expired()
        sidecar = self.sidecar_by_id[attempt.server_id]
        if self.happens(0.1) or not sidecar.is_for_this_incarnation(attempt):
            return effects.LinkLost()
        return sidecar.end_by_key.get(attempt.key, NOT_YET)

    def decide(self, effect: effects.DecideRetry) -> Retry | Abandon:
        proven = isinstance(effect.failure, Rejected)
        proven = proven or effect.failure is AttemptOutcome.NOT_RUN
        if not proven and not self.spec.repeatable:
            return Abandon(Refusal(RefusalCode.SERVER_FAILED, "failed", Execution.UNKNOWN))
        if effect.tries > 4 or self.happens(0.1):
            return Abandon(Refusal(RefusalCode.SERVER_FAILED, "enough"))
        return Retry(0.0)

    def check_not_run(self, result: CallClosed) -> None:
        """Check that a "not run" is true, and that no attempt in flight can make it false."""
        if (
            result.refusal is None
            or result.refusal.execution is not Execution.NOT_RUN
            or self.flows
        ):
            return
        assert self.executions == 0, result
        for sidecar in self.sidecar_by_id.values():
            assert not sidecar.running, result
        for attempt in self.delayed:
            sidecar = self.sidecar_by_id[attempt.server_id]
            assert not sidecar.may_still_run(attempt), (result, attempt)

    def finish(self) -> None:
        """Run all flows to their end without further faults."""
        self.faults = False
        self.live_entries = set(ENTRIES)
        for _ in range(STEPS * 5):
            if not self.flows:
                return
            self.step()
        raise AssertionError(f"a flow never ended; its last effect is {self.flows[0].effect}")


NOT_YET = object()


def simulate(seed: int, repeatable: bool) -> Simulation:
    simulation = Simulation(random.Random(seed), repeatable)
    simulation.send_call()
    for _ in range(STEPS):
        if simulation.rng.random() < 0.02 and len(simulation.flows) < 4:
            simulation.send_call()
        simulation.step()
    simulation.finish()
    return simulation


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_a_non_repeatable_call_runs_at_most_once(seed):
    # A caller resends a billing call while entries crash, sidecars restart and links lose or delay
    # messages. The customer must be billed at most once, and all answers must be the same.
    simulation = simulate(seed, repeatable=False)
    assert simulation.executions <= 1
    answers = {result.answer.text for result in simulation.results if result.answer is not None}
    assert len(answers) <= 1


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
@example(360)  # The holder had abandoned the call but stayed up: resends through the other hung.
def test_all_answers_to_a_repeatable_call_are_the_same(seed):
    # The call may run several times during failures, but the program continues from one answer. Two
    # different ones would give it two histories.
    simulation = simulate(seed, repeatable=True)
    answers = {result.answer.text for result in simulation.results if result.answer is not None}
    assert len(answers) <= 1


def test_the_histories_include_answers_and_both_kinds_of_refusal():
    # Guards against checks that pass because no history includes the case that they check.
    simulations = [simulate(seed, repeatable=False) for seed in range(200)]
    results = [one for simulation in simulations for one in simulation.results]
    assert sum(one.answer is not None for one in results) > 50
    executions = {one.refusal.execution for one in results if one.refusal is not None}
    assert executions == {Execution.NOT_RUN, Execution.UNKNOWN}
