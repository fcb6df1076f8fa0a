"""Errors of the tool; each class has its own exit code, by which scripts distinguish them."""

from __future__ import annotations

from tarragonhall_model import Finding, TarragonhallError


class ToolError(TarragonhallError):
    """Base class of the tool's errors; `exit_code` is the exit code of the process."""

    exit_code = 1


class RejectedInputError(ToolError):
    """The input was rejected; nothing was changed."""

    exit_code = 2

    def __init__(self, message: str, findings: list[Finding]) -> None:
        lines = [message, *(f"  {finding}" for finding in findings)]
        super().__init__("\n".join(lines))
        self.findings = findings


class UnreachableError(ToolError):
    """No admin address answered; whether the change took effect is unknown."""

    exit_code = 3


class NotAllowedError(ToolError):
    """The token is missing, unknown or not authorised for the request."""

    exit_code = 4


class NotFoundError(ToolError):
    """The named object does not exist."""

    exit_code = 5


class ConflictError(ToolError):
    """A concurrent change took effect first; nothing was changed."""

    exit_code = 6


class ServiceUnavailableError(ToolError):
    """The control members answer, but have no leader to commit the change."""

    exit_code = 7
