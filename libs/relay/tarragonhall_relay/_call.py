"""One relayed call: admission, turn, attempts on backend servers, response.

A call runs at most once for each attempt of the client. The guarantee need not outlive this
process, so nothing is committed to the stores for it. A call is sent to another server only if a
server said, or a failed connection proves, that it did not run, or if its route is idempotent or
resumable. A resumable stream goes on at another server within the same response.
"""

from __future__ import annotations

from typing import NoReturn

import eventlet
from tarragonhall_decisions import BreakCause, NextStep
from tarragonhall_model import BackendRecord, CallType, Service
from tarragonhall_wire import NO_ROOM_CODE, NO_ROOM_RETRY_SECONDS, NoRoomError

from tarragonhall_relay._admission import (
    STATUS_UNAVAILABLE,
    STOPPING,
    AdmittedCall,
    Rejection,
    admit,
    attempt_id_of,
    reject_late,
    return_rate_token,
    take_rate_token,
)
from tarragonhall_relay._attempt import (
    AttemptOptions,
    CompleteResponse,
    MayHaveRun,
    NotRun,
    OpenStream,
    Outcome,
    broken_stream,
    try_server,
)
from tarragonhall_relay._call_resumption import CallResumption
from tarragonhall_relay._call_slot import FULL_RETRY_S, MAX_READY_WAIT_S, CallSlot, wait_until
from tarragonhall_relay._call_turn import CallTurn, count_tokens
from tarragonhall_relay._client import ClientConnection, ClientRequest, error_body
from tarragonhall_relay._dialect import Headers
from tarragonhall_relay._errors import (
    BackendError,
    ClientDisconnectedError,
    DeadlineExceededError,
    IncompleteResponseError,
    StoppingError,
)
from tarragonhall_relay._events import EventError
from tarragonhall_relay._report import CallReport
from tarragonhall_relay._server_records import ServerRecords
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._stream_relay import StreamRelay


