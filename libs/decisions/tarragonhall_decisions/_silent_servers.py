"""Servers that take calls and answer none, found by all entries together.

Load pattern: a zone loses power, a program hangs behind a good health check, an engine takes
streams and begins none. Nothing breaks off for seconds. Among many entries each sends a server few
calls: each would lose some of its own before it knew, and a stream may not be sent again.

A call counts as silent once it has waited several usual times for its first answer, and for a while
after its caller has left. Entries tell each other how many of their calls are silent at each server
and how many it answered within a second; a server that answers more than that has lost some
answers or has a queue, and calls must not leave it for engines that would read their prompts again.
A zone that is silent more than it answers counts against each server there that answers none.

Inputs: calls sent, answered and left, what other entries have told. Output: the expected wait that
silence adds. Times are monotonic seconds, costs milliseconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from tarragonhall_model import BackendRecord

# Usual times to the first answer after which a call counts as silent, and the least such time.
OVERDUE = 4.0
LEAST_OVERDUE_S = 0.3
# Usual time to the first answer before any was seen.
PRIOR_ANSWER_S = 0.25
SMOOTH = 0.05
# Seconds for which an answer speaks for its server, and a silent call whose caller left against it.
ANSWERED_S = 1.0
LOST_S = 1.5
# Cost of a server with one silent call and no answer.
SILENT_MS = 400.0
# Weight of a zone's silent calls for each of its servers.
ZONE_WEIGHT = 0.5
# Seconds for which worked-out costs are used again.
REFRESH_S = 0.04
# Calls of several servers that must be silent before their zone counts.
LEAST_ZONE_SERVERS = 2


@dataclass(slots=True)
class _Server:
    """This entry's calls at one server that have had no answer, and what was seen lately."""

    sent_at_by_call: dict[str, float] = field(default_factory=dict)
    answered_at: deque[float] = field(default_factory=deque)
    lost_at: deque[float] = field(default_factory=deque)
    service: str = ""

    def is_quiet(self) -> bool:
        """Return whether nothing is worth remembering."""
        return not (self.sent_at_by_call or self.answered_at or self.lost_at)


