"""The turn of one call, from the reservation of its tokens to its end, kept or not."""

from __future__ import annotations

from tarragonhall_model import BudgetSpent, ProgramSpent, RefusalCode, Service, UnknownTurn
from tarragonhall_wire import UnavailableError

from tarragonhall_relay._admission import UNAVAILABLE, Admitted, Refused
from tarragonhall_relay._errors import BrokenAnswerError
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._turns import OpenTurn, TurnKey, TurnStoreError

STORE_RETRY_S = 0.8
# Of a turn's time, what the stores may take at the most: an election is over by then.
STORE_SECONDS = 3.0
STORE_SHARE = 0.5
SPENT = Refused(402, RefusalCode.BUDGET_EXHAUSTED.value, "the budget is spent")


class TurnOfCall:
    """Holds what must be undone where the turn does not end whole."""

    __slots__ = ("_key", "_open", "_state", "_turns")

    def __init__(self, state: RelayState) -> None:
        self._state = state
        self._turns = state.turns
        self._key: TurnKey | None = None
        self._open: OpenTurn | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the call is a turn that may run."""
        return self._open is not None

    @property
    def last_server(self) -> str:
        """Return the server that ran the turn before; empty without one."""
        return self._open.server_id if self._open is not None else ""

    def refuse_spent(self, call: Admitted) -> Refused | None:
        """Return the refusal of a turn whose program is known to have spent its budget."""
        key = _key_of(call)
        if not call.route.retained or key.budget is None:
            return None
        now = self._state.monotonic()
        if self._state.spent.refuses(key.org_id, key.program_id, key.budget, key.most, now):
            return SPENT
        return None

    def begin(self, call: Admitted, now: float) -> Refused | None:
        """Reserve the turn's tokens and gather its history, where the route keeps turns."""
        if not call.route.retained:
            return None
        self._key = _key_of(call)
        left_s = call.deadline.at - now
        try:
            began = self._turns.begin(self._key, min(STORE_SECONDS, left_s * STORE_SHARE))
        except TurnStoreError as error:
            self._key = None
            return Refused(UNAVAILABLE, RefusalCode.UNAVAILABLE.value, str(error), STORE_RETRY_S)
        match began:
            case BudgetSpent(spent=spent):
                self._note_spent(spent)
                self._key = None
                return SPENT
            case UnknownTurn():
                self._key = None
                message = f"no turn {call.facts.previous_turn!r}"
                return Refused(404, RefusalCode.NOT_FOUND.value, message)
        self._open = began
        return None

    def _note_spent(self, spent: int) -> None:
        """Remember a program whose budget will not hold this turn at any later time."""
        key = self._key
        if spent + key.most <= key.budget:
            # Running turns hold the rest of the budget and may give some of it back.
            return
        message = ProgramSpent(key.org_id, key.program_id, spent, key.retention_ms)
        now = self._state.monotonic()
        self._state.spent.note(key.org_id, key.program_id, spent, key.retention_ms / 1000, now)
        self._state.tell_spent(message)

    def prompt(self, body: bytes) -> bytes:
        """Return what the server is to read: everything said before, then the new input."""
        return self._open.history + body if self._open is not None else body

    def prompt_size(self, body: bytes) -> int:
        """Return how many bytes `prompt` has."""
        return len(body) + (len(self._open.history) if self._open is not None else 0)

    def keep(self, body: bytes, output: bytes, used: int, server_id: str) -> None:
        """Record that the turn ended whole; raise `BrokenAnswerError` where that is not sure."""
        if self._open is None:
            return
        try:
            self._turns.keep(self._open, body, output, used, server_id)
        except UnavailableError as error:
            # Answered whole, the client would go on from a turn that may not be there.
            raise BrokenAnswerError(f"the turn could not be kept: {error}") from error
        self._key = None

    def end(self, used: int) -> None:
        """Free what is reserved, unless the turn was kept; `used` tokens reached the caller."""
        if self._key is not None:
            self._turns.end(self._key, used)
            self._key = None


def tokens_of(events: int, service: Service | None) -> int:
    """Return how many tokens so many events of a service hold."""
    engine = service.engine if service is not None else None
    return events * (engine.tokens_per_event if engine is not None else 1)


def _key_of(call: Admitted) -> TurnKey:
    return TurnKey(
        call.facts.attempt_id,
        call.org_id or "",
        call.facts.program_id,
        call.facts.previous_turn,
        call.facts.token_budget,
        call.facts.most_tokens,
        int(call.route.retention_s * 1000),
    )
