"""Baseline callers that send directly to the backend servers, round robin, without scheduler."""

from __future__ import annotations

import itertools
import json

import eventlet
from urllib3.exceptions import HTTPError

from tarragonhall_fakes._load_caller import Callers, ProgramAbandonedError, ProgramResult
from tarragonhall_fakes._load_workload import ProgramPlan, Step


class DirectCallers(Callers):
    """Callers that keep their own history; nothing is rejected, resent or limited by a budget."""

    def __init__(self, engines: list[str], services: list[str], **options) -> None:
        super().__init__([], {}, **options)
        self._engines = itertools.cycle(engines)
        self._services = itertools.cycle(services)

    def _run_steps(
        self, plan: ProgramPlan, parent: str | None, result: ProgramResult, deadline: float
    ) -> None:
        result.program_ids.append(plan.name)
        messages: list[dict] = []
        history = 0
        for seq, step in enumerate(plan.steps, start=1):
            if step.child is not None:
                self._run_steps(step.child, plan.name, result, deadline)
            if self.now() > deadline:
                raise ProgramAbandonedError("program timed out")
            held = self.call_log.held_by_program.get(plan.name, 0)
            try:
                done = self._send_step(plan, seq, step, messages)
            except (HTTPError, ValueError) as error:
                raise ProgramAbandonedError(f"failed: {type(error).__name__}") from error
            if done is not None:
                result.tokens_at.append((self.now(), done["tokens"]))
                missing = max(0, min(history, done["prompt_tokens"]) - done["cached_tokens"])
                result.recomputed_tokens += missing
                result.wasted_tokens += min(missing, max(0, held - done["cached_tokens"]))
                history = done["prompt_tokens"] + done["tokens"]
            eventlet.sleep(step.pause_s)

    def _send_step(
        self, plan: ProgramPlan, seq: int, step: Step, messages: list[dict]
    ) -> dict | None:
        attempt = f"{plan.name}/{seq}/1"
        if step.kind == "service":
            body = json.dumps({"program": plan.name, "seq": seq})
            url = f"http://{next(self._services)}/{step.target}"
            self._http.request("POST", url, body=body, headers={"X-Attempt-Id": attempt})
            return None
        words = " ".join(f"{plan.name}-{seq}-{word}" for word in range(step.words))
        messages.append({"role": "user", "content": f"{words} [tokens={step.tokens}]"})
        request = {
            "attempt": attempt,
            "program": plan.name,
            "messages": messages,
            "max_tokens": max(step.tokens, 64),
            "priority": 0,
        }
        response = self._http.request(
            "POST", f"http://{next(self._engines)}/v1/generate", json=request
        )
        texts, done = _read_events(response.data.decode())
        messages.append({"role": "assistant", "content": "".join(texts)})
        return done


def _read_events(text: str) -> tuple[list[str], dict]:
    """Return the texts and the terminal event of a stream of server-sent events."""
    texts: list[str] = []
    for block in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines() if ": " in line)
        if fields.get("event") == "token":
            texts.append(json.loads(fields["data"])["text"])
        if fields.get("event") == "done":
            return texts, json.loads(fields["data"])
    raise ValueError("the stream ended early")
