"""The way of one passed-on call: admission, turn, tries on backend servers, answer.

A call that need not outlive this process costs no commit: at most once is promised for each
attempt of the client, which lives and dies here. It is sent again only after a server said, or the
failed connection proves, that it did not run; or where it may run more than once.
"""

from __future__ import annotations

import eventlet
import structlog
from tarragonhall_decisions import CallNeed
from tarragonhall_model import BackendRecord, CallType

from tarragonhall_relay._admission import (
    Admitted,
    Refused,
    admit,
    give_back_rate,
    take_rate,
)
from tarragonhall_relay._attempt import (
    MayHaveRun,
    NotRun,
    OpenStream,
    Outcome,
    WholeAnswer,
    try_server,
)
from tarragonhall_relay._client import ClientConnection, ClientRequest, error_body
from tarragonhall_relay._dialect import Headers
from tarragonhall_relay._errors import (
    BackendError,
    BrokenAnswerError,
    ClientGoneError,
    DeadlinePassedError,
)
from tarragonhall_relay._events import EventError, EventReader
from tarragonhall_relay._place_of_call import HOLD_S, PlaceOfCall, hold
from tarragonhall_relay._report import CallReport
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._turn_of_call import TurnOfCall, tokens_of

log = structlog.get_logger(__name__)


