"""Callers: each runs one program call by call through the callers' API, and notes what it gets."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

from tarragonhall_fakes._load_workload import ProgramPlan, Step

CALL_TIMEOUT_S = 30.0
LOST_PAUSE_S = 0.2
MIN_PAUSE_S = 0.02
POOL_SIZE = 200


@dataclass(slots=True)
class Sent:
    """A call as its caller sent it, and the code of the refusal that came back, if one did."""

    org: str
    at: float
    code: str = ""


@dataclass(slots=True)
class ProgramResult:
    """What became of one program, sub-agents included. Times count from the start of the load."""

    plan: ProgramPlan
    program_ids: list[str] = field(default_factory=list)
    finished_at: float | None = None
    failure: str = ""
    tokens_at: list[tuple[float, int]] = field(default_factory=list)
    wasted_tokens: int = 0
    recomputed_tokens: int = 0
    overrun: str = ""

    def tokens_until(self, at: float) -> int:
        """Return the tokens received until a time."""
        return sum(tokens for received, tokens in self.tokens_at if received <= at)

    def latency(self) -> float | None:
        """Return the time from the intended start to the end, if it ended well."""
        return None if self.finished_at is None else self.finished_at - self.plan.at


@dataclass(slots=True)
class Journal:
    """What all callers saw: each call sent, resends included, and what was refused."""

    sent: list[Sent] = field(default_factory=list)
    lost: int = 0
    held_by_program: dict[str, int] = field(default_factory=dict)


class GaveUpError(Exception):
    """The program cannot go on."""


class Callers:
    """Runs programs against the entries, one after the other for each call."""

    def __init__(
        self,
        entries: list[str],
        key_by_org: dict[str, str],
        patience_s: float,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.journal = Journal()
        self._entries = itertools.cycle(entries)
        self._key_by_org = key_by_org
        self._patience_s = patience_s
        self._timeout_s = timeout_s
        self._started = time.monotonic()
        self._http = urllib3.PoolManager(
            retries=False, timeout=timeout_s + 5.0, maxsize=POOL_SIZE, num_pools=50
        )

    def now(self) -> float:
        """Return the seconds since the start of the load."""
        return time.monotonic() - self._started

    def start_clock(self) -> None:
        """Count times from now."""
        self._started = time.monotonic()

    def run(self, plan: ProgramPlan) -> ProgramResult:
        """Run a program to its end or until its caller's patience is over."""
        result = ProgramResult(plan)
        try:
            self._run_steps(plan, None, result, plan.at + self._patience_s)
            result.finished_at = self.now()
        except GaveUpError as error:
            result.failure = str(error)
        return result

    def _run_steps(
        self, plan: ProgramPlan, parent: str | None, result: ProgramResult, until: float
    ) -> None:
        body = {"labels": {"name": plan.name}} | ({"parent": parent} if parent else {})
        opened = self._send(plan.org, "/v1/programs", body, until, {"Idempotency-Key": plan.name})
        program_id = opened["program_id"]
        result.program_ids.append(program_id)
        history = 0
        for seq, step in enumerate(plan.steps, start=1):
            if step.child is not None:
                self._run_steps(step.child, program_id, result, until)
            body = _call_body(plan, seq, step, self._timeout_s)
            held = self.journal.held_by_program.get(program_id, 0)
            value = self._send(plan.org, f"/v1/programs/{program_id}/calls", body, until)
            usage = value["answer"]["usage"]
            if step.kind == "model":
                result.tokens_at.append((self.now(), usage["generated"]))
                missing = max(0, min(history, usage["prompt"]) - usage["cached"])
                result.recomputed_tokens += missing
                result.wasted_tokens += min(missing, max(0, held - usage["cached"]))
                history = usage["prompt"] + usage["generated"]
            eventlet.sleep(step.pause_s)
        self._send(plan.org, f"/v1/programs/{program_id}/finish", {}, until)

    def _send(
        self, org: str, path: str, body: dict, until: float, headers: dict | None = None
    ) -> dict:
        """Send until there is an answer; come back when a refusal says so."""
        while True:
            sent = Sent(org, self.now())
            if path.endswith("/calls"):
                self.journal.sent.append(sent)
            try:
                status, value = self._post(org, path, body, headers)
            except HTTPError:
                # The connection broke: the same request again is answered from the journal.
                self.journal.lost += 1
                self._pause(LOST_PAUSE_S, until, "lost connection")
                continue
            if status < 300:
                return value
            code = value.get("error", str(status))
            execution = value.get("execution", "")
            sent.code = code
            if execution != "not_run" or value.get("retry_after_ms") is None:
                raise GaveUpError(f"{code} {execution}")
            self._pause(value["retry_after_ms"] / 1000, until, code)

    def _pause(self, seconds: float, until: float, why: str) -> None:
        seconds = max(MIN_PAUSE_S, seconds)
        if self.now() + seconds > until:
            raise GaveUpError(f"patience over: {why}")
        eventlet.sleep(seconds)

    def _post(self, org: str, path: str, body: dict, headers: dict | None) -> tuple[int, dict]:
        response = self._http.request(
            "POST",
            f"http://{next(self._entries)}{path}",
            json=body,
            headers={"Authorization": f"Bearer {self._key_by_org[org]}"} | (headers or {}),
        )
        return response.status, response.json()

    def report(self, org: str, program_id: str) -> dict:
        """Return a program as the API shows it."""
        response = self._http.request(
            "GET",
            f"http://{next(self._entries)}/v1/programs/{program_id}",
            headers={"Authorization": f"Bearer {self._key_by_org[org]}"},
        )
        return response.json()


def _call_body(plan: ProgramPlan, seq: int, step: Step, timeout_s: float) -> dict:
    words = " ".join(f"{plan.name}-{seq}-{word}" for word in range(step.words))
    body = f"{words} [tokens={step.tokens}]"
    if step.kind == "service":
        body = f'{{"program": "{plan.name}", "seq": {seq}}}'
    return {
        "seq": seq,
        "kind": step.kind,
        "target": step.target,
        "body": body,
        "repeatable": step.repeatable,
        "max_tokens": max(step.tokens, 64) if step.kind == "model" else 0,
        "timeout_ms": int(timeout_s * 1000),
    }
