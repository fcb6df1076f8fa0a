"""Measure the latency and processor time that the relay adds to a call, against a direct call.

Relayed and direct calls alternate in one run on loopback: `relay_bench.py [CALLS]`. Prints the
added p50 and p99, and the added processor time a call of this process, which holds relay, clients
and server.
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
PLAIN_BODY = b"x" * 600
STREAM_BODY = b"y" * 5_000


def serve(_backend, arrived) -> None:
    """Answer a `/talk/` request with a stream of events, any other with one body."""
    if b" /talk/" in arrived.head:
        events = (event(number, "w" * 40) for number in range(1, EVENTS + 1))
        arrived.connection.sendall(stream(arrived, *events))
        return
    arrived.connection.sendall(answer(arrived, b"z" * 800))


def connect(address: str):
    """Return a connection with TCP_NODELAY set."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def timed_request_ms(connection, data: bytes, end: bytes) -> float:
    """Send a request and return the milliseconds until the end of its answer arrives."""
    started = time.perf_counter()
    connection.sendall(data)
    received = b""
    while not received.endswith(end):
        received += connection.recv(65_536)
    return (time.perf_counter() - started) * 1000


def percentile(values: list[float], share: float) -> float:
    """Return the value below which this share of the values lies."""
    return sorted(values)[int(len(values) * share)]


def measure(relay: Relay, path: str, body: bytes, end: bytes, calls: int) -> None:
    """Send direct and relayed calls alternately and print the difference."""
    direct, relayed = connect(relay.backends[0].address), connect(relay.address)
    direct_ms, relayed_ms, cpu_s = [], [], [0.0, 0.0]
    for number in range(calls):
        data = request(path, f"a-{number}", body, close=False)
        for index, (connection, times) in enumerate(((direct, direct_ms), (relayed, relayed_ms))):
            before = time.process_time()
            times.append(timed_request_ms(connection, data, end))
            cpu_s[index] += time.process_time() - before
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        added = percentile(relayed_ms, share) - percentile(direct_ms, share)
        print(f"{path} {name}: {added:.2f} ms added")
    print(f"{path} processor: {(cpu_s[1] - cpu_s[0]) / calls * 1000:.2f} ms a call added")


def main() -> None:
    """Run the benchmark."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else CALLS
    relay = Relay()
    relay.backend(serve)
    measure(relay, "/buy/", PLAIN_BODY, b"z" * 800, calls)
    measure(relay, "/talk/", STREAM_BODY, b"0\r\n\r\n", calls)
    relay.stop()


if __name__ == "__main__":
    main()
