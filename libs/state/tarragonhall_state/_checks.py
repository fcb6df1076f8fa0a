"""Validation of changes to organisations, keys and operators; all findings are returned at once."""

from __future__ import annotations

import re
from typing import Protocol

from tarragonhall_model import Finding

from tarragonhall_state._commands import CreateOperator, CreateOrganisation, GrantKey
from tarragonhall_state._keys import KeyRecord, Keys
from tarragonhall_state._names import check_path
from tarragonhall_state._operators import MAX_OPERATORS, OperatorRole, Operators

ID_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
# 15,000 organisations are planned; without a limit, a runaway script could fill the memory of every
# control member.
MAX_ORGANISATIONS = 30_000
MAX_KEYS = 200_000


class StoredConfiguration(Protocol):
    """The part of the configuration that the checks read."""

    path_by_org_id: dict[str, str]
    keys: Keys
    operators: Operators


def check_organisation(stored: StoredConfiguration, change: CreateOrganisation) -> list[Finding]:
    """Return the findings for a new organisation."""
    findings = []
    if ID_PATTERN.fullmatch(change.org_id) is None:
        text = "expected 1 to 64 lower-case letters, digits, . _ and -"
        findings.append(Finding("/org_id", text))
    if change.org_id in stored.path_by_org_id:
        findings.append(Finding("/org_id", f"{change.org_id!r} exists already"))
    if change.path in stored.path_by_org_id.values():
        findings.append(Finding("/path", "another organisation is at this path"))
    if len(stored.path_by_org_id) >= MAX_ORGANISATIONS:
        findings.append(Finding("", f"more than {MAX_ORGANISATIONS} organisations"))
    return findings


def check_grant(
    stored: StoredConfiguration, command: GrantKey, existing: KeyRecord | None, now_ms: int
) -> list[Finding]:
    """Return the findings for the grant of a key."""
    findings = []
    if command.org_id not in stored.path_by_org_id:
        findings.append(Finding("/org_id", f"no organisation {command.org_id!r}"))
    if HASH_PATTERN.fullmatch(command.key_hash) is None:
        findings.append(Finding("/key_hash", "expected a SHA-256 hash of 64 hex digits"))
    if existing is not None and existing.org_id != command.org_id:
        findings.append(Finding("/key_hash", "this key belongs to another organisation"))
    if existing is not None and existing.withdrawn_at_ms is not None:
        findings.append(Finding("/key_hash", "this key was withdrawn"))
    if existing is None and len(stored.keys.by_id) >= MAX_KEYS:
        findings.append(Finding("", f"more than {MAX_KEYS} keys"))
    if command.expires_at_ms is not None and command.expires_at_ms <= now_ms:
        findings.append(Finding("/expires_at_ms", "is in the past"))
    if command.overlap_seconds < 0:
        findings.append(Finding("/overlap_seconds", "expected 0 or more"))
    replaced = stored.keys.by_id.get(command.replaces) if command.replaces else None
    if command.replaces and (replaced is None or replaced.org_id != command.org_id):
        findings.append(Finding("/replaces", "no such key of this organisation"))
    return findings


def check_operator(stored: StoredConfiguration, command: CreateOperator) -> list[Finding]:
    """Return the findings for a new operator."""
    findings = check_path(command.path, "/path")
    if ID_PATTERN.fullmatch(command.name) is None:
        findings.append(Finding("/name", "expected 1 to 64 letters, digits, . _ and -"))
    if command.name in stored.operators.by_name:
        findings.append(Finding("/name", f"{command.name!r} exists already"))
    if command.role not in [role.value for role in OperatorRole]:
        findings.append(Finding("/role", "expected reader, editor or admin"))
    if HASH_PATTERN.fullmatch(command.token_hash) is None:
        findings.append(Finding("/token_hash", "expected a SHA-256 hash of 64 hex digits"))
    if len(stored.operators.by_name) >= MAX_OPERATORS:
        findings.append(Finding("", f"more than {MAX_OPERATORS} operators"))
    return findings
