"""Parsing of JSON from users and other systems without silent loss of data."""

from __future__ import annotations

import json
from typing import Any

from tarragonhall_model._errors import InputError
from tarragonhall_model._findings import Finding


def parse_json(data: str | bytes, place: str = "") -> Any:
    """Return a JSON value; raise `InputError` at `place` if it is malformed.

    Objects with duplicate names are rejected too: the standard parser keeps only the last of them
    and would silently drop the other values.
    """
    try:
        return json.loads(data, object_pairs_hook=_reject_duplicates)
    except (ValueError, RecursionError) as error:
        raise InputError([Finding(place, f"malformed JSON: {error}")]) from error


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, value in pairs:
        if name in result:
            raise ValueError(f"the name {name!r} appears twice in one object")
        result[name] = value
    return result
