"""What operators ask about the relay, answered by any member with the leader's help."""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_group import LeadUnknownError, LoopBusyError
from tarragonhall_model import (
    EvacuateZone,
    LinkError,
    NotLeader,
    Propose,
    Proposed,
    PublishRelay,
    QueryRelay,
    QueryRetired,
    Recorded,
    Refusal,
    RelayDocument,
    RelayHeld,
    RelayPublished,
    RetireStore,
    StoreRetiring,
    TarragonhallError,
    new_id,
)

from tarragonhall_control._member import ControlMember

log = structlog.get_logger(__name__)

# Operators turn to another member after a second; the work goes on a little, so that their next
# try finds it done.
ANSWER_SECONDS = 2.0
ATTEMPT_SECONDS = 1.0
RETRY_SECONDS = 0.05


class NoLeaderError(TarragonhallError):
    """No leader answered in time; whether a command takes effect is unknown."""


class RelayDesk:
    """The relay's part of the operators' interface, without any wire format."""

    __slots__ = ("_least_stores", "_member")

    def __init__(self, member: ControlMember, losses_borne: int) -> None:
        self._member = member
        self._least_stores = 2 * losses_borne + 1

    def publish(self, document: RelayDocument) -> RelayPublished:
        """Put a document in force unless a newer one is; raise `NoLeaderError`."""
        result = self._propose(PublishRelay(document))
        log.info("relay.published", version=document.version, in_force=result.version)
        return result

    def held(self) -> RelayHeld:
        """Return the document in force, confirmed by a majority; raise `NoLeaderError`."""
        return self._ask(QueryRelay())

    def retire(self, store_id: str) -> StoreRetiring | Refusal:
        """Have a store member leave for good; raise `NoLeaderError`."""
        result = self._propose(RetireStore(store_id, self._least_stores))
        log.info("store.retire", store=store_id, outcome=type(result).__name__)
        return result

    def retirement(self, store_id: str) -> StoreRetiring | Refusal:
        """Return how far a retirement is; raise `NoLeaderError`."""
        return self._ask(QueryRetired(store_id))

    def evacuate(self, availability_zone: str, evacuated: bool) -> Recorded | Refusal:
        """Start or end the evacuation of a zone; raise `NoLeaderError`."""
        refusal = self._member.unknown_zone(availability_zone)
        if refusal is not None:
            return refusal
        result = self._propose(EvacuateZone(availability_zone, evacuated))
        log.info(
            "zone.evacuation", zone=availability_zone, evacuated=evacuated, epoch=result.revision
        )
        return result

    def _propose(self, body: object) -> object:
        request_id = new_id("req", self._member.context.rng)
        return self._ask(Propose(request_id, body)).result

    def _ask(self, message: object) -> object:
        """Ask the leader, wherever it is, until it answers."""
        context = self._member.context
        deadline = context.monotonic() + ANSWER_SECONDS
        while context.monotonic() < deadline:
            reply = self._ask_once(message)
            if reply is not None:
                return reply
            eventlet.sleep(RETRY_SECONDS)
        raise NoLeaderError("no leader answered in time")

    def _ask_once(self, message: object) -> object | None:
        if self._member.is_leader():
            reply = self._ask_here(message)
            return None if isinstance(reply, NotLeader) else reply
        address = self._member.leader_address()
        if address is None:
            return None
        try:
            reply = self._member.context.hub.link_to(address).request(message, ATTEMPT_SECONDS)
        except LinkError as error:
            log.debug("relay.leader_unreachable", address=address, error=str(error))
            return None
        is_answer = isinstance(reply, Proposed | RelayHeld | StoreRetiring | Refusal)
        return reply if is_answer else None

    def _ask_here(self, message: object) -> object:
        try:
            match message:
                case Propose(request_id=request_id, body=body):
                    return Proposed(self._member.commit(body, request_id))
                case QueryRelay():
                    return self._member.relay_held()
                case QueryRetired(store_id=store_id):
                    return self._member.retirement(store_id)
        except (LeadUnknownError, LoopBusyError) as error:
            log.info("relay.commit_unknown", error=str(error))
        return NotLeader()
