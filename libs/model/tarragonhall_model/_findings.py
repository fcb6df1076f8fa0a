"""Findings about input, collected with their locations and reported together."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Finding:
    """One problem in some input: `place` is a JSON pointer or `file:line`."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place or '/'}: {self.message}"


def unknown_name(place: str, name: str, known: Iterable[str]) -> Finding:
    """Return the finding for an unknown name, with the closest known one as a hint."""
    matches = difflib.get_close_matches(name, list(known), n=1, cutoff=0.5)
    hint = f"; did you mean {matches[0]!r}?" if matches else ""
    return Finding(place, f"unknown name {name!r}{hint}")
