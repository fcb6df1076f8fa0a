"""Event loop of the replicated log: one green thread, one step and sync for all queued events."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
import structlog
from eventlet.event import Event as Waiter
from eventlet.hubs import get_hub
from eventlet.queue import Empty, LightQueue
from eventlet.timeout import Timeout
from tarragonhall_consensus import (
    TICK_SECONDS,
    ChangeMember,
    ConfirmRead,
    Event,
    Member,
    MessageRejected,
    ProposalDone,
    ProposalLost,
    ProposeData,
    ReadConfirmed,
    ReadLost,
    Received,
    ReplicaApi,
    Role,
    RoleChanged,
    SendTo,
    TakeSnapshot,
    Tick,
)
from tarragonhall_model import StorageError, StorageUnavailableError, TarragonhallError

from tarragonhall_group._offline import OfflineReplica

log = structlog.get_logger(__name__)

# Proposals that wait for a commit. At 2,000 commits a second this is one second of waiting; further
# ones would be answered only after their senders had timed out.
MAX_WAITING_PROPOSALS = 2_000
BUSY_RETRY_MS = 100
# Attempts to open a data folder again, at growing intervals. Each one reads the whole log once a
# small write succeeds, and a disk with room again should be used within a second.
FIRST_REOPEN_SECONDS = 0.1
MAX_REOPEN_SECONDS = 0.8
# A member that fails again sooner waits longer for the next attempt.
STABLE_SECONDS = 10.0
# A step that takes this long waits for a disk that hangs: a leader has lost its majority meanwhile,
# and a follower has missed heartbeats. Below a second, after which callers try another member.
HUNG_STEP_SECONDS = 0.8
# A disk can be full for days.
REOPEN_LOG_SECONDS = 10.0


class LoopBusyError(TarragonhallError):
    """Too many proposals are waiting; this one was not logged."""


class OutcomeUnknownError(TarragonhallError):
    """This member is not the leader, or the outcome of the request is unknown."""


class StepFailedError(TarragonhallError):
    """A step of the replica, or a callback of the loop, raised an unexpected exception."""


@dataclass(slots=True)
class LoopHooks:
    """Callbacks of the loop: to send to a peer, on a role change, and after each step.

    `on_step` is called with the seconds that a step took, its sync included.
    `on_offline` is called with the failure when the member no longer takes part, and with None when
    it does again. `reopen` opens the data folder as at a start of the process; without it the loop
    ends at the first failure.
    """

    send: Callable[[str, object], None]
    on_role: Callable[[RoleChanged], None]
    after_step: Callable[[], None]
    on_offline: Callable[[TarragonhallError | None], None] = lambda _failure: None
    on_step: Callable[[float], None] = lambda _seconds: None
    reopen: Callable[[], ReplicaApi] | None = None


class LogLoop:
    """Queues events for the replica and passes its outputs to the waiting callers.

    `failure` says why the member takes no part at present, None if it does.
    """

    __slots__ = (
        "_attempts",
        "_failed_at",
        "_hooks",
        "_is_offline",
        "_logged_at",
        "_monotonic",
        "_queue",
        "_reopen_wait_s",
        "_reopened_at",
        "_step_started_at",
        "_stopped",
        "_tokens",
        "_waiter_by_token",
        "failure",
        "replica",
    )

    def __init__(
        self,
        replica: ReplicaApi,
        monotonic: Callable[[], float],
        hooks: LoopHooks,
        failure: StorageUnavailableError | None = None,
    ) -> None:
        self.replica = replica
        self.failure: TarragonhallError | None = failure
        self._hooks = hooks
        self._monotonic = monotonic
        self._queue = LightQueue()
        self._tokens = itertools.count(1)
        self._waiter_by_token: dict[int, Waiter] = {}
        self._step_started_at: float | None = None
        self._stopped = False
        self._is_offline = False
        self._failed_at = self._logged_at = 0.0
        self._reopened_at = float("-inf")
        self._reopen_wait_s = FIRST_REOPEN_SECONDS
        self._attempts = 0

    def run(self) -> None:
        """Step the replica until `stop` is called or its data folder cannot be used for good.

        After any other failure, the member takes no part until its folder has been opened again: a
        step that ended half-way may have left the replica in any state.
        """
        if self.failure is not None:
            log.error("group.storage_failed", error=str(self.failure))
        try:
            while not self._stopped and self._is_recoverable(self.failure):
                try:
                    self._run_once()
                except StorageError as error:
                    self._fail(error)
                except (Exception, Timeout) as error:  # noqa: BLE001 - the member must not end
                    log.exception("group.step_failed", error=repr(error))
                    self._fail(StepFailedError(f"a step failed: {error!r}"))
        finally:
            self._stopped = True
            self._release_waiters()
            self.replica.close()

    def stop(self) -> None:
        """End the loop after the current step."""
        self._stopped = True
        self._queue.put(Tick())

    def is_leader(self) -> bool:
        """Return whether this member is the leader and its lease is valid now."""
        if self._stopped or self.failure is not None or self.is_hung():
            return False
        return self.replica.is_leader(self._monotonic())

    def is_hung(self) -> bool:
        """Return whether the disk has kept the current step waiting for `HUNG_STEP_SECONDS`."""
        return self.step_seconds() >= HUNG_STEP_SECONDS

    def step_seconds(self) -> float:
        """Return for how long the current step has been running, 0 between two steps."""
        started_at = self._step_started_at
        return 0.0 if started_at is None else time.monotonic() - started_at

    def waiting(self) -> int:
        """Return the number of requests that wait for the log."""
        return len(self._waiter_by_token)

    def propose(self, data: bytes, timeout_s: float) -> object:
        """Commit data and return the state machine's result."""
        if len(self._waiter_by_token) >= MAX_WAITING_PROPOSALS:
            raise LoopBusyError("too many proposals are waiting for the log")
        token = next(self._tokens)
        match self._submit(token, ProposeData(token, data), timeout_s):
            case ProposalDone(result=result):
                return result
            case ProposalLost(not_logged=True, reason=reason) if self.is_leader():
                raise LoopBusyError(reason)
        raise OutcomeUnknownError("the proposal may or may not be committed")

    def change_member(self, member: Member, remove: bool, replace: bool, timeout_s: float) -> None:
        """Change one member and wait until the change is complete."""
        token = next(self._tokens)
        event = ChangeMember(token, member, remove=remove, replace=replace)
        match self._submit(token, event, timeout_s):
            case ProposalDone():
                return
            case ProposalLost(reason=reason):
                raise OutcomeUnknownError(reason or "the change may or may not be committed")
        raise OutcomeUnknownError(
            "the change is not complete yet; list the members to see its state"
        )

    def confirm(self, timeout_s: float) -> bool:
        """Return whether a majority confirmed this leader after the call."""
        token = next(self._tokens)
        outcome = self._submit(token, ConfirmRead(token), timeout_s)
        return isinstance(outcome, ReadConfirmed)

    def receive(self, peer: str, message: object) -> None:
        """Queue a message received from a peer; it is dropped while the data folder is unusable.

        Also while a disk hangs: its senders repeat them, and kept ones would fill the memory.
        """
        if self.failure is None and not self.is_hung():
            self._queue.put(Received(peer, message))

    def take_snapshot(self) -> None:
        """Queue a request to write a snapshot and compact the log."""
        self._queue.put(TakeSnapshot())

    def _submit(self, token: int, event: Event, timeout_s: float) -> object:
        if self._stopped or self.failure is not None or self.is_hung():
            return None
        waiter = Waiter()
        self._waiter_by_token[token] = waiter
        self._queue.put(event)
        try:
            with Timeout(timeout_s, False):
                return waiter.wait()
            return None
        finally:
            self._waiter_by_token.pop(token, None)

    def _gather(self) -> list[Event]:
        """Wait for an event or the next tick, and return everything queued by then."""
        events: list[Event] = [Tick()]
        try:
            events.append(self._queue.get(timeout=TICK_SECONDS))
            while True:
                events.append(self._queue.get_nowait())
        except Empty:
            return events

    def _step(self, events: list[Event]) -> None:
        self._step_started_at = started_at = time.monotonic()
        hung_timer = get_hub().schedule_call_global(HUNG_STEP_SECONDS, self._on_hung_step)
        try:
            outputs = self.replica.step(events, self._monotonic())
        finally:
            self._step_started_at = None
            hung_timer.cancel()
        self._hooks.on_step(time.monotonic() - started_at)
        for output in outputs:
            match output:
                case SendTo(peer=peer, message=message):
                    self._hooks.send(peer, message)
                case ProposalDone(token=token) | ProposalLost(token=token):
                    self._resolve(token, output)
                case ReadConfirmed(token=token) | ReadLost(token=token):
                    self._resolve(token, output)
                case RoleChanged():
                    self._hooks.on_role(output)
                case MessageRejected(peer=peer, reason=reason):
                    log.warning("group.message_rejected", peer=peer, reason=reason)
        self._hooks.after_step()

    def _on_hung_step(self) -> None:
        """Answer all callers: how long a disk hangs is unknown."""
        log.error("group.step_hung", waiting=self.waiting())
        self._release_waiters()

    def _resolve(self, token: int, output: object) -> None:
        waiter = self._waiter_by_token.pop(token, None)
        if waiter is not None:
            waiter.send(output)

    def _run_once(self) -> None:
        """Step the replica once, or try once to open the data folder again."""
        if self.failure is None:
            self._step(self._gather())
            return
        if not self._is_offline:
            self._go_offline()
        if self._is_recoverable(self.failure):
            self._try_reopen()

    def _is_recoverable(self, failure: TarragonhallError | None) -> bool:
        """Return whether the loop goes on after a failure.

        It does for any, until the member is offline; from then on for those that may end.
        """
        if failure is None or not self._is_offline:
            return True
        if self._hooks.reopen is None:
            return False
        return isinstance(failure, StorageUnavailableError | StepFailedError)

    def _fail(self, error: TarragonhallError) -> None:
        is_new = self.failure is None or not self._is_recoverable(error)
        if is_new and isinstance(error, StorageError):
            log.error("group.storage_failed", error=str(error))
        self.failure = error

    def _go_offline(self) -> None:
        """Drop all of the replica's state: nothing that the failed step did has left this member.

        After a failed write, only the folder tells what is stored.
        """
        self._is_offline = True
        self.replica.close()
        offline = self.replica = OfflineReplica(self.replica.status())
        self._failed_at = self._logged_at = self._monotonic()
        if self._failed_at - self._reopened_at > STABLE_SECONDS:
            self._reopen_wait_s = FIRST_REOPEN_SECONDS
        self._attempts = 0
        self._release_waiters()
        self._hooks.on_offline(self.failure)
        self._hooks.on_role(RoleChanged(Role.OFFLINE, offline.term(), None))

    def _try_reopen(self) -> None:
        """Wait, then open the data folder; raise what `reopen` raises."""
        eventlet.sleep(self._reopen_wait_s)
        if self._stopped:
            return
        self._reopen_wait_s = min(self._reopen_wait_s * 2, MAX_REOPEN_SECONDS)
        self._attempts += 1
        now = self._monotonic()
        if now - self._logged_at >= REOPEN_LOG_SECONDS:
            self._logged_at = now
            log.warning(
                "group.storage_unavailable", error=str(self.failure), attempts=self._attempts
            )
        replica = self._hooks.reopen()
        # Events from before the failure: their senders have been answered.
        self._queue.queue.clear()
        self.replica = replica
        self.failure = None
        self._is_offline = False
        self._reopened_at = self._monotonic()
        offline_s = round(self._reopened_at - self._failed_at, 3)
        log.warning("group.storage_reopened", offline_s=offline_s, attempts=self._attempts)
        self._hooks.on_offline(None)

    def _release_waiters(self) -> None:
        for token in list(self._waiter_by_token):
            self._resolve(token, None)
