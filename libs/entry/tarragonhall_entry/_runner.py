"""Runs the flow of each call in a green thread and performs the effects that it yields."""

from __future__ import annotations

import dataclasses

import eventlet
import structlog
from eventlet.semaphore import Semaphore
from tarragonhall_decisions import Abandon, Deadline, Retry, after_failure
from tarragonhall_model import (
    CallClosed,
    CallSpec,
    Execution,
    ExecutionKnown,
    Quarantined,
    QueryExecution,
    QueryQuarantine,
    Refusal,
    RefusalCode,
    fingerprint,
)
from tarragonhall_rates import Rates
from tarragonhall_state import Follower
from tarragonhall_wire import ControlClient, ProcessContext, UnavailableError

from tarragonhall_entry._authentication import Authenticator
from tarragonhall_entry._dispatcher import Dispatcher
from tarragonhall_entry._effects import (
    Acknowledge,
    AcquireSlot,
    AwaitEnd,
    AwaitPredecessor,
    Call,
    CheckKey,
    CheckQuarantine,
    Commit,
    DecideRetry,
    EntryInView,
    FindServer,
    Pause,
    QueryControl,
    Reattach,
    RecordEvent,
    ReleaseSlot,
    ResetStream,
    SendDispatch,
    TakeToken,
    TryAcquireSlot,
    Unavailable,
)
from tarragonhall_entry._flow import call_flow
from tarragonhall_entry._running import RunningCall
from tarragonhall_entry._scheduler import Scheduler
from tarragonhall_entry._slot_queue import SlotQueue

log = structlog.get_logger(__name__)

# An election takes about a second; after several seconds the outcome of a commit is unknown.
COMMIT_TIMEOUT_SECONDS = 6.0
QUERY_TIMEOUT_SECONDS = 1.0
# Before a call is refused as `not_run`, control is queried once. The limit protects control from
# an organisation far above its rate; further refusals wait for their query. If the 33rd concurrent
# one got `unknown` at once instead, its caller could not tell whether to send the call again.
MAX_CONCURRENT_QUERIES = 32
# A separate, lower limit, so that requests without a valid key cannot use up the queries of
# authenticated ones. A query takes a round trip of milliseconds: 4 serve hundreds per second.
MAX_UNAUTHENTICATED_QUERIES = 4
# The commit of a crash report takes a few milliseconds, or about a second during an election.
MAX_QUARANTINE_QUERIES = 4
QUARANTINE_PAUSE_SECONDS = 0.1
# A call is early if its predecessor, the program's previous call, has not ended. If the
# predecessor runs at this entry, the early call waits for its end, at most this long.
MAX_PREDECESSOR_WAIT_SECONDS = 30.0
# Otherwise it tries to open again after growing pauses. It usually waits a few milliseconds for the
# commit of its predecessor. A call sent far out of order is refused after about 5 seconds; each try
# costs a commit.
EARLY_MIN_PAUSE_SECONDS = 0.01
EARLY_MAX_PAUSE_SECONDS = 0.4
MAX_EARLY_TRIES = 16


