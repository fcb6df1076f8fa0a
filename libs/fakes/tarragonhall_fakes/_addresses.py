"""Free loopback addresses for processes that tests and tools start."""

from __future__ import annotations

import random
import socket

# Below the kernel's ephemeral port range: an outgoing connection could otherwise take the port
# between the check here and the start of the process that listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000

# Ports returned so far. Most have no listener yet when the next one is chosen, and a process that
# was stopped needs its own port again on restart.
_allocated_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address that was just free; no address is returned twice."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        if port in _allocated_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return f"127.0.0.1:{port}"
