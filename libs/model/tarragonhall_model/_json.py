"""JSON that people and other systems send, read without losing any of it."""

from __future__ import annotations

import json
from typing import Any

from tarragonhall_model._errors import InputError
from tarragonhall_model._findings import Finding


def parse_json(data: str | bytes, place: str = "") -> Any:
    """Return a JSON value; raise `InputError` at `place` where it is malformed.

    An object that names a thing twice is malformed too: the plain parser keeps the last of the two,
    and half of what was sent would be lost without a word.
    """
    try:
        return json.loads(data, object_pairs_hook=_refuse_doubled)
    except (ValueError, RecursionError) as error:
        raise InputError([Finding(place, f"malformed JSON: {error}")]) from error


def _refuse_doubled(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made: dict[str, Any] = {}
    for name, value in pairs:
        if name in made:
            raise ValueError(f"the name {name!r} stands twice in one object")
        made[name] = value
    return made
