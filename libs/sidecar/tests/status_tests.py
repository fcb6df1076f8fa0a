"""Backend servers whose responses carry a status that HTTP does not have."""

from __future__ import annotations

import eventlet
import pytest
from tarragonhall_fakes import free_address
from tarragonhall_model import AttemptId, AttemptOutcome, CallKind, CallSpec, Dispatch
from tarragonhall_sidecar._backend import Backend

SECONDS_LEFT = 5.0


@pytest.fixture
def backend():
    """Return a function that starts a server with one response and connects the sidecar to it."""
    listeners = []

    def start(response: bytes) -> Backend:
        address = free_address()
        host, _, port = address.rpartition(":")
        listeners.append(eventlet.listen((host, int(port))))
        eventlet.spawn_n(serve, listeners[-1], response)
        return Backend(address, progress_timeout_s=SECONDS_LEFT)

    yield start
    for listener in listeners:
        listener.close()


def serve(listener, response: bytes) -> None:
    connection, _address = listener.accept()
    connection.recv(65_536)
    connection.sendall(response)
    connection.close()


def run(backend: Backend):
    spec = CallSpec(1, CallKind.SERVICE, "desk", "book")
    dispatch = Dispatch(AttemptId("prog-1", 1, 1, "desk-1", "inc"), "org-1", spec, [], 0, 60_000)
    with eventlet.Timeout(SECONDS_LEFT):
        return backend.run(dispatch, SECONDS_LEFT, lambda _text: None)


@pytest.mark.parametrize("status", ["000", "099", "101", "20x", "600", "999", "1000"])
def test_a_status_that_is_none_is_no_answer(backend, status):
    # A server in trouble answered with such a status, and the program got it as its answer.
    head = f"HTTP/1.1 {status} Odd\r\ncontent-length: 4\r\n\r\n".encode()
    result = run(backend(head + b"done"))
    assert getattr(result, "outcome", None) is not AttemptOutcome.ANSWERED


def test_informational_responses_before_the_response_are_no_end(backend):
    # 103 was taken for the answer, and the response for bytes of another one.
    hint = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
    result = run(backend(hint + b"HTTP/1.1 201 Created\r\ncontent-length: 4\r\n\r\ndone"))
    assert (result.answer.status, result.answer.text) == (201, "done")
