"""HTTP client of the backend server: runs, probes, cache listings and orders.

Every run opens its own connection. A middlebox may have dropped the state of an idle keep-alive
connection; a call sent on it is lost, and whether it took effect cannot be determined. A new
connection that is refused proves that nothing was sent.
"""

from __future__ import annotations

import http
import http.client
import json
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
import urllib3
from tarragonhall_model import (
    Answer,
    AttemptOutcome,
    CallKind,
    Dispatch,
    EngineOrder,
    TarragonhallError,
    WholeResponse,
)
from tarragonhall_wire import report_resets
from urllib3.connection import HTTPConnection

from tarragonhall_sidecar._answers import AnswerError, AnswerStream
from tarragonhall_sidecar._events import ConnectionLost, ProbeResult, RunFinished
from tarragonhall_sidecar._reconcile import Listing

ATTEMPT_HEADER = "X-Attempt-Id"
CONNECT_TIMEOUT_SECONDS = 2.0
# For probes, listings and cancels, which a healthy server answers between two tokens.
CONTROL_TIMEOUT_SECONDS = 2.0
# The engine answers only after it has loaded the model's weights.
ORDER_TIMEOUT_SECONDS = 120.0
# Tokens within this interval share one message: a reader sees no difference, and the link carries
# fewer messages.
CHUNK_INTERVAL_SECONDS = 0.02
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Bytes of a whole response with its head and framing; informational responses, chunk extensions and
# trailers may come without end.
MAX_RESPONSE_BYTES = 4 * MAX_ANSWER_BYTES
MAX_CONTROL_BYTES = MAX_ANSWER_BYTES
MAX_PROBE_BYTES = 64 * 1024
MAX_TRAILER_BYTES = 64 * 1024
# Informational responses before the response. Servers send one or two.
MAX_INFORMATIONAL_RESPONSES = 16
# The highest status that HTTP defines a class for.
MAX_STATUS = 599

TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)
TIMEOUT_ERRORS = (urllib3.exceptions.TimeoutError, TimeoutError)


class BackendError(TarragonhallError):
    """A repeatable request to the backend server failed."""


class _NotSentError(Exception):
    """The connection attempt failed, so the backend server cannot have seen the request."""


class _DeadlineError(Exception):
    """The deadline of the run has passed."""


