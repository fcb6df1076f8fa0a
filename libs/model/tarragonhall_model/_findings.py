"""Findings about input, collected with their locations and reported together."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

# What is told of one input. More findings say nothing new, and may take many times the input.
MAX_FINDINGS = 200
MAX_VALUE_CHARACTERS = 200
# Of a finding's place and of its message, which may repeat names and numbers of the input.
MAX_FINDING_CHARACTERS = 1_000


@dataclass(slots=True, frozen=True)
class Finding:
    """One problem in some input: `place` is a JSON pointer or `file:line`."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place or '/'}: {self.message}"


def is_enough(findings: list[Finding]) -> bool:
    """Return whether so much was found that the rest of the input need not be checked."""
    return len(findings) >= MAX_FINDINGS


def first_findings(findings: list[Finding]) -> list[Finding]:
    """Return the findings that are told of one input, with a note if there may be more.

    Long places and messages are shortened.
    """
    if not is_enough(findings):
        return [_shortened(finding) for finding in findings]
    note = Finding("", f"these are the first {MAX_FINDINGS} findings, there may be more")
    return [*map(_shortened, findings[:MAX_FINDINGS]), note]


def _shortened(finding: Finding) -> Finding:
    longest = max(len(finding.place), len(finding.message))
    if longest <= MAX_FINDING_CHARACTERS:
        return finding
    return Finding(_start_of(finding.place), _start_of(finding.message))


def _start_of(text: str) -> str:
    if len(text) <= MAX_FINDING_CHARACTERS:
        return text
    return f"{text[:MAX_FINDING_CHARACTERS]}…"


def shown(value: object) -> str:
    """Return a value as findings show it, shortened if it is long."""
    if isinstance(value, str):
        value = value[: MAX_VALUE_CHARACTERS + 1]
    elif isinstance(value, list | dict):
        return f"{'a list' if isinstance(value, list) else 'an object'} of {len(value)}"
    text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARACTERS else f"{text[:MAX_VALUE_CHARACTERS]}…"


def unknown_name(place: str, name: str, known: Iterable[str]) -> Finding:
    """Return the finding for an unknown name, with the closest known one as a hint."""
    matches = difflib.get_close_matches(name[:MAX_VALUE_CHARACTERS], list(known), n=1, cutoff=0.5)
    hint = f"; did you mean {matches[0]!r}?" if matches else ""
    return Finding(place, f"unknown name {shown(name)}{hint}")
