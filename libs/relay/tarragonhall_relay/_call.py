"""One relayed call: admission, turn, attempts on backend servers, response.

A call runs at most once for each attempt of the client. The guarantee need not outlive this
process, so nothing is committed to the stores for it. A call is sent to another server only if a
server said, or a failed connection proves, that it did not run, or if its route is idempotent.
"""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_decisions import CallRequirements
from tarragonhall_model import BackendRecord, CallType

from tarragonhall_relay._admission import (
    AdmittedCall,
    Rejection,
    admit,
    return_rate_token,
    take_rate_token,
)
from tarragonhall_relay._attempt import (
    CompleteResponse,
    MayHaveRun,
    NotRun,
    OpenStream,
    Outcome,
    try_server,
)
from tarragonhall_relay._call_slot import MAX_READY_WAIT_S, CallSlot, wait_until
from tarragonhall_relay._call_turn import CallTurn, count_tokens
from tarragonhall_relay._client import ClientConnection, ClientRequest, error_body
from tarragonhall_relay._dialect import Headers
from tarragonhall_relay._errors import (
    BackendError,
    ClientDisconnectedError,
    DeadlineExceededError,
    IncompleteResponseError,
)
from tarragonhall_relay._events import EventError, EventReader
from tarragonhall_relay._report import CallReport
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)