class Backend:
    """HTTP client of one backend server."""

    __slots__ = ("_host", "_port", "_progress_timeout_s")

    def __init__(self, address: str, progress_timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._progress_timeout_s = progress_timeout_s

    def run(
        self, dispatch: Dispatch, seconds_left: float, on_text: Callable[[str], None]
    ) -> RunFinished | ConnectionLost:
        """Run an attempt until it ends; `on_text` receives the parts of a streamed answer."""
        key = dispatch.attempt.key
        try:
            with eventlet.Timeout(seconds_left, _DeadlineError):
                return self._run(dispatch, seconds_left, on_text)
        except _NotSentError as error:
            return RunFinished(key, AttemptOutcome.NOT_RUN, detail=f"not connected: {error}")
        except AnswerError as error:
            self.cancel_in_background(dispatch)
            return RunFinished(key, AttemptOutcome.FAILED, detail=str(error))
        except _DeadlineError:
            self.cancel_in_background(dispatch)
            return RunFinished(key, AttemptOutcome.TIMED_OUT, detail="its deadline passed")
        except TIMEOUT_ERRORS:
            self.cancel_in_background(dispatch)
            return RunFinished(key, AttemptOutcome.TIMED_OUT, detail="no progress")
        except TRANSPORT_ERRORS as error:
            return ConnectionLost(key, f"the connection broke: {error}")

    def cancel_in_background(self, dispatch: Dispatch) -> None:
        """Request an engine to stop a run, in the background; errors are ignored."""
        if dispatch.spec.kind is CallKind.MODEL:
            eventlet.spawn_n(self._try_cancel, dispatch.attempt.key)

    def probe(self) -> ProbeResult:
        """Probe the server's health endpoint."""
        try:
            connection = self._connect(CONTROL_TIMEOUT_SECONDS, MAX_PROBE_BYTES)
        except _NotSentError as error:
            return ProbeResult(False, refused=isinstance(error.__cause__, ConnectionRefusedError))
        try:
            with (
                _total_timeout(CONTROL_TIMEOUT_SECONDS),
                _open_response(connection, "GET", "/health") as response,
            ):
                body = response.read()
        except TRANSPORT_ERRORS:
            return ProbeResult(False)
        finally:
            connection.close()
        return ProbeResult(True, server_incarnation=_parse_server_incarnation(body))

    def request(
        self, method: str, path: str, value: object = None, timeout_s=CONTROL_TIMEOUT_SECONDS
    ) -> dict:
        """Send a repeatable request to an engine; raise `BackendError` unless it succeeds."""
        body = None if value is None else json.dumps(value).encode()
        try:
            connection = self._connect(timeout_s, MAX_CONTROL_BYTES)
        except _NotSentError as error:
            raise BackendError(f"{path}: {error}") from error
        try:
            with (
                _total_timeout(timeout_s),
                _open_response(connection, method, path, body) as response,
            ):
                data = response.read()
                status = response.status
            if status != 200:
                raise BackendError(f"{path}: status {status}")
            return json.loads(data)
        except (*TRANSPORT_ERRORS, ValueError) as error:
            raise BackendError(f"{path}: {error}") from error
        finally:
            connection.close()

    def listing(self) -> Listing:
        """Return the programs whose prefixes the engine holds, most recently used first."""
        value = self.request("GET", "/v1/held")
        try:
            tokens_by_program = {item["program"]: item["tokens"] for item in value["programs"]}
        except (KeyError, TypeError) as error:
            raise BackendError(f"/v1/held: lacks {error}") from error
        return Listing(tokens_by_program, value.get("capacity"))

    def running(self) -> list[str]:
        """Return the keys of the attempts that the engine runs or has queued."""
        try:
            return list(self.request("GET", "/v1/running")["attempts"])
        except (KeyError, TypeError) as error:
            raise BackendError(f"/v1/running: lacks {error}") from error

    def cancel(self, key: str) -> None:
        """Request the engine to stop an attempt; `running` shows whether it did."""
        self.request("POST", "/v1/cancel", {"attempt": key})

    def release(self, program_id: str) -> None:
        """Request the engine to free a program's memory; `listing` shows whether it did."""
        self.request("POST", "/v1/release", {"program": program_id})

    def loaded(self) -> dict[str, str]:
        """Return the version of each model that the engine reports as loaded."""
        found = self.request("GET", "/health").get("loaded", {})
        if not isinstance(found, dict):
            raise BackendError("/health: loaded is not an object")
        return {str(model): str(version) for model, version in found.items()}

    def send_order(self, order: EngineOrder) -> None:
        """Send an order to the engine and wait until it is executed."""
        fields = {
            "order": order.order_id,
            "fencing": order.fencing,
            "action": order.action,
            "model": order.model,
            "version": order.version,
        }
        self.request("POST", "/v1/orders", fields, ORDER_TIMEOUT_SECONDS)

    def _run(self, dispatch: Dispatch, seconds_left: float, on_text: Callable) -> RunFinished:
        if dispatch.spec.kind is CallKind.MODEL:
            with self._connection(self._progress_timeout_s) as connection:
                return self._generate(connection, dispatch, on_text)
        with self._connection(seconds_left) as connection:
            return _call_service(connection, dispatch)

    def _generate(self, connection, dispatch: Dispatch, on_text: Callable) -> RunFinished:
        body = _generate_body(dispatch)
        with _open_response(connection, "POST", "/v1/generate", body) as response:
            if response.status != 200:
                detail = f"the engine answered with status {response.status}"
                return RunFinished(dispatch.attempt.key, AttemptOutcome.FAILED, detail=detail)
            return self._read_answer(response, dispatch, on_text)

    def _read_answer(self, response, dispatch: Dispatch, on_text: Callable) -> RunFinished:
        key = dispatch.attempt.key
        stream = AnswerStream(key, dispatch.spec.max_tokens)
        pacer = _ChunkPacer(on_text if dispatch.spec.stream else _discard_text)
        stopping = False
        while stream.answer is None:
            data = response.read1(MAX_ANSWER_BYTES)
            if not data:
                raise http.client.IncompleteRead(b"")
            pacer.add(stream.feed(data))
            if stream.over_limit and not stopping:
                stopping = True
                self.cancel_in_background(dispatch)
        pacer.flush()
        outcome = AttemptOutcome.CANCELLED if stream.cancelled else AttemptOutcome.ANSWERED
        return RunFinished(key, outcome, stream.answer)

    @contextmanager
    def _connection(self, timeout_s: float) -> Iterator[HTTPConnection]:
        connection = self._connect(timeout_s, MAX_RESPONSE_BYTES)
        try:
            yield connection
        finally:
            connection.close()

    def _connect(self, timeout_s: float, max_bytes: int) -> HTTPConnection:
        """Connect; `timeout_s` bounds each read, `max_bytes` all of them together."""
        connection = HTTPConnection(self._host, self._port, timeout=CONNECT_TIMEOUT_SECONDS)
        try:
            connection.connect()
        except TRANSPORT_ERRORS as error:
            connection.close()
            raise _NotSentError(str(error)) from (error.__cause__ or error)
        # A response without a length ends with its connection, which a reset must not pass for.
        report_resets(connection.sock, max_bytes)
        connection.response_class = _Response
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        return connection

    def _try_cancel(self, key: str) -> None:
        try:
            self.cancel(key)
        except BackendError:
            return


class _Response(WholeResponse):
    """A response with bounded informational responses and trailers, and a status that HTTP has.

    The base class skips any number of informational responses with status 100 and takes the others,
    and any status of three digits, as the response.
    """

    _heads = 0

    def _read_status(self):
        while True:
            self._heads += 1
            if self._heads > MAX_INFORMATIONAL_RESPONSES + 1:
                text = f"over {MAX_INFORMATIONAL_RESPONSES} informational responses"
                raise http.client.HTTPException(text)
            version, status, reason = super()._read_status()
            if not 100 <= status <= MAX_STATUS or status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException(f"{status} is no status of a response")
            if status == http.HTTPStatus.CONTINUE or status >= 200:
                return version, status, reason
            while self.fp.readline(MAX_TRAILER_BYTES) not in (b"\r\n", b"\n"):
                continue

    def _read_and_discard_trailer(self):
        size = 0
        while (line := self.fp.readline(MAX_TRAILER_BYTES + 1)) not in (b"\r\n", b"\n"):
            size += len(line)
            if size > MAX_TRAILER_BYTES:
                raise http.client.HTTPException(f"over {MAX_TRAILER_BYTES} bytes of trailers")


class _ChunkPacer:
    """Batches parts of an answer that arrive within `CHUNK_INTERVAL_SECONDS`."""

    __slots__ = ("_flushed_at", "_on_text", "_text")

    def __init__(self, on_text: Callable[[str], None]) -> None:
        self._on_text = on_text
        self._text = ""
        self._flushed_at = 0.0

    def add(self, text: str) -> None:
        self._text += text
        if time.monotonic() - self._flushed_at >= CHUNK_INTERVAL_SECONDS:
            self.flush()

    def flush(self) -> None:
        if self._text:
            self._on_text(self._text)
        self._text = ""
        self._flushed_at = time.monotonic()


def _discard_text(_text: str) -> None:
    return


def _call_service(connection: HTTPConnection, dispatch: Dispatch) -> RunFinished:
    key = dispatch.attempt.key
    headers = {"Content-Type": "application/json", ATTEMPT_HEADER: key}
    body = dispatch.spec.body.encode()
    path = f"/{dispatch.spec.target}"
    with _open_response(connection, "POST", path, body, headers) as response:
        # A service that does not echo the header is matched by its connection, used only once.
        if response.headers.get(ATTEMPT_HEADER, key) != key:
            raise AnswerError("the service sent the answer to another attempt")
        data = response.read(MAX_ANSWER_BYTES + 1)
    if len(data) > MAX_ANSWER_BYTES:
        raise AnswerError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
    answer = Answer(data.decode(errors="replace"), status=response.status)
    return RunFinished(key, AttemptOutcome.ANSWERED, answer)


def _total_timeout(seconds: float) -> eventlet.Timeout:
    """Return a limit on all reads together; that of the connection counts from each read."""
    return eventlet.Timeout(seconds, TimeoutError(f"no whole response within {seconds} s"))


@contextmanager
def _open_response(
    connection: HTTPConnection, method: str, path: str, body: bytes | None = None, headers=None
) -> Iterator[urllib3.HTTPResponse]:
    """Send a request and yield its unread response, so that a stream can be read as it arrives."""
    connection.request(method, path, body=body, headers=headers, preload_content=False)
    response = connection.getresponse()
    try:
        yield response
    finally:
        # Closing the connection does not close a socket that its response still reads from.
        response.close()


def _generate_body(dispatch: Dispatch) -> bytes:
    messages = []
    for turn in dispatch.history:
        messages.append({"role": "user", "content": turn.prompt})
        messages.append({"role": "assistant", "content": turn.answer})
    messages.append({"role": "user", "content": dispatch.spec.body})
    fields = {
        "attempt": dispatch.attempt.key,
        "program": dispatch.attempt.program_id,
        "model": dispatch.spec.target,
        "version": dispatch.model_version,
        "messages": messages,
        "max_tokens": dispatch.spec.max_tokens,
        "priority": dispatch.priority,
    }
    return json.dumps(fields).encode()


def _parse_server_incarnation(body: bytes) -> str:
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    return str(value.get("life", "")) if isinstance(value, dict) else ""
