"""One attempt to run a call on one backend server, and what its outcome proves."""

from __future__ import annotations

from dataclasses import dataclass

import eventlet
import structlog
from tarragonhall_decisions import BreakCause
from tarragonhall_model import BackendRecord, CallType

from tarragonhall_relay._admission import AdmittedCall
from tarragonhall_relay._backend import (
    MAX_EXTRA_RESPONSES,
    MAX_REFUSAL_BYTES,
    REFUSAL_TIMEOUT_S,
    BackendConnection,
)
from tarragonhall_relay._client import HOP_HEADERS
from tarragonhall_relay._dialect import DispatchFacts, Headers, ResponseFacts
from tarragonhall_relay._errors import (
    BackendError,
    NoMemoryError,
    ResponseTimeoutError,
    SilentServerError,
)
from tarragonhall_relay._events import EventError
from tarragonhall_relay._response_body import ResponseBody
from tarragonhall_relay._response_memory import ResponseLease
from tarragonhall_relay._silence import SilenceWatch
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Clients take these statuses as proof that the call did not run. A backend server's response with
# one of them but without the not-executed header proves nothing, so it is not relayed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
STATUS_MISDIRECTED = 421


@dataclass(slots=True, frozen=True)
class NotRun:
    """The call did not run on this server and never will; `full` if the server has no capacity."""

    reason: str
    full: bool = False


@dataclass(slots=True, frozen=True)
class MayHaveRun:
    """The call may have run on this server, and there is no whole response that can be relayed.

    `timed_out` means that the relay stopped waiting; this is no evidence of a fault in the call.
    `server_gone` means that the server can no longer be reached, `no_memory` that this entry could
    not hold more of the response.
    """

    reason: str
    response_body: ResponseBody
    timed_out: bool = False
    server_gone: bool = False
    no_memory: bool = False
    cause: BreakCause = BreakCause.CUT


@dataclass(slots=True, frozen=True)
class CompleteResponse:
    """The server's response, read to its end; `response_body` says how its body ended."""

    status: int
    headers: Headers
    body: bytes
    response_body: ResponseBody


@dataclass(slots=True, frozen=True)
class OpenStream:
    """The head of a stream of events; the events are still to be read from the connection."""

    status: int
    headers: Headers
    connection: BackendConnection
    facts: ResponseFacts


@dataclass(slots=True, frozen=True)
class AttemptOptions:
    """What is special about one attempt.

    `urgency` is the call's rank for a model engine; None for plain services. `answer_timeout_s`
    bounds the wait for the response; None waits until the call's deadline. `last_event_id` asks for
    the rest of a stream. `watch` checks the server while it is silent; None does not.
    """

    urgency: int | None = None
    answer_timeout_s: float | None = None
    last_event_id: int | None = None
    watch: SilenceWatch | None = None


Outcome = NotRun | MayHaveRun | CompleteResponse | OpenStream


def try_server(
    state: RelayState,
    call: AdmittedCall,
    server: BackendRecord,
    body: tuple[bytes, ...],
    options: AttemptOptions,
    lease: ResponseLease,
) -> Outcome:
    """Send a call to a server and read its response, or the head of its stream.

    The connection is closed unless the outcome is an open stream or the response was read to its
    end. `lease` holds the memory of a complete response, and none after any other outcome.
    """
    try:
        connection = state.pool.acquire(server, call.facts.attempt_id)
    except BackendError as error:
        state.pool.close_idle(server.server_id)
        return NotRun(str(error))
    keep_open = False
    try:
        _send(state, call, server, body, options, connection)
        timeout_s = options.answer_timeout_s
        timeout_error = ResponseTimeoutError(timeout_s) if timeout_s is not None else None
        with eventlet.Timeout(timeout_s, timeout_error):
            outcome, facts = _read_response(state, call, connection, options.watch, lease)
        if isinstance(outcome, OpenStream):
            keep_open = True
        elif isinstance(outcome, CompleteResponse | NotRun):
            keep_open = True
            if isinstance(outcome, NotRun):
                connection.refused_attempts.add(call.facts.attempt_id)
            state.pool.release(connection, facts.keep_alive_s)
        return outcome
    except ResponseTimeoutError as error:
        return MayHaveRun(
            str(error), connection.response_body, timed_out=True, cause=BreakCause.SILENT
        )
    except SilentServerError as error:
        return broken_stream(error, connection.response_body)
    except BackendError as error:
        if not error.sent:
            return NotRun(str(error))
        reused = "reused" if connection.reused else "new"
        return MayHaveRun(
            f"{error} ({reused} connection)",
            connection.response_body,
            no_memory=isinstance(error, NoMemoryError),
        )
    finally:
        if not keep_open:
            connection.close()
            lease.release()


