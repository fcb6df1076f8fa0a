"""JSON over HTTP for callers, operators and probes, with graceful shutdown."""

from __future__ import annotations

import contextlib
import math
import re
import time
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
import structlog
from eventlet.green import socket

from tarragonhall_wire._guard import UNEXPECTED, attempt, report_failure
from tarragonhall_wire._http_exchange import HttpExchange, HttpRequest, HttpResponse
from tarragonhall_wire._hub import split_address
from tarragonhall_wire._inbound import Inbound, InboundClient, NoRoomError
from tarragonhall_wire._request_reader import (
    ClientGoneError,
    RequestError,
    TruncatedRequestError,
)
from tarragonhall_wire._sockets import bound_receive_buffers

log = structlog.get_logger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024
# For requests that need no body, or a short one.
SMALL_BODY_BYTES = 4 * 1024
# Connections that are accepted before other green threads get their turn.
ACCEPTS_PER_TURN = 16
BACKLOG = 1_024
MIN_TRACKED = 64
# How long a stop waits for open connections: a request in flight arrives within a round trip.
LINGER_SECONDS = 1.0
LINGER_POLL_SECONDS = 0.02
# Delay after a failed accept, for example when out of file descriptors, before the next one.
ACCEPT_PAUSE_SECONDS = 0.1
STATUS_TIMEOUT, STATUS_UNAVAILABLE = 408, 503


@dataclass(slots=True, frozen=True)
class Route:
    """A handler for one method and path; see `HttpServer.route`."""

    method: str
    expression: re.Pattern[str]
    handler: Callable[[HttpRequest], HttpResponse]
    max_body_bytes: int
    screen: Callable[[HttpRequest], None] | None