class RelayedCall:
    """One call of one client connection."""

    __slots__ = (
        "_admitted",
        "_arrived_at",
        "_client",
        "_lease",
        "_records",
        "_report",
        "_request",
        "_resumption",
        "_service",
        "_slot",
        "_state",
        "_stream",
        "_stream_lease",
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
        self._service: Service | None = None
        self._records: ServerRecords | None = None
        self._report = CallReport(state, arrived_at)
        self._stream_lease = state.response_memory.lease()
        self._stream = StreamRelay(client, self._report, state.monotonic, self._stream_lease)
        # None on routes whose streams cannot be resumed.
        self._resumption: CallResumption | None = None
        self._turn = CallTurn(state)
        self._lease = state.response_memory.lease()

    def run(self) -> None:
        """Run the call and write its response.

        Raises `ClientDisconnectedError`, or `IncompleteResponseError` if the response broke off.
        """
        wait_until(
            self._state, self._arrived_at + MAX_READY_WAIT_S, lambda: self._state.table is not None
        )
        self._report.record_config()
        admitted = self._admit()
        if isinstance(admitted, Rejection):
            self._reject(admitted)
            return
        self._admitted = admitted
        self._slot = CallSlot(self._state, admitted, self._arrived_at)
        # A change of the relay document may drop the service while the call runs.
        self._service = self._state.table.service_by_name.get(self._slot.service)
        self._records = ServerRecords(self._state, admitted, self._slot)
        if admitted.route.resumable and admitted.route.call_type is CallType.STREAMING:
            self._resumption = CallResumption(self._state, admitted, self._stream)
        left_s = admitted.deadline.at - self._state.monotonic()
        self._client.watch_for_close()
        try:
            with (
                eventlet.Timeout(
                    max(0.0, left_s), DeadlineExceededError("the deadline has passed")
                ),
                self._state.planned_stop.running(),
            ):
                self._run_admitted()
        except StoppingError:
            self._end_stopped()
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
            self._lease.release()
            self._stream_lease.release()
            self._slot.release()
            self._turn.release(self._generated_tokens())

    def _admit(self) -> AdmittedCall | Rejection:
        admitted = admit(self._state, self._request, self._arrived_at)
        if isinstance(admitted, Rejection):
            return admitted
        try:
            self._client.join(admitted.org_id or "")
        except NoRoomError as error:
            return Rejection(STATUS_UNAVAILABLE, NO_ROOM_CODE, str(error), NO_ROOM_RETRY_SECONDS)
        return admitted

    def _run_admitted(self) -> None:
        early = (
            reject_late(self._state, self._admitted)
            or self._turn.reject_exhausted(self._admitted)
            or self._slot.reject_too_large()
            or self._slot.reject_early()
        )
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
        step = NextStep.MOVE
        while True:
            if step is NextStep.MOVE:
                server = self._slot.acquire(self._turn.last_server, self._turn.prompt_size(body))
                if isinstance(server, Rejection):
                    return self._end_unplaced(server)
            outcome = self._try(server)
            match outcome:
                case CompleteResponse(status=status) if self._client.response_started:
                    reason = f"the server responded {status} in the middle of the stream"
                    outcome = MayHaveRun(reason, outcome.response_body, cause=BreakCause.FAILED)
                case CompleteResponse():
                    self._respond(server, outcome)
                    return None
                case OpenStream():
                    outcome = self._relay_stream(server, outcome)
                    if outcome is None:
                        return None
                case NotRun():
                    self._records.not_run(server, outcome)
                    step = self._after_not_run(server, outcome, step)
                    continue
            self._report.response_body = outcome.response_body
            self._records.failed(server, outcome)
            step = self._after_break(server, outcome)
            if step is NextStep.END:
                self._fail(outcome.reason)
                return None

    def _after_not_run(self, server: BackendRecord, outcome: NotRun, step: NextStep) -> NextStep:
        """Return how the call goes on after a server that did not run it."""
        if step is not NextStep.SAME_SERVER:
            return NextStep.MOVE
        if outcome.full and self._resumption.is_in_service(server):
            eventlet.sleep(FULL_RETRY_S * self._state.rng.uniform(0.7, 1.3))
            return NextStep.SAME_SERVER
        self._resumption.on_gone(server)
        return NextStep.MOVE

    def _after_break(self, server: BackendRecord, failure: MayHaveRun) -> NextStep:
        """Return how the call goes on after a server that may have run it."""
        if failure.no_memory:
            return NextStep.END
        if self._resumption is not None:
            return self._resumption.after_break(server, failure)
        return NextStep.MOVE if self._may_run_again() else NextStep.END

    def _respond(self, server: BackendRecord, response: CompleteResponse) -> None:
        self._slot.note_response()
        self._report.response_body = response.response_body
        self._records.call_ended(server)
        self._records.succeeded(server, response.response_body)
        self._slot.release()
        self._client.respond(response.status, response.headers, response.body)
        self._report.end(self._admitted, response.status, "answered")

    def _end_unplaced(self, rejection: Rejection) -> Rejection | None:
        """Return the rejection of a call that got no server; None if a response was sent here."""
        if self._client.response_started:
            raise IncompleteResponseError(f"no server for the rest: {rejection.message}")
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
        options = AttemptOptions(
            self._urgency(),
            self._answer_timeout_s(server),
            self._stream.last_event_id if self._resumption is not None else None,
            self._resumption.watch_head(server) if self._resumption is not None else None,
        )
        return try_server(self._state, call, server, body, options, self._lease)

    def _urgency(self) -> int | None:
        """Return the call's rank for a model engine; None for plain services."""
        if self._admitted.route.call_type is not CallType.STREAMING:
            return None
        return self._slot.rank()

    def _relay_stream(self, server: BackendRecord, stream: OpenStream) -> MayHaveRun | None:
        """Relay events as they arrive; the end is sent only once the turn is stored.

        Returns why the server's response broke off; None if the call has ended.
        """
        self._report.response_body = stream.connection.response_body
        watch = None
        if self._resumption is not None:
            self._resumption.begun(server)
            watch = self._resumption.watch_events(server)
        ended = False
        try:
            self._stream.forward(stream, watch, self._turn.is_open, self._slot.note_first_event)
            ended = True
        except (BackendError, EventError) as error:
            return broken_stream(error, stream.connection.response_body)
        finally:
            if not ended:
                # The server stops before another one is asked for the rest.
                stream.connection.close()
        self._end_stream(server, stream)
        return None

    def _end_stream(self, server: BackendRecord, stream: OpenStream) -> None:
        """End the response once the turn is stored; the server is free while the client reads."""
        self._report.step("whole_ms")
        if self._stream.runs == 1:
            self._records.stream_ended(server, self._report.events, self._generated_tokens())
        self._slot.note_answered()
        self._slot.release()
        self._state.pool.release(stream.connection, stream.facts.keep_alive_s)
        self._records.succeeded(server, stream.connection.response_body)
        self._turn.persist(
            self._request.body, self._stream.output, self._generated_tokens(), server.server_id
        )
        self._client.finish()
        self._report.end(self._admitted, stream.status, "answered")

    def _generated_tokens(self) -> int:
        return count_tokens(self._report.events, self._service)

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        if route.call_type is not CallType.IDEMPOTENT or self._client.response_started:
            return False
        return len(self._slot.may_have_run_on) < route.max_attempts

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

    def _reject(self, rejection: Rejection) -> None:
        extra: Headers = []
        if rejection.retry_after_s is not None:
            extra = [(b"retry-after", f"{rejection.retry_after_s:.3f}".encode())]
        self._respond_error(rejection.status, rejection.error, rejection.message, extra)
        self._report.end(
            self._admitted,
            rejection.status,
            rejection.message,
            rejection.retry_after_s,
            attempt_id_of(self._state, self._request) if self._admitted is None else None,
        )

    def _fail(self, reason: str) -> None:
        """Respond that the call may have run and that its result is not known."""
        if self._client.response_started:
            raise IncompleteResponseError(reason)
        self._respond_error(502, "server_failed", reason)
        self._report.end(self._admitted, 502, reason)

    def _end_timed_out(self) -> None:
        if self._client.response_started:
            self._break_off("the deadline passed in the middle of the response")
        reason = "no response before the deadline"
        self._respond_error(504, "deadline", reason)
        self._report.end(self._admitted, 504, reason)

    def _end_stopped(self) -> None:
        """End a call that this process cannot finish before its planned stop."""
        if self._client.response_started:
            self._break_off("the process stopped in the middle of the response")
        if self._report.attempts == 0:
            self._reject(STOPPING)
            return
        reason = "no response before the process stops"
        self._respond_error(504, STOPPING.error, reason)
        self._report.end(self._admitted, 504, reason)

    def _break_off(self, reason: str) -> NoReturn:
        self._report.end(self._admitted, None, reason)
        raise IncompleteResponseError(reason)

    def _respond_error(
        self, status: int, error: str, message: str, extra: Headers | None = None
    ) -> None:
        headers: Headers = [(b"content-type", b"application/json"), *(extra or ())]
        self._client.respond(status, headers, error_body(error, message))
