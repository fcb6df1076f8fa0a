"""Keeps loops and callbacks going at unexpected exceptions, which are logged and counted.

A green thread that ends takes with it whatever it was there for, such as the dialling of a peer,
and nothing starts it again. So the loops of a process run by `repeat`, and callbacks that must not
stop others by `attempt`. Both belong at the root of a green thread: a timeout around them would be
taken for a failure.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
import structlog
from eventlet import hubs

from tarragonhall_wire._event_loop import EventLoop

log = structlog.get_logger(__name__)

# A fault that passes costs one round; one that lasts must not fill the log.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0
# A timeout that was not handled where it was set is no `Exception`.
UNEXPECTED = (Exception, eventlet.Timeout)


def repeat(action: Callable[[], object], goes_on: Callable[[], bool]) -> None:
    """Call an action while `goes_on`; after a failure, go on after a pause that grows.

    The action waits by itself for its next round.
    """
    pause_s = FIRST_PAUSE_SECONDS
    while True:
        try:
            if not goes_on():
                return
            action()
        except UNEXPECTED:
            report_failure(task_name(action))
            eventlet.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_PAUSE_SECONDS)
            continue
        pause_s = FIRST_PAUSE_SECONDS


def attempt(callback: Callable[..., Any], *arguments: object) -> Any:
    """Call a callback and return its result, None if it fails."""
    try:
        return callback(*arguments)
    except UNEXPECTED:
        report_failure(task_name(callback))
        return None


def report_failure(task: str, kind: str = "") -> None:
    """Log and count the exception that is being handled; `kind` is the message's, if any."""
    log.exception("task.failed", task=task, kind=kind)
    loop = hubs.get_hub()
    # Tools may run on eventlet's own loop, which counts nothing.
    if isinstance(loop, EventLoop):
        loop.on_failed_task()


def task_name(call: Callable) -> str:
    """Return the name of a function or method for the log."""
    call = getattr(call, "func", call)
    return getattr(call, "__qualname__", type(call).__name__)
