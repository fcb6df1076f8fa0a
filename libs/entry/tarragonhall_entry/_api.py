"""The HTTP API for callers."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import replace

import eventlet
import structlog
from tarragonhall_decisions import SMALL_REQUEST_BYTES
from tarragonhall_model import (
    CallClosed,
    CallKind,
    CallOpened,
    CallRunning,
    CallSpec,
    EndProgram,
    Execution,
    InputError,
    OpenProgram,
    ProgramInfo,
    ProgramReport,
    ProgramStatus,
    QueryCall,
    QueryProgram,
    Refusal,
    RefusalCode,
    new_id,
)
from tarragonhall_state import Follower
from tarragonhall_wire import (
    ControlClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ProcessContext,
    UnavailableError,
    sse_event,
)

from tarragonhall_entry._authentication import Authenticator, RefusedError
from tarragonhall_entry._effects import Call
from tarragonhall_entry._requests import (
    load_call,
    load_idempotency_key,
    load_open,
    load_seq,
)
from tarragonhall_entry._responses import (
    closed_response,
    error_response,
    program_json,
    report_json,
    terminal_event,
)
from tarragonhall_entry._runner import CallRunner
from tarragonhall_entry._running import RunningCall, StreamReset, TextPart, next_item

log = structlog.get_logger(__name__)

CONTROL_TIMEOUT_SECONDS = 6.0
# Added to the call's timeout: the final refusal of a call takes at most two commits.
ANSWER_GRACE_SECONDS = 0.5
# Together with the freshness lease, longer than a leader election of control. A longer wait would
# delay the refusal of an entry that has lost control for good.
FRESH_WAIT_SECONDS = 1.5
FRESH_POLL_SECONDS = 0.05
FETCH_RETRY_MS = 1_000


class CallersApi:
    """Handlers of the API's routes."""

    __slots__ = (
        "_authenticator",
        "_call_numbers",
        "_context",
        "_control",
        "_follower",
        "_runner",
        "is_ready",
        "on_program_ended",
    )

    def __init__(
        self,
        context: ProcessContext,
        control: ControlClient,
        follower: Follower,
        authenticator: Authenticator,
        runner: CallRunner,
    ) -> None:
        self._context = context
        self._control = control
        self._follower = follower
        self._authenticator = authenticator
        self._runner = runner
        self._call_numbers = itertools.count()
        self.is_ready = lambda: False
        self.on_program_ended = lambda _info: None

    def add_routes(self, server: HttpServer) -> None:
        """Register every route of the API."""
        program = "/v1/programs/{program_id}"
        server.route("POST", "/v1/programs", self.open_program, screen=self._screen)
        server.route("GET", program, self.show_program)
        server.route("POST", f"{program}/calls", self.call, screen=self._screen_call)
        server.route("GET", f"{program}/calls/{{seq}}", self.show_call)
        server.route("POST", f"{program}/finish", self.finish, screen=self._screen)
        server.route("POST", f"{program}/cancel", self.cancel, screen=self._screen)
        server.route("GET", "/healthz", lambda _request: HttpResponse(200, {"healthy": True}))
        server.route("GET", "/readyz", self.readyz)

    def readyz(self, _request: HttpRequest) -> HttpResponse:
        """Report to the load balancer whether this entry takes requests."""
        ready = self.is_ready()
        problems = self._context.hub.problems.texts()
        return HttpResponse(200 if ready else 503, {"ready": ready, "problems": problems})

    def open_program(self, request: HttpRequest) -> HttpResponse:
        """Open a program."""
        _, organisation = self._authenticate(request)
        body = load_open(request.json())
        idempotency_key = load_idempotency_key(request.headers.get("idempotency-key"))
        command = OpenProgram(
            program_id=new_id("prog", self._context.rng),
            org_id=organisation.org_id,
            budget=organisation.budget,
            idle_seconds=organisation.idle_seconds,
            parent=body.parent,
            labels=body.labels if body.model is None else body.labels | {"model": body.model},
            idempotency_key=idempotency_key,
        )
        info = self._commit(command)
        self._context.timeline.add("program.opened", info.program_id, org=organisation.org_id)
        return HttpResponse(201, program_json(info))

    def show_program(self, request: HttpRequest) -> HttpResponse:
        """Return a program with its closed calls."""
        _, organisation = self._authenticate(request)
        query = QueryProgram(request.path_params["program_id"], organisation.org_id)
        report = self._query(query)
        if not isinstance(report, ProgramReport):
            raise TypeError(f"unexpected reply {type(report).__name__}")
        return HttpResponse(200, report_json(report))

    def finish(self, request: HttpRequest) -> HttpResponse:
        """End a program as finished."""
        return self._end(request, ProgramStatus.FINISHED)

    def cancel(self, request: HttpRequest) -> HttpResponse:
        """Cancel a program and stop its running call."""
        return self._end(request, ProgramStatus.CANCELLED)

    def show_call(self, request: HttpRequest) -> HttpResponse:
        """Return the recorded result of a call, or 202 while it runs."""
        _, organisation = self._authenticate(request)
        program_id, seq = request.path_params["program_id"], _seq(request.path_params["seq"])
        state = self._query(QueryCall(program_id, seq, organisation.org_id))
        match state:
            case CallClosed():
                return closed_response(program_id, seq, state)
            case CallOpened() | CallRunning():
                value = {"program_id": program_id, "seq": seq, "status": "running"}
                return HttpResponse(202, value, headers={"Retry-After": "1"})
        raise TypeError(f"unexpected reply {type(state).__name__}")

    def call(self, request: HttpRequest) -> HttpResponse:
        """Run a call, join it where it already runs, or return its recorded answer."""
        arrived_at = self._context.monotonic()
        key_hash, organisation = self._authenticate_call(request)
        spec = load_call(request.json(), self._follower.model_by_name)
        call = Call(
            call_id=f"{request.path_params['program_id']}/{spec.seq}/{next(self._call_numbers)}",
            program_id=request.path_params["program_id"],
            org_id=organisation.org_id,
            key_hash=key_hash,
            spec=spec,
            entry_id=self._context.instance,
            deadline=arrived_at + spec.timeout_ms / 1000,
            model_version=self._model_version(spec),
        )
        running = self._runner.start(call)
        if spec.stream:
            return HttpResponse(200, events=self._stream(running, call))
        closed = running.wait(self._seconds_left(call))
        return closed_response(call.program_id, spec.seq, closed or _still_running())

    def _model_version(self, spec: CallSpec) -> str | None:
        model = self._follower.model_by_name.get(spec.target)
        return model.version if model is not None and spec.kind is CallKind.MODEL else None

    def _stream(self, running: RunningCall, call: Call) -> Iterator[bytes]:
        queue = running.listen()
        while True:
            item = next_item(queue, self._seconds_left(call))
            match item:
                case TextPart(index=index, text=text):
                    yield sse_event("chunk", {"index": index, "text": text})
                case StreamReset():
                    yield sse_event("reset", {})
                case _:
                    closed = item or _still_running()
                    yield terminal_event(call.program_id, call.spec.seq, closed)
                    return

    def _seconds_left(self, call: Call) -> float:
        return call.deadline + ANSWER_GRACE_SECONDS - self._context.monotonic()

    def _authenticate_call(self, request: HttpRequest):
        """Authenticate a call; a refusal says `not_run` only where the journal confirms it.

        The request may be a resend of a call that ran through another entry, or before its key was
        withdrawn. If it were refused with `not_run`, its caller would repeat the work.
        """
        try:
            return self._authenticate(request)
        except RefusedError as error:
            execution = self._execution(error.refusal, request)
            raise RefusedError(replace(error.refusal, execution=execution)) from error

    def _execution(self, refusal: Refusal, request: HttpRequest) -> Execution:
        if refusal.code is not RefusalCode.UNAUTHENTICATED:
            # An entry that cannot confirm its settings cannot query control either.
            return Execution.UNKNOWN
        try:
            seq = load_seq(request.json())
        except InputError:
            seq = None
        if seq is None:
            return Execution.UNKNOWN
        return self._runner.query_execution(request.path_params["program_id"], seq)

    def _screen(self, request: HttpRequest) -> None:
        """Authenticate a request whose body is still to be read; nothing is held for others."""
        self._authenticate(request)

    def _screen_call(self, request: HttpRequest) -> None:
        """Authenticate a call whose body is still to be read, and let short ones pass in any case.

        The journal can be asked about its execution only with what the body says. The refusal of a
        longer one says nothing of its execution.
        """
        try:
            self._authenticate(request)
        except RefusedError as error:
            refusal = error.refusal
            if refusal.code is RefusalCode.UNAUTHENTICATED and _has_short_body(request):
                return
            raise RefusedError(replace(refusal, execution=Execution.UNKNOWN)) from error

    def _authenticate(self, request: HttpRequest):
        self._wait_until_fresh()
        now = self._context.monotonic()
        key_hash, organisation = self._authenticator.authenticate(
            request.bearer(), now, self._context.wall_ms()
        )
        request.join(organisation.org_id)
        return key_hash, organisation

    def _wait_until_fresh(self) -> None:
        """Wait a limited time for the settings to be confirmed again.

        They cannot be confirmed while control elects a leader, which takes about a second. Calls
        refused during an election would only be sent again.
        """
        deadline = self._context.monotonic() + FRESH_WAIT_SECONDS
        while not self._authenticator.is_fresh(self._context.monotonic()):
            if self._context.monotonic() >= deadline:
                return
            eventlet.sleep(FRESH_POLL_SECONDS)

    def _end(self, request: HttpRequest, status: ProgramStatus) -> HttpResponse:
        _, organisation = self._authenticate(request)
        program_id = request.path_params["program_id"]
        info = self._commit(EndProgram(program_id, organisation.org_id, status))
        self._context.timeline.add(f"program.{info.status.value}", program_id)
        self.on_program_ended(info)
        return HttpResponse(200, program_json(info))

    def _commit(self, command: object) -> ProgramInfo:
        try:
            result = self._control.propose(command, CONTROL_TIMEOUT_SECONDS)
        except UnavailableError as error:
            raise RefusedError(_unavailable(error)) from error
        if isinstance(result, Refusal):
            raise RefusedError(result)
        return result

    def _query(self, query: object) -> object:
        try:
            reply = self._control.request(query, CONTROL_TIMEOUT_SECONDS)
        except UnavailableError as error:
            raise RefusedError(_unavailable(error)) from error
        if isinstance(reply, Refusal):
            raise RefusedError(reply)
        return reply


