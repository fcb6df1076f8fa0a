"""Members that close the connection in the middle of their response to an operator's command."""

from __future__ import annotations

import socketserver
import threading

import pytest
from tarragonhall_cli._client import AdminClient
from tarragonhall_cli._errors import UnreachableError
from tarragonhall_cli._profiles import Profile

PLAIN = b'HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"version":7}'
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nd\r\n{"version":7}\r\n0\r\n\r\n'


@pytest.fixture
def member():
    """A member that sends what its `response` holds on each connection, and closes it."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self) -> None:
            self.request.recv(65_536)
            self.request.sendall(self.server.response)

    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler) as server:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield server
        server.shutdown()


@pytest.mark.parametrize("response", [PLAIN, CHUNKED], ids=["plain", "chunked"])
def test_response_cut_at_any_byte_is_no_acceptance(member, response):
    # A member stopped in the middle of its head, and the command reported the change as accepted.
    profile = Profile([f"127.0.0.1:{member.server_address[1]}"], "tho_x")
    client = AdminClient(profile, retry_seconds=0.0)
    for size in range(len(response)):
        member.response = response[:size]
        with pytest.raises(UnreachableError):
            client.post("settings", {})
    member.response = response
    assert client.post("settings", {}) == {"version": 7}
