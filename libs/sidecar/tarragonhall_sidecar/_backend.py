"""HTTP to the backend server: runs, probes, cache and orders.

Every run has a connection of its own. On a connection that was kept open and idle, something
between the two ends may have lost track of it; a call sent there disappears, and whether it took
effect can never be told. A fresh connection that is refused proves that nothing was sent.
"""

from __future__ import annotations

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
)
from urllib3.connection import HTTPConnection

from tarragonhall_sidecar._answers import AnswerError, AnswerStream
from tarragonhall_sidecar._events import Broke, Finished, Probed
from tarragonhall_sidecar._reconcile import Listing

ATTEMPT_HEADER = "X-Attempt-Id"
CONNECT_SECONDS = 2.0
# Probes, listings and cancels are small; a healthy server answers them between two tokens.
CONTROL_SECONDS = 2.0
# Loading a model's weights takes long, and its answer says whether it was done.
ORDER_SECONDS = 120.0
# Tokens that come faster than this travel together: a reader sees no difference, a link does.
CHUNK_SECONDS = 0.02
MAX_ANSWER_BYTES = 4 * 1024 * 1024

TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)
TIMEOUT_ERRORS = (urllib3.exceptions.TimeoutError, TimeoutError)


class BackendError(TarragonhallError):
    """The backend server did not answer a request that may be repeated."""


class _NotSentError(Exception):
    """No connection came about, so the backend server cannot have seen the request."""


class _DeadlineError(Exception):
    """The time of the run is over."""


class Backend:
    """One backend server as its sidecar sees it."""

    __slots__ = ("_host", "_port", "_progress_seconds")

    def __init__(self, address: str, progress_seconds: float) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._progress_seconds = progress_seconds

    def run(
        self, dispatch: Dispatch, seconds_left: float, on_text: Callable[[str], None]
    ) -> Finished | Broke:
        """Run an attempt to its end; `on_text` gets the parts of a streamed answer."""
        key = dispatch.attempt.key
        try:
            with eventlet.Timeout(seconds_left, _DeadlineError):
                return self._run(dispatch, seconds_left, on_text)
        except _NotSentError as error:
            return Finished(key, AttemptOutcome.NOT_RUN, detail=f"not connected: {error}")
        except AnswerError as error:
            self.cancel_quietly(dispatch)
            return Finished(key, AttemptOutcome.FAILED, detail=str(error))
        except _DeadlineError:
            self.cancel_quietly(dispatch)
            return Finished(key, AttemptOutcome.TIMED_OUT, detail="its deadline passed")
        except TIMEOUT_ERRORS:
            self.cancel_quietly(dispatch)
            return Finished(key, AttemptOutcome.TIMED_OUT, detail="no progress")
        except TRANSPORT_ERRORS as error:
            return Broke(key, f"the connection broke: {error}")

    def cancel_quietly(self, dispatch: Dispatch) -> None:
        """Ask an engine to stop a run, in the background and without caring for the answer."""
        if dispatch.spec.kind is CallKind.MODEL:
            eventlet.spawn_n(self._try_cancel, dispatch.attempt.key)

    def probe(self) -> Probed:
        """Tell whether the server answers at all."""
        try:
            connection = self._connect(CONTROL_SECONDS)
        except _NotSentError as error:
            return Probed(False, refused=isinstance(error.__cause__, ConnectionRefusedError))
        try:
            with _responding(connection, "GET", "/health") as response:
                body = response.read(MAX_ANSWER_BYTES)
        except TRANSPORT_ERRORS:
            return Probed(False)
        finally:
            connection.close()
        return Probed(True, life=_life_in(body))

    def ask(self, method: str, path: str, value: object = None, seconds=CONTROL_SECONDS) -> dict:
        """Make a repeatable request of an engine; raise `BackendError` unless it is answered."""
        body = None if value is None else json.dumps(value).encode()
        try:
            connection = self._connect(seconds)
        except _NotSentError as error:
            raise BackendError(f"{path}: {error}") from error
        try:
            with _responding(connection, method, path, body) as response:
                data = response.read(MAX_ANSWER_BYTES)
                status = response.status
            if status != 200:
                raise BackendError(f"{path}: status {status}")
            return json.loads(data)
        except (*TRANSPORT_ERRORS, ValueError) as error:
            raise BackendError(f"{path}: {error}") from error
        finally:
            connection.close()

    def listing(self) -> Listing:
        """Return what the engine holds memory for, most recently used first."""
        value = self.ask("GET", "/v1/held")
        try:
            tokens_by_program = {item["program"]: item["tokens"] for item in value["programs"]}
        except (KeyError, TypeError) as error:
            raise BackendError(f"/v1/held: lacks {error}") from error
        return Listing(tokens_by_program, value.get("capacity"))

    def running(self) -> list[str]:
        """Return the attempts that the engine runs or has in its queue."""
        try:
            return list(self.ask("GET", "/v1/running")["attempts"])
        except (KeyError, TypeError) as error:
            raise BackendError(f"/v1/running: lacks {error}") from error

    def cancel(self, key: str) -> None:
        """Ask the engine to stop an attempt; its listing shows if it did."""
        self.ask("POST", "/v1/cancel", {"attempt": key})

    def release(self, program_id: str) -> None:
        """Ask the engine to free what it holds for a program; its listing shows if it did."""
        self.ask("POST", "/v1/release", {"program": program_id})

    def loaded(self) -> dict[str, str]:
        """Return the version of each model that the engine says it has loaded."""
        found = self.ask("GET", "/health").get("loaded", {})
        if not isinstance(found, dict):
            raise BackendError("/health: loaded is no object")
        return {str(model): str(version) for model, version in found.items()}

    def order(self, order: EngineOrder) -> None:
        """Give the engine an order and wait until it has carried it out."""
        fields = {
            "order": order.order_id,
            "fencing": order.fencing,
            "action": order.action,
            "model": order.model,
            "version": order.version,
        }
        self.ask("POST", "/v1/orders", fields, ORDER_SECONDS)

    def _run(self, dispatch: Dispatch, seconds_left: float, on_text: Callable) -> Finished:
        if dispatch.spec.kind is CallKind.MODEL:
            with self._connection(self._progress_seconds) as connection:
                return self._generate(connection, dispatch, on_text)
        with self._connection(seconds_left) as connection:
            return _call_service(connection, dispatch)

    def _generate(self, connection, dispatch: Dispatch, on_text: Callable) -> Finished:
        body = _generate_body(dispatch)
        with _responding(connection, "POST", "/v1/generate", body) as response:
            if response.status != 200:
                detail = f"the engine answered with status {response.status}"
                return Finished(dispatch.attempt.key, AttemptOutcome.FAILED, detail=detail)
            return self._read_answer(response, dispatch, on_text)

    def _read_answer(self, response, dispatch: Dispatch, on_text: Callable) -> Finished:
        key = dispatch.attempt.key
        stream = AnswerStream(key, dispatch.spec.max_tokens)
        pacer = _ChunkPacer(on_text if dispatch.spec.stream else _no_text)
        stopping = False
        while stream.answer is None:
            data = response.read1(MAX_ANSWER_BYTES)
            if not data:
                raise http.client.IncompleteRead(b"")
            pacer.add(stream.feed(data))
            if stream.over_limit and not stopping:
                stopping = True
                self.cancel_quietly(dispatch)
        pacer.flush()
        outcome = AttemptOutcome.CANCELLED if stream.cancelled else AttemptOutcome.ANSWERED
        return Finished(key, outcome, stream.answer)

    @contextmanager
    def _connection(self, timeout_s: float) -> Iterator[HTTPConnection]:
        connection = self._connect(timeout_s)
        try:
            yield connection
        finally:
            connection.close()

    def _connect(self, timeout_s: float) -> HTTPConnection:
        connection = HTTPConnection(self._host, self._port, timeout=CONNECT_SECONDS)
        try:
            connection.connect()
        except TRANSPORT_ERRORS as error:
            connection.close()
            raise _NotSentError(str(error)) from (error.__cause__ or error)
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        return connection

    def _try_cancel(self, key: str) -> None:
        try:
            self.cancel(key)
        except BackendError:
            return