def on_error(error: Exception) -> HttpResponse:
    """Return the response for an exception raised by a handler."""
    response = error_response(error)
    if response is not None:
        return response
    log.error("request.failed", error=repr(error), exc_info=error)
    refusal = Refusal(RefusalCode.UNAVAILABLE, "internal error", Execution.UNKNOWN, FETCH_RETRY_MS)
    return error_response(RefusedError(refusal))


def _has_short_body(request: HttpRequest) -> bool:
    """Return whether the body is announced, and as no longer than that of an ordinary request."""
    length = request.headers.get("content-length")
    return length is not None and int(length) <= SMALL_REQUEST_BYTES


def _seq(text: str) -> int:
    if text.isascii() and text.isdigit() and 0 < len(text) <= 9:
        return int(text)
    raise RefusedError(Refusal(RefusalCode.NOT_FOUND, f"no call {text!r}"))


def _unavailable(error: Exception) -> Refusal:
    return Refusal(RefusalCode.UNAVAILABLE, str(error), Execution.UNKNOWN, FETCH_RETRY_MS)


def _still_running() -> CallClosed:
    message = "the call has not ended within its timeout; fetch its answer later"
    refusal = Refusal(RefusalCode.DEADLINE, message, Execution.UNKNOWN, FETCH_RETRY_MS)
    return CallClosed(refusal=refusal)
