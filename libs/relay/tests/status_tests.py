"""Servers whose responses carry a status that HTTP does not have."""

from __future__ import annotations

import pytest
from relay_doubles import answer, answers, event

NO_STATUS = ["000", "099", "101", "20x", "600", "999", "1000"]


def answers_with(status: str, extra: str = ""):
    return lambda _backend, received: received.connection.sendall(
        answer(received, status=f"{status} Odd", extra=extra)
    )


@pytest.mark.parametrize("status", NO_STATUS)
def test_a_status_that_is_none_is_not_passed_on(relay, status):
    # A server in trouble answered with such a status, and the caller took it for the answer.
    relay.backend(answers_with(status))
    for number in range(3):
        assert relay.call("/look/", f"a-{number}", method="GET")[0] == 502
        assert relay.call("/buy/", f"b-{number}", body=b"order %d" % number)[0] == 502
        assert relay.call("/talk/", f"c-{number}", body=b"turn %d" % number)[0] == 502


@pytest.mark.parametrize("status", NO_STATUS)
def test_an_idempotent_call_goes_on_at_another_server(relay, status):
    # One of several servers was in trouble; the call can be repeated at the others.
    odd = relay.backend(answers_with(status))
    sound = relay.backend(answers(body=b"sound"))
    called = 0
    while not odd.received:
        assert called < 50, "the server in trouble was never chosen"
        assert relay.call("/look/", f"a-{called}", method="GET")[::2] == (200, b"sound")
        called += 1
    assert len(sound.received) == called


@pytest.mark.parametrize("status", ["600", "999"])
def test_a_status_that_is_none_proves_nothing_about_the_run(relay, status):
    # The header says that the call did not run, but the response is none; the call would be sent to
    # a second server although it may run once only.
    odd = relay.backend(answers_with(status, extra="not-run: 1\r\n"))
    other = relay.backend(answers_with(status, extra="not-run: 1\r\n"))
    assert relay.call("/buy/", body=b"order")[0] == 502
    assert len(odd.received) + len(other.received) == 1


def test_informational_responses_before_the_response_are_no_end(relay):
    # 103 is followed by the response.
    def hints(_backend, received):
        hint = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
        received.connection.sendall(hint + answer(received, body=event(1)))

    relay.backend(hints)
    assert relay.call("/look/", method="GET")[0] == 200
