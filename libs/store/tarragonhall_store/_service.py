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
    Refusal,
    RefusalCode,
    ReserveTurn,
    TurnCommand,
    TurnsRead,
    encode,
)
from tarragonhall_state import TurnRoom, TurnState, turn_bytes
from tarragonhall_wire import Link, ProcessContext

log = structlog.get_logger(__name__)

# Turns are retained for a minute, so room comes in parts of it.
NO_ROOM_RETRY_MS = 2_000
PROPOSABLE = (ReserveTurn, EndTurn, KeepTurn)


class TurnService:
    """The handlers of one store member for the messages of entries."""

    __slots__ = ("_base_at", "_base_ms", "_context", "_member", "_room", "_state")

    def __init__(self, state: TurnState, context: ProcessContext, room: TurnRoom) -> None:
        self._state = state
        self._context = context
        self._room = room
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
        refusal = self._refuse(message.body)
        if refusal is not None:
            return Proposed(refusal)
        data = encode(TurnCommand(self._now_ms(), message.body))
        try:
            return Proposed(self._member.loop.propose(data, PROPOSE_TIMEOUT_SECONDS))
        except LoopBusyError as error:
            log.warning("store.busy", error=str(error))
            return Busy(BUSY_RETRY_MS)
        except OutcomeUnknownError:
            return NotLeader(self._member.leader_address())

    def _refuse(self, command: object) -> Refusal | None:
        """Return the refusal of a turn for which there is no room, or of its reservation."""
        match command:
            case KeepTurn(org_id=org_id, attempt_id=attempt_id):
                if (org_id, attempt_id) in self._state.turn_by_key:
                    return None
                size = turn_bytes(len(command.input) + len(command.output))
            case ReserveTurn(org_id=org_id):
                size = turn_bytes(0)
            case _:
                return None
        state = self._state
        org_bytes = state.held_bytes_by_org.get(org_id, 0)
        if self._room.has_room(size, state.held_bytes, org_bytes):
            return None
        self._context.metrics.count("store.turns_refused")
        log.info(
            "store.no_room",
            organisation=org_id,
            size=size,
            held_bytes=state.held_bytes,
            org_bytes=org_bytes,
        )
        message = "the stores have no memory for more turns of the organisation"
        return Refusal(RefusalCode.OVERLOADED, message, retry_after_ms=NO_ROOM_RETRY_MS)

    def _on_read(self, _link: Link, message: ReadTurns) -> TurnsRead:
        """Return the content of turns; it never changes, so any member may answer."""
        return TurnsRead(self._state.content(message.org_id, message.turn_ids))
