"""Read `name=value` arguments of the command line."""

from __future__ import annotations

import json

from tarragonhall_model import Finding

from tarragonhall_cli._errors import RefusedInputError


def parse_assignments(texts: tuple[str, ...]) -> dict[str, object]:
    """Return the settings given as `name=value`; values are JSON, or plain text where they are not.

    Every text without `=` and every name given twice is reported at once.
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
        raise RefusedInputError("cannot read the settings given", findings)
    return values


def _parse_value(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text