def broken_stream(error: BackendError | EventError, body: ResponseBody) -> MayHaveRun:
    """Return the outcome of a stream that an error has ended."""
    match error:
        case SilentServerError(server_gone=gone):
            return MayHaveRun(
                str(error), body, timed_out=True, server_gone=gone, cause=BreakCause.SILENT
            )
        case NoMemoryError():
            return MayHaveRun(str(error), body, no_memory=True)
        case EventError():
            return MayHaveRun(str(error), body, cause=BreakCause.INVALID)
        case _:
            return MayHaveRun(str(error), body)


def _send(
    state: RelayState,
    call: AdmittedCall,
    server: BackendRecord,
    body: tuple[bytes, ...],
    options: AttemptOptions,
    connection: BackendConnection,
) -> None:
    left_ms = call.deadline.left_ms(state.monotonic())
    dispatch = DispatchFacts(
        call.org_id, server.server_id, left_ms, options.urgency, options.last_event_id
    )
    headers = state.dialect.write_call(call.request.headers, dispatch)
    if not call.facts.attempt_id:
        # A late copy of its response could not be told from that to any other call.
        connection.is_trusted = False
    connection.send(call.request.method, call.request.target, headers, body)


def _read_response(
    state: RelayState,
    call: AdmittedCall,
    connection: BackendConnection,
    watch: SilenceWatch | None,
    lease: ResponseLease,
) -> tuple[Outcome, ResponseFacts]:
    head, facts = _read_own_head(state, call, connection, watch)
    headers = [(name, value) for name, value in head.headers if name not in HOP_HEADERS]
    status = head.status_code
    if facts.not_executed or status == STATUS_MISDIRECTED:
        _discard_body(state, connection)
        full = status != STATUS_MISDIRECTED
        return NotRun(f"the server responded {status}", full=full), facts
    success = 200 <= status < 300
    if success and not facts.signed:
        raise BackendError(f"the {status} response has no proof of origin", sent=True)
    if status in NOT_RUN_STATUSES:
        raise BackendError(f"the {status} response has no not-executed header", sent=True)
    if success and call.route.call_type is CallType.STREAMING:
        return OpenStream(status, headers, connection, facts), facts
    body = connection.read_all(MAX_RESPONSE_BYTES, lease)
    return CompleteResponse(status, headers, body, connection.response_body), facts


def _discard_body(state: RelayState, connection: BackendConnection) -> None:
    """Discard a body that does not matter; without its end, the connection is not reused."""
    try:
        connection.discard(MAX_REFUSAL_BYTES, REFUSAL_TIMEOUT_S)
    except BackendError as error:
        connection.is_trusted = False
        state.metrics.count("relay.refusals_without_end")
        log.info("backend.refusal_without_end", server=connection.server_id, error=str(error))


def _read_own_head(
    state: RelayState,
    call: AdmittedCall,
    connection: BackendConnection,
    watch: SilenceWatch | None,
):
    """Return the head of this call's own response, skipping those of other calls."""
    for _ in range(MAX_EXTRA_RESPONSES):
        head = connection.read_head() if watch is None else watch.read(connection.read_head)
        facts = state.dialect.read_response(list(head.headers))
        if facts.attempt_id in (None, call.facts.attempt_id):
            return head, facts
        log.warning(
            "backend.crossed_answer",
            id=call.facts.attempt_id,
            server=connection.server_id,
            answers=facts.attempt_id,
            status=head.status_code,
        )
        state.metrics.count("relay.crossed_responses")
        connection.is_trusted = False
        connection.skip_response()
    raise BackendError("only responses to other calls arrived", sent=True)
