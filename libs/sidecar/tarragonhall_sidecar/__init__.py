"""The sidecar role: the only process that talks to its backend server."""

from __future__ import annotations

from tarragonhall_sidecar._role import start_sidecars
from tarragonhall_sidecar._settings import OPTIONS, SidecarSettings

__all__ = ["OPTIONS", "SidecarSettings", "start_sidecars"]