class CallRunner:
    """Runs the calls of this entry."""

    __slots__ = (
        "_authenticator",
        "_context",
        "_control",
        "_dispatcher",
        "_follower",
        "_query_semaphore",
        "_rates",
        "_scheduler",
        "_slot_queue",
        "_unauthenticated_queries",
        "running_by_key",
    )

    def __init__(
        self,
        context: ProcessContext,
        control: ControlClient,
        follower: Follower,
        authenticator: Authenticator,
        rates: Rates,
        scheduler: Scheduler,
        slot_queue: SlotQueue,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._control = control
        self._follower = follower
        self._authenticator = authenticator
        self._rates = rates
        self._scheduler = scheduler
        self._slot_queue = slot_queue
        self._query_semaphore = Semaphore(MAX_CONCURRENT_QUERIES)
        self._unauthenticated_queries = 0
        self._dispatcher = dispatcher
        self.running_by_key: dict[tuple[str, int], RunningCall] = {}

    def start(self, call: Call) -> RunningCall:
        """Run a call in its own green thread, or join it where it already runs here."""
        running = self.running_by_key.get(call.key)
        if running is not None and is_resend(running.call, call):
            # The key of the resend was just checked. Withdrawing the first key must not end a call
            # that was sent again with a valid one.
            running.call.key_hash = call.key_hash
            return running
        running = RunningCall(call)
        self.running_by_key.setdefault(call.key, running)
        eventlet.spawn_n(self._run, running)
        return running

    def _run(self, running: RunningCall) -> None:
        call = running.call
        started = self._context.monotonic()
        try:
            closed = self._drive(running)
        except Exception:  # noqa: BLE001 - the caller must not wait for its timeout
            log.exception("call.failed", program_id=call.program_id, seq=call.spec.seq)
            refusal = Refusal(RefusalCode.UNAVAILABLE, "internal error", Execution.UNKNOWN)
            closed = CallClosed(refusal=refusal)
            # A slot that the failed flow still held would never be released.
            self._slot_queue.release(call, ReleaseSlot(used=False))
        self._dispatcher.forget_call(running)
        if self.running_by_key.get(call.key) is running:
            del self.running_by_key[call.key]
        elapsed_ms = (self._context.monotonic() - started) * 1000
        self._context.metrics.timing("entry.call_ms", elapsed_ms)
        outcome = "answered" if closed.answer is not None else closed.refusal.code.value
        self._context.metrics.count(f"entry.call.{outcome}")
        running.close(closed)

    def _drive(self, running: RunningCall) -> CallClosed:
        flow = call_flow(running.call)
        result = None
        while True:
            try:
                effect = flow.send(result)
            except StopIteration as stop:
                return stop.value
            result = self._perform(running, effect)

    def _perform(self, running: RunningCall, effect: object) -> object:
        call = running.call
        match effect:
            case Commit(body=body):
                return self._commit(body)
            case QueryControl(query=query):
                return self._query(query)
            case TakeToken():
                deadline = Deadline(call.deadline)
                in_progress = call.spec.seq > 1
                return self._rates.take(call.org_id, call.call_id, deadline, in_progress)
            case CheckKey():
                return self._check_key(call)
            case AcquireSlot():
                return self._slot_queue.acquire(call, effect)
            case ReleaseSlot():
                return self._slot_queue.release(call, effect)
            case TryAcquireSlot(started=started):
                return self._slot_queue.try_acquire(call, started)
            case SendDispatch(server=server, message=message):
                return self._dispatcher.dispatch(running, server, message)
            case AwaitEnd(attempt=attempt):
                return self._dispatcher.await_end(running, attempt)
            case Reattach(attempt=attempt):
                return self._dispatcher.reattach(running, attempt)
            case Acknowledge(attempt=attempt):
                return self._dispatcher.acknowledge(attempt)
            case Pause(seconds=seconds):
                return self._pause(call, seconds)
            case FindServer(attempt=attempt):
                return self._dispatcher.find_server(attempt)
            case EntryInView(entry_id=entry_id):
                return any(e.entry_id == entry_id for e in self._follower.view.entries)
            case DecideRetry():
                return self._decide_retry(call, effect)
            case CheckQuarantine():
                return self._check_quarantine(call)
            case AwaitPredecessor(tries=tries):
                return self._await_predecessor(call, tries)
            case ResetStream():
                return running.reset()
            case RecordEvent(kind=kind, fields=fields):
                return self._context.timeline.add(kind, call.program_id, **fields)
        raise TypeError(f"unknown effect {type(effect).__name__}")

    def _commit(self, body: object) -> object:
        started = self._context.monotonic()
        try:
            return self._control.propose(body, COMMIT_TIMEOUT_SECONDS)
        except UnavailableError as error:
            self._context.metrics.count("entry.commit_unavailable")
            return Unavailable(str(error))
        finally:
            elapsed_ms = (self._context.monotonic() - started) * 1000
            self._context.metrics.timing("entry.commit_ms", elapsed_ms)

    def _query(self, query: object) -> object:
        if not self._query_semaphore.acquire(timeout=QUERY_TIMEOUT_SECONDS):
            return Unavailable("too many concurrent queries")
        try:
            return self._control.request(query, QUERY_TIMEOUT_SECONDS)
        except UnavailableError as error:
            return Unavailable(str(error))
        finally:
            self._query_semaphore.release()

    def query_execution(self, program_id: str, seq: int) -> Execution:
        """Return the execution state of a call for a refusal to a caller without a valid key."""
        if (program_id, seq) in self.running_by_key:
            return Execution.UNKNOWN
        if self._unauthenticated_queries >= MAX_UNAUTHENTICATED_QUERIES:
            return Execution.UNKNOWN
        self._unauthenticated_queries += 1
        try:
            reply = self._control.request(QueryExecution(program_id, seq), QUERY_TIMEOUT_SECONDS)
        except UnavailableError:
            return Execution.UNKNOWN
        finally:
            self._unauthenticated_queries -= 1
        return reply.execution if isinstance(reply, ExecutionKnown) else Execution.UNKNOWN

    def _check_key(self, call: Call) -> Refusal | None:
        now = self._context.monotonic()
        return self._authenticator.check(call.key_hash, now, self._context.wall_ms())

    def _check_quarantine(self, call: Call) -> Refusal | None:
        """Query the crash count of a request that was on a server when it crashed.

        The sidecar's crash report may still be in flight to the journal, so a count of 0 is queried
        again.
        """
        request_fingerprint = fingerprint(call.org_id, call.spec.target, call.spec.body)
        for _ in range(MAX_QUARANTINE_QUERIES):
            reply = self._query(QueryQuarantine(request_fingerprint))
            if isinstance(reply, Quarantined) and reply.crashes:
                return self._quarantine(call, request_fingerprint, reply)
            eventlet.sleep(QUARANTINE_PAUSE_SECONDS)
        return None

    def _quarantine(
        self, call: Call, request_fingerprint: str, known: Quarantined
    ) -> Refusal | None:
        now = self._context.monotonic()
        self._scheduler.quarantine.merge_crashes(request_fingerprint, known.crashes, now)
        if not known.quarantined:
            return None
        self._context.metrics.count("entry.quarantined")
        return self._scheduler.quarantine.refusal(request_fingerprint, now) or Refusal(
            RefusalCode.QUARANTINED, "the request crashed the backend servers that ran it"
        )

    def _decide_retry(self, call: Call, effect: DecideRetry) -> Retry | Abandon:
        self._context.metrics.count("entry.attempt_failed")
        return after_failure(
            effect.failure,
            repeatable=call.spec.repeatable,
            attempts=effect.tries,
            possibly_run=effect.possibly_run,
            deadline=Deadline(call.deadline),
            budget=self._scheduler.retry_budget(call.spec.target),
            now=self._context.monotonic(),
            rng=self._context.rng,
        )

    def _await_predecessor(self, call: Call, tries: int) -> bool:
        """Wait for the previous call: for its end where it runs here, else for a backoff pause."""
        running = self.running_by_key.get((call.program_id, call.spec.seq - 1))
        if running is not None:
            left = min(MAX_PREDECESSOR_WAIT_SECONDS, call.deadline - self._context.monotonic())
            return running.wait(left) is not None
        pause = min(EARLY_MAX_PAUSE_SECONDS, EARLY_MIN_PAUSE_SECONDS * 2 ** min(tries, 10))
        return tries < MAX_EARLY_TRIES and self._pause(call, pause)

    def _pause(self, call: Call, seconds: float) -> bool:
        left = call.deadline - self._context.monotonic()
        if left <= 0:
            return False
        eventlet.sleep(min(left, seconds))
        return left > seconds


def is_resend(first: Call, second: Call) -> bool:
    """Return whether two requests are for the same call; timeout and streaming may differ."""
    if first.org_id != second.org_id:
        return False
    return _identity(first.spec) == _identity(second.spec)


def _identity(spec: CallSpec) -> CallSpec:
    return dataclasses.replace(spec, timeout_ms=0, stream=False)
