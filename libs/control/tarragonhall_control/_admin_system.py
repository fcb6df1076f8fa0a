"""Admin API handlers for status, programs, servers, members, timeline and snapshots."""

from __future__ import annotations

from tarragonhall_consensus import Member, Status
from tarragonhall_model import (
    DrainServer,
    Finding,
    InputError,
    ProgramStatus,
    QueryTimeline,
    Refusal,
    TimelineEvent,
)
from tarragonhall_state import ROOT_PATH, CancelProgram, OperatorRole

from tarragonhall_control import _bodies as bodies
from tarragonhall_control._member import ControlMember
from tarragonhall_control._member_problems import (
    problems_by_member,
    problems_by_process,
    query_timelines,
)
from tarragonhall_control._request import (
    AdminError,
    AdminReply,
    AdminRequest,
    as_json,
    unwrap_result,
)

DEFAULT_PROGRAMS = 100
MAX_PROGRAMS = 1_000
# One hanging process must not delay the timeline of all others.
TIMELINE_TIMEOUT_SECONDS = 2.0
# Leaves time for a learner that is far behind to load a snapshot first.
MEMBER_CHANGE_TIMEOUT_SECONDS = 60.0


class SystemHandlers:
    """Shows and changes the state of programs, servers and members."""

    __slots__ = ("_member",)

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    @property
    def _state(self):
        return self._member.state

    def status(self, _request: AdminRequest) -> AdminReply:
        """GET /status."""
        replica = self._member.loop.replica.status()
        view = self._state.view()
        return AdminReply(
            {
                "leader": replica.leader,
                "term": replica.term,
                "commit_index": replica.commit_index,
                "members": [as_json(member) for member in replica.members],
                "revision": self._state.revision,
                "epoch": view.epoch,
                "entries": len(view.entries),
                "servers": len(view.servers),
                "evacuated_zones": view.evacuated_zones,
                "programs": self._state.program_count(),
                "followers": len(self._member.followers),
                "waiting": self._member.loop.waiting(),
                "problems": problems_by_process(self._member),
            }
        )

    def list_programs(self, request: AdminRequest) -> AdminReply:
        """GET /programs, newest first."""
        values = bodies.load_query(request.query, ("org", "status", "limit"))
        org_id = values.get("org")
        path = ROOT_PATH if org_id is None else self._path_of(org_id)
        request.require(OperatorRole.READER, path)
        status = _parse_status(values.get("status"))
        limit = min(bodies.whole_number(values, "limit", DEFAULT_PROGRAMS), MAX_PROGRAMS)
        found = self._state.programs(org_id, status, limit)
        return AdminReply({"programs": [as_json(info) for info in found]})

    def show_program(self, request: AdminRequest) -> AdminReply:
        """GET /programs/{program_id}, with its closed calls."""
        report = unwrap_result(self._state.program(request.path_params["program_id"], None))
        request.require(OperatorRole.READER, self._path_of(report.info.org_id))
        return AdminReply(as_json(report.info) | {"calls": as_json(report)["calls"]})

    def cancel_program(self, request: AdminRequest) -> AdminReply:
        """POST /programs/{program_id}/cancel."""
        bodies.load(bodies.ONLY_REQUEST_ID, request.body)
        program_id = request.path_params["program_id"]
        report = unwrap_result(self._state.program(program_id, None))
        request.require(OperatorRole.EDITOR, self._path_of(report.info.org_id))
        command = CancelProgram(program_id, ProgramStatus.CANCELLED, request.operator.name)
        info = unwrap_result(self._member.commit(command, request.request_id))
        return AdminReply(as_json(info) | {"request_id": request.request_id})

    def list_servers(self, _request: AdminRequest) -> AdminReply:
        """GET /servers: the backend servers and entries of the current view."""
        return AdminReply(as_json(self._state.view()))

    def drain_server(self, request: AdminRequest) -> AdminReply:
        """POST /servers/{server_id}/drain."""
        body = bodies.load(bodies.DRAIN, request.body)
        request.require(OperatorRole.ADMIN, ROOT_PATH)
        server_id = request.path_params["server_id"]
        known = {server.server_id for server in self._state.view().servers}
        if body["draining"] and server_id not in known:
            raise AdminError(404, "not_found", f"no backend server {server_id!r}")
        command = DrainServer(server_id, body["draining"])
        result = unwrap_result(self._member.commit(command, request.request_id))
        return AdminReply({"epoch": result.revision, "request_id": request.request_id})

    def list_members(self, _request: AdminRequest) -> AdminReply:
        """GET /members.

        `problems` are told by each member itself; `null` for one that does not answer.
        """
        status = self._member.loop.replica.status()
        problems_by_id = problems_by_member(self._member)
        members = [
            as_json(member)
            | {
                "leader": member.member_id == status.leader,
                "match_index": _match_index(status, member.member_id),
                "silent_s": _silent_seconds(status, member.member_id),
                "problems": problems_by_id.get(member.member_id),
            }
            for member in status.members
        ]
        return AdminReply({"leader": status.leader, "term": status.term, "members": members})

    def add_member(self, request: AdminRequest) -> AdminReply:
        """POST /members: the new member catches up first, then becomes a voter."""
        body = bodies.load(bodies.MEMBER, request.body)
        return self._change_member(request, body["member_id"], body["address"])

    def remove_member(self, request: AdminRequest) -> AdminReply:
        """DELETE /members/{member_id}."""
        bodies.load(bodies.ONLY_REQUEST_ID, request.body)
        member = self._find_member(request)
        return self._change_member(request, member.member_id, member.address, remove=True)

    def replace_member(self, request: AdminRequest) -> AdminReply:
        """POST /members/{member_id}/replace, for a member whose data folder was lost."""
        body = bodies.load(bodies.REPLACEMENT, request.body)
        member = self._find_member(request)
        address = body["address"] or member.address
        return self._change_member(request, member.member_id, address, replace=True)

    def timeline(self, request: AdminRequest) -> AdminReply:
        """GET /timeline: the events of all linked processes in one order."""
        values = bodies.load_query(request.query, ("program", "since_ms", "limit"))
        program_id = values.get("program", "")
        request.require(OperatorRole.READER, self._path_of_program(program_id))
        query = QueryTimeline(
            program_id,
            bodies.whole_number(values, "since_ms", 0),
            bodies.whole_number(values, "limit", 1_000),
        )
        events, missing = self._collect_events(query)
        events.sort(key=lambda event: event.stamp.sort_key())
        shown = [_event_value(event) for event in events[-query.limit :]]
        return AdminReply({"events": shown, "missing": missing})

    def snapshot(self, request: AdminRequest) -> AdminReply:
        """GET /snapshot: the whole configuration in force, for an external backup."""
        request.require(OperatorRole.ADMIN, ROOT_PATH)
        configuration = self._state.configuration
        return AdminReply(
            {
                "revision": configuration.revision,
                "organisations": configuration.path_by_org_id,
                "tree": configuration.tree.export(ROOT_PATH),
                "keys": [as_json(key) for key in configuration.keys.by_id.values()],
                "operators": [as_json(one) for one in configuration.operators.by_name.values()],
                "view": as_json(self._state.view()),
            }
        )

    def take_snapshot(self, request: AdminRequest) -> AdminReply:
        """POST /snapshot: make the leader write a snapshot and truncate its log."""
        bodies.load(bodies.ONLY_REQUEST_ID, request.body)
        request.require(OperatorRole.ADMIN, ROOT_PATH)
        self._member.loop.take_snapshot()
        status = self._member.loop.replica.status()
        return AdminReply({"commit_index": status.commit_index}, 202)

    def _change_member(
        self,
        request: AdminRequest,
        member_id: str,
        address: str,
        remove: bool = False,
        replace: bool = False,
    ) -> AdminReply:
        request.require(OperatorRole.ADMIN, ROOT_PATH)
        member = Member(member_id, "", address)
        self._member.loop.change_member(member, remove, replace, MEMBER_CHANGE_TIMEOUT_SECONDS)
        self._member.context.timeline.add("member_changed", member=member_id)
        return self.list_members(request)

    def _find_member(self, request: AdminRequest) -> Member:
        member_id = request.path_params["member_id"]
        for member in self._member.loop.replica.status().members:
            if member.member_id == member_id:
                return member
        raise AdminError(404, "not_found", f"no member {member_id!r}")

    def _collect_events(self, query: QueryTimeline) -> tuple[list[TimelineEvent], list[str]]:
        """Query all linked processes; return events and the unresponsive instances."""
        context = self._member.context
        events = list(context.timeline.find(query).events)
        link_by_instance = {link.peer.instance: link for link in context.hub.links()}
        link_by_instance.pop(context.instance, None)
        missing = []
        links = list(link_by_instance.values())
        for link, found in query_timelines(links, query, TIMELINE_TIMEOUT_SECONDS):
            if found is None:
                missing.append(link.peer.instance)
                continue
            events.extend(found.events)
        return events, missing

    def _path_of_program(self, program_id: str) -> str:
        if not program_id:
            return ROOT_PATH
        report = self._state.program(program_id, None)
        if isinstance(report, Refusal):
            return ROOT_PATH
        return self._path_of(report.info.org_id)

    def _path_of(self, org_id: str) -> str:
        return self._state.configuration.path_by_org_id.get(org_id, ROOT_PATH)


def _match_index(status: Status, member_id: str) -> int | None:
    """Return the last log index that the member has replicated; None while it is unknown."""
    if status.leader == status.member_id == member_id:
        return status.last_index
    peer = status.peer_by_id.get(member_id)
    return peer.match_index if peer else None


def _silent_seconds(status: Status, member_id: str) -> float | None:
    """Return for how long the leader knows the member to be silent; None if this is no leader."""
    if status.leader == status.member_id == member_id:
        return 0.0
    peer = status.peer_by_id.get(member_id)
    return None if peer is None else round(peer.silent_s, 3)


def _event_value(event: TimelineEvent) -> dict:
    """Return an event with the fields of its stamp at the top level, as the tool prints it."""
    shown = as_json(event)
    return shown | shown.pop("stamp")


def _parse_status(text: str | None) -> ProgramStatus | None:
    if text is None:
        return None
    words = [status.value for status in ProgramStatus]
    if text not in words:
        raise InputError([Finding("?status", f"expected one of {', '.join(words)}")])
    return ProgramStatus(text)
