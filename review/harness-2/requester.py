"""Requesters, and the manifest of the deployment."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import os
import threading
import time
from dataclasses import dataclass

from deployment import FRONTEND_PORT

HOST = "lsslca.example"
TURN_MS, TOOL_MS = 6000, 6000
ORDINARY_KEY, LARGE_KEY = "key-ordinary", "key-large"
_numbers = itertools.count(1)


def new_attempt() -> str:
    """Return an attempt id that no other request has."""
    return f"{os.getpid():08x}{next(_numbers):08x}"


@dataclass(slots=True)
class Answer:
    """What a requester got; status 0 stands for a closed channel or no answer."""

    attempt: str
    status: int
    body: bytes
    is_whole: bool

    @property
    def is_success(self) -> bool:
        """Return whether the whole response of a replica has arrived."""
        return 200 <= self.status < 300 and self.is_whole


class Channel:
    """One channel to the entry of a machine; it is kept from request to request."""

    def __init__(self, ip: str, key: str) -> None:
        self._key = key
        self._connection = http.client.HTTPConnection(ip, FRONTEND_PORT, timeout=TURN_MS / 1000 + 1)
        # Requests that were answered on this channel.
        self.answered = 0

    def send(
        self, path: str, body: bytes, headers: dict[str, str] | None = None, attempt: str = ""
    ) -> Answer:
        """Send one request and read its response."""
        if self._connection.sock is None:
            self.answered = 0
        attempt = attempt or new_attempt()
        sent = {
            "Host": HOST,
            "X-Tarragonhall-Attempt-Id": attempt,
            "X-Tarragonhall-Deadline-Ms": str(TURN_MS),
            "Authorization": f"Bearer {self._key}",
        } | (headers or {})
        status, data = 0, b""
        try:
            self._connection.request("POST", path, body, sent)
            response = self._connection.getresponse()
            status = response.status
            data = response.read()
        except (OSError, http.client.HTTPException):
            self.close()
            return Answer(attempt, status, data, False)
        self.answered += 1
        return Answer(attempt, status, data, True)

    def close(self) -> None:
        """Close the channel."""
        with contextlib.suppress(OSError):
            self._connection.close()


def send_once(
    ip: str,
    key: str,
    path: str,
    body: bytes,
    headers: dict[str, str] | None = None,
    attempt: str = "",
) -> Answer:
    """Send one request on a new channel."""
    channel = Channel(ip, key)
    try:
        return channel.send(path, body, headers, attempt)
    finally:
        channel.close()


class ToolCaller:
    """Calls a tool on one channel again and again, and notes the calls that got no answer."""

    def __init__(self, ip: str, key: str) -> None:
        self._channel = Channel(ip, key)
        # Attempts on a kept channel that was closed without an answer.
        self.unanswered: list[str] = []
        self.answered = 0

    def call(self) -> None:
        """Send one call; after a closed channel the next one opens another."""
        answer = self._channel.send("/desk/1", b"t" * 600)
        if answer.status:
            self.answered += 1
            return
        if self._channel.answered:
            self.unanswered.append(answer.attempt)
        time.sleep(0.2)


class Callers:
    """Threads that call a function again and again until they are stopped."""

    def __init__(self) -> None:
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, action, *arguments: object) -> None:
        """Start a thread that calls an action until `stop`."""

        def repeat() -> None:
            while not self._stopped.is_set():
                action(*arguments)

        thread = threading.Thread(target=repeat, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Wait until each has ended its current call."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()


def manifest(large_rate_per_s: int = 0) -> dict:
    """Return a manifest with a route for turns, one for tools, and two tenants.

    The tenant `large` has no limit unless one is given.
    """
    engine = {
        "capacity": 96,
        "kvCapacity": 213596,
        "kvBytes": 131072,
        "linkMbps": 550000.0,
        "chunkTokens": 3,
        "models": [{"name": "m"}],
    }
    turn = {
        "name": "r-talk",
        "host": HOST,
        "pathPrefix": "/talk/",
        "type": "streaming",
        "timeoutMs": TURN_MS,
        "targetLatencyMs": 200,
        "priority": 0,
        "service": "models",
        "maxAttempts": 2,
        "retained": True,
        "retentionS": 60.0,
        "sessionAffinity": True,
        "gapTargetMs": 300,
    }
    tool = {
        "name": "r-desk",
        "host": HOST,
        "pathPrefix": "/desk/",
        "type": "non_idempotent",
        "timeoutMs": TOOL_MS,
        "targetLatencyMs": 800,
        "priority": 2,
        "service": "desk",
        "maxAttempts": 1,
    }
    large = {"name": "large", "apiKeys": [LARGE_KEY], "priority": 1}
    if large_rate_per_s:
        large |= {"ratePerS": large_rate_per_s, "burst": large_rate_per_s}
    return {
        "version": 7,
        "routes": [turn, tool],
        "services": [
            {"name": "models", "healthPath": "/healthz", "maxConnections": 520, "engine": engine},
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 130},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "ordinary", "apiKeys": [ORDINARY_KEY], "priority": 1},
            large,
        ],
    }
