from __future__ import annotations

import contextlib
import json

import eventlet
import pytest
import urllib3
from eventlet.green import socket
from tarragonhall_fakes import free_address
from tarragonhall_model import InputError
from tarragonhall_wire import HttpResponse, HttpServer, sse_event


def on_error(error: Exception) -> HttpResponse:
    if isinstance(error, InputError):
        return HttpResponse(400, {"findings": [str(finding) for finding in error.findings]})
    return HttpResponse(500, {"message": str(error)})


@pytest.fixture
def server():
    made = HttpServer("127.0.0.1:0", on_error)
    made.route("GET", "/items/{name}", lambda request: HttpResponse(200, request.parts))
    made.route("POST", "/echo", lambda request: HttpResponse(200, request.json()))
    made.route("GET", "/slow", slow)
    made.start()
    yield made
    made.stop(0.1)


def slow(_request) -> HttpResponse:
    eventlet.sleep(0.3)
    return HttpResponse(200, "slow")


def raw_exchange(server: HttpServer, data: bytes) -> bytes:
    connection = socket.create_connection(("127.0.0.1", server.port))
    connection.sendall(data)
    connection.shutdown(socket.SHUT_WR)
    received = b""
    while True:
        part = connection.recv(65_536)
        if not part:
            return received
        received += part


def test_routes_give_the_parts_of_the_path(server):
    response = urllib3.request("GET", f"http://127.0.0.1:{server.port}/items/a-1")
    assert response.json() == {"name": "a-1"}


@pytest.mark.parametrize(
    ("method", "path", "status"), [("GET", "/none", 404), ("DELETE", "/echo", 405)]
)
def test_what_no_route_takes_is_refused(server, method, path, status):
    response = urllib3.request(method, f"http://127.0.0.1:{server.port}{path}", retries=False)
    assert response.status == status


@pytest.mark.parametrize("body", [b"{", b"[1]", b"\xff\xfe", b"[" * 100_000])
def test_a_body_that_is_no_json_object_is_refused_with_a_finding(server, body):
    response = urllib3.request("POST", f"http://127.0.0.1:{server.port}/echo", body=body)
    assert response.status == 400
    assert response.json()["findings"]


def test_a_body_shorter_than_its_length_is_refused(server):
    # The caller's connection breaks in the middle of its body. Half a call must not run.
    request = b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n{}"
    assert b" 400 " in raw_exchange(server, request).split(b"\r\n")[0]


def test_events_arrive_one_by_one(server):
    # The server library gathers small chunks; a stream of tokens would arrive whole at its end.
    gate = eventlet.event.Event()

    def events():
        yield sse_event("chunk", {"text": "a"})
        gate.wait()
        yield sse_event("end", {"text": "b"})

    server.route("GET", "/stream", lambda _request: HttpResponse(200, events=events()))
    response = urllib3.request(
        "GET", f"http://127.0.0.1:{server.port}/stream", preload_content=False
    )
    with eventlet.Timeout(2):
        first = response.read1()
    assert b'data: {"text":"a"}' in first
    gate.send(None)
    assert b'data: {"text":"b"}' in response.read()


def test_a_stop_finishes_the_request_at_hand(server):
    # The instance is replaced while a caller waits for its answer. Closing the connection would
    # lose an answer that is nearly there.
    asked = eventlet.spawn(urllib3.request, "GET", f"http://127.0.0.1:{server.port}/slow")
    eventlet.sleep(0.1)
    assert server.stop(3)
    assert asked.wait().json() == "slow"


def test_a_stop_serves_the_connections_that_the_kernel_had_accepted(server):
    # Connections wait in the accept backlog when the stop begins. Their callers believe that they
    # are served; closing the listener would reset them.
    connections = [socket.create_connection(("127.0.0.1", server.port)) for _ in range(20)]
    for connection in connections:
        connection.sendall(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
    assert server.stop(5)
    answers = [connection.recv(65_536) for connection in connections]
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


def test_a_stop_ends_although_a_balancer_goes_on_probing(server):
    # A balancer probes the instance several times a second on new connections, and a client keeps
    # one open. The stop must not wait for a pause between the probes: there is none.
    idle = socket.create_connection(("127.0.0.1", server.port))

    def probe() -> None:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            while True:
                urllib3.request("GET", f"http://127.0.0.1:{server.port}/items/a", retries=False)
                eventlet.sleep(0.05)

    probing = eventlet.spawn(probe)
    eventlet.sleep(0.1)
    assert server.stop(3)
    probing.kill()
    idle.close()


def test_while_draining_each_response_asks_to_close_the_connection(server):
    server.drain()
    response = urllib3.request("GET", f"http://127.0.0.1:{server.port}/items/a")
    assert response.headers["Connection"] == "close"


def test_a_kept_open_connection_is_served_once_more_during_the_drain(server):
    # A client keeps its connection open between calls and sends the next one after the drain has
    # begun. It is answered, and told to close.
    pool = urllib3.HTTPConnectionPool("127.0.0.1", server.port, maxsize=1)
    assert pool.request("GET", "/items/a").status == 200
    server.drain()
    response = pool.request("GET", "/items/b")
    assert (response.status, response.headers["Connection"]) == (200, "close")


def test_an_error_of_a_handler_becomes_a_response(server):
    def broken(_request):
        raise RuntimeError("no")

    server.route("GET", "/broken", broken)
    response = urllib3.request("GET", f"http://127.0.0.1:{server.port}/broken", retries=False)
    assert (response.status, json.loads(response.data)) == (500, {"message": "no"})


def test_a_second_server_on_the_same_address_is_refused():
    # Two daemons are started on one settings file. If both listened, callers would reach either,
    # and a drain of one would look as if nothing had happened.
    address = free_address()
    first = HttpServer(address, on_error)
    with pytest.raises(OSError, match="in use"):
        HttpServer(address, on_error)
    first.start()
    first.stop(1)
