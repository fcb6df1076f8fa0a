"""Relayed calls with misbehaving backend servers and clients, judged by what both receive."""

from __future__ import annotations

import eventlet
import pytest
from relay_doubles import answer, answers, refuses, request, wait_until


def closes_connection(_backend, _received):
    return "close"


def test_call_reaches_server_unchanged_but_without_key(relay):
    backend = relay.backend(answers(body=b"sold"))
    status, headers, body = relay.call("/buy/x?n=1", body=b"two", colour="red")
    assert (status, body) == (200, b"sold")
    assert headers["signed"] == "yes"
    received = backend.received[0]
    assert received.head.startswith(b"POST /buy/x?n=1 HTTP/1.1")
    assert received.body == b"two"
    assert (received.header("org"), received.header("key")) == ("org-1", None)
    assert received.header("expect") == "i-0"
    assert received.header("colour") == "red"
    assert 4_000 > int(received.header("deadline")) > 2_000


def test_unknown_routes_and_keys_are_rejected(relay):
    relay.backend(answers())
    assert relay.call("/nowhere/")[0] == 404
    assert relay.call("/look/", key="other")[0] == 401


def test_stale_relay_does_not_reject_unknown_routes_or_keys_for_good(relay):
    # The entry cannot reach control, and a route or key may have been added meanwhile. A 404 or 401
    # would end a program for good.
    relay.fresh = False
    relay.backend(answers())
    status, headers, _body = relay.call("/nowhere/")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert relay.call("/look/", key="other")[0] == 503
    assert relay.call("/look/")[0] == 200


def test_call_refused_by_one_server_is_sent_to_another(relay):
    # A full server responds that it did not run the call, so another one may run it.
    full = relay.backend(refuses)
    available = relay.backend(answers())
    for number in range(6):
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200
    assert len(available.received) == 6
    assert len(full.received) <= 6


def test_call_refused_by_every_server_is_rejected_with_retry_after(relay):
    for _ in range(3):
        relay.backend(refuses)
    status, headers, _body = relay.call("/buy/")
    assert status == 503
    assert 0 < float(headers["retry-after"]) < 1


def test_non_idempotent_call_that_may_have_run_is_not_retried(relay):
    # The server closes the connection after it received the call, which may have billed a district.
    # If the relay sent it again, or told the caller that it did not run, it would be billed twice.
    servers = [relay.backend(closes_connection) for _ in range(3)]
    status, headers, _body = relay.call("/buy/")
    assert status == 502
    assert "retry-after" not in headers
    assert sum(len(one.received) for one in servers) == 1


def test_idempotent_call_that_may_have_run_is_retried_up_to_max_attempts(relay):
    servers = [relay.backend(closes_connection) for _ in range(4)]
    assert relay.call("/look/", method="GET")[0] == 502
    assert sum(len(one.received) for one in servers) == 2


def test_unreachable_server_does_not_fail_calls(relay):
    gone = relay.backend(answers())
    gone.stop()
    relay.backend(answers())
    for number in range(4):
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200


def test_503_without_not_run_header_is_not_relayed(relay):
    # A server responds 503 without the header that the call did not run. The caller would take the
    # status as proof that it did not and send a payment again.
    def responds_503(_backend, received):
        received.connection.sendall(answer(received, status="503 Service Unavailable"))

    relay.backend(responds_503)
    assert relay.call("/buy/")[0] == 502


def test_success_without_proof_of_origin_is_not_relayed(relay):
    def responds_unsigned(_backend, received):
        received.connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfake")

    relay.backend(responds_unsigned)
    assert relay.call("/buy/")[0] == 502


def test_misdirected_call_is_sent_to_another_server(relay):
    # A server has stopped and its address was reused by another one, which responds 421.
    def responds_misdirected(_backend, received):
        received.connection.sendall(
            b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n"
        )

    relay.backend(responds_misdirected)
    relay.backend(answers())
    for number in range(4):
        assert relay.call("/buy/", attempt=f"a-{number}")[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        b"this is no answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nattempt: a-1\r\nsigned: yes\r\ncontent-length: 50\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nattempt: a-1\r\nsigned: yes\r\n"
        b"transfer-encoding: chunked\r\n\r\n4\r\nab",
        b"",
    ],
)
def test_truncated_or_invalid_response_is_a_502(relay, data):
    def sends_invalid_data(_backend, received):
        received.connection.sendall(data)
        return "close"

    relay.backend(sends_invalid_data)
    status, _headers, _body = relay.call("/buy/")
    assert status == 502


def test_response_without_length_ends_with_its_connection(relay):
    def responds_without_length(_backend, received):
        received.connection.sendall(
            b"HTTP/1.1 200 OK\r\nattempt: a-1\r\nsigned: yes\r\n\r\nall of it"
        )
        return "close"

    relay.backend(responds_without_length)
    assert relay.call("/buy/")[2] == b"all of it"


def test_duplicate_response_is_not_sent_to_the_next_client(relay):
    # A server sends a response twice. The second one stays unread on the connection, and the next
    # client would get it as the response to its own call.
    def responds_twice(_backend, received):
        received.connection.sendall(answer(received, body=received.body) * 2)

    backend = relay.backend(responds_twice)
    for number in range(5):
        body = f"call {number}".encode()
        assert relay.call("/buy/", attempt=f"a-{number}", body=body)[2] == body
    assert backend.connections > 1


