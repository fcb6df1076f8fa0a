"""Which programs have exhausted their token budget, as far as one entry knows.

Load pattern: a program in an endless loop goes on sending turns after its budget is exhausted. Each
would take a token of its organisation's rate and a commit of the stores before it is refused, and
the organisation's other programs would be refused for lack of those tokens. A program's usage only
grows, so after a turn did not fit, later ones are refused here.

Times are monotonic seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Maximum number of stored programs; beyond it the one updated longest ago is dropped. Looping
# programs are few.
MAX_PROGRAMS = 10_000


@dataclass(slots=True)
class _Usage:
    tokens: int
    expires_at: float


class ExhaustedPrograms:
    """The last known usage of programs that were refused because of their budget."""

    __slots__ = ("_usage_by_program",)

    def __init__(self) -> None:
        self._usage_by_program: OrderedDict[tuple[str, str], _Usage] = OrderedDict()

    def record_usage(
        self, org_id: str, program_id: str, tokens: int, keep_s: float, now: float
    ) -> None:
        """Record a program's usage; the stores forget it `keep_s` after the program's last turn."""
        key = (org_id, program_id)
        known = self._usage_by_program.pop(key, None)
        if known is not None:
            tokens = max(tokens, known.tokens)
        self._usage_by_program[key] = _Usage(tokens, now + keep_s)
        while len(self._usage_by_program) > MAX_PROGRAMS:
            self._usage_by_program.popitem(last=False)

    def exceeds_budget(
        self, org_id: str, program_id: str, budget: int, max_tokens: int, now: float
    ) -> bool:
        """Return whether a turn of `max_tokens` certainly does not fit into a program's budget."""
        known = self._usage_by_program.get((org_id, program_id))
        if known is None or now > known.expires_at:
            return False
        return known.tokens + max_tokens > budget
