"""The servers on which entries agree, without asking each other, for what calls share."""

from __future__ import annotations

import random

from tarragonhall_decisions._call_requirements import CallRequirements, PromptPart
from tarragonhall_decisions._hot_keys import HotKeys
from tarragonhall_decisions._known_servers import KnownServers
from tarragonhall_decisions._prompt_holders import PromptHolders

# Servers of a hot key that a call compares: with two, the loads stay close although they are known
# late; with all, every entry would choose the same one.
COMPARED = 2
# Servers that may be remembered as holders of a shared part once its key has cooled: enough for a
# choice by load.
KEPT_HOLDERS = 4


class PreferredServers:
    """Chooses servers by rendezvous hash: one, or several for a hot key.

    Several only once `spread_hot_keys` was called.
    """

    __slots__ = ("_holders", "_hot_keys", "_known", "_rng")

    def __init__(self, known: KnownServers, holders: PromptHolders, rng: random.Random) -> None:
        self._known = known
        self._holders = holders
        self._rng = rng
        self._hot_keys: HotKeys | None = None

    def spread_hot_keys(self) -> None:
        """From now on, choose more servers for a key that many calls share."""
        self._hot_keys = self._hot_keys or HotKeys()
        self._holders.forgets_first_parts = True

    def started(self, call_id: str, requirements: CallRequirements) -> None:
        """Record that a call was sent to a server."""
        if self._hot_keys is not None and requirements.shared_key:
            self._hot_keys.started(call_id, requirements.service, requirements.shared_key)

    def ended(self, call_id: str) -> None:
        """Record that a call has left its server; a repetition does nothing."""
        if self._hot_keys is not None:
            self._hot_keys.ended(call_id)

    def of(self, requirements: CallRequirements, entries: int) -> tuple[str, ...]:
        """Return the servers for a call's object or first prompt part.

        One for an object and where no holder of the part is known, else none. Where the key is hot
        with `entries` in all, two of the servers that it needs.
        """
        service, key = requirements.service, requirements.shared_key
        if not key:
            return ()
        if self._hot_keys is not None:
            needed = self._servers_needed(service, key, entries)
            if needed > 1:
                ids = self._known.first_ids(service, key, needed)
                return tuple(self._rng.sample(ids, min(COMPARED, len(ids))))
        if not requirements.object_key:
            local_ids = self._known.local_ids(service)
            if self._holders.has_holder(requirements.parts[0], local_ids):
                return ()
        preferred = self._known.preferred_id(service, key)
        return (preferred,) if preferred is not None else ()

    def parts_to_remember(
        self, server_id: str, requirements: CallRequirements
    ) -> tuple[PromptPart, ...]:
        """Return the parts of a call as whose holder its server is to be remembered.

        A server that is needed only while the first part is hot is given up with it.
        """
        parts = requirements.parts
        if self._hot_keys is None or len(parts) < 2:
            return parts
        kept_ids = self._known.first_ids(requirements.service, parts[0].part_id, KEPT_HOLDERS)
        return parts if server_id in kept_ids else parts[1:]

    def _servers_needed(self, service: str, key: str, entries: int) -> int:
        """Return how many servers a key needs, of those among which this entry chooses."""
        servers = len(self._known.servers(service))
        if not servers:
            return 1
        local_ids = self._known.local_ids(service)
        # Entries of other zones use the servers there.
        sharing = entries if local_ids is None else entries * len(local_ids) / servers
        slots = self._known.slots(service) / servers
        return self._hot_keys.servers_needed(service, key, sharing, slots)
