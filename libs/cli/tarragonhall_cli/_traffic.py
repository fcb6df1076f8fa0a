"""Sums the traffic that processes report in their log lines, by kind of message."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from tarragonhall_cli._explain import LogLine

TRAFFIC_EVENT = "process.traffic"


@dataclass(slots=True, frozen=True)
class TrafficRow:
    """One kind of message of one role, to processes of the same or another zone."""

    role: str
    kind: str
    scope: str


@dataclass(slots=True)
class TrafficSums:
    """Messages and bytes by row."""

    messages_by_row: Counter = field(default_factory=Counter)
    bytes_by_row: Counter = field(default_factory=Counter)

    def as_value(self) -> list[dict]:
        """Return the rows for `--json`, most bytes first."""
        return [
            {
                "role": row.role,
                "kind": row.kind,
                "scope": row.scope,
                "messages": self.messages_by_row[row],
                "bytes": size,
            }
            for row, size in self.bytes_by_row.most_common()
        ]


def sum_traffic(lines: list[LogLine]) -> TrafficSums:
    """Add up the last totals of each incarnation of each process."""
    last_by_incarnation: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.event != TRAFFIC_EVENT or not isinstance(line.fields.get("totals"), dict):
            continue
        last_by_incarnation[(line.instance, str(line.fields.get("incarnation")))] = line
    traffic = TrafficSums()
    for line in last_by_incarnation.values():
        role = line.instance.rpartition("/")[2]
        for name, (messages, size) in line.fields["totals"].items():
            kind, _, scope = name.rpartition(" ")
            row = TrafficRow(role, kind, scope)
            traffic.messages_by_row[row] += messages
            traffic.bytes_by_row[row] += size
    return traffic


def as_text(traffic: TrafficSums) -> str:
    """Return the rows as a table, most bytes first."""
    rows = [f"{'bytes':>12} {'messages':>9}  {'scope':8} {'role':8} kind"]
    for row, size in traffic.bytes_by_row.most_common():
        count = traffic.messages_by_row[row]
        rows.append(f"{size:12} {count:9}  {row.scope:8} {row.role:8} {row.kind}")
    bytes_by_scope: Counter = Counter()
    for row, size in traffic.bytes_by_row.items():
        bytes_by_scope[row.scope] += size
    rows.extend(
        f"{size:12} {'':9}  {scope:8} total" for scope, size in sorted(bytes_by_scope.items())
    )
    return "\n".join(rows)
