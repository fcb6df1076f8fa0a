"""The entry role: the HTTP API for callers, admission, queueing, routing and retries."""

from __future__ import annotations

from tarragonhall_entry._role import start_entry
from tarragonhall_entry._settings import OPTIONS, EntrySettings

__all__ = ["OPTIONS", "EntrySettings", "start_entry"]
