"""Counts the bytes of a process by message kind and by whether they leave the availability zone."""

from __future__ import annotations

from dataclasses import dataclass

import eventlet
import structlog

from tarragonhall_wire._exposition import Exposition, Labels
from tarragonhall_wire._guard import attempt

log = structlog.get_logger(__name__)

# Interval of the log lines with the totals; a killed process loses what it counted since the last.
REPORT_SECONDS = 10.0
# Fields that hold an embedded message, whose name identifies the purpose of the bytes better.
EMBEDDING_FIELDS = ("body", "message", "result")
HEARTBEAT_KIND = "ping"
INSIDE, BETWEEN, UNKNOWN = "inside", "between", "unknown"


@dataclass(slots=True)
class Total:
    """Number of messages and their bytes, without transport overhead."""

    messages: int = 0
    size: int = 0


class Traffic:
    """Traffic that one process has sent over its links and exchanged with backend servers."""

    __slots__ = ("_total_by_key", "_zone")

    def __init__(self, availability_zone: str = "", exposition: Exposition | None = None) -> None:
        self._zone = availability_zone
        self._total_by_key: dict[tuple[str, str], Total] = {}
        if exposition is not None:
            exposition.add_source(self._counters)

    def count(self, kind: str, size: int, peer_zone: str) -> None:
        """Count one message of `size` bytes; an empty `peer_zone` means an unknown zone."""
        scope = self._scope(peer_zone)
        total = self._total_by_key.get((kind, scope))
        if total is None:
            total = self._total_by_key[(kind, scope)] = Total()
        total.messages += 1
        total.size += size

    def totals(self) -> dict[str, list[int]]:
        """Return the numbers of messages and bytes by `KIND SCOPE`."""
        return {
            f"{kind} {scope}": [total.messages, total.size]
            for (kind, scope), total in sorted(self._total_by_key.items())
        }

    def _counters(self) -> dict[tuple[str, Labels], int]:
        """Return the totals as counters, for the metrics: they are read seldom, unlike counted."""
        counters: dict[tuple[str, Labels], int] = {}
        for (kind, scope), total in self._total_by_key.items():
            labels: Labels = (("kind", kind), ("scope", scope))
            counters["traffic.messages", labels] = total.messages
            counters["traffic.bytes", labels] = total.size
        return counters

    def _scope(self, peer_zone: str) -> str:
        if not peer_zone or not self._zone:
            return UNKNOWN
        return INSIDE if peer_zone == self._zone else BETWEEN


def message_kind(plain: object) -> str:
    """Return the name of a message in its plain form, with that of its embedded message."""
    if not _is_record(plain):
        return HEARTBEAT_KIND if plain is None else "value"
    for field in EMBEDDING_FIELDS:
        embedded = plain[1].get(field)
        if _is_record(embedded):
            return f"{plain[0]}.{embedded[0]}"
    return plain[0]


def report_traffic(traffic: Traffic, incarnation: str) -> None:
    """Log the totals since the start; later lines supersede earlier ones."""
    totals = traffic.totals()
    if totals:
        log.info("process.traffic", incarnation=incarnation, totals=totals)


def report_traffic_loop(traffic: Traffic, incarnation: str) -> None:
    """Log the totals every `REPORT_SECONDS` for ever; call in a green thread."""
    while True:
        eventlet.sleep(REPORT_SECONDS)
        attempt(report_traffic, traffic, incarnation)


def _is_record(plain: object) -> bool:
    return isinstance(plain, list) and len(plain) == 2 and isinstance(plain[1], dict)
