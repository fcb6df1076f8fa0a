"""What the processes of a deployment sent, added up from their log lines by kind of message."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from tarragonhall_cli._explain import LogLine

TRAFFIC_EVENT = "process.traffic"


@dataclass(slots=True, frozen=True)
class Row:
    """One kind of message from one role, to processes of the same or another zone."""

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
    """Add up the last totals of each life of each process."""
    last_by_life: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.event != TRAFFIC_EVENT or not isinstance(line.fields.get("totals"), dict):
            continue
        last_by_life[(line.instance, str(line.fields.get("incarnation")))] = line
    made = TrafficSums()
    for line in last_by_life.values():
        role = line.instance.rpartition("/")[2]
        for name, (messages, size) in line.fields["totals"].items():
            kind, _, scope = name.rpartition(" ")
            row = Row(role, kind, scope)
            made.messages_by_row[row] += messages
            made.bytes_by_row[row] += size
    return made


def show(made: TrafficSums) -> str:
    """Return the rows as a table, most bytes first."""
    rows = [f"{'bytes':>12} {'messages':>9}  {'scope':8} {'role':8} kind"]
    for row, size in made.bytes_by_row.most_common():
        count = made.messages_by_row[row]
        rows.append(f"{size:12} {count:9}  {row.scope:8} {row.role:8} {row.kind}")
    sums: Counter = Counter()
    for row, size in made.bytes_by_row.items():
        sums[row.scope] += size
    rows.extend(f"{size:12} {'':9}  {scope:8} in all" for scope, size in sorted(sums.items()))
    return "\n".join(rows)
