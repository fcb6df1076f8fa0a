"""The names known to the settings tree, and the validation of paths, names and values."""

from __future__ import annotations

import re
from typing import Any

from tarragonhall_model import (
    REQUIRED,
    Finding,
    Flag,
    Integer,
    Number,
    Text,
    escape_json_pointer,
    unknown_name,
)

ROOT_PATH = "/"
# Enough for region/association/team/sub-team; each level costs one look-up per resolved name.
MAX_DEPTH = 8
PATH_PATTERN = re.compile(r"/([a-z0-9][a-z0-9._-]{0,63}(/[a-z0-9][a-z0-9._-]{0,63})*)?")
MODEL_NAME_PATTERN = re.compile(r"model\.(?P<model>.{1,64})\.(?P<field>[a-z_]+)")

OPTION_BY_NAME: dict[str, Any] = {
    "rate.per_second": Number(10.0, minimum=0.001, maximum=1e6),
    # With a burst below 1, no call would ever be admitted.
    "rate.burst": Number(20.0, minimum=1.0, maximum=1e6),
    "weight": Number(1.0, minimum=0.01, maximum=1_000.0),
    "budget.tokens": Integer(100_000, minimum=1),
    "budget.calls": Integer(200, minimum=1),
    "budget.seconds": Integer(3_600, minimum=1, maximum=30 * 24 * 3_600),
    "idle_seconds": Integer(600, minimum=1, maximum=24 * 3_600),
    "enabled": Flag(True),
}

# Names such as `model.NAME.version`. Models are shared by all teams, so they are set only at the
# root.
OPTION_BY_MODEL_FIELD: dict[str, Any] = {
    "version": Text(),
    "min_replicas": Integer(1, minimum=0, maximum=100_000),
    "max_tokens": Integer(4_096, minimum=1, maximum=10_000_000),
}


def ancestors(path: str) -> list[str]:
    """Return the path and its ancestors, the path itself first and the root last."""
    found = [path]
    while path != ROOT_PATH:
        path = path.rpartition("/")[0] or ROOT_PATH
        found.append(path)
    return found


def is_within(path: str, subtree: str) -> bool:
    """Return whether a path lies in a subtree."""
    return subtree == ROOT_PATH or path == subtree or path.startswith(subtree + "/")


def check_path(path: object, place: str) -> list[Finding]:
    """Return the findings for a path."""
    if not isinstance(path, str) or PATH_PATTERN.fullmatch(path) is None:
        text = "expected a path such as /team/routing, of lower-case letters, digits, . _ and -"
        return [Finding(place, f"{text}; got {path!r}")]
    if path.count("/") > MAX_DEPTH:
        return [Finding(place, f"deeper than {MAX_DEPTH} levels")]
    return []


def check_name(path: str, name: str, place: str) -> list[Finding]:
    """Return the findings for a name at a path."""
    if name in OPTION_BY_NAME:
        return []
    match = MODEL_NAME_PATTERN.fullmatch(name)
    if match is None:
        return [unknown_name(place, name, OPTION_BY_NAME)]
    if match["field"] not in OPTION_BY_MODEL_FIELD:
        known = [f"model.{match['model']}.{field}" for field in OPTION_BY_MODEL_FIELD]
        return [unknown_name(place, name, known)]
    if path != ROOT_PATH:
        return [Finding(place, "models are set at the root path / only")]
    return []


def check_value(path: str, name: str, value: object, place: str) -> list[Finding]:
    """Return the findings for a value of a name at a path."""
    findings = check_name(path, name, place)
    if findings:
        return findings
    return option_of(name).load(value, place)[1]


def check_values(path: str, values: object, place: str) -> list[Finding]:
    """Return the findings for an object of names and values."""
    if not isinstance(values, dict):
        return [Finding(place, f"expected an object, got {values!r}")]
    findings = []
    for name, value in values.items():
        findings.extend(check_value(path, name, value, f"{place}/{escape_json_pointer(name)}"))
    return findings


def default_of(name: str) -> object:
    """Return the default of a known name, or None if it has none."""
    default = option_of(name).default
    return None if default is REQUIRED else default


def option_of(name: str) -> Any:
    """Return the option that declares a known name."""
    option = OPTION_BY_NAME.get(name)
    if option is not None:
        return option
    return OPTION_BY_MODEL_FIELD[name.rpartition(".")[2]]
