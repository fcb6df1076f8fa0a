"""The slot of one call at a backend server: early rejection, the wait for a slot, its release."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from tarragonhall_decisions import CallRequirements, QueuedCall, Tier, UrgentTier, urgency_of
from tarragonhall_model import BackendRecord, Refusal, RefusalCode

from tarragonhall_relay._admission import STATUS_UNAVAILABLE, AdmittedCall, Rejection, rejection_for
from tarragonhall_relay._call_memory import memory_tokens, reject_too_large
from tarragonhall_relay._server_times import ServerTimes
from tarragonhall_relay._slots import Slot
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._urgent_call import UrgentCall

# After a restart of the whole system a leader is elected within little more than a second, and
# servers register within another. A caller that is rejected at once uses up its few attempts before
# then, and its program fails. A leader or server that is still missing after
# this time is not expected soon.
MAX_READY_WAIT_S = 1.6
# Part of a call's time limit that this wait may take; the rest is for running.
READY_WAIT_FRACTION = 0.4
READY_POLL_S = 0.02
# Delay before an unreachable server is tried again when no other one is left.
UNREACHABLE_RETRY_S = 0.06
# Each refusal by a server costs a round trip, and the tokens of the call stay reserved meanwhile.
MAX_REFUSALS = 12
# Retry delays for clients: the time until slots become free when every server is full, and until a
# new server has registered.
FULL_RETRY_S = 0.15
NO_SERVER_RETRY_S = 0.8
# Later turns of a program go to the server of its first one, each with the whole history, so a
# first call is weighed as this many turns.
EXPECTED_TURNS = 4
# A first call that waits longer than this share of its latency objective makes its program late,
# and those queued with it. If it is rejected by then, a retry can still meet the objective.
FIRST_CALL_WAIT_FRACTION = 0.5


def wait_until(state: RelayState, until: float, condition: Callable[[], bool]) -> bool:
    """Wait for a condition; return whether it held by `until` (monotonic seconds)."""
    while not condition():
        if state.monotonic() >= until:
            return False
        eventlet.sleep(READY_POLL_S)
    return True


class CallSlot:
    """Holds the slot of a call and the servers that must not get it again."""

    __slots__ = (
        "_arrived_at",
        "_call",
        "_queued",
        "_refusals",
        "_slack_s",
        "_slot",
        "_state",
        "_tier",
        "_unreachable",
        "_urgent",
        "may_have_run_on",
        "service",
        "started_at",
        "times",
    )

    def __init__(self, state: RelayState, call: AdmittedCall, arrived_at: float) -> None:
        self._state = state
        self._call = call
        self._arrived_at = arrived_at
        self._slot: Slot | None = None
        # When the last slot was granted, in monotonic seconds.
        self.started_at = arrived_at
        self._refusals = 0
        # Unreachable servers did not run the call and may be retried; those below must not be.
        self._unreachable: set[str] = set()
        self.may_have_run_on: set[str] = set()
        self.service = state.table.service_of(call.route, state.rng)
        self._tier: Tier | UrgentTier = Tier(call.starts_program, self.rank())
        self._queued = self._make_queued_call()
        self._urgent: UrgentCall | None = None
        self._slack_s: float | None = None
        if state.urgent_first is not None:
            self._urgent = state.urgent_first.call(call, self.service, self.rank())
        if self._urgent is not None:
            self._slack_s = self._urgent.slack_s()
            self._tier = self._urgent.tier(self._slack_s)
            self._queued.slack_s = self._slack_s or 0.0
        self.times = ServerTimes(state.chooser)

    def reject_early(self) -> Rejection | None:
        """Return the rejection of a call that must not start now, if there is one."""
        refusal = self._urgent.refuse_start() if self._urgent is not None else None
        if refusal is None:
            refusal = self._state.slots.reject_early(self.service, self._queued, self._tier)
        return self._no_slot(refusal) if refusal is not None else None

    def reject_too_large(self) -> Rejection | None:
        """Return the rejection of a call that no engine can hold, if it is one."""
        return reject_too_large(self._state, self._call, self.service)

    def acquire(self, last_server: str, prompt_size: int) -> BackendRecord | Rejection:
        """Wait for a known server with a free slot; return the server or the rejection.

        `last_server` ran the previous turn, and the call carries `prompt_size` bytes. A slot that
        is already held is exchanged for the new one.
        """
        if self._refusals >= MAX_REFUSALS:
            return self._full()
        if self._is_blocked():
            return self._no_server()
        if not wait_until(self._state, self._wait_deadline(), self._has_server):
            return self._no_server()
        if self._urgent is not None:
            self._urgent.on_wait()
        requirements = self._requirements(last_server, prompt_size)
        result = self._wait_for_slot(requirements)
        if isinstance(result, Refusal):
            return self._no_slot(result)
        if self._urgent is not None:
            self._urgent.on_slot()
        self._slot = result
        self.started_at = result.started_at
        self.times.on_granted(result.server, requirements)
        return result.server

    def _wait_for_slot(self, requirements: CallRequirements) -> Slot | Refusal:
        if self._slot is None:
            return self._state.slots.acquire(self._queued, self._tier, requirements)
        previous, self._slot = self._slot, None
        return self._state.slots.reacquire(previous, requirements)

    def held_ms(self, now: float) -> float:
        """Return for how many milliseconds the current slot has been held."""
        return (now - self._slot.started_at) * 1000

    def note_not_run(self, reachable: bool) -> None:
        """Record that the server of the current slot did not run the call."""
        self._refusals += 1
        server_id = self._slot.server.server_id
        now = self._state.monotonic()
        if reachable:
            self._state.chooser.refused(server_id, now)
            return
        self._unreachable.add(server_id)
        self._state.chooser.failed(server_id, now)

    def note_failure(self) -> None:
        """Record that the server of the current slot failed and may have run the call."""
        server_id = self._slot.server.server_id
        self.may_have_run_on.add(server_id)
        self._state.chooser.failed(server_id, self._state.monotonic())

    def note_response(self) -> None:
        """Record that the server has begun to respond."""
        if self._slot is not None:
            self._state.slots.note_response(self._slot)

    def note_answered(self) -> None:
        """Record that the call in the current slot was answered in full."""
        if self._urgent is not None:
            self._urgent.on_answered()

    def note_first_event(self) -> None:
        """Record that the first event of a stream has arrived."""
        if self._slot is None:
            return
        self.note_response()
        now = self._state.monotonic()
        self.times.on_first_event(self.held_ms(now), now)

    def release(self) -> None:
        """Release the slot, if one is held."""
        if self._urgent is not None:
            self._urgent.on_left()
        if self._slot is not None:
            self._state.slots.release(self._slot)
            self._slot = None

    def rank(self) -> int:
        """Return the call's rank, lower first."""
        organisation = self._call.organisation
        priority = organisation.priority if organisation else 0
        return urgency_of(priority, self._call.route.priority)

    def _is_blocked(self) -> bool:
        """Return whether the call is rejected without a wait for servers.

        That is so if the service is evacuated, or if no known server is in the call's home zones.
        """
        chooser = self._state.chooser
        if chooser.is_evacuated(self.service):
            return True
        homes = self._call.home_zones
        known = chooser.servers(self.service)
        return homes is not None and not any(server.availability_zone in homes for server in known)

    def _wait_deadline(self) -> float:
        total_s = self._call.deadline.at - self._arrived_at
        return self._arrived_at + min(MAX_READY_WAIT_S, total_s * READY_WAIT_FRACTION)

    def _has_server(self) -> bool:
        """Return whether there is a server to try; unreachable ones count again after a delay."""
        known = {server.server_id for server in self._state.chooser.servers(self.service)}
        if known - self.may_have_run_on - self._unreachable:
            return True
        if self._unreachable and known - self.may_have_run_on:
            eventlet.sleep(UNREACHABLE_RETRY_S * self._state.rng.uniform(0.5, 1.5))
            self._unreachable.clear()
        return False

    def _requirements(self, last_server: str, prompt_size: int) -> CallRequirements:
        facts, route = self._call.facts, self._call.route
        turns = EXPECTED_TURNS if self._call.starts_program else 1
        return CallRequirements(
            self.service,
            facts.parts if route.retained or route.affinity else (),
            facts.object_key if route.affinity else "",
            last_server,
            frozenset(self._unreachable | self.may_have_run_on),
            prompt_size * turns,
            self._call.home_zones,
            self._slack_s * 1000 if self._slack_s is not None else None,
            memory_tokens=memory_tokens(self._state, self._call, self.service),
            history_key="" if route.retained else facts.program_id,
        )

    def _make_queued_call(self) -> QueuedCall:
        call = self._call
        begins = call.starts_program
        max_wait_s = float("inf")
        if begins and call.route.objective_ms:
            max_wait_s = FIRST_CALL_WAIT_FRACTION * call.route.objective_ms / 1000
        return QueuedCall(
            # Clients choose attempt ids, and two concurrent calls could carry the same one.
            f"{call.facts.attempt_id}/{id(self)}",
            call.org_id or "",
            call.facts.program_id,
            1.0,
            call.deadline,
            run_s=self._state.chooser.run_times(self.service).run_ms / 1000,
            started=not begins,
            max_wait_s=max_wait_s,
        )

    def _no_slot(self, refusal: Refusal) -> Rejection:
        self._state.metrics.count("relay.no_place")
        return rejection_for(refusal)

    def _no_server(self) -> Rejection:
        message = f"no server of {self.service} is known and reachable"
        return _unavailable(RefusalCode.NO_SERVER, message, NO_SERVER_RETRY_S)

    def _full(self) -> Rejection:
        message = f"every server of {self.service} that was tried is full or unreachable"
        retry_after_s = FULL_RETRY_S * self._state.rng.uniform(0.7, 1.3)
        return _unavailable(RefusalCode.OVERLOADED, message, retry_after_s)


def _unavailable(code: RefusalCode, message: str, retry_after_s: float) -> Rejection:
    return Rejection(STATUS_UNAVAILABLE, code.value, message, retry_after_s)
