"""The turn of one call, from the reservation of its tokens until it is stored or released.

A call on a route that retains no turns still draws on the token budget of its program. Only the
number of tokens is stored for it, not its texts.
"""

from __future__ import annotations

from tarragonhall_model import BudgetSpent, ProgramSpent, RefusalCode, Service, UnknownTurn
from tarragonhall_wire import UnavailableError

from tarragonhall_relay._admission import STATUS_UNAVAILABLE, AdmittedCall, Rejection
from tarragonhall_relay._errors import IncompleteResponseError
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._turn_store import OpenTurn, TurnKey, TurnStoreError

STORE_RETRY_S = 0.8
# Limits of the time that a reservation may take, in seconds and as a share of the call's time. An
# election of a store leader is over by then.
RESERVE_TIMEOUT_SECONDS = 3.0
RESERVE_TIMEOUT_FRACTION = 0.5
BUDGET_EXHAUSTED = Rejection(
    402, RefusalCode.BUDGET_EXHAUSTED.value, "the token budget is exhausted"
)


class CallTurn:
    """Holds the reservation of a turn, which must be released unless the turn is stored."""

    __slots__ = ("_key", "_open_turn", "_state", "_store")

    def __init__(self, state: RelayState) -> None:
        self._state = state
        self._store = state.turn_store
        self._key: TurnKey | None = None
        self._open_turn: OpenTurn | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the call is a turn that may run and is to be stored."""
        return self._open_turn is not None

    @property
    def last_server(self) -> str:
        """Return the server that ran the previous turn; empty if there is none."""
        return self._open_turn.server_id if self._open_turn is not None else ""

    def reject_exhausted(self, call: AdmittedCall) -> Rejection | None:
        """Return the rejection of a turn that does not fit into its program's known budget."""
        key = _key_of(call)
        if key.token_budget is None:
            return None
        now = self._state.monotonic()
        if self._state.exhausted_programs.exceeds_budget(
            key.org_id, key.program_id, key.token_budget, key.max_tokens, now
        ):
            return BUDGET_EXHAUSTED
        return None

    def reserve(self, call: AdmittedCall, now: float) -> Rejection | None:
        """Reserve the call's tokens, and read its history if the route retains turns."""
        if not call.route.retained and call.facts.token_budget is None:
            return None
        self._key = _key_of(call)
        left_s = call.deadline.at - now
        try:
            result = self._store.reserve(
                self._key, min(RESERVE_TIMEOUT_SECONDS, left_s * RESERVE_TIMEOUT_FRACTION)
            )
        except TurnStoreError as error:
            self._key = None
            return Rejection(
                STATUS_UNAVAILABLE, RefusalCode.UNAVAILABLE.value, str(error), STORE_RETRY_S
            )
        match result:
            case BudgetSpent(spent=spent):
                self._note_exhausted(spent)
                self._key = None
                return BUDGET_EXHAUSTED
            case UnknownTurn():
                self._key = None
                message = f"there is no turn {call.facts.previous_turn!r}"
                return Rejection(404, RefusalCode.NOT_FOUND.value, message)
        if call.route.retained:
            self._open_turn = result
        return None

    def _note_exhausted(self, spent: int) -> None:
        """Remember a program whose budget can never hold this turn, and report it."""
        key = self._key
        if spent + key.max_tokens <= key.token_budget:
            # Running turns have reserved the rest of the budget and may return some of it.
            return
        message = ProgramSpent(key.org_id, key.program_id, spent, key.retention_ms)
        now = self._state.monotonic()
        self._state.exhausted_programs.record_usage(
            key.org_id, key.program_id, spent, key.retention_ms / 1000, now
        )
        self._state.report_exhausted(message)

    def prompt(self, body: bytes) -> tuple[bytes, ...]:
        """Return the bytes for the server: the history of the conversation, then the new input."""
        return (*self._open_turn.history, body) if self._open_turn is not None else (body,)

    def prompt_size(self, body: bytes) -> int:
        """Return the length of `prompt` in bytes."""
        return sum(map(len, self.prompt(body)))

    def persist(self, body: bytes, output: bytes, used: int, server_id: str) -> None:
        """Store the completed turn; raise `IncompleteResponseError` if that may have failed."""
        if self._open_turn is None:
            return
        try:
            self._store.persist(self._open_turn, body, output, used, server_id)
        except UnavailableError as error:
            # After a complete response the client would continue from a turn that may be missing.
            raise IncompleteResponseError(f"the turn could not be stored: {error}") from error
        self._key = None

    def release(self, used: int) -> None:
        """Release the reservation unless the turn was stored; `used` tokens reached the client."""
        if self._key is not None:
            self._store.release(self._key, used)
            self._key = None
        if self._open_turn is not None:
            self._store.close(self._open_turn)
            self._open_turn = None


def count_tokens(events: int, service: Service | None) -> int:
    """Return how many tokens a number of events of a service contain."""
    engine = service.engine if service is not None else None
    return events * (engine.tokens_per_event if engine is not None else 1)


def _key_of(call: AdmittedCall) -> TurnKey:
    return TurnKey(
        call.facts.attempt_id,
        call.org_id or "",
        call.facts.program_id,
        call.facts.previous_turn if call.route.retained else None,
        call.facts.token_budget,
        call.facts.max_tokens,
        int(call.route.retention_s * 1000),
    )
