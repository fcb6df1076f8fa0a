"""The sidecar role: the only process that talks to its backend server."""

from __future__ import annotations

from tarragonhall_wire import ControlClient, ProcessContext, Role

from tarragonhall_sidecar._settings import OPTIONS, SidecarSettings

__all__ = ["OPTIONS", "SidecarSettings", "start_sidecars"]


def start_sidecars(
    settings: list[SidecarSettings], context: ProcessContext, control: ControlClient
) -> Role:
    """Serve the backend servers of this process; a process usually stands beside one."""
    raise NotImplementedError
