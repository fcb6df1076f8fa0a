"""Fault injection: which faults a test or operator requests of a fake, and for which requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class FaultKind(enum.Enum):
    """Kinds of faults, described in `docs/dev-guide/engine-protocol.md`."""

    HANG = "hang"
    CRASH = "crash"
    SLOW = "slow"
    LATE = "late"
    CROSSED = "crossed"
    DOUBLED = "doubled"
    TRUNCATED = "truncated"
    SILENT = "silent"
    UNFRAMED = "unframed"
    RESET = "reset"


@dataclass(slots=True)
class Fault:
    """Applies to the next `times` requests whose body contains `match` (to all with `times` 0)."""

    kind: FaultKind
    match: str = ""
    times: int = 1
    seconds: float = 1.0


@dataclass(slots=True)
class Faults:
    """The pending faults of one fake, in the order in which they were added."""

    _pending: list[Fault] = field(default_factory=list)

    def add(self, fault: Fault) -> None:
        """Add a fault."""
        self._pending.append(fault)

    def clear(self) -> None:
        """Remove all faults."""
        self._pending.clear()

    def pending(self) -> int:
        """Return how many faults are pending."""
        return len(self._pending)

    def take(self, body: str) -> Fault | None:
        """Return the fault that applies to a request with this body, and count it as used."""
        for fault in self._pending:
            if fault.match not in body:
                continue
            if fault.times == 1:
                self._pending.remove(fault)
            elif fault.times > 1:
                fault.times -= 1
            return fault
        return None

    def handle(self, exchange) -> bool:
        """Serve `/faults`; return whether the request had that path."""
        request = exchange.current_request
        if request.path != "/faults":
            return False
        if request.method == "DELETE":
            self.clear()
        if request.method == "POST":
            fields = request.json()
            self.add(Fault(**{**fields, "kind": FaultKind(fields["kind"])}))
        exchange.reply({"pending": len(self._pending)})
        return True
