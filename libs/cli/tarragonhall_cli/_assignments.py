"""Parses `name=value` arguments of the command line."""

from __future__ import annotations

import json

from tarragonhall_model import Finding

from tarragonhall_cli._errors import RejectedInputError


def parse_assignments(texts: tuple[str, ...]) -> dict[str, object]:
    """Return the settings given as `name=value`; values are JSON, or strings if not valid JSON.

    All arguments without `=` and all names given twice are reported together.
    """
    findings = []
    values: dict[str, object] = {}
    for text in texts:
        name, separator, value = text.partition("=")
        if not separator or not name:
            findings.append(Finding(text, "expected name=value"))
            continue
        if name in values:
            findings.append(Finding(name, "is given twice"))
            continue
        values[name] = _parse_value(value)
    if findings:
        raise RejectedInputError("invalid settings arguments", findings)
    return values


def _parse_value(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text