class Call:
    """One call of one client connection."""

    __slots__ = (
        "_admitted",
        "_arrived_at",
        "_client",
        "_place",
        "_report",
        "_request",
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
        self._admitted: Admitted | None = None
        self._place: PlaceOfCall | None = None
        self._report = CallReport(state, arrived_at)
        self._turn = TurnOfCall(state)

    def run(self) -> None:
        """Answer the call.

        Raises `ClientGoneError`, or `BrokenAnswerError` where the answer broke off midway.
        """
        hold(self._state, self._arrived_at + HOLD_S, lambda: self._state.table is not None)
        admitted = admit(self._state, self._request, self._arrived_at)
        if isinstance(admitted, Refused):
            self._refuse(admitted)
            return
        self._admitted = admitted
        self._place = PlaceOfCall(self._state, admitted, self._arrived_at)
        left_s = admitted.deadline.at - self._state.monotonic()
        self._client.watch()
        try:
            with eventlet.Timeout(max(0.0, left_s), DeadlinePassedError("the time is over")):
                self._run_admitted()
        except DeadlinePassedError:
            self._end_late()
        except ClientGoneError:
            self._report.end(admitted, None, "client_gone")
            raise
        except BrokenAnswerError as error:
            self._report.end(admitted, None, str(error))
            raise
        finally:
            self._client.unwatch()
            self._place.leave()
            self._turn.end(self._used_tokens())

    def _run_admitted(self) -> None:
        turned_away = self._turn.refuse_spent(self._admitted) or self._place.turn_away()
        if turned_away is not None:
            self._refuse(turned_away)
            return
        refused = take_rate(self._state, self._admitted, self._place.service)
        self._report.step("rated_ms")
        if refused is None:
            refused = self._run_rated()
            if refused is not None:
                give_back_rate(self._state, self._admitted)
        if refused is not None:
            self._refuse(refused)

    def _run_rated(self) -> Refused | None:
        """Run the call that has its token; return the refusal where it did not run."""
        refused = self._turn.begin(self._admitted, self._state.monotonic())
        if refused is not None:
            return refused
        self._report.step("ready_ms")
        return self._serve()

    def _serve(self) -> Refused | None:
        """Try servers until one answers; return the refusal where none ran the call."""
        body = self._request.body
        while True:
            server = self._place.next(self._turn.last_server, self._turn.prompt_size(body))
            if isinstance(server, Refused):
                return self._give_up(server)
            outcome = self._try(server)
            match outcome:
                case WholeAnswer():
                    self._place.began()
                    self._learn_call(server)
                    self._answered(server)
                    self._place.leave()
                    self._client.respond(outcome.status, outcome.headers, outcome.body)
                    self._report.end(self._admitted, outcome.status, "answered")
                    return None
                case OpenStream():
                    self._relay_stream(server, outcome)
                    self._report.end(self._admitted, outcome.status, "answered")
                    return None
                case NotRun():
                    self._note_not_run(server, outcome)
                case MayHaveRun(reason=reason, silent=silent):
                    self._note_failure(server, reason, silent)
                    if not self._may_run_again():
                        self._fail(reason)
                        return None

    def _give_up(self, refused: Refused) -> Refused | None:
        """Return the refusal of a call that no server took; None where it is answered here."""
        if self._place.ran_on:
            # One of the servers may have run it, so the promise of a refusal would be false.
            self._fail("no other server took the call after one broke off")
            return None
        return refused

    def _try(self, server: BackendRecord) -> Outcome:
        call = self._admitted
        body = self._turn.prompt(self._request.body)
        self._report.attempts += 1
        self._report.server_id = server.server_id
        self._report.step("sent_ms")
        return try_server(
            self._state, call, server, body, self._urgency(), self._patience_s(server)
        )

    def _urgency(self) -> int | None:
        """Return what to tell a model engine of the call's rank; None for plain services."""
        if self._admitted.route.call_type is not CallType.STREAMING:
            return None
        return self._place.rank()

    def _relay_stream(self, server: BackendRecord, stream: OpenStream) -> None:
        """Pass events on as they come; the end goes out only once the turn is kept."""
        connection = stream.connection
        whole = False
        try:
            self._report.step("head_ms")
            self._client.begin(stream.status, stream.headers)
            output = self._pass_events(stream)
            self._report.step("whole_ms")
            self._learn_stream(server)
            self._place.leave()
            self._turn.keep(self._request.body, output, self._used_tokens(), server.server_id)
            self._client.finish()
            whole = True
        except (BackendError, EventError) as error:
            self._note_failure(server, str(error))
            raise BrokenAnswerError(str(error)) from error
        finally:
            if whole:
                self._state.pool.put(connection, stream.facts.keep_alive_s)
                self._answered(server)
            else:
                connection.close()

    def _pass_events(self, stream: OpenStream) -> bytes:
        reader = EventReader()
        output: list[bytes] = []
        keeps = self._turn.is_open
        while True:
            data = stream.connection.read()
            if data is None:
                break
            events = reader.feed(data)
            if not events:
                continue
            if not self._report.events:
                self._report.step("first_ms")
                self._place.began()
            self._client.send(b"".join(event.raw for event in events))
            self._report.events += len(events)
            if keeps:
                output.extend(event.data + b"\n" for event in events)
        if not reader.is_whole():
            raise EventError("the stream ended in the middle of an event")
        return b"".join(output)

    def _used_tokens(self) -> int:
        service = self._state.table.service_by_name.get(self._place.service)
        return tokens_of(self._report.events, service)

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        if route.call_type is not CallType.IDEMPOTENT or self._client.began:
            return False
        return len(self._place.ran_on) < route.max_attempts

    def _learn_call(self, server: BackendRecord) -> None:
        """Tell the choice of servers how long a plain call ran."""
        self._state.retries.on_success()
        now = self._state.monotonic()
        kind = self._admitted.route.name
        run_ms = self._place.held_ms(now)
        self._state.chooser.pace(server.service).call_ended(server.server_id, kind, run_ms, now)

    def _learn_stream(self, server: BackendRecord) -> None:
        """Tell the choice of servers how long a stream kept its place."""
        run_ms = self._place.held_ms(self._state.monotonic())
        self._state.chooser.pace(server.service).stream_ended(run_ms)

    def _answered(self, server: BackendRecord) -> None:
        need = CallNeed(server.service, self._admitted.facts.parts)
        self._state.chooser.answered(server.server_id, need)
        self._state.suspects.answered(self._admitted.fingerprint)

    def _note_not_run(self, server: BackendRecord, outcome: NotRun) -> None:
        if outcome.full:
            self._place.began()
        self._place.refused(reached=outcome.full)
        self._state.metrics.count("relay.not_run")
        log.info(
            "call.not_run",
            id=self._admitted.facts.attempt_id,
            server=server.server_id,
            reason=outcome.reason,
        )

    def _patience_s(self, server: BackendRecord) -> float | None:
        """Return how long to wait for this server before a look-up is sent to another one.

        A look-up whose answer is lost would else fail its program. Retries are saved up from
        answers, so that an overload that makes every call slow is not doubled.
        """
        route = self._admitted.route
        if route.call_type is not CallType.IDEMPOTENT:
            return None
        if len(self._place.ran_on) + 1 >= route.max_attempts or not self._state.retries.has_one():
            return None
        left_s = self._admitted.deadline.at - self._state.monotonic()
        return self._state.chooser.pace(server.service).patience_s(route.name, left_s)

    def _note_failure(self, server: BackendRecord, reason: str, silent: bool = False) -> None:
        self._place.broke()
        if silent:
            self._state.retries.take()
        else:
            self._state.suspects.broke(self._admitted.fingerprint, self._state.monotonic())
            self._state.tell_suspect(self._admitted.fingerprint)
        self._state.metrics.count("relay.may_have_run")
        log.info(
            "call.may_have_run",
            id=self._admitted.facts.attempt_id,
            server=server.server_id,
            reason=reason,
        )

    def _refuse(self, refused: Refused) -> None:
        extra: Headers = []
        if refused.retry_after_s is not None:
            extra = [(b"retry-after", f"{refused.retry_after_s:.3f}".encode())]
        self._own_answer(refused.status, refused.error, refused.message, extra)
        self._report.end(self._admitted, refused.status, refused.message, refused.retry_after_s)

    def _fail(self, reason: str) -> None:
        """Say that the call may have run and that there is no answer."""
        self._own_answer(502, "server_failed", reason)
        self._report.end(self._admitted, 502, reason)

    def _end_late(self) -> None:
        if self._client.began:
            reason = "the time was over in the middle of the answer"
            self._report.end(self._admitted, None, reason)
            raise BrokenAnswerError(reason)
        reason = "no answer came in time"
        self._own_answer(504, "deadline", reason)
        self._report.end(self._admitted, 504, reason)

    def _own_answer(
        self, status: int, error: str, message: str, extra: Headers | None = None
    ) -> None:
        headers: Headers = [(b"content-type", b"application/json"), *(extra or ())]
        self._client.respond(status, headers, error_body(error, message))
