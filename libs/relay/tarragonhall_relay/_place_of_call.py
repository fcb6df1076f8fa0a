"""The place of one call at a server: whether it may begin, the wait for it, and giving it back."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from tarragonhall_decisions import CallNeed, QueuedCall, Tier, urgency_of
from tarragonhall_model import BackendRecord, Refusal, RefusalCode

from tarragonhall_relay._admission import UNAVAILABLE, Admitted, Refused, refused_for
from tarragonhall_relay._places import Place
from tarragonhall_relay._state import RelayState

# After a restart of everything a leader is elected within a second and a bit, and servers announce
# themselves within another. A caller has few tries: refused at once they are all used up by then,
# and its program fails; a call that waits is served. Longer waits are for what is not coming.
HOLD_S = 1.6
# Of the time that a call has, what it may wait so; the rest is for running.
HOLD_SHARE = 0.4
HOLD_POLL_S = 0.02
# Until a server that could not be reached is tried again, where no other is left.
UNREACHED_PAUSE_S = 0.06
# Servers that refuse cost a round trip each, and the stores keep the call's turn open meanwhile.
MAX_REFUSALS = 12
# How long until places come free where every server is full, and until one has announced itself.
FULL_RETRY_S = 0.15
NO_SERVER_RETRY_S = 0.8
# A program's later turns go where its first one ran, each with all that was said before.
TURNS_AHEAD = 4
# A first call that waits longer than this share of its objective makes its program late, and those
# that wait with it. Refused by then it can still be in time when it comes back.
FIRST_CALL_PATIENCE = 0.5


def hold(state: RelayState, until: float, condition: Callable[[], bool]) -> bool:
    """Wait for something that is expected soon; return whether it came by `until`."""
    while not condition():
        if state.monotonic() >= until:
            return False
        eventlet.sleep(HOLD_POLL_S)
    return True


class PlaceOfCall:
    """Holds what must be given back when the call has left its server."""

    __slots__ = (
        "_arrived_at",
        "_call",
        "_place",
        "_queued",
        "_refusals",
        "_state",
        "_tier",
        "_unreached",
        "ran_on",
        "service",
    )

    def __init__(self, state: RelayState, call: Admitted, arrived_at: float) -> None:
        self._state = state
        self._call = call
        self._arrived_at = arrived_at
        self._place: Place | None = None
        self._refusals = 0
        # Servers that did not run the call may be tried again; those that may have run it not.
        self._unreached: set[str] = set()
        self.ran_on: set[str] = set()
        self.service = state.table.service_of(call.route, state.rng)
        self._tier = Tier(call.begins_program, self.rank())
        self._queued = self._waiting_call()

    def turn_away(self) -> Refused | None:
        """Return the refusal of a call that is not to begin now."""
        refusal = self._state.places.turn_away(self.service, self._queued, self._tier)
        return self._no_place(refusal) if refusal is not None else None

    def next(self, last_server: str, prompt_size: int) -> BackendRecord | Refused:
        """Wait for a server to be known and for a place there; return the server.

        `last_server` ran the turn before, and the call carries `prompt_size` bytes. A place held
        before is given up for it.
        """
        if self._refusals >= MAX_REFUSALS:
            return self._full()
        if self._is_closed():
            return self._no_server()
        if not hold(self._state, self._hold_until(), self._has_server):
            return self._no_server()
        places = self._state.places
        need = self._need(last_server, prompt_size)
        if self._place is None:
            found = places.take(self._queued, self._tier, need)
        else:
            before, self._place = self._place, None
            found = places.again(before, need)
        if isinstance(found, Refusal):
            return self._no_place(found)
        self._place = found
        return found.server

    def held_ms(self, now: float) -> float:
        """Return for how long the present place has been held."""
        return (now - self._place.started_at) * 1000

    def refused(self, reached: bool) -> None:
        """Note that the server of the present place did not run the call."""
        self._refusals += 1
        server_id = self._place.server.server_id
        now = self._state.monotonic()
        if reached:
            self._state.chooser.refused(server_id, now)
            return
        self._unreached.add(server_id)
        self._state.chooser.failed(server_id, now)

    def broke(self) -> None:
        """Note that the server of the present place may have run the call."""
        server_id = self._place.server.server_id
        self.ran_on.add(server_id)
        self._state.chooser.failed(server_id, self._state.monotonic())

    def began(self) -> None:
        """Note that the server has begun to answer."""
        if self._place is not None:
            self._state.places.began(self._place)

    def leave(self) -> None:
        """Give the place back, if one is held."""
        if self._place is not None:
            self._state.places.end(self._place)
            self._place = None

    def rank(self) -> int:
        """Return the call's rank, lower first."""
        organisation = self._call.organisation
        priority = organisation.priority if organisation else 0
        return urgency_of(priority, self._call.route.priority)

    def _is_closed(self) -> bool:
        """Return whether no server of the service may get the call until operators say so."""
        chooser = self._state.chooser
        if chooser.is_evacuated(self.service):
            return True
        homes = self._call.home_zones
        known = chooser.servers(self.service)
        return homes is not None and not any(one.availability_zone in homes for one in known)

    def _hold_until(self) -> float:
        total_s = self._call.deadline.at - self._arrived_at
        return self._arrived_at + min(HOLD_S, total_s * HOLD_SHARE)

    def _has_server(self) -> bool:
        """Return whether there is a server to try; one that was not reached may be tried again."""
        known = {one.server_id for one in self._state.chooser.servers(self.service)}
        if known - self.ran_on - self._unreached:
            return True
        if self._unreached and known - self.ran_on:
            eventlet.sleep(UNREACHED_PAUSE_S * self._state.rng.uniform(0.5, 1.5))
            self._unreached.clear()
        return False

    def _need(self, last_server: str, prompt_size: int) -> CallNeed:
        facts, route = self._call.facts, self._call.route
        turns = TURNS_AHEAD if self._call.begins_program else 1
        return CallNeed(
            self.service,
            facts.parts if route.retained or route.affinity else (),
            facts.object_key if route.affinity else "",
            last_server,
            frozenset(self._unreached | self.ran_on),
            prompt_size * turns,
            self._call.home_zones,
        )

    def _waiting_call(self) -> QueuedCall:
        call = self._call
        begins = call.begins_program
        patience_s = float("inf")
        if begins and call.route.objective_ms:
            patience_s = FIRST_CALL_PATIENCE * call.route.objective_ms / 1000
        return QueuedCall(
            # The client chooses the attempt's id and could use one twice at once.
            f"{call.facts.attempt_id}/{id(self)}",
            call.org_id or "",
            call.facts.program_id,
            1.0,
            call.deadline,
            run_s=self._state.chooser.pace(self.service).run_ms / 1000,
            started=not begins,
            patience_s=patience_s,
        )

    def _no_place(self, refusal: Refusal) -> Refused:
        self._state.metrics.count("relay.no_place")
        return refused_for(refusal)

    def _no_server(self) -> Refused:
        message = f"no server of {self.service} is known or in reach"
        return _unavailable(RefusalCode.NO_SERVER, message, NO_SERVER_RETRY_S)

    def _full(self) -> Refused:
        message = f"every server of {self.service} that was tried is full or out of reach"
        retry_after_s = FULL_RETRY_S * self._state.rng.uniform(0.7, 1.3)
        return _unavailable(RefusalCode.OVERLOADED, message, retry_after_s)


def _unavailable(code: RefusalCode, message: str, retry_after_s: float) -> Refused:
    return Refused(UNAVAILABLE, code.value, message, retry_after_s)
