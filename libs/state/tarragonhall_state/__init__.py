"""State machines over the log: settings tree, keys, operators, views and the program journal.

`ControlState` is the `StateMachine` that the consensus library drives: `apply(index, data)` decodes
a `model.Command`, dispatches it to the component that owns it, and returns the result record. Its
other methods are queries without side effects, which the control role runs on its local replica.
"""

from __future__ import annotations

from tarragonhall_model import lazy_exports

_NAMES_BY_MODULE = {
    "_calls": (
        "MAX_ATTEMPTS",
        "MAX_HISTORY_BYTES",
    ),
    "_commands": (
        "CancelProgram",
        "ChangeAccepted",
        "ChangeRecord",
        "ChangeRefused",
        "ChangeSettings",
        "CreateFirstOperator",
        "CreateOperator",
        "CreateOrganisation",
        "GrantKey",
        "ImportSettings",
        "KeyGranted",
        "PlacedFinding",
        "RemoveOperator",
        "RollBack",
        "SettingChange",
        "SettingsChange",
        "WithdrawKey",
    ),
    "_configuration": ("Configuration",),
    "_follower": (
        "FRESHNESS_LEASE_SECONDS",
        "Follower",
    ),
    "_keys": (
        "KeyRecord",
        "key_id_of",
    ),
    "_machine": ("ControlState",),
    "_names": (
        "OPTION_BY_MODEL_FIELD",
        "OPTION_BY_NAME",
        "ROOT_PATH",
        "check_name",
        "check_path",
        "is_within",
    ),
    "_operators": (
        "Operator",
        "OperatorRole",
    ),
    "_policy": ("MAX_DELTA_REVISIONS",),
    "_programs": ("ENDED_PROGRAM_RETENTION_MS",),
    "_requests": (
        "MAX_JOURNAL_REQUESTS",
        "JOURNAL_WINDOW_MS",
        "MAX_OPERATOR_REQUESTS",
        "OPERATOR_WINDOW_MS",
    ),
    "_tree": (
        "DEFAULT_SOURCE",
        "Origin",
        "SettingsTree",
    ),
    "_turn_room": (
        "TurnRoom",
        "turn_bytes",
        "turn_room_for",
    ),
    "_turns": (
        "RETENTION_SLACK_MS",
        "TurnState",
    ),
}

__all__ = sorted(name for names in _NAMES_BY_MODULE.values() for name in names)

__getattr__ = lazy_exports(__name__, _NAMES_BY_MODULE)
