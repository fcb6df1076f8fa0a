"""Free loopback addresses for processes that tests and tools start."""

from __future__ import annotations

import random
import socket

# Below the ports that the kernel gives to outgoing connections: one of these could take the address
# between the look and the start of the process that listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000


def free_address() -> str:
    """Return a loopback address that was free a moment ago."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
