"""Which programs have used up their token budget, as far as one entry has heard.

Load pattern: a program that loops without end goes on sending turns after its budget is spent. Each
would take a token of its organisation's rate and a commit of the stores before it is refused, and
the organisation's other programs would be refused for want of those tokens. What a program has used
only grows, so a turn that did not fit once is refused here from then on.

Times are monotonic seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Programs that loop are few; beyond this many the one heard of first is forgotten.
MOST_PROGRAMS = 10_000


@dataclass(slots=True)
class _Spent:
    tokens: int
    until: float


class SpentPrograms:
    """What programs that were refused for their budget had used by then."""

    __slots__ = ("_spent_by_program",)

    def __init__(self) -> None:
        self._spent_by_program: OrderedDict[tuple[str, str], _Spent] = OrderedDict()

    def note(self, org_id: str, program_id: str, tokens: int, keep_s: float, now: float) -> None:
        """Note what a program has used; the stores forget it `keep_s` after its last turn."""
        key = (org_id, program_id)
        known = self._spent_by_program.pop(key, None)
        if known is not None:
            tokens = max(tokens, known.tokens)
        self._spent_by_program[key] = _Spent(tokens, now + keep_s)
        while len(self._spent_by_program) > MOST_PROGRAMS:
            self._spent_by_program.popitem(last=False)

    def refuses(self, org_id: str, program_id: str, budget: int, most: int, now: float) -> bool:
        """Return whether a turn of `most` tokens surely does not fit into a program's budget."""
        known = self._spent_by_program.get((org_id, program_id))
        if known is None or now > known.until:
            return False
        return known.tokens + most > budget
