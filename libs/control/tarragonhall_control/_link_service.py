"""Handles the requests of entries, sidecars, stores and other control members over links."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tarragonhall_group import BUSY_RETRY_MS, LoopBusyError, OutcomeUnknownError
from tarragonhall_model import (
    AbandonCall,
    Busy,
    CloseCall,
    ConfirmRetired,
    DisproveAttempt,
    EndProgram,
    EvacuateZone,
    ExecutionKnown,
    Fresh,
    Heartbeat,
    Leaving,
    LinkError,
    NotLeader,
    OpenCall,
    OpenProgram,
    Propose,
    Proposed,
    PublishRelay,
    QueryCall,
    QueryExecution,
    QueryLiving,
    QueryProgram,
    QueryQuarantine,
    QueryRelay,
    QueryRetired,
    ReportCrash,
    RetireStore,
    StartAttempt,
    StoreRecord,
)
from tarragonhall_state import CreateFirstOperator
from tarragonhall_wire import Link

from tarragonhall_control._confirmation import SharedConfirmation
from tarragonhall_control._followers import policy_for
from tarragonhall_control._member import ControlMember
from tarragonhall_control._nodes import node_key

# Commands that other processes may propose. Operators' commands go through the admin API, which
# checks their tokens; a process that knows the link secret must not bypass that.
PROPOSABLE = (
    OpenProgram,
    OpenCall,
    StartAttempt,
    DisproveAttempt,
    CloseCall,
    AbandonCall,
    EndProgram,
    ReportCrash,
    PublishRelay,
    RetireStore,
    ConfirmRetired,
    EvacuateZone,
    # Rejected by the state machine once any operator exists.
    CreateFirstOperator,
)


class LinkService:
    """Handlers of messages from other processes to a control member.

    A confirmation of the leadership costs a round trip to every member, so heartbeats share them
    and wait up to `BATCH_SECONDS` for it (see `_confirmation`). Each query is confirmed
    separately and at once.
    """

    __slots__ = ("_confirmation", "_member")

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._confirmation = SharedConfirmation(member.confirm)

    def register(self) -> None:
        """Register the handlers with the hub, which calls them for messages on any link."""
        hub = self._member.context.hub
        hub.handle(Propose, self.on_propose)
        hub.handle(Heartbeat, self.on_heartbeat)
        hub.handle(Leaving, self.on_leaving)
        hub.handle(QueryCall, self._confirmed_reader(self._call))
        hub.handle(QueryExecution, self._confirmed_reader(self._execution))
        hub.handle(QueryProgram, self._confirmed_reader(self._program))
        hub.handle(QueryLiving, self._confirmed_reader(self._living))
        hub.handle(QueryQuarantine, self._confirmed_reader(self._quarantine))
        # These two methods of the member confirm the leadership themselves.
        hub.handle(QueryRelay, lambda _link, _query: self._member.relay_document())
        hub.handle(QueryRetired, lambda _link, query: self._member.retirement(query.store_id))

    def on_propose(self, _link: Link, message: Propose) -> Proposed | NotLeader | Busy:
        """Commit a command for another process."""
        if not isinstance(message.body, PROPOSABLE):
            raise LinkError(f"{type(message.body).__name__} cannot be proposed over a link")
        return self._commit(message.body, message.request_id)

    def on_heartbeat(self, link: Link, heartbeat: Heartbeat) -> Fresh | NotLeader:
        """Record a heartbeat; once a majority confirmed the leadership, reply with the updates.

        The sender is a follower of the settings and the view, and is sent what it lacks of them. A
        `relay_version` of None means that it takes no relay documents.

        The confirmation must start after the heartbeat arrived. With an earlier one, a leader that
        was just partitioned could report settings as fresh that a new leader has already changed.
        """
        member = self._member
        if not member.is_leader():
            return self._not_leader()
        member.on_heartbeat(heartbeat.node, link)
        member.followers.add_link(link)
        member.relay_progress.on_heartbeat(node_key(heartbeat.node), heartbeat.relay_version)
        if not isinstance(heartbeat.node, StoreRecord):
            member.orders.record_load(heartbeat.node, heartbeat.load)
        # Before the confirmation: a step that waits for its disk may have taken over a later term.
        fencing = member.loop.replica.term()
        if not self._confirmation.join():
            return self._not_leader()
        state = member.state
        # 0 until the sender has waited long enough for all earlier owners of rates to have stopped.
        member.on_owners_settled(heartbeat.settled_owners)
        behind = heartbeat.settings_revision < state.revision
        view, delta = member.followers.view_since(heartbeat.view_epoch)
        policy = state.policy_since(heartbeat.settings_revision) if behind else None
        relay_outdated = (
            heartbeat.relay_version is not None and heartbeat.relay_version < state.relay_version
        )
        relay_version = state.relay_version if relay_outdated else heartbeat.relay_version
        member.followers.record_sent(
            link, heartbeat.node, state.revision, state.epoch, relay_version
        )
        return Fresh(
            settings_revision=state.revision,
            view_epoch=state.epoch,
            # The fencing token of a leader is its term.
            fencing=fencing,
            policy=policy_for(heartbeat.node, policy),
            view=view,
            view_delta=delta,
            relay=state.relay if relay_outdated else None,
            controls=member.member_addresses(),
            relay_version=None if heartbeat.relay_version is None else state.relay_version,
        )

    def on_leaving(self, _link: Link, message: Leaving) -> Proposed | NotLeader | Busy:
        """Remove a process from the view on its leave notice."""
        self._member.nodes.mark_left(message.node)
        try:
            return Proposed(self._member.remove(message.node))
        except LoopBusyError:
            return Busy(BUSY_RETRY_MS)
        except OutcomeUnknownError:
            return self._not_leader()

    def _commit(self, body: object, request_id: str) -> Proposed | NotLeader | Busy:
        try:
            return Proposed(self._member.commit(body, request_id))
        except LoopBusyError:
            self._member.context.metrics.count("control.busy")
            return Busy(BUSY_RETRY_MS)
        except OutcomeUnknownError:
            return self._not_leader()

    def _not_leader(self) -> NotLeader:
        return NotLeader(self._member.leader_address())

    def _confirmed_reader(self, read: Callable[[Any], object]) -> Callable[[Link, object], object]:
        """Return a handler that reads only after a majority confirmed the leadership."""

        def handler(_link: Link, message: object) -> object:
            if not self._member.confirm():
                return self._not_leader()
            return read(message)

        return handler

    def _call(self, query: QueryCall) -> object:
        return self._member.state.call(query.program_id, query.seq, query.org_id)

    def _execution(self, query: QueryExecution) -> object:
        return ExecutionKnown(self._member.state.execution(query.program_id, query.seq))

    def _program(self, query: QueryProgram) -> object:
        return self._member.state.program(query.program_id, query.org_id)

    def _living(self, query: QueryLiving) -> object:
        """Return the ids of the given programs that are open."""
        return self._member.state.open_programs(query.program_ids)

    def _quarantine(self, query: QueryQuarantine) -> object:
        """Return whether a request is quarantined, because its calls crashed servers."""
        now_ms = self._member.context.wall_ms()
        return self._member.state.quarantine(query.fingerprint, now_ms)
