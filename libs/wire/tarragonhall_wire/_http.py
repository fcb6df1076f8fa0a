"""JSON over HTTP for callers and operators, on eventlet's WSGI server, with a graceful stop."""

from __future__ import annotations

import contextlib
import json
import re
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import eventlet
import structlog
from eventlet import wsgi
from tarragonhall_model import Finding, InputError, parse_json

from tarragonhall_wire._hub import split_address

log = structlog.get_logger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024
# A connection that sends nothing for this long holds a green thread for no one.
IDLE_SECONDS = 75
BACKLOG = 1_024
# A client that got no response yet has its request under way; it needs a round trip, not a minute.
LINGER_SECONDS = 1.0
LINGER_POLL_SECONDS = 0.02
STATUS_TEXT_BY_CODE = {
    200: "OK", 201: "Created", 202: "Accepted", 400: "Bad Request", 401: "Unauthorized",
    403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
    410: "Gone", 413: "Content Too Large", 422: "Unprocessable Content", 429: "Too Many Requests",
    500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable",
    504: "Gateway Timeout",
}  # fmt: skip


@dataclass(slots=True)
class HttpRequest:
    """One request; `parts` are the groups that the route matched in the path."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    parts: dict[str, str] = field(default_factory=dict)

    def bearer(self) -> str | None:
        """Return the bearer credential, if there is one."""
        scheme, _, credential = self.headers.get("authorization", "").partition(" ")
        return credential.strip() if scheme.lower() == "bearer" and credential.strip() else None

    def json(self) -> dict:
        """Return the body as a JSON object; raise `InputError` where it is none."""
        if not self.body:
            return {}
        value = parse_json(self.body)
        if not isinstance(value, dict):
            raise InputError([Finding("", "expected a JSON object")])
        return value


@dataclass(slots=True)
class HttpResponse:
    """One response: a JSON value, plain text, or an iterator of server-sent events."""

    status: int
    value: object = None
    events: Iterator[bytes] | None = None
    text: str | None = None
    headers: dict[str, str] = field(default_factory=dict)


Route = tuple[str, re.Pattern[str], Callable[[HttpRequest], HttpResponse]]


def sse_event(kind: str, value: object) -> bytes:
    """Encode one server-sent event."""
    return f"event: {kind}\ndata: {json.dumps(value, separators=(',', ':'))}\n\n".encode()


class HttpServer:
    """Serves routes on one address until told to stop."""

    __slots__ = ("_finished", "_listener", "_on_error", "_routes", "draining")

    def __init__(self, address: str, on_error: Callable[[Exception], HttpResponse]) -> None:
        self._routes: list[Route] = []
        self._on_error = on_error
        self._listener = _StoppableListener(
            eventlet.listen(split_address(address), backlog=BACKLOG, reuse_port=False)
        )
        self._finished = eventlet.event.Event()
        self.draining = False

    @property
    def port(self) -> int:
        """Return the port listened on, for an address whose port was 0."""
        return self._listener.getsockname()[1]

    def route(self, method: str, pattern: str, handler: Callable) -> None:
        """Serve paths like `/v1/programs/{program_id}` with a handler."""
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(expression), handler))

    def start(self) -> None:
        """Begin to serve in a green thread."""
        eventlet.spawn_n(self._serve)

    def drain(self) -> None:
        """Close each connection after its next response, so that clients go elsewhere."""
        self.draining = True

    def stop(self, timeout_s: float) -> bool:
        """Stop accepting, finish every request at hand; return whether all ended in time."""
        self.draining = True
        self._listener.stop()
        with eventlet.Timeout(timeout_s, False):
            self._finished.wait()
            return True
        return False

    def _serve(self) -> None:
        try:
            wsgi.server(
                self._listener,
                self._application,
                log_output=False,
                debug=False,
                keepalive=True,
                socket_timeout=IDLE_SECONDS,
                max_size=10_000,
            )
        finally:
            self._finished.send(None)

    def _application(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            response = self._respond(environ)
        except Exception as error:  # noqa: BLE001 - every error becomes a response
            response = self._on_error(error)
        headers = list(response.headers.items())
        if self.draining:
            headers.append(("Connection", "close"))
        status = f"{response.status} {STATUS_TEXT_BY_CODE[response.status]}"
        if response.events is not None:
            # Without this, eventlet gathers small events up to 4,096 bytes before it writes.
            environ["eventlet.minimum_write_chunk_size"] = 0
            headers += [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
            start_response(status, headers)
            return response.events
        if response.text is not None:
            body = response.text.encode()
            headers += [("Content-Type", "text/plain; version=0.0.4; charset=utf-8")]
        else:
            body = json.dumps(response.value, separators=(",", ":")).encode()
            headers += [("Content-Type", "application/json")]
        headers += [("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def _respond(self, environ: dict) -> HttpResponse:
        request = _read_request(environ)
        allowed = []
        for method, expression, handler in self._routes:
            match = expression.fullmatch(request.path)
            if match is None:
                continue
            if method != request.method:
                allowed.append(method)
                continue
            request.parts = match.groupdict()
            return handler(request)
        if allowed:
            error = {"error": "method_not_allowed", "message": f"allowed: {', '.join(allowed)}"}
            return HttpResponse(405, error | {"execution": "not_run"})
        error = {"error": "not_found", "message": f"no such path {request.path}"}
        return HttpResponse(404, error | {"execution": "not_run"})


def _read_request(environ: dict) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length_text = environ.get("CONTENT_LENGTH") or "0"
    if not length_text.isdigit():
        raise InputError([Finding("Content-Length", "expected a whole number")])
    if int(length_text) > MAX_BODY_BYTES:
        raise InputError([Finding("", f"body is longer than {MAX_BODY_BYTES} bytes")])
    chunked = headers.get("transfer-encoding", "").lower() == "chunked"
    limit = MAX_BODY_BYTES + 1 if chunked else int(length_text)
    body = environ["wsgi.input"].read(limit) if limit else b""
    if len(body) > MAX_BODY_BYTES:
        raise InputError([Finding("", f"body is longer than {MAX_BODY_BYTES} bytes")])
    if not chunked and len(body) < int(length_text):
        raise InputError([Finding("", "body is shorter than Content-Length")])
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
    )


class _StoppableListener:
    """A listening socket whose `accept` ends the server once told to, but not before.

    Clients whose connections the kernel already completed believe that they are served, and so do
    those that have sent a request on an open connection which nobody has read yet. The server
    would reset both, as idle. So the backlog is emptied first, and open connections get a moment
    for the response that asks them to close.
    """

    __slots__ = ("_deadline", "_open", "_socket", "_stopping", "_waiter")

    def __init__(self, listening_socket) -> None:
        self._socket = listening_socket
        self._deadline = 0.0
        self._open: list = []
        self._stopping = False
        self._waiter = None

    def stop(self) -> None:
        """Make `accept` give out the backlog and then end the server."""
        self._stopping = True
        self._deadline = time.monotonic() + LINGER_SECONDS
        # Thrown from the loop itself: thrown from here, this thread would never go on.
        eventlet.hubs.get_hub().schedule_call_global(0, self._interrupt)

    def _interrupt(self) -> None:
        # A connection may have ended the wait since the stop was asked for.
        if self._waiter is not None:
            self._waiter.throw(_Stop)

    def accept(self):
        if self._stopping:
            return self._accept_from_backlog()
        self._waiter = eventlet.getcurrent()
        try:
            return self._keep(self._socket.accept())
        except _Stop:
            return self._accept_from_backlog()
        finally:
            self._waiter = None

    def _accept_from_backlog(self):
        # The deadline counts from the stop: balancers go on probing, and counted from the last
        # connection it would never come. A timeout of zero would make eventlet's socket give out
        # plain blocking connections, and an idle one of these stops the whole process.
        self._socket.settimeout(LINGER_POLL_SECONDS)
        while True:
            with contextlib.suppress(BlockingIOError, TimeoutError):
                return self._keep(self._socket.accept())
            self._forget_closed()
            if not self._open or time.monotonic() > self._deadline:
                self._socket.close()
                # Connections accepted just now get their requests read before the idle are closed.
                eventlet.sleep(LINGER_POLL_SECONDS)
                raise SystemExit

    def _keep(self, accepted):
        self._forget_closed()
        self._open.append(accepted[0])
        return accepted

    def _forget_closed(self) -> None:
        self._open = [connection for connection in self._open if connection.fileno() >= 0]

    def __getattr__(self, name: str):
        return getattr(self._socket, name)


class _Stop(Exception):  # noqa: N818 - a signal between green threads, not an error
    pass
