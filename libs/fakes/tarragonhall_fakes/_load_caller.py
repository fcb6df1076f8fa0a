"""Callers that run programs call by call through the callers' API and record the replies."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field

import eventlet
import urllib3
from tarragonhall_model import WholeResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from tarragonhall_fakes._load_workload import ProgramPlan, Step

CALL_TIMEOUT_S = 30.0
RECONNECT_DELAY_S = 0.2
MIN_RETRY_DELAY_S = 0.02
POOL_SIZE = 200


@dataclass(slots=True)
class SentCall:
    """A call that was sent, with the error code of its refusal if it was refused."""

    org: str
    at: float
    code: str = ""


@dataclass(slots=True)
class ProgramResult:
    """The result of one program, sub-agents included; times count from the start of the load."""

    plan: ProgramPlan
    program_ids: list[str] = field(default_factory=list)
    finished_at: float | None = None
    failure: str = ""
    tokens_at: list[tuple[float, int]] = field(default_factory=list)
    wasted_tokens: int = 0
    recomputed_tokens: int = 0
    overrun: str = ""

    def tokens_until(self, at: float) -> int:
        """Return the tokens received up to a time."""
        return sum(tokens for received, tokens in self.tokens_at if received <= at)

    def latency(self) -> float | None:
        """Return the time from the intended start to the end, or None if it did not finish."""
        return None if self.finished_at is None else self.finished_at - self.plan.at


@dataclass(slots=True)
class CallLog:
    """All calls sent, resends included, and the counters that all callers share."""

    sent: list[SentCall] = field(default_factory=list)
    lost_connections: int = 0
    held_by_program: dict[str, int] = field(default_factory=dict)


class ProgramAbandonedError(Exception):
    """The caller abandoned the program; the message gives the reason."""


class _Connection(HTTPConnection):
    response_class = WholeResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class Callers:
    """Runs programs against the entries, which take the requests in rotation."""

    def __init__(
        self,
        entries: list[str],
        key_by_org: dict[str, str],
        program_timeout_s: float,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.call_log = CallLog()
        self._entries = itertools.cycle(entries)
        self._key_by_org = key_by_org
        self._program_timeout_s = program_timeout_s
        self._timeout_s = timeout_s
        self._started = time.monotonic()
        self._http = urllib3.PoolManager(
            retries=False, timeout=timeout_s + 5.0, maxsize=POOL_SIZE, num_pools=50
        )
        self._http.pool_classes_by_scheme = {"http": _Pool}

    def now(self) -> float:
        """Return the seconds since the start of the load."""
        return time.monotonic() - self._started

    def start_clock(self) -> None:
        """Reset the start of the load to now."""
        self._started = time.monotonic()

    def run(self, plan: ProgramPlan) -> ProgramResult:
        """Run a program until it ends, fails or times out."""
        result = ProgramResult(plan)
        try:
            self._run_steps(plan, None, result, plan.at + self._program_timeout_s)
            result.finished_at = self.now()
        except ProgramAbandonedError as error:
            result.failure = str(error)
        return result

    def _run_steps(
        self, plan: ProgramPlan, parent: str | None, result: ProgramResult, deadline: float
    ) -> None:
        body = {"labels": {"name": plan.name}} | ({"parent": parent} if parent else {})
        opened = self._send(
            plan.org, "/v1/programs", body, deadline, {"Idempotency-Key": plan.name}
        )
        program_id = opened["program_id"]
        result.program_ids.append(program_id)
        history = 0
        for seq, step in enumerate(plan.steps, start=1):
            if step.child is not None:
                self._run_steps(step.child, program_id, result, deadline)
            body = _call_body(plan, seq, step, self._timeout_s)
            held = self.call_log.held_by_program.get(program_id, 0)
            value = self._send(plan.org, f"/v1/programs/{program_id}/calls", body, deadline)
            usage = value["answer"]["usage"]
            if step.kind == "model":
                result.tokens_at.append((self.now(), usage["generated"]))
                missing = max(0, min(history, usage["prompt"]) - usage["cached"])
                result.recomputed_tokens += missing
                result.wasted_tokens += min(missing, max(0, held - usage["cached"]))
                history = usage["prompt"] + usage["generated"]
            eventlet.sleep(step.pause_s)
        self._send(plan.org, f"/v1/programs/{program_id}/finish", {}, deadline)

    def _send(
        self, org: str, path: str, body: dict, deadline: float, headers: dict | None = None
    ) -> dict:
        """Send until there is an answer, waiting as long as each refusal requests."""
        while True:
            sent = SentCall(org, self.now())
            if path.endswith("/calls"):
                self.call_log.sent.append(sent)
            try:
                status, value = self._post(org, path, body, headers)
            except HTTPError:
                # The connection was lost: an identical request is answered from the journal.
                self.call_log.lost_connections += 1
                self._wait_for_retry(RECONNECT_DELAY_S, deadline, "lost connection")
                continue
            if status < 300:
                return value
            code = value.get("error", str(status))
            execution = value.get("execution", "")
            sent.code = code
            if execution != "not_run" or value.get("retry_after_ms") is None:
                raise ProgramAbandonedError(f"{code} {execution}")
            self._wait_for_retry(value["retry_after_ms"] / 1000, deadline, code)

    def _wait_for_retry(self, seconds: float, deadline: float, reason: str) -> None:
        seconds = max(MIN_RETRY_DELAY_S, seconds)
        if self.now() + seconds > deadline:
            raise ProgramAbandonedError(f"program timed out: {reason}")
        eventlet.sleep(seconds)

    def _post(self, org: str, path: str, body: dict, headers: dict | None) -> tuple[int, dict]:
        response = self._http.request(
            "POST",
            f"http://{next(self._entries)}{path}",
            json=body,
            headers={"Authorization": f"Bearer {self._key_by_org[org]}"} | (headers or {}),
        )
        return response.status, response.json()

    def fetch_program(self, org: str, program_id: str) -> dict:
        """Return a program's report from the API."""
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
