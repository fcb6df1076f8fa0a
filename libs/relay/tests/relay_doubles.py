"""Test doubles: a relay on loopback with scripted backend servers and a scripted turn store."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import dataclasses  # noqa: E402

from eventlet.green import socket  # noqa: E402
from tarragonhall_decisions import Features  # noqa: E402
from tarragonhall_fakes import free_address  # noqa: E402
from tarragonhall_model import (  # noqa: E402
    BackendRecord,
    BudgetSpent,
    CallType,
    RelayConfig,
    RelayOrganisation,
    Route,
    Service,
    UnknownTurn,
    WeightedService,
)
from tarragonhall_relay import (  # noqa: E402
    CallFacts,
    RelayRole,
    RelaySettings,
    ResponseFacts,
)
from tarragonhall_relay._routes import RouteTable  # noqa: E402
from tarragonhall_relay._turn_store import OpenTurn  # noqa: E402
from tarragonhall_wire import (  # noqa: E402
    ControlClient,
    UnavailableError,
    make_context,
    make_metrics,
)

WAIT_SECONDS = 5.0
KEY = "key-1"
HEALTH_PATH = "/health"
LAST_EVENT = b"last-event-id"
NO_FEATURES = Features()


def wait_until(condition, seconds: float = WAIT_SECONDS) -> None:
    """Wait for a condition; raise a timeout error after `seconds`."""
    with eventlet.Timeout(seconds):
        while not condition():
            eventlet.sleep(0.005)


class PlainDialect:
    """Dialect with short header names for tests."""

    def read_call(self, headers):
        by_name = {name: value.decode() for name, value in headers}
        budget = by_name.get(b"budget")
        return CallFacts(
            attempt_id=by_name.get(b"attempt", ""),
            deadline_ms=int(by_name.get(b"deadline", "5000")),
            key=by_name.get(b"key"),
            program_id=by_name.get(b"program", ""),
            token_budget=int(budget) if budget else None,
            max_tokens=int(by_name.get(b"most", "0")),
            previous_turn=by_name.get(b"previous"),
            program_deadline_ms=int(by_name[b"left"]) if b"left" in by_name else None,
            last_event_id=int(by_name[LAST_EVENT]) if LAST_EVENT in by_name else None,
            object_key=by_name.get(b"object", ""),
            prompt_tokens=int(by_name.get(b"prompt", "0")),
        )

    def write_call(self, headers, dispatch):
        written = [(name, value) for name, value in headers if name not in (b"key", b"deadline")]
        written.append((b"expect", dispatch.server_id.encode()))
        written.append((b"deadline", str(dispatch.deadline_ms).encode()))
        if dispatch.org_id is not None:
            written.append((b"org", dispatch.org_id.encode()))
        if dispatch.last_event_id is not None:
            written = [(name, value) for name, value in written if name != LAST_EVENT]
            written.append((LAST_EVENT, str(dispatch.last_event_id).encode()))
        return written

    def read_response(self, headers):
        by_name = dict(headers)
        attempt = by_name.get(b"attempt")
        return ResponseFacts(
            attempt.decode() if attempt is not None else None,
            b"not-run" in by_name,
            b"signed" in by_name,
            5.0,
        )


class ScriptedTurnStore:
    """Turn store whose results the test sets; it records what it was sent."""

    def __init__(self) -> None:
        self.history = b""
        self.reserve_result = None
        self.fail_persist = False
        self.reserved = []
        self.persisted = []
        self.released = []
        self.closed = 0
        self.on_persist = lambda: None

    def reserve(self, key, _timeout_s):
        self.reserved.append(key)
        if isinstance(self.reserve_result, BudgetSpent | UnknownTurn):
            return self.reserve_result
        if self.reserve_result is not None:
            raise self.reserve_result
        return OpenTurn(key, (self.history,), "")

    def persist(self, turn, body, output, used, server_id):
        self.on_persist()
        if self.fail_persist:
            raise UnavailableError("no leader")
        self.persisted.append((turn.key.attempt_id, body, output, used, server_id))

    def close(self, turn):
        self.closed += 1

    def release(self, key, used):
        self.released.append((key.attempt_id, used))


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request that a backend server has received."""

    head: bytes
    body: bytes
    connection: object

    def header(self, name: str) -> str | None:
        for line in self.head.decode("latin-1").split("\r\n")[1:]:
            header_name, _, value = line.partition(":")
            if header_name.strip().lower() == name:
                return value.strip()
        return None


