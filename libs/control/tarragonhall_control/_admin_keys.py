"""Admin API handlers for caller keys and operators."""

from __future__ import annotations

from tarragonhall_model import (
    KEY_PREFIX,
    TOKEN_PREFIX,
    RefusalCode,
    new_secret,
    secret_hash,
)
from tarragonhall_state import (
    ChangeAccepted,
    CreateOperator,
    GrantKey,
    KeyGranted,
    OperatorRole,
    RemoveOperator,
    WithdrawKey,
)

from tarragonhall_control import _bodies as bodies
from tarragonhall_control._member import ControlMember
from tarragonhall_control._request import (
    AdminError,
    AdminReply,
    AdminRequest,
    as_json,
    unwrap_result,
)

SECRET_NOT_REPEATED = "already created; the secret was returned only in the first response"


class KeyHandlers:
    """Grants and withdraws keys, and creates and removes operators."""

    __slots__ = ("_member",)

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    @property
    def _configuration(self):
        return self._member.state.configuration

    def grant(self, request: AdminRequest) -> AdminReply:
        """POST /keys. Without a `key_hash`, generate a key and return it this once."""
        body = bodies.load(bodies.KEY, request.body)
        request.require(OperatorRole.EDITOR, self._path_of(body["org_id"]))
        secret = None
        if body["key_hash"] is None:
            earlier_reply = self._earlier_reply(request)
            if earlier_reply is not None:
                return earlier_reply
            secret = new_secret(KEY_PREFIX)
        command = GrantKey(
            key_hash=body["key_hash"] or secret_hash(secret),
            org_id=body["org_id"],
            author=request.operator.name,
            expires_at_ms=body["expires_at_ms"],
            replaces=body["replaces"],
            overlap_seconds=body["overlap_seconds"],
        )
        granted = unwrap_result(self._member.commit(command, request.request_id))
        value = as_json(granted) | {"org_id": body["org_id"], "request_id": request.request_id}
        if secret is not None:
            value["key"] = secret
        return AdminReply(value, 201)

    def list_keys(self, request: AdminRequest) -> AdminReply:
        """GET /keys: the keys that the operator may read, without their hashes."""
        values = bodies.load_query(request.query, ("org",))
        found = []
        for key in self._configuration.keys.by_id.values():
            if values.get("org") not in (None, key.org_id):
                continue
            path = self._configuration.path_by_org_id[key.org_id]
            if not request.operator.may(OperatorRole.READER, path):
                continue
            value = as_json(key) | {"granted_by": key.author}
            del value["key_hash"], value["author"]
            found.append(value)
        return AdminReply({"revision": self._configuration.revision, "keys": found})

    def withdraw(self, request: AdminRequest) -> AdminReply:
        """DELETE /keys/{key_id}."""
        bodies.load(bodies.ONLY_REQUEST_ID, request.body)
        key = self._configuration.keys.by_id.get(request.path_params["key_id"])
        if key is None:
            raise AdminError(404, "not_found", f"no key {request.path_params['key_id']!r}")
        request.require(OperatorRole.EDITOR, self._path_of(key.org_id))
        command = WithdrawKey(key.key_id, request.operator.name)
        result = unwrap_result(self._member.commit(command, request.request_id))
        return AdminReply(
            {"revision": result.revision, "key_id": key.key_id, "request_id": request.request_id}
        )

    def create_operator(self, request: AdminRequest) -> AdminReply:
        """POST /operators. Without a `token_hash`, generate a token and return it this once."""
        body = bodies.load(bodies.OPERATOR, request.body)
        request.require(OperatorRole.ADMIN, body["path"])
        token = None
        if body["token_hash"] is None:
            earlier_reply = self._earlier_reply(request)
            if earlier_reply is not None:
                return earlier_reply
            token = new_secret(TOKEN_PREFIX)
        command = CreateOperator(
            name=body["name"],
            token_hash=body["token_hash"] or secret_hash(token),
            path=body["path"],
            role=body["role"],
            author=request.operator.name,
        )
        result = unwrap_result(self._member.commit(command, request.request_id))
        value = {"revision": result.revision, "name": body["name"]}
        if token is not None:
            value["token"] = token
        return AdminReply(value | {"request_id": request.request_id}, 201)

    def list_operators(self, request: AdminRequest) -> AdminReply:
        """GET /operators: the operators within the subtree of the requesting admin."""
        found = []
        for operator in self._configuration.operators.by_name.values():
            if not request.operator.may(OperatorRole.ADMIN, operator.path):
                continue
            value = as_json(operator)
            del value["token_hash"]
            found.append(value)
        return AdminReply({"revision": self._configuration.revision, "operators": found})

    def remove_operator(self, request: AdminRequest) -> AdminReply:
        """DELETE /operators/{name}."""
        bodies.load(bodies.ONLY_REQUEST_ID, request.body)
        name = request.path_params["name"]
        operator = self._configuration.operators.by_name.get(name)
        if operator is None:
            raise AdminError(404, "not_found", f"no operator {name!r}")
        request.require(OperatorRole.ADMIN, operator.path)
        command = RemoveOperator(name, request.operator.name)
        result = unwrap_result(self._member.commit(command, request.request_id))
        return AdminReply(
            {"revision": result.revision, "name": name, "request_id": request.request_id}
        )

    def _earlier_reply(self, request: AdminRequest) -> AdminReply | None:
        """Return the reply to a resend of a request that generated a secret, None otherwise.

        The secret is not stored, so it cannot be returned again. Generating a second one would
        leave the first key in force without anyone knowing of it.
        """
        earlier = self._member.state.find_request(request.request_id)
        if earlier is None:
            return None
        match earlier.result:
            case KeyGranted() | ChangeAccepted():
                notice = {"request_id": request.request_id, "message": SECRET_NOT_REPEATED}
                return AdminReply(as_json(earlier.result) | notice)
        unwrap_result(earlier.result)
        message = "this request id was already used for another request"
        raise AdminError(409, RefusalCode.CONFLICT.value, message)

    def _path_of(self, org_id: str) -> str:
        path = self._configuration.path_by_org_id.get(org_id)
        if path is None:
            raise AdminError(404, "not_found", f"no organisation {org_id!r}")
        return path
