"""Clients that read slowly or not at all, and what an entry holds for them."""

from __future__ import annotations

import contextlib
import tracemalloc

import eventlet
import pytest
from eventlet.green import socket
from relay_doubles import answer, answers, event, read_all, request, stream, wait_until
from tarragonhall_decisions import ReaderLimits
from tarragonhall_relay._client_writer import ClientWriter, WaitingBytes
from tarragonhall_relay._errors import ClientDisconnectedError
from tarragonhall_wire import make_metrics

KB = 1024
LARGE = b"x" * (1024 * KB)


@pytest.fixture
def pairs():
    """Return a function that opens a connection with small buffers: writing and reading end."""
    opened = []

    def open_pair():
        pair = socket.socketpair()
        for end in pair:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * KB)
            end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KB)
        opened.extend(pair)
        return pair

    yield open_pair
    for end in opened:
        end.close()


def make_waiting(**limits) -> WaitingBytes:
    return WaitingBytes(
        ReaderLimits(**limits), make_metrics(None, 0, "entry-1"), eventlet.hubs.get_hub().clock
    )


def limit_readers(relay, **limits) -> None:
    relay.state.waiting_bytes.limits = ReaderLimits(**limits)


def connect_slow(relay):
    """Connect a client whose receive window is small."""
    host, _, port = relay.address.rpartition(":")
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KB)
    connection.connect((host, int(port)))
    return connection


def test_memory_for_500_readers_that_read_nothing_is_bounded(pairs):
    # Hundreds of callers stop reading their responses. The process was killed as its memory grew.
    bound, piece = 4 * KB * KB, 16 * KB
    waiting = make_waiting(total_bytes=bound, read_ahead_bytes=KB * KB)

    def respond(connection):
        writer = ClientWriter(connection, waiting)
        with contextlib.suppress(ClientDisconnectedError):
            while True:
                writer.write(bytes(piece))
                eventlet.sleep(0)

    connections = [pairs()[0] for _ in range(500)]
    tracemalloc.start()
    threads = [eventlet.spawn(respond, connection) for connection in connections]
    eventlet.sleep(0.5)
    # Those that were ended give their memory back as soon as their threads have run once more.
    ended = waiting._metrics.counts
    wait_until(lambda: sum(one.dead for one in threads) == ended["relay.readers_ended"])
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for thread in threads:
        thread.kill()
    assert 0 < waiting.total <= bound
    # Besides what waits, each connection has a piece that is being written and a green thread.
    assert peak < bound + 500 * (piece + 16 * KB)
    assert size < bound + 500 * 8 * KB


def test_reader_that_reads_nothing_is_ended_and_one_that_reads_slowly_is_not(pairs):
    # A caller stopped reading. What it was sent stayed in memory, and its connection open.
    waiting = make_waiting(stalled_s=0.2)
    stalled_end, _unread = pairs()
    slow_end, slow_reader = pairs()
    stalled, slow = ClientWriter(stalled_end, waiting), ClientWriter(slow_end, waiting)

    def read_slowly():
        received = 0
        while received < 64 * KB:
            received += len(slow_reader.recv(4 * KB))
            eventlet.sleep(0.03)
        return received

    reading = eventlet.spawn(read_slowly)
    stalled.write(bytes(64 * KB))
    slow.write(bytes(64 * KB))
    with pytest.raises(ClientDisconnectedError, match="stalled"):
        stalled.flush()
    slow.flush()
    assert reading.wait() == 64 * KB
    assert waiting.total == 0


def test_slowest_readers_are_ended_over_the_bound(pairs):
    # The process would run out of memory, and all its calls be lost with it.
    waiting = make_waiting(total_bytes=100 * KB)
    ends = [pairs() for _ in range(3)]
    writers = [ClientWriter(end, waiting) for end, _reader in ends]
    writers[0].write(bytes(60 * KB))
    eventlet.sleep(0.05)
    writers[1].write(bytes(20 * KB))
    writers[2].write(bytes(60 * KB))
    with pytest.raises(ClientDisconnectedError, match="over_bound"):
        writers[0].flush()
    assert 0 < waiting.total <= 100 * KB
    reading = [eventlet.spawn(read_all, reader) for _end, reader in ends[1:]]
    for writer, (end, _reader) in zip(writers[1:], ends[1:], strict=True):
        writer.flush()
        end.shutdown(socket.SHUT_WR)
    assert [len(one.wait()) for one in reading] == [20 * KB, 60 * KB]


def test_bytes_arrive_in_order_whatever_waits(pairs):
    # Bytes that wait are overtaken by later ones that the connection takes at once.
    waiting = make_waiting(read_ahead_bytes=8 * KB)
    end, reader = pairs()
    writer = ClientWriter(end, waiting)
    parts = [bytes([number]) * (KB * (number % 5)) for number in range(60)]

    def write_all():
        for part in parts:
            writer.write(part)
        writer.flush()
        end.shutdown(socket.SHUT_WR)

    eventlet.spawn(write_all)
    assert read_all(reader) == b"".join(parts)


