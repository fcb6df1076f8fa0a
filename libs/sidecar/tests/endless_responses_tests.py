"""Backend servers whose responses never end: each read of the sidecar must give up by itself."""

from __future__ import annotations

import time

import eventlet
import pytest
from tarragonhall_fakes import free_address
from tarragonhall_model import (
    AttemptId,
    AttemptOutcome,
    CallKind,
    CallSpec,
    Dispatch,
    EngineOrder,
)
from tarragonhall_sidecar import _backend
from tarragonhall_sidecar._backend import Backend, BackendError
from tarragonhall_sidecar._events import ConnectionLost

# The call has a minute, so the sidecar gives up by itself.
SECONDS_LEFT = 60.0
SOON_SECONDS = 2.5
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
# A run waits for a slow head until its deadline.
SLOW_HEAD = "header lines, slowly"
FLOOD = 0.0
DRIP = 0.05


class EndlessServer:
    """Sends a head to each connection and then the same bytes until it is closed."""

    def __init__(self, head: bytes, repeated: bytes, pause_s: float) -> None:
        self.address = free_address()
        self.closed = 0
        self._head = head
        self._repeated = repeated if pause_s else repeated * (1 + 8_000 // len(repeated))
        self._pause_s = pause_s
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)))
        self._acceptor = eventlet.spawn(self._accept)

    def stop(self) -> None:
        self._acceptor.kill()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            connection, _address = self._listener.accept()
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection) -> None:
        try:
            connection.recv(65_536)
            connection.sendall(self._head)
            with eventlet.Timeout(10.0, False):
                while True:
                    connection.sendall(self._repeated)
                    eventlet.sleep(self._pause_s)
        except OSError:
            pass
        finally:
            self.closed += 1


ENDLESS = [
    pytest.param(b"", INTERIM, FLOOD, id="informational responses"),
    pytest.param(b"", INTERIM, DRIP, id="informational responses, slowly"),
    pytest.param(HEAD, b"a: b\r\n", FLOOD, id="header lines"),
    pytest.param(HEAD, b"a: b\r\n", DRIP, id=SLOW_HEAD),
    pytest.param(HEAD + b"a: ", b"x", FLOOD, id="one header line"),
    pytest.param(b"", b"x", FLOOD, id="a status line"),
    pytest.param(CHUNKED, CHUNK, FLOOD, id="chunks"),
    pytest.param(CHUNKED, b"400;a=", FLOOD, id="a chunk extension"),
    pytest.param(CHUNKED + b"0\r\n", b"a: b\r\n", FLOOD, id="trailers"),
    pytest.param(HEAD + b"\r\n", b"x", FLOOD, id="a body without a length"),
]


@pytest.fixture
def serve(request):
    started = []

    def start(head, repeated, pause_s) -> EndlessServer:
        started.append(EndlessServer(head, repeated, pause_s))
        return started[-1]

    yield start
    for server in started:
        server.stop()


def dispatch(kind: CallKind) -> Dispatch:
    spec = CallSpec(1, kind, "desk", "book", max_tokens=10)
    return Dispatch(AttemptId("prog-1", 1, 1, "desk-1", "inc"), "org-1", spec, [], 0, 60_000)


@pytest.mark.parametrize("kind", [CallKind.SERVICE, CallKind.MODEL])
@pytest.mark.parametrize(("head", "repeated", "pause_s"), [p for p in ENDLESS if p.id != SLOW_HEAD])
def test_a_run_whose_response_never_ends_is_ended_soon(serve, kind, head, repeated, pause_s):
    # It held its slot until the call's deadline, and a server that always sends kept every other
    # green thread of the sidecar from running.
    server = serve(head, repeated, pause_s)
    backend = Backend(server.address, progress_timeout_s=30.0)
    ticks = [time.monotonic()]
    ticker = eventlet.spawn(tick, ticks)
    started = time.monotonic()
    with eventlet.Timeout(10.0):
        result = backend.run(dispatch(kind), SECONDS_LEFT, lambda _text: None)
    assert time.monotonic() - started < SOON_SECONDS
    ticker.kill()
    ticks.append(time.monotonic())
    assert max(b - a for a, b in zip(ticks, ticks[1:], strict=False)) < 0.5
    assert isinstance(result, ConnectionLost) or result.outcome is not AttemptOutcome.ANSWERED


def tick(ticks: list[float]) -> None:
    while True:
        ticks.append(time.monotonic())
        eventlet.sleep(0.01)


@pytest.mark.parametrize(("head", "repeated", "pause_s"), ENDLESS)
def test_a_probe_whose_response_never_ends_is_ended_soon(serve, head, repeated, pause_s):
    # The time limit counted from each read, so the sidecar waited for ever and did not notice that
    # its server had stopped to answer.
    backend = Backend(serve(head, repeated, pause_s).address, 30.0)
    started = time.monotonic()
    with eventlet.Timeout(10.0):
        backend.probe()
    assert time.monotonic() - started < SOON_SECONDS


@pytest.mark.parametrize(("head", "repeated", "pause_s"), ENDLESS)
def test_a_request_to_an_engine_whose_response_never_ends_fails_soon(
    serve, monkeypatch, head, repeated, pause_s
):
    monkeypatch.setattr(_backend, "ORDER_TIMEOUT_SECONDS", 1.0)
    backend = Backend(serve(head, repeated, pause_s).address, 30.0)
    for send in (
        backend.listing,
        lambda: backend.send_order(EngineOrder("o-1", 1, "load", "planner", "v1")),
    ):
        started = time.monotonic()
        with eventlet.Timeout(10.0), pytest.raises(BackendError):
            send()
        assert time.monotonic() - started < SOON_SECONDS
