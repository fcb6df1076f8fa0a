"""What a call costs on its way through the relay, against the same call sent to the server.

Both take turns in one run on loopback: `relay_bench.py [CALLS]`. Prints the added p50 and p99 and
the processor time of this process, relay and clients and server together, a call and an event.
"""

from __future__ import annotations

import sys
import time
import warnings
from pathlib import Path

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import structlog  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "libs" / "relay" / "tests"))

from eventlet.green import socket  # noqa: E402
from relay_doubles import Relay, answer, event, request, stream  # noqa: E402

CALLS = 2_000
EVENTS = 17
BODY = b"x" * 600
TALK = b"y" * 5_000


def serve(_backend, arrived) -> None:
    """Answer a plain call whole and a turn with a stream."""
    if b" /talk/" in arrived.head:
        events = (event(number, "w" * 40) for number in range(1, EVENTS + 1))
        arrived.connection.sendall(stream(arrived, *events))
        return
    arrived.connection.sendall(answer(arrived, b"z" * 800))


def connect(address: str):
    """Return a connection that sends small writes at once."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def one(connection, data: bytes, end: bytes) -> float:
    """Send a request and return the milliseconds until its answer's end has arrived."""
    started = time.perf_counter()
    connection.sendall(data)
    received = b""
    while not received.endswith(end):
        received += connection.recv(65_536)
    return (time.perf_counter() - started) * 1000


def percentile(values: list[float], share: float) -> float:
    """Return the value that this share lies below."""
    return sorted(values)[int(len(values) * share)]


def measure(relay: Relay, path: str, body: bytes, end: bytes, calls: int) -> None:
    """Send calls straight and through the relay by turns and print the difference."""
    straight, through = connect(relay.backends[0].address), connect(relay.address)
    straight_ms, through_ms, cpu_s = [], [], [0.0, 0.0]
    for number in range(calls):
        data = request(path, f"a-{number}", body, close=False)
        for index, (connection, times) in enumerate(
            ((straight, straight_ms), (through, through_ms))
        ):
            before = time.process_time()
            times.append(one(connection, data, end))
            cpu_s[index] += time.process_time() - before
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        added = percentile(through_ms, share) - percentile(straight_ms, share)
        print(f"{path} {name}: {added:.2f} ms added")
    print(f"{path} processor: {(cpu_s[1] - cpu_s[0]) / calls * 1000:.2f} ms a call added")


def main() -> None:
    """Run the benchmark."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else CALLS
    relay = Relay()
    relay.backend(serve)
    measure(relay, "/buy/", BODY, b"z" * 800, calls)
    measure(relay, "/talk/", TALK, b"0\r\n\r\n", calls)
    relay.stop()


if __name__ == "__main__":
    main()
