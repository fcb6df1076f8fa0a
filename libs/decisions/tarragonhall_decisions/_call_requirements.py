"""What a relayed call needs of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import BackendRecord


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt, in order; calls may share parts."""

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class CallRequirements:
    """What a call needs of a server.

    `parts` are empty for plain services; `object_key` names the call's object: servers that handled
    it recently are faster. `last_server` ran the previous turn; servers in `avoid` must not get the
    call. `zones` are where it may run, None for anywhere. `size` is how many bytes the call and its
    expected successors carry to the server. `slack_ms` is the time that its program has to spare,
    None where that is not known. `memory_tokens` is the engine memory that it holds until its end.
    A call that `yields` leaves this entry's share of the slots to more urgent calls of others.
    `history_key` is the same for all turns of a program whose caller sends the whole history.
    """

    service: str
    parts: tuple[PromptPart, ...] = ()
    object_key: str = ""
    last_server: str = ""
    avoid: frozenset[str] = frozenset()
    size: int = 0
    zones: frozenset[str] | None = None
    slack_ms: float | None = None
    memory_tokens: int = 0
    yields: bool = False
    history_key: str = ""

    @property
    def shared_key(self) -> str:
        """Return what the call shares with others: its object or first prompt part, or nothing."""
        return self.object_key or (self.parts[0].part_id if self.parts else "")

    def allows(self, record: BackendRecord) -> bool:
        """Return whether the call may go to a server."""
        if record.server_id in self.avoid:
            return False
        return self.zones is None or record.availability_zone in self.zones
