"""The relay role: passes calls on to backend servers as they are, and keeps turns of programs."""

from __future__ import annotations

from eventlet.greenio import GreenSocket
from tarragonhall_wire import ControlClient, ProcessContext

from tarragonhall_relay._dialect import (
    AnswerFacts,
    CallFacts,
    Dialect,
    DispatchFacts,
    Headers,
)
from tarragonhall_relay._role import RelayRole, RelaySettings

__all__ = [
    "AnswerFacts",
    "CallFacts",
    "Dialect",
    "DispatchFacts",
    "Headers",
    "RelayRole",
    "RelaySettings",
    "start_relay",
]


def start_relay(
    settings: RelaySettings,
    context: ProcessContext,
    control: ControlClient,
    dialect: Dialect,
    listener: GreenSocket | None = None,
) -> RelayRole:
    """Serve clients until drained, on a socket that listens already where there is one."""
    role = RelayRole(settings, context, control, dialect, listener)
    role.start()
    return role
