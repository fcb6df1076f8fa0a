"""Backend servers of the relay that left or began to drain, by the log's clock.

A server's announcement may arrive seconds after it was sent, and by then every control member may
have been restarted. Without a stored mark, it would bring back a server that was told that it gets
no more calls.
"""

from __future__ import annotations

from tarragonhall_model import BackendRecord, Recorded, record

# Milliseconds for which a departure is kept: far longer than an announcement can be late, and as
# long as control members remember a silent server. Ids are mostly used once, so the number of
# departures is bounded by those of this time.
KEPT_MS = 120_000


@record
class Departure:
    """The last record of an incarnation, `gone` or `draining`, and when it was stored."""

    backend: BackendRecord
    at_ms: int


class Departures:
    """The departures of the last minutes; `version` grows with each change."""

    __slots__ = ("_departure_by_id", "version")

    def __init__(self) -> None:
        self.version = 0
        self._departure_by_id: dict[str, Departure] = {}

    def add(self, backends: list[BackendRecord], now_ms: int) -> Recorded:
        """Store departures, later incarnations in place of earlier ones; drop those kept long."""
        for server_id, departure in list(self._departure_by_id.items()):
            if now_ms - departure.at_ms > KEPT_MS:
                del self._departure_by_id[server_id]
        for backend in backends:
            known = self._departure_by_id.get(backend.server_id)
            if known is not None and not _replaces(backend, known.backend):
                continue
            self._departure_by_id[backend.server_id] = Departure(backend, now_ms)
        self.version += 1
        return Recorded()

    def holds(self, backend: BackendRecord) -> bool:
        """Return whether a departure is stored already."""
        known = self._departure_by_id.get(backend.server_id)
        if known is None or known.backend.born_ms < backend.born_ms:
            return False
        # A draining server announces itself with ever higher sequences, which add nothing.
        return known.backend.born_ms > backend.born_ms or known.backend.gone or not backend.gone

    def backends(self) -> list[BackendRecord]:
        """Return the stored records."""
        return [departure.backend for departure in self._departure_by_id.values()]

    def snapshot(self) -> list[Departure]:
        """Return the state to store."""
        return list(self._departure_by_id.values())

    def restore(self, departures: list[Departure]) -> None:
        """Replace the whole state."""
        self._departure_by_id = {one.backend.server_id: one for one in departures}
        self.version += 1


def _replaces(backend: BackendRecord, known: BackendRecord) -> bool:
    """Return whether a departure says more than the one known under the same id."""
    if backend.born_ms != known.born_ms:
        return backend.born_ms > known.born_ms
    if known.gone:
        return False
    return backend.gone or backend.sequence > known.sequence
