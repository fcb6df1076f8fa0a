"""Parsing of JSON from users and other systems without silent loss of data."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterator
from typing import Any

from tarragonhall_model._errors import InputError
from tarragonhall_model._findings import Finding

# What parsing takes in any case, nested values included.
FIXED_BYTES = 64 * 1024
# What Python takes for an empty list, an object, any further value and a name in an object; and in
# addition for a name that no other object has.
LIST_BYTES = 64
OBJECT_BYTES = 128
VALUE_BYTES = 64
NAME_BYTES = 24
UNIQUE_NAME_BYTES = 216
# Names that are told apart; all others are taken to be unique.
MAX_KNOWN_NAMES = 4_096
MAX_KNOWN_NAME_BYTES = 256
# UTF-8 of characters that take four and two bytes each in Python, with all others of their string.
WIDEST = re.compile(rb"[\xf0-\xff]")
WIDE = re.compile(rb"[\xc4-\xef]")
ESCAPED = b"\\u"
# A string, or the rest of the text if it does not end. Nothing is tried twice, so that no text
# takes longer than its length allows.
STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)', re.DOTALL)
NAME_END = re.compile(rb"[ \t\r\n]*:")
STRINGS_PER_STEP = 2_048


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


def parsed_size_bound(data: bytes) -> int:
    """Return at least how many bytes a JSON text takes while it is parsed, without parsing it.

    Its characters are counted, those in its strings too, and all names taken to be unique, so the
    bound may be far too high.
    """
    names = data.count(b":") * UNIQUE_NAME_BYTES
    return _text_size(data) + _value_size(data, 0, len(data)) + names


def measure_parsed_size(data: bytes) -> Iterator[int]:
    """Return a closer bound than `parsed_size_bound` in steps; the last one is the bound.

    Each step takes about a millisecond, so that others may run between.
    """
    size, at = _text_size(data), 0
    known_names: set[bytes] = set()
    for number, match in enumerate(STRING.finditer(data)):
        size += _value_size(data, at, match.start())
        at = match.end()
        if NAME_END.match(data, at):
            name = match[0]
            if name not in known_names:
                size += UNIQUE_NAME_BYTES
                if len(known_names) < MAX_KNOWN_NAMES and len(name) < MAX_KNOWN_NAME_BYTES:
                    known_names.add(name)
        if number % STRINGS_PER_STEP == 0:
            yield size
    yield size + _value_size(data, at, len(data))


def _text_size(data: bytes) -> int:
    """Return what a text takes once it is decoded, and what its strings take."""
    width = 4 if WIDEST.search(data) else 2 if WIDE.search(data) else 1
    # Strings with escapes are joined from pieces, and may become wide by them.
    string_width = 5 if ESCAPED in data else width
    return FIXED_BYTES + len(data) * (width + string_width)


def _value_size(data: bytes, start: int, end: int) -> int:
    """Return what the values of a part of a text take besides their characters."""
    size = data.count(b"[", start, end) * LIST_BYTES
    size += data.count(b"{", start, end) * OBJECT_BYTES
    size += data.count(b",", start, end) * VALUE_BYTES
    return size + data.count(b":", start, end) * NAME_BYTES