class HttpServer:
    """Serves routes on one address until it is stopped.

    `inbound` is the room that the clients of all servers of a process share. `unread_execution` is
    what the refusal of a request that was not read whole says of its execution: a request may be a
    copy of one that runs.
    """

    __slots__ = (
        "_accepted",
        "_exchanges",
        "_finished",
        "_inbound",
        "_listener",
        "_on_error",
        "_routes",
        "_unread_execution",
        "draining",
    )

    def __init__(
        self,
        address: str,
        on_error: Callable[[Exception], HttpResponse],
        inbound: Inbound | None = None,
        unread_execution: str = "not_run",
    ) -> None:
        self._routes: list[Route] = []
        self._on_error = on_error
        self._inbound = inbound or Inbound()
        self._unread_execution = unread_execution
        listener = eventlet.listen(split_address(address), backlog=BACKLOG, reuse_port=False)
        bound_receive_buffers(listener)
        self._listener = _StoppableListener(listener)
        self._exchanges: set[HttpExchange] = set()
        self._finished = eventlet.event.Event()
        self._accepted = 0
        self.draining = False

    @property
    def port(self) -> int:
        """Return the port listened on, for an address whose port was 0."""
        return self._listener.getsockname()[1]

    def route(
        self,
        method: str,
        pattern: str,
        handler: Callable[[HttpRequest], HttpResponse],
        max_body_bytes: int | None = None,
        screen: Callable[[HttpRequest], None] | None = None,
    ) -> None:
        """Register a handler for paths like `/v1/programs/{program_id}`.

        By default, bodies of GET and DELETE may have `SMALL_BODY_BYTES`, and others
        `MAX_BODY_BYTES`. `screen` is asked about a request whose body is still to be read: it may
        let the request join a group, or raise the error that answers it.
        """
        if max_body_bytes is None:
            max_body_bytes = MAX_BODY_BYTES if method in ("POST", "PUT") else SMALL_BODY_BYTES
        expression = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern))
        self._routes.append(Route(method, expression, handler, max_body_bytes, screen))

    def start(self) -> None:
        """Start serving in a green thread."""
        eventlet.spawn_n(self._serve)

    def drain(self) -> None:
        """Close each connection after its next response, so that clients reconnect elsewhere."""
        self.draining = True

    def stop(self, timeout_s: float) -> bool:
        """Stop accepting, finish all requests in flight; return whether all ended in time."""
        self.draining = True
        self._listener.stop()
        with eventlet.Timeout(timeout_s, False):
            self._finished.wait()
            return True
        return False

    def _serve(self) -> None:
        try:
            with contextlib.suppress(ListenerStoppedError):
                while True:
                    attempt(self._admit, *self._listener.accept())
            for exchange in self._exchanges:
                exchange.close_if_idle()
            while self._exchanges:
                eventlet.sleep(LINGER_POLL_SECONDS)
        finally:
            self._finished.send(None)

    def _admit(self, connection, address: tuple[str, int]) -> None:
        """Serve a connection, or close it unread if there is no room for it."""
        try:
            client = self._inbound.open(address[0])
        except NoRoomError:
            connection.close()
            return
        eventlet.spawn_n(self._serve_connection, connection, client)
        self._accepted += 1
        if self._accepted % ACCEPTS_PER_TURN == 0:
            eventlet.sleep(0)

    def _serve_connection(self, connection, client: InboundClient) -> None:
        exchange = HttpExchange(connection, client)
        self._exchanges.add(exchange)
        lingers = False
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            lingers = self._serve_requests(exchange)
        except (ClientGoneError, NoRoomError, OSError) as error:
            log.debug("http.client_gone", error=str(error))
        except UNEXPECTED:
            report_failure("HttpServer.serve")
        finally:
            self._exchanges.discard(exchange)
            exchange.close(lingers)
            client.close()

    def _serve_requests(self, exchange: HttpExchange) -> bool:
        """Serve requests until the connection ends; return whether to linger at its close."""
        while True:
            try:
                response = self._next_response(exchange)
            except TruncatedRequestError:
                error = RequestError(400, "the connection ended in the middle of the request")
                response = self._refusal(exchange, error)
            except RequestError as error:
                response = self._refusal(exchange, error)
            if response is None:
                return False
            if not exchange.respond(response, self.draining):
                return True

    def _refusal(self, exchange: HttpExchange, error: RequestError) -> HttpResponse:
        """Drop a request that cannot be read whole; return its response, the last one."""
        log.info("http.bad_request", status=error.status, reason=str(error))
        exchange.drop()
        return self._error_response(error)

    def _next_response(self, exchange: HttpExchange) -> HttpResponse | None:
        """Read the next request and handle it; return None at the end of the connection."""
        request = exchange.read_head()
        if request is None:
            return None
        route = self._find_route(request)
        if isinstance(route, HttpResponse):
            exchange.skip_body(SMALL_BODY_BYTES)
            return route
        if not exchange.begin_body(route.max_body_bytes) and route.screen is not None:
            try:
                route.screen(request)
            except RequestError:
                raise
            except Exception as error:  # noqa: BLE001 - every error becomes a response
                exchange.drop()
                return self._on_error(error)
        request.body = exchange.read_body()
        try:
            return route.handler(request)
        except RequestError:
            raise
        except Exception as error:  # noqa: BLE001 - every error becomes a response
            return self._on_error(error)

    def _find_route(self, request: HttpRequest) -> Route | HttpResponse:
        """Return the route of a request and set its parameters, or the response if it has none."""
        allowed = []
        for route in self._routes:
            match = route.expression.fullmatch(request.path)
            if match is None:
                continue
            if route.method != request.method:
                allowed.append(route.method)
                continue
            request.path_params = match.groupdict()
            return route
        if allowed:
            error = {"error": "method_not_allowed", "message": f"allowed: {', '.join(allowed)}"}
            return HttpResponse(405, error | {"execution": "not_run"})
        error = {"error": "not_found", "message": f"no such path {request.path}"}
        return HttpResponse(404, error | {"execution": "not_run"})

    def _error_response(self, error: RequestError) -> HttpResponse:
        is_unread = error.status in (STATUS_TIMEOUT, STATUS_UNAVAILABLE)
        value: dict[str, object] = {
            "error": error.code,
            "message": str(error),
            "execution": self._unread_execution if is_unread else "not_run",
            "findings": [{"place": "", "message": str(error)}],
        }
        headers = {}
        if error.retry_after_s is not None:
            value["retry_after_ms"] = int(error.retry_after_s * 1000)
            headers["Retry-After"] = str(math.ceil(error.retry_after_s))
        return HttpResponse(error.status, value, headers=headers)


