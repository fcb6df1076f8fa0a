"""Measure what the servers and entries of a large deployment cost one control member.

    member_bench.py [SERVERS] [ENTRIES]

One member takes the announcements of all servers, each once while they start and once when nothing
has changed, and tells the entries over links whose far end discards everything. Prints processor
time for an announcement and the bytes to an entry.
"""

from __future__ import annotations

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import sys  # noqa: E402
import time  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import structlog  # noqa: E402
from tarragonhall_control._backend_service import BackendService  # noqa: E402
from tarragonhall_model import BackendRecord, FollowBackends, encode  # noqa: E402
from tarragonhall_wire import HybridClock, Link, Peer  # noqa: E402


class NullSocket:
    """Stands in for the far end of a link and counts what it gets."""

    def __init__(self) -> None:
        self.size = 0

    def send(self, *messages: bytes) -> None:
        self.size += sum(len(data) for data in messages)

    def close(self) -> None:
        """Nothing to close."""


def make_service() -> BackendService:
    """Return the registry of a member that has no other members."""
    hub = SimpleNamespace(handle=lambda *_: None, on_link_closed=lambda *_: None)
    context = SimpleNamespace(monotonic=time.monotonic, hub=hub)
    return BackendService(SimpleNamespace(context=context, other_addresses=list))


def announce_all(service: BackendService, count: int, sequence: int) -> float:
    """Announce every server once; return processor milliseconds for each announcement."""
    started = time.process_time()
    threads = [
        eventlet.spawn(
            service.announce,
            BackendRecord(f"i-{n}", "models", f"10.0.{n >> 8}.{n & 255}:80", "z", 24, 1, sequence),
        )
        for n in range(count)
    ]
    for thread in threads:
        thread.wait()
    return (time.process_time() - started) * 1000 / count


def main(servers: int = 3_000, entries: int = 100) -> None:
    """Run the measurement and print its figures."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    service = make_service()
    sockets = [NullSocket() for _ in range(entries)]
    clock = HybridClock("member-1")
    for number, socket in enumerate(sockets):
        link = Link(socket, Peer(f"e-{number}", "life", f"e-{number}:1", "z"), print, clock)
        eventlet.spawn_n(link._write_loop)
        service._on_follow(link, FollowBackends(takes_changes=True))
    start_ms = announce_all(service, servers, 1)
    print(f"an announcement of a server that starts: {start_ms:.3f} ms, {entries} entries")
    print(f"an unchanged announcement: {announce_all(service, servers, 2):.3f} ms")
    print(f"bytes to an entry for each server: {sockets[0].size / servers:.0f}")
    before = time.process_time()
    for number in range(entries):
        link = Link(NullSocket(), Peer(f"n-{number}", "life", f"n-{number}:1", "z"), print, clock)
        reply = service._on_follow(link, FollowBackends(takes_changes=True))
        link.send(reply)
    each_ms = (time.process_time() - before) * 1000 / entries
    size = len(encode(reply))
    print(f"the whole table for one of many new entries: {each_ms:.2f} ms, {size} bytes")


if __name__ == "__main__":
    main(*(int(value) for value in sys.argv[1:]))
