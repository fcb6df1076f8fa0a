"""Learns how many tokens the answers of each kind of call have."""

from __future__ import annotations

from dataclasses import dataclass

# Weight of one answer in the mean of its kind, which follows a change within 20 calls.
SMOOTHING = 0.05
# Kinds are routes; this only limits the table if documents name many over time.
MAX_KINDS = 1_000


@dataclass(slots=True)
class _Mean:
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        self.value += max(SMOOTHING, 1.0 / self.count) * (value - self.value)


class ExpectedOutput:
    """The mean output of each kind of call, in tokens."""

    __slots__ = ("_mean_by_kind",)

    def __init__(self) -> None:
        self._mean_by_kind: dict[str, _Mean] = {}

    def record(self, kind: str, tokens: int) -> None:
        """Record the output of a complete answer."""
        if kind not in self._mean_by_kind and len(self._mean_by_kind) >= MAX_KINDS:
            self._mean_by_kind.clear()
        self._mean_by_kind.setdefault(kind, _Mean()).add(tokens)

    def tokens(self, kind: str, maximum: int, hint: int | None) -> int:
        """Return the expected output of a call.

        `maximum` is the stated limit of the output, 0 if there is none, and `hint` the caller's
        estimate. Estimates are often far off, and the mean of a kind knows nothing of the call, so
        their middle is taken.
        """
        learnt = self._mean_by_kind.get(kind)
        if learnt is not None and hint is not None:
            expected = (learnt.value + hint) / 2
        elif learnt is not None:
            expected = learnt.value
        else:
            expected = hint if hint is not None else maximum
        return round(min(expected, maximum) if maximum else expected)
