"""Passed-on calls while backend servers and clients misbehave, judged by what both see."""

from __future__ import annotations

import eventlet
import pytest
from relay_stand_ins import answer, answers, refuses, request, until


def breaks_off(_backend, _arrived):
    return "close"


def test_a_call_reaches_its_server_unchanged_and_without_its_key(relay):
    backend = relay.backend(answers(body=b"sold"))
    status, headers, body = relay.call("/buy/x?n=1", body=b"two", colour="red")
    assert (status, body) == (200, b"sold")
    assert headers["signed"] == "yes"
    arrived = backend.arrived[0]
    assert arrived.head.startswith(b"POST /buy/x?n=1 HTTP/1.1")
    assert arrived.body == b"two"
    assert (arrived.header("org"), arrived.header("key")) == ("org-1", None)
    assert arrived.header("expect") == "i-0"
    assert arrived.header("colour") == "red"
    assert 4_000 > int(arrived.header("deadline")) > 2_000


def test_the_longest_prefix_decides_and_unknown_routes_and_keys_are_refused(relay):
    relay.backend(answers())
    assert relay.call("/nowhere/")[0] == 404
    assert relay.call("/look/", key="other")[0] == 401


def test_a_relay_that_hears_nothing_of_control_denies_nothing(relay):
    # The entry is cut off from control. A route or key may have been added meanwhile; told that it
    # does not exist, a program would end for good.
    relay.fresh = False
    relay.backend(answers())
    status, headers, _body = relay.call("/nowhere/")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert relay.call("/look/", key="other")[0] == 503
    assert relay.call("/look/")[0] == 200


def test_a_refused_call_is_sent_to_another_server(relay):
    # One server is full and says that it did not run the call: another one may.
    full = relay.backend(refuses)
    free = relay.backend(answers())
    for number in range(6):
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200
    assert len(free.arrived) == 6
    assert len(full.arrived) <= 6


def test_a_call_that_every_server_refuses_is_refused_with_a_time_to_come_back(relay):
    for _ in range(3):
        relay.backend(refuses)
    status, headers, _body = relay.call("/buy/")
    assert status == 503
    assert 0 < float(headers["retry-after"]) < 1


def test_a_call_that_may_have_run_is_never_sent_again(relay):
    # The server broke off after it had the call: the district may have been billed. Sent again it
    # would be billed twice; told "not run" the caller would send it again.
    servers = [relay.backend(breaks_off) for _ in range(3)]
    status, headers, _body = relay.call("/buy/")
    assert status == 502
    assert "retry-after" not in headers
    assert sum(len(one.arrived) for one in servers) == 1


def test_a_look_up_that_may_have_run_is_sent_again_within_its_attempts(relay):
    servers = [relay.backend(breaks_off) for _ in range(4)]
    assert relay.call("/look/", method="GET")[0] == 502
    assert sum(len(one.arrived) for one in servers) == 2


def test_a_server_that_cannot_be_reached_costs_a_call_nothing(relay):
    gone = relay.backend(answers())
    gone.stop()
    relay.backend(answers())
    for number in range(4):
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200


def test_a_status_that_promises_too_much_is_not_passed_on(relay):
    # A server answers 503 without saying that it did not run the call. Passed on, the caller would
    # take it as a promise and send a payment again.
    def claims(_backend, arrived):
        arrived.connection.sendall(answer(arrived, status="503 Service Unavailable"))

    relay.backend(claims)
    assert relay.call("/buy/")[0] == 502


def test_a_success_without_proof_of_origin_is_not_passed_on(relay):
    def forges(_backend, arrived):
        arrived.connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfake")

    relay.backend(forges)
    assert relay.call("/buy/")[0] == 502


def test_a_server_at_anothers_address_is_not_taken_for_it(relay):
    # A server ended and its address was given to another one, which says that it is not meant.
    def is_another(_backend, arrived):
        arrived.connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")

    relay.backend(is_another)
    relay.backend(answers())
    for number in range(4):
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200


@pytest.mark.parametrize(
    "garbage",
    [
        b"this is no answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nattempt: a-1\r\nsigned: yes\r\ncontent-length: 50\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nattempt: a-1\r\nsigned: yes\r\n"
        b"transfer-encoding: chunked\r\n\r\n4\r\nab",
        b"",
    ],
)
def test_an_answer_that_is_cut_or_garbled_never_looks_whole(relay, garbage):
    def garbles(_backend, arrived):
        arrived.connection.sendall(garbage)
        return "close"

    relay.backend(garbles)
    status, _headers, _body = relay.call("/buy/")
    assert status == 502


def test_an_answer_without_length_ends_with_its_connection(relay):
    def unframed(_backend, arrived):
        arrived.connection.sendall(
            b"HTTP/1.1 200 OK\r\nattempt: a-1\r\nsigned: yes\r\n\r\nall of it"
        )
        return "close"

    relay.backend(unframed)
    assert relay.call("/buy/")[2] == b"all of it"


