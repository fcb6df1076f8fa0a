"""Findings about input, collected with their places and reported together."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Finding:
    """One thing wrong with some input: `place` is a JSON pointer or `file:line`."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place or '/'}: {self.message}"


def unknown_name(place: str, name: str, known: Iterable[str]) -> Finding:
    """Return the finding for a name that does not exist, with the nearest known one."""
    near = difflib.get_close_matches(name, list(known), n=1, cutoff=0.5)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return Finding(place, f"unknown name {name!r}{hint}")