class SilentServers:
    """What one entry knows of servers that do not answer."""

    __slots__ = (
        "_answered_elsewhere",
        "_cost_by_server",
        "_costs_at",
        "_server_by_id",
        "_silent_elsewhere",
        "_usual_s_by_service",
        "_zone_by_server",
    )

    def __init__(self) -> None:
        self._server_by_id: dict[str, _Server] = {}
        self._usual_s_by_service: dict[str, float] = {}
        self._zone_by_server: dict[str, str] = {}
        self._silent_elsewhere: Mapping[str, int] = {}
        self._answered_elsewhere: Mapping[str, int] = {}
        self._cost_by_server: dict[str, float] = {}
        self._costs_at = float("-inf")

    def set_servers(self, records: list[BackendRecord]) -> None:
        """Take over which servers there are, and where."""
        self._zone_by_server = {one.server_id: one.availability_zone for one in records}
        for server_id in [one for one in self._server_by_id if one not in self._zone_by_server]:
            if not self._server_by_id[server_id].sent_at_by_call:
                del self._server_by_id[server_id]

    def sent(self, record: BackendRecord, call_id: str, now: float) -> None:
        """Note that a call was sent to a server."""
        server = self._server_by_id.setdefault(record.server_id, _Server(service=record.service))
        server.sent_at_by_call[call_id] = now

    def answered(self, server_id: str, call_id: str, now: float) -> None:
        """Note the first answer to a call; later ones say nothing new."""
        server = self._server_by_id.get(server_id)
        sent_at = server.sent_at_by_call.pop(call_id, None) if server is not None else None
        if sent_at is None:
            return
        server.answered_at.append(now)
        usual_s = self._usual_s(server.service)
        self._usual_s_by_service[server.service] = usual_s + SMOOTH * (now - sent_at - usual_s)

    def left(self, server_id: str, call_id: str, now: float) -> None:
        """Note that a call has left a server, answered or not."""
        server = self._server_by_id.get(server_id)
        sent_at = server.sent_at_by_call.pop(call_id, None) if server is not None else None
        if sent_at is not None and now - sent_at > self._overdue_s(server.service):
            server.lost_at.append(now)

    def own_signs(self, now: float) -> tuple[dict[str, int], dict[str, int]]:
        """Return this entry's silent calls and answers by server, for the others."""
        silent, answered = {}, {}
        for server_id, server in list(self._server_by_id.items()):
            found = self._silent_calls(server, now)
            if found:
                silent[server_id] = found
            if server.answered_at:
                answered[server_id] = len(server.answered_at)
            if server.is_quiet():
                del self._server_by_id[server_id]
        return silent, answered

    def on_elsewhere(self, silent: Mapping[str, int], answered: Mapping[str, int]) -> None:
        """Take over the sums of what all other entries have seen."""
        self._silent_elsewhere = silent
        self._answered_elsewhere = answered
        self._costs_at = float("-inf")

    def costs(self, now: float) -> dict[str, float]:
        """Return what silence adds to the cost of each server; those that answer are left out."""
        if not 0 <= now - self._costs_at < REFRESH_S:
            self._costs_at = now
            self._cost_by_server = self._work_out(now)
        return self._cost_by_server

    def _work_out(self, now: float) -> dict[str, float]:
        own_silent, own_answered = self.own_signs(now)
        silent = Counter(own_silent)
        silent.update(self._silent_elsewhere)
        if not silent:
            return {}
        answered = Counter(own_answered)
        answered.update(self._answered_elsewhere)
        weight_by_zone = self._zone_weights(silent, answered)
        suspects = silent.keys() | {
            server_id for server_id, zone in self._zone_by_server.items() if zone in weight_by_zone
        }
        costs = {}
        for server_id in suspects:
            # In an overload some calls wait long at servers that answer many others.
            seen = float(max(0, silent[server_id] - answered[server_id]))
            if not answered[server_id]:
                seen += weight_by_zone.get(self._zone_by_server.get(server_id, ""), 0.0)
            if seen:
                costs[server_id] = SILENT_MS * seen / (1 + answered[server_id])
        return costs

    def _zone_weights(self, silent: Counter[str], answered: Counter[str]) -> dict[str, float]:
        """Return how much the silence of whole zones counts against each of their servers."""
        silent_by_zone: Counter[str] = Counter()
        servers_by_zone: Counter[str] = Counter()
        answered_by_zone: Counter[str] = Counter()
        for server_id, zone in self._zone_by_server.items():
            answered_by_zone[zone] += answered[server_id]
            if silent[server_id]:
                silent_by_zone[zone] += silent[server_id]
                servers_by_zone[zone] += 1
        return {
            zone: ZONE_WEIGHT * (count - answered_by_zone[zone])
            for zone, count in silent_by_zone.items()
            if servers_by_zone[zone] >= LEAST_ZONE_SERVERS and count > answered_by_zone[zone]
        }

    def _silent_calls(self, server: _Server, now: float) -> int:
        while server.answered_at and now - server.answered_at[0] > ANSWERED_S:
            server.answered_at.popleft()
        while server.lost_at and now - server.lost_at[0] > LOST_S:
            server.lost_at.popleft()
        overdue_s = self._overdue_s(server.service)
        waiting = sum(1 for at in server.sent_at_by_call.values() if now - at > overdue_s)
        return waiting + len(server.lost_at)

    def _usual_s(self, service: str) -> float:
        return self._usual_s_by_service.get(service, PRIOR_ANSWER_S)

    def _overdue_s(self, service: str) -> float:
        return max(LEAST_OVERDUE_S, OVERDUE * self._usual_s(service))
