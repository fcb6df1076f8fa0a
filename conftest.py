"""Patches the standard library before any test module is collected, as the daemon does.

A module that is imported before the patch keeps the blocking selectors: a server of it in a thread
then blocks every other green thread, and the tests hang.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()
