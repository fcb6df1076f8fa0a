"""The store role: stores turns and token budgets in a separate replicated log."""

from __future__ import annotations

from tarragonhall_consensus import Limits
from tarragonhall_wire import ControlClient, ProcessContext

from tarragonhall_store._role import STORE_LIMITS, StoreRole
from tarragonhall_store._settings import StoreSettings

__all__ = ["STORE_LIMITS", "StoreRole", "StoreSettings", "start_store"]


def start_store(
    settings: StoreSettings,
    context: ProcessContext,
    client: ControlClient,
    limits: Limits | None = None,
) -> StoreRole:
    """Announce this member to control, then bootstrap or join the store group."""
    return StoreRole(settings, context, client, limits)
