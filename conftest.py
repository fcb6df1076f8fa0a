"""Patches the standard library before any test module is imported, as the daemon does."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()
