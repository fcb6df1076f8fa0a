"""What is wrong with a process by its own account, for operators.

Readiness checks and the list of members show it from memory, so that it is told even while the
process's log cannot be written.
"""

from __future__ import annotations

from collections.abc import Callable


class Problems:
    """The present problems of one process, each told by the part that has it."""

    __slots__ = ("_problem_by_part",)

    def __init__(self) -> None:
        self._problem_by_part: dict[str, Callable[[], str]] = {}

    def watch(self, part: str, problem: Callable[[], str]) -> None:
        """Include what `problem` returns from now on; it is empty while all is well."""
        self._problem_by_part[part] = problem

    def texts(self) -> list[str]:
        """Return one text for each part that has a problem."""
        found = []
        for part, problem in self._problem_by_part.items():
            try:
                text = problem()
            except Exception as error:  # noqa: BLE001 - the other parts must be told of
                text = f"its state cannot be told: {error!r}"
            if text:
                found.append(f"{part}: {text}")
        return found