class _StoppableListener:
    """A listening socket whose `accept` ends the server after `stop`, once the backlog is empty.

    Clients whose connections the kernel has already completed expect to be served, and so do those
    whose request on an open connection has not been read yet. The server would reset both kinds as
    idle. So the backlog is accepted first, and open connections get a short time for the response
    that closes them.
    """

    __slots__ = ("_connections", "_deadline", "_prune_at", "_socket", "_stopping", "_waiter")

    def __init__(self, listening_socket) -> None:
        self._socket = listening_socket
        self._deadline = 0.0
        self._connections: list = []
        # Closed connections are removed once there are so many, not at each new one.
        self._prune_at = MIN_TRACKED
        self._stopping = False
        self._waiter = None

    def stop(self) -> None:
        """Make `accept` return the backlog and then end the server."""
        self._stopping = True
        self._deadline = time.monotonic() + LINGER_SECONDS
        # Thrown from the event loop: if thrown from here, this thread would never be resumed.
        eventlet.hubs.get_hub().schedule_call_global(0, self._interrupt)

    def _interrupt(self) -> None:
        # A new connection may have ended the wait after the stop was requested.
        if self._waiter is not None:
            self._waiter.throw(_Stop)

    def accept(self):
        if self._stopping:
            return self._accept_from_backlog()
        self._waiter = eventlet.getcurrent()
        try:
            while True:
                accepted = self._try_accept()
                if accepted is not None:
                    return self._track(accepted)
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
        except _Stop:
            return self._accept_from_backlog()
        finally:
            self._waiter = None

    def _try_accept(self):
        """Return the next connection, None if it cannot be accepted.

        The server would end at an error: one moment without free descriptors would close the API.
        """
        try:
            return self._socket.accept()
        except _Stop:
            raise
        except OSError as error:
            log.warning("http.accept_failed", error=str(error))
        except UNEXPECTED:
            report_failure("HttpServer.accept")
        return None

    def _accept_from_backlog(self):
        # The deadline counts from the stop: load balancers keep probing, so a deadline after the
        # last connection would never pass. With a timeout of zero, eventlet's socket would return
        # plain blocking connections, and an idle one of these would block the whole process.
        self._socket.settimeout(LINGER_POLL_SECONDS)
        while True:
            with contextlib.suppress(BlockingIOError, TimeoutError):
                return self._track(self._socket.accept())
            self._remove_closed()
            if not self._connections or time.monotonic() > self._deadline:
                self._socket.close()
                # Let the requests of new connections be read before idle connections are closed.
                eventlet.sleep(LINGER_POLL_SECONDS)
                raise ListenerStoppedError

    def _track(self, accepted):
        self._connections.append(accepted[0])
        if len(self._connections) >= self._prune_at:
            self._remove_closed()
            self._prune_at = max(MIN_TRACKED, 2 * len(self._connections))
        return accepted

    def _remove_closed(self) -> None:
        self._connections = [
            connection for connection in self._connections if connection.fileno() >= 0
        ]

    def __getattr__(self, name: str):
        return getattr(self._socket, name)


class ListenerStoppedError(Exception):
    """The listener was stopped, and all connections of its backlog are accepted."""


class _Stop(Exception):  # noqa: N818 - a signal between green threads, not an error
    pass
