"""Schemas of admin API request bodies; an unknown name is rejected with the nearest known one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from tarragonhall_model import (
    REQUIRED,
    Address,
    Choice,
    Finding,
    Flag,
    Group,
    InputError,
    Integer,
    ListOf,
    MapOf,
    Text,
    shown,
    unknown_name,
)
from tarragonhall_state import OperatorRole

# Of a whole number in a query; longer ones are no limits of anything.
MAX_DIGITS = 15


@dataclass(slots=True, frozen=True)
class AnyJson:
    """Any JSON value; the state machine validates it and reports the place of errors."""

    default: Any = REQUIRED

    def load(self, value: object, _place: str) -> tuple[Any, list[Finding]]:
        """Return the value unchanged."""
        return value, []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {}


REQUEST_ID = {"request_id": Text(None)}
EXPECTED_REVISION = {"expected_revision": Integer()}

ORGANISATION = Group(
    dict,
    REQUEST_ID
    | {
        "org_id": Text(),
        "path": Text(),
        "settings": MapOf(AnyJson(), default={}),
        "expected_revision": Integer(None),
    },
)
KEY = Group(
    dict,
    REQUEST_ID
    | {
        "org_id": Text(),
        "key_hash": Text(None),
        "expires_at_ms": Integer(None),
        "replaces": Text(None),
        "overlap_seconds": Integer(0, maximum=30 * 24 * 3_600),
    },
)
SETTINGS = Group(
    dict,
    REQUEST_ID
    | EXPECTED_REVISION
    | {
        "path": Text(),
        "set": MapOf(AnyJson(), default={}),
        "unset": ListOf(Text(), default=[]),
        "dry_run": Flag(False),
    },
)
ROLLBACK = Group(
    dict,
    REQUEST_ID
    | EXPECTED_REVISION
    | {"path": Text("/"), "to_revision": Integer(), "dry_run": Flag(False)},
)
IMPORT = Group(
    dict,
    REQUEST_ID
    | EXPECTED_REVISION
    | {"path": Text("/"), "nodes": MapOf(MapOf(AnyJson())), "dry_run": Flag(False)},
)
OPERATOR = Group(
    dict,
    REQUEST_ID
    | {
        "name": Text(),
        "path": Text("/"),
        "role": Choice(tuple(role.value for role in OperatorRole)),
        "token_hash": Text(None),
    },
)
MODEL = Group(
    dict,
    REQUEST_ID
    | {
        "name": Text(),
        "version": Text(),
        "min_replicas": Integer(None),
        "max_tokens": Integer(None),
        "expected_revision": Integer(None),
    },
)
DRAIN = Group(dict, REQUEST_ID | {"draining": Flag(True)})
EVACUATION = Group(dict, REQUEST_ID | {"evacuated": Flag(True)})
MEMBER = Group(dict, REQUEST_ID | {"member_id": Text(), "address": Address()})
REPLACEMENT = Group(dict, REQUEST_ID | {"address": Address(None)})
ONLY_REQUEST_ID = Group(dict, REQUEST_ID)


def load(group: Group, body: dict) -> dict:
    """Validate a body; raise `InputError` with all findings."""
    loaded, findings = group.load(body)
    if findings:
        raise InputError(findings)
    return loaded


def load_query(query: str, known: tuple[str, ...]) -> dict[str, str]:
    """Parse a query string; raise `InputError` for unknown names."""
    values = dict(parse_qsl(query, keep_blank_values=True))
    findings = [unknown_name(f"?{name}", name, known) for name in values if name not in known]
    if findings:
        raise InputError(findings)
    return values


def whole_number(values: dict[str, str], name: str, default: int) -> int:
    """Return a query parameter as a whole number; raise `InputError` if it is none."""
    text = values.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        raise InputError([Finding(f"?{name}", f"expected a whole number, got {shown(text)}")])
    return int(text)
