"""Commands of operators, which only the control role puts in the log, and their results."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import ProgramStatus, RefusalCode, record


@record
class PlacedFinding:
    """One thing wrong with a change; `place` is a JSON pointer into the request."""

    place: str
    message: str


@record
class CreateOrganisation:
    """Create an organisation at a path of the tree, with settings of its own."""

    org_id: str
    path: str
    settings: dict[str, object]
    author: str
    expected_revision: int | None = None


@record
class ChangeSettings:
    """Set and unset names at one path, if the revision in force is still the expected one.

    Only the change of a model may leave the expected revision out: it names its version itself.
    """

    path: str
    set: dict[str, object]
    unset: list[str]
    author: str
    expected_revision: int | None = None


@record
class RollBack:
    """Bring a subtree back to what it was at a revision, as a new change."""

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

    With `replaces`, the earlier key ends `overlap_seconds` later, so that callers can change over.
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
    """Create an operator whose token reaches one subtree in one role."""

    name: str
    token_hash: str
    path: str
    role: str
    author: str


@record
class CreateFirstOperator:
    """Create the operator over everything, only while there is none at all."""

    name: str
    token_hash: str


@record
class RemoveOperator:
    """Remove an operator; the token stops working at once."""

    name: str
    author: str


@record
class CancelProgram:
    """End a program of any organisation by an operator. Result: `ProgramInfo` or `Refusal`."""

    program_id: str
    status: ProgramStatus
    author: str


SettingsChange = ChangeSettings | RollBack | ImportSettings | CreateOrganisation


@record
class SettingChange:
    """One name at one path that changed; None stands for `not set here`."""

    path: str
    name: str
    old: object = None
    new: object = None


@record
class ChangeAccepted:
    """The change is in the log, as this revision."""

    revision: int
    changes: tuple[SettingChange, ...] = ()


@record
class KeyGranted:
    """The key is in force from this revision on."""

    revision: int
    key_id: str


@record
class ChangeRefused:
    """Nothing changed. `revision` and `in_force` say what is in force instead."""

    code: RefusalCode
    message: str
    revision: int
    findings: tuple[PlacedFinding, ...] = ()
    in_force: dict[str, object] = field(default_factory=dict)


@record
class ChangeRecord:
    """One accepted change of the settings, as the history keeps it."""

    revision: int
    at_ms: int
    author: str
    request_id: str
    kind: str
    path: str
    changes: tuple[SettingChange, ...] = ()
