"""What one entry's running calls hold in the memory of one engine process."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_decisions._call_requirements import CallRequirements, PromptPart

# Weight of one call in the mix of first parts at a server: the last ten to twenty calls count.
MIX_SMOOTHING = 0.1
# Parts with less weight than half of one call are dropped from the mix.
MIN_MIX = MIX_SMOOTHING / 2


@dataclass(slots=True, frozen=True)
class CallMemory:
    """The tokens that one call holds besides `shared`, the part that other calls may hold too."""

    tokens: int
    shared: PromptPart | None = None


def memory_of(requirements: CallRequirements) -> CallMemory:
    """Return what a call holds until its end; its first part is shared if more parts follow."""
    parts = requirements.parts
    if len(parts) < 2:
        return CallMemory(requirements.memory_tokens)
    return CallMemory(max(0, requirements.memory_tokens - parts[0].tokens), parts[0])


@dataclass(slots=True, eq=False)
class MemoryLedger:
    """The sum over the calls at one server process; `tokens` counts a shared part once.

    A ledger that is no longer `current` belongs to a process that has ended. Its last calls are
    subtracted from it and from nothing else.
    """

    service: str
    born_ms: int
    calls: int = 0
    tokens: int = 0
    current: bool = True
    _uses_by_part: dict[str, int] = field(default_factory=dict)
    _tokens_by_part: dict[str, int] = field(default_factory=dict)
    # Share of each first part among the latest calls.
    _mix: dict[str, float] = field(default_factory=dict)

    def add(self, memory: CallMemory) -> int:
        """Add a call; return the tokens by which the sum grew."""
        self.calls += 1
        added = self.added_by(memory)
        self.tokens += added
        if memory.shared is not None:
            part_id = memory.shared.part_id
            self._uses_by_part[part_id] = self._uses_by_part.get(part_id, 0) + 1
            self._tokens_by_part.setdefault(part_id, memory.shared.tokens)
            self._note_mix(part_id)
        return added

    def subtract(self, memory: CallMemory) -> int:
        """Subtract a call that was added; return the tokens by which the sum fell."""
        self.calls -= 1
        freed = memory.tokens
        if memory.shared is not None:
            part_id = memory.shared.part_id
            self._uses_by_part[part_id] -= 1
            if not self._uses_by_part[part_id]:
                del self._uses_by_part[part_id]
                freed += self._tokens_by_part.pop(part_id)
        self.tokens -= freed
        return freed

    def added_by(self, memory: CallMemory) -> int:
        """Return the tokens by which a call would make the sum grow."""
        shared = memory.shared
        if shared is None or shared.part_id in self._uses_by_part:
            return memory.tokens
        return memory.tokens + shared.tokens

    def share(self, running: int) -> int:
        """Return the tokens to tell the others, where `running` calls of all entries run.

        Of a shared part it is this entry's share, by the number of calls that are expected to use
        it. If each entry told the whole, a part that 20 entries use would count 20 times.
        """
        told = float(self.tokens)
        for part_id, uses in self._uses_by_part.items():
            expected_uses = max(uses, self._mix.get(part_id, 0.0) * running)
            told -= self._tokens_by_part[part_id] * (1.0 - uses / expected_uses)
        return round(told)

    def _note_mix(self, part_id: str) -> None:
        mix = {one: weight * (1.0 - MIX_SMOOTHING) for one, weight in self._mix.items()}
        mix[part_id] = mix.get(part_id, 0.0) + MIX_SMOOTHING
        self._mix = {one: weight for one, weight in mix.items() if weight >= MIN_MIX}
