"""Operations on the relay, its stores and zones; any member forwards them to the leader."""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_group import LoopBusyError, OutcomeUnknownError
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

# Operators try another member after a second. This member continues for longer, so that their
# retry finds the operation done.
REQUEST_TIMEOUT_SECONDS = 2.0
# A read has no effect for a retry to find: its answer must come before the operator tries another.
READ_TIMEOUT_SECONDS = 0.8
ATTEMPT_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.05


class NoLeaderError(TarragonhallError):
    """No leader responded in time; whether a command takes effect is unknown."""


class RelayService:
    """The operators' interface to the relay, independent of any wire format."""

    __slots__ = ("_member", "_min_stores")

    def __init__(self, member: ControlMember, tolerated_losses: int) -> None:
        self._member = member
        self._min_stores = 2 * tolerated_losses + 1

    def publish(self, document: RelayDocument) -> RelayPublished:
        """Put a document in force unless a newer one is; may raise `NoLeaderError`."""
        result = self._propose(PublishRelay(document))
        log.info("relay.published", version=document.version, in_force=result.version)
        return result

    def document_in_force(self) -> RelayHeld:
        """Return the document in force, confirmed by a majority; may raise `NoLeaderError`."""
        return self._request(QueryRelay(), READ_TIMEOUT_SECONDS)

    def retire(self, store_id: str) -> StoreRetiring | Refusal:
        """Start the permanent removal of a store member; may raise `NoLeaderError`."""
        result = self._propose(RetireStore(store_id, self._min_stores))
        log.info("store.retire", store=store_id, outcome=type(result).__name__)
        return result

    def retirement_status(self, store_id: str) -> StoreRetiring | Refusal:
        """Return the progress of a store's retirement; may raise `NoLeaderError`."""
        return self._request(QueryRetired(store_id), READ_TIMEOUT_SECONDS)

    def evacuate(self, availability_zone: str, evacuated: bool) -> Recorded | Refusal:
        """Start or end the evacuation of a zone; may raise `NoLeaderError`."""
        refusal = self._member.refuse_unknown_zone(availability_zone)
        if refusal is not None:
            return refusal
        result = self._propose(EvacuateZone(availability_zone, evacuated))
        log.info(
            "zone.evacuation", zone=availability_zone, evacuated=evacuated, epoch=result.revision
        )
        return result

    def _propose(self, body: object) -> object:
        request_id = new_id("req", self._member.context.rng)
        return self._request(Propose(request_id, body)).result

    def _request(self, message: object, timeout_s: float = REQUEST_TIMEOUT_SECONDS) -> object:
        """Send a request to the leader, retrying until it responds."""
        context = self._member.context
        deadline = context.monotonic() + timeout_s
        while (left_s := deadline - context.monotonic()) > 0:
            reply = self._request_once(message, min(left_s, ATTEMPT_TIMEOUT_SECONDS))
            if reply is not None:
                return reply
            if self._member.loop.is_hung():
                raise NoLeaderError("the disk of this member hangs; try another member")
            eventlet.sleep(RETRY_DELAY_SECONDS)
        raise NoLeaderError("no leader responded in time")

    def _request_once(self, message: object, timeout_s: float) -> object | None:
        if self._member.is_leader():
            reply = self._handle_locally(message)
            return None if isinstance(reply, NotLeader) else reply
        address = self._member.leader_address()
        if address is None:
            return None
        try:
            reply = self._member.context.hub.link_to(address).request(message, timeout_s)
        except LinkError as error:
            log.debug("relay.leader_unreachable", address=address, error=str(error))
            return None
        is_answer = isinstance(reply, Proposed | RelayHeld | StoreRetiring | Refusal)
        return reply if is_answer else None

    def _handle_locally(self, message: object) -> object:
        try:
            match message:
                case Propose(request_id=request_id, body=body):
                    return Proposed(self._member.commit(body, request_id))
                case QueryRelay():
                    return self._member.relay_document()
                case QueryRetired(store_id=store_id):
                    return self._member.retirement(store_id)
        except (OutcomeUnknownError, LoopBusyError) as error:
            log.info("relay.commit_unknown", error=str(error))
        return NotLeader()
