"""Sums of `LoadDetail`, whose tables are all additive over entries."""

from __future__ import annotations

from collections.abc import Iterable

from tarragonhall_model import LoadDetail


def sum_details(details: Iterable[LoadDetail | None]) -> LoadDetail:
    """Return the sum of the given details; None counts as empty."""
    total = LoadDetail()
    for detail in details:
        if detail is None:
            continue
        for name in LoadDetail.__slots__:
            _add(getattr(total, name), getattr(detail, name))
    return total


def subtract_detail(total: LoadDetail, part: LoadDetail | None) -> LoadDetail:
    """Return a sum without one of its parts; entries that become zero or less are left out.

    A part may be newer than the sum, so that a difference can be negative.
    """
    if part is None:
        return total
    tables = {}
    for name in LoadDetail.__slots__:
        own = getattr(part, name)
        left = {key: value - own.get(key, 0) for key, value in getattr(total, name).items()}
        tables[name] = {key: value for key, value in left.items() if value > 0}
    return LoadDetail(**tables)


def is_empty(detail: LoadDetail) -> bool:
    """Return whether a detail says nothing."""
    return not any(getattr(detail, name) for name in LoadDetail.__slots__)


def _add(total: dict, part: dict) -> None:
    for key, value in part.items():
        total[key] = total.get(key, 0) + value
