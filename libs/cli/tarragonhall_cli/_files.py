"""Reads and writes JSON files."""

from __future__ import annotations

import json
from pathlib import Path

from tarragonhall_model import Finding

from tarragonhall_cli._errors import RejectedInputError


def read_json_object(file: Path) -> dict:
    """Return the JSON object in a file."""
    try:
        value = json.loads(file.read_text())
    except (OSError, ValueError) as error:
        raise RejectedInputError(f"cannot read {file}", [Finding(str(file), str(error))]) from error
    if not isinstance(value, dict):
        raise RejectedInputError(f"cannot read {file}", [Finding("", "expected a JSON object")])
    return value


def write_json(file: Path, value: object) -> None:
    """Write a value as indented JSON."""
    try:
        file.write_text(json.dumps(value, indent=2, ensure_ascii=False) + "\n")
    except OSError as error:
        raise RejectedInputError(f"cannot write {file}: {error.strerror}", []) from error
