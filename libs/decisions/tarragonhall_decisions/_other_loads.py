"""The loads of other entries, as they last told them.

Load pattern: many entries choose servers at once. By its own few calls alone, an entry would send
calls to a server that the others have filled. Each load replaces the earlier one of its source and
counts for `OTHER_LOAD_VALID_S`, so that a lost message or a stopped entry misleads only briefly.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from tarragonhall_model import LoadDetail, ServerSigns

from tarragonhall_decisions._load_detail import sum_details

# Entries send their load at least once in 0.8 s; one that has sent none for this long has stopped.
OTHER_LOAD_VALID_S = 1.5
# Key of the load of all other entries, where only its sum is known.
ALL_OTHERS = ""
NO_SIGNS = ServerSigns()


@dataclass(slots=True, frozen=True)
class OtherLoad:
    """The load of one source: an entry, or all other entries together."""

    running_by_server: dict[str, int]
    signs: ServerSigns
    received_at: float
    entries: int = 1
    detail: LoadDetail | None = None


class OtherLoads:
    """The valid loads of the other entries; times are monotonic seconds."""

    __slots__ = ("_detail", "_load_by_source", "_running_by_server")

    def __init__(self) -> None:
        self._load_by_source: dict[str, OtherLoad] = {}
        # Running sum of all loads; otherwise each choice would look up every server in the load of
        # every entry.
        self._running_by_server: Counter[str] = Counter()
        self._detail: LoadDetail | None = None

    def store(self, source: str, load: OtherLoad) -> None:
        """Store the load of a source in place of its earlier one."""
        self._forget(source)
        self._load_by_source[source] = load
        self._running_by_server.update(load.running_by_server)
        self._detail = None

    def store_sum(self, load: OtherLoad) -> None:
        """Store the summed load of all other entries; every earlier load is void."""
        for source in list(self._load_by_source):
            self._forget(source)
        self.store(ALL_OTHERS, load)

    def drop_expired(self, now: float) -> bool:
        """Drop loads that are no longer valid; return whether there were any."""
        expired = [
            source
            for source, other in self._load_by_source.items()
            if now - other.received_at > OTHER_LOAD_VALID_S
        ]
        for source in expired:
            self._forget(source)
        return bool(expired)

    def running(self, server_id: str) -> int:
        """Return how many calls the other entries have in flight at a server."""
        return self._running_by_server.get(server_id, 0)

    def entries(self) -> int:
        """Return how many other entries there are."""
        return sum(other.entries for other in self._load_by_source.values())

    def signs(self) -> ServerSigns:
        """Return the sums of the other entries' signs."""
        silent: Counter[str] = Counter()
        answered: Counter[str] = Counter()
        for other in self._load_by_source.values():
            silent.update(other.signs.silent_by_server)
            answered.update(other.signs.answered_by_server)
        return ServerSigns(silent, answered)

    def detail(self) -> LoadDetail:
        """Return the sum of what the other entries told in detail; empty where they told none."""
        if self._detail is None:
            self._detail = sum_details(one.detail for one in self._load_by_source.values())
        return self._detail

    def oldest_s(self, now: float) -> float:
        """Return the age of the oldest load that counts, in seconds; 0 without any."""
        received = [other.received_at for other in self._load_by_source.values()]
        return now - min(received) if received else 0.0

    def _forget(self, source: str) -> None:
        other = self._load_by_source.pop(source, None)
        if other is None:
            return
        self._detail = None
        self._running_by_server.subtract(other.running_by_server)
        for server_id in other.running_by_server:
            if not self._running_by_server[server_id]:
                del self._running_by_server[server_id]
