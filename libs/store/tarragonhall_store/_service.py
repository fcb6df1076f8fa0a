"""Handles the messages of entries about turns: commands through the log, reads from memory."""

from __future__ import annotations

import structlog
from tarragonhall_consensus import RoleChanged
from tarragonhall_group import (
    BUSY_RETRY_MS,
    PROPOSE_TIMEOUT_SECONDS,
    GroupMember,
    LoopBusyError,
    OutcomeUnknownError,
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
    """The handlers of one store member for the messages of entries."""

    __slots__ = ("_base_at", "_base_ms", "_context", "_member", "_state")

    def __init__(self, state: TurnState, context: ProcessContext) -> None:
        self._state = state
        self._context = context
        self._member: GroupMember | None = None
        self._base_at = 0.0
        self._base_ms: int | None = None

    def register(self) -> None:
        """Register the handlers for messages to store members."""
        self._context.hub.handle(Propose, self._on_propose)
        self._context.hub.handle(ReadTurns, self._on_read)

    def attach(self, member: GroupMember) -> None:
        """Set the group member; until then this process replies that it is not the leader."""
        self._member = member

    def on_role(self, changed: RoleChanged) -> None:
        """Restart the leader's clock; it continues from the log's time at the first command."""
        self._base_ms = None
        if changed.leads:
            self._base_at = self._context.monotonic()

    def _now_ms(self) -> int:
        """Return the log's time, which advances by the monotonic clock of each leader in turn."""
        now = self._context.monotonic()
        if self._base_ms is None:
            # Read at the first command: by then the commits of earlier leaders are applied here.
            self._base_ms = self._state.clock_ms
            self._base_at = now
        return self._base_ms + int((now - self._base_at) * 1000)

    def _on_propose(self, _link: Link, message: Propose) -> Proposed | NotLeader | Busy:
        if not isinstance(message.body, PROPOSABLE):
            raise LinkError(f"stores do not accept {type(message.body).__name__}")
        if self._member is None:
            return NotLeader()
        if not self._member.is_leader():
            return NotLeader(self._member.leader_address())
        data = encode(TurnCommand(self._now_ms(), message.body))
        try:
            return Proposed(self._member.loop.propose(data, PROPOSE_TIMEOUT_SECONDS))
        except LoopBusyError as error:
            log.warning("store.busy", error=str(error))
            return Busy(BUSY_RETRY_MS)
        except OutcomeUnknownError:
            return NotLeader(self._member.leader_address())

    def _on_read(self, _link: Link, message: ReadTurns) -> TurnsRead:
        """Return the content of turns; it never changes, so any member may answer."""
        return TurnsRead(self._state.content(message.org_id, message.turn_ids))
