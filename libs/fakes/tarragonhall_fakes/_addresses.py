"""Free loopback addresses for processes that tests and tools start."""

from __future__ import annotations

import random
import socket

# Below the ports that the kernel gives to outgoing connections: one of these could take the address
# between the look and the start of the process that listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000

# Ports that were handed out. Most are not listened on yet when the next one is drawn, and a process
# that was stopped wants its own again.
_handed_out: set[int] = set()


def free_address() -> str:
    """Return a loopback address that was free a moment ago, and a different one each time."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        if port in _handed_out:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _handed_out.add(port)
        return f"127.0.0.1:{port}"
