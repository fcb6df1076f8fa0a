"""Which servers are believed to hold a prompt part, from the calls that this entry sent."""

from __future__ import annotations

from collections import OrderedDict

from tarragonhall_decisions._call_requirements import CallRequirements, PromptPart

# Prompt tokens that an engine reads in a millisecond: the slowest rate that engines publish, so
# that a long prompt is not read twice for a small gain.
PREFILL_TOKENS_PER_MS = 30.0
# Prompt parts whose holders are remembered; the least recently used is dropped first.
MAX_REMEMBERED_PARTS = 20_000
MAX_HOLDERS_PER_PART = 4


class PromptHolders:
    """The servers that ran calls with a prompt part, the latest first."""

    __slots__ = ("_holders_by_part", "forgets_first_parts")

    def __init__(self) -> None:
        self._holders_by_part: OrderedDict[str, list[str]] = OrderedDict()
        # Whether servers are recorded as holders of later parts without the first one.
        self.forgets_first_parts = False

    def record(self, server_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Record that a server has read these parts."""
        for part in parts:
            holders = self._holders_by_part.setdefault(part.part_id, [])
            if server_id in holders:
                holders.remove(server_id)
            holders.insert(0, server_id)
            del holders[MAX_HOLDERS_PER_PART:]
            self._holders_by_part.move_to_end(part.part_id)
        while len(self._holders_by_part) > MAX_REMEMBERED_PARTS:
            self._holders_by_part.popitem(last=False)

    def of(self, part: PromptPart) -> list[str]:
        """Return the servers that hold a part, the latest first."""
        return self._holders_by_part.get(part.part_id, [])

    def has_holder(self, part: PromptPart, local_ids: list[str] | None) -> bool:
        """Return whether any server holds a part, one of `local_ids` where they are given."""
        holders = self._holders_by_part.get(part.part_id)
        if holders is None or local_ids is None:
            return holders is not None
        return any(server_id in local_ids for server_id in holders)

    def missing_tokens(
        self, server_id: str, requirements: CallRequirements, preferred: tuple[str, ...]
    ) -> int:
        """Return the tokens that the server would have to read: all from the first missing part.

        All entries treat the servers in `preferred` as holders of the first part, and no others if
        there are several.
        """
        parts = requirements.parts
        if not parts:
            return 0
        if server_id == requirements.last_server:
            # It ran the previous turn; only the new part is missing.
            return parts[-1].tokens
        held_tokens = 0
        for part in parts:
            holders = self._holders_by_part.get(part.part_id)
            is_held = holders is not None and server_id in holders
            if part is parts[0] and (not is_held or len(preferred) > 1):
                is_held = self._holds_first(server_id, requirements, preferred, is_held)
            if not is_held:
                break
            held_tokens += part.tokens
        return sum(part.tokens for part in parts) - held_tokens

    def _holds_first(
        self,
        server_id: str,
        requirements: CallRequirements,
        preferred: tuple[str, ...],
        is_known: bool,
    ) -> bool:
        """Return whether a server counts as holder of the first part."""
        if server_id in preferred or (is_known and len(preferred) < 2):
            return True
        if not self.forgets_first_parts or len(requirements.parts) < 2:
            return False
        # A part is held only after those before it. A conversation stays where it is although its
        # subject is no longer, or not first of all, looked for there.
        return server_id in self.of(requirements.parts[1])