def test_slot_is_free_while_a_caller_reads_its_response(relay):
    # A caller reads a large response slowly. The server has sent all of it, but its slot was taken
    # until the caller had read it.
    relay.backend(lambda _b, received: received.connection.sendall(answer(received, LARGE * 8)))
    slow = connect_slow(relay)
    slow.sendall(request("/buy/", deadline="3000"))
    wait_until(lambda: relay.state.waiting_bytes.total > 0)
    assert relay.state.calls_in_flight == 1
    assert relay.state.chooser.own_load() == {}


def test_slot_is_free_while_a_caller_reads_its_stream(relay):
    # The same for a stream that is shorter than the read-ahead.
    events = [event(number, "y" * 60 * KB) for number in range(1, 200)]
    limit_readers(relay, read_ahead_bytes=64 * KB * KB)
    relay.backend(lambda _b, received: received.connection.sendall(stream(received, *events)))
    slow = connect_slow(relay)
    slow.sendall(request("/tell/", deadline="3000"))
    wait_until(lambda: relay.state.waiting_bytes.total > 0)
    wait_until(lambda: relay.state.chooser.own_load() == {}, 2.0)
    assert relay.state.calls_in_flight == 1


def test_reading_from_the_server_pauses_while_the_caller_does_not_read(relay):
    # The server sends faster than the caller reads, for as long as it can.
    sent = []

    def sends_much(_backend, received):
        received.connection.sendall(stream(received, end=False))
        for number in range(1, 2_000):
            one = event(number, "y" * 60 * KB)
            received.connection.sendall(f"{len(one):x}\r\n".encode() + one + b"\r\n")
            sent.append(number)

    limit_readers(relay, read_ahead_bytes=256 * KB)
    relay.backend(sends_much)
    slow = connect_slow(relay)
    slow.sendall(request("/tell/", deadline="3000"))
    wait_until(lambda: relay.state.waiting_bytes.total > 256 * KB)
    eventlet.sleep(0.3)
    paused_at = len(sent)
    eventlet.sleep(0.3)
    assert len(sent) == paused_at < 1_000
    assert relay.state.waiting_bytes.total < 512 * KB


def test_reader_of_a_byte_a_second_delays_no_other_call(relay):
    # One caller reads a byte a second, beside urgent calls of others.
    def responds(_backend, received):
        body = LARGE * 8 if b"/buy/" in received.head else b"done"
        received.connection.sendall(answer(received, body))

    relay.backend(responds)
    slow = connect_slow(relay)
    slow.sendall(request("/buy/", deadline="3000"))
    wait_until(lambda: relay.state.waiting_bytes.total > 0)
    started = relay.context.monotonic()
    for number in range(20):
        if number % 10 == 0:
            slow.recv(1)
        assert relay.call("/look/", attempt=f"a-{number}", method="GET")[0] == 200
    assert relay.context.monotonic() - started < 1.0


def test_response_that_was_not_read_looks_incomplete(relay):
    # The caller stops reading and is ended. What it has read must not look like a whole response.
    limit_readers(relay, stalled_s=0.2)
    relay.backend(lambda _b, received: received.connection.sendall(answer(received, LARGE * 8)))
    slow = connect_slow(relay)
    slow.sendall(request("/buy/", deadline="3000"))
    wait_until(lambda: relay.state.metrics.counts["relay.readers_ended"] == 1)
    wait_until(lambda: relay.state.calls_in_flight == 0)
    assert len(read_all(slow)) < 8 * len(LARGE)
    assert relay.state.waiting_bytes.total == 0


def test_caller_that_closes_while_bytes_wait_leaves_nothing_behind(relay):
    # What waits for a caller that has left counts until the process ends.
    relay.backend(lambda _b, received: received.connection.sendall(answer(received, LARGE * 8)))
    slow = connect_slow(relay)
    slow.sendall(request("/buy/", deadline="3000"))
    wait_until(lambda: relay.state.waiting_bytes.total > 0)
    slow.close()
    wait_until(lambda: relay.state.calls_in_flight == 0)
    assert relay.state.waiting_bytes.total == 0


def test_calls_that_are_read_at_once_hold_nothing(relay):
    # The default limits: nothing waits, no green thread is started.
    relay.backend(answers())
    for number in range(3):
        assert relay.call("/look/", attempt=f"a-{number}", method="GET")[0] == 200
    relay.state.waiting_bytes.report()
    assert "tarragonhall_relay_held_bytes 0" in relay.state.metrics.exposition.text()
    assert relay.state.metrics.counts["relay.readers_ended"] == 0
