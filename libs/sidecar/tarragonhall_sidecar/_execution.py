"""The core of the sidecar: each attempt runs at most once and ends exactly once.

`Execution.handle(event, now)` does no I/O: time is an argument, and the actions are returned as a
list. The shell performs them and feeds their results back as events.
"""

from __future__ import annotations

import itertools

from tarragonhall_model import (
    Accepted,
    Attach,
    AttemptAck,
    AttemptEnded,
    AttemptId,
    AttemptOutcome,
    CallKind,
    CancelAttempt,
    Chunk,
    Dispatch,
    Rejected,
    RejectReason,
    ServerKind,
)

from tarragonhall_sidecar._attempt import Attempt, Identity, State
from tarragonhall_sidecar._events import (
    CommitEnd,
    ConnectionLost,
    DrainChanged,
    EndCommitted,
    Input,
    MessageReceived,
    Output,
    PeerClosed,
    PeerId,
    ProbeNow,
    ProbeResult,
    ProgramEnded,
    Reply,
    RunFinished,
    Send,
    ServerCrashed,
    StartRun,
    StopRun,
    TextGenerated,
    Tick,
)
from tarragonhall_sidecar._memory import AttemptMemory, KnownState

KIND_BY_SERVER = {ServerKind.MODEL: CallKind.MODEL, ServerKind.SERVICE: CallKind.SERVICE}

# Enough that a freed slot has work while the entries learn of it, and few enough that fairness is
# decided in the entries' queues instead of in this one, which they cannot reorder.
MAX_WAITING_PER_SLOT = 2
# A live entry acknowledges within the time of a commit; after this it is considered dead.
ACKNOWLEDGE_TIMEOUT_SECONDS = 3.0
# Failed ends of repeatable calls are not committed, so that another entry may retry the call.
FAILED_END_RETENTION_SECONDS = 600.0
# Ends are stored until the journal has them. Beyond this limit new work is rejected, because
# dropping an end would lose an answer that the caller was charged for.
MAX_ENDED_BYTES = 8 * 1024 * 1024
# A healthy engine stops a run between two tokens; if it has not by now, the cancel was lost.
CANCEL_RETRY_SECONDS = 1.0
# A single timeout may come from a busy server; three in a row mark it as down.
DOWN_AFTER_FAILED_PROBES = 3


