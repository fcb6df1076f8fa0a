"""Errors of the tool, each kind with its own exit code so that scripts can tell them apart."""

from __future__ import annotations

from tarragonhall_model import Finding, TarragonhallError


class ToolError(TarragonhallError):
    """Base of what the tool reports; `exit_code` is the code of the process."""

    exit_code = 1


class RefusedInputError(ToolError):
    """The input was refused; nothing was changed."""

    exit_code = 2

    def __init__(self, message: str, findings: list[Finding]) -> None:
        lines = [message, *(f"  {finding}" for finding in findings)]
        super().__init__("\n".join(lines))
        self.findings = findings


class UnreachableError(ToolError):
    """No admin address answered; whether the change took effect is unknown."""

    exit_code = 3


class NotAllowedError(ToolError):
    """The token is missing, unknown or not allowed to do this."""

    exit_code = 4


class NotFoundError(ToolError):
    """What was named does not exist."""

    exit_code = 5


class ConflictError(ToolError):
    """Another change came first; nothing was changed."""

    exit_code = 6


class ServiceUnavailableError(ToolError):
    """The control members answer, but have no leader to commit the change."""

    exit_code = 7
