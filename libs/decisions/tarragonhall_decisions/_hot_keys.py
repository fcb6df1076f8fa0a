"""Finds prompt parts and objects that so many calls share that one server cannot serve them all.

Load pattern: within a second, most calls are about one subject. Entries agree by hash on the server
that holds it and learn only half a second later that all of them have sent their calls there, so
that a queue builds while other servers idle. Then each entry turns to other servers by itself.

An entry therefore estimates from its own running calls how many calls of all entries share a key,
and with it how many servers are needed. These are the first ones of an order by hash on which all
entries agree. Among them a call compares two at random: if all entries chose the one with the
lowest load, they would all choose the same until the next news. As the key cools, fewer servers are
needed, and the last ones of the order are given up.
"""

from __future__ import annotations

import math
from collections import Counter

# Share of a server's slots that calls of one key fill before another server is needed. With two
# compared at random, the fuller ones of them stay just below their slots.
MAX_FILL = 0.5


class HotKeys:
    """The keys of one entry's running calls."""

    __slots__ = ("_key_by_call", "_running_by_key")

    def __init__(self) -> None:
        self._key_by_call: dict[str, tuple[str, str]] = {}
        self._running_by_key: Counter[tuple[str, str]] = Counter()

    def started(self, call_id: str, service: str, key: str) -> None:
        """Record that a call with a key was sent to a server of a service."""
        self.ended(call_id)
        self._key_by_call[call_id] = (service, key)
        self._running_by_key[service, key] += 1

    def ended(self, call_id: str) -> None:
        """Record that a call has left its server; a repetition does nothing."""
        key = self._key_by_call.pop(call_id, None)
        if key is None:
            return
        self._running_by_key[key] -= 1
        if not self._running_by_key[key]:
            del self._running_by_key[key]

    def servers_needed(self, service: str, key: str, entries: float, slots: float) -> int:
        """Return how many servers with `slots` each the calls of a key need, at least 1.

        All `entries` are taken to run as many calls as this one, less one that may be there by
        chance.
        """
        beyond_chance = self._running_by_key.get((service, key), 0) - 1
        return max(1, math.ceil(beyond_chance * entries / (MAX_FILL * max(1, slots))))