class _ChunkPacer:
    """Joins parts of an answer that come in quick succession."""

    __slots__ = ("_flushed_at", "_on_text", "_text")

    def __init__(self, on_text: Callable[[str], None]) -> None:
        self._on_text = on_text
        self._text = ""
        self._flushed_at = 0.0

    def add(self, text: str) -> None:
        self._text += text
        if time.monotonic() - self._flushed_at >= CHUNK_SECONDS:
            self.flush()

    def flush(self) -> None:
        if self._text:
            self._on_text(self._text)
        self._text = ""
        self._flushed_at = time.monotonic()


def _no_text(_text: str) -> None:
    return


def _call_service(connection: HTTPConnection, dispatch: Dispatch) -> Finished:
    key = dispatch.attempt.key
    headers = {"Content-Type": "application/json", ATTEMPT_HEADER: key}
    body = dispatch.spec.body.encode()
    path = f"/{dispatch.spec.target}"
    with _responding(connection, "POST", path, body, headers) as response:
        # A service that does not echo the header is matched by its connection, used only once.
        if response.headers.get(ATTEMPT_HEADER, key) != key:
            raise AnswerError("the service sent the answer to another attempt")
        if response.length_remaining is None and not response.chunked:
            raise AnswerError("the service did not say how long its answer is")
        data = response.read(MAX_ANSWER_BYTES + 1)
    if len(data) > MAX_ANSWER_BYTES:
        raise AnswerError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
    answer = Answer(data.decode(errors="replace"), status=response.status)
    return Finished(key, AttemptOutcome.ANSWERED, answer)


@contextmanager
def _responding(
    connection: HTTPConnection, method: str, path: str, body: bytes | None = None, headers=None
) -> Iterator[urllib3.HTTPResponse]:
    """Send a request and give its response, unread: a stream must not be read to its end first."""
    connection.request(method, path, body=body, headers=headers, preload_content=False)
    response = connection.getresponse()
    try:
        yield response
    finally:
        # The connection alone lets go of a socket that its response still reads from.
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


def _life_in(body: bytes) -> str:
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    return str(value.get("life", "")) if isinstance(value, dict) else ""
