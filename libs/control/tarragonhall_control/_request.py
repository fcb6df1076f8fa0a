"""Requests to the admin API as the leader handles them, their replies and errors."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_model import (
    Finding,
    InputError,
    Refusal,
    RefusalCode,
    TarragonhallError,
    to_plain,
)
from tarragonhall_state import ChangeRefused, Operator, OperatorRole, check_path

HTTP_STATUS_BY_CODE = {
    RefusalCode.BAD_INPUT: 422,
    RefusalCode.CONFLICT: 409,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.OVERLOADED: 429,
}


class AdminError(TarragonhallError):
    """A request that ends with an error response."""

    def __init__(
        self, status: int, error: str, message: str, findings: list[Finding] = (), **extra: object
    ) -> None:
        super().__init__(message)
        self.status = status
        self.error = error
        self.findings = findings
        self.extra = extra


@dataclass(slots=True)
class AdminRequest:
    """An authenticated request. `path_params` are the named groups of the path pattern."""

    operator: Operator
    request_id: str
    query: str
    body: dict
    path_params: dict[str, str] = field(default_factory=dict)

    def require(self, role: OperatorRole, path: str) -> None:
        """Raise an error unless the operator has the role at the path."""
        findings = check_path(path, "/path")
        if findings:
            raise InputError(findings)
        if not self.operator.may(role, path):
            message = f"{self.operator.name} is not {role.value} at {path}"
            raise AdminError(403, "forbidden", message)


@dataclass(slots=True)
class AdminReply:
    """What a handler returns: an HTTP status and a JSON value."""

    value: object
    status: int = 200


def unwrap_result(result: object) -> object:
    """Return a result of the state machine; raise the `AdminError` of a refusal."""
    match result:
        case ChangeRefused():
            findings = [Finding(one.place, one.message) for one in result.findings]
            raise AdminError(
                HTTP_STATUS_BY_CODE.get(result.code, 409),
                result.code.value,
                result.message,
                findings,
                revision=result.revision,
                in_force=result.in_force,
            )
        case Refusal():
            status = HTTP_STATUS_BY_CODE.get(result.code, 409)
            raise AdminError(status, result.code.value, result.message)
    return result


def as_json(record: object) -> dict:
    """Return a record's fields, nested records included, without the codec's type names."""
    return _untyped(to_plain(record))


def _untyped(plain: object) -> object:
    if isinstance(plain, dict):
        return {name: _untyped(value) for name, value in plain.items()}
    if not isinstance(plain, list):
        return plain
    if len(plain) == 2 and isinstance(plain[0], str) and isinstance(plain[1], dict):
        return _untyped(plain[1])
    return [_untyped(value) for value in plain]