class RelayedCall:
    """One call of one client connection."""

    __slots__ = (
        "_admitted",
        "_arrived_at",
        "_client",
        "_report",
        "_request",
        "_slot",
        "_state",
        "_turn",
    )

    def __init__(
        self,
        state: RelayState,
        client: ClientConnection,
        request: ClientRequest,
        arrived_at: float,
    ) -> None:
        self._state = state
        self._client = client
        self._request = request
        self._arrived_at = arrived_at
        self._admitted: AdmittedCall | None = None
        self._slot: CallSlot | None = None
        self._report = CallReport(state, arrived_at)
        self._turn = CallTurn(state)

    def run(self) -> None:
        """Run the call and write its response.

        Raises `ClientDisconnectedError`, or `IncompleteResponseError` if the response broke off.
        """
        wait_until(
            self._state, self._arrived_at + MAX_READY_WAIT_S, lambda: self._state.table is not None
        )
        admitted = admit(self._state, self._request, self._arrived_at)
        if isinstance(admitted, Rejection):
            self._reject(admitted)
            return
        self._admitted = admitted
        self._slot = CallSlot(self._state, admitted, self._arrived_at)
        left_s = admitted.deadline.at - self._state.monotonic()
        self._client.watch_for_close()
        try:
            with eventlet.Timeout(
                max(0.0, left_s), DeadlineExceededError("the deadline has passed")
            ):
                self._run_admitted()
        except DeadlineExceededError:
            self._end_timed_out()
        except ClientDisconnectedError:
            self._report.end(admitted, None, "client_gone")
            raise
        except IncompleteResponseError as error:
            self._report.end(admitted, None, str(error))
            raise
        finally:
            self._client.stop_watching()
            self._slot.release()
            self._turn.release(self._generated_tokens())

    def _run_admitted(self) -> None:
        early = self._turn.reject_exhausted(self._admitted) or self._slot.reject_early()
        if early is not None:
            self._reject(early)
            return
        rejection = take_rate_token(self._state, self._admitted, self._slot.service)
        self._report.step("rated_ms")
        if rejection is None:
            rejection = self._run_with_token()
            if rejection is not None:
                return_rate_token(self._state, self._admitted)
        if rejection is not None:
            self._reject(rejection)

    def _run_with_token(self) -> Rejection | None:
        """Run a call that has its rate token; return a rejection if it did not run."""
        rejection = self._turn.reserve(self._admitted, self._state.monotonic())
        if rejection is not None:
            return rejection
        self._report.step("ready_ms")
        return self._serve()

    def _serve(self) -> Rejection | None:
        """Try servers until one responds; return a rejection if none ran the call."""
        body = self._request.body
        while True:
            server = self._slot.acquire(self._turn.last_server, self._turn.prompt_size(body))
            if isinstance(server, Rejection):
                return self._end_unplaced(server)
            outcome = self._try(server)
            match outcome:
                case CompleteResponse():
                    self._slot.note_response()
                    self._record_call_time(server)
                    self._note_success(server)
                    self._slot.release()
                    self._client.respond(outcome.status, outcome.headers, outcome.body)
                    self._report.end(self._admitted, outcome.status, "answered")
                    return None
                case OpenStream():
                    self._relay_stream(server, outcome)
                    self._report.end(self._admitted, outcome.status, "answered")
                    return None
                case NotRun():
                    self._note_not_run(server, outcome)
                case MayHaveRun(reason=reason, timed_out=timed_out):
                    self._note_failure(server, reason, timed_out)
                    if not self._may_run_again():
                        self._fail(reason)
                        return None

    def _end_unplaced(self, rejection: Rejection) -> Rejection | None:
        """Return the rejection of a call that got no server; None if a response was sent here."""
        if self._slot.may_have_run_on:
            # One of the servers may have run it, but a rejection says that none did.
            self._fail("one server failed after it had the call, and no other one accepted it")
            return None
        return rejection

    def _try(self, server: BackendRecord) -> Outcome:
        call = self._admitted
        body = self._turn.prompt(self._request.body)
        self._report.attempts += 1
        self._report.server_id = server.server_id
        self._report.step("sent_ms")
        return try_server(
            self._state, call, server, body, self._urgency(), self._answer_timeout_s(server)
        )

    def _urgency(self) -> int | None:
        """Return the call's rank for a model engine; None for plain services."""
        if self._admitted.route.call_type is not CallType.STREAMING:
            return None
        return self._slot.rank()

    def _relay_stream(self, server: BackendRecord, stream: OpenStream) -> None:
        """Relay events as they arrive; the end is sent only once the turn is stored."""
        connection = stream.connection
        complete = False
        try:
            self._report.step("head_ms")
            self._client.begin(stream.status, stream.headers)
            output = self._relay_events(stream)
            self._report.step("whole_ms")
            self._record_stream_time(server)
            self._slot.release()
            self._turn.persist(
                self._request.body, output, self._generated_tokens(), server.server_id
            )
            self._client.finish()
            complete = True
        except (BackendError, EventError) as error:
            self._note_failure(server, str(error))
            raise IncompleteResponseError(str(error)) from error
        finally:
            if complete:
                self._state.pool.release(connection, stream.facts.keep_alive_s)
                self._note_success(server)
            else:
                connection.close()

    def _relay_events(self, stream: OpenStream) -> bytes:
        reader = EventReader()
        output: list[bytes] = []
        retains = self._turn.is_open
        while True:
            data = stream.connection.read()
            if data is None:
                break
            events = reader.feed(data)
            if not events:
                continue
            if not self._report.events:
                self._report.step("first_ms")
                self._slot.note_first_event()
            self._client.send(b"".join(event.raw for event in events))
            self._report.events += len(events)
            if retains:
                output.extend(event.data + b"\n" for event in events)
        if not reader.is_complete():
            raise EventError("the stream ended in the middle of an event")
        return b"".join(output)

    def _generated_tokens(self) -> int:
        service = self._state.table.service_by_name.get(self._slot.service)
        return count_tokens(self._report.events, service)

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        if route.call_type is not CallType.IDEMPOTENT or self._client.response_started:
            return False
        return len(self._slot.may_have_run_on) < route.max_attempts

    def _record_call_time(self, server: BackendRecord) -> None:
        """Record how long a plain call ran, for the choice of servers."""
        self._state.retry_budget.on_success()
        now = self._state.monotonic()
        kind = self._admitted.route.name
        run_ms = self._slot.held_ms(now)
        self._state.chooser.run_times(server.service).call_ended(
            server.server_id, kind, run_ms, now
        )
        self._slot.times.on_answer(kind, run_ms, now)

    def _record_stream_time(self, server: BackendRecord) -> None:
        """Record how long a stream held its slot, for the choice of servers."""
        now = self._state.monotonic()
        run_ms = self._slot.held_ms(now)
        self._state.chooser.run_times(server.service).stream_ended(run_ms)
        self._slot.times.on_stream_end(run_ms, self._report.events, now)

    def _note_success(self, server: BackendRecord) -> None:
        requirements = CallRequirements(server.service, self._admitted.facts.parts)
        self._state.chooser.answered(server.server_id, requirements)
        self._state.crash_suspects.on_response(self._admitted.fingerprint)

    def _note_not_run(self, server: BackendRecord, outcome: NotRun) -> None:
        if outcome.full:
            self._slot.note_response()
        self._slot.note_not_run(reachable=outcome.full)
        self._state.metrics.count("relay.not_run")
        log.info(
            "call.not_run",
            id=self._admitted.facts.attempt_id,
            server=server.server_id,
            reason=outcome.reason,
        )

    def _answer_timeout_s(self, server: BackendRecord) -> float | None:
        """Return the seconds after which an idempotent call is sent to another server, or None.

        Without the retry, a call whose response is lost would fail its program. The retry budget
        grows by one retry for every ten responses, so that retries do not double the load when an
        overload slows every call.
        """
        route = self._admitted.route
        if route.call_type is not CallType.IDEMPOTENT:
            return None
        if (
            len(self._slot.may_have_run_on) + 1 >= route.max_attempts
            or not self._state.retry_budget.has_retry()
        ):
            return None
        left_s = self._admitted.deadline.at - self._state.monotonic()
        return self._state.chooser.run_times(server.service).answer_timeout_s(route.name, left_s)

    def _note_failure(self, server: BackendRecord, reason: str, timed_out: bool = False) -> None:
        self._slot.note_failure()
        if timed_out:
            self._state.retry_budget.take()
        else:
            self._state.crash_suspects.on_broken_run(
                self._admitted.fingerprint, self._state.monotonic()
            )
            self._state.report_suspect(self._admitted.fingerprint)
        self._state.metrics.count("relay.may_have_run")
        log.info(
            "call.may_have_run",
            id=self._admitted.facts.attempt_id,
            server=server.server_id,
            reason=reason,
        )

    def _reject(self, rejection: Rejection) -> None:
        extra: Headers = []
        if rejection.retry_after_s is not None:
            extra = [(b"retry-after", f"{rejection.retry_after_s:.3f}".encode())]
        self._respond_error(rejection.status, rejection.error, rejection.message, extra)
        self._report.end(
            self._admitted, rejection.status, rejection.message, rejection.retry_after_s
        )

    def _fail(self, reason: str) -> None:
        """Respond that the call may have run and that its result is not known."""
        self._respond_error(502, "server_failed", reason)
        self._report.end(self._admitted, 502, reason)

    def _end_timed_out(self) -> None:
        if self._client.response_started:
            reason = "the deadline passed in the middle of the response"
            self._report.end(self._admitted, None, reason)
            raise IncompleteResponseError(reason)
        reason = "no response before the deadline"
        self._respond_error(504, "deadline", reason)
        self._report.end(self._admitted, 504, reason)

    def _respond_error(
        self, status: int, error: str, message: str, extra: Headers | None = None
    ) -> None:
        headers: Headers = [(b"content-type", b"application/json"), *(extra or ())]
        self._client.respond(status, headers, error_body(error, message))
