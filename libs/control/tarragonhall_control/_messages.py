"""Messages between control members."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import record


@record
class AdminCall:
    """An operator's request, forwarded to the leader. Reply: `AdminResult`."""

    method: str
    path: str
    query: str
    token: str
    body: bytes


@record
class AdminResult:
    """The leader's response: an HTTP status and its JSON text."""

    status: int
    json: str
    headers: dict[str, str] = field(default_factory=dict)
