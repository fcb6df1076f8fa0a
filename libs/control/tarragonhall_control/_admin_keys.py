"""Caller keys and operators of the admin API."""

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
    checked,
)

LOST_SECRET = "granted before; the secret was shown once, in the first answer"


class KeyHandlers:
    """Grants and withdraws keys, and makes and removes operators."""

    __slots__ = ("_member",)

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    @property
    def _configuration(self):
        return self._member.state.configuration

    def grant(self, request: AdminRequest) -> AdminReply:
        """POST /keys. Without a `key_hash` the key is drawn here and told once."""
        body = bodies.load(bodies.KEY, request.body)
        request.require(OperatorRole.EDITOR, self._path_of(body["org_id"]))
        secret = None
        if body["key_hash"] is None:
            again = self._granted_before(request)
            if again is not None:
                return again
            secret = new_secret(KEY_PREFIX)
        command = GrantKey(
            key_hash=body["key_hash"] or secret_hash(secret),
            org_id=body["org_id"],
            author=request.operator.name,
            expires_at_ms=body["expires_at_ms"],
            replaces=body["replaces"],
            overlap_seconds=body["overlap_seconds"],
        )
        granted = checked(self._member.commit(command, request.request_id))
        value = as_json(granted) | {"org_id": body["org_id"], "request_id": request.request_id}
        if secret is not None:
            value["key"] = secret
        return AdminReply(value, 201)

    def list_keys(self, request: AdminRequest) -> AdminReply:
        """GET /keys: those the operator may see, without any hash."""
        values = bodies.load_query(request.query, ("org",))
        found = []
        for key in self._configuration.keys.by_id.values():
            if values.get("org") not in (None, key.org_id):
                continue
            path = self._configuration.path_by_org_id[key.org_id]
            if not request.operator.may(OperatorRole.READER, path):
                continue
            shown = as_json(key) | {"granted_by": key.author}
            del shown["key_hash"], shown["author"]
            found.append(shown)
        return AdminReply({"revision": self._configuration.revision, "keys": found})

    def withdraw(self, request: AdminRequest) -> AdminReply:
        """DELETE /keys/{key_id}."""
        bodies.load(bodies.ONLY_REQUEST_ID, request.body)
        key = self._configuration.keys.by_id.get(request.parts["key_id"])
        if key is None:
            raise AdminError(404, "not_found", f"no key {request.parts['key_id']!r}")
        request.require(OperatorRole.EDITOR, self._path_of(key.org_id))
        command = WithdrawKey(key.key_id, request.operator.name)
        result = checked(self._member.commit(command, request.request_id))
        return AdminReply(
            {"revision": result.revision, "key_id": key.key_id, "request_id": request.request_id}
        )

    def create_operator(self, request: AdminRequest) -> AdminReply:
        """POST /operators. Without a `token_hash` the token is drawn here and told once."""
        body = bodies.load(bodies.OPERATOR, request.body)
        request.require(OperatorRole.ADMIN, body["path"])
        token = None
        if body["token_hash"] is None:
            again = self._granted_before(request)
            if again is not None:
                return again
            token = new_secret(TOKEN_PREFIX)
        command = CreateOperator(
            name=body["name"],
            token_hash=body["token_hash"] or secret_hash(token),
            path=body["path"],
            role=body["role"],
            author=request.operator.name,
        )
        result = checked(self._member.commit(command, request.request_id))
        value = {"revision": result.revision, "name": body["name"]}
        if token is not None:
            value["token"] = token
        return AdminReply(value | {"request_id": request.request_id}, 201)

    def list_operators(self, request: AdminRequest) -> AdminReply:
        """GET /operators: those within the subtree of the asking admin."""
        found = []
        for operator in self._configuration.operators.by_name.values():
            if not request.operator.may(OperatorRole.ADMIN, operator.path):
                continue
            shown = as_json(operator)
            del shown["token_hash"]
            found.append(shown)
        return AdminReply({"revision": self._configuration.revision, "operators": found})

    def remove_operator(self, request: AdminRequest) -> AdminReply:
        """DELETE /operators/{name}."""
        bodies.load(bodies.ONLY_REQUEST_ID, request.body)
        name = request.parts["name"]
        operator = self._configuration.operators.by_name.get(name)
        if operator is None:
            raise AdminError(404, "not_found", f"no operator {name!r}")
        request.require(OperatorRole.ADMIN, operator.path)
        command = RemoveOperator(name, request.operator.name)
        result = checked(self._member.commit(command, request.request_id))
        return AdminReply(
            {"revision": result.revision, "name": name, "request_id": request.request_id}
        )

    def _granted_before(self, request: AdminRequest) -> AdminReply | None:
        """Return the answer to a resend of a request for which a secret was drawn here.

        The secret is stored nowhere, so it can't be told again. Drawing a second one would leave a
        key in force that nobody knows of.
        """
        remembered = self._member.state.remembered(request.request_id)
        if remembered is None:
            return None
        match remembered.result:
            case KeyGranted() | ChangeAccepted():
                told = {"request_id": request.request_id, "message": LOST_SECRET}
                return AdminReply(as_json(remembered.result) | told)
        checked(remembered.result)
        message = "this request id was used for something else"
        raise AdminError(409, RefusalCode.CONFLICT.value, message)

    def _path_of(self, org_id: str) -> str:
        path = self._configuration.path_by_org_id.get(org_id)
        if path is None:
            raise AdminError(404, "not_found", f"no organisation {org_id!r}")
        return path
