"""Waits for a stream's bytes, and checks its server while none arrive.

No connection breaks for seconds after a machine has lost its power or its link. A server that does
not accept a connection either is gone, so that another one may send the rest of the stream.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import eventlet
from tarragonhall_decisions import SilenceLimits
from tarragonhall_model import BackendRecord

from tarragonhall_relay._backend import BackendPool
from tarragonhall_relay._errors import SilentServerError

# Seconds for which a check counts for the other streams of the server, which are silent as well.
CHECK_VALID_S = 0.3

Result = TypeVar("Result")


class ServerChecks:
    """Checks by new connections whether silent servers can be reached."""

    __slots__ = ("_monotonic", "_pool", "_reached_at_by_id")

    def __init__(self, pool: BackendPool, monotonic: Callable[[], float]) -> None:
        self._pool = pool
        self._monotonic = monotonic
        self._reached_at_by_id: dict[str, float] = {}

    def can_reach(self, record: BackendRecord) -> bool:
        """Return whether a server accepts connections; wait for up to the connect timeout."""
        now = self._monotonic()
        if now - self._reached_at_by_id.get(record.server_id, float("-inf")) < CHECK_VALID_S:
            return True
        if not self._pool.can_connect(record):
            self._pool.close_idle(record.server_id)
            return False
        self._reached_at_by_id = {
            server_id: at for server_id, at in self._reached_at_by_id.items() if now - at < 1.0
        }
        self._reached_at_by_id[record.server_id] = now
        return True


class SilenceWatch:
    """The wait for the bytes of one stream from one server.

    `is_suspect` tells whether there is a reason to check the server beside this stream's silence.
    """

    __slots__ = ("_checks", "_is_suspect", "_limits", "_record")

    def __init__(
        self,
        checks: ServerChecks,
        record: BackendRecord,
        limits: SilenceLimits,
        is_suspect: Callable[[], bool] = lambda: True,
    ) -> None:
        self._checks = checks
        self._record = record
        self._limits = limits
        self._is_suspect = is_suspect

    def read(self, read: Callable[[], Result]) -> Result:
        """Return the result of `read`, which blocks until bytes arrive.

        Raises `SilentServerError` if the server is gone or has been silent for too long. The server
        is checked again each time that the silence has doubled.
        """
        silent_s = 0.0
        pause_s = self._limits.check_after_s
        while True:
            with eventlet.Timeout(pause_s, False):
                return read()
            silent_s += pause_s
            move_after_s = self._limits.move_after_s
            if move_after_s is not None and silent_s >= move_after_s:
                raise SilentServerError(silent_s, server_gone=False)
            if not self._is_suspect():
                continue
            if not self._checks.can_reach(self._record):
                raise SilentServerError(silent_s, server_gone=True)
            pause_s = silent_s
