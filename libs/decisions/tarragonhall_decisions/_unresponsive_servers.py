"""Detects unresponsive servers, which take calls and do not answer, over all entries together.

Load pattern: a zone loses power, a program hangs although its health check passes, an engine
accepts streams and starts none. No connection breaks for seconds. Among many entries each sends a
server few calls: each would lose some of its own before it knew, and a stream may not be sent
again.

A call is overdue once it has waited several mean answer times for its first answer. It still counts
for a while after its caller has left. Entries send each other the number of their overdue calls at
each server and of the calls it answered within a second. A server that answers more calls than are
overdue has only lost some answers or has a queue. It is given no cost, or calls would move to
engines that must read their prompts again. Where a whole zone has more overdue
calls than answers, this counts against each server there that answers none.

Inputs: calls sent, answered and left, and the counts of other entries. Output: the expected wait
for each unresponsive server. Times are monotonic seconds, costs milliseconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from tarragonhall_model import BackendRecord

# Multiple of the mean time to the first answer after which a call is overdue, and the least such
# time.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_S = 0.3
# Assumed mean time to the first answer before any was seen.
INITIAL_ANSWER_S = 0.25
ANSWER_SMOOTHING = 0.05
# Seconds for which an answer counts in favour of its server.
ANSWER_VALID_S = 1.0
# Seconds for which an overdue call counts against its server after its caller has left.
LOST_CALL_VALID_S = 1.5
# Cost of a server with one overdue call and no answer.
UNRESPONSIVE_MS = 400.0
# Weight of a zone's overdue calls for each of its servers.
ZONE_WEIGHT = 0.5
# Seconds for which computed costs are reused, unless counts of other entries arrive.
COST_REFRESH_S = 0.04
# Servers that must have overdue calls before their zone counts.
MIN_ZONE_SERVERS = 2


@dataclass(slots=True)
class _Server:
    """This entry's unanswered calls at one server, and its recent answers and lost calls."""

    sent_at_by_call: dict[str, float] = field(default_factory=dict)
    answered_at: deque[float] = field(default_factory=deque)
    lost_at: deque[float] = field(default_factory=deque)
    service: str = ""

    def is_empty(self) -> bool:
        """Return whether nothing is recorded."""
        return not (self.sent_at_by_call or self.answered_at or self.lost_at)


