"""Settings of the sidecar role."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_model import Address, Choice, Group, Integer, ListOf, ServerKind, Text


@dataclass(slots=True, frozen=True)
class SidecarSettings:
    """One backend server. `server` is its own HTTP address; `serves` names models or services.

    `fencing` is whether the engine itself refuses orders with an old fencing number. A stream that
    delivers nothing for `progress_ms` times out.
    """

    server_id: str
    server: str
    kind: ServerKind
    serves: list[str]
    slots: int
    fencing: str
    progress_ms: int = 10_000


OPTIONS = Group(
    SidecarSettings,
    {
        "server_id": Text(),
        "server": Address(),
        "kind": Choice(("model", "service"), convert=ServerKind),
        "serves": ListOf(Text(), min_items=1),
        "slots": Integer(8, minimum=1, maximum=4_096),
        "fencing": Choice(("enforced", "ignored"), default="ignored"),
        # An engine pings every second while a request is queued; ten missing pings mean a failure.
        "progress_ms": Integer(10_000, minimum=100),
    },
)