def test_late_response_to_an_earlier_call_is_skipped(relay):
    # The response to an earlier attempt arrives on the connection after the next call was sent.
    def responds_late_to_another(_backend, received):
        other = b"HTTP/1.1 200 OK\r\nattempt: older\r\nsigned: yes\r\ncontent-length: 3\r\n\r\nold"
        received.connection.sendall(other + answer(received, body=b"new"))

    relay.backend(responds_late_to_another)
    assert relay.call("/buy/")[2] == b"new"


def test_client_disconnect_cancels_its_call(relay):
    # The client closes its connection. If the server continued, its work would be wasted and its
    # slot missing for other calls.
    backend = relay.backend(lambda _backend, _received: eventlet.sleep(3))
    connection = relay.connect()
    connection.sendall(request("/look/", method="GET"))
    wait_until(lambda: backend.received)
    connection.close()
    started = relay.context.monotonic()
    wait_until(lambda: relay.state.calls_in_flight == 0)
    assert relay.context.monotonic() - started < 0.4


def test_unresponsive_server_is_abandoned_at_the_route_timeout(relay):
    relay.backend(lambda _backend, _received: eventlet.sleep(3))
    started = relay.context.monotonic()
    assert relay.call("/quick/", method="GET")[0] == 504
    assert 0.15 < relay.context.monotonic() - started < 0.6


def test_request_that_crashes_servers_reaches_at_most_three(relay):
    # A request crashes each server that runs it, and its client retries it as a new attempt. Unless
    # it is quarantined, it takes down all servers.
    servers = [relay.backend(closes_connection) for _ in range(8)]
    statuses = [relay.call("/buy/", attempt=f"a-{n}", body=b"bad")[0] for n in range(6)]
    assert statuses == [502, 502, 502, 503, 503, 503]
    assert sum(len(one.received) for one in servers) == 3
    assert relay.call("/buy/", attempt="b-1", body=b"good")[0] == 502


def test_calls_with_the_text_of_calls_that_one_crash_broke_are_not_refused(relay):
    # A server crashes while it runs four calls with one text. Their text is no cause: later calls
    # with it were refused at every entry for two minutes, without reaching a server.
    running = []

    def crashes(_backend, received):
        running.append(received)
        wait_until(lambda: len(running) == 4)
        return "close"

    crashed = relay.backend(crashes)
    calls = [
        eventlet.spawn(relay.call, "/buy/", attempt=f"a-{number}", body=b"template")
        for number in range(4)
    ]
    assert [call.wait()[0] for call in calls] == [502] * 4
    crashed.stop()
    relay.backend(answers())
    assert relay.call("/buy/", attempt="b-1", body=b"template")[0] == 200


def test_idempotent_call_that_may_have_run_is_not_reported_as_not_run(relay):
    # One server closes the connection after it received the call, and the only other one is full.
    # A response that the call did not run would be false, and the client may rely on it.
    broken = relay.backend(closes_connection)
    full = relay.backend(refuses)
    relay.state.chooser.refused(full.server_id, relay.context.monotonic() + 60)
    status, headers, _body = relay.call("/look/", method="GET")
    assert len(broken.received) == 1
    assert (status, "retry-after" in headers) == (502, False)


def first_never_responds(called_servers):
    """Return a script for all servers: the first call gets no response, later ones do at once."""

    def script(backend, received):
        called_servers.append(backend.server_id)
        if len(called_servers) == 1:
            eventlet.sleep(3)
            return
        answers()(backend, received)

    return script


def record_call_times(relay, route="look"):
    """Record 40 calls of ten milliseconds, so that the relay knows how long such calls take."""
    for _ in range(40):
        relay.state.chooser.run_times("desk").call_ended("i-0", route, 10.0, 0.0)


def test_idempotent_call_with_lost_response_is_sent_to_another_server(relay):
    # A server runs an idempotent call and its response is lost. The client would wait until its
    # deadline, and its whole program would fail with this one call.
    called = []
    for _ in range(3):
        relay.backend(first_never_responds(called))
    record_call_times(relay)
    started = relay.context.monotonic()
    assert relay.call("/look/", method="GET")[0] == 200
    assert relay.context.monotonic() - started < 1.0
    assert len(set(called)) == len(called) == 2


def test_non_idempotent_call_with_lost_response_is_not_retried(relay):
    # If a booking whose response is lost were sent to another server, it would be made twice.
    called = []
    for _ in range(3):
        relay.backend(first_never_responds(called))
    record_call_times(relay, "quick")
    record_call_times(relay, "buy")
    client = eventlet.spawn(relay.call, "/buy/")
    eventlet.sleep(0.5)
    client.kill()
    assert len(called) == 1


def test_slow_idempotent_calls_are_not_retried_without_retry_budget(relay):
    # Every server is overloaded and responds late; retries would double the load.
    relay.state.retry_budget.saved = 0.0
    called = []
    for _ in range(3):
        relay.backend(first_never_responds(called))
    record_call_times(relay)
    client = eventlet.spawn(relay.call, "/look/", method="GET")
    eventlet.sleep(0.5)
    client.kill()
    assert len(called) == 1
