"""Parsing of JSON from users and other systems without silent loss of data."""

from __future__ import annotations

import json
import math
from typing import Any

from tarragonhall_model._errors import InputError
from tarragonhall_model._findings import Finding


def parse_json(data: str | bytes, place: str = "") -> Any:
    """Return a JSON value; raise `InputError` at `place` if it is malformed.

    Objects with duplicate names are rejected too: the standard parser keeps only the last of them
    and would silently drop the other values. So are numbers that are not finite: JSON has no text
    for them, so they could not be returned as they were sent.
    """
    try:
        return json.loads(
            data,
            object_pairs_hook=_reject_duplicates,
            parse_float=_finite,
            parse_constant=_finite,
        )
    except (ValueError, RecursionError) as error:
        raise InputError([Finding(place, f"malformed JSON: {error}")]) from error


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"the number {text} is not finite")
    return number


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, value in pairs:
        if name in result:
            raise ValueError(f"the name {name!r} appears twice in one object")
        result[name] = value
    return result
