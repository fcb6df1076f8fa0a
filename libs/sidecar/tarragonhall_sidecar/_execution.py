"""The core of the sidecar: each attempt runs at most once and ends exactly once.

`Execution.handle(input, now)` is pure: time comes in as an argument, and what is to be done comes
out as a list. The shell carries it out and feeds back what became of it.
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
    Arrived,
    Broke,
    CommitEnd,
    Committed,
    DrainChanged,
    Finished,
    Input,
    Output,
    PeerClosed,
    PeerId,
    Probed,
    ProbeNow,
    Produced,
    ProgramGone,
    Reply,
    Send,
    ServerCrashed,
    StartRun,
    StopRun,
    Tick,
)
from tarragonhall_sidecar._memory import AttemptMemory, Past

KIND_BY_SERVER = {ServerKind.MODEL: CallKind.MODEL, ServerKind.SERVICE: CallKind.SERVICE}

# Enough that a slot which falls free has work at once while the entries hear of it, and little
# enough that fairness is decided in the entries' queues and not in a line that they cannot reorder.
WAITING_PER_SLOT = 2
# An entry that is alive acknowledges within a commit's time; after this it is taken for dead.
UNACKNOWLEDGED_SECONDS = 3.0
# Ends of repeatable calls that failed are not committed, so that another entry may try again.
ENDED_SECONDS = 600.0
# Ends are kept whole until the journal has them. Beyond this no more work is taken, because
# dropping one would lose an answer that the caller has paid for.
ENDED_BYTES = 8 * 1024 * 1024
# An engine that works stops a run between two tokens; one that has not by now was not reached.
CANCEL_AGAIN_SECONDS = 1.0
# One probe that times out may be a busy server; three in a row are taken for a dead one.
FAILED_PROBES = 3


class Execution:
    """Accepts, orders, runs and ends attempts on one backend server."""

    __slots__ = ("_attempt_by_key", "_failed_probes", "_identity", "_life", "_memory", "_order",
                 "draining", "serves", "up")  # fmt: skip

    def __init__(self, identity: Identity, serves: set[str], memory: AttemptMemory) -> None:
        self._identity = identity
        self._memory = memory
        self._attempt_by_key: dict[str, Attempt] = {}
        self._order = itertools.count()
        self._failed_probes = 0
        self._life = ""
        self.serves = serves
        self.draining = False
        self.up = True

    def handle(self, happened: Input, now: float) -> list[Output]:
        """Take one input and return what is to be done about it."""
        match happened:
            case Arrived(peer, Dispatch() as dispatch):
                return self._dispatched(peer, dispatch, now)
            case Arrived(peer, Attach(attempt)):
                return self._attached(peer, attempt)
            case Arrived(peer, CancelAttempt(attempt)):
                return self._cancelled(peer, attempt, now)
            case Arrived(_, AttemptAck(attempt)):
                return self._acknowledged(attempt)
            case ProgramGone(attempt):
                return self._program_gone(attempt, now)
            case PeerClosed(peer):
                return self._peer_closed(peer)
            case Produced(key, text):
                return self._produced(key, text)
            case Finished():
                return self._finished(happened, now)
            case Broke(key, detail):
                return self._broke(key, detail)
            case Probed():
                return self._probed(happened, now)
            case DrainChanged(draining):
                return self._drain_changed(draining, now)
            case Committed(key):
                self._forget_end(key)
                return []
            case Tick():
                return self._ticked(now)
        raise TypeError(f"unexpected input {type(happened).__name__}")

    def count(self, *states: State) -> int:
        """Return how many attempts are in one of these states."""
        return sum(attempt.state in states for attempt in self._attempt_by_key.values())

    def under_way(self) -> set[str]:
        """Return the keys of the attempts that are under way here."""
        items = self._attempt_by_key.items()
        return {key for key, attempt in items if attempt.state is not State.ENDED}

    def programs(self) -> set[str]:
        """Return the programs with an attempt that is under way here."""
        under_way = (a for a in self._attempt_by_key.values() if a.state is not State.ENDED)
        return {attempt.dispatch.attempt.program_id for attempt in under_way}

    # Messages from entries.

    def _dispatched(self, peer: PeerId, dispatch: Dispatch, now: float) -> list[Output]:
        known = self._attempt_by_key.get(dispatch.attempt.key)
        if known is not None and self._is_mine(dispatch.attempt):
            return [Reply(Accepted()), *self._join(peer, known)]
        refusal = self._past_refusal(dispatch.attempt)
        if refusal is not None:
            return [Reply(Rejected(refusal))]
        # Noted before anything else: whatever the answer, a second copy is a repeat.
        self._memory.note(dispatch.attempt)
        refusal = self._present_refusal(dispatch)
        if refusal is not None:
            return [Reply(Rejected(refusal))]
        deadline = now + dispatch.deadline_ms / 1000
        attempt = Attempt(dispatch, next(self._order), deadline, {peer})
        self._attempt_by_key[attempt.key] = attempt
        return [Reply(Accepted()), *self._fill_slots(now)]

    def _attached(self, peer: PeerId, attempt_id: AttemptId) -> list[Output]:
        known = self._attempt_by_key.get(attempt_id.key)
        if known is not None and self._is_mine(attempt_id):
            return [Reply(Accepted()), *self._join(peer, known)]
        return [Reply(Rejected(self._bury(attempt_id)))]

    def _cancelled(self, peer: PeerId, attempt_id: AttemptId, now: float) -> list[Output]:
        known = self._attempt_by_key.get(attempt_id.key)
        if known is None or not self._is_mine(attempt_id):
            return [Reply(Rejected(self._bury(attempt_id)))]
        return [Reply(Accepted()), *self._join(peer, known), *self._cancel(known, now)]

    def _program_gone(self, attempt_id: AttemptId, now: float) -> list[Output]:
        """Stop an attempt that nobody wants any more; its end goes to whoever waits for it."""
        if not self._is_mine(attempt_id):
            return []
        known = self._attempt_by_key.get(attempt_id.key)
        if known is None:
            # Its dispatch may still be under way; it would run for nobody.
            self._bury(attempt_id)
            return []
        return self._cancel(known, now)

    def _cancel(self, known: Attempt, now: float) -> list[Output]:
        if known.state is State.WAITING:
            return self._end(known, AttemptOutcome.NOT_RUN, now, "cancelled before its start")
        # A service call may have taken effect already: it runs on and its true end is told.
        if known.state is State.RUNNING and self._identity.kind is ServerKind.MODEL:
            return [self._ask_to_stop(known, now)]
        return []

    def _acknowledged(self, attempt_id: AttemptId) -> list[Output]:
        if self._is_mine(attempt_id):
            self._forget_end(attempt_id.key)
        return []

    def _peer_closed(self, peer: PeerId) -> list[Output]:
        for attempt in self._attempt_by_key.values():
            attempt.peers.discard(peer)
        return []

    # What the shell reports.

    def _produced(self, key: str, text: str) -> list[Output]:
        attempt = self._attempt_by_key.get(key)
        if attempt is None or attempt.state is not State.RUNNING:
            return []
        attempt.chunks.append(text)
        chunk = Chunk(key, len(attempt.chunks) - 1, text)
        return [Send(peer, chunk) for peer in sorted(attempt.peers)]

    def _finished(self, finished: Finished, now: float) -> list[Output]:
        attempt = self._attempt_by_key.get(finished.key)
        if attempt is None or attempt.state is not State.RUNNING:
            return []
        outputs = self._end(attempt, finished.outcome, now, finished.detail, finished.answer)
        return outputs + self._fill_slots(now)

    def _broke(self, key: str, detail: str) -> list[Output]:
        attempt = self._attempt_by_key.get(key)
        if attempt is None or attempt.state is not State.RUNNING:
            return []
        attempt.state = State.BROKEN
        attempt.end = AttemptEnded(attempt.dispatch.attempt, AttemptOutcome.FAILED, None, detail)
        return [ProbeNow()]

    def _probed(self, probed: Probed, now: float) -> list[Output]:
        was_up = self.up
        self._failed_probes = 0 if probed.up else self._failed_probes + 1
        self.up = not probed.refused and self._failed_probes < FAILED_PROBES
        if probed.life:
            self._life = probed.life
        outputs = self._end_broken(probed, now)
        if was_up and not self.up:
            outputs += self._hand_back("the backend server is down", now)
        return outputs + self._fill_slots(now)

    def _drain_changed(self, draining: bool, now: float) -> list[Output]:
        if draining == self.draining:
            return []
        self.draining = draining
        return self._hand_back("the backend server is draining", now) if draining else []

    def _ticked(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        for attempt in list(self._attempt_by_key.values()):
            if attempt.state is State.WAITING and now >= attempt.deadline:
                detail = "its deadline passed before its start"
                outputs += self._end(attempt, AttemptOutcome.NOT_RUN, now, detail)
            if attempt.state is State.ENDED:
                outputs += self._settle(attempt, now)
            elif attempt.cancel_again_at is not None and now >= attempt.cancel_again_at:
                # The cancel or its answer was lost: the engine still generates for no one.
                outputs.append(self._ask_to_stop(attempt, now))
        return outputs

    # Rules shared by the above.

    def _is_mine(self, attempt: AttemptId) -> bool:
        me = self._identity
        return (attempt.server_id, attempt.incarnation) == (me.server_id, me.incarnation)

    def _past_refusal(self, attempt: AttemptId) -> RejectReason | None:
        if not self._is_mine(attempt):
            return RejectReason.INCARNATION
        match self._memory.past_of(attempt):
            case Past.NEVER_RAN:
                return RejectReason.TOMBSTONE
            case Past.FORGOTTEN:
                return RejectReason.INCARNATION
        return None

    def in_use(self, target: str) -> bool:
        """Return whether an accepted attempt of a target has not ended yet."""
        return any(
            attempt.dispatch.spec.target == target and attempt.state is not State.ENDED
            for attempt in self._attempt_by_key.values()
        )

    def _present_refusal(self, dispatch: Dispatch) -> RejectReason | None:
        if self.draining:
            return RejectReason.DRAINING
        if not self.up:
            return RejectReason.SERVER_DOWN
        wrong_kind = dispatch.spec.kind is not KIND_BY_SERVER[self._identity.kind]
        if wrong_kind or dispatch.spec.target not in self.serves:
            return RejectReason.NOT_SERVED
        if self.count(State.WAITING) >= self._identity.slots * WAITING_PER_SLOT:
            return RejectReason.FULL
        kept = sum(attempt.end_bytes for attempt in self._attempt_by_key.values())
        return RejectReason.FULL if kept > ENDED_BYTES else None

    def _bury(self, attempt: AttemptId) -> RejectReason:
        """Make sure that an attempt that is not under way here never will be."""
        refusal = self._past_refusal(attempt)
        if refusal is not None:
            return refusal
        self._memory.note(attempt)
        return RejectReason.TOMBSTONE

    def _join(self, peer: PeerId, attempt: Attempt) -> list[Output]:
        """Send a peer all that came of an attempt so far, and let it hear the rest."""
        outputs: list[Output] = []
        if peer not in attempt.peers:
            attempt.peers.add(peer)
            for index, text in enumerate(attempt.chunks):
                outputs.append(Send(peer, Chunk(attempt.key, index, text)))
        if attempt.state is State.ENDED:
            outputs.append(Send(peer, attempt.end))
        return outputs

    def _ask_to_stop(self, attempt: Attempt, now: float) -> StopRun:
        attempt.cancel_again_at = now + CANCEL_AGAIN_SECONDS
        return StopRun(attempt.key, abandon=False)

    def _fill_slots(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        waiting = [a for a in self._attempt_by_key.values() if a.state is State.WAITING]
        waiting.sort(key=lambda attempt: (attempt.dispatch.priority, attempt.order))
        free = self._identity.slots - self.count(State.RUNNING, State.BROKEN)
        for attempt in waiting:
            if free <= 0:
                break
            if now >= attempt.deadline:
                continue
            attempt.state = State.RUNNING
            attempt.life = self._life
            self._memory.note_run(attempt.dispatch.attempt)
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

    def _hand_back(self, detail: str, now: float) -> list[Output]:
        outputs: list[Output] = []
        for attempt in list(self._attempt_by_key.values()):
            if attempt.state is State.WAITING:
                outputs += self._end(attempt, AttemptOutcome.NOT_RUN, now, detail)
        return outputs

    def _end_broken(self, probed: Probed, now: float) -> list[Output]:
        """End the runs whose connections broke, as crashed where the probe shows a crash."""
        crashed, failed = [], []
        for attempt in self._attempt_by_key.values():
            if attempt.state is State.RUNNING and probed.refused:
                crashed.append(attempt)
            if attempt.state is not State.BROKEN:
                continue
            restarted = bool(attempt.life and probed.life and attempt.life != probed.life)
            (crashed if probed.refused or restarted else failed).append(attempt)
        outputs: list[Output] = []
        for attempt in failed:
            outputs += self._end(attempt, AttemptOutcome.FAILED, now, attempt.end.detail)
        if not crashed:
            return outputs
        together = ", ".join(attempt.key for attempt in crashed)
        detail = f"the backend server crashed; it ran: {together}"
        sends: list[Output] = []
        for attempt in crashed:
            outputs.append(StopRun(attempt.key, abandon=True))
            sends += self._end(attempt, AttemptOutcome.CRASHED, now, detail)
        dispatches = tuple(attempt.dispatch for attempt in crashed)
        return [*outputs, ServerCrashed(dispatches, tuple(sends))]

    def _settle(self, attempt: Attempt, now: float) -> list[Output]:
        """Commit an end that no one acknowledged."""
        age = now - attempt.ended_at
        if attempt.committing or age < UNACKNOWLEDGED_SECONDS:
            return []
        repeatable = attempt.dispatch.spec.repeatable
        proves = attempt.end.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
        if repeatable and not proves:
            # Committed, it would be final; left open, the caller's resend gets a further attempt.
            if age >= ENDED_SECONDS:
                self._forget_end(attempt.key)
            return []
        attempt.committing = True
        return [CommitEnd(attempt.end, attempt.dispatch.org_id, repeatable)]

    def _forget_end(self, key: str) -> None:
        attempt = self._attempt_by_key.get(key)
        if attempt is not None and attempt.state is State.ENDED:
            del self._attempt_by_key[key]