class Execution:
    """Admits, queues, starts and ends attempts on one backend server."""

    __slots__ = ("_arrival_numbers", "_attempt_by_key", "_failed_probes", "_identity", "_memory",
                 "_server_incarnation", "draining", "serves", "up")  # fmt: skip

    def __init__(self, identity: Identity, serves: set[str], memory: AttemptMemory) -> None:
        self._identity = identity
        self._memory = memory
        self._attempt_by_key: dict[str, Attempt] = {}
        self._arrival_numbers = itertools.count()
        self._failed_probes = 0
        self._server_incarnation = ""
        self.serves = serves
        self.draining = False
        self.up = True

    def handle(self, event: Input, now: float) -> list[Output]:
        """Apply one event and return the actions to perform."""
        match event:
            case MessageReceived(peer, Dispatch() as dispatch):
                return self._on_dispatch(peer, dispatch, now)
            case MessageReceived(peer, Attach(attempt)):
                return self._on_attach(peer, attempt)
            case MessageReceived(peer, CancelAttempt(attempt)):
                return self._on_cancel(peer, attempt, now)
            case MessageReceived(_, AttemptAck(attempt)):
                return self._on_acknowledgement(attempt)
            case ProgramEnded(attempt):
                return self._on_program_ended(attempt, now)
            case PeerClosed(peer):
                return self._on_peer_closed(peer)
            case TextGenerated(key, text):
                return self._on_text_generated(key, text)
            case RunFinished():
                return self._on_run_finished(event, now)
            case ConnectionLost(key, detail):
                return self._on_connection_lost(key, detail)
            case ProbeResult():
                return self._on_probe_result(event, now)
            case DrainChanged(draining):
                return self._on_drain_changed(draining, now)
            case EndCommitted(key):
                self._drop_end(key)
                return []
            case Tick():
                return self._on_tick(now)
        raise TypeError(f"unexpected input {type(event).__name__}")

    def count(self, *states: State) -> int:
        """Return how many attempts are in one of these states."""
        return sum(attempt.state in states for attempt in self._attempt_by_key.values())

    def in_flight_keys(self) -> set[str]:
        """Return the keys of the attempts that have not ended."""
        items = self._attempt_by_key.items()
        return {key for key, attempt in items if attempt.state is not State.ENDED}

    def active_programs(self) -> set[str]:
        """Return the programs with an attempt that has not ended."""
        in_flight = (a for a in self._attempt_by_key.values() if a.state is not State.ENDED)
        return {attempt.dispatch.attempt.program_id for attempt in in_flight}

    # Messages from entries.

    def _on_dispatch(self, peer: PeerId, dispatch: Dispatch, now: float) -> list[Output]:
        known = self._attempt_by_key.get(dispatch.attempt.key)
        if known is not None and self._is_current(dispatch.attempt):
            return [Reply(Accepted()), *self._subscribe(peer, known)]
        reject_reason = self._remembered_reject_reason(dispatch.attempt)
        if reject_reason is not None:
            return [Reply(Rejected(reject_reason))]
        # Recorded before the admission check, so that a second copy is a repeat even if this one
        # is rejected.
        self._memory.remember(dispatch.attempt)
        reject_reason = self._admission_reject_reason(dispatch)
        if reject_reason is not None:
            return [Reply(Rejected(reject_reason))]
        deadline = now + dispatch.deadline_ms / 1000
        attempt = Attempt(dispatch, next(self._arrival_numbers), deadline, {peer})
        self._attempt_by_key[attempt.key] = attempt
        return [Reply(Accepted()), *self._fill_slots(now)]

    def _on_attach(self, peer: PeerId, attempt_id: AttemptId) -> list[Output]:
        known = self._attempt_by_key.get(attempt_id.key)
        if known is not None and self._is_current(attempt_id):
            return [Reply(Accepted()), *self._subscribe(peer, known)]
        return [Reply(Rejected(self._tombstone(attempt_id)))]

    def _on_cancel(self, peer: PeerId, attempt_id: AttemptId, now: float) -> list[Output]:
        known = self._attempt_by_key.get(attempt_id.key)
        if known is None or not self._is_current(attempt_id):
            return [Reply(Rejected(self._tombstone(attempt_id)))]
        return [Reply(Accepted()), *self._subscribe(peer, known), *self._cancel(known, now)]

    def _on_program_ended(self, attempt_id: AttemptId, now: float) -> list[Output]:
        """Stop an attempt whose program has ended; attached peers still receive its end."""
        if not self._is_current(attempt_id):
            return []
        known = self._attempt_by_key.get(attempt_id.key)
        if known is None:
            # Its dispatch may still be in flight, and would run for a program that has ended.
            self._tombstone(attempt_id)
            return []
        return self._cancel(known, now)

    def _cancel(self, known: Attempt, now: float) -> list[Output]:
        if known.state is State.WAITING:
            return self._end(known, AttemptOutcome.NOT_RUN, now, "cancelled before its start")
        # A service call may have taken effect already: it runs on, and its real end is reported.
        if known.state is State.RUNNING and self._identity.kind is ServerKind.MODEL:
            return [self._request_stop(known, now)]
        return []

    def _on_acknowledgement(self, attempt_id: AttemptId) -> list[Output]:
        if self._is_current(attempt_id):
            self._drop_end(attempt_id.key)
        return []

    def _on_peer_closed(self, peer: PeerId) -> list[Output]:
        for attempt in self._attempt_by_key.values():
            attempt.peers.discard(peer)
        return []

    # Events from the shell.

    def _on_text_generated(self, key: str, text: str) -> list[Output]:
        attempt = self._attempt_by_key.get(key)
        if attempt is None or attempt.state is not State.RUNNING:
            return []
        attempt.chunks.append(text)
        chunk = Chunk(key, len(attempt.chunks) - 1, text)
        return [Send(peer, chunk) for peer in sorted(attempt.peers)]

    def _on_run_finished(self, result: RunFinished, now: float) -> list[Output]:
        attempt = self._attempt_by_key.get(result.key)
        if attempt is None or attempt.state is not State.RUNNING:
            return []
        outputs = self._end(attempt, result.outcome, now, result.detail, result.answer)
        return outputs + self._fill_slots(now)

    def _on_connection_lost(self, key: str, detail: str) -> list[Output]:
        attempt = self._attempt_by_key.get(key)
        if attempt is None or attempt.state is not State.RUNNING:
            return []
        attempt.state = State.BROKEN
        attempt.end = AttemptEnded(attempt.dispatch.attempt, AttemptOutcome.FAILED, None, detail)
        return [ProbeNow()]

    def _on_probe_result(self, result: ProbeResult, now: float) -> list[Output]:
        was_up = self.up
        self._failed_probes = 0 if result.up else self._failed_probes + 1
        self.up = not result.refused and self._failed_probes < DOWN_AFTER_FAILED_PROBES
        if result.server_incarnation:
            self._server_incarnation = result.server_incarnation
        outputs = self._end_broken(result, now)
        if was_up and not self.up:
            outputs += self._end_waiting("the backend server is down", now)
        return outputs + self._fill_slots(now)

    def _on_drain_changed(self, draining: bool, now: float) -> list[Output]:
        if draining == self.draining:
            return []
        self.draining = draining
        return self._end_waiting("the backend server is draining", now) if draining else []

    def _on_tick(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        for attempt in list(self._attempt_by_key.values()):
            if attempt.state is State.WAITING and now >= attempt.deadline:
                detail = "its deadline passed before its start"
                outputs += self._end(attempt, AttemptOutcome.NOT_RUN, now, detail)
            if attempt.state is State.ENDED:
                outputs += self._commit_unacknowledged(attempt, now)
            elif attempt.cancel_retry_at is not None and now >= attempt.cancel_retry_at:
                # The cancel or its answer was lost, so the engine still generates.
                outputs.append(self._request_stop(attempt, now))
        return outputs

    # Shared rules.

    def _is_current(self, attempt: AttemptId) -> bool:
        identity = self._identity
        return (attempt.server_id, attempt.incarnation) == (
            identity.server_id,
            identity.incarnation,
        )

    def _remembered_reject_reason(self, attempt: AttemptId) -> RejectReason | None:
        if not self._is_current(attempt):
            return RejectReason.INCARNATION
        match self._memory.state_of(attempt):
            case KnownState.NEVER_RAN:
                return RejectReason.TOMBSTONE
            case KnownState.FORGOTTEN:
                return RejectReason.INCARNATION
        return None

    def in_use(self, target: str) -> bool:
        """Return whether an accepted attempt of a target has not ended yet."""
        return any(
            attempt.dispatch.spec.target == target and attempt.state is not State.ENDED
            for attempt in self._attempt_by_key.values()
        )

    def _admission_reject_reason(self, dispatch: Dispatch) -> RejectReason | None:
        if self.draining:
            return RejectReason.DRAINING
        if not self.up:
            return RejectReason.SERVER_DOWN
        wrong_kind = dispatch.spec.kind is not KIND_BY_SERVER[self._identity.kind]
        if wrong_kind or dispatch.spec.target not in self.serves:
            return RejectReason.NOT_SERVED
        if self.count(State.WAITING) >= self._identity.slots * MAX_WAITING_PER_SLOT:
            return RejectReason.FULL
        ended_bytes = sum(attempt.end_bytes for attempt in self._attempt_by_key.values())
        return RejectReason.FULL if ended_bytes > MAX_ENDED_BYTES else None

    def _tombstone(self, attempt: AttemptId) -> RejectReason:
        """Ensure that an attempt that is not in flight here never starts."""
        reject_reason = self._remembered_reject_reason(attempt)
        if reject_reason is not None:
            return reject_reason
        self._memory.remember(attempt)
        return RejectReason.TOMBSTONE

    def _subscribe(self, peer: PeerId, attempt: Attempt) -> list[Output]:
        """Send a peer all output of an attempt so far and subscribe it to the rest."""
        outputs: list[Output] = []
        if peer not in attempt.peers:
            attempt.peers.add(peer)
            for index, text in enumerate(attempt.chunks):
                outputs.append(Send(peer, Chunk(attempt.key, index, text)))
        if attempt.state is State.ENDED:
            outputs.append(Send(peer, attempt.end))
        return outputs

    def _request_stop(self, attempt: Attempt, now: float) -> StopRun:
        attempt.cancel_retry_at = now + CANCEL_RETRY_SECONDS
        return StopRun(attempt.key, abandon=False)

    def _fill_slots(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        waiting = [a for a in self._attempt_by_key.values() if a.state is State.WAITING]
        waiting.sort(key=lambda attempt: (attempt.dispatch.priority, attempt.arrival_number))
        free = self._identity.slots - self.count(State.RUNNING, State.BROKEN)
        for attempt in waiting:
            if free <= 0:
                break
            if now >= attempt.deadline:
                continue
            attempt.state = State.RUNNING
            attempt.server_incarnation = self._server_incarnation
            self._memory.remember_start(attempt.dispatch.attempt)
            outputs.append(StartRun(attempt.dispatch, attempt.deadline - now))
            free -= 1
        return outputs

    def _end(
        self, attempt: Attempt, outcome: AttemptOutcome, now: float, detail: str, answer=None
    ) -> list[Output]:
        attempt.state = State.ENDED
        attempt.ended_at = now
        attempt.chunks = []
        attempt.end = AttemptEnded(attempt.dispatch.attempt, outcome, answer, detail)
        return [Send(peer, attempt.end) for peer in sorted(attempt.peers)]

    def _end_waiting(self, detail: str, now: float) -> list[Output]:
        outputs: list[Output] = []
        for attempt in list(self._attempt_by_key.values()):
            if attempt.state is State.WAITING:
                outputs += self._end(attempt, AttemptOutcome.NOT_RUN, now, detail)
        return outputs

    def _end_broken(self, result: ProbeResult, now: float) -> list[Output]:
        """End the runs whose connections broke, as crashed if the probe shows a crash."""
        crashed, failed = [], []
        for attempt in self._attempt_by_key.values():
            if attempt.state is State.RUNNING and result.refused:
                crashed.append(attempt)
            if attempt.state is not State.BROKEN:
                continue
            restarted = bool(
                attempt.server_incarnation
                and result.server_incarnation
                and attempt.server_incarnation != result.server_incarnation
            )
            (crashed if result.refused or restarted else failed).append(attempt)
        outputs: list[Output] = []
        for attempt in failed:
            outputs += self._end(attempt, AttemptOutcome.FAILED, now, attempt.end.detail)
        if not crashed:
            return outputs
        keys = ", ".join(attempt.key for attempt in crashed)
        detail = f"the backend server crashed; it ran: {keys}"
        sends: list[Output] = []
        for attempt in crashed:
            outputs.append(StopRun(attempt.key, abandon=True))
            sends += self._end(attempt, AttemptOutcome.CRASHED, now, detail)
        dispatches = tuple(attempt.dispatch for attempt in crashed)
        return [*outputs, ServerCrashed(dispatches, tuple(sends))]

    def _commit_unacknowledged(self, attempt: Attempt, now: float) -> list[Output]:
        """Commit an end that no entry acknowledged in time."""
        age = now - attempt.ended_at
        if attempt.committing or age < ACKNOWLEDGE_TIMEOUT_SECONDS:
            return []
        repeatable = attempt.dispatch.spec.repeatable
        is_conclusive = attempt.end.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
        if repeatable and not is_conclusive:
            # A committed end is final; without it, the caller's resend gets another attempt.
            if age >= FAILED_END_RETENTION_SECONDS:
                self._drop_end(attempt.key)
            return []
        attempt.committing = True
        return [CommitEnd(attempt.end, attempt.dispatch.org_id, repeatable)]

    def _drop_end(self, key: str) -> None:
        attempt = self._attempt_by_key.get(key)
        if attempt is not None and attempt.state is State.ENDED:
            del self._attempt_by_key[key]
