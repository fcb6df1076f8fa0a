"""What each request of the admin API may hold; unknown names are refused with the nearest known."""

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
    ListOf,
    MapOf,
    Text,
    Whole,
    unknown_name,
)
from tarragonhall_state import OperatorRole


@dataclass(slots=True, frozen=True)
class Anything:
    """Any JSON value; the state machine checks it, with its place."""

    default: Any = REQUIRED

    def load(self, value: object, _place: str) -> tuple[Any, list[Finding]]:
        """Take the value as it is."""
        return value, []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {}


REQUEST_ID = {"request_id": Text(None)}
EXPECTED = {"expected_revision": Whole()}

ORGANISATION = Group(
    dict,
    REQUEST_ID
    | {
        "org_id": Text(),
        "path": Text(),
        "settings": MapOf(Anything(), default={}),
        "expected_revision": Whole(None),
    },
)
KEY = Group(
    dict,
    REQUEST_ID
    | {
        "org_id": Text(),
        "key_hash": Text(None),
        "expires_at_ms": Whole(None),
        "replaces": Text(None),
        "overlap_seconds": Whole(0, maximum=30 * 24 * 3_600),
    },
)
SETTINGS = Group(
    dict,
    REQUEST_ID
    | EXPECTED
    | {
        "path": Text(),
        "set": MapOf(Anything(), default={}),
        "unset": ListOf(Text(), default=[]),
        "dry_run": Flag(False),
    },
)
ROLLBACK = Group(
    dict,
    REQUEST_ID | EXPECTED | {"path": Text("/"), "to_revision": Whole(), "dry_run": Flag(False)},
)
IMPORT = Group(
    dict,
    REQUEST_ID
    | EXPECTED
    | {"path": Text("/"), "nodes": MapOf(MapOf(Anything())), "dry_run": Flag(False)},
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
        "min_replicas": Whole(None),
        "max_tokens": Whole(None),
        "expected_revision": Whole(None),
    },
)
DRAIN = Group(dict, REQUEST_ID | {"draining": Flag(True)})
EVACUATION = Group(dict, REQUEST_ID | {"evacuated": Flag(True)})
MEMBER = Group(dict, REQUEST_ID | {"member_id": Text(), "address": Address()})
REPLACEMENT = Group(dict, REQUEST_ID | {"address": Address(None)})
ONLY_REQUEST_ID = Group(dict, REQUEST_ID)


def load(group: Group, body: dict) -> dict:
    """Check a body; raise `InputError` with every finding at once."""
    loaded, findings = group.load(body)
    if findings:
        raise InputError(findings)
    return loaded


def load_query(query: str, known: tuple[str, ...]) -> dict[str, str]:
    """Check the names of a query string."""
    values = dict(parse_qsl(query, keep_blank_values=True))
    findings = [unknown_name(f"?{name}", name, known) for name in values if name not in known]
    if findings:
        raise InputError(findings)
    return values


def whole(values: dict[str, str], name: str, default: int) -> int:
    """Return a whole number of a query string."""
    text = values.get(name)
    if text is None:
        return default
    if not text.isdigit():
        raise InputError([Finding(f"?{name}", f"expected a whole number, got {text!r}")])
    return int(text)
