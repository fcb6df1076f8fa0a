"""Engine memory of relayed calls: what a call needs, which are too large, what is reported."""

from __future__ import annotations

import structlog
from tarragonhall_decisions import EngineMemory
from tarragonhall_model import LoadDetail, RefusalCode
from tarragonhall_wire import Metrics

from tarragonhall_relay._admission import STATUS_UNAVAILABLE, AdmittedCall, Rejection
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)


def memory_tokens(state: RelayState, call: AdmittedCall, service: str) -> int:
    """Return the tokens that a call holds until its end; 0 where the memory is not counted."""
    if not state.chooser.memory.has_limit(service):
        return 0
    facts = call.facts
    output = state.expected_output.tokens(
        call.route.name, facts.max_tokens, facts.expected_output_tokens
    )
    return _prompt_tokens(call) + output


def reject_too_large(state: RelayState, call: AdmittedCall, service: str) -> Rejection | None:
    """Return the rejection of a call whose prompt no engine of its service can hold.

    Engines reject it as if they were full, so a retry is of no use and no time for one is given.
    """
    memory = state.chooser.memory
    if not memory.has_limit(service):
        return None
    prompt = _prompt_tokens(call)
    limit = memory.limit_exceeded(service, prompt)
    if limit is None:
        return None
    state.metrics.count("relay.too_large")
    message = f"the prompt has {prompt} tokens, and the engines of {service} hold {limit}"
    return Rejection(STATUS_UNAVAILABLE, RefusalCode.TOO_LARGE.value, message)


class EngineMemoryReport:
    """Tells the other entries and the operators what this entry's calls hold."""

    __slots__ = ("_memory", "_metrics", "_reported_without_room")

    def __init__(self, memory: EngineMemory, metrics: Metrics) -> None:
        self._memory = memory
        self._metrics = metrics
        self._reported_without_room = 0

    def report_load(self, detail: LoadDetail, now: float) -> None:
        """Add the tokens held by server, and report them to the operators."""
        self._memory.report_load(detail, now)
        self._metrics.gauge("relay.engine_memory_held", self._memory.own_tokens())
        self._metrics.gauge("relay.engine_memory_fullest", self._memory.fullest_share())
        waited = self._memory.without_room - self._reported_without_room
        if waited:
            self._metrics.count("relay.engine_memory_full", waited)
            self._reported_without_room += waited
        for change in self._memory.changes():
            log.info(
                "engine_memory.changed",
                server=change.server_id,
                full=change.is_full,
                held=change.held,
                memory=change.memory,
            )


def _prompt_tokens(call: AdmittedCall) -> int:
    """Return the length of a prompt: the sum of its parts, or what is stated if that is more."""
    return max(call.facts.prompt_tokens, sum(part.tokens for part in call.facts.parts))
