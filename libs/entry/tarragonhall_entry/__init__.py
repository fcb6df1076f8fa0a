"""The entry role: callers' HTTP API, admission, queueing, routing and retry."""

from __future__ import annotations

from tarragonhall_wire import ControlClient, ProcessContext, Role

from tarragonhall_entry._settings import OPTIONS, EntrySettings

__all__ = ["OPTIONS", "EntrySettings", "start_entry"]


def start_entry(settings: EntrySettings, context: ProcessContext, control: ControlClient) -> Role:
    """Serve callers until drained."""
    raise NotImplementedError
