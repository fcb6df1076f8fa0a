"""The admin HTTP API: every member accepts requests and forwards them to the leader."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from urllib.parse import parse_qsl

import structlog
from tarragonhall_group import LoopBusyError, OutcomeUnknownError
from tarragonhall_model import (
    Finding,
    InputError,
    LinkError,
    RequestTimeoutError,
    TarragonhallError,
    new_id,
    secret_hash,
)
from tarragonhall_wire import HttpRequest, HttpResponse, HttpServer, Link

from tarragonhall_control._admin_keys import KeyHandlers
from tarragonhall_control._admin_settings import SettingsHandlers
from tarragonhall_control._admin_system import SystemHandlers
from tarragonhall_control._admin_zones import ZoneHandlers
from tarragonhall_control._member import ControlMember
from tarragonhall_control._member_problems import problems_by_member
from tarragonhall_control._messages import AdminCall, AdminResult
from tarragonhall_control._request import AdminError, AdminReply, AdminRequest

log = structlog.get_logger(__name__)

PATH_PREFIX = "/admin/v1"
# Longer than the 60 s timeout of a membership change, so that its outcome is reported.
FORWARD_TIMEOUT_SECONDS = 65.0
RETRY_AFTER_SECONDS = "1"
STATUS_UNAVAILABLE = 503

Handler = Callable[[AdminRequest], AdminReply]


class AdminApi:
    """Authenticates requests, routes them to handlers and turns errors into responses."""

    __slots__ = ("_member", "_routes", "_server")

    def __init__(self, member: ControlMember, address: str) -> None:
        self._member = member
        self._server = HttpServer(address, _on_error, member.context.inbound)
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []
        for method, pattern, handler in _routes_of(member):
            expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", PATH_PREFIX + pattern)
            self._routes.append((method, re.compile(expression), handler))
            self._server.route(method, PATH_PREFIX + pattern, self._serve)

    def start(self) -> None:
        """Start serving HTTP requests and requests forwarded by other members."""
        self._member.context.hub.handle(AdminCall, self._on_call)
        self._server.start()

    def stop(self, timeout_s: float) -> bool:
        """Stop after the requests in flight; return whether all of them ended in time."""
        return self._server.stop(timeout_s)

    def _serve(self, request: HttpRequest) -> HttpResponse:
        call = AdminCall(
            request.method, request.path, request.query, request.bearer() or "", request.body
        )
        result = self._respond(call) if self._member.is_leader() else self._forward(call)
        value = json.loads(result.json)
        if result.status == STATUS_UNAVAILABLE and not value["findings"]:
            value["findings"] = _finding_values(self._member_findings(call))
        return HttpResponse(result.status, value, headers=result.headers)

    def _forward(self, call: AdminCall) -> AdminResult:
        """Forward a request to the leader, so that operators can send it to any member."""
        address = self._member.leader_address()
        if address is None:
            return _unavailable(
                "no leader is known; send the request again with the same request id"
            )
        try:
            link = self._member.context.hub.wait_for_link(address, 1.0)
            return link.request(call, FORWARD_TIMEOUT_SECONDS)
        except (LinkError, RequestTimeoutError) as error:
            return _unavailable(f"the leader did not answer ({error}); send the request again")

    def _member_findings(self, call: AdminCall) -> list[Finding]:
        """Return what may keep the members from having a majority, for operators only."""
        operators = self._member.state.configuration.operators
        if not call.token or operators.with_token(secret_hash(call.token)) is None:
            return []
        findings = []
        for member_id, problems in sorted(problems_by_member(self._member).items()):
            if problems is None:
                problems = ["does not answer"]
            findings.extend(Finding(f"member {member_id}", problem) for problem in problems)
        return findings

    def _on_call(self, _link: Link, call: AdminCall) -> AdminResult:
        if not self._member.is_leader():
            return _unavailable("the leader has changed; send the request again")
        return self._respond(call)

    def _respond(self, call: AdminCall) -> AdminResult:
        try:
            reply = self._handle(call)
        except Exception as error:  # noqa: BLE001 - every error becomes a response
            response = _on_error(error)
            value = response.value | {"revision": self._member.state.revision}
            if isinstance(error, AdminError):
                value |= error.extra
            return AdminResult(response.status, json.dumps(value), response.headers)
        return AdminResult(reply.status, json.dumps(reply.value))

    def _handle(self, call: AdminCall) -> AdminReply:
        handler, path_params = self._route(call)
        # The reads below must not miss a change that another leader may have accepted.
        if not self._member.confirm():
            raise OutcomeUnknownError("a majority did not confirm this member as leader")
        operators = self._member.state.configuration.operators
        operator = operators.with_token(secret_hash(call.token)) if call.token else None
        if operator is None:
            raise AdminError(401, "unauthenticated", "expected the token of an operator")
        self._member.context.metrics.count("control.admin_requests")
        query, body, request_id = self._parse(call)
        return handler(AdminRequest(operator, request_id, query, body, path_params))

    def _route(self, call: AdminCall) -> tuple[Handler, dict[str, str]]:
        for method, expression, handler in self._routes:
            match = expression.fullmatch(call.path)
            if match is not None and method == call.method:
                return handler, match.groupdict()
        raise AdminError(404, "not_found", f"no such path {call.path}")

    def _parse(self, call: AdminCall) -> tuple[str, dict, str]:
        """Return query, body and request id; generate an id where the request has none."""
        body = HttpRequest(call.method, call.path, call.query, {}, call.body).json()
        request_id = body.get("request_id")
        if request_id is None and call.method == "DELETE":
            request_id = dict(parse_qsl(call.query)).get("request_id")
        if request_id is not None and (not isinstance(request_id, str) or not request_id):
            raise InputError([Finding("/request_id", "expected a non-empty string")])
        return call.query, body, request_id or new_id("req", self._member.context.rng)


def _routes_of(member: ControlMember) -> list[tuple[str, str, Handler]]:
    settings = SettingsHandlers(member)
    keys = KeyHandlers(member)
    system = SystemHandlers(member)
    zones = ZoneHandlers(member)
    return [
        ("GET", "/status", system.status),
        ("POST", "/organisations", settings.create_organisation),
        ("GET", "/organisations", settings.list_organisations),
        ("POST", "/keys", keys.grant),
        ("GET", "/keys", keys.list_keys),
        ("DELETE", "/keys/{key_id}", keys.withdraw),
        ("GET", "/settings", settings.get),
        ("POST", "/settings", settings.change),
        ("GET", "/settings/explain", settings.explain),
        ("GET", "/settings/history", settings.history),
        ("GET", "/settings/diff", settings.diff),
        ("GET", "/settings/export", settings.export),
        ("POST", "/settings/rollback", settings.roll_back),
        ("POST", "/settings/import", settings.import_tree),
        ("POST", "/models", settings.set_model),
        ("GET", "/models", settings.list_models),
        ("POST", "/operators", keys.create_operator),
        ("GET", "/operators", keys.list_operators),
        ("DELETE", "/operators/{name}", keys.remove_operator),
        ("GET", "/programs", system.list_programs),
        ("GET", "/programs/{program_id}", system.show_program),
        ("POST", "/programs/{program_id}/cancel", system.cancel_program),
        ("GET", "/servers", system.list_servers),
        ("POST", "/servers/{server_id}/drain", system.drain_server),
        ("GET", "/zones", zones.list_zones),
        ("POST", "/zones/{zone}/evacuation", zones.evacuate),
        ("GET", "/members", system.list_members),
        ("POST", "/members", system.add_member),
        ("DELETE", "/members/{member_id}", system.remove_member),
        ("POST", "/members/{member_id}/replace", system.replace_member),
        ("GET", "/timeline", system.timeline),
        ("GET", "/snapshot", system.snapshot),
        ("POST", "/snapshot", system.take_snapshot),
    ]


def _unavailable(message: str) -> AdminResult:
    value = {"error": "unavailable", "message": message, "findings": []}
    return AdminResult(STATUS_UNAVAILABLE, json.dumps(value), {"Retry-After": RETRY_AFTER_SECONDS})


def _on_error(error: Exception) -> HttpResponse:
    """Turn an error into a response in the common error format."""
    match error:
        case AdminError():
            return _error(error.status, error.error, str(error), error.findings)
        case InputError():
            return _error(422, "bad_input", "the request is invalid", error.findings)
        case LoopBusyError():
            return _error(429, "busy", str(error), (), {"Retry-After": RETRY_AFTER_SECONDS})
        case OutcomeUnknownError():
            message = f"{error}; send the request again with the same request id"
            return _error(
                STATUS_UNAVAILABLE, "unavailable", message, (), {"Retry-After": RETRY_AFTER_SECONDS}
            )
        case TarragonhallError():
            return _error(409, "conflict", str(error), ())
    log.exception("admin.request_failed", exc_info=error)
    return _error(500, "internal", "internal error; see the logs of the control members", ())


def _error(
    status: int, error: str, message: str, findings: Sequence[Finding], headers: dict | None = None
) -> HttpResponse:
    value = {"error": error, "message": message, "findings": _finding_values(findings)}
    return HttpResponse(status, value, headers=headers or {})


def _finding_values(findings: Sequence[Finding]) -> list[dict]:
    return [{"place": one.place, "message": one.message} for one in findings]