class UnresponsiveServers:
    """What one entry knows of unresponsive servers."""

    __slots__ = (
        "_cost_by_server",
        "_costs_at",
        "_mean_answer_s_by_service",
        "_others_answered",
        "_others_overdue",
        "_server_by_id",
        "_zone_by_server",
    )

    def __init__(self) -> None:
        self._server_by_id: dict[str, _Server] = {}
        self._mean_answer_s_by_service: dict[str, float] = {}
        self._zone_by_server: dict[str, str] = {}
        self._others_overdue: Mapping[str, int] = {}
        self._others_answered: Mapping[str, int] = {}
        self._cost_by_server: dict[str, float] = {}
        self._costs_at = float("-inf")

    def set_servers(self, records: list[BackendRecord]) -> None:
        """Replace the known servers and their zones."""
        self._zone_by_server = {one.server_id: one.availability_zone for one in records}
        for server_id in [one for one in self._server_by_id if one not in self._zone_by_server]:
            if not self._server_by_id[server_id].sent_at_by_call:
                del self._server_by_id[server_id]

    def sent(self, record: BackendRecord, call_id: str, now: float) -> None:
        """Record that a call was sent to a server."""
        server = self._server_by_id.setdefault(record.server_id, _Server(service=record.service))
        server.sent_at_by_call[call_id] = now

    def answered(self, server_id: str, call_id: str, now: float) -> None:
        """Record the first answer to a call; further ones are ignored."""
        server = self._server_by_id.get(server_id)
        sent_at = server.sent_at_by_call.pop(call_id, None) if server is not None else None
        if sent_at is None:
            return
        server.answered_at.append(now)
        mean_s = self.mean_answer_s(server.service)
        self._mean_answer_s_by_service[server.service] = mean_s + ANSWER_SMOOTHING * (
            now - sent_at - mean_s
        )

    def on_left(self, server_id: str, call_id: str, now: float) -> None:
        """Record that a call has left a server, answered or not."""
        server = self._server_by_id.get(server_id)
        sent_at = server.sent_at_by_call.pop(call_id, None) if server is not None else None
        if sent_at is not None and now - sent_at > self._overdue_s(server.service):
            server.lost_at.append(now)

    def own_signs(self, now: float) -> tuple[dict[str, int], dict[str, int]]:
        """Return this entry's overdue calls and answers by server, for the other entries."""
        overdue, answered = {}, {}
        for server_id, server in list(self._server_by_id.items()):
            found = self._count_overdue(server, now)
            if found:
                overdue[server_id] = found
            if server.answered_at:
                answered[server_id] = len(server.answered_at)
            if server.is_empty():
                del self._server_by_id[server_id]
        return overdue, answered

    def set_other_counts(self, overdue: Mapping[str, int], answered: Mapping[str, int]) -> None:
        """Replace the sums of what all other entries have counted."""
        self._others_overdue = overdue
        self._others_answered = answered
        self._costs_at = float("-inf")

    def costs(self, now: float) -> dict[str, float]:
        """Return the cost to add for each unresponsive server."""
        if not 0 <= now - self._costs_at < COST_REFRESH_S:
            self._costs_at = now
            self._cost_by_server = self._compute_costs(now)
        return self._cost_by_server

    def _compute_costs(self, now: float) -> dict[str, float]:
        own_overdue, own_answered = self.own_signs(now)
        overdue = Counter(own_overdue)
        overdue.update(self._others_overdue)
        if not overdue:
            return {}
        answered = Counter(own_answered)
        answered.update(self._others_answered)
        weight_by_zone = self._zone_weights(overdue, answered)
        suspects = overdue.keys() | {
            server_id for server_id, zone in self._zone_by_server.items() if zone in weight_by_zone
        }
        costs = {}
        for server_id in suspects:
            # In an overload some calls wait long at servers that answer many others.
            weight = float(max(0, overdue[server_id] - answered[server_id]))
            if not answered[server_id]:
                weight += weight_by_zone.get(self._zone_by_server.get(server_id, ""), 0.0)
            if weight:
                costs[server_id] = UNRESPONSIVE_MS * weight / (1 + answered[server_id])
        return costs

    def _zone_weights(self, overdue: Counter[str], answered: Counter[str]) -> dict[str, float]:
        """Return how much the overdue calls of whole zones count against each of their servers."""
        overdue_by_zone: Counter[str] = Counter()
        servers_by_zone: Counter[str] = Counter()
        answered_by_zone: Counter[str] = Counter()
        for server_id, zone in self._zone_by_server.items():
            answered_by_zone[zone] += answered[server_id]
            if overdue[server_id]:
                overdue_by_zone[zone] += overdue[server_id]
                servers_by_zone[zone] += 1
        return {
            zone: ZONE_WEIGHT * (count - answered_by_zone[zone])
            for zone, count in overdue_by_zone.items()
            if servers_by_zone[zone] >= MIN_ZONE_SERVERS and count > answered_by_zone[zone]
        }

    def _count_overdue(self, server: _Server, now: float) -> int:
        while server.answered_at and now - server.answered_at[0] > ANSWER_VALID_S:
            server.answered_at.popleft()
        while server.lost_at and now - server.lost_at[0] > LOST_CALL_VALID_S:
            server.lost_at.popleft()
        overdue_s = self._overdue_s(server.service)
        waiting = sum(1 for at in server.sent_at_by_call.values() if now - at > overdue_s)
        return waiting + len(server.lost_at)

    def mean_answer_s(self, service: str) -> float:
        """Return the usual time until a service's servers begin to answer, in seconds."""
        return self._mean_answer_s_by_service.get(service, INITIAL_ANSWER_S)

    def _overdue_s(self, service: str) -> float:
        return max(MIN_OVERDUE_S, OVERDUE_FACTOR * self.mean_answer_s(service))
