"""Patches the standard library before any test here opens a socket."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()