def test_a_second_answer_is_not_given_to_the_next_caller(relay):
    # A server sends one answer twice. The second one waits on the connection, where the answer to
    # the next call is expected: that caller would get what was meant for another.
    def doubles(_backend, arrived):
        arrived.connection.sendall(answer(arrived, body=arrived.body) * 2)

    backend = relay.backend(doubles)
    for number in range(5):
        body = f"call {number}".encode()
        assert relay.call("/buy/", attempt=f"a-{number}", body=body)[2] == body
    assert backend.connections > 1


def test_an_answer_of_an_earlier_call_that_comes_late_is_dropped(relay):
    # The answer to an earlier attempt arrives on the connection after the next call was sent.
    def late(_backend, arrived):
        other = b"HTTP/1.1 200 OK\r\nattempt: older\r\nsigned: yes\r\ncontent-length: 3\r\n\r\nold"
        arrived.connection.sendall(other + answer(arrived, body=b"new"))

    relay.backend(late)
    assert relay.call("/buy/")[2] == b"new"


def test_a_client_that_leaves_ends_the_work_of_its_call(relay):
    # The caller closed its connection. A server that goes on works for nobody, and its place is
    # missing to others.
    backend = relay.backend(lambda _backend, _arrived: eventlet.sleep(3))
    connection = relay.connect()
    connection.sendall(request("/look/", method="GET"))
    until(lambda: backend.arrived)
    connection.close()
    started = relay.context.monotonic()
    until(lambda: relay.state.calls_in_flight == 0)
    assert relay.context.monotonic() - started < 0.4


def test_a_silent_server_is_given_up_when_the_time_of_the_route_is_over(relay):
    relay.backend(lambda _backend, _arrived: eventlet.sleep(3))
    started = relay.context.monotonic()
    assert relay.call("/quick/", method="GET")[0] == 504
    assert 0.15 < relay.context.monotonic() - started < 0.6


def test_a_request_that_breaks_every_server_reaches_three_and_no_more(relay):
    # One request crashes each server that begins to run it, and its caller sends it again as a new
    # attempt. Unbarred it would take down all of them.
    servers = [relay.backend(breaks_off) for _ in range(8)]
    statuses = [relay.call("/buy/", attempt=f"a-{n}", body=b"bad")[0] for n in range(6)]
    assert statuses == [502, 502, 502, 503, 503, 503]
    assert sum(len(one.arrived) for one in servers) == 3
    assert relay.call("/buy/", attempt="b-1", body=b"good")[0] == 502


def test_a_look_up_that_may_have_run_is_not_said_not_to_have_run(relay):
    # One server breaks off after it had the call, and the only other one is full. "Not run" would
    # be false, and the caller may rely on it.
    broken = relay.backend(breaks_off)
    full = relay.backend(refuses)
    relay.state.chooser.refused(full.server_id, relay.context.monotonic() + 60)
    status, headers, _body = relay.call("/look/", method="GET")
    assert len(broken.arrived) == 1
    assert (status, "retry-after" in headers) == (502, False)


def silent_first(servers_asked):
    """Return a script: whichever server is asked first never answers, all others do at once."""

    def script(backend, arrived):
        servers_asked.append(backend.server_id)
        if len(servers_asked) == 1:
            eventlet.sleep(3)
            return
        answers()(backend, arrived)

    return script


def learn_look_ups(relay, route="look"):
    """Let the relay know that such calls take ten milliseconds."""
    for _ in range(40):
        relay.state.chooser.pace("desk").call_ended("i-0", route, 10.0, 0.0)


def test_a_look_up_whose_answer_is_lost_is_sent_to_another_server(relay):
    # A server runs a look-up and its answer is lost without a word. The caller would wait until its
    # time is over, and its whole program would fail with this one call.
    asked = []
    for _ in range(3):
        relay.backend(silent_first(asked))
    learn_look_ups(relay)
    started = relay.context.monotonic()
    assert relay.call("/look/", method="GET")[0] == 200
    assert relay.context.monotonic() - started < 1.0
    assert len(set(asked)) == len(asked) == 2


def test_an_action_whose_answer_is_lost_is_not_sent_again(relay):
    # The same with a booking: sent to another server the gear would be booked twice.
    asked = []
    for _ in range(3):
        relay.backend(silent_first(asked))
    learn_look_ups(relay, "quick")
    learn_look_ups(relay, "buy")
    client = eventlet.spawn(relay.call, "/buy/")
    eventlet.sleep(0.5)
    client.kill()
    assert len(asked) == 1


def test_look_ups_that_are_slow_everywhere_are_not_all_sent_twice(relay):
    # Every server is overloaded and answers late. Twice as many calls would make it worse.
    relay.state.retry_budget.saved = 0.0
    asked = []
    for _ in range(3):
        relay.backend(silent_first(asked))
    learn_look_ups(relay)
    client = eventlet.spawn(relay.call, "/look/", method="GET")
    eventlet.sleep(0.5)
    client.kill()
    assert len(asked) == 1
