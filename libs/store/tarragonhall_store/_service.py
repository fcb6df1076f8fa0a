"""Answers what entries ask about turns: commands through the log, content from memory."""

from __future__ import annotations

import structlog
from tarragonhall_consensus import RoleChanged
from tarragonhall_group import (
    BUSY_RETRY_MS,
    PROPOSE_SECONDS,
    GroupMember,
    LeadUnknownError,
    LoopBusyError,
)
from tarragonhall_model import (
    Busy,
    EndTurn,
    KeepTurn,
    LinkError,
    NotLeader,
    Propose,
    Proposed,
    ReadTurns,
    ReserveTurn,
    TurnCommand,
    TurnsRead,
    encode,
)
from tarragonhall_state import TurnState
from tarragonhall_wire import Link, ProcessContext

log = structlog.get_logger(__name__)

PROPOSABLE = (ReserveTurn, EndTurn, KeepTurn)


class TurnService:
    """The handlers of the messages between entries and one store member."""

    __slots__ = ("_context", "_led_from", "_led_from_ms", "_member", "_state")

    def __init__(self, state: TurnState, context: ProcessContext) -> None:
        self._state = state
        self._context = context
        self._member: GroupMember | None = None
        self._led_from = 0.0
        self._led_from_ms: int | None = None

    def register(self) -> None:
        """Take over the messages for store members."""
        self._context.hub.handle(Propose, self._on_propose)
        self._context.hub.handle(ReadTurns, self._on_read)

    def attach(self, member: GroupMember) -> None:
        """Name the member of the group; until then this process leads nothing."""
        self._member = member

    def on_role(self, changed: RoleChanged) -> None:
        """Begin a leader's time where the log's time stands."""
        self._led_from_ms = None
        if changed.leads:
            self._led_from = self._context.monotonic()

    def _now_ms(self) -> int:
        """Return the log's time: it goes on while there is a leader, on that one's steady clock."""
        now = self._context.monotonic()
        if self._led_from_ms is None:
            # Read at the first command: by then what earlier leaders committed is applied here.
            self._led_from_ms = self._state.clock_ms
            self._led_from = now
        return self._led_from_ms + int((now - self._led_from) * 1000)

    def _on_propose(self, _link: Link, message: Propose) -> Proposed | NotLeader | Busy:
        if not isinstance(message.body, PROPOSABLE):
            raise LinkError(f"{type(message.body).__name__} is not for stores")
        if self._member is None:
            return NotLeader()
        if not self._member.is_leader():
            return NotLeader(self._member.leader_address())
        data = encode(TurnCommand(self._now_ms(), message.body))
        try:
            return Proposed(self._member.loop.propose(data, PROPOSE_SECONDS))
        except LoopBusyError as error:
            log.warning("store.busy", error=str(error))
            return Busy(BUSY_RETRY_MS)
        except LeadUnknownError:
            return NotLeader(self._member.leader_address())

    def _on_read(self, _link: Link, message: ReadTurns) -> TurnsRead:
        """Tell the content of turns; it never changes, so any member's copy will do."""
        return TurnsRead(self._state.content(message.turn_ids))
