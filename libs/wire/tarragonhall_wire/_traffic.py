"""Counts the bytes of a process, by kind of message and whether it leaves the availability zone."""

from __future__ import annotations

from dataclasses import dataclass

import eventlet
import structlog

from tarragonhall_wire._exposition import Exposition, Labels

log = structlog.get_logger(__name__)

# Seconds between two log lines with the totals; a process that is killed loses what came after.
REPORT_SECONDS = 10.0
# Fields of a message that carry another one, which tells more of what the bytes were for.
CARRIERS = ("body", "message", "result")
HEARTBEAT_KIND = "ping"
INSIDE, BETWEEN, UNKNOWN = "inside", "between", "unknown"


@dataclass(slots=True)
class Total:
    """Messages and their bytes, without what the transport adds."""

    messages: int = 0
    size: int = 0


class Traffic:
    """What one process has sent over its links, and exchanged with backend servers."""

    __slots__ = ("_exposition", "_total_by_key", "_zone")

    def __init__(self, availability_zone: str = "", exposition: Exposition | None = None) -> None:
        self._zone = availability_zone
        self._exposition = exposition
        self._total_by_key: dict[tuple[str, str], Total] = {}

    def count(self, kind: str, size: int, peer_zone: str) -> None:
        """Count one message of `size` bytes; an empty zone is one that is not known."""
        scope = self._scope(peer_zone)
        total = self._total_by_key.get((kind, scope))
        if total is None:
            total = self._total_by_key[(kind, scope)] = Total()
        total.messages += 1
        total.size += size
        if self._exposition is not None:
            labels: Labels = (("kind", kind), ("scope", scope))
            self._exposition.count("traffic.messages", 1, labels)
            self._exposition.count("traffic.bytes", size, labels)

    def totals(self) -> dict[str, list[int]]:
        """Return messages and bytes by `KIND SCOPE`."""
        return {
            f"{kind} {scope}": [total.messages, total.size]
            for (kind, scope), total in sorted(self._total_by_key.items())
        }

    def _scope(self, peer_zone: str) -> str:
        if not peer_zone or not self._zone:
            return UNKNOWN
        return INSIDE if peer_zone == self._zone else BETWEEN


def kind_of(plain: object) -> str:
    """Return the name of a message in its plain form, with the message that it carries."""
    if not _is_record(plain):
        return HEARTBEAT_KIND if plain is None else "value"
    for carrier in CARRIERS:
        inner = plain[1].get(carrier)
        if _is_record(inner):
            return f"{plain[0]}.{inner[0]}"
    return plain[0]


def report_traffic(traffic: Traffic, incarnation: str) -> None:
    """Write the totals since the start as a log line; later lines replace earlier ones."""
    totals = traffic.totals()
    if totals:
        log.info("process.traffic", incarnation=incarnation, totals=totals)


def report_regularly(traffic: Traffic, incarnation: str) -> None:
    """Write the totals now and then, from a green thread, for as long as the process runs."""
    while True:
        eventlet.sleep(REPORT_SECONDS)
        report_traffic(traffic, incarnation)


def _is_record(plain: object) -> bool:
    return isinstance(plain, list) and len(plain) == 2 and isinstance(plain[1], dict)
