"""Workloads generated from a seed: programs of random length, with tool pauses and sub-agents.

`association` has short programs: route planners, allergy checks and orders that are confirmed and
billed. `agency` has long negotiations with a growing history, and agenda programs that book slots.
Both have eight organisations, a few of them large. Text is in words; one word is one token of the
fake engine, and `[tokens=N]` requests an answer of N tokens.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

MODEL = "planner-8b"
SERVICE = "order-desk"
ORG_SHARES = (0.34, 0.25, 0.15, 0.1, 0.06, 0.05, 0.03, 0.02)


@dataclass(slots=True, frozen=True)
class Step:
    """A model call with `words` of prompt and `tokens` of answer, or a service call.

    `pause_s` is the tool pause after the call; `child` is a sub-agent that runs before it.
    """

    kind: str
    target: str
    words: int = 0
    tokens: int = 0
    repeatable: bool = True
    pause_s: float = 0.0
    child: ProgramPlan | None = None


@dataclass(slots=True, frozen=True)
class ProgramPlan:
    """A program that its caller intends to start `at` seconds after the start of the load."""

    name: str
    org: str
    at: float
    steps: list[Step]

    def tokens(self) -> int:
        """Return the total of generated tokens, sub-agents included."""
        own = sum(step.tokens for step in self.steps)
        return own + sum(step.child.tokens() for step in self.steps if step.child)

    def calls(self) -> int:
        """Return the number of calls, sub-agents included."""
        return len(self.steps) + sum(step.child.calls() for step in self.steps if step.child)


@dataclass(slots=True, frozen=True)
class Workload:
    """The programs to run, in the order of their intended starts."""

    name: str
    seconds: float
    org_ids: list[str]
    programs: list[ProgramPlan] = field(default_factory=list)


def make_workload(
    name: str, seed: int, seconds: float, per_second: float, hot_factor: float = 1.0
) -> Workload:
    """Return a workload in which `per_second` programs arrive on average, as an open loop.

    The largest organisation starts `hot_factor` times as many as usual.
    """
    org_ids = [f"{name}-{number}" for number in range(1, len(ORG_SHARES) + 1)]
    programs: list[ProgramPlan] = []
    for number, (org_id, share) in enumerate(zip(org_ids, ORG_SHARES, strict=True)):
        rng = random.Random(f"{seed}/{org_id}")
        factor = hot_factor if number == 0 else 1.0
        rate = per_second * share * factor
        at = rng.expovariate(rate)
        while at < seconds:
            programs.append(_program(name, org_id, f"{org_id}-p{len(programs)}", at, rng))
            at += rng.expovariate(rate)
    programs.sort(key=lambda plan: plan.at)
    return Workload(name, seconds, org_ids, programs)


def _program(workload: str, org_id: str, name: str, at: float, rng: random.Random) -> ProgramPlan:
    builders = {
        "association": (_route_planner, _allergy_check, _order_desk),
        "agency": (_negotiation, _agenda),
    }[workload]
    return ProgramPlan(name, org_id, at, rng.choice(builders)(name, org_id, rng))


def _model_call(rng: random.Random, words: int, tokens: int) -> Step:
    pause_s = min(2.0, rng.expovariate(1 / 0.15))
    return Step(
        "model", MODEL, rng.randint(words // 2, words), rng.randint(5, tokens), True, pause_s
    )


def _service_call() -> Step:
    return Step("service", SERVICE, repeatable=False)


def _route_planner(name: str, org_id: str, rng: random.Random) -> list[Step]:
    steps = [_model_call(rng, 120, 40)]
    # The length is not known in advance: another call follows with a fixed probability.
    while rng.random() < 0.7 and len(steps) < 12:
        steps.append(_model_call(rng, 30, 40))
    if rng.random() < 0.3:
        child = ProgramPlan(
            f"{name}-child", org_id, 0.0, [_model_call(rng, 60, 30), _model_call(rng, 20, 30)]
        )
        steps.append(Step("model", MODEL, 20, 10, child=child))
    return steps


def _allergy_check(name: str, org_id: str, rng: random.Random) -> list[Step]:
    return [_model_call(rng, 250, 25), _model_call(rng, 30, 25)]


def _order_desk(name: str, org_id: str, rng: random.Random) -> list[Step]:
    return [_model_call(rng, 60, 20), _service_call(), _service_call(), _model_call(rng, 20, 20)]


def _negotiation(name: str, org_id: str, rng: random.Random) -> list[Step]:
    steps = [_model_call(rng, 150, 40)]
    while rng.random() < 0.85 and len(steps) < 20:
        steps.append(_model_call(rng, 40, 40))
    steps.append(_service_call())
    return steps


def _agenda(name: str, org_id: str, rng: random.Random) -> list[Step]:
    return [_model_call(rng, 120, 30), _service_call(), _model_call(rng, 30, 30), _service_call()]
