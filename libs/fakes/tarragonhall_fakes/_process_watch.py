"""What a process takes of its machine: memory, the kernel's for it included, and descriptors."""

from __future__ import annotations

import os
from pathlib import Path

import eventlet

SAMPLE_SECONDS = 0.1
# Columns of /proc/net/tcp; the last one holds the bytes that wait to be sent and to be read.
LOCAL_ADDRESS, STATE, QUEUES = 1, 3, 4
LISTENING = "0A"


class ProcessWatch:
    """Samples a process; `memory_bytes` and `descriptors` are peaks.

    `address` is what it serves: an IP address, or one with a port.
    """

    __slots__ = ("_address", "_pid", "_thread", "descriptors", "memory_bytes")

    def __init__(self, pid: int, address: str) -> None:
        self._pid = pid
        self._address = address
        self.memory_bytes = 0
        self.descriptors = 0
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Take the last sample and end."""
        self._thread.kill()
        self.sample()

    def sample(self) -> None:
        """Measure the process now; nothing if it has ended."""
        try:
            status = Path(f"/proc/{self._pid}/status").read_text()
            descriptors = len(os.listdir(f"/proc/{self._pid}/fd"))
        except OSError:
            return
        now, peak = (_kilobytes(status, name) * 1024 for name in ("VmRSS:", "VmHWM:"))
        self.memory_bytes = max(self.memory_bytes, peak, now + unread_bytes(self._address))
        self.descriptors = max(self.descriptors, descriptors)

    def _run(self) -> None:
        while True:
            self.sample()
            eventlet.sleep(SAMPLE_SECONDS)


def unread_bytes(address: str) -> int:
    """Return the bytes that have arrived at the sockets of an address and were not read."""
    ip, _, port = address.partition(":")
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split("."))) + ":"
    if port:
        local += f"{int(port):04X}"
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL_ADDRESS].startswith(local) and fields[STATE] != LISTENING:
            total += int(fields[QUEUES].partition(":")[2], 16)
    return total


def _kilobytes(status: str, name: str) -> int:
    for line in status.splitlines():
        if line.startswith(name):
            return int(line.split()[1])
    return 0
