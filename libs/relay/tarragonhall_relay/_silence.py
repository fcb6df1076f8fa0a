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
from tarragonhall_wire import Metrics

from tarragonhall_relay._backend import BackendPool, Reachability
from tarragonhall_relay._errors import BackendError, SilentServerError

# Seconds for which a check counts for the other streams of the server, which are silent as well.
CHECK_VALID_S = 0.3
# Checks in a row without an answer after which a server is gone. One can be lost in a link that is
# full for a moment, and the next one follows after this many seconds.
MAX_UNANSWERED = 2
CHECK_AGAIN_S = 0.05
# A server that has not closed the connection of a health check by then is at work on it.
RESPONSE_TIMEOUT_S = 0.1

Result = TypeVar("Result")


class ServerChecks:
    """Checks whether servers that are silent or broke off can be reached."""

    __slots__ = ("_metrics", "_monotonic", "_pool", "_reached_at_by_id")

    def __init__(self, pool: BackendPool, metrics: Metrics, monotonic: Callable[[], float]) -> None:
        self._pool = pool
        self._metrics = metrics
        self._monotonic = monotonic
        self._reached_at_by_id: dict[str, float] = {}

    def check(self, record: BackendRecord) -> Reachability:
        """Return how a server reacts to a connection; wait for up to the connect timeout."""
        now = self._monotonic()
        if now - self._reached_at_by_id.get(record.server_id, float("-inf")) < CHECK_VALID_S:
            return Reachability.ACCEPTED
        result = self._pool.check(record)
        self._metrics.count("relay.server_checks", labels=(("result", result.value),))
        if result is Reachability.ACCEPTED:
            self._reached_at_by_id = {
                server_id: at
                for server_id, at in self._reached_at_by_id.items()
                if now - at < CHECK_VALID_S
            }
            self._reached_at_by_id[record.server_id] = now
        return result

    def is_healthy(self, record: BackendRecord, path: str) -> bool:
        """Return whether a server passes its health check; True if it is only slow."""
        connection = None
        try:
            connection = self._pool.open(record)
            connection.send("GET", path.encode(), [(b"host", record.address.encode())], ())
            with eventlet.Timeout(RESPONSE_TIMEOUT_S, False):
                return 200 <= connection.read_head().status_code < 300
        except BackendError:
            return False
        finally:
            if connection is not None:
                connection.close()
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

    def read(self, read: Callable[[], Result], silent_s: float = 0.0) -> Result:
        """Return the result of `read`, which blocks until bytes arrive.

        `silent_s` is for how long nothing that counts has arrived: comments between events do not.
        Raises `SilentServerError` if the server is gone or has been silent for too long. A server
        that accepts connections is checked again each time that the silence has doubled.
        """
        move_after_s = self._limits.move_after_s
        if move_after_s is not None and silent_s >= move_after_s:
            raise SilentServerError(silent_s, server_gone=False)
        unanswered = 0
        pause_s = self._limits.check_after_s
        while True:
            with eventlet.Timeout(pause_s, False):
                return read()
            silent_s += pause_s
            if move_after_s is not None and silent_s >= move_after_s:
                raise SilentServerError(silent_s, server_gone=False)
            if not self._is_suspect():
                continue
            match self._checks.check(self._record):
                case Reachability.ACCEPTED:
                    unanswered = 0
                    pause_s = silent_s
                case Reachability.NO_ANSWER:
                    unanswered += 1
                    pause_s = CHECK_AGAIN_S
                case Reachability.REFUSED:
                    unanswered = MAX_UNANSWERED
            if unanswered >= MAX_UNANSWERED:
                raise SilentServerError(silent_s, server_gone=True)