class Backend:
    """A backend server that runs a script for each request; `"close"` closes the connection."""

    def __init__(self, server_id: str, script) -> None:
        self.server_id = server_id
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.closed = 0
        self.connections = 0
        self.address = free_address()
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)))
        self._acceptor = eventlet.spawn(self._accept)

    def record(self) -> BackendRecord:
        return BackendRecord(self.server_id, "desk", self.address, "zona-a", 6, 1, 1)

    def stop(self) -> None:
        self._acceptor.kill()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            connection, _address = self._listener.accept()
            self.connections += 1
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection) -> None:
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = connection.recv(65_536)
                    if not data:
                        self.closed += 1
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                request = ReceivedRequest(head, b"", connection)
                length = int(request.header("content-length") or 0)
                while len(buffer) < length:
                    buffer += connection.recv(65_536)
                request.body, buffer = buffer[:length], buffer[length:]
                self.received.append(request)
                if self.script(self, request) == "close":
                    connection.close()
                    return
        except OSError:
            self.closed += 1


def answer(
    request: ReceivedRequest, body: bytes = b"done", status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return a complete signed response to a request."""
    attempt = request.header("attempt")
    head = f"HTTP/1.1 {status}\r\nattempt: {attempt}\r\nsigned: yes\r\n{extra}"
    return head.encode() + f"content-length: {len(body)}\r\n\r\n".encode() + body


def event(number: int, data: str = "word") -> bytes:
    return f"id: {number}\ndata: {data}\n\n".encode()


def stream(request: ReceivedRequest, *events: bytes, end: bool = True) -> bytes:
    """Return a chunked stream response, complete or without its last chunk."""
    head = f"HTTP/1.1 200 OK\r\nattempt: {request.header('attempt')}\r\nsigned: yes\r\n"
    data = head.encode() + b"transfer-encoding: chunked\r\n\r\n"
    for one in events:
        data += f"{len(one):x}\r\n".encode() + one + b"\r\n"
    return data + (b"0\r\n\r\n" if end else b"")


def answers(**options):
    """Return a script that sends a complete response to each request."""

    def script(_backend, request):
        request.connection.sendall(answer(request, **options))

    return script


ROUTES = (
    Route("look", "shop", "/look/", CallType.IDEMPOTENT, (), 3_000, max_attempts=2),
    Route("buy", "shop", "/buy/", CallType.NON_IDEMPOTENT, (), 3_000),
    Route("quick", "shop", "/quick/", CallType.IDEMPOTENT, (), 200),
    Route("talk", "shop", "/talk/", CallType.STREAMING, (), 3_000, retained=True, retention_s=60.0),
    Route("book", "shop", "/book/", CallType.NON_IDEMPOTENT, (), 3_000, affinity=True),
    Route("tell", "shop", "/tell/", CallType.STREAMING, (), 3_000, retention_s=60.0),
    Route(
        "play",
        "shop",
        "/play/",
        CallType.STREAMING,
        (),
        3_000,
        objective_ms=100,
        resumable=True,
        gap_objective_ms=100,
    ),
    Route(
        "pair",
        "shop",
        "/pair/",
        CallType.STREAMING,
        (),
        3_000,
        objective_ms=100,
        max_attempts=2,
        resumable=True,
        gap_objective_ms=100,
    ),
)


class Relay:
    """A relay with its backend servers, and calls of clients to it."""

    def __init__(self, features: Features = NO_FEATURES) -> None:
        context = make_context(
            "entry-1", "zona-a", free_address(), [], b"secret", make_metrics(None, 0, "entry-1")
        )
        self.context = context
        self.address = free_address()
        self.role = RelayRole(
            RelaySettings(self.address, features=features),
            context,
            ControlClient(context),
            PlainDialect(),
        )
        self.state = self.role.state
        self.turn_store = ScriptedTurnStore()
        self.state.turn_store = self.turn_store
        self.fresh = True
        self.state.is_fresh = lambda: self.fresh
        self.configure()
        self.backends: list[Backend] = []
        self.role.start()

    def configure(self, timeout_ms: int = 0, **options) -> None:
        """Put a document in force; with `timeout_ms`, all its routes have this timeout."""
        weighted = (WeightedService("desk", 1.0),)
        routes = tuple(
            dataclasses.replace(route, services=weighted, timeout_ms=timeout_ms or route.timeout_ms)
            for route in ROUTES
        )
        organisations = (RelayOrganisation("org-1", (KEY,)),)
        services = (Service("desk", HEALTH_PATH),)
        config = RelayConfig(1, routes, services, organisations=organisations, **options)
        self.state.table = RouteTable(config)

    def backend(self, script, server_id: str = "") -> Backend:
        backend = Backend(server_id or f"i-{len(self.backends)}", script)
        self.backends.append(backend)
        records = [one.record() for one in self.backends]
        self.state.chooser.set_servers(records, self.state.monotonic())
        return backend

    def connect(self):
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)))

    def raw(self, data: bytes, seconds: float = WAIT_SECONDS) -> bytes:
        """Send bytes on a new connection and return all that is received until it closes."""
        connection = self.connect()
        connection.sendall(data)
        return read_all(connection, seconds)

    def call(
        self, path: str, attempt: str = "a-1", body: bytes = b"", method: str = "POST", **headers
    ) -> tuple[int, dict[str, str], bytes]:
        """Make one call on a new connection; the body is None if the response is incomplete."""
        return parse(self.raw(request(path, attempt, body, method, **headers)))

    def stop(self) -> None:
        self.role.stop()
        self.context.hub.stop()
        for one in self.backends:
            one.stop()


def request(path, attempt="a-1", body=b"", method="POST", close=True, **headers) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "host: shop", f"attempt: {attempt}"]
    lines += [f"{name}: {value}" for name, value in ({"key": KEY} | headers).items()]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    if close:
        lines.append("connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_all(connection, seconds: float = WAIT_SECONDS) -> bytes:
    data = b""
    with eventlet.Timeout(seconds):
        while True:
            try:
                part = connection.recv(65_536)
            except OSError:
                return data
            if not part:
                return data
            data += part


def parse(data: bytes) -> tuple[int, dict[str, str], bytes | None]:
    """Return status, headers and body of one response; the body is None if it is incomplete."""
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1]) if lines[0] else 0
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        return status, headers, _dechunk(rest)
    complete = len(rest) == int(headers.get("content-length", 0))
    return status, headers, rest if complete else None


def _dechunk(data: bytes) -> bytes | None:
    body = b""
    while True:
        size, separator, data = data.partition(b"\r\n")
        if not separator:
            return None
        length = int(size, 16)
        if length == 0:
            return body
        body += data[:length]
        data = data[length + 2 :]


def full_until(relay: Relay, free_at: float):
    """Return a script that refuses until `free_at` (monotonic seconds) and responds after."""

    def script(backend, received):
        if relay.context.monotonic() < free_at:
            refuses(backend, received)
        else:
            received.connection.sendall(answer(received))

    return script


def refuses(_backend, received):
    """Respond that the call was not run, as a full server does."""
    received.connection.sendall(
        b"HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
    )
