"""Backend servers that close the connection in the middle of their response."""

from __future__ import annotations

import eventlet
import pytest
from tarragonhall_fakes import free_address
from tarragonhall_model import AttemptId, AttemptOutcome, CallKind, CallSpec, Dispatch
from tarragonhall_sidecar._backend import Backend, BackendError

SECONDS_LEFT = 5.0
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
PLAIN = HEAD + b"content-length: 6\r\n\r\nbooked"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nboo\r\n3\r\nked\r\n0\r\n\r\n"
TRAILED = CHUNKED[:-2] + b"checked: yes\r\n\r\n"
HINTED = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + PLAIN
CONTINUED = b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN
RESPONSE_BY_NAME = {
    "plain": PLAIN,
    "chunked": CHUNKED,
    "with a trailer": TRAILED,
    "after 103": HINTED,
    "after 100": CONTINUED,
}
HEALTH = b'HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"life": "7"}'


class CutServer:
    """Sends the beginning of a response on each connection, and closes it."""

    def __init__(self) -> None:
        address = free_address()
        host, _, port = address.rpartition(":")
        self.response = b""
        self.listener = eventlet.listen((host, int(port)))
        self.backend = Backend(address, progress_timeout_s=SECONDS_LEFT)
        eventlet.spawn_n(self.serve)

    def serve(self) -> None:
        while True:
            try:
                connection, _address = self.listener.accept()
            except OSError:
                return
            connection.recv(65_536)
            connection.sendall(self.response)
            connection.close()

    def run(self, response: bytes):
        self.response = response
        spec = CallSpec(1, CallKind.SERVICE, "desk", "book")
        attempt = AttemptId("prog-1", 1, 1, "desk-1", "inc")
        dispatch = Dispatch(attempt, "org-1", spec, [], 0, 60_000)
        with eventlet.Timeout(SECONDS_LEFT):
            return self.backend.run(dispatch, SECONDS_LEFT, lambda _text: None)


@pytest.fixture
def server():
    cut = CutServer()
    yield cut
    cut.listener.close()


@pytest.mark.parametrize("response", RESPONSE_BY_NAME.values(), ids=RESPONSE_BY_NAME.keys())
def test_response_cut_at_any_byte_is_no_answer(server, response):
    # A service closed in the middle of its head, and the program got an empty answer.
    for size in range(len(response)):
        result = server.run(response[:size])
        outcome = getattr(result, "outcome", None)
        assert outcome not in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN), size


@pytest.mark.parametrize("response", RESPONSE_BY_NAME.values(), ids=RESPONSE_BY_NAME.keys())
def test_whole_response_is_an_answer(server, response):
    # A reader that is too strict refuses responses that are whole.
    assert server.run(response).answer.text == "booked"


def test_server_that_closes_in_the_middle_of_its_health_response_is_not_healthy(server):
    # A server that broke off each of its responses counted as healthy, and got calls.
    for size in range(len(HEALTH)):
        server.response = HEALTH[:size]
        assert not server.backend.probe().up, size
    server.response = HEALTH
    assert server.backend.probe().server_incarnation == "7"


def test_cut_response_to_an_order_is_an_error(server):
    # An engine that broke off its response to an order counted as one that answered without a body.
    for size in range(len(HEALTH)):
        server.response = HEALTH[:size]
        with pytest.raises(BackendError):
            server.backend.loaded()
