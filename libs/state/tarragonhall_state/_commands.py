"""Operator commands, which only the control role appends to the log, and their results."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import ProgramStatus, RefusalCode, record


@record
class PlacedFinding:
    """One error in a change; `place` is a JSON pointer into the request."""

    place: str
    message: str


@record
class CreateOrganisation:
    """Create an organisation at a path of the tree, with its own settings."""

    org_id: str
    path: str
    settings: dict[str, object]
    author: str
    expected_revision: int | None = None


@record
class ChangeSettings:
    """Set and unset names at one path, if the revision in force is still the expected one.

    Only a change of a model may omit `expected_revision`, since it names the model version itself.
    """

    path: str
    set: dict[str, object]
    unset: list[str]
    author: str
    expected_revision: int | None = None


@record
class RollBack:
    """Restore a subtree to its state at a revision, as a new change."""

    path: str
    to_revision: int
    author: str
    expected_revision: int


@record
class ImportSettings:
    """Replace a subtree. `nodes` maps each absolute path in it to the names set there."""

    path: str
    nodes: dict[str, object]
    author: str
    expected_revision: int


@record
class GrantKey:
    """Grant a caller key to an organisation, by its hash.

    With `replaces`, the earlier key expires after `overlap_seconds`, so that callers can switch.
    """

    key_hash: str
    org_id: str
    author: str
    expires_at_ms: int | None = None
    replaces: str | None = None
    overlap_seconds: int = 0


@record
class WithdrawKey:
    """Withdraw a caller key at once."""

    key_id: str
    author: str


@record
class CreateOperator:
    """Create an operator whose token grants one role on one subtree."""

    name: str
    token_hash: str
    path: str
    role: str
    author: str


@record
class CreateFirstOperator:
    """Create an admin at the root path, only while no operator exists."""

    name: str
    token_hash: str


@record
class RemoveOperator:
    """Remove an operator; the token stops working at once."""

    name: str
    author: str


@record
class CancelProgram:
    """End a program of any organisation as an operator. Result: `ProgramInfo` or `Refusal`."""

    program_id: str
    status: ProgramStatus
    author: str


SettingsChange = ChangeSettings | RollBack | ImportSettings | CreateOrganisation


@record
class SettingChange:
    """One name that changed at one path; None means not set at this path."""

    path: str
    name: str
    old: object = None
    new: object = None


@record
class ChangeAccepted:
    """The change was committed as this revision."""

    revision: int
    changes: tuple[SettingChange, ...] = ()


@record
class KeyGranted:
    """The key is in force from this revision on."""

    revision: int
    key_id: str


@record
class ChangeRefused:
    """Nothing changed. `revision` and `in_force` hold the current revision and values."""

    code: RefusalCode
    message: str
    revision: int
    findings: tuple[PlacedFinding, ...] = ()
    in_force: dict[str, object] = field(default_factory=dict)


@record
class ChangeRecord:
    """One accepted change of the settings, as stored in the history."""

    revision: int
    at_ms: int
    author: str
    request_id: str
    kind: str
    path: str
    changes: tuple[SettingChange, ...] = ()
