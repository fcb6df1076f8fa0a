"""The control role: runs the replicated log with eventlet and serves the admin HTTP API."""

from __future__ import annotations

from tarragonhall_consensus import Limits
from tarragonhall_wire import ProcessContext

from tarragonhall_control._first_operator import initialise
from tarragonhall_control._member import LOG_FOLDER
from tarragonhall_control._relay_service import NoLeaderError
from tarragonhall_control._role import ControlRole
from tarragonhall_control._settings import OPTIONS, ControlSettings

__all__ = [
    "LOG_FOLDER",
    "OPTIONS",
    "ControlRole",
    "ControlSettings",
    "NoLeaderError",
    "initialise",
    "start_control",
]


def start_control(
    settings: ControlSettings, context: ProcessContext, limits: Limits | None = None
) -> ControlRole:
    """Open the data folder, join the group and serve links and the admin API.

    `limits` are the timing limits of the replicated log; the default is the production limits.
    """
    return ControlRole(settings, context, limits)
