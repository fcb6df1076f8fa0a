"""Responses that a server sends once more, late, where the next one is expected."""

from __future__ import annotations

import collections

import eventlet
import pytest
from relay_doubles import answer, event, stream, wait_until
from tarragonhall_relay import _backend, _call_slot

REFUSAL = "503 Service Unavailable"
NOT_RUN = "not-run: 1\r\n"


class CopyingServer:
    """Script that refuses or misdirects calls, and sends each such response once more, late.

    The copy comes as the `lag`-th next request arrives on its connection. `ran` counts the runs of
    each attempt.
    """

    def __init__(self, refusals: int, lag: int = 1, status: str = REFUSAL) -> None:
        self.refusals = refusals
        self.lag = lag
        self.status = status
        self.ran = collections.Counter()
        self._copies_by_connection = collections.defaultdict(list)

    def __call__(self, _backend, received):
        attempt = received.header("attempt")
        waiting = self._copies_by_connection[id(received.connection)]
        waiting[:] = [(left - 1, copy) for left, copy in waiting]
        due = [copy for left, copy in waiting if left == 0]
        received.connection.sendall(b"".join(due))
        if self.refusals:
            self.refusals -= 1
            refusal = answer(received, b"", self.status, extra=NOT_RUN)
            received.connection.sendall(refusal)
            waiting.append((self.lag, refusal))
            return
        self.ran[attempt] += 1
        eventlet.sleep(0.02)
        received.connection.sendall(answer(received, received.body))


@pytest.mark.parametrize("status", [REFUSAL, "421 Misdirected Request"])
def test_a_late_copy_of_a_refusal_is_not_the_response_to_the_second_send(relay, status):
    # The refusal and its copy bear the id of the same attempt. Taken as the response to the second
    # send, which ran, the copy made the order run once more.
    server = CopyingServer(refusals=1, status=status)
    relay.backend(server)
    assert relay.call("/buy/", body=b"order")[::2] == (200, b"order")
    assert server.ran == {"a-1": 1}


def test_a_client_that_sends_the_same_attempt_again_gets_its_own_response(relay, monkeypatch):
    # The client was told that its call did not run, and sends it again with the same id. Another
    # call uses the connection in between, and the copy comes only after that.
    monkeypatch.setattr(_call_slot, "MAX_REFUSALS", 1)
    server = CopyingServer(refusals=1, lag=2)
    relay.backend(server)
    assert relay.call("/buy/", body=b"order")[0] == 503
    assert relay.call("/buy/", attempt="b-1", body=b"other")[::2] == (200, b"other")
    assert relay.call("/buy/", body=b"order")[::2] == (200, b"order")
    assert server.ran == {"a-1": 1, "b-1": 1}


def test_a_connection_stays_in_use_after_refusals_of_other_calls(relay):
    # A full server refuses hundreds of calls a second. A new connection for each of them would use
    # up those that it accepts.
    server = CopyingServer(refusals=1, lag=99)
    backend = relay.backend(server)
    for number in range(20):
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200
    assert backend.connections == 2


def test_a_connection_does_not_remember_refusals_without_end(relay, monkeypatch):
    # The ids of refused calls would fill the memory of an entry in front of a full server.
    monkeypatch.setattr(_backend, "MAX_REFUSED_ATTEMPTS", 3)
    server = CopyingServer(refusals=0, lag=99)
    backend = relay.backend(server)
    for number in range(9):
        server.refusals = 1
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200
    assert backend.connections > 3
    assert all(len(one.refused_attempts) < 3 for one in relay.state.pool._idle_by_server["i-0"])


def test_a_connection_that_carried_a_call_without_an_id_is_not_used_again(relay):
    # A response without an id cannot be told from a late copy of another one without an id.
    def refuses_without_id(backend, received):
        if len(backend.received) > 1:
            answered = answer(received, received.body)
            received.connection.sendall(b"".join([refusal, answered]))
            return
        received.connection.sendall(refusal)

    refusal = b"HTTP/1.1 400 Bad Request\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
    backend = relay.backend(refuses_without_id)
    relay.call("/buy/", attempt="")
    wait_until(lambda: backend.received)
    assert len({id(one.connection) for one in backend.received}) == len(backend.received)


def test_a_connection_with_a_response_to_another_call_is_not_used_again(relay):
    # What else the server will send on it is not known.
    def responds_late_to_another(backend, received):
        other = b""
        if len(backend.received) == 1:
            other = b"HTTP/1.1 200 OK\r\nattempt: older\r\nsigned: yes\r\ncontent-length: 0\r\n\r\n"
        received.connection.sendall(other + answer(received, b"new"))

    backend = relay.backend(responds_late_to_another)
    for number in range(3):
        assert relay.call("/buy/", attempt=f"a-{number}")[2] == b"new"
    assert backend.connections == 2
    assert relay.context.metrics.counts["relay.crossed_responses"] == 1


@pytest.mark.parametrize("body", [b"x" * 7, b"x" * 100_000])
def test_a_call_with_a_body_behind_a_late_response_gets_its_own(relay, body):
    # The state for the next response was built from the head of the request without its body. The
    # error ended the client's connection, though the call ran.
    def responds_late_to_another(_backend, received):
        other = b"HTTP/1.1 200 OK\r\nattempt: older\r\nsigned: yes\r\ncontent-length: 3\r\n\r\nold"
        received.connection.sendall(other + answer(received, received.body))

    relay.backend(responds_late_to_another)
    assert relay.call("/buy/", body=body)[::2] == (200, body)


def test_a_stream_behind_a_late_response_is_relayed(relay):
    # Streams carry a body too.
    def streams_after_another(_backend, received):
        other = b"HTTP/1.1 503 Full\r\nattempt: older\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
        received.connection.sendall(other + stream(received, event(1), event(2)))

    relay.backend(streams_after_another)
    assert relay.call("/tell/", body=b"prompt")[2] == event(1) + event(2)
