from __future__ import annotations

import eventlet

eventlet.monkey_patch()
