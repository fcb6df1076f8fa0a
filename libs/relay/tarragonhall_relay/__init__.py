"""The relay role: forwards calls to backend servers unchanged and stores turns of programs."""

from __future__ import annotations

from eventlet.greenio import GreenSocket
from tarragonhall_wire import ControlClient, ProcessContext

from tarragonhall_relay._dialect import (
    CallFacts,
    Dialect,
    DispatchFacts,
    Headers,
    ResponseFacts,
)
from tarragonhall_relay._role import RelayRole, RelaySettings

__all__ = [
    "CallFacts",
    "Dialect",
    "DispatchFacts",
    "Headers",
    "RelayRole",
    "RelaySettings",
    "ResponseFacts",
    "start_relay",
]


def start_relay(
    settings: RelaySettings,
    context: ProcessContext,
    control: ControlClient,
    dialect: Dialect,
    listener: GreenSocket | None = None,
) -> RelayRole:
    """Start a relay and return it; `listener` is a socket that listens already, if there is one."""
    role = RelayRole(settings, context, control, dialect, listener)
    role.start()
    return role
